package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/sched"
)

// endedAccount returns the account in the note about the end of a job.
func (x *cell) endedAccount() sched.Account {
	for _, n := range x.state.Notes() {
		if n.Kind == sched.NoteJobEnded {
			return *n.Account
		}
	}
	x.c.Fatal("no job has ended")
	return sched.Account{}
}

func TestEndedJobReportsWaitTimes(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("first", "q", tasks(1, 10)), sched.Progress{})
	first := x.step()
	x.acceptStarts(first)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 10)), sched.Progress{})
	x.step()
	for range 10 {
		x.now = x.now.Add(90 * time.Millisecond)
		x.step()
	}
	x.endRun(first[0], sched.EndDone)
	x.state.Notes()
	again := x.step()
	x.acceptStarts(again)
	x.endRun(again[0], sched.EndFailed)
	last := x.step()
	x.acceptStarts(last)
	x.state.Notes()
	x.endRun(last[0], sched.EndDone)
	a := x.endedAccount()
	x.c.Assert(a.Room >= 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", a))
	x.c.Assert(a.Advice, qt.Equals, time.Duration(0))
	x.c.Assert(a.Failed, qt.Equals, 1)
	x.c.Assert(a.Objective, qt.Not(qt.Equals), time.Duration(0))
}
