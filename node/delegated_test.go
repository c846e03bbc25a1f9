package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/node"
	"github.com/spoolsill/spoolsill/peer"
)

func workerName(i int) string {
	return fmt.Sprintf("w%d", i)
}

// cutLeaderFromWorkers has the leader reach no worker by itself.
func (x *cell) cutLeaderFromWorkers(workers int) {
	l := x.leader()
	for i := range workers {
		x.network.SetCut(hostName(l), workerName(i), true)
	}
}

// submitMany hands jobs in at hosts in turn and returns their ids.
func (x *cell) submitMany(first, n int, at ...int) []string {
	var ids []string
	for i := range n {
		id := jobID(first + i)
		r := x.call(at[i%len(at)], http.MethodPost, "/q/"+id, body)
		x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
		ids = append(ids, id)
	}
	return ids
}

func (x *cell) assertCompleted(host int, ids []string) {
	x.c.Helper()
	for _, id := range ids {
		x.c.Check(x.state(host, id), qt.Equals, completed, qt.Commentf("job %s", id))
	}
}

// The calls to workers are made by other hosts than the leader: it serves a cell of
// which it reaches no worker by itself.
func TestOtherHostsCarryOutTheLeadersCalls(t *testing.T) {
	const workers = 6
	run(t, 4, workers, func(x *cell) {
		x.cutLeaderFromWorkers(workers)
		ids := x.submitMany(1, 20, 0, 1, 2, 3)
		pause.For(x.ctx, 6*time.Second)
		x.assertCompleted(x.leader(), ids)
		x.c.Check(x.workers.Starts(), qt.Equals, 40)
		x.c.Check(x.workers.Broken(), qt.HasLen, 0)
	})
}

// One host after the other is paused, or cut off from all workers. What it carries is
// carried by others within a fraction of a lease: no task waits for a lease to end, and
// none starts twice.
func TestCallsOfADelegateThatFailsAreMadeByOthers(t *testing.T) {
	const workers = 6
	for name, set := range map[string]func(x *cell, host int, failing bool){
		"paused": func(x *cell, host int, failing bool) {
			x.network.SetPaused(hostName(host), failing)
		},
		"cut off from workers": func(x *cell, host int, failing bool) {
			for i := range workers {
				x.network.SetCut(hostName(host), workerName(i), failing)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 5, workers, func(x *cell) {
				l := x.leader()
				next := 1
				for h := range 5 {
					if h == l {
						continue
					}
					set(x, h, true)
					ids := x.submitMany(next, 6, l)
					next += len(ids)
					pause.For(x.ctx, 1500*time.Millisecond) // tasks run for a second
					x.assertCompleted(l, ids)
					set(x, h, false)
					pause.For(x.ctx, time.Second)
				}
				x.c.Check(x.workers.Starts(), qt.Equals, 2*(next-1))
				x.c.Check(x.workers.Broken(), qt.HasLen, 0)
			})
		})
	}
}

// Hosts, the leader among them, are paused, cut off from the store, from workers and
// from each other at random, while orders get lost or come late. No task runs in two
// places, none starts after its end was acknowledged, no worker gets more than it has
// room for, and all jobs are done in the end.
func TestNothingRunsTwiceWhileDelegatesFail(t *testing.T) {
	for s := range uint64(12) {
		t.Run(fmt.Sprint(s), func(t *testing.T) { playFailingDelegates(t, s) })
	}
}

func playFailingDelegates(t *testing.T, s uint64) {
	const (
		hosts   = 5
		workers = 5
		rounds  = 12
	)
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t, 0, workers)
		defer x.end()
		r := rand.New(rand.NewPCG(s, 1))
		fates := rand.New(rand.NewPCG(s, 2))
		var harm atomicShare
		x.workers.Room = 8
		x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
			return harm.draw(fates)
		}
		for i := range hosts { // which call the workers from now on
			x.start(i)
		}
		pause.For(x.ctx, 2*time.Second)
		var ids []string
		for k := range rounds {
			harm.set(r.IntN(3) * 5)
			h := r.IntN(hosts)
			x.harm(r, h, workers, true)
			for range 6 {
				id := jobID(len(ids) + 1)
				if x.call((h+1+k)%hosts, http.MethodPost, "/q/"+id, body).status == http.StatusOK {
					ids = append(ids, id)
				}
				pause.For(x.ctx, time.Duration(r.IntN(300))*time.Millisecond)
			}
			x.harm(r, h, workers, false)
		}
		harm.set(0)
		pause.For(x.ctx, 30*time.Second)
		x.assertCompleted(x.leader(), ids)
		x.c.Check(x.workers.Broken(), qt.HasLen, 0)
	})
}

