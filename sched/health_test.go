package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// Guards against jobs that fail everywhere keeping all workers from others: each failure was taken for
// its worker's fault.
func TestHopelessJobsKeepNoWorkerFromOthers(t *testing.T) {
	for _, workers := range []int{1, 2, 3, 8, 20} {
		for _, hopeless := range []int{1, 2, 6} {
			for _, width := range []int{1, 10, 84} {
				x := newTimedCell(t, workers)
				for i := range hopeless {
					id := spoolsill.JobID(fmt.Sprint("hopeless", i))
					x.hopeless[id] = true
					x.submit(job(id, "q", tasks(width, 1)), 400*time.Millisecond)
				}
				// Longer than it takes until the hopeless jobs have failed.
				x.play(time.Duration(2+2*hopeless*width/(10*workers)) * 500 * time.Millisecond)
				for i := range 20 {
					since := x.now
					id := spoolsill.JobID(fmt.Sprint("small", i))
					x.submit(job(id, "q", tasks(2, 1)), 400*time.Millisecond)
					x.play(300 * time.Millisecond)
					about := qt.Commentf("%d workers, %d hopeless jobs of %d tasks, job %d", workers, hopeless, width, i)
					x.c.Assert(x.waited(id, since) < 300*time.Millisecond, qt.IsTrue, about)
				}
			}
		}
	}
}

// startsAt plays n small jobs for d each and returns how many of their runs began at a worker.
func (x *timedCell) startsAt(w spoolsill.WorkerID, n int, d time.Duration) int {
	before := len(x.started)
	for i := range n {
		x.submit(job(spoolsill.JobID(fmt.Sprint("job", before, i)), "q", tasks(4, 2)), 200*time.Millisecond)
		x.play(d)
	}
	count := 0
	for _, o := range x.started[before:] {
		if o.Worker == w {
			count++
		}
	}
	return count
}

// A worker that fails the tasks of several jobs gets nothing new for a while, and then is tried again.
func TestFailingWorkerIsAvoided(t *testing.T) {
	x := newTimedCell(t, 4)
	x.failing["w00"] = true
	x.startsAt("w00", 4, 500*time.Millisecond)
	x.c.Check(x.startsAt("w00", 4, 300*time.Millisecond), qt.Equals, 0)
	x.failing["w00"] = false
	x.play(8 * time.Second)
	x.c.Check(x.startsAt("w00", 8, 300*time.Millisecond) > 0, qt.IsTrue)
}

// A worker that fails several tasks of one job is at fault if others are done elsewhere.
func TestWorkerThatFailsWhatSucceedsElsewhereIsAvoided(t *testing.T) {
	x := newTimedCell(t, 4)
	x.failing["w00"] = true
	x.submit(job("wide", "q", tasks(60, 4)), 300*time.Millisecond)
	x.play(1200 * time.Millisecond)
	before := len(x.started)
	x.play(time.Second)
	for _, o := range x.started[before:] {
		x.c.Check(o.Worker, qt.Not(qt.Equals), spoolsill.WorkerID("w00"))
	}
	x.play(20 * time.Second)
	s, _ := x.state.Job("wide")
	x.c.Check(s.State, qt.Equals, sched.Completed)
}

// Whatever fails, at most a third of the workers get nothing new for it: rejected and unanswered starts
// may also be the fault of the leader's link.
func TestAtMostAThirdOfWorkersIsAvoided(t *testing.T) {
	x := newTimedCell(t, 9)
	for range 3 {
		for i := range 9 {
			x.submit(job(spoolsill.JobID(fmt.Sprint("rejected", len(x.started), i)), "q", tasks(1, 10)), time.Second)
		}
		for _, o := range x.step() {
			x.answerStart(o, sched.StartUnhealthy)
		}
		x.now = x.now.Add(800 * time.Millisecond) // past the delay after a single rejection
		for _, w := range x.workers {
			x.report(w)
		}
	}
	orders := x.step()
	x.c.Check(len(orders) >= 6 && len(orders) < 9, qt.IsTrue, qt.Commentf("%d", len(orders)))
}
