package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/clock"
)

// A kernel is a fake source of the suspended time that counts how often it is read.
type kernel struct {
	suspended time.Duration
	reads     int
}

func (k *kernel) read() time.Duration {
	k.reads++
	return k.suspended
}

// Guards against counting suspensions from before the process started, missing one of
// several in a row, and querying the kernel while the clocks advance together.
func TestSuspensionsAreCounted(t *testing.T) {
	c := qt.New(t)
	k := &kernel{
		suspended: 7 * time.Hour,
	}
	at := clock.Suspensions(k.read)
	var monotonic, wall time.Duration
	run := func(d time.Duration) {
		monotonic += d
		wall += d
	}
	suspend := func(d time.Duration) {
		k.suspended += d
		wall += d
	}
	for range 100 {
		run(time.Second)
		c.Assert(at(monotonic, wall), qt.Equals, time.Duration(0))
	}
	c.Assert(k.reads, qt.Equals, 1)
	suspend(5 * time.Second)
	c.Assert(at(monotonic, wall), qt.Equals, 5*time.Second)
	suspend(200 * time.Millisecond)
	run(time.Millisecond)
	c.Assert(at(monotonic, wall), qt.Equals, 5200*time.Millisecond)
	run(time.Hour)
	c.Assert(at(monotonic, wall), qt.Equals, 5200*time.Millisecond)
	c.Assert(k.reads, qt.Equals, 3)
}

// Guards against steps of the wall clock, forward or back, that are taken for a suspension
// or hide one.
func TestWallClockStepIsNoSuspension(t *testing.T) {
	c := qt.New(t)
	k := &kernel{}
	at := clock.Suspensions(k.read)
	c.Assert(at(time.Second, time.Hour), qt.Equals, time.Duration(0))
	c.Assert(at(2*time.Second, -time.Hour), qt.Equals, time.Duration(0))
	k.suspended = 3 * time.Second
	c.Assert(at(3*time.Second, -time.Hour+4*time.Second), qt.Equals, 3*time.Second)
	c.Assert(at(4*time.Second, 7*time.Second), qt.Equals, 3*time.Second)
}

// Guards against differences of times that lack a suspension between them, and against a
// wall clock reading that is not ahead of the time of day by exactly the suspended time.
func TestClockIncludesSuspension(t *testing.T) {
	c := qt.New(t)
	var suspended time.Duration
	x := &clock.Clock{
		Suspended: func() time.Duration { return suspended },
	}
	before := x.Now()
	suspended = 5 * time.Second
	c.Assert(x.Since(before) >= 5*time.Second, qt.IsTrue)
	c.Assert(x.SuspendedTime(), qt.Equals, 5*time.Second)
	c.Assert(x.Now().Round(0).Add(-x.SuspendedTime()).After(before.Round(0)), qt.IsTrue)
}

// Guards against a system clock that goes back or panics on a nil Clock, whatever the
// kernel supports.
func TestSystemClockAdvances(t *testing.T) {
	c := qt.New(t)
	before := clock.Now()
	var nilClock *clock.Clock
	c.Assert(nilClock.Since(before) >= 0, qt.IsTrue)
	c.Assert(nilClock.SuspendedTime() >= 0, qt.IsTrue)
}
