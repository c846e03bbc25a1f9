package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// Configurations may reach a leader in any order; an older one must not replace a newer
// one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		l := x.lead("a")
		moved := queues()
		moved[0].Service = "elsewhere"
		l.SetConfig(3, moved, nil)
		l.SetConfig(2, queues(), nil)
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(1, 1)},
		})
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.workers.StartCount(), qt.Equals, 0)
		l.SetConfig(4, queues(), nil)
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(l, []spoolsill.JobID{"j"})
	})
}

func TestJobsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 4)
		defer x.end()
		l := x.lead("a")
		ids := x.submitMixed(12)
		pause.For(x.ctx, 20*time.Second)
		x.assertCompleted(l, ids)
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
	})
}

// The leader changes every few seconds without notice to the former one, while responses of the
// store and of workers are lost and some orders are delayed.
func TestNoTaskRunsTwiceAcrossLeaderChanges(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLeaderChanges(t, seed) })
		})
	}
}

func testLeaderChanges(t *testing.T, seed uint64) {
	x := newCell(t.Context(), t, 5)
	defer x.end()
	d := &lockedRand{
		r: rand.New(rand.NewPCG(seed, 1)),
	}
	x.store.SetFault(func(store.Transaction) cellfake.StoreFault {
		return cellfake.StoreFault(d.choose(0.85, 0.05, 0.05, 0.05))
	})
	x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
		return cellfake.OrderFault(d.choose(0.85, 0.05, 0.05, 0.05))
	}
	var ids []spoolsill.JobID
	for i := range 5 {
		x.lead(spoolsill.HostID(fmt.Sprintf("host%d", i)))
		if i == 0 {
			ids = x.submitMixed(20)
		}
		unreachable := x.ids[d.intN(len(x.ids))]
		x.workers.SetUnreachable(unreachable, true)
		pause.For(x.ctx, time.Duration(1500+d.intN(3000))*time.Millisecond)
		x.workers.SetUnreachable(unreachable, false)
		x.store.DropHistory()
	}
	d.stop()
	pause.For(x.ctx, time.Minute)
	x.assertCompleted(x.leaders[len(x.leaders)-1], ids)
	x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
}

// A lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu      sync.Mutex
	r       *rand.Rand
	stopped bool
}

// stop makes choose return 0 from now on.
func (d *lockedRand) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
}

// choose returns a random index, with the given probabilities.
func (d *lockedRand) choose(shares ...float64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return 0
	}
	f := d.r.Float64()
	for i, s := range shares {
		if f < s {
			return i
		}
		f -= s
	}
	return 0
}

// intN returns a random number from 0 to n-1.
func (d *lockedRand) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

// The tasks of a permanently lost worker are started on another one: unanswered calls must
// not extend the lease of the lost worker.
func TestTasksOfLostWorkerRestartOnAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) {
			return 3 * time.Second, sched.EndDone
		}
		l := x.lead("a")
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(1, 1)},
		})
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.workers.StartCount(), qt.Equals, 1)
		x.workers.SetUnreachable("w0", true)
		x.store.Delete(workerKey("w0"))
		pause.For(x.ctx, time.Second)
		x.workers.Add("w1")
		x.listWorker("w1")
		pause.For(x.ctx, 14*time.Second)
		s, _ := l.Status("j")
		x.c.Assert(s.State, qt.Equals, sched.Completed)
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
	})
}

// A leader must not process ends of jobs that it has not loaded yet: the ends would be
// acknowledged, and the tasks would run again.
func TestEndsAreProcessedAfterJobsAreLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		x.lead("a")
		ids := x.submitMixed(6)
		pause.For(x.ctx, 900*time.Millisecond)
		x.cancels[0]()
		x.hosts.Wait()
		pause.For(x.ctx, 2*time.Second) // the tasks end meanwhile
		starts := x.workers.StartCount()
		x.store.SetListLatency(jobstore.JobsTable, 300*time.Millisecond)
		l := x.lead("b")
		pause.For(x.ctx, 20*time.Second)
		x.assertCompleted(l, ids)
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
		x.c.Assert(x.workers.StartCount() >= starts, qt.IsTrue)
	})
}

// A planned stop first finishes the write in flight and then releases the leadership, so that
// the next leader does not have to wait for a timeout.
func TestPlannedStopReleasesLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		for i := range 12 {
			x.lead("a")
			pause.For(x.ctx, time.Second)
			x.submit(sched.Job{
				ID:    spoolsill.JobID(fmt.Sprintf("j%d", i)),
				Queue: "plain",
				Steps: []sched.Step{step(1, 1)},
			})
			pause.For(x.ctx, time.Duration(i)*time.Millisecond/2)
			x.cancels[i]()
			x.hosts.Wait()
			h, _, err := leader.ReadHead(x.ctx, x.store)
			x.c.Assert(err, qt.IsNil)
			x.c.Assert(h.Released, qt.IsTrue, qt.Commentf("stop %d", i))
		}
	})
}