// harm has something befall a host, or takes all of it away.
func (x *cell) harm(r *rand.Rand, host, workers int, begin bool) {
	kind := r.IntN(4)
	if begin && kind == 0 {
		x.network.SetPaused(hostName(host), true)
		return
	}
	if begin && kind == 1 {
		x.network.SetCut(hostName(host), platformPlace.Name, true)
		return
	}
	if begin && kind == 2 {
		x.network.SetCut(hostName(host), hostName((host+1+r.IntN(len(x.hosts)-1))%len(x.hosts)), true)
		return
	}
	if begin {
		for i := range workers {
			x.network.SetCut(hostName(host), workerName(i), r.IntN(2) == 0)
		}
		return
	}
	x.network.SetPaused(hostName(host), false)
	x.network.SetCut(hostName(host), platformPlace.Name, false)
	for i := range x.hosts {
		x.network.SetCut(hostName(host), hostName(i), false)
	}
	for i := range workers {
		x.network.SetCut(hostName(host), workerName(i), false)
	}
}

// An atomicShare is how many orders in a hundred meet a fault. It is safe for
// concurrent use.
type atomicShare struct {
	mu    sync.Mutex
	share int
}

func (a *atomicShare) set(share int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share = share
}

func (a *atomicShare) draw(r *rand.Rand) cellfake.OrderFault {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.IntN(100) >= a.share {
		return cellfake.OrderWell
	}
	return cellfake.OrderLose + cellfake.OrderFault(r.IntN(3))
}

// Only what a delegate says before it looks for a worker proves that it called none.
func TestWhichFailuresOfADelegateProveThatNoCallWasMade(t *testing.T) {
	refusal := func(c peer.Code) error {
		return fmt.Errorf("call: %w", &peer.RemoteError{
			Code: c,
		})
	}
	c := qt.New(t)
	for _, e := range []error{peer.ErrUnreachable, refusal(peer.CodeBusy), refusal(peer.CodeNoSuchMethod), refusal(peer.CodeBadInput)} {
		c.Check(node.NotMade(e), qt.IsTrue, qt.Commentf("%v", e))
	}
	for _, e := range []error{refusal(peer.CodeInternal), refusal("of a later release"), peer.ErrReplyLost, context.DeadlineExceeded} {
		c.Check(node.NotMade(e), qt.IsFalse, qt.Commentf("%v", e))
	}
}

// Workers start again under their ids while all calls to them are made by other hosts. The
// delegates pass on which life has answered: of an answer without its birth the leader would
// take the ends of the new life for those that it had counted.
func TestDelegatesPassOnWhichLifeAnswers(t *testing.T) {
	const workers = 3
	run(t, 4, workers, func(x *cell) {
		x.cutLeaderFromWorkers(workers)
		before := x.submitMany(1, 12, 0, 1, 2, 3)
		pause.For(x.ctx, 6*time.Second)
		x.assertCompleted(x.leader(), before)
		for i := range workers {
			x.workers.Crash(spoolsill.WorkerID(workerName(i)))
			x.workers.Restart(spoolsill.WorkerID(workerName(i)))
		}
		pause.For(x.ctx, 700*time.Millisecond)
		after := x.submitMany(20, 12, 0, 1, 2, 3)
		pause.For(x.ctx, 2*time.Second) // their entries are late
		for i := range workers {
			x.list(i)
		}
		pause.For(x.ctx, 8*time.Second)
		x.assertCompleted(x.leader(), after)
		x.c.Check(x.workers.Broken(), qt.HasLen, 0)
		x.c.Check(x.workers.Starts(), qt.Equals, 48)
	})
}
