// Package seed gives tests the same verdict every run: it fixes the seed of
// property tests unless the command line names one.
package seed

import (
	"flag"
	"testing"

	// rapid registers the flags that are set here.
	_ "pgregory.net/rapid"
)

// Fixed is the seed of property tests.
const Fixed = "20261202"

// Main runs the tests of a package with the fixed seed. Packages with property
// tests call it from their TestMain.
func Main(m *testing.M) int {
	flag.Parse()
	set("rapid.seed", Fixed)
	set("rapid.nofailfile", "true")
	if testing.Short() {
		set("rapid.checks", "20")
	}
	return m.Run()
}

// set sets a flag that the command line does not.
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
