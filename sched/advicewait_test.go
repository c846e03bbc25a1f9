package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// newShortAdvisor returns a cell whose advisor's time is short: hosts can make four long queries, and
// 120 wide jobs, which fit on no worker, want to be asked about.
func newShortAdvisor(t *testing.T) *cell {
	x := newCell(t)
	x.state.SetQueues([]sched.Queue{
		{
			ID:          "wide",
			Service:     "work",
			Priority:    2,
			MaxAttempts: 4,
			Stretch:     100,
			Goal:        time.Minute,
			Advisor: &sched.Advisor{
				Base:      500 * time.Millisecond,
				PerWorker: 7 * time.Millisecond,
			},
		},
		{
			ID:          "plain",
			Service:     "work",
			MaxAttempts: 1,
			Stretch:     100,
		},
	})
	x.state.SetMaxQueries(4)
	for i := range 120 {
		x.submitWide(fmt.Sprint("wide", i), tasks(17, 20))
	}
	return x
}

func (x *cell) submitWide(id string, p sched.Step) {
	j := job(spoolsill.JobID(id), "wide", p)
	j.Received = x.now
	x.state.AddJob(x.now, j, sched.Progress{})
}

// queriesFor makes passes for some time, in which workers renew their leases and queries are answered
// after the time that they take, with tickets for all workers or with nothing. It returns the times
// after which a job was asked about.
func (x *cell) queriesFor(d time.Duration, about spoolsill.JobID, answer bool, workers map[spoolsill.WorkerID][]sched.RunID) []time.Duration {
	var asked []time.Duration
	var inFlight []sched.AdviceOrder
	begun := x.now
	for x.now.Sub(begun) < d {
		x.acceptStarts(x.step())
		for _, o := range x.state.AdviceOrders() {
			if o.Stage.Job == about {
				asked = append(asked, x.now.Sub(begun))
			}
			inFlight = append(inFlight, o)
		}
		inFlight = slices.DeleteFunc(inFlight, func(o sched.AdviceOrder) bool {
			if x.now.Sub(o.Ordered) < o.Cost {
				return false
			}
			if !answer {
				x.state.AdviceReceived(x.now, sched.Advice{
					Order: o,
					Lost:  true,
				})
				return true
			}
			var ids []spoolsill.WorkerID
			for _, w := range o.Workers {
				ids = append(ids, w.Worker)
			}
			x.advise(o, ids...)
			return true
		})
		for id, runs := range workers {
			x.renewLease(id, runs...)
		}
	}
	return asked
}

// Guards against a leader that crashes while no worker of a service accepts tasks and its stages have
// waited for long: a hall is cut off while the advisor's time is short.
func TestNoWorkerIsReadyWhileTheAdvisorIsShort(t *testing.T) {
	x := newShortAdvisor(t)
	x.addWorker("w")
	x.queriesFor(20*time.Second, "", false, nil)
	x.c.Assert(x.state.Load().Ready, qt.Equals, 0)
}

// Guards against a stage of few tasks that waits beside a worker with room for all of them, since
// the advisor may not allow that worker.
func TestNarrowStageIsAskedAboutBesideAnIdleWorker(t *testing.T) {
	x := newShortAdvisor(t)
	x.addWorker("w")
	workers := map[spoolsill.WorkerID][]sched.RunID{"w": nil}
	x.queriesFor(2*time.Second, "", false, workers)
	x.c.Assert(x.state.Load().AdviceShort, qt.IsTrue)
	x.submitWide("narrow", tasks(1, 1))
	x.submitWide("wider", tasks(10, 1))
	asked := x.queriesFor(longestIdle/2, "narrow", false, workers)
	x.c.Assert(len(asked) > 0, qt.IsTrue)
}

// Guards against a gang that waits beside idle workers, since others that it may use would have
// room for it if they were empty.
func TestGangIsAskedAboutIdleWorkersWhileTheAdvisorIsShort(t *testing.T) {
	x := newShortAdvisor(t)
	workers := map[spoolsill.WorkerID][]sched.RunID{}
	for i := range 8 {
		x.addWorker(spoolsill.WorkerID(fmt.Sprint("busy", i)))
	}
	p := tasks(8, 10)
	p.Estimate = time.Minute
	full := job("full", "plain", p)
	full.Received = x.now
	x.state.AddJob(x.now, full, sched.Progress{})
	starts := x.step()
	x.acceptStarts(starts)
	for _, o := range starts {
		workers[o.Worker] = append(workers[o.Worker], o.Run)
	}
	x.c.Assert(workers, qt.HasLen, 8)
	x.submitWide("gang", gang(2, 9))
	asked := x.queriesFor(6*time.Second, "gang", true, workers)
	x.c.Assert(len(asked) > 0, qt.IsTrue)
	for i := range 8 {
		id := spoolsill.WorkerID(fmt.Sprint("idle", i))
		x.addWorker(id)
		workers[id] = nil
	}
	asked = x.queriesFor(longestIdle/2, "gang", true, workers)
	x.c.Assert(len(asked) > 0, qt.IsTrue)
}
