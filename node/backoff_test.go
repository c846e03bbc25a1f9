package node_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/store"
)

// While the store refuses every write of a new leader before it has read all jobs,
// leaderships must become less frequent. Once the store works again, one leader must
// remain.
func TestFailedLeadershipsBackOff(t *testing.T) {
	run(t, 5, 1, func(x *cell) {
		x.store.SetFault(func(t store.Transaction) cellfake.StoreFault {
			for _, p := range t.Puts {
				var h leader.Head
				if p.Key == leader.HeadKey && msgpack.Unmarshal(p.Value, &h) == nil && h.WriteCount > 0 {
					return cellfake.StoreRefuse
				}
			}
			return cellfake.StoreOK
		})
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		pause.For(x.ctx, time.Minute)
		after, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		leaderships := (after.Epoch - before.Epoch) / leader.FencesPerEpoch
		x.c.Check(leaderships <= 40, qt.IsTrue, qt.Commentf("%d leaderships in a minute", leaderships))
		x.store.SetFault(nil)
		pause.For(x.ctx, 6*time.Second)
		last, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.c.Check(last.UnfinishedLoads, qt.Equals, 0)
		x.c.Check(last.Epoch-after.Epoch <= leader.FencesPerEpoch, qt.IsTrue)
	})
}
