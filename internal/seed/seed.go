// Package seed makes property tests reproducible: it sets a fixed seed unless one
// is set on the command line.
package seed

import (
	"flag"
	"testing"

	// rapid registers the flags that this package sets.
	_ "pgregory.net/rapid"
)

// Default is the default seed of property tests.
const Default = "20261202"

// Main runs the tests of a package with the fixed seed and returns the exit code.
// Packages with property tests call it from TestMain.
func Main(m *testing.M) int {
	flag.Parse()
	set("rapid.seed", Default)
	set("rapid.nofailfile", "true")
	if testing.Short() {
		set("rapid.checks", "20")
	}
	return m.Run()
}

// set sets a flag unless it was set on the command line.
func set(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) {
		given = given || f.Name == name
	})
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
