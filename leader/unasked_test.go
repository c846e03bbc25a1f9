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
	// lateBound is within which a run of a cancelled job that starts late has to
	// be gone, on the strictest of the known deployments: 3 s, and 0.2 s for the
	// stop itself.
	lateBound = 3200 * time.Millisecond
	// lateTakes is within which a start that is carried out late is.
	lateTakes = 5 * time.Millisecond
	// writtenOff is after how long nobody expects a start any more.
	writtenOff = 5 * time.Second
)

// lateWorkers are workers that leave some starts unanswered and carry them out
// when they are told to, whatever their deadlines say.
type lateWorkers struct {
	*cellfake.Workers

	mu sync.Mutex
	// late is how many tasks' starts are held, those of the lowest indices.
	late int
	held map[sched.RunID]leader.Start
	// over tells that held starts were carried out.
	over bool
	// again is what a held start is answered when it is sent again.
	again leader.ReplyKind
	// known tells that runs may be stopped before they are there, which bars
	// them; else such a stop is turned away.
	known bool
	// deaf is until when stops are carried out without an answer.
	deaf time.Time
	// force is how long a late start alone keeps its run; where it is short, the
	// worker's lease does.
	force time.Duration
	// clock is what the worker's clock showed at clockAt.
	clock   sched.ClockMillis
	clockAt time.Time
}

// set changes the fields while leaders give orders.
func (w *lateWorkers) set(f func(w *lateWorkers)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

// holds returns how many starts are held.
func (w *lateWorkers) holds() int {
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
			pause.For(ctx, o.Within)
		}
		return leader.Reply{
			Kind: kind,
		}
	}
	return w.Workers.Start(ctx, o)
}

// hold keeps a start back and returns how it is answered.
func (w *lateWorkers) hold(o leader.Start) (leader.ReplyKind, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := o.Order.Run
	if w.over || r.Task.Index >= w.late || r.Number > 1 {
		return 0, false
	}
	if _, ok := w.held[r]; ok {
		return w.again, true
	}
	w.held[r] = o
	return leader.NoAnswer, true
}

// release carries the held starts out, as if they were in time.
func (w *lateWorkers) release(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	for _, o := range w.held {
		until := time.Since(w.clockAt) + w.force
		o.Deadline = w.clock + sched.ClockMillis(until.Milliseconds())
		w.Workers.Start(ctx, o)
	}
}

func (w *lateWorkers) Stop(ctx context.Context, o leader.Stop) leader.Reply {
	w.mu.Lock()
	_, held := w.held[o.Run]
	reject := held && !w.over && !w.known
	deaf := time.Now().Before(w.deaf)
	w.mu.Unlock()
	if reject {
		return leader.Reply{
			Kind: leader.Rejected,
		}
	}
	begun := time.Now()
	r := w.Workers.Stop(ctx, o)
	if !deaf {
		return r
	}
	pause.For(ctx, o.Within-time.Since(begun))
	return leader.Reply{
		Kind: leader.NoAnswer,
	}
}

// A lateCell is a cell of one worker that starts late.
type lateCell struct {
	*cell
	late *lateWorkers
}

func newLateCell(ctx context.Context, t *testing.T) *lateCell {
	x := &lateCell{
		cell: newCell(ctx, t, 1),
	}
	x.workers.Work = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Minute, sched.EndDone }
	x.late = &lateWorkers{
		Workers: x.workers,
		late:    1,
		held:    map[sched.RunID]leader.Start{},
		again:   leader.NoAnswer,
		force:   lateTakes,
	}
	x.orders = x.late
	return x
}

func (x *lateCell) cancel() {
	x.c.Assert(jobstore.Cancel(x.ctx, x.store, "host", "j"), qt.IsNil)
}

// cancelAndForget cancels the job and waits until its start is not expected any
// more and the rows are deleted.
func (x *lateCell) cancelAndForget() {
	x.cancel()
	pause.For(x.ctx, writtenOff)
	p, err := x.store.List(x.ctx, jobstore.JobsTable, "host", "", 0)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(p.Rows, qt.HasLen, 0)
}

