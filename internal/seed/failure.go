package seed

import (
	"flag"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// searchChecks is the number of inputs that [FindsFailure] tries.
const searchChecks = "2000"

// FindsFailure reports whether rapid finds an input for which a property fails.
// Tests use it to show that a property detects a fault once the mechanism that
// prevents the fault is disabled. It sets a global flag and must not be called in
// parallel tests.
func FindsFailure(t *testing.T, property func(*rapid.T)) bool {
	t.Helper()
	checks := flag.Lookup("rapid.checks")
	old := checks.Value.String()
	defer func() { _ = flag.Set("rapid.checks", old) }()
	if err := flag.Set("rapid.checks", searchChecks); err != nil {
		t.Fatal(err)
	}
	r := &recorder{
		T: t,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	return r.failed
}

// A recorder is a rapid.TB that records a failure without failing the test, and
// discards its output.
type recorder struct {
	*testing.T
	failed bool
}

// Errorf implements rapid.TB.
func (r *recorder) Errorf(string, ...any) { r.failed = true }

// Error implements rapid.TB.
func (r *recorder) Error(...any) { r.failed = true }

// Fatalf implements rapid.TB.
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }

// Fatal implements rapid.TB.
func (r *recorder) Fatal(...any) { r.FailNow() }

// Fail implements rapid.TB.
func (r *recorder) Fail() { r.failed = true }

// Failed implements rapid.TB.
func (r *recorder) Failed() bool { return r.failed }

// FailNow implements rapid.TB.
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}

// Logf implements rapid.TB.
func (r *recorder) Logf(string, ...any) {}

// Log implements rapid.TB.
func (r *recorder) Log(...any) {}
