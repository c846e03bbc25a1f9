package sched_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// incarnationID returns the id of an incarnation of a machine.
func incarnationID(machine, n int) spoolsill.WorkerID {
	return spoolsill.WorkerID(fmt.Sprintf("m%d-%d", machine, n))
}

// listIncarnation lists an incarnation of a machine of ten cores and renews its lease. As on
// some platforms, entries do not name the machine; its incarnations share an address.
func (x *cell) listIncarnation(machine, n int) spoolsill.WorkerID {
	id := incarnationID(machine, n)
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       id,
		Service:  "work",
		Address:  fmt.Sprint("address of ", machine),
		Capacity: cores(10),
	})
	x.renewLease(id)
	return id
}

// startOf returns the start of a job's task among orders.
func startOf(c *qt.C, j spoolsill.JobID, orders []sched.StartOrder) sched.StartOrder {
	for _, o := range orders {
		if o.Run.Task.Stage.Job == j {
			return o
		}
	}
	c.Fatalf("no start of %s among %v", j, taskNames(orders))
	return sched.StartOrder{}
}

// A lossCase is a way in which a worker with a run may be lost.
type lossCase struct {
	name string
	// end ends the worker of an order, or makes it appear lost.
	end func(x *cell, o sched.StartOrder)
	// counts is set when the loss counts against the task.
	counts bool
}

func lossCases() []lossCase {
	confirm := func(x *cell, o sched.StartOrder) {
		x.acceptStarts([]sched.StartOrder{o})
		x.now = x.now.Add(100 * time.Millisecond)
		x.renewLease(o.Worker, o.Run)
	}
	return []lossCase{
		{
			name: "its address answers for another incarnation",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.now = x.now.Add(3 * time.Second)
				x.state.WorkerDied(x.now, o.WorkerIncarnation)
			},
			counts: true,
		},
		{
			name: "its entry is deleted, then its machine has a new incarnation",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.now = x.now.Add(3 * time.Second)
				x.state.WorkerUnlisted(x.now, o.Worker)
				x.listWorker(o.Worker+"x", false)
				x.state.WorkerDied(x.now, o.WorkerIncarnation)
			},
			counts: true,
		},
		{
			name: "it never answers again",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.advance(lease+2*time.Second, nil)
			},
			counts: true,
		},
		{
			name: "its lease expires, then it answers again",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.advance(lease+2*time.Second, nil)
				x.renewLease(o.Worker)
			},
		},
		{
			name: "it exits as announced",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.listWorker(o.Worker, true)
				x.now = x.now.Add(3 * time.Second)
				x.state.EntriesSynced(x.now, x.now)
				x.listWorker(o.Worker, true)
				x.renewLease(o.Worker, o.Run)
				x.state.WorkerUnlisted(x.now, o.Worker)
				x.state.WorkerConnRefused(x.now, o.WorkerIncarnation)
			},
		},
		{
			name: "the order is for another incarnation",
			end: func(x *cell, o sched.StartOrder) {
				x.answerStart(o, sched.StartOtherIncarnation)
			},
		},
		{
			name: "it is healthy and does not have the run",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.now = x.now.Add(time.Second)
				x.renewLease(o.Worker)
			},
		},
	}
}

// Only a loss that may have been caused by the task is stored with the job's progress.
func TestLossesCountedAgainstTask(t *testing.T) {
	for _, e := range lossCases() {
		t.Run(e.name, func(t *testing.T) {
			x := newCell(t)
			x.listIncarnation(0, 0)
			x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
			o := x.step()
			x.c.Assert(o, qt.HasLen, 1)
			e.end(x, o[0])
			x.listIncarnation(1, 0)
			x.now = x.now.Add(time.Second)
			x.renewLease(incarnationID(1, 0))
			b, err := x.jobRow()
			x.c.Assert(err, qt.IsNil)
			p, err := sched.DecodeProgress(b)
			x.c.Assert(err, qt.IsNil)
			x.c.Assert(len(p.Crashes) > 0, qt.Equals, e.counts)
		})
	}
}

