// Package clock provides a clock that advances while the machine is suspended. The
// monotonic clock of [time.Now] stops during a suspension, so that a lease, a leadership
// or cached state that expired meanwhile would still look valid afterwards.
//
// Only differences between its times are meaningful; use [time.Now] for the time of day.
package clock

import (
	"sync"
	"time"
)

// minSkewChange is the minimum change of the offset between the wall clock and the monotonic
// clock at which the kernel is queried for a suspension. It is less than the duration of any
// lease, and more than the wall clock is slewed by within seconds. It saves two system
// calls on each reading of the clock.
const minSkewChange = 10 * time.Millisecond

// A Clock is a clock that advances while the machine is suspended. The zero value and nil
// are the system clock. It is safe for concurrent use.
type Clock struct {
	// Suspended returns the total time the machine has been suspended since a fixed point
	// in the past; nil means that the kernel is queried.
	Suspended func() time.Duration
}

// Now returns the current time of c. Its wall clock and monotonic clock readings are both
// ahead of those of [time.Now] by [Clock.SuspendedTime].
func (c *Clock) Now() time.Time {
	now := time.Now()
	return now.Add(c.suspendedAt(now))
}

// Since returns the time elapsed since t, which must have been returned by c.Now.
func (c *Clock) Since(t time.Time) time.Duration {
	return c.Now().Sub(t)
}

// SuspendedTime returns the total time the machine has been suspended since the process started,
// or the result of c.Suspended if that is set.
func (c *Clock) SuspendedTime() time.Duration {
	return c.suspendedAt(time.Now())
}

func (c *Clock) suspendedAt(now time.Time) time.Duration {
	if c == nil || c.Suspended == nil {
		return systemSuspensions.totalAt(now.Sub(processStart), now.Round(0).Sub(processStart.Round(0)))
	}
	return c.Suspended()
}

// Now returns the current time of the system clock; see [Clock].
func Now() time.Time {
	return (*Clock)(nil).Now()
}

// processStart is the time at which the process started.
var processStart = time.Now()

// systemSuspensions tracks the suspensions of this machine.
var systemSuspensions = newSuspensionTracker(kernelSuspended)

// suspensionTracker tracks the total time the machine has been suspended.
type suspensionTracker struct {
	read    func() time.Duration
	initial time.Duration // result of the first read

	mu    sync.Mutex
	skew  time.Duration // wall clock minus monotonic clock at the last read
	total time.Duration
}

func newSuspensionTracker(read func() time.Duration) *suspensionTracker {
	return &suspensionTracker{
		read:    read,
		initial: read(),
	}
}

// totalAt returns the total time the machine has been suspended since the first call of read,
// given the time elapsed since then on the monotonic and on the wall clock. The wall clock
// advances during a suspension: if the offset between the clocks has not changed, there
// was none, and read is not called.
func (s *suspensionTracker) totalAt(monotonic, wall time.Duration) time.Duration {
	skew := wall - monotonic
	s.mu.Lock()
	defer s.mu.Unlock()
	if (skew - s.skew).Abs() < minSkewChange {
		return s.total
	}
	s.skew = skew
	s.total = max(s.total, s.read()-s.initial)
	return s.total
}
