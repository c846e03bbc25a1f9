// Package bubble lets a command run code in bubbles of testing/synctest, with
// their fake clocks. Bubbles exist only in tests, so [Main] runs the command as a
// test.
package bubble

import (
	"os"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
)

// current is the test that Main runs, or nil.
var current *testing.T

// Main runs f, which may call [Run] and [Each], and exits with the code that f
// returns. It replaces os.Stdout by the null device, to discard the output of
// package testing, and removes all command-line arguments.
func Main(f func() int) {
	os.Args = os.Args[:1]
	if null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0); err == nil {
		os.Stdout = null
	}
	testing.Main(regexp.MatchString, []testing.InternalTest{{
		Name: "measurement",
		F: func(t *testing.T) {
			current = t
			os.Exit(f())
		},
	}}, nil, nil)
}

// Run runs f in a bubble and returns when f and all goroutines started in the
// bubble have exited. It panics outside of [Main].
func Run(f func()) {
	if current == nil {
		panic("bubble: Run outside of Main")
	}
	synctest.Test(current, func(*testing.T) { f() })
}

// Each runs f(0) to f(n-1), each in a bubble of its own, as parallel tests: up to
// GOMAXPROCS at a time. It returns when all have exited, and panics outside of
// [Main].
func Each(n int, f func(i int)) {
	if current == nil {
		panic("bubble: Each outside of Main")
	}
	current.Run("each", func(t *testing.T) {
		for i := range n {
			t.Run(strconv.Itoa(i), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) { f(i) })
			})
		}
	})
}
