package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// maxRowBytes is the size of the largest row that the cell of newRowCell accepts.
const maxRowBytes = 64 << 10

// newRowCell returns a cell of three large workers.
func newRowCell(t *testing.T) *cell {
	x := newCell(t)
	x.state = sched.New(sched.Config{
		Lease:       lease,
		StartLease:  3 * time.Second,
		StopTime:    200 * time.Millisecond,
		FarFactor:   1,
		MaxRowBytes: maxRowBytes,
	})
	x.state.SetQueues([]sched.Queue{
		{
			ID:          "q",
			Service:     "work",
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
		},
	})
	for i := range 3 {
		x.addLargeWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
	}
	return x
}

func (x *cell) addLargeWorker(id spoolsill.WorkerID) {
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       id,
		Service:  "work",
		Address:  "address",
		Capacity: cores(300),
	})
	x.renewLease(id)
}

// save has the workers report a saved text of their runs.
func (x *cell) save(orders []sched.StartOrder, bytes int) {
	reports := map[spoolsill.WorkerID]sched.Heartbeat{}
	for _, o := range orders {
		h := reports[o.Worker]
		h.WorkerIncarnation = o.WorkerIncarnation
		h.Sent = x.now
		h.Running = append(h.Running, sched.RunningTask{
			Run:   o.Run,
			Saved: fmt.Sprintf("%s:%s", o.Run.Task, strings.Repeat("x", bytes)),
		})
		reports[o.Worker] = h
	}
	for _, h := range reports {
		x.state.Heartbeat(x.now, h)
	}
}

// stored returns the latest row of the job "j" and its progress.
func (x *cell) stored() (sched.Progress, []sched.StartOrder) {
	var last []byte
	var orders []sched.StartOrder
	for range 20 {
		x.now = x.now.Add(10 * time.Millisecond)
		x.state.Decide(x.now)
		b, _, err := x.state.Batch(x.now)
		x.c.Assert(err, qt.IsNil)
		for _, r := range b.Rows {
			x.c.Assert(len(r.Value) <= maxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(r.Value)))
			last = r.Value
		}
		orders = append(orders, x.state.BatchWritten(x.now, b)...)
	}
	p, err := sched.DecodeProgress(last)
	x.c.Assert(err, qt.IsNil)
	return p, orders
}

// Guards against rows that the store rejects since workers save long texts. The job goes on, and
// what is given up first is what the workers still have.
func TestRowsStayWithinLimitWhateverWorkersSave(t *testing.T) {
	for _, bytes := range []int{16, 128, 1000, 100_000} {
		x := newRowCell(t)
		s := tasks(900, 1)
		s.Checkpoints = true
		x.state.AddJob(x.now, job("j", "q", s), sched.Progress{})
		_, orders := x.stored()
		x.c.Assert(orders, qt.HasLen, 900)
		x.acceptStarts(orders)
		x.save(orders, bytes)
		for _, o := range orders[:10] {
			x.endRun(o, sched.EndStopped) // each is saved, and will not be reported again
		}
		p, again := x.stored()
		x.c.Assert(again, qt.HasLen, 10)
		for _, o := range again {
			x.c.Check(strings.HasPrefix(o.Saved, o.Run.Task.String()+":"), qt.IsTrue, qt.Commentf("%d bytes: %.60s", bytes, o.Saved))
		}
		x.c.Check(p.State, qt.Equals, sched.Running)
		for _, o := range append(orders[10:], again...) {
			x.endRun(o, sched.EndDone)
		}
		p, _ = x.stored()
		x.c.Check(p.State, qt.Equals, sched.Completed)
	}
}

