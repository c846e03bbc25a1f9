package clock_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/clock"
)

// A kernel tells for how long it was suspended, and counts how often it is asked.
type kernel struct {
	suspended time.Duration
	asked     int
}

func (k *kernel) read() time.Duration {
	k.asked++
	return k.suspended
}

// What was suspended before the process began does not count, what comes later does,
// several times in a row too, and the kernel is asked only when there is something to ask.
func TestSuspensionsAreCounted(t *testing.T) {
	c := qt.New(t)
	k := &kernel{
		suspended: 7 * time.Hour,
	}
	at := clock.Suspensions(k.read)
	var steady, wall time.Duration
	run := func(d time.Duration) {
		steady += d
		wall += d
	}
	suspend := func(d time.Duration) {
		k.suspended += d
		wall += d
	}
	for range 100 {
		run(time.Second)
		c.Assert(at(steady, wall), qt.Equals, time.Duration(0))
	}
	c.Assert(k.asked, qt.Equals, 1)
	suspend(5 * time.Second)
	c.Assert(at(steady, wall), qt.Equals, 5*time.Second)
	suspend(200 * time.Millisecond)
	run(time.Millisecond)
	c.Assert(at(steady, wall), qt.Equals, 5200*time.Millisecond)
	run(time.Hour)
	c.Assert(at(steady, wall), qt.Equals, 5200*time.Millisecond)
	c.Assert(k.asked, qt.Equals, 3)
}

// The time of day may jump, either way, and back: that is no suspension, and hides none.
func TestStepOfTheTimeOfDayIsNoSuspension(t *testing.T) {
	c := qt.New(t)
	k := &kernel{}
	at := clock.Suspensions(k.read)
	c.Assert(at(time.Second, time.Hour), qt.Equals, time.Duration(0))
	c.Assert(at(2*time.Second, -time.Hour), qt.Equals, time.Duration(0))
	k.suspended = 3 * time.Second
	c.Assert(at(3*time.Second, -time.Hour+4*time.Second), qt.Equals, 3*time.Second)
	c.Assert(at(4*time.Second, 7*time.Second), qt.Equals, 3*time.Second)
}

// Differences of the clock's times have what was suspended in between, and its wall
// reading less what it is ahead is the time of day.
func TestClockCountsASuspension(t *testing.T) {
	c := qt.New(t)
	var suspended time.Duration
	x := &clock.Clock{
		Suspended: func() time.Duration { return suspended },
	}
	before := x.Now()
	suspended = 5 * time.Second
	c.Assert(x.Since(before) >= 5*time.Second, qt.IsTrue)
	c.Assert(x.Ahead(), qt.Equals, 5*time.Second)
	c.Assert(x.Now().Round(0).Add(-x.Ahead()).After(before.Round(0)), qt.IsTrue)
}

// The system's clock answers, whatever the machine's kernel offers.
func TestSystemClockGoesOn(t *testing.T) {
	c := qt.New(t)
	before := clock.Now()
	var nilClock *clock.Clock
	c.Assert(nilClock.Since(before) >= 0, qt.IsTrue)
	c.Assert(nilClock.Ahead() >= 0, qt.IsTrue)
}
