package node

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

const (
	// suspensionEvery is how often this host looks whether its machine was suspended, to
	// tell of it; each right that ends is looked at when it is used.
	suspensionEvery = time.Second
	// suspensionLeast is how long a suspension must be to be told of.
	suspensionLeast = 10 * time.Millisecond
)

// watchSuspensions tells when the machine was suspended.
func (n *Node) watchSuspensions(ctx context.Context) {
	told := n.clock.SuspendedTime()
	for ctx.Err() == nil {
		pause.For(ctx, suspensionEvery)
		d := n.clock.SuspendedTime() - told
		if d < suspensionLeast {
			continue
		}
		told += d
		n.log.WithField("suspended_ms", d.Milliseconds()).Warn("this machine was suspended")
	}
}