// A leader that can't read from the store does not know which jobs other hosts accept, and must
// not report that no jobs are waiting.
func TestStaleWaitingCountIsNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		l := x.lead("a")
		pause.For(x.ctx, 2*time.Second)
		n, ok := l.PendingJobs("plain")
		x.c.Assert(ok, qt.IsTrue)
		x.c.Assert(n, qt.Equals, 0)
		x.store.SetUnavailable(true)
		pause.For(x.ctx, 3*time.Second)
		_, ok = l.PendingJobs("plain")
		x.c.Assert(ok, qt.IsFalse)
		x.store.SetUnavailable(false)
		pause.For(x.ctx, 2*time.Second)
		_, ok = l.PendingJobs("plain")
		x.c.Assert(ok, qt.IsTrue)
	})
}

// slowObserver is an observer that delays the event loop, as if the host had too little processor
// time.
type slowObserver struct{}

func (slowObserver) RecordEvent(sched.Note)             { pause.For(context.Background(), 400*time.Millisecond) }
func (slowObserver) RecordAdvice(string, time.Duration) {}
func (slowObserver) RecordTakeover(time.Duration)       {}

// A leader that can't keep up releases the leadership, so that a larger host takes over.
func TestOverloadedLeaderResigns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		x.observer = slowObserver{}
		x.lead("a")
		x.submitMixed(12)
		pause.For(x.ctx, 30*time.Second)
		h, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(h.Released, qt.IsTrue)
	})
}

// Rows of ended jobs are deleted; the next leader and the store still know their states.
func TestOnlyStateOfEndedJobsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 4)
		defer x.end()
		x.lead("a")
		ids := x.submitMixed(6)
		pause.For(x.ctx, 20*time.Second)
		p, err := x.store.List(x.ctx, jobstore.JobsTable, "host", "", 0)
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(p.Rows, qt.HasLen, 0)
		// A client submits a job again after its end: it is the same job and does not run again.
		starts := x.workers.StartCount()
		x.submit(sched.Job{
			ID:    ids[0],
			Queue: "plain",
			Steps: []sched.Step{step(2, 1)},
		})
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(x.lead("b"), nil)
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(x.leaders[1], ids)
		x.c.Assert(x.workers.StartCount(), qt.Equals, starts)
		s, known, err := jobstore.ReadState(x.ctx, x.store, ids[0])
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(known, qt.IsTrue)
		x.c.Assert(s.State, qt.Equals, sched.Completed)
	})
}

// The leader row keeps changing while the progress of all jobs is read, however long that
// takes: otherwise other hosts would take over from each leader in turn, and none would finish
// loading. Hosts that notify the leader of rows meanwhile are not blocked.
func TestLeaderRemainsWhileLoading(t *testing.T) {
	const (
		load          = 3 * time.Second
		takeoverTime  = 350 * time.Millisecond // other hosts take over if the row is unchanged for that long
		notifications = 5000
	)
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		ids := x.submitMixed(6)
		job := sched.Job{
			ID:    "begun",
			Queue: "plain",
			Steps: []sched.Step{step(1, 1)},
		}
		x.submit(job)
		row, err := jobstore.JobRow("host", job)
		x.c.Assert(err, qt.IsNil)
		ids = append(ids, job.ID)
		x.store.SetListLatency(jobstore.ProgressTable, load)
		l := x.lead("a")
		var version store.Version
		begun := time.Now()
		changed := begun
		longest := time.Duration(0)
		for time.Since(begun) < load {
			_, v, err := leader.ReadHead(x.ctx, x.store)
			x.c.Assert(err, qt.IsNil)
			if v != version {
				version = v
				changed = time.Now()
			}
			longest = max(longest, time.Since(changed))
			pause.For(x.ctx, 20*time.Millisecond)
		}
		x.c.Check(longest < takeoverTime, qt.IsTrue, qt.Commentf("the row did not change for %s", longest))
		x.c.Check(time.Since(l.LastWriteTime()) < takeoverTime, qt.IsTrue, qt.Commentf("latest write %s ago", time.Since(l.LastWriteTime())))
		x.store.SetListLatency(jobstore.ProgressTable, 0)
		pause.For(x.ctx, 20*time.Second)
		x.assertCompleted(l, ids)

		starts := x.workers.StartCount()
		x.store.SetListLatency(jobstore.ProgressTable, load)
		l = x.lead("b")
		begun = time.Now()
		for range notifications {
			l.NotifyRow(row)
		}
		x.c.Check(time.Since(begun) < load/2, qt.IsTrue, qt.Commentf("%s for the notifications", time.Since(begun)))
		x.store.SetListLatency(jobstore.ProgressTable, 0)
		pause.For(x.ctx, 5*time.Second)
		x.assertCompleted(l, ids)
		x.c.Check(x.workers.StartCount(), qt.Equals, starts)
	})
}
