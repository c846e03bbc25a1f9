//go:build !linux

package clock

import "time"

// kernelSuspended returns 0, since suspensions are only measured on Linux.
func kernelSuspended() time.Duration {
	return 0
}
