// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For returns when d has passed or ctx ends, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
