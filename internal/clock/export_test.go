package clock

import "time"

// Suspensions follows a kernel's clocks, for tests.
func Suspensions(read func() time.Duration) func(steady, wall time.Duration) time.Duration {
	return newSuspensions(read).at
}
