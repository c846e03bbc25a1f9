package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A waiting gang reserves only some of the workers it may use. If it reserved all of them,
// capacity would be idle until the last run ends.
func TestWaitingGangLeavesCapacityToOthers(t *testing.T) {
	x := newCell(t)
	var big []sched.StartOrder
	for i := range 10 {
		x.addWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
		x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint("big", i)), "q", tasks(1, 6)), sched.Progress{})
	}
	big = x.step()
	x.acceptStarts(big)
	x.state.AddJob(x.now, job("gang", "q", gang(2, 10)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	for i := range 10 {
		x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint("later", i)), "q", tasks(1, 4)), sched.Progress{})
	}
	// Two tasks times gangReserveFactor on workers that fit one each: six of ten.
	later := x.step()
	x.c.Assert(later, qt.HasLen, 4)
	x.acceptStarts(later)
	left := map[spoolsill.WorkerID]bool{}
	for _, o := range later {
		left[o.Worker] = true
	}
	// The gang starts as soon as two of its reserved workers are free.
	n := 0
	for _, o := range big {
		if !left[o.Worker] && n < 2 {
			x.endRun(o, sched.EndDone)
			n++
		}
	}
	x.c.Assert(taskNames(x.step())[:2], qt.DeepEquals, []string{"gang.0.0.0#1", "gang.0.0.1#1"})
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.addWorker("b")
	x.state.AddJob(x.now, job("small", "q", tasks(1, 6)), sched.Progress{})
	small := x.step()
	x.acceptStarts(small)
	x.state.AddJob(x.now, job("g", "q", gang(3, 5)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.endRun(small[0], sched.EndDone)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"g.0.0.0#1", "g.0.0.1#1", "g.0.0.2#1"})
}

// Guards against counting a stage as done twice when two members of a gang end in one
// answer, which would skip the steps that depend on it.
func TestGangEndsOnce(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	second := tasks(1, 3)
	second.After = []int{0}
	x.state.AddJob(x.now, job("j", "q", gang(2, 3), second), sched.Progress{})
	g := x.step()
	x.acceptStarts(g)
	x.endRun(g[0], sched.EndDone)
	x.endRun(g[1], sched.EndDone)
	x.c.Assert(x.jobState(), qt.Equals, sched.Running)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.1.0#1"})
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
}

// The members of a gang end without being stopped, so stop orders would be wasted calls. A
// member that a worker lists after the end is stopped.
func TestDoneGangIsNotStopped(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", gang(2, 3)), sched.Progress{})
	g := x.step()
	x.acceptStarts(g)
	x.endRun(g[0], sched.EndDone)
	x.c.Assert(x.jobState(), qt.Equals, sched.Completed)
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
	x.renewLease("w", g[1].Run)
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
}

func TestBrokenGangRestartsOnceAllMembersAreGone(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("g", "q", gang(2, 3)), sched.Progress{})
	g := x.step()
	x.acceptStarts(g)
	x.endRun(g[0], sched.EndFailed)
	x.c.Assert(x.state.Stops(), qt.DeepEquals, []sched.StopOrder{
		{
			WorkerIncarnation: incarnationOf("w"),
			Run:               g[1].Run,
		},
	})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.endRun(g[1], sched.EndGangBroken)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"g.0.0.0#2", "g.0.0.1#2"})
}

