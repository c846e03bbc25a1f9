package sched_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// incarnationAt returns an incarnation of the worker "w".
func incarnationAt(b spoolsill.StartTime) spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker:    "w",
		StartTime: b,
	}
}

// listWorkerIncarnation lists an incarnation of a worker with ten cores.
func (x *cell) listWorkerIncarnation(l spoolsill.WorkerIncarnation) {
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       l.Worker,
		Born:     l.StartTime,
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

// A restart of a worker under the same id is logged once, with both start times.
func TestNextIncarnationIsLoggedOnce(t *testing.T) {
	x := newCell(t)
	x.listWorkerIncarnation(incarnationAt(1000))
	x.listWorkerIncarnation(incarnationAt(1000))
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), "1000")
	x.now = x.now.Add(time.Second)
	x.listWorkerIncarnation(incarnationAt(7000))
	logged := x.reasons()
	x.c.Assert(logged, qt.Contains, "7000")
	x.c.Assert(logged, qt.Contains, "1000")
	x.listWorkerIncarnation(incarnationAt(7000))
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), "7000")
}

// Guards against two concurrent runs of a task. A start that was given up is carried out
// late, when its task waits to be started again. Stopping the late run takes time, during which
// the next run would start, so the late run is adopted instead.
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

// A run of a former incarnation is gone once the next incarnation has answered a call of its
// own, whose fence invalidates the order. An answer to a call for the former incarnation
// proves nothing, and late reports of the former incarnation are ignored.
func TestRunOfAFormerIncarnationIsDroppedAfterACallForTheNext(t *testing.T) {
	x := newCell(t)
	x.listWorkerIncarnation(incarnationAt(1000))
	x.answerFrom(incarnationAt(1000), incarnationAt(1000))
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.acceptStarts(o)
	x.now = x.now.Add(time.Second)
	x.answerFrom(incarnationAt(7000), incarnationAt(1000))
	x.listWorkerIncarnation(incarnationAt(7000))
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.c.Assert(x.reasons(), qt.Not(qt.Contains), string(sched.NoteRunGone))
	x.listWorkerIncarnation(incarnationAt(1000))
	x.answerFrom(incarnationAt(1000), incarnationAt(1000), o[0].Run)
	x.c.Assert(x.state.HeartbeatTargets(), qt.DeepEquals, []spoolsill.WorkerIncarnation{incarnationAt(7000)})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.answerFrom(incarnationAt(7000), incarnationAt(7000))
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#2"})
	x.c.Assert(x.state.Restarts("w"), qt.Equals, 1)
}

// Guards against a worker that is ignored since something else has written an entry with another
// start time in its place: its runs were lost to the cell, and it got nothing new.
func TestAnswerDisprovesStartTimeOfEntry(t *testing.T) {
	x := newCell(t)
	x.listWorkerIncarnation(incarnationAt(1000))
	x.answerFrom(incarnationAt(1000), incarnationAt(1000))
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	for range 3 {
		x.listWorkerIncarnation(incarnationAt(7000))
		x.now = x.now.Add(200 * time.Millisecond)
		x.answerFrom(incarnationAt(1000), incarnationAt(7000), o[0].Run)
		x.listWorkerIncarnation(incarnationAt(1000))
		x.c.Assert(x.step(), qt.HasLen, 0)
		x.c.Assert(x.state.HeartbeatTargets(), qt.DeepEquals, []spoolsill.WorkerIncarnation{incarnationAt(1000)})
	}
	x.answerFrom(incarnationAt(1000), incarnationAt(1000), o[0].Run)
	x.state.AddJob(x.now, job("k", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"k.0.0.0#1"})
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
}

// answerFrom has an incarnation answer a call that was for the incarnation asked, with the
// runs that it has.
func (x *cell) answerFrom(l, asked spoolsill.WorkerIncarnation, running ...sched.RunID) {
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

// Guards against answers for a former incarnation being applied to the next one: proof that
// the former incarnation has ended would end the new one.
func TestAnswersForAFormerIncarnationDoNotApplyToTheNext(t *testing.T) {
	x := newCell(t)
	x.listWorkerIncarnation(incarnationAt(1000))
	x.answerFrom(incarnationAt(1000), incarnationAt(1000))
	x.now = x.now.Add(time.Second)
	x.listWorkerIncarnation(incarnationAt(7000))
	x.answerFrom(incarnationAt(7000), incarnationAt(7000))
	x.state.WorkerDied(x.now, incarnationAt(1000))
	x.state.WorkerUnresponsive(x.now, incarnationAt(1000))
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.c.Assert(o[0].WorkerIncarnation, qt.Equals, incarnationAt(7000))
}
