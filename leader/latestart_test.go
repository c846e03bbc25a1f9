package leader_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// lateStopLimit is the time within which a run of a cancelled job that starts late has to
	// be stopped: 3 s in the strictest of the known deployments, and 0.2 s for the stop itself.
	lateStopLimit = 3200 * time.Millisecond
	// lateValidity is the time from a late start to the deadline of its order.
	lateValidity = 5 * time.Millisecond
	// writeOffTime is the time after which the leader no longer expects an unanswered start
	// to be carried out.
	writeOffTime = 5 * time.Second
)

// lateWorkers simulates workers that leave some starts unanswered and carry them out later, on
// demand, even after the deadlines that the leader set.
type lateWorkers struct {
	*cellfake.Workers

	mu sync.Mutex
	// late is the number of tasks, from index 0 on, whose first start is held.
	late int
	held map[sched.RunID]leader.Start
	// released is set once the held starts have been carried out.
	released bool
	// retryReply is the reply to retries of a held start.
	retryReply leader.ReplyKind
	// stopsUnknown makes workers accept the stop of a run that has not started, which then
	// can't start. Otherwise such a stop is rejected.
	stopsUnknown bool
	// loseRepliesUntil is the time until which the replies to stops are lost.
	loseRepliesUntil time.Time
	// validity is the time from a late start to the deadline that its order then gets. Until
	// then the run continues without a lease renewal; after that it depends on the worker's
	// lease.
	validity time.Duration
	// clock is the time of the worker's clock at clockAt.
	clock   sched.ClockMillis
	clockAt time.Time
}

// update changes fields under the lock, while leaders make calls.
func (w *lateWorkers) update(f func(w *lateWorkers)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

// heldCount returns the number of held starts.
func (w *lateWorkers) heldCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.held)
}

func (w *lateWorkers) Renew(ctx context.Context, r leader.Renewal) (sched.Heartbeat, leader.Reply) {
	h, p := w.Workers.Renew(ctx, r)
	if p.Kind == leader.Accepted {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.clock = p.Clock
		w.clockAt = time.Now()
	}
	return h, p
}

func (w *lateWorkers) Start(ctx context.Context, o leader.Start) leader.Reply {
	if kind, held := w.hold(o); held {
		if kind == leader.NoAnswer {
			pause.For(ctx, o.Timeout)
		}
		return leader.Reply{
			Kind: kind,
		}
	}
	return w.Workers.Start(ctx, o)
}

// hold holds a start if it is to be late, and returns the reply to it.
func (w *lateWorkers) hold(o leader.Start) (leader.ReplyKind, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := o.Order.Run
	if w.released || r.Task.Index >= w.late || r.Number > 1 {
		return 0, false
	}
	if _, ok := w.held[r]; ok {
		return w.retryReply, true
	}
	w.held[r] = o
	return leader.NoAnswer, true
}

// release carries out the held starts as if they had arrived in time.
func (w *lateWorkers) release(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.released = true
	for _, o := range w.held {
		until := time.Since(w.clockAt) + w.validity
		o.Deadline = w.clock + sched.ClockMillis(until.Milliseconds())
		w.Workers.Start(ctx, o)
	}
}

func (w *lateWorkers) Stop(ctx context.Context, o leader.Stop) leader.Reply {
	w.mu.Lock()
	_, held := w.held[o.Run]
	reject := held && !w.released && !w.stopsUnknown
	loseReply := time.Now().Before(w.loseRepliesUntil)
	w.mu.Unlock()
	if reject {
		return leader.Reply{
			Kind: leader.Rejected,
		}
	}
	begun := time.Now()
	r := w.Workers.Stop(ctx, o)
	if !loseReply {
		return r
	}
	pause.For(ctx, o.Timeout-time.Since(begun))
	return leader.Reply{
		Kind: leader.NoAnswer,
	}
}

// A lateCell is a cell of one worker that carries out starts late.
type lateCell struct {
	*cell
	late *lateWorkers
}

func newLateCell(ctx context.Context, t *testing.T) *lateCell {
	x := &lateCell{
		cell: newCell(ctx, t, 1),
	}
	x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Minute, sched.EndDone }
	x.late = &lateWorkers{
		Workers:    x.workers,
		late:       1,
		held:       map[sched.RunID]leader.Start{},
		retryReply: leader.NoAnswer,
		validity:   lateValidity,
	}
	x.workersOverride = x.late
	return x
}

func (x *lateCell) cancel() {
	x.c.Assert(jobstore.Cancel(x.ctx, x.store, "host", "j"), qt.IsNil)
}

// cancelAndForget cancels the job and waits until the leader no longer expects its start and
// the rows are deleted.
func (x *lateCell) cancelAndForget() {
	x.cancel()
	pause.For(x.ctx, writeOffTime)
	p, err := x.store.List(x.ctx, jobstore.JobsTable, "host", "", 0)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(p.Rows, qt.HasLen, 0)
}

// stopFirstLeader permanently stops the leader that sent the order.
func (x *lateCell) stopFirstLeader() {
	x.cancels[0]()
	x.hosts.Wait()
}

func (x *lateCell) drain() {
	b, err := json.Marshal(sched.Worker{
		ID:       "w0",
		Service:  "work",
		Address:  "w0",
		Draining: true,
	})
	x.c.Assert(err, qt.IsNil)
	x.store.Put(store.Put{
		Key:   workerKey("w0"),
		Value: b,
	})
}

