package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// checkpointed returns a step whose progress workers save.
func checkpointed(n, c int) sched.Step {
	s := tasks(n, c)
	s.Checkpoints = true
	s.Estimate = 20 * time.Second // so that it is not taken to be stuck
	return s
}

// startCheckpointed starts a task that saves its progress at worker "w".
func (x *cell) startCheckpointed() sched.RunID {
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", checkpointed(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	return o[0].Run
}

// A worker may exit without an announcement: its entry is deleted, and it continues for
// as long as one that drains. Checkpointed runs that it can't finish are moved.
func TestCheckpointedRunsMoveOffUnlistedWorker(t *testing.T) {
	x := newCell(t)
	r := x.startCheckpointed()
	x.state.WorkerUnlisted(x.now, "w")
	answers := map[spoolsill.WorkerID][]sched.RunID{
		"w": {r},
	}
	x.advance(time.Second, answers)
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
	x.advance(time.Second, answers)
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
}

// Guards against moving all work when an outage of the store deletes the workers'
// entries: a missing entry is ignored until it has had time to reappear.
func TestWorkersStayInUseWhenAnOutageDropsTheirEntries(t *testing.T) {
	for name, unlist := range map[string]func(x *cell){
		"entries are deleted after the store is back": func(x *cell) {
			x.state.StoreRecovered(x.now)
			x.state.WorkerUnlisted(x.now, "w")
		},
		"entries are deleted before that is known": func(x *cell) {
			x.state.WorkerUnlisted(x.now, "w")
			x.state.StoreRecovered(x.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t)
			r := x.startCheckpointed()
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

// The grace time after an outage of the store does not apply to a worker that is
// draining.
func TestNothingStartsAtDrainingWorkerAfterStoreOutage(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.listWorker("w", true)
	x.state.WorkerUnlisted(x.now, "w")
	x.state.StoreRecovered(x.now)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
}

// Guards against a lasting task that ends with its worker without a report.
func TestLastingTasksMoveBeforeTheirWorkerExits(t *testing.T) {
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
