package leader_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// Guards against one row that the store rejects for good keeping the progress of all other jobs from
// being written, under this leader and each later one.
func TestJobsGoOnBesideRowThatStoreRejects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		x := newCell(ctx, t, 4)
		defer x.end()
		defer cancel()
		x.store.SetMaxRowBytes(1000)
		x.submit(sched.Job{
			ID:    "wide",
			Queue: "plain",
			Steps: []sched.Step{step(400, 0)},
		})
		for i := range 3 {
			l := x.lead(spoolsill.HostID(fmt.Sprint("host", i)))
			var ids []spoolsill.JobID
			for n := range 10 {
				id := spoolsill.JobID(fmt.Sprintf("small%d.%d", i, n))
				x.submit(sched.Job{
					ID:    id,
					Queue: "plain",
					Steps: []sched.Step{step(2, 1)},
				})
				ids = append(ids, id)
				pause.For(ctx, 200*time.Millisecond)
			}
			pause.For(ctx, 8*time.Second)
			x.assertCompleted(l, ids)
			s, known := l.Status("wide")
			x.c.Assert(known, qt.IsTrue)
			x.c.Check(s.State, qt.Equals, sched.Failed)
		}
	})
}

func putOf(name string, bytes int) store.Put {
	return store.Put{
		Key:   jobstore.ProgressKey(spoolsill.JobID(name)),
		Value: make([]byte, bytes),
	}
}

// acquire returns a leadership of a store.
func acquire(ctx context.Context, c *qt.C, s store.Store) *leader.Chain {
	chain, err := leader.Acquire(ctx, s, leader.Head{}, 0, leader.Head{
		Host: "host",
	})
	c.Assert(err, qt.IsNil)
	return chain
}

// All rows but those that the store rejects are written.
func TestWriteIsolatesRejectedRows(t *testing.T) {
	for _, bad := range [][]int{{0}, {89}, {3, 4}, {0, 45, 89}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := cellfake.NewStore()
			chain := acquire(t.Context(), c, s)
			s.SetMaxRowBytes(1000)
			var puts []store.Put
			for i := range 90 {
				puts = append(puts, putOf(fmt.Sprintf("%02d", i), 10))
			}
			var want []store.Key
			for _, i := range bad {
				puts[i].Value = make([]byte, 1001)
				want = append(want, puts[i].Key)
			}
			rejected, err := chain.Write(t.Context(), puts, nil)
			c.Assert(err, qt.IsNil)
			c.Assert(rejected, qt.DeepEquals, want)
			for i, p := range puts {
				r, err := store.Get(t.Context(), s, p.Key)
				c.Assert(err, qt.IsNil)
				c.Check(r.Version > 0, qt.Equals, len(p.Value) <= 1000, qt.Commentf("row %d", i))
			}
		})
	}
}

// A store that for a time rejects whatever it is sent costs no row.
func TestNoRowIsLostWhileStoreRejectsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := cellfake.NewStore()
		chain := acquire(t.Context(), c, s)
		until := time.Now().Add(3 * time.Second)
		s.SetFault(func(store.Transaction) cellfake.StoreFault {
			if time.Now().Before(until) {
				return cellfake.StoreReject
			}
			return cellfake.StoreOK
		})
		rejected, err := chain.Write(t.Context(), []store.Put{putOf("a", 1), putOf("b", 1), putOf("c", 1)}, []store.Key{putOf("d", 1).Key})
		c.Assert(err, qt.IsNil)
		c.Assert(rejected, qt.HasLen, 0)
	})
}
