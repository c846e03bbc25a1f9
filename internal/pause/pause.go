// Package pause provides a sleep that a context can cancel.
package pause

import (
	"context"
	"time"
)

// For blocks until d has passed or ctx is done, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
