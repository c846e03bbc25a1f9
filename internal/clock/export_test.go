package clock

import "time"

// Suspensions returns the method that tracks suspensions as reported by read.
func Suspensions(read func() time.Duration) func(monotonic, wall time.Duration) time.Duration {
	return newSuspensionTracker(read).totalAt
}
