package node

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

const (
	// suspensionCheckInterval is how often the host checks for suspensions of its
	// machine. It only affects logging: leases and other time limits are checked when
	// they are used.
	suspensionCheckInterval = time.Second
	// minSuspension is the shortest suspension that is logged.
	minSuspension = 10 * time.Millisecond
)

// logSuspensions logs suspensions of the machine until ctx is done.
func (n *Node) logSuspensions(ctx context.Context) {
	logged := n.clock.SuspendedTime()
	for ctx.Err() == nil {
		pause.For(ctx, suspensionCheckInterval)
		d := n.clock.SuspendedTime() - logged
		if d < minSuspension {
			continue
		}
		logged += d
		n.log.WithField("suspended_ms", d.Milliseconds()).Warn("this machine was suspended")
	}
}
