package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/sched"
)

// A worker that leaves an order unanswered and answers nothing else may be cut off. The outcome
// of a start there might remain unknown, so nothing new is started until it answers.
func TestNothingStartsAtUnresponsiveWorker(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.WorkerUnresponsive(x.now, incarnationOf("w"))
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.renewLease("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

func TestNothingStartsAtWorkerWithStaleAnswer(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.now = x.now.Add(time.Second)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
}

// Guards against a new leader that asks the advisor about the first worker alone: it
// waits until most workers have answered.
func TestNewLeaderWaitsForTheWorkers(t *testing.T) {
	x := newCell(t)
	x.state = sched.New(sched.Config{
		Lease:      lease,
		SettleTime: 80 * time.Millisecond,
	})
	x.state.SetQueues([]sched.Queue{
		{
			ID:      "advised",
			Service: "work",
			Advisor: &sched.Advisor{},
		},
	})
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 1)), sched.Progress{})
	x.addWorker("w1")
	x.step()
	x.c.Assert(x.state.AdviceOrders(), qt.HasLen, 0)
	x.now = x.now.Add(50 * time.Millisecond)
	x.addWorker("w2")
	x.now = x.now.Add(50 * time.Millisecond)
	x.step()
	x.c.Assert(x.query().Workers, qt.HasLen, 2)
}
