package node

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
)

// orderMargin is the time from the last check of a worker's free capacity until an order
// based on it arrives: two attempts of a start under normal conditions, whose timeouts
// package leader derives from the latency of the workers. It is subtracted from
// Bounds.RoomKnown, which limits the age of the information at the arrival.
const orderMargin = 500 * time.Millisecond

const (
	// batchLinkTime is how long one write may occupy the leader's link. The write
	// includes the leader's own row, and other hosts take over when that row does not
	// change for 0.35 s. With all waiting rows in one write, a link of 2 Mbit/s was
	// busy for 3 s, and so was that of each subsequent leader.
	batchLinkTime = 80 * time.Millisecond
	// readLinkTime is how long rows read from the store may occupy the leader's link.
	// With eight full pages at once, responses to the leader's writes were queued
	// behind them for 2 s on a link of 2 Mbit/s. Other hosts took over before it had
	// read all jobs, and the same happened to each subsequent leader.
	readLinkTime = 150 * time.Millisecond
	// rowDataFraction is the fraction of a write's bytes that is row data before base64
	// and JSON encoding.
	rowDataFraction = 0.6
)

// newLeader returns a leader that writes to c, a chain that was acquired after the given time.
func (n *Node) newLeader(c *leader.Chain, begun time.Time) *leader.Leader {
	b := n.settings.Bounds
	now := n.clock.Now()
	n.delegated.numbers.begin(c.Epoch())
	return leader.New(leader.Config{
		Store:        n.store,
		Chain:        c,
		Workers:      n.delegated,
		Groups:       n.delegated,
		Advisor:      n,
		WorkersTable: platform.WorkersTable,
		DecodeWorker: platform.DecodeWorker,
		Clock:        n.clock,
		AcquiredAt:   begun,
		CountedByFormer: c.CountedByFormer(func(h spoolsill.HostID, e spoolsill.Epoch) bool {
			return n.countedBy(h, e, now)
		}),
		ReadBytes: int(readLinkTime.Seconds() * float64(n.settings.LinkRate)),
		Sched: sched.Config{
			Lease:      min(b.Lease, maxLease),
			SettleTime: settleTime,
			KeepEnded:  retentionFactor * b.StatusKept,
			StopTime:   b.StopTime,
			DrainTime:  b.DrainTime,
			FarFactor:  b.FarFactor,
			EntriesAge: max(b.RoomKnown-orderMargin, 0),

			EntryInterval: b.EntryInterval,

			MaxRowBytes: n.settings.MaxRow,
			BatchBytes:  int(batchLinkTime.Seconds() * float64(n.settings.LinkRate) * rowDataFraction),

			ConfigInForce: n.configInForce(),
		},
		Log:      n.log,
		Observer: n.metrics,
	})
}
