package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// saving is a step whose progress workers save.
func saving(n, c int) sched.Step {
	s := tasks(n, c)
	s.Checkpoints = true
	s.Estimate = 20 * time.Second // not taken to stand still meanwhile
	return s
}

// startSaving starts a task that saves its progress at worker "w".
func (x *cell) startSaving() sched.RunID {
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", saving(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	return o[0].Run
}

// A worker may leave without a word: its entry goes, and it goes on for as long
// as one that says so. What it can't finish goes on elsewhere.
func TestWorkIsSavedFromAWorkerWhoseEntryWent(t *testing.T) {
	x := newCell(t)
	r := x.startSaving()
	x.state.WorkerUnlisted(x.now, "w")
	answers := map[spoolsill.WorkerID][]sched.RunID{
		"w": {r},
	}
	x.advance(time.Second, answers)
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
	x.advance(time.Second, answers)
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
}

// Entries that go with an outage of the store say nothing about the workers,
// until they had the time to be back.
func TestWorkersWhoseEntriesLapsedAreUsedOn(t *testing.T) {
	for name, unlist := range map[string]func(x *cell){
		"entries go after the store is back": func(x *cell) {
			x.state.StoreBack(x.now)
			x.state.WorkerUnlisted(x.now, "w")
		},
		"entries go before that is known": func(x *cell) {
			x.state.WorkerUnlisted(x.now, "w")
			x.state.StoreBack(x.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t)
			r := x.startSaving()
			unlist(x)
			answers := map[spoolsill.WorkerID][]sched.RunID{
				"w": {r},
			}
			x.advance(1500*time.Millisecond, answers)
			x.state.AddJob(x.now, job("in-time", "q", tasks(1, 1)), sched.Progress{})
			o := x.step()
			x.c.Assert(taskNames(o), qt.DeepEquals, []string{"in-time.0.0.0#1"})
			x.acceptStarts(o)
			answers["w"] = append(answers["w"], o[0].Run)
			x.advance(time.Second, answers)
			x.state.AddJob(x.now, job("too-late", "q", tasks(1, 1)), sched.Progress{})
			x.c.Assert(x.step(), qt.HasLen, 0)
			x.c.Assert(x.state.Stops(), qt.HasLen, 0)
		})
	}
}

// A worker that said that it leaves gets nothing new, outage or not.
func TestDrainingWorkerIsNotUsedOnAfterAnOutage(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.listWorker("w", true)
	x.state.WorkerUnlisted(x.now, "w")
	x.state.StoreBack(x.now)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
}

// A lasting task would end with its worker, and nobody would say so.
func TestLastingWorkMovesBeforeItsWorkerLeaves(t *testing.T) {
	x := newCell(t)
	x.addWorker("w1")
	s := tasks(1, 1)
	s.Lasting = true
	x.state.AddJob(x.now, job("j", "q", s), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.addWorker("w2")
	x.state.WorkerListed(x.now, sched.Worker{
		ID:        "w1",
		Service:   "work",
		Address:   "w1",
		Capacity:  cores(10),
		Draining:  true,
		Remaining: 2 * time.Second,
	})
	x.step()
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
	x.advance(1500*time.Millisecond, map[spoolsill.WorkerID][]sched.RunID{
		"w1": {o[0].Run},
		"w2": nil,
	})
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
	x.endRun(o[0], sched.EndStopped)
	again := x.step()
	x.c.Assert(again, qt.HasLen, 1)
	x.c.Assert(again[0].Worker, qt.Equals, spoolsill.WorkerID("w2"))
}