// removeStarter ends the leader that gave the order, for good.
func (x *lateCell) removeStarter() {
	x.kills[0]()
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

// waitUntilGone waits until all runs are gone.
func (x *lateCell) waitUntilGone() {
	begun := time.Now()
	for x.workers.Running() > 0 && time.Since(begun) < time.Minute {
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

// A start that had no answer is carried out late, in whatever state its job, its
// worker and the leadership are by then: the run is stopped within the bound.
func TestRunsThatStartLateAreStopped(t *testing.T) {
	for name, c := range map[string]struct {
		step sched.Step
		// until the start is carried out
		until func(x *lateCell)
		// since then
		since func(x *lateCell)
		// barred tells that the run must not begin at all.
		barred bool
	}{
		"cancelled": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.cancel()
				pause.For(x.ctx, time.Second)
			},
		},
		"written off and forgotten": {
			step:  step(1, 1),
			until: (*lateCell).cancelAndForget,
		},
		"lasting": {
			step:  lastingStep(),
			until: (*lateCell).cancelAndForget,
		},
		"one of a gang, soon": {
			step: gangStep(),
			until: func(x *lateCell) {
				x.cancel()
				pause.For(x.ctx, time.Second)
			},
		},
		"one of a gang, forgotten": {
			step:  gangStep(),
			until: (*lateCell).cancelAndForget,
		},
		"cancelled afterwards": {
			step:  step(1, 1),
			until: func(x *lateCell) { pause.For(x.ctx, time.Second) },
			since: (*lateCell).cancel,
		},
		"starter removed, then cancelled": {
			step:  step(1, 1),
			until: (*lateCell).removeStarter,
			since: func(x *lateCell) {
				x.cancel()
				x.lead("b")
			},
		},
		"starter removed, forgotten": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.cancelAndForget()
				x.removeStarter()
			},
			since: func(x *lateCell) { x.lead("b") },
		},
		"next leader was there before": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.cancel()
				x.removeStarter()
				x.lead("b")
				pause.For(x.ctx, time.Second)
			},
			barred: true,
		},
		"worker drains": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.drain()
				x.cancelAndForget()
			},
		},
		"worker's entry is gone": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.store.Delete(workerKey("w0"))
				x.cancelAndForget()
			},
		},
		"worker's entry goes meanwhile": {
			step:  step(1, 1),
			until: (*lateCell).cancelAndForget,
			since: func(x *lateCell) { x.store.Delete(workerKey("w0")) },
		},
		"worker was cut off": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.late.set(func(w *lateWorkers) { w.force = lease })
				x.workers.Cut("w0", true)
				x.cancel()
				pause.For(x.ctx, 2*lease+writtenOff)
				x.workers.Cut("w0", false)
			},
		},
		"worker was cut off and unlisted": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.late.set(func(w *lateWorkers) { w.force = lease })
				x.workers.Cut("w0", true)
				x.store.Delete(workerKey("w0"))
				x.cancel()
				pause.For(x.ctx, 2*lease+writtenOff)
				x.workers.Cut("w0", false)
			},
			since: func(x *lateCell) {
				pause.For(x.ctx, 1500*time.Millisecond) // until it writes again
				x.list("w0")
			},
		},
		"stops are not answered": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.late.set(func(w *lateWorkers) {
					w.known = true
					w.deaf = time.Now().Add(2 * writtenOff)
				})
				x.cancel()
				pause.For(x.ctx, writtenOff)
			},
			barred: true,
		},
		"rejected when sent again": {
			step: step(1, 1),
			until: func(x *lateCell) {
				x.late.set(func(w *lateWorkers) { w.again = leader.NoRoom })
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
				x.c.Assert(x.late.holds(), qt.Equals, 1)
				c.until(x)
				starts := x.workers.Starts()
				x.late.release(x.ctx)
				x.c.Assert(x.workers.Starts() > starts, qt.Equals, !c.barred)
				since := time.Now()
				if c.since != nil {
					c.since(x)
				}
				x.waitUntilGone()
				took := time.Since(since)
				t.Logf("gone after %v", took)
				x.c.Assert(took <= lateBound, qt.IsTrue, qt.Commentf("gone after %v", took))
				x.c.Assert(x.workers.Broken(), qt.HasLen, 0)
			})
		})
	}
}
