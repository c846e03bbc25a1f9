package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// kernelSuspended returns the total time the machine has been suspended since boot, which
// is the difference between CLOCK_BOOTTIME, which includes such time, and CLOCK_MONOTONIC.
// It returns 0 if either clock is not available.
func kernelSuspended() time.Duration {
	monotonic, ok := readClock(unix.CLOCK_MONOTONIC)
	bootTime, hasBootTime := readClock(unix.CLOCK_BOOTTIME)
	if !ok || !hasBootTime {
		return 0
	}
	return max(bootTime-monotonic, 0)
}

func readClock(id int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
