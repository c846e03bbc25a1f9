package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// kernelSuspended returns for how long the machine has been suspended since it was
// started: the clock that counts such time is ahead of the one that does not. It
// returns 0 where either is not to be had.
func kernelSuspended() time.Duration {
	steady, ok := read(unix.CLOCK_MONOTONIC)
	counting, counts := read(unix.CLOCK_BOOTTIME)
	if !ok || !counts {
		return 0
	}
	return max(counting-steady, 0)
}

func read(id int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
