package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A worker whose entry was overwritten by another program gets nothing new, keeps its
// runs, and is used again after its next valid entry.
func TestWorkerWithAnInvalidEntryKeepsItsRuns(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.state.WorkerEntryInvalid(x.now, "w")
	x.state.AddJob(x.now, job("k", "q", tasks(1, 1)), sched.Progress{})
	for range 8 {
		x.now = x.now.Add(500 * time.Millisecond)
		x.renewLease("w", o[0].Run)
		x.c.Assert(x.step(), qt.HasLen, 0)
	}
	x.c.Assert(x.state.HeartbeatTargets(), qt.DeepEquals, []spoolsill.WorkerIncarnation{incarnationOf("w")})
	x.endRun(o[0], sched.EndDone)
	x.c.Assert(x.jobState(), qt.Equals, sched.Completed)
	x.addWorker("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

// Orders that were recorded before the entry became invalid are not sent.
func TestOrderToAWorkerWithAnInvalidEntryIsNotSent(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 1)
	x.state.WorkerEntryInvalid(x.now, "w")
	x.c.Assert(x.state.BatchWritten(x.now, b), qt.HasLen, 0)
}

// An invalid entry of an unknown worker is ignored, and a worker of a service that no
// queue uses is not contacted.
func TestIrrelevantWorkersAreNotContacted(t *testing.T) {
	x := newCell(t)
	x.state.WorkerEntryInvalid(x.now, "nobody")
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       "other",
		Service:  "elsewhere",
		Address:  "other",
		Capacity: cores(10),
	})
	x.c.Assert(x.state.HeartbeatTargets(), qt.HasLen, 0)
}
