package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/store"
)

// assertFormer checks the former leaders in the leader row, after the next writes.
func (x *cell) assertFormer(known bool, hosts ...spoolsill.HostID) {
	pause.For(x.ctx, 500*time.Millisecond)
	h, _, err := leader.ReadHead(x.ctx, x.store)
	x.c.Assert(err, qt.IsNil)
	x.c.Check(h.FormerKnown, qt.Equals, known)
	x.c.Check(h.Former, qt.HasLen, len(hosts))
	for _, o := range hosts {
		x.c.Check(h.Former, qt.Contains, o)
	}
}

// The leader row names the hosts that may still extend leases: until they follow, or until
// their leases must be over.
func TestFormerLeadersAreStoredUntilTheyFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		x.lead("a")
		x.assertFormer(true)
		x.lead("b")
		x.assertFormer(true, "a")
		l := x.lead("c")
		x.assertFormer(true, "a", "b")
		l.RecordFollower("b")
		l.RecordFollower("other")
		x.assertFormer(true, "a")
		x.lead("a") // its own leadership is over
		x.assertFormer(true, "c")
		x.cancels[3]() // releases the leadership
		pause.For(x.ctx, time.Second)
		x.lead("d")
		x.assertFormer(true, "c")
		pause.For(x.ctx, 2*lease+time.Second)
		x.assertFormer(true)
	})
}

// A host of an earlier release stores no former leaders. Those before it are unknown until their
// leases must be over.
func TestFormerLeadersOfEarlierReleaseAreUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		v, err := msgpack.Marshal(map[string]any{
			"e": 70_000,
			"h": "earlier",
		})
		x.c.Assert(err, qt.IsNil)
		x.store.Put(store.Put{
			Key:   leader.HeadKey,
			Value: v,
		})
		l := x.lead("a")
		l.RecordFollower("earlier")
		x.assertFormer(false)
		x.lead("b")
		x.assertFormer(false)
		pause.For(x.ctx, 2*lease+time.Second)
		x.assertFormer(true)
	})
}

// A host may rely on being counted only by leaderships whose epochs are known: earlier releases store
// none.
func TestHostIsCountedOnlyByLeadershipsOfKnownEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, test := range []struct {
			former []spoolsill.HostID
			epochs []spoolsill.Epoch
			known  bool
			want   bool
		}{
			{[]spoolsill.HostID{"a"}, []spoolsill.Epoch{10_000}, true, true},
			{[]spoolsill.HostID{"a"}, []spoolsill.Epoch{10_000}, false, false},
			{[]spoolsill.HostID{"a"}, nil, true, false},
			{[]spoolsill.HostID{"a"}, []spoolsill.Epoch{20_000}, true, false},
			{nil, nil, true, true},
		} {
			s := cellfake.NewStore()
			v, err := msgpack.Marshal(&leader.Head{
				Epoch:        30_000,
				Host:         "b",
				Former:       test.former,
				FormerKnown:  test.known,
				FormerEpochs: test.epochs,
			})
			c.Assert(err, qt.IsNil)
			s.Put(store.Put{
				Key:   leader.HeadKey,
				Value: v,
			})
			old, version, err := leader.ReadHead(t.Context(), s)
			c.Assert(err, qt.IsNil)
			chain, err := leader.Acquire(t.Context(), s, old, version, leader.Head{
				Host: "c",
			})
			c.Assert(err, qt.IsNil)
			counted := chain.CountedByFormer(func(h spoolsill.HostID, e spoolsill.Epoch) bool {
				return h == "a" && e == 10_000 || h == "b" && e == 30_000
			})
			c.Check(counted, qt.Equals, test.want, qt.Commentf("%+v", test))
		}
	})
}
