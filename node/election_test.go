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

// When the leader is isolated, another host must take over within two seconds; running
// tasks continue, and nothing runs twice.
func TestIsolatedLeaderIsReplaced(t *testing.T) {
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
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
	})
}

// A store that is sixty times slower than usual delays the leader's writes. Takeovers
// would only add load, so the leader must remain. A leader that is cut off from the
// store while others reach it is still replaced
// (TestLeaderWithoutStoreReportsNoStaleState).
func TestSlowStoreKeepsLeader(t *testing.T) {
	run(t, 5, 3, func(x *cell) {
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.store.SetExtraLatency(480 * time.Millisecond)
		pause.For(x.ctx, 300*time.Millisecond)
		for i := range 5 {
			x.call(i, http.MethodPost, "/q/"+jobID(i), body)
		}
		pause.For(x.ctx, 5*time.Second)
		x.store.SetExtraLatency(0)
		pause.For(x.ctx, 3*time.Second)
		after, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(after.Epoch, qt.Equals, before.Epoch)
		for i := range 5 {
			x.c.Assert(x.state(i, jobID(i)), qt.Equals, completed)
		}
	})
}

// A leader that is cut off from the store does not know what its successor has done. It
// must not report a job as running that others have seen completed.
func TestLeaderWithoutStoreReportsNoStaleState(t *testing.T) {
	run(t, 3, 3, func(x *cell) {
		old := x.leader()
		next := (old + 1) % 3
		x.c.Assert(x.call(next, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 300*time.Millisecond)
		x.c.Assert(x.state(old, jobID(1)), qt.Equals, `{"state":"running"}`)
		x.network.SetPartitioned(hostName(old), platformNode.Name, true)
		for x.state(next, jobID(1)) != completed {
			pause.For(x.ctx, 100*time.Millisecond)
		}
		r := x.call(old, http.MethodGet, "/q/"+jobID(1), "")
		x.c.Assert(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%v", r))
		x.network.SetPartitioned(hostName(old), platformNode.Name, false)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.state(old, jobID(1)), qt.Equals, completed)
	})
}

// After a restart of all hosts, a small host must not become the leader just because it
// starts first: the leader's row records the size of the largest host.
func TestLargeHostLeadsAfterRestart(t *testing.T) {
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

// If the store loses three of four responses, the leader's row changes about once a
// second. Since the leader responds all the while, and the other hosts observe the
// losses as well, none may take over.
func TestLostResponsesKeepLeader(t *testing.T) {
	run(t, 5, 3, func(x *cell) {
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		var mu sync.Mutex
		writes := map[string]int{} // by partition
		x.store.SetFault(func(t store.Transaction) cellfake.StoreFault {
			if len(t.Puts) == 0 {
				return cellfake.StoreLoseReply // a write of the sweeper, which only deletes rows
			}
			mu.Lock()
			defer mu.Unlock()
			p := t.Puts[0].Key.Partition
			writes[p]++
			if writes[p]%4 == 0 {
				return cellfake.StoreOK
			}
			return cellfake.StoreLoseReply
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

// When all hosts find that there is no leader, their takeover attempts must not
// overload the partition of the leader's row.
func TestHostsDoNotTakeOverSimultaneously(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t, 0, 1)
		defer x.end()
		var mu sync.Mutex
		attempts := 0
		x.store.SetFault(func(s store.Transaction) cellfake.StoreFault {
			if len(s.Conditions) > 0 && s.Conditions[0].Key == leader.HeadKey && s.Conditions[0].Version == 0 {
				mu.Lock()
				attempts++
				mu.Unlock()
			}
			return cellfake.StoreOK
		})
		const hosts = 60
		for i := range hosts {
			x.start(i)
		}
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.leader() >= 0, qt.IsTrue)
		mu.Lock()
		defer mu.Unlock()
		x.c.Assert(attempts > 0 && attempts < hosts/3, qt.IsTrue, qt.Commentf("%d attempts", attempts))
	})
}

// failWrites makes the leader's writes from a host fail.
func (x *cell) failWrites(host int, f cellfake.StoreFault) {
	x.store.SetFault(func(t store.Transaction) cellfake.StoreFault {
		if writerOf(t) == hostName(host) {
			return f
		}
		return cellfake.StoreOK
	})
}

// A leader whose writes are stuck keeps reporting its latest successful write, and
// other hosts must measure the election timeout from then.
func TestLeaderWithStuckWritesIsReplaced(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		old := x.leader()
		x.failWrites(old, cellfake.StoreLate)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
	})
}

// When the store refuses only the leader's writes, the leader reports it, and another
// host must take over without waiting for the election timeout.
func TestRefusedLeaderIsReplaced(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		old := x.leader()
		x.failWrites(old, cellfake.StoreRefuse)
		// A write is due every 0.15 s; refusals last 0.2 s before the next heartbeats
		// report them.
		pause.For(x.ctx, 690*time.Millisecond)
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
	})
}

// writerOf returns the host whose leadership a transaction extends, or an empty string.
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