// waitUntilNoRuns waits until no run is left, for at most a minute.
func (x *lateCell) waitUntilNoRuns() {
	begun := time.Now()
	for x.workers.RunningCount() > 0 && time.Since(begun) < time.Minute {
		pause.For(x.ctx, 10*time.Millisecond)
	}
}

func lastingStep() sched.Step {
	s := step(1, 1)
	s.Lasting = true
	return s
}

func gangStep() sched.Step {
	s := step(3, 1)
	s.Gang = true
	return s
}

// An unanswered start is carried out late, while its job, its worker and the leadership are in
// various states. The run must be stopped within lateStopLimit.
func TestRunsThatStartLateAreStopped(t *testing.T) {
	for name, c := range map[string]struct {
		step sched.Step
		// beforeStart runs before the start is carried out.
		beforeStart func(x *lateCell)
		// afterStart runs after the start was carried out; may be nil.
		afterStart func(x *lateCell)
		// mustNotStart means that the run must not start at all.
		mustNotStart bool
	}{
		"cancelled": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.cancel()
				pause.For(x.ctx, time.Second)
			},
		},
		"forgotten job": {
			step:        step(1, 1),
			beforeStart: (*lateCell).cancelAndForget,
		},
		"lasting": {
			step:        lastingStep(),
			beforeStart: (*lateCell).cancelAndForget,
		},
		"gang, cancelled": {
			step: gangStep(),
			beforeStart: func(x *lateCell) {
				x.cancel()
				pause.For(x.ctx, time.Second)
			},
		},
		"gang, forgotten job": {
			step:        gangStep(),
			beforeStart: (*lateCell).cancelAndForget,
		},
		"cancelled after the start": {
			step:        step(1, 1),
			beforeStart: func(x *lateCell) { pause.For(x.ctx, time.Second) },
			afterStart:  (*lateCell).cancel,
		},
		"first leader stopped, then cancelled": {
			step:        step(1, 1),
			beforeStart: (*lateCell).stopFirstLeader,
			afterStart: func(x *lateCell) {
				x.cancel()
				x.lead("b")
			},
		},
		"first leader stopped, forgotten job": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.cancelAndForget()
				x.stopFirstLeader()
			},
			afterStart: func(x *lateCell) { x.lead("b") },
		},
		"next leader took over before the start": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.cancel()
				x.stopFirstLeader()
				x.lead("b")
				pause.For(x.ctx, time.Second)
			},
			mustNotStart: true,
		},
		"worker is draining": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.drain()
				x.cancelAndForget()
			},
		},
		"worker's entry is deleted": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.store.Delete(workerKey("w0"))
				x.cancelAndForget()
			},
		},
		"worker's entry is deleted after the start": {
			step:        step(1, 1),
			beforeStart: (*lateCell).cancelAndForget,
			afterStart:  func(x *lateCell) { x.store.Delete(workerKey("w0")) },
		},
		"worker was unreachable": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.late.update(func(w *lateWorkers) { w.validity = lease })
				x.workers.SetUnreachable("w0", true)
				x.cancel()
				pause.For(x.ctx, 2*lease+writeOffTime)
				x.workers.SetUnreachable("w0", false)
			},
		},
		"worker was unreachable and unlisted": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.late.update(func(w *lateWorkers) { w.validity = lease })
				x.workers.SetUnreachable("w0", true)
				x.store.Delete(workerKey("w0"))
				x.cancel()
				pause.For(x.ctx, 2*lease+writeOffTime)
				x.workers.SetUnreachable("w0", false)
			},
			afterStart: func(x *lateCell) {
				pause.For(x.ctx, 1500*time.Millisecond) // until the worker writes its entry again
				x.listWorker("w0")
			},
		},
		"stops are unanswered": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.late.update(func(w *lateWorkers) {
					w.stopsUnknown = true
					w.loseRepliesUntil = time.Now().Add(2 * writeOffTime)
				})
				x.cancel()
				pause.For(x.ctx, writeOffTime)
			},
			mustNotStart: true,
		},
		"retry is rejected": {
			step: step(1, 1),
			beforeStart: func(x *lateCell) {
				x.late.update(func(w *lateWorkers) { w.retryReply = leader.NoCapacity })
				x.cancelAndForget()
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newLateCell(t.Context(), t)
				defer x.end()
				x.lead("a")
				pause.For(x.ctx, 2*time.Second)
				x.submit(sched.Job{
					ID:    "j",
					Queue: "plain",
					Steps: []sched.Step{c.step},
				})
				pause.For(x.ctx, 500*time.Millisecond)
				x.c.Assert(x.late.heldCount(), qt.Equals, 1)
				c.beforeStart(x)
				starts := x.workers.StartCount()
				x.late.release(x.ctx)
				x.c.Assert(x.workers.StartCount() > starts, qt.Equals, !c.mustNotStart)
				started := time.Now()
				if c.afterStart != nil {
					c.afterStart(x)
				}
				x.waitUntilNoRuns()
				took := time.Since(started)
				t.Logf("stopped after %v", took)
				x.c.Assert(took <= lateStopLimit, qt.IsTrue, qt.Commentf("stopped after %v", took))
				x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
			})
		})
	}
}
