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

// cutLeaderFromWorkers cuts the leader off from all workers.
func (x *cell) cutLeaderFromWorkers(workers int) {
	l := x.leader()
	for i := range workers {
		x.network.SetPartitioned(hostName(l), workerName(i), true)
	}
}

// submitMany submits jobs to hosts in turn and returns their ids.
func (x *cell) submitMany(first, n int, hosts ...int) []string {
	var ids []string
	for i := range n {
		id := jobID(first + i)
		r := x.call(hosts[i%len(hosts)], http.MethodPost, "/q/"+id, body)
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

// Delegates make the leader's calls to workers: a leader that is cut off from all
// workers must still serve the cell.
func TestDelegatesMakeLeaderCalls(t *testing.T) {
	const workers = 6
	run(t, 4, workers, func(x *cell) {
		x.cutLeaderFromWorkers(workers)
		ids := x.submitMany(1, 20, 0, 1, 2, 3)
		pause.For(x.ctx, 6*time.Second)
		x.assertCompleted(x.leader(), ids)
		x.c.Check(x.workers.StartCount(), qt.Equals, 40)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}

// When a delegate is paused or cut off from all workers, other hosts must take over its
// calls within a fraction of a lease, so that no task waits for a lease to expire and
// none is started twice.
func TestFailedDelegateIsReplaced(t *testing.T) {
	const workers = 6
	for name, set := range map[string]func(x *cell, host int, failing bool){
		"paused": func(x *cell, host int, failing bool) {
			x.network.SetPaused(hostName(host), failing)
		},
		"cut off from workers": func(x *cell, host int, failing bool) {
			for i := range workers {
				x.network.SetPartitioned(hostName(host), workerName(i), failing)
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
				x.c.Check(x.workers.StartCount(), qt.Equals, 2*(next-1))
				x.c.Check(x.workers.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// Hosts, including the leader, are randomly paused or cut off from the store, from
// workers and from each other, while orders are lost or delayed. No task may run on two
// workers or start after its end was acknowledged, no worker may exceed its capacity, and
// all jobs must be completed in the end.
func TestNoDuplicateRunsWhileDelegatesFail(t *testing.T) {
	for s := range uint64(12) {
		t.Run(fmt.Sprint(s), func(t *testing.T) { testFailingDelegates(t, s) })
	}
}

func testFailingDelegates(t *testing.T, seed uint64) {
	const (
		hosts   = 5
		workers = 5
		rounds  = 12
	)
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t, 0, workers)
		defer x.end()
		r := rand.New(rand.NewPCG(seed, 1))
		orderRand := rand.New(rand.NewPCG(seed, 2))
		var orderFaults faultRate
		x.workers.Capacity = 8
		x.workers.Update(func() {
			x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
				return orderFaults.draw(orderRand)
			}
		})
		for i := range hosts { // they call the workers from now on
			x.start(i)
		}
		pause.For(x.ctx, 2*time.Second)
		var ids []string
		for k := range rounds {
			orderFaults.set(r.IntN(3) * 5)
			h := r.IntN(hosts)
			x.injectFault(r, h, workers, true)
			for range 6 {
				id := jobID(len(ids) + 1)
				if x.call((h+1+k)%hosts, http.MethodPost, "/q/"+id, body).status == http.StatusOK {
					ids = append(ids, id)
				}
				pause.For(x.ctx, time.Duration(r.IntN(300))*time.Millisecond)
			}
			x.injectFault(r, h, workers, false)
		}
		orderFaults.set(0)
		pause.For(x.ctx, 30*time.Second)
		x.assertCompleted(x.leader(), ids)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}

// injectFault injects a random fault at a host, or removes all faults from it.
func (x *cell) injectFault(r *rand.Rand, host, workers int, begin bool) {
	kind := r.IntN(4)
	if begin && kind == 0 {
		x.network.SetPaused(hostName(host), true)
		return
	}
	if begin && kind == 1 {
		x.network.SetPartitioned(hostName(host), platformNode.Name, true)
		return
	}
	if begin && kind == 2 {
		x.network.SetPartitioned(hostName(host), hostName((host+1+r.IntN(len(x.hosts)-1))%len(x.hosts)), true)
		return
	}
	if begin {
		for i := range workers {
			x.network.SetPartitioned(hostName(host), workerName(i), r.IntN(2) == 0)
		}
		return
	}
	x.network.SetPaused(hostName(host), false)
	x.network.SetPartitioned(hostName(host), platformNode.Name, false)
	for i := range x.hosts {
		x.network.SetPartitioned(hostName(host), hostName(i), false)
	}
	for i := range workers {
		x.network.SetPartitioned(hostName(host), workerName(i), false)
	}
}

// A faultRate is the percentage of orders that are subject to a fault. It is safe for
// concurrent use.
type faultRate struct {
	mu      sync.Mutex
	percent int
}

func (f *faultRate) set(p int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.percent = p
}

func (f *faultRate) draw(r *rand.Rand) cellfake.OrderFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.IntN(100) >= f.percent {
		return cellfake.OrderOK
	}
	return cellfake.OrderLoseReply + cellfake.OrderFault(r.IntN(3))
}

// Only errors that a delegate returns before it calls a worker prove that the call was
// not made.
func TestCallNotMade(t *testing.T) {
	refusal := func(c peer.Code) error {
		return fmt.Errorf("call: %w", &peer.RemoteError{
			Code: c,
		})
	}
	c := qt.New(t)
	for _, e := range []error{peer.ErrUnreachable, refusal(peer.CodeBusy), refusal(peer.CodeNoSuchMethod), refusal(peer.CodeBadInput)} {
		c.Check(node.CallNotMade(e), qt.IsTrue, qt.Commentf("%v", e))
	}
	for _, e := range []error{refusal(peer.CodeInternal), refusal("of a later release"), peer.ErrReplyLost, context.DeadlineExceeded} {
		c.Check(node.CallNotMade(e), qt.IsFalse, qt.Commentf("%v", e))
	}
}

// Workers restart under the same ids while delegates make all calls to them. Delegates
// must report which incarnation answered: without its start time, the leader would mistake
// ends reported by the new incarnation for ends that it has already counted.
func TestDelegatesReportWorkerIncarnation(t *testing.T) {
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
		pause.For(x.ctx, 2*time.Second) // the workers' new entries are written late
		for i := range workers {
			x.writeWorkerEntry(i)
		}
		pause.For(x.ctx, 8*time.Second)
		x.assertCompleted(x.leader(), after)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
		x.c.Check(x.workers.StartCount(), qt.Equals, 48)
	})
}
