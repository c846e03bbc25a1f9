package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	lastingBody = `{"spec":"s","steps":[{"count":3,"cpu":8000,"estMs":500,"longRunning":true}]}`
	// maxDowntime is how long after the last disturbance the tasks of a lost worker may be down.
	maxDowntime = 10 * time.Second
)

// startLasting starts a job with three lasting tasks that each need a whole worker, and returns
// these workers.
func (x *cell) startLasting() []spoolsill.WorkerID {
	var began []spoolsill.WorkerID
	x.workers.Update(func() {
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Hour, sched.EndFailed }
		x.workers.Began = func(l spoolsill.WorkerIncarnation, _ sched.RunID, _ string) { began = append(began, l.Worker) }
	})
	x.c.Assert(x.call(0, http.MethodPost, "/q/"+jobID(1), lastingBody).status, qt.Equals, http.StatusOK)
	pause.For(x.ctx, 2*time.Second)
	x.workers.Update(func() { x.workers.Began = nil })
	x.c.Assert(began, qt.HasLen, 3)
	return began
}

// loseWorker crashes a worker for good. Its entry expires later.
func (x *cell) loseWorker(id spoolsill.WorkerID) {
	x.workers.Crash(id)
	time.AfterFunc(4500*time.Millisecond, func() {
		x.store.Delete(store.Key{
			Table: platform.WorkersTable,
			Name:  string(id),
		})
	})
}

// setCutOff cuts a host off from the platform and from the other hosts, or ends that.
func (x *cell) setCutOff(host int, cut bool) {
	x.network.SetPartitioned(hostName(host), platformNode.Name, cut)
	for i := range x.hosts {
		if i != host {
			x.network.SetPartitioned(hostName(host), hostName(i), cut)
		}
	}
}

func (x *cell) awaitTakeoverFrom(host int) {
	for x.leader() == host {
		pause.For(x.ctx, 50*time.Millisecond)
	}
}

// Guards against a lasting task that stays down for twice the lease after its worker was lost,
// because the next leader does not learn that the former one no longer extends leases.
func TestTaskOfLostWorkerIsRestartedSoonAfterTakeover(t *testing.T) {
	for _, takeovers := range []int{1, 3} {
		t.Run(fmt.Sprint(takeovers, " takeovers"), func(t *testing.T) {
			run(t, 4, 6, func(x *cell) { x.assertRestartedAfter(takeovers) })
		})
	}
}

func (x *cell) assertRestartedAfter(takeovers int) {
	x.loseWorker(x.startLasting()[0])
	for range takeovers {
		former := x.leader()
		x.setCutOff(former, true)
		x.awaitTakeoverFrom(former)
		x.setCutOff(former, false)
	}
	calm := time.Now()
	for x.workers.RunningCount() < 3 && time.Since(calm) < time.Minute {
		pause.For(x.ctx, 50*time.Millisecond)
	}
	x.c.Check(time.Since(calm) <= maxDowntime, qt.IsTrue, qt.Commentf("started again after %v", time.Since(calm)))
	x.c.Check(x.workers.Violations(), qt.HasLen, 0)
}

// A former leader that is cut off may go on extending the lease of a worker that only it
// reaches. The worker's task must not be started elsewhere meanwhile, also not after a further
// takeover.
func TestTaskRunsOnceWhileFormerLeaderExtendsLease(t *testing.T) {
	for _, takeovers := range []int{1, 2} {
		t.Run(fmt.Sprint(takeovers, " takeovers"), func(t *testing.T) {
			run(t, 4, 6, func(x *cell) { x.assertRunsOnceAfter(takeovers) })
		})
	}
}

func (x *cell) assertRunsOnceAfter(takeovers int) {
	reached := string(x.startLasting()[0])
	former := x.leader()
	for i := range x.hosts {
		if i != former {
			x.network.SetPartitioned(hostName(i), reached, true)
		}
	}
	for i := range 6 {
		if w := workerName(i); w != reached {
			x.network.SetPartitioned(hostName(former), w, true)
		}
	}
	x.setCutOff(former, true)
	x.awaitTakeoverFrom(former)
	for range takeovers - 1 {
		second := x.leader()
		x.setCutOff(second, true)
		x.awaitTakeoverFrom(second)
		x.setCutOff(second, false)
		x.network.SetPartitioned(hostName(second), hostName(former), true)
	}
	pause.For(x.ctx, 25*time.Second)
	x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	x.c.Check(x.workers.RunningCount(), qt.Equals, 3)
}

// Guards against a delayed heartbeat by which a former leader counts as over although it may lead:
// only one under the present epoch was sent after it had learned of the takeover.
func TestHeartbeatUnderFormerEpochDoesNotEndFormerLeader(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		former := x.leader()
		x.setCutOff(former, true)
		x.awaitTakeoverFrom(former)
		h, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		sender := peer.NewNode(peer.Config{
			Host: spoolsill.HostID(hostName(former)),
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return x.network.Dialer(standin.Node{
					Name:  "delayed",
					Place: "hall9",
				})(ctx, "tcp", address)
			},
		})
		defer sender.Close()
		sender.SetAddress(h.Host, h.Address)
		for _, c := range []struct {
			epoch spoolsill.Epoch
			left  int
		}{
			{0, 1},
			{h.Epoch - 1, 1},
			{h.Epoch, 0},
		} {
			_, err := peer.Call[struct{}](x.ctx, sender, h.Host, "greet", struct{ Epoch spoolsill.Epoch }{c.epoch})
			x.c.Assert(err, qt.IsNil)
			pause.For(x.ctx, time.Second)
			h, _, err := leader.ReadHead(x.ctx, x.store)
			x.c.Assert(err, qt.IsNil)
			x.c.Check(h.Former, qt.HasLen, c.left, qt.Commentf("epoch %d", c.epoch))
		}
	})
}
