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

// life returns the id of a life of a machine.
func life(machine, n int) spoolsill.WorkerID {
	return spoolsill.WorkerID(fmt.Sprintf("m%d-%d", machine, n))
}

// listLife lists a life of a machine of ten cores, and has it renew its lease. As on
// some platforms, entries do not name the machine: its lives share an address.
func (x *cell) listLife(machine, n int) spoolsill.WorkerID {
	id := life(machine, n)
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       id,
		Service:  "work",
		Address:  fmt.Sprint("address of ", machine),
		Capacity: cores(10),
	})
	x.renewLease(id)
	return id
}

// startOf returns the start of a job among orders.
func startOf(c *qt.C, j spoolsill.JobID, orders []sched.StartOrder) sched.StartOrder {
	for _, o := range orders {
		if o.Run.Task.Stage.Job == j {
			return o
		}
	}
	c.Fatalf("no start of %s among %v", j, taskNames(orders))
	return sched.StartOrder{}
}

// An ending is a way in which a worker goes that has a run.
type ending struct {
	name string
	// end ends the worker of an order, or what is believed of it.
	end func(x *cell, o sched.StartOrder)
	// held tells that the worker is held against the task.
	held bool
}

func endings() []ending {
	confirm := func(x *cell, o sched.StartOrder) {
		x.acceptStarts([]sched.StartOrder{o})
		x.now = x.now.Add(100 * time.Millisecond)
		x.renewLease(o.Worker, o.Run)
	}
	return []ending{
		{
			name: "its address answers for another life",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.now = x.now.Add(3 * time.Second)
				x.state.WorkerDied(x.now, o.Life)
			},
			held: true,
		},
		{
			name: "its entry goes, then its machine has a new life",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.now = x.now.Add(3 * time.Second)
				x.state.WorkerUnlisted(x.now, o.Worker)
				x.listWorker(o.Worker+"x", false)
				x.state.WorkerDied(x.now, o.Life)
			},
			held: true,
		},
		{
			name: "it never comes back",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.advance(lease+2*time.Second, nil)
			},
			held: true,
		},
		{
			name: "its lease is over, then it answers again",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.advance(lease+2*time.Second, nil)
				x.renewLease(o.Worker)
			},
		},
		{
			name: "it leaves as announced",
			end: func(x *cell, o sched.StartOrder) {
				confirm(x, o)
				x.listWorker(o.Worker, true)
				x.now = x.now.Add(3 * time.Second)
				x.renewLease(o.Worker, o.Run)
				x.state.WorkerUnlisted(x.now, o.Worker)
				x.state.WorkerRefused(x.now, o.Life)
			},
		},
		{
			name: "the order never met this life",
			end: func(x *cell, o sched.StartOrder) {
				x.answerStart(o, sched.StartOtherLife)
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

// What counts as a worker that went under a task, and what does not: one that is held
// against it leaves a trace in what is kept of the job.
func TestWhichWorkersAreHeldAgainstATask(t *testing.T) {
	for _, e := range endings() {
		t.Run(e.name, func(t *testing.T) {
			x := newCell(t)
			x.listLife(0, 0)
			x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
			o := x.step()
			x.c.Assert(o, qt.HasLen, 1)
			e.end(x, o[0])
			x.listLife(1, 0)
			x.now = x.now.Add(time.Second)
			x.renewLease(life(1, 0))
			b, err := x.rowOfJ()
			x.c.Assert(err, qt.IsNil)
			p, err := sched.DecodeProgress(b)
			x.c.Assert(err, qt.IsNil)
			x.c.Assert(len(p.Crashes) > 0, qt.Equals, e.held)
		})
	}
}

// A worker that goes before the order has left is not held against the task.
func TestWorkersThatGoBeforeTheOrderLeavesAreNotHeldAgainstATask(t *testing.T) {
	x := newCell(t)
	x.listLife(0, 0)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 1)
	x.state.WorkerDied(x.now, lifeOf(life(0, 0)))
	x.listLife(1, 0)
	v, err := x.rowOfJ()
	x.c.Assert(err, qt.IsNil)
	p, err := sched.DecodeProgress(v)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(p.Crashes, qt.HasLen, 0)
}

// rowOfJ decides, and returns the row of job "j" that is written with it.
func (x *cell) rowOfJ() ([]byte, error) {
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	for _, r := range b.Rows {
		if r.ID == "j" {
			return r.Value, err
		}
	}
	return nil, errors.New("no row of j")
}

// A worker that was taken away without a word, and answered on after its entry had
// gone, is no proof: five of them are needed, not three.
func TestWorkersTakenAwayAreNoProof(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	starts := 0
	for i := range 8 {
		id := x.listLife(i, 0)
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
		x.state.WorkerDied(x.now, lifeOf(id))
	}
	x.c.Assert(starts, qt.Equals, 5)
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}

// crash has the workers of orders take them and crash at some age of the runs, and
// their machines come back.
func (x *cell) crash(o sched.StartOrder, age time.Duration) {
	x.acceptStarts([]sched.StartOrder{o})
	for end := x.now.Add(age); x.now.Before(end); {
		x.now = x.now.Add(min(500*time.Millisecond, end.Sub(x.now)))
		x.renewLease(o.Worker, o.Run)
	}
	x.now = x.now.Add(3 * time.Second)
	x.state.WorkerDied(x.now, o.Life)
}

// Three workers that crash soon after the start of a task are enough; of three that
// went while it had been running for a while, each may have had a cause of its own.
func TestLongRunsAreBadLuck(t *testing.T) {
	starts := func(age time.Duration) int {
		x := newCell(t)
		x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
		for i := range 10 {
			x.listLife(i, 0)
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

// Workers that were only believed to be out of reach, and turn out to have crashed,
// count as much as any other.
func TestCrashesThatAreHeardOfLateCount(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	for i := range 3 {
		x.listLife(i, 0)
		o := x.step()
		x.c.Assert(o, qt.HasLen, 1)
		x.acceptStarts(o)
		x.renewLease(life(i, 0), o[0].Run)
		x.advance(lease+2*time.Second, nil)
	}
	for i := range 3 {
		x.state.WorkerDied(x.now, lifeOf(life(i, 0)))
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}

// A task that lasts may lose a worker now and then for as long as it lives.
func TestLastingTaskOutlivesItsLosses(t *testing.T) {
	x := newCell(t)
	p := tasks(1, 1)
	p.Lasting = true
	x.state.AddJob(x.now, job("j", "q", p), sched.Progress{})
	for i := range 12 {
		x.listLife(i, 0)
		o := x.step()
		x.c.Assert(o, qt.HasLen, 1)
		x.crash(o[0], time.Duration(5+70*(i%2))*time.Second)
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Running)
}

// One member of a gang crashes its worker at each start. It alone is held to it, and
// the gang's job ends; members elsewhere are stopped, which is held against nobody.
func TestGangMemberThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", gang(2, 6)), sched.Progress{})
	for i := range 3 {
		x.listLife(2*i, 0)
		x.listLife(2*i+1, 0)
		o := x.step()
		x.c.Assert(o, qt.HasLen, 2)
		x.c.Assert(o[0].Worker, qt.Not(qt.Equals), o[1].Worker)
		x.acceptStarts(o)
		x.now = x.now.Add(3 * time.Second)
		x.renewLease(o[1].Worker, o[1].Run)
		x.state.WorkerDied(x.now, o[0].Life)
		x.endRun(o[1], sched.EndStopped)
		x.renewLease(o[1].Worker)
		v, err := x.rowOfJ()
		x.c.Assert(err, qt.IsNil)
		p, err := sched.DecodeProgress(v)
		x.c.Assert(err, qt.IsNil)
		for _, c := range p.Crashes {
			x.c.Assert(c.Index, qt.Equals, 0)
			x.c.Assert(c.Losses, qt.HasLen, i+1)
		}
		// Both workers go as announced, so that the next run is on others.
		for _, w := range []spoolsill.WorkerID{life(2*i, 0), life(2*i+1, 0)} {
			x.listWorker(w, true)
		}
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}

// The suspects of one crash are tried apart from each other, so that the next crash
// tells which of them did it, also where one worker has less to lose than the others.
func TestSuspectsAreTriedApart(t *testing.T) {
	x := newCell(t)
	x.listLife(0, 0)
	for i := range 4 {
		x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint("j", i)), "q", tasks(1, 1)), sched.Progress{})
	}
	o := x.step()
	x.c.Assert(o, qt.HasLen, 4)
	x.acceptStarts(o)
	x.now = x.now.Add(3 * time.Second)
	for i := 1; i < 4; i++ {
		w := x.listLife(i, 0)
		x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint("k", i)), "q", tasks(1, 6)), sched.Progress{})
		k := x.step()
		x.c.Assert(k[0].Worker, qt.Equals, w)
		x.acceptStarts(k)
	}
	x.listLife(4, 0)
	x.state.WorkerDied(x.now, lifeOf(life(0, 0)))
	at := map[spoolsill.WorkerID]int{}
	for _, o := range x.step() {
		at[o.Worker]++
	}
	x.c.Assert(at, qt.HasLen, 4)
}

// Single tasks and gangs that nothing speaks against start elsewhere while a suspect is on
// trial at a worker, though they would fit more tightly there.
func TestOthersKeepAwayFromATrial(t *testing.T) {
	for name, step := range map[string]sched.Step{
		"single tasks": tasks(2, 1),
		"a gang":       gang(2, 1),
	} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t)
			x.listLife(0, 0)
			x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
			x.crash(startOf(x.c, "j", x.step()), 10*time.Millisecond)
			tried := x.listLife(1, 0)
			x.c.Assert(startOf(x.c, "j", x.step()).Worker, qt.Equals, tried)
			other := x.listLife(2, 0)
			x.state.AddJob(x.now, job("k", "q", step), sched.Progress{})
			o := x.step()
			x.c.Assert(o, qt.HasLen, 2)
			for _, k := range o {
				x.c.Check(k.Worker, qt.Equals, other)
			}
		})
	}
}

// Where a task that two workers went under is tried, nothing else is started until it
// has lived for a second.
func TestNothingElseStartsBesideAStrongSuspect(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	for i := range 2 {
		x.listLife(i, 0)
		x.crash(startOf(x.c, "j", x.step()), 10*time.Millisecond)
	}
	w := x.listLife(2, 0)
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
