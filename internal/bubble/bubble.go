// Package bubble runs measurements on the virtual time of testing/synctest in
// a command. Such time is given only to tests, so the command becomes one.
package bubble

import (
	"os"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
)

var current *testing.T

// Main runs f, in which [Run] may be called, and ends the process with the
// exit code that f returns. What package testing itself would print is
// dropped.
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

// Run runs f on virtual time and returns when f and all that it started have
// ended. It panics outside of [Main].
func Run(f func()) {
	if current == nil {
		panic("bubble: Run outside of Main")
	}
	synctest.Test(current, func(*testing.T) { f() })
}

// Each runs f for each number below n, each on a virtual time of its own and as
// many at once as there are processors. It returns when all have ended, and
// panics outside of [Main].
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
