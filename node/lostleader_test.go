package node_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// cutFromPlatform cuts a host off from the platform, or ends that.
func (x *cell) cutFromPlatform(host int, cut bool) {
	x.network.SetPartitioned(hostName(host), platformNode.Name, cut)
}

// cutApart cuts two hosts off from each other.
func (x *cell) cutApart(a, b int) {
	x.network.SetPartitioned(hostName(a), hostName(b), true)
}

// awaitRuns waits until n tasks run, and returns how long that took.
func (x *cell) awaitRuns(n int) time.Duration {
	begun := time.Now()
	for x.workers.RunningCount() < n && time.Since(begun) < time.Minute {
		pause.For(x.ctx, 50*time.Millisecond)
	}
	return time.Since(begun)
}

// Guards against a lasting task that stays down for twice the lease after its worker was lost, because the
// leaders of that time never come back.
func TestTaskOfLostWorkerIsRestartedSoonAfterLeadersAreLost(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		t.Run(fmt.Sprint(lost, " leaders"), func(t *testing.T) {
			run(t, 6, 6, func(x *cell) {
				x.loseWorker(x.startLasting()[0])
				for range lost {
					former := x.leader()
					x.setCutOff(former, true)
					x.awaitTakeoverFrom(former)
					pause.For(x.ctx, time.Second)
				}
				took := x.awaitRuns(3)
				x.c.Check(took <= maxDowntime, qt.IsTrue, qt.Commentf("started again after %v", took))
				x.c.Check(x.workers.Violations(), qt.HasLen, 0)
			})
		})
	}
}

// splitWorkers lets one host reach all workers but one, and the other hosts only that one: a worker that
// both reach would tell a former leader that another host leads.
func (x *cell) splitWorkers(next int, reached string) {
	for w := range 6 {
		for h := range max(len(x.hosts), next+1) {
			reaches := (h == next) != (workerName(w) == reached)
			x.network.SetPartitioned(hostName(h), workerName(w), !reaches)
		}
	}
}

// A leader that is cut off from the store goes on extending leases as long as its followers confirm
// that they follow, since none of them can lead. A host that it does not know may take over
// meanwhile, and must not start the tasks of a worker that only the former leader reaches.
func TestTaskRunsOnceWhenUnknownHostTakesOver(t *testing.T) {
	run(t, 3, 6, func(x *cell) {
		reached := string(x.startLasting()[0])
		former := x.leader()
		const unknown = 3
		for i := range 3 {
			x.cutFromPlatform(i, true)
			x.cutApart(i, unknown)
		}
		x.splitWorkers(unknown, reached)
		x.start(unknown)
		x.awaitTakeoverFrom(former)
		pause.For(x.ctx, 25*time.Second)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
		x.c.Check(x.workers.RunningCount(), qt.Equals, 3)
	})
}

// A follower that takes over no longer confirms that it follows, so that the former leader stops extending
// leases although its other followers go on confirming.
func TestTaskRunsOnceWhenOneFollowerTakesOver(t *testing.T) {
	run(t, 4, 6, func(x *cell) {
		reached := string(x.startLasting()[0])
		former := x.leader()
		next := (former + 1) % 4
		for i := range 4 {
			if i != next {
				x.cutFromPlatform(i, true)
				x.cutApart(i, next)
			}
		}
		x.splitWorkers(next, reached)
		x.awaitTakeoverFrom(former)
		pause.For(x.ctx, 25*time.Second)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
		x.c.Check(x.workers.RunningCount(), qt.Equals, 3)
	})
}

// Work outlives an outage of the store that is longer than a lease, also if a host was lost some time
// before.
func TestRunsOutliveLongOutage(t *testing.T) {
	run(t, 4, 6, func(x *cell) {
		x.startLasting()
		x.setCutOff((x.leader()+1)%4, true)
		pause.For(x.ctx, 15*time.Second)
		began := x.workers.StartCount()
		x.store.SetUnavailable(true)
		pause.For(x.ctx, testLease+3*time.Second)
		x.c.Check(x.workers.RunningCount(), qt.Equals, 3)
		x.store.SetUnavailable(false)
		pause.For(x.ctx, 5*time.Second)
		x.c.Check(x.workers.RunningCount(), qt.Equals, 3)
		x.c.Check(x.workers.StartCount(), qt.Equals, began)
	})
}

// Leaders are lost, cut off and brought back, and hosts and workers are cut off from each other, at random.
// No task runs twice at the same time, and all run in the end.
func TestLastingTasksRunOnceWhateverHappensToLeaders(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			run(t, 5, 6, func(x *cell) {
				x.startLasting()
				r := rand.New(rand.NewPCG(seed, 3))
				for range 12 {
					i := r.IntN(5)
					switch r.IntN(5) {
					case 0:
						x.setCutOff(i, true)
					case 1:
						x.cutFromPlatform(i, true)
					case 2:
						x.cutApart(i, (i+1+r.IntN(4))%5)
					case 3:
						x.network.SetPartitioned(hostName(i), workerName(r.IntN(6)), true)
					case 4:
						x.heal()
					}
					pause.For(x.ctx, time.Duration(r.IntN(4000))*time.Millisecond)
				}
				x.heal()
				pause.For(x.ctx, 25*time.Second)
				x.c.Check(x.workers.Violations(), qt.HasLen, 0)
				x.c.Check(x.workers.RunningCount(), qt.Equals, 3)
			})
		})
	}
}

// heal ends all cuts.
func (x *cell) heal() {
	for i := range x.hosts {
		x.setCutOff(i, false)
		for w := range 6 {
			x.network.SetPartitioned(hostName(i), workerName(w), false)
		}
	}
}
