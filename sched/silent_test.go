package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/sched"
)

// A worker that leaves an order without an answer, and answers nothing else, may
// be cut off: what would be started there would be in doubt.
func TestSilentWorkerGetsNothingNewUntilItAnswers(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.WorkerUnresponsive(x.now, lifeOf("w"))
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.renewLease("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

func TestWorkerWithAnOldAnswerGetsNothingNew(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.now = x.now.Add(time.Second)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
}

// A new leader asks the advisor once most workers have answered, not about the
// first one alone.
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
	x.c.Assert(x.question().Workers, qt.HasLen, 2)
}
