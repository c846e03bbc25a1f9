package sched_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// bornIn returns a life of the worker "w".
func bornIn(b spoolsill.StartTime) spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker: "w",
		Born:   b,
	}
}

// listBorn lists a life of a worker with ten cores.
func (x *cell) listBorn(l spoolsill.WorkerIncarnation) {
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       l.Worker,
		Born:     l.Born,
		Service:  "work",
		Address:  string(l.Worker),
		Capacity: cores(10),
	})
}

// reasons returns the kinds and reasons of the notes since the last call.
func (x *cell) reasons() string {
	var all []string
	for _, n := range x.state.Notes() {
		all = append(all, string(n.Kind)+": "+n.Reason)
	}
	return strings.Join(all, "\n")
}

// A restart of a worker under the same id is logged once, with both births.
func TestNextLifeIsLoggedOnce(t *testing.T) {
	x := newCell(t)
	x.listBorn(bornIn(1000))
	x.listBorn(bornIn(1000))
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), "1000")
	x.now = x.now.Add(time.Second)
	x.listBorn(bornIn(7000))
	told := x.reasons()
	x.c.Assert(told, qt.Contains, "7000")
	x.c.Assert(told, qt.Contains, "1000")
	x.listBorn(bornIn(7000))
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), "7000")
}

// Guards against two concurrent runs of a task. A start that was given up is carried out
// late, when its task waits to be started again. Stopping the run takes time, and the
// next one would run beside it, so the late run is adopted instead.
func TestLateRunIsAdopted(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.answerStart(o[0], sched.StartUnknown)
	x.now = x.now.Add(2 * time.Second)
	x.renewLease("w") // past the order's deadline
	x.renewLease("w", o[0].Run)
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
	x.endRun(o[0], sched.EndDone)
	x.step()
	x.c.Assert(x.jobState(), qt.Equals, sched.Completed)
}

// A run of a former life is gone once the next life has answered a call of its own,
// whose fence invalidates the order. An answer to a call for the former life proves
// nothing, and late reports of the former life are ignored.
func TestRunOfAFormerLifeIsDroppedAfterACallForTheNext(t *testing.T) {
	x := newCell(t)
	x.listBorn(bornIn(1000))
	x.answerBorn(bornIn(1000), bornIn(1000))
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.acceptStarts(o)
	x.now = x.now.Add(time.Second)
	x.answerBorn(bornIn(7000), bornIn(1000))
	x.listBorn(bornIn(7000))
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), string(sched.NoteRunGone))
	x.listBorn(bornIn(1000))
	x.answerBorn(bornIn(1000), bornIn(1000), o[0].Run)
	x.c.Assert(x.state.HeartbeatTargets(), qt.DeepEquals, []spoolsill.WorkerIncarnation{bornIn(7000)})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.answerBorn(bornIn(7000), bornIn(7000))
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#2"})
	x.c.Assert(x.state.Restarts("w"), qt.Equals, 1)
}

// answerBorn has a life answer a call that was for the life asked, with the runs that it
// has.
func (x *cell) answerBorn(l, asked spoolsill.WorkerIncarnation, running ...sched.RunID) {
	x.state.LeaseRequested(asked, sched.LeaseEnd(x.now, lease))
	h := sched.Heartbeat{
		WorkerIncarnation: l,
		Asked:             asked,
		Sent:              x.now,
		Clock:             sched.ClockMillis(x.now.UnixMilli()),
	}
	for _, r := range running {
		h.Running = append(h.Running, sched.RunningTask{
			Run: r,
		})
	}
	x.state.Heartbeat(x.now, h)
}

// Guards against answers for a former life being applied to the next one: proof that the
// former life has ended would end the new one.
func TestAnswersForAFormerLifeSayNothingOfTheNext(t *testing.T) {
	x := newCell(t)
	x.listBorn(bornIn(1000))
	x.answerBorn(bornIn(1000), bornIn(1000))
	x.now = x.now.Add(time.Second)
	x.listBorn(bornIn(7000))
	x.answerBorn(bornIn(7000), bornIn(7000))
	x.state.WorkerDied(x.now, bornIn(1000))
	x.state.WorkerUnresponsive(x.now, bornIn(1000))
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.c.Assert(o[0].WorkerIncarnation, qt.Equals, bornIn(7000))
}