// Texts of tasks that no worker runs go before those of running ones: only the row has them.
func TestSavedTextsOfWaitingTasksAreKept(t *testing.T) {
	x := newRowCell(t)
	s := tasks(600, 1)
	s.Checkpoints = true
	x.state.AddJob(x.now, job("j", "q", s), sched.Progress{})
	_, orders := x.stored()
	x.acceptStarts(orders)
	x.save(orders, 100)
	for i := range 3 {
		x.listWorker(spoolsill.WorkerID(fmt.Sprint("w", i)), true) // nothing new is started
	}
	for _, o := range orders[:100] {
		x.endRun(o, sched.EndStopped)
	}
	p, _ := x.stored()
	waiting, running := 0, 0
	for i, task := range p.Stages[0].Tasks {
		switch {
		case task.Worker != "" && task.Saved != "":
			running++
		case task.Worker == "":
			waiting++
			x.c.Check(task.Saved, qt.Not(qt.Equals), "", qt.Commentf("task %d", i))
		}
	}
	x.c.Check(waiting, qt.Equals, 100)
	x.c.Check(running > 0 && running < 500, qt.IsTrue, qt.Commentf("%d", running))
}

// A task that is done needs no text, and the members of a gang need one.
func TestNeedlessTextsAreNotStored(t *testing.T) {
	x := newRowCell(t)
	s := tasks(2, 1)
	s.Checkpoints = true
	g := gang(5, 1)
	g.Checkpoints = true
	x.state.AddJob(x.now, job("j", "q", s, g), sched.Progress{})
	_, orders := x.stored()
	x.acceptStarts(orders)
	x.save(orders, 100)
	for _, o := range orders {
		if o.Run.Task.Stage.Step == 0 && o.Run.Task.Index == 0 {
			x.endRun(o, sched.EndDone)
		}
	}
	p, _ := x.stored()
	x.c.Check(p.Stages[0].Tasks[0].Saved, qt.Equals, "")
	x.c.Check(p.Stages[0].Tasks[1].Saved, qt.Not(qt.Equals), "")
	texts := 0
	for _, task := range p.Stages[1].Tasks {
		if task.Saved != "" {
			texts++
		}
	}
	x.c.Check(texts, qt.Equals, 1)
}

// Guards against a job whose tasks alone are more than a row can name, since the ids of workers
// are long: as many run at a time as fit.
func TestRunsAreLimitedByTheirRow(t *testing.T) {
	x := newRowCell(t)
	for i := range 3 {
		x.addLargeWorker(spoolsill.WorkerID(fmt.Sprintf("%s%d", strings.Repeat("w", 180), i)))
	}
	x.state.AddJob(x.now, job("j", "q", tasks(900, 2)), sched.Progress{})
	done := 0
	for range 100 {
		_, orders := x.stored()
		x.acceptStarts(orders)
		done += len(orders)
		for _, o := range orders {
			x.endRun(o, sched.EndDone)
		}
		x.now = x.now.Add(time.Second)
		for _, l := range x.state.ListedWorkers() {
			x.renewLease(l)
		}
		if done >= 900 {
			break
		}
	}
	x.c.Assert(done, qt.Equals, 900)
	x.c.Assert(x.jobState(), qt.Equals, sched.Completed)
}

// A job whose row the store rejects whatever its size fails; ends of runs are acknowledged only once
// they are stored.
func TestJobFailsWhoseRowIsRejectedAgainAndAgain(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(20, 1)), sched.Progress{})
	x.state.AddJob(x.now, job("other", "q", tasks(1, 1)), sched.Progress{})
	for range 20 {
		x.now = x.now.Add(10 * time.Millisecond)
		x.state.Decide(x.now)
		b, ok, err := x.state.Batch(x.now)
		x.c.Assert(err, qt.IsNil)
		if !ok {
			break
		}
		rest := x.state.RowsRejected(x.now, b, []spoolsill.JobID{"j"})
		for _, o := range x.state.BatchWritten(x.now, rest) {
			x.c.Assert(o.Run.Task.Stage.Job, qt.Equals, spoolsill.JobID("other"))
		}
		x.c.Assert(rest.Acks, qt.HasLen, 0)
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}
