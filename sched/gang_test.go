package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A gang that waits keeps some workers for itself, and leaves the rest to
// others: with all of them, room would stand idle until the last run ends.
func TestWaitingGangLeavesRoomToOthers(t *testing.T) {
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
	// Two tasks, three times over, at workers that hold one each: six of ten.
	later := x.step()
	x.c.Assert(later, qt.HasLen, 4)
	x.acceptStarts(later)
	left := map[spoolsill.WorkerID]bool{}
	for _, o := range later {
		left[o.Worker] = true
	}
	// The workers that it keeps become free one by one, and the gang starts as
	// soon as there are two.
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

// Two members of a gang that end in one answer must not count their stage done
// twice: the steps after it would be skipped.
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

// The members of a gang end by themselves: stopping them would only cost calls.
// One that is still listed later is stopped.
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

func TestBrokenGangStartsAgainOnlyWhenAllMembersAreGone(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("g", "q", gang(2, 3)), sched.Progress{})
	g := x.step()
	x.acceptStarts(g)
	x.endRun(g[0], sched.EndFailed)
	x.c.Assert(x.state.Stops(), qt.DeepEquals, []sched.StopOrder{
		{
			Life: lifeOf("w"),
			Run:  g[1].Run,
		},
	})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.endRun(g[1], sched.EndGangBroken)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"g.0.0.0#2", "g.0.0.1#2"})
}

// Members of a gang that are through wait for the others.
func TestGangThatStandsStillIsLeftAlone(t *testing.T) {
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

// A gang that should be in one rack waits for one, but not for ever.
func TestGangIsSpreadOverRacksWhenWaitingCostsMore(t *testing.T) {
	x := newCell(t)
	x.listIn("a", "rack1")
	x.listIn("b", "rack2")
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

// Guards against a gang that keeps workers though those that it may use can't seat it: a job
// that could use only these never started, in a cell that stood empty.
func TestGangThatCannotBeSeatedKeepsNoWorkers(t *testing.T) {
	for _, q := range []sched.QueueID{"q", "advised"} {
		t.Run(string(q), func(t *testing.T) {
			x := newCell(t)
			x.addWorker("a")
			if q == "advised" {
				x.addWorker("no-good")
			}
			x.state.AddJob(x.now, job("gang", q, gang(2, 8)), sched.Progress{})
			x.stepAdvised("a")
			x.state.AddJob(x.now, job("j", q, tasks(1, 6)), sched.Progress{})
			x.stepAdvised("a")
			x.c.Assert(taskNames(x.started), qt.DeepEquals, []string{"j.0.0.0#1"})
		})
	}
}

// stepAdvised decides, answers all questions with tickets for one worker, and decides again.
func (x *cell) stepAdvised(good spoolsill.WorkerID) {
	x.step()
	for _, o := range x.state.AdviceOrders() {
		x.advise(o, good)
	}
	x.step()
}

// Guards against a stage that waits for long without a word on what it waits for.
func TestLongestWaitTellsWhatIsMissing(t *testing.T) {
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
