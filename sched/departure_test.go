package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/sched"
)

// startBesideSpare starts the task of a job at worker "a", which then drains; worker "b" has
// room for the task.
func (x *cell) startBesideSpare() sched.StartOrder {
	x.addWorker("a")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.addWorker("b")
	x.state.EntriesSynced(x.now, x.now)
	x.listWorker("a", true)
	return o[0]
}

// pass lets time pass in which worker "b" and the feed answer.
func (x *cell) pass(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(100 * time.Millisecond)
		x.state.EntriesSynced(x.now, x.now)
		x.renewLease("b")
	}
}

// A worker that was draining, whose entry was deleted and that refuses connections has exited.
// Its tasks restart without waiting for the end of its lease.
func TestTasksOfADepartedWorkerRestartAtOnce(t *testing.T) {
	x := newCell(t)
	o := x.startBesideSpare()
	x.state.WorkerConnRefused(x.now, incarnationOf("a"))
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.pass(time.Second)
	x.renewLease("a", o.Run)
	x.state.WorkerUnlisted(x.now, "a")
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.state.WorkerConnRefused(x.now, incarnationOf("a"))
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#2"})
}

// A worker may exit before a new leader has called it.
func TestTasksOfAWorkerThatDepartsInATakeoverRestartAtOnce(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	row, err := x.jobRow()
	x.c.Assert(err, qt.IsNil)
	p, err := sched.DecodeProgress(row)
	x.c.Assert(err, qt.IsNil)
	x.state = x.newState()
	x.listWorker("a", true)
	x.addWorker("b")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), p)
	x.pass(time.Second)
	x.listWorker("a", true)
	x.pass(time.Second)
	x.state.WorkerUnlisted(x.now, "a")
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.state.WorkerConnRefused(x.now, incarnationOf("a"))
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#2"})
}

// A hall that is cut off refuses connections, and the entries of its workers expire. A draining
// worker there goes on running its tasks until its lease ends.
func TestTasksOfADrainingWorkerInAPartitionAreNotRestarted(t *testing.T) {
	x := newCell(t)
	o := x.startBesideSpare()
	x.renewLease("a", o.Run)
	leaseEnd := sched.LeaseEnd(x.now, lease)
	for x.now.Before(leaseEnd.Add(-200 * time.Millisecond)) {
		x.pass(100 * time.Millisecond)
		x.state.WorkerConnRefused(x.now, incarnationOf("a"))
		if x.now.Sub(leaseEnd.Add(-lease)) > 3*entryInterval {
			x.state.WorkerUnlisted(x.now, "a")
		}
		x.c.Assert(x.step(), qt.HasLen, 0)
	}
	x.pass(300 * time.Millisecond)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#2"})
}

// Each of these leaves it open whether an entry was deleted or has expired.
func TestEntriesThatMayHaveExpiredProveNoDeparture(t *testing.T) {
	for name, unlist := range map[string]func(x *cell, r sched.RunID){
		"the entry was not rewritten for long": func(x *cell, r sched.RunID) {
			x.pass(3 * entryInterval)
			x.renewLease("a", r)
			x.state.WorkerUnlisted(x.now, "a")
		},
		"the worker has not answered for long": func(x *cell, _ sched.RunID) {
			x.pass(2 * time.Second)
			x.listWorker("a", true)
			x.state.WorkerUnlisted(x.now, "a")
		},
		"the feed was interrupted": func(x *cell, r sched.RunID) {
			x.now = x.now.Add(2 * time.Second)
			x.renewLease("b")
			x.renewLease("a", r)
			x.state.WorkerUnlisted(x.now, "a")
		},
		"an outage of the store is over": func(x *cell, r sched.RunID) {
			x.pass(time.Second)
			x.renewLease("a", r)
			x.state.StoreRecovered(x.now)
			x.state.WorkerUnlisted(x.now, "a")
		},
		"an outage of the store is learned of later": func(x *cell, r sched.RunID) {
			x.pass(time.Second)
			x.renewLease("a", r)
			x.state.WorkerUnlisted(x.now, "a")
			x.state.StoreRecovered(x.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t)
			o := x.startBesideSpare()
			x.renewLease("a", o.Run)
			unlist(x, o.Run)
			x.state.WorkerConnRefused(x.now, incarnationOf("a"))
			x.c.Assert(x.step(), qt.HasLen, 0)
		})
	}
}