// A worker that is lost before the order is sent does not count against the task.
func TestLossBeforeTheOrderIsSentDoesNotCount(t *testing.T) {
	x := newCell(t)
	x.listIncarnation(0, 0)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 1)
	x.state.WorkerDied(x.now, incarnationOf(incarnationID(0, 0)))
	x.listIncarnation(1, 0)
	v, err := x.jobRow()
	x.c.Assert(err, qt.IsNil)
	p, err := sched.DecodeProgress(v)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(p.Crashes, qt.HasLen, 0)
}

// jobRow makes decisions and returns the row of job "j" in the next batch.
func (x *cell) jobRow() ([]byte, error) {
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	for _, r := range b.Rows {
		if r.ID == "j" {
			return r.Value, err
		}
	}
	return nil, errors.New("no row of j")
}

// A worker that answers after its entry was deleted may have been decommissioned without
// notice. Such losses are no proof: the job fails after five of them, not three.
func TestDecommissionedWorkersAreNoProof(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	starts := 0
	for i := range 8 {
		id := x.listIncarnation(i, 0)
		o := x.step()
		if len(o) == 0 {
			break
		}
		starts++
		x.acceptStarts(o)
		x.state.WorkerUnlisted(x.now, id)
		x.now = x.now.Add(50 * time.Millisecond)
		x.renewLease(id, o[0].Run)
		x.now = x.now.Add(time.Second)
		x.state.WorkerDied(x.now, incarnationOf(id))
	}
	x.c.Assert(starts, qt.Equals, 5)
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}

// crash has the worker of an order accept it and crash once the run has the given age. The
// machine is back after three seconds, which proves the crash.
func (x *cell) crash(o sched.StartOrder, age time.Duration) {
	x.acceptStarts([]sched.StartOrder{o})
	for end := x.now.Add(age); x.now.Before(end); {
		x.now = x.now.Add(min(500*time.Millisecond, end.Sub(x.now)))
		x.renewLease(o.Worker, o.Run)
	}
	x.now = x.now.Add(3 * time.Second)
	x.state.WorkerDied(x.now, o.WorkerIncarnation)
}

// Three workers that crash soon after the start of a task are enough for its job to
// fail. When the runs had lasted for a while, each crash may have had another cause.
func TestCrashesAfterLongRunsNeedMoreLosses(t *testing.T) {
	starts := func(age time.Duration) int {
		x := newCell(t)
		x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
		for i := range 10 {
			x.listIncarnation(i, 0)
			o := x.step()
			if len(o) == 0 {
				x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
				return i
			}
			x.crash(o[0], age)
		}
		return 10
	}
	c := qt.New(t)
	c.Check(starts(10*time.Millisecond), qt.Equals, 3)
	c.Check(starts(3*time.Second), qt.Equals, 5)
}

