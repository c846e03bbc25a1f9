package sched_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

func (x *cell) addWorkerInHall(id spoolsill.WorkerID, hall spoolsill.HallID) {
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       id,
		Service:  "work",
		Hall:     hall,
		Address:  string(id),
		Capacity: cores(10),
	})
	x.renewLease(id)
}

// Tasks are not started in a hall that is evacuated, start in others, and start there again once
// the evacuation is withdrawn. What runs there is not stopped.
func TestNothingStartsInAnEvacuatedHall(t *testing.T) {
	x := newCell(t)
	x.addWorkerInHall("a", "north")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 5)), sched.Progress{})
	running := x.step()
	x.acceptStarts(running)
	x.state.SetEvacuated(x.now, []spoolsill.HallID{"north"})
	x.state.AddJob(x.now, job("k", "q", tasks(1, 5)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
	x.addWorkerInHall("b", "south")
	o := x.step()
	x.c.Assert(taskNames(o), qt.DeepEquals, []string{"k.0.0.0#1"})
	x.c.Assert(o[0].Worker, qt.Equals, spoolsill.WorkerID("b"))
	x.state.AddJob(x.now, job("l", "q", tasks(2, 5)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 1)
	x.state.SetEvacuated(x.now, nil)
	o = x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.c.Assert(o[0].Worker, qt.Equals, spoolsill.WorkerID("a"))
}

// An order that was recorded before the evacuation is known is not sent after it.
func TestRecordedStartIsNotSentToAnEvacuatedHall(t *testing.T) {
	x := newCell(t)
	x.addWorkerInHall("a", "north")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 1)
	x.state.SetEvacuated(x.now, []spoolsill.HallID{"north"})
	x.c.Assert(x.state.BatchWritten(x.now, b), qt.HasLen, 0)
}
