package node_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/store"
)

// The leader is cut off from everything: another host takes over within two
// seconds, what ran goes on, nothing runs twice.
func TestCutLeaderIsReplaced(t *testing.T) {
	run(t, 3, 3, func(x *cell) {
		for i := range 6 {
			x.c.Assert(x.call(i%3, http.MethodPost, "/q/"+jobID(i), body).status, qt.Equals, http.StatusOK)
		}
		old := x.leader()
		x.network.SetPaused(hostName(old), true)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
		next := (old + 1) % 3
		x.c.Assert(x.callBy(x.newClient(), next, http.MethodPost, "/q/"+jobID(9), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 5*time.Second)
		x.network.SetPaused(hostName(old), false)
		pause.For(x.ctx, 2*time.Second)
		for _, i := range []int{0, 1, 2, 3, 4, 5, 9} {
			x.c.Assert(x.state(next, jobID(i)), qt.Equals, completed, qt.Commentf("job %d", i))
		}
		x.c.Assert(x.workers.Broken(), qt.HasLen, 0)
	})
}

// A store that is sixty times slower than usual makes the leader's writes seldom. To
// take over from it would only add to them: the leader stays, and goes on. One that
// is cut from the store while others reach it is still replaced
// (TestCutLeaderTellsNoOldStates).
func TestSlowStoreKeepsItsLeader(t *testing.T) {
	run(t, 5, 3, func(x *cell) {
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.store.Slow(480 * time.Millisecond)
		pause.For(x.ctx, 300*time.Millisecond)
		for i := range 5 {
			x.call(i, http.MethodPost, "/q/"+jobID(i), body)
		}
		pause.For(x.ctx, 5*time.Second)
		x.store.Slow(0)
		pause.For(x.ctx, 3*time.Second)
		after, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(after.Epoch, qt.Equals, before.Epoch)
		for i := range 5 {
			x.c.Assert(x.state(i, jobID(i)), qt.Equals, completed)
		}
	})
}

// A leader that is cut from the store does not know what the next one has done:
// it must not tell that a job runs which others have seen completed.
func TestCutLeaderTellsNoOldStates(t *testing.T) {
	run(t, 3, 3, func(x *cell) {
		old := x.leader()
		next := (old + 1) % 3
		x.c.Assert(x.call(next, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 300*time.Millisecond)
		x.c.Assert(x.state(old, jobID(1)), qt.Equals, `{"state":"running"}`)
		x.network.SetCut(hostName(old), platformPlace.Name, true)
		for x.state(next, jobID(1)) != completed {
			pause.For(x.ctx, 100*time.Millisecond)
		}
		r := x.call(old, http.MethodGet, "/q/"+jobID(1), "")
		x.c.Assert(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%v", r))
		x.network.SetCut(hostName(old), platformPlace.Name, false)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.state(old, jobID(1)), qt.Equals, completed)
	})
}

// After a restart of all hosts a small one must not take over from a large one
// just because it was up first: the row remembers how large hosts are.
func TestSmallHostLetsLargeOnesLeadAfterARestart(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		large := x.leader()
		small := 1 - large
		for _, h := range x.hosts {
			h.stop()
		}
		x.running.Wait()
		x.cores = map[int]float64{
			small: 0.1,
		}
		x.start(small)
		pause.For(x.ctx, 250*time.Millisecond)
		x.start(large)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.leader(), qt.Equals, large)
	})
}

// A store that loses three answers in four lets the leader's row change once a
// second. The leader answers all the while, and the other hosts see the losses as
// well: nobody takes over.
func TestLostAnswersKeepTheLeader(t *testing.T) {
	run(t, 5, 3, func(x *cell) {
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		var mu sync.Mutex
		writes := map[string]int{} // by partition
		x.store.SetFault(func(t store.Transaction) cellfake.StoreFault {
			if len(t.Puts) == 0 {
				return cellfake.StoreLose // of the sweeper, which writes into no row
			}
			mu.Lock()
			defer mu.Unlock()
			p := t.Puts[0].Key.Partition
			writes[p]++
			if writes[p]%4 == 0 {
				return cellfake.StoreWell
			}
			return cellfake.StoreLose
		})
		var clients sync.WaitGroup
		for i := range 5 {
			clients.Go(func() {
				for k := range 8 {
					x.callBy(x.newClient(), i, http.MethodPost, "/q/"+jobID(8*i+k), body)
				}
			})
		}
		clients.Wait()
		x.store.SetFault(nil)
		after, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(after.Epoch, qt.Equals, before.Epoch)
	})
}

// Hosts that all find that nobody leads must not fill the partition of the row
// with their tries.
func TestManyHostsDoNotTakeOverAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t, 0, 1)
		defer x.end()
		var mu sync.Mutex
		tries := 0
		x.store.SetFault(func(s store.Transaction) cellfake.StoreFault {
			if len(s.Conditions) > 0 && s.Conditions[0].Key == leader.HeadKey && s.Conditions[0].Version == 0 {
				mu.Lock()
				tries++
				mu.Unlock()
			}
			return cellfake.StoreWell
		})
		const hosts = 60
		for i := range hosts {
			x.start(i)
		}
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.leader() >= 0, qt.IsTrue)
		mu.Lock()
		defer mu.Unlock()
		x.c.Assert(tries > 0 && tries < hosts/3, qt.IsTrue, qt.Commentf("%d tries", tries))
	})
}

// failWrites has the writes of a leader meet a fault.
func (x *cell) failWrites(host int, f cellfake.StoreFault) {
	x.store.SetFault(func(t store.Transaction) cellfake.StoreFault {
		if writerOf(t) == hostName(host) {
			return f
		}
		return cellfake.StoreWell
	})
}

// A leader whose writes get stuck goes on telling the others of its latest one:
// they count from there.
func TestLeaderThatCannotWriteIsReplacedAtOnce(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		old := x.leader()
		x.failWrites(old, cellfake.StoreLate)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
	})
}

// The store turns the leader away and serves the others: the leader says so, and
// nobody waits for its row to lapse.
func TestLeaderThatIsTurnedAwayIsReplacedAtOnce(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		old := x.leader()
		x.failWrites(old, cellfake.StoreRefuse)
		// A write each 0.15 s, refused for a fifth of one, and the
		// next greetings.
		pause.For(x.ctx, 690*time.Millisecond)
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
	})
}

// writerOf returns the host whose leadership a transaction extends.
func writerOf(t store.Transaction) string {
	for _, p := range t.Puts {
		if p.Key != leader.HeadKey {
			continue
		}
		var h leader.Head
		if err := msgpack.Unmarshal(p.Value, &h); err == nil {
			return string(h.Host)
		}
	}
	return ""
}
