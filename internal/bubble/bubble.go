// Package bubble lets a command run code in bubbles of testing/synctest, on
// their fake clock. Bubbles exist only within tests, so [Main] runs the command
// as a test.
package bubble

import (
	"os"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
)

var current *testing.T

// Main runs f, in which [Run] and [Each] may be called, and exits with the code
// that f returns. To drop the output of package testing, it replaces os.Stdout by
// the null device; it also removes all command-line arguments.
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

// Run runs f in a bubble and returns when f and all goroutines that it started
// have ended. It panics outside of [Main].
func Run(f func()) {
	if current == nil {
		panic("bubble: Run outside of Main")
	}
	synctest.Test(current, func(*testing.T) { f() })
}

// Each runs f(0) to f(n-1), each in a bubble of its own, in parallel as tests
// are: up to GOMAXPROCS at a time. It returns when all have ended, and panics
// outside of [Main].
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