// Workers that are first taken to be unreachable and later found to have crashed count
// as any other crash.
func TestCrashesConfirmedLateCount(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	for i := range 3 {
		x.listIncarnation(i, 0)
		o := x.step()
		x.c.Assert(o, qt.HasLen, 1)
		x.acceptStarts(o)
		x.renewLease(incarnationID(i, 0), o[0].Run)
		x.advance(lease+2*time.Second, nil)
	}
	for i := range 3 {
		x.state.WorkerDied(x.now, incarnationOf(incarnationID(i, 0)))
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}

// Guards against failing a lasting task because it occasionally loses a worker
// throughout its lifetime.
func TestLastingTaskSurvivesOccasionalLosses(t *testing.T) {
	x := newCell(t)
	p := tasks(1, 1)
	p.Lasting = true
	x.state.AddJob(x.now, job("j", "q", p), sched.Progress{})
	for i := range 12 {
		x.listIncarnation(i, 0)
		o := x.step()
		x.c.Assert(o, qt.HasLen, 1)
		x.crash(o[0], time.Duration(5+70*(i%2))*time.Second)
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Running)
}

// One member of a gang crashes its worker at each start. The crashes count against that
// member only, not against the members that are stopped because of it.
func TestGangMemberThatCrashesItsWorkersFailsItsJob(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", gang(2, 6)), sched.Progress{})
	for i := range 3 {
		x.listIncarnation(2*i, 0)
		x.listIncarnation(2*i+1, 0)
		o := x.step()
		x.c.Assert(o, qt.HasLen, 2)
		x.c.Assert(o[0].Worker, qt.Not(qt.Equals), o[1].Worker)
		x.acceptStarts(o)
		x.now = x.now.Add(3 * time.Second)
		x.renewLease(o[1].Worker, o[1].Run)
		x.state.WorkerDied(x.now, o[0].WorkerIncarnation)
		x.endRun(o[1], sched.EndStopped)
		x.renewLease(o[1].Worker)
		v, err := x.jobRow()
		x.c.Assert(err, qt.IsNil)
		p, err := sched.DecodeProgress(v)
		x.c.Assert(err, qt.IsNil)
		for _, c := range p.Crashes {
			x.c.Assert(c.Index, qt.Equals, 0)
			x.c.Assert(c.Losses, qt.HasLen, i+1)
		}
		// Both workers drain, so that the next run is on others.
		for _, w := range []spoolsill.WorkerID{incarnationID(2*i, 0), incarnationID(2*i+1, 0)} {
			x.listWorker(w, true)
		}
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}

// The suspect tasks of one crash are started on different workers, even where one worker
// has fewer runs at risk than the others, so that the next crash shows which of them
// caused it.
func TestSuspectTasksStartOnDifferentWorkers(t *testing.T) {
	x := newCell(t)
	x.listIncarnation(0, 0)
	for i := range 4 {
		x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint("j", i)), "q", tasks(1, 1)), sched.Progress{})
	}
	o := x.step()
	x.c.Assert(o, qt.HasLen, 4)
	x.acceptStarts(o)
	x.now = x.now.Add(3 * time.Second)
	for i := 1; i < 4; i++ {
		w := x.listIncarnation(i, 0)
		x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint("k", i)), "q", tasks(1, 6)), sched.Progress{})
		k := x.step()
		x.c.Assert(k[0].Worker, qt.Equals, w)
		x.acceptStarts(k)
	}
	x.listIncarnation(4, 0)
	x.state.WorkerDied(x.now, incarnationOf(incarnationID(0, 0)))
	at := map[spoolsill.WorkerID]int{}
	for _, o := range x.step() {
		at[o.Worker]++
	}
	x.c.Assert(at, qt.HasLen, 4)
}

// Single tasks and gangs that are not suspect start elsewhere while a suspect task is on
// trial at a worker, even if they would fit more tightly there.
func TestOtherTasksAvoidWorkersWithATrial(t *testing.T) {
	for name, step := range map[string]sched.Step{
		"single tasks": tasks(2, 1),
		"a gang":       gang(2, 1),
	} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t)
			x.listIncarnation(0, 0)
			x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
			x.crash(startOf(x.c, "j", x.step()), 10*time.Millisecond)
			tried := x.listIncarnation(1, 0)
			x.c.Assert(startOf(x.c, "j", x.step()).Worker, qt.Equals, tried)
			other := x.listIncarnation(2, 0)
			x.state.AddJob(x.now, job("k", "q", step), sched.Progress{})
			o := x.step()
			x.c.Assert(o, qt.HasLen, 2)
			for _, k := range o {
				x.c.Check(k.Worker, qt.Equals, other)
			}
		})
	}
}

// Nothing else is started at a worker where a task with two losses is tried, until the
// task has run for a second.
func TestNothingStartsBesideStrongSuspect(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	for i := range 2 {
		x.listIncarnation(i, 0)
		x.crash(startOf(x.c, "j", x.step()), 10*time.Millisecond)
	}
	w := x.listIncarnation(2, 0)
	o := x.step()
	x.acceptStarts(o)
	x.state.AddJob(x.now, job("other", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	for range 3 {
		x.now = x.now.Add(400 * time.Millisecond)
		x.renewLease(w, o[0].Run)
	}
	x.c.Assert(x.step(), qt.HasLen, 1)
}
