package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A timedCell plays runs of given durations in virtual time.
type timedCell struct {
	*cell
	workers  []spoolsill.WorkerID
	duration map[spoolsill.JobID]time.Duration
	runs     map[sched.RunID]timedRun
	// hopeless has the jobs whose runs fail wherever they run, failing the workers on which
	// all runs fail.
	hopeless map[spoolsill.JobID]bool
	failing  map[spoolsill.WorkerID]bool
	// begun has when each task first started, stopped the runs that were stopped.
	begun   map[sched.TaskID]time.Time
	stopped []sched.RunID
}

type timedRun struct {
	order sched.StartOrder
	ends  time.Time
}

func newTimedCell(t *testing.T, workers int) *timedCell {
	x := &timedCell{
		cell:     newCell(t),
		duration: map[spoolsill.JobID]time.Duration{},
		runs:     map[sched.RunID]timedRun{},
		begun:    map[sched.TaskID]time.Time{},
		hopeless: map[spoolsill.JobID]bool{},
		failing:  map[spoolsill.WorkerID]bool{},
	}
	x.addPatientQueue()
	for i := range workers {
		id := spoolsill.WorkerID(fmt.Sprintf("w%02d", i))
		x.workers = append(x.workers, id)
		x.addWorker(id)
	}
	return x
}

// submit adds a job whose runs take d.
func (x *timedCell) submit(j sched.Job, d time.Duration) {
	x.duration[j.ID] = d
	j.Received = x.now
	x.state.AddJob(x.now, j, sched.Progress{})
}

// play lets the cell work for d.
func (x *timedCell) play(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		for id, r := range x.runs {
			if !r.ends.After(x.now) {
				delete(x.runs, id)
				x.endRun(r.order, x.endOf(r.order))
			}
		}
		for _, w := range x.workers {
			x.report(w)
		}
		orders := x.step()
		x.acceptStarts(orders)
		for _, o := range orders {
			x.runs[o.Run] = timedRun{
				order: o,
				ends:  x.now.Add(x.duration[o.Run.Task.Stage.Job]),
			}
			if x.begun[o.Run.Task].IsZero() {
				x.begun[o.Run.Task] = x.now
			}
		}
		for _, o := range x.state.Stops() {
			if r, ok := x.runs[o.Run]; ok {
				delete(x.runs, o.Run)
				x.endRun(r.order, sched.EndStopped)
				x.stopped = append(x.stopped, o.Run)
			}
		}
		x.now = x.now.Add(40 * time.Millisecond)
	}
}

// endOf returns how a run ends.
func (x *timedCell) endOf(o sched.StartOrder) sched.EndKind {
	if x.hopeless[o.Run.Task.Stage.Job] || x.failing[o.Worker] {
		return sched.EndFailed
	}
	return sched.EndDone
}

// report renews the lease of a worker, which answers with its runs and their progress.
func (x *timedCell) report(w spoolsill.WorkerID) {
	h := sched.Heartbeat{
		WorkerIncarnation: incarnationOf(w),
		Sent:              x.now,
		Clock:             sched.ClockMillis(x.now.UnixMilli()),
	}
	for id, r := range x.runs {
		if r.order.Worker == w {
			left := float64(r.ends.Sub(x.now)) / float64(x.duration[id.Task.Stage.Job])
			h.Running = append(h.Running, sched.RunningTask{
				Run:     id,
				Percent: int(100 * (1 - left)),
			})
		}
	}
	x.state.LeaseRequested(h.WorkerIncarnation, sched.LeaseEnd(x.now, lease))
	x.state.Heartbeat(x.now, h)
}

// waited returns how long the first task of a job waited for its start, or has waited so far.
func (x *timedCell) waited(id spoolsill.JobID, since time.Time) time.Duration {
	var waits []time.Duration
	for t, at := range x.begun {
		if t.Stage.Job == id {
			waits = append(waits, at.Sub(since))
		}
	}
	if len(waits) == 0 {
		return x.now.Sub(since)
	}
	return slices.Min(waits)
}

// spread occupies a tenth of each worker for d.
func (x *timedCell) spread(d time.Duration) {
	s := tasks(len(x.workers), 1)
	s.MaxPerWorker = 1
	s.Estimate = d
	x.submit(job("spread", "patient", s), d)
	x.play(time.Second)
	x.c.Assert(x.runs, qt.HasLen, len(x.workers))
}

