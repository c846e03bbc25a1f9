package node

import (
	"cmp"
	"time"

	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
)

// orderMargin is how long an order is under way from the last look at its worker's room:
// two tries of a start on a calm day, see answers of package leader.
const orderMargin = 500 * time.Millisecond

const (
	// batchTime is how long the leader's link may be busy with one write: its own row is
	// in it, and others take over when that does not change for 0.35 s. With all rows
	// that wait in one write, a link of 2 Mbit/s was busy for three seconds, and each
	// next leader as well.
	batchTime = 80 * time.Millisecond
	// readTime is how long the leader's link may be busy with rows that it has asked the
	// store for. With eight whole pages at once, the answers to its writes waited behind
	// them for two seconds on a link of 2 Mbit/s, others took over before it had read all
	// jobs, and so with each next one.
	readTime = 150 * time.Millisecond
	// rowShare is the part of a write's bytes that rows are, before base64 and JSON.
	rowShare = 0.6
)

// newLeader returns a leader for a chain that was just won.
func (n *Node) newLeader(c *leader.Chain) *leader.Leader {
	b := n.settings.Bounds
	return leader.New(leader.Config{
		Store:        n.store,
		Chain:        c,
		Workers:      n.delegated,
		Advisor:      n,
		WorkersTable: platform.WorkersTable,
		DecodeWorker: platform.DecodeWorker,
		Clock:        n.clock,
		ReadBytes:    int(readTime.Seconds() * float64(n.settings.LinkRate)),
		Sched: sched.Config{
			Lease:      min(b.Lease, leaseMost),
			SettleTime: settleTime,
			KeepEnded:  keepFactor * b.StatusKept,
			StopTime:   b.StopTime,
			DrainTime:  b.DrainTime,
			FarFactor:  b.FarFactor,
			EntriesAge: max(b.RoomKnown-orderMargin, 0),

			BatchBytes: int(batchTime.Seconds() * float64(n.settings.LinkRate) * rowShare),

			ConfigInForce: cmp.Or(b.ConfigInForce, configInForce),
		},
		Log:      n.log,
		Observer: n.metrics,
	})
}