// Members of a gang that are done wait for the others without progress.
func TestGangWithoutProgressIsNotStopped(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.state.AddJob(x.now, job("j", "q", gang(2, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.advance(5*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"a": {o[0].Run, o[1].Run},
	})
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
}

// A gang with SameRack waits for one rack, but only for as long as spreading it would cost.
func TestGangIsSpreadOverRacksWhenWaitingCostsMore(t *testing.T) {
	x := newCell(t)
	x.addWorkerInRack("a", "rack1")
	x.addWorkerInRack("b", "rack2")
	g := gang(4, 4)
	g.SameRack = true
	x.state.AddJob(x.now, job("j", "q", g), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.advance(time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"a": nil,
		"b": nil,
	})
	x.c.Assert(x.step(), qt.HasLen, 4)
}

// Guards against a gang that reserves workers although it doesn't fit on those it may use:
// a job that could use only these workers never started, in an empty cell.
func TestGangThatCannotFitReservesNoWorkers(t *testing.T) {
	for _, q := range []sched.QueueID{"q", "advised"} {
		t.Run(string(q), func(t *testing.T) {
			x := newCell(t)
			x.addWorker("a")
			if q == "advised" {
				x.addWorker("no-good")
			}
			x.state.AddJob(x.now, job("gang", q, gang(2, 8)), sched.Progress{})
			x.stepWithAdvice("a")
			x.state.AddJob(x.now, job("j", q, tasks(1, 6)), sched.Progress{})
			x.stepWithAdvice("a")
			x.c.Assert(taskNames(x.started), qt.DeepEquals, []string{"j.0.0.0#1"})
		})
	}
}

// stepWithAdvice makes a pass, answers all advisor queries with tickets for one worker, and
// makes another pass.
func (x *cell) stepWithAdvice(allowed spoolsill.WorkerID) {
	x.step()
	for _, o := range x.state.AdviceOrders() {
		x.advise(o, allowed)
	}
	x.step()
}

// Guards against stages that wait for long without a reported cause.
func TestLongestWaitReportsTheCause(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.addWorker("b")
	x.state.AddJob(x.now, job("big", "q", tasks(2, 8)), sched.Progress{})
	x.acceptStarts(x.step())
	x.state.AddJob(x.now, job("gang", "q", gang(2, 8)), sched.Progress{})
	x.step()
	w, ok := x.state.LongestWait(x.now.Add(time.Second))
	x.c.Assert(ok, qt.IsTrue)
	x.c.Assert(w.Stage.Job, qt.Equals, spoolsill.JobID("gang"))
	x.c.Assert(w.Waited > time.Second, qt.IsTrue)
	x.c.Assert(w.For, qt.Equals, "room")
	x.c.Assert([]int{w.Usable, w.Ready, w.Fitting, w.Kept}, qt.DeepEquals, []int{2, 2, 0, 0})
}

// Guards against workers reserved for a gang that waits for lasting tasks, which never end: jobs
// of lower rank never started although most of the cell was idle.
func TestGangThatLastingTasksKeepOutReservesNoWorkers(t *testing.T) {
	x := newCell(t)
	x.addPatientQueue()
	for i := range 4 {
		x.addWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
	}
	x.spreadLastingTasks(4)
	x.state.AddJob(x.now, job("gang", "q", gang(2, 10)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	l := x.state.Load()
	x.c.Assert([]int{l.Unseatable, l.Reserved}, qt.DeepEquals, []int{1, 0})
	x.state.AddJob(x.now, job("small", "patient", tasks(4, 2)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 4)
}

// A gang reserves those of its workers that lasting tasks leave enough capacity on, and only them.
func TestGangReservesWorkersBesideLastingTasks(t *testing.T) {
	x := newCell(t)
	x.addPatientQueue()
	for i := range 4 {
		x.addWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
	}
	lasting := map[spoolsill.WorkerID]bool{}
	for _, o := range x.spreadLastingTasks(2) {
		lasting[o.Worker] = true
	}
	// A small task on each worker keeps the gang waiting for now.
	small := tasks(4, 1)
	small.MaxPerWorker = 1
	x.state.AddJob(x.now, job("before", "q", small), sched.Progress{})
	before := x.step()
	x.c.Assert(before, qt.HasLen, 4)
	x.acceptStarts(before)
	x.state.AddJob(x.now, job("gang", "q", gang(2, 10)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	l := x.state.Load()
	x.c.Assert([]int{l.Unseatable, l.Reserved}, qt.DeepEquals, []int{0, 2})
	x.state.AddJob(x.now, job("later", "patient", tasks(4, 4)), sched.Progress{})
	later := x.step()
	x.c.Assert(later, qt.HasLen, 4)
	for _, o := range later {
		x.c.Assert(lasting[o.Worker], qt.IsTrue)
	}
	for _, o := range before {
		x.endRun(o, sched.EndDone)
	}
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"gang.0.0.0#1", "gang.0.0.1#1"})
}

// A lasting task that is being stopped frees its capacity, so that a gang may wait for it.
func TestGangReservesWorkersWhoseLastingTasksStop(t *testing.T) {
	x := newCell(t)
	x.addPatientQueue()
	x.addWorker("a")
	x.addWorker("b")
	x.spreadLastingTasks(2)
	x.state.AddJob(x.now, job("gang", "q", gang(2, 10)), sched.Progress{})
	x.step()
	x.state.CancelJob(x.now, "lasting")
	x.state.AddJob(x.now, job("small", "patient", tasks(2, 2)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
}

// addPatientQueue adds a queue whose stages rank below those of the queue "q".
func (x *cell) addPatientQueue() {
	x.state.SetQueues([]sched.Queue{
		{
			ID:          "patient",
			Service:     "work",
			Priority:    2,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
		},
	})
}

// spreadLastingTasks starts a job with n lasting tasks of one core, each on a worker of its own.
func (x *cell) spreadLastingTasks(n int) []sched.StartOrder {
	s := tasks(n, 1)
	s.Lasting = true
	s.MaxPerWorker = 1
	x.state.AddJob(x.now, job("lasting", "q", s), sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, n)
	x.acceptStarts(o)
	return o
}