// Guards against jobs of lower rank that have nothing running for longer than longestIdle in a cell that is
// mostly idle, since a gang waits there for runs to end.
func TestJobsBackfillBesideWaitingGang(t *testing.T) {
	const runTime = 9 * time.Second
	for _, workers := range []int{3, 8, 13} {
		for _, members := range []int{2, workers/2 + 1, workers} {
			for _, estimate := range []time.Duration{0, 400 * time.Millisecond, 4 * time.Second, 20 * time.Second} {
				for _, lasting := range []bool{false, true} {
					x := newTimedCell(t, workers)
					x.spread(runTime)
					x.submit(job("gang", "q", gang(members, 10)), time.Second)
					begun := x.now
					small := tasks(1, 1)
					small.Estimate = estimate
					small.Lasting = lasting
					since := map[spoolsill.JobID]time.Time{}
					for i := 0; x.now.Sub(begun) < runTime-longestIdle; i++ {
						id := spoolsill.JobID(fmt.Sprint("small", i))
						since[id] = x.now
						x.submit(job(id, "patient", small), max(estimate, 100*time.Millisecond))
						x.play(longestIdle)
						x.c.Assert(x.waited(id, since[id]) < longestIdle, qt.IsTrue,
							qt.Commentf("%d workers, gang of %d, estimate %s, lasting %v, job %d", workers, members, estimate, lasting, i))
					}
				}
			}
		}
	}
}

// patientGang returns a gang of n whole workers that is not late while it waits.
func patientGang(n int) sched.Job {
	s := gang(n, 10)
	s.Estimate = 10 * time.Second
	return job("gang", "q", s)
}

// A run that takes far longer than estimated delays the gang by a bounded time.
func TestOverstayingRunDelaysGangBriefly(t *testing.T) {
	const runTime = 5 * time.Second
	x := newTimedCell(t, 3)
	x.spread(runTime)
	ends := x.now.Add(runTime - time.Second)
	x.submit(patientGang(3), time.Second)
	since := x.now
	for i := range 3 {
		x.submit(job(spoolsill.JobID(fmt.Sprint("small", i)), "patient", tasks(3, 3)), time.Minute)
	}
	x.play(2 * time.Second)
	x.c.Assert(x.begun, qt.Not(qt.HasLen), 3)
	x.play(8 * time.Second)
	started := since.Add(x.waited("gang", since))
	x.c.Check(started.Sub(ends) < 2*time.Second, qt.IsTrue, qt.Commentf("%s after the other runs ended", started.Sub(ends)))
	x.c.Check(len(x.stopped) > 0, qt.IsTrue)
	x.c.Assert(x.state.CheckCapacity(), qt.IsNil)
}

// Runs that take as long as estimated delay the gang not at all, and are not stopped.
func TestBackfilledRunsDoNotDelayGang(t *testing.T) {
	const runTime = 5 * time.Second
	x := newTimedCell(t, 4)
	x.spread(runTime)
	ends := x.now.Add(runTime - time.Second)
	x.submit(patientGang(4), time.Second)
	since := x.now
	for i := range 20 {
		x.submit(job(spoolsill.JobID(fmt.Sprint("small", i)), "patient", tasks(2, 2)), time.Second)
		x.play(200 * time.Millisecond)
	}
	x.play(2 * time.Second)
	started := since.Add(x.waited("gang", since))
	x.c.Check(started.Sub(ends) < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%s after the other runs ended", started.Sub(ends)))
	x.c.Check(x.stopped, qt.HasLen, 0)
}

// Guards against a worker kept for a large task while others of its service are mostly idle.
func TestJobsBackfillBesideWaitingLargeTask(t *testing.T) {
	x := newTimedCell(t, 1)
	x.spread(9 * time.Second)
	x.submit(job("large", "q", tasks(1, 10)), time.Second)
	x.play(100 * time.Millisecond)
	since := x.now
	x.submit(job("small", "patient", tasks(1, 2)), 400*time.Millisecond)
	x.play(longestIdle)
	x.c.Assert(x.waited("small", since) < longestIdle, qt.IsTrue)
}
