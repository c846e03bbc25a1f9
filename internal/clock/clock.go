// Package clock tells a time that goes on while the machine is suspended. The steady
// clock of [time.Now] stands still meanwhile: a right that ended, a lease, a leadership
// or a belief, would look as fresh after an hour's suspension as before it.
//
// Only differences of its times mean anything; the time of day is that of [time.Now].
package clock

import (
	"sync"
	"time"
)

// noticeable is by how much the time of day and the steady clock must have moved apart
// for the kernel to be asked whether the machine was suspended: less than any right is
// worth, and more than the time of day is slewed by within seconds. It keeps two system
// calls out of each look at the time.
const noticeable = 10 * time.Millisecond

// A Clock tells a time that goes on while the machine is suspended. The zero value and
// nil are the system's clock. It is safe for concurrent use.
type Clock struct {
	// Suspended returns for how long the machine has been suspended since some moment
	// in the past; nil means the system's answer.
	Suspended func() time.Duration
}

// Now returns the time. Its wall clock reading is ahead of the time of day by
// [Clock.Ahead].
func (c *Clock) Now() time.Time {
	now := time.Now()
	return now.Add(c.ahead(now))
}

// Since returns the time since t, which Now returned.
func (c *Clock) Since(t time.Time) time.Duration {
	return c.Now().Sub(t)
}

// Ahead returns for how long the machine has been suspended since the process began.
func (c *Clock) Ahead() time.Duration {
	return c.ahead(time.Now())
}

func (c *Clock) ahead(now time.Time) time.Duration {
	if c == nil || c.Suspended == nil {
		return system.at(now.Sub(began), now.Round(0).Sub(began.Round(0)))
	}
	return c.Suspended()
}

// Now returns the time by the system's clock; see [Clock].
func Now() time.Time {
	return (*Clock)(nil).Now()
}

// began is when the process did.
var began = time.Now()

// system follows the kernel's clocks from then on.
var system = newSuspensions(kernelSuspended)

// suspensions follows for how long the machine has been suspended.
type suspensions struct {
	read  func() time.Duration
	first time.Duration // what read told first

	mu    sync.Mutex
	skew  time.Duration // of the time of day from the steady clock, when read last told
	total time.Duration
}

func newSuspensions(read func() time.Duration) *suspensions {
	return &suspensions{
		read:  read,
		first: read(),
	}
}

// at returns for how long the machine has been suspended since the first call of read,
// after what the steady clock and the time of day tell since then. The time of day
// counts a suspension: unless it has moved away from the steady clock, there was none.
func (s *suspensions) at(steady, wall time.Duration) time.Duration {
	skew := wall - steady
	s.mu.Lock()
	defer s.mu.Unlock()
	if (skew - s.skew).Abs() < noticeable {
		return s.total
	}
	s.skew = skew
	s.total = max(s.total, s.read()-s.first)
	return s.total
}
