package leader_test

import (
	"context"
	"fmt"
	"maps"
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
)

// A tryFault is what happens to one try of a start order.
type tryFault uint8

const (
	tryOK          tryFault = iota
	tryReplyLost            // carried out, but not answered
	tryOrderLost            // neither carried out nor answered
	tryUnreachable          // certainly not sent
)

// A faultyStarts wraps workers. It applies faults to the tries of each start, and records on which
// incarnations each run starts.
type faultyStarts struct {
	*cellfake.Workers

	mu     sync.Mutex
	faults []tryFault // of the first tries of each start; later tries have none
	tries  map[sched.RunID]int
	sent   map[sched.RunID]time.Time     // when the first try was sent
	delay  map[sched.RunID]time.Duration // from the first try to the latest start
	starts map[sched.RunID][]spoolsill.WorkerIncarnation
	calls  int // starts and renewals
	// kill, if not nil, crashes the worker of the first start, crashDelay later.
	kill func(id spoolsill.WorkerID)
}

// newFaultyStarts makes the leaders of x call its workers with faults.
func newFaultyStarts(x *cell, faults ...tryFault) *faultyStarts {
	w := &faultyStarts{
		Workers: x.workers,
		faults:  faults,
		tries:   map[sched.RunID]int{},
		sent:    map[sched.RunID]time.Time{},
		delay:   map[sched.RunID]time.Duration{},
		starts:  map[sched.RunID][]spoolsill.WorkerIncarnation{},
	}
	x.workers.Began = w.began
	x.workersOverride = w
	return w
}

func (w *faultyStarts) began(l spoolsill.WorkerIncarnation, r sched.RunID, _ string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay[r] = time.Since(w.sent[r])
	w.starts[r] = append(w.starts[r], l)
	if kill := w.kill; kill != nil {
		w.kill = nil
		time.AfterFunc(crashDelay, func() { kill(l.Worker) })
	}
}

// Renew implements [leader.Workers].
func (w *faultyStarts) Renew(ctx context.Context, r leader.Renewal) (sched.Heartbeat, leader.Reply) {
	w.mu.Lock()
	w.calls++
	w.mu.Unlock()
	return w.Workers.Renew(ctx, r)
}

// Start implements [leader.Workers].
func (w *faultyStarts) Start(ctx context.Context, s leader.Start) leader.Reply {
	begun := time.Now()
	switch w.nextFault(s.Order.Run) {
	case tryOK:
		return w.Workers.Start(ctx, s)
	case tryUnreachable:
		return leader.Reply{
			Kind: leader.Unreachable,
		}
	case tryReplyLost:
		w.Workers.Start(ctx, s)
	case tryOrderLost:
	}
	pause.For(ctx, s.Timeout-time.Since(begun))
	return leader.Reply{
		Kind: leader.NoAnswer,
	}
}

func (w *faultyStarts) nextFault(r sched.RunID) tryFault {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	n := w.tries[r]
	w.tries[r]++
	if n == 0 {
		w.sent[r] = time.Now()
	}
	if n >= len(w.faults) {
		return tryOK
	}
	return w.faults[n]
}

// repeated returns the runs that started more than once.
func (w *faultyStarts) repeated() map[sched.RunID][]spoolsill.WorkerIncarnation {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := maps.Clone(w.starts)
	maps.DeleteFunc(m, func(_ sched.RunID, ls []spoolsill.WorkerIncarnation) bool { return len(ls) == 1 })
	return m
}

// A retryCase is a start whose worker crashes, and restarts under its id before the retry.
type retryCase struct {
	name   string
	step   sched.Step
	faults []tryFault
	// taskCrashes means that the task itself crashes its workers, each time.
	taskCrashes bool
	// takeover means that another leader takes over before the retry.
	takeover bool
	// cancel means that the job is cancelled before the retry.
	cancel bool
}

// A worker crashes soon after a start whose response is lost, and is back under its id when the
// start is retried; its entry follows later. No run may start on two incarnations, and every job
// must end. Guards against tasks that run twice, and against tasks that crash their workers more
// often than the leader knows: one order crashed up to five incarnations.
func TestUnansweredStartIsNotRetriedOnNextIncarnation(t *testing.T) {
	single, gang := step(1, 1), gangStep()
	for _, c := range []retryCase{
		{
			name:        "crashing task",
			step:        single,
			faults:      []tryFault{tryReplyLost},
			taskCrashes: true,
		},
		{
			name:        "crashing task, all replies lost",
			step:        single,
			faults:      []tryFault{tryReplyLost, tryReplyLost, tryReplyLost, tryReplyLost, tryReplyLost},
			taskCrashes: true,
		},
		{
			name:   "other task",
			step:   single,
			faults: []tryFault{tryReplyLost},
		},
		{
			name:   "second try is unreachable",
			step:   single,
			faults: []tryFault{tryReplyLost, tryUnreachable},
		},
		{
			name:   "first try is unreachable",
			step:   single,
			faults: []tryFault{tryUnreachable, tryReplyLost},
		},
		{
			name:   "order lost first",
			step:   single,
			faults: []tryFault{tryOrderLost, tryReplyLost},
		},
		{
			name:   "gang",
			step:   gang,
			faults: []tryFault{tryReplyLost},
		},
		{
			name:     "takeover",
			step:     single,
			faults:   []tryFault{tryReplyLost},
			takeover: true,
		},
		{
			name:   "cancelled",
			step:   single,
			faults: []tryFault{tryReplyLost},
			cancel: true,
		},
	} {
		for _, restart := range []time.Duration{0, 50 * time.Millisecond, 160 * time.Millisecond} {
			for _, entry := range []time.Duration{0, 300 * time.Millisecond, 1300 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, restart %v, entry %v", c.name, restart, entry), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testRetry(t, c, restart, entry) })
				})
			}
		}
	}
}

// testRetry runs a case. A worker restarts after the restart delay, and its entry is written after
// the entry delay.
func testRetry(t *testing.T, c retryCase, restart, entry time.Duration) {
	m := newMachineCell(newCell(t.Context(), t, 8))
	defer m.end()
	w := newFaultyStarts(m.cell, c.faults...)
	restartLater := func(id spoolsill.WorkerID) {
		time.AfterFunc(restart, func() { m.workers.Restart(id) })
		time.AfterFunc(restart+entry, func() { m.listIncarnation(id, m.machineOf(id)) })
	}
	if c.taskCrashes {
		m.workers.CrashAfter = func(sched.RunID) (time.Duration, bool) { return crashDelay, true }
		m.workers.OnCrash = func(id spoolsill.WorkerID, _ []sched.RunID) { restartLater(id) }
	} else {
		w.kill = func(id spoolsill.WorkerID) {
			m.workers.Crash(id)
			restartLater(id)
		}
	}
	l := m.lead("a")
	pause.For(m.ctx, 2*time.Second)
	m.submit(sched.Job{
		ID:    "j",
		Queue: "plain",
		Steps: []sched.Step{c.step},
	})
	for m.workers.StartCount() == 0 {
		pause.For(m.ctx, time.Millisecond)
	}
	pause.For(m.ctx, 2*crashDelay)
	if c.cancel {
		m.c.Assert(jobstore.Cancel(m.ctx, m.store, "host", "j"), qt.IsNil)
	}
	if c.takeover {
		l = m.lead("b")
	}
	pause.For(m.ctx, time.Minute)
	m.c.Check(w.repeated(), qt.HasLen, 0)
	m.c.Check(m.workers.Violations(), qt.HasLen, 0)
	s, ok := l.Status("j")
	m.c.Check(ok, qt.IsTrue)
	m.c.Check(s.State.Final(), qt.IsTrue, qt.Commentf("%s", s.State))
}

// A start whose first try is lost begins within a quarter of a second, which is the shortest
// latency objective of the known deployments. One whose response is lost begins at once.
func TestUnansweredStartIsRetriedSoon(t *testing.T) {
	const maxDelay = 250 * time.Millisecond
	for _, c := range []struct {
		name   string
		faults []tryFault
	}{
		{
			name: "answered",
		},
		{
			name:   "response lost",
			faults: []tryFault{tryReplyLost},
		},
		{
			name:   "order lost",
			faults: []tryFault{tryOrderLost},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newCell(t.Context(), t, 1)
				defer x.end()
				w := newFaultyStarts(x, c.faults...)
				l := x.lead("a")
				pause.For(x.ctx, 2*time.Second)
				ids := x.submitTasks("job", 40)
				pause.For(x.ctx, 4*time.Second)
				x.assertCompleted(l, ids)
				x.c.Check(w.repeated(), qt.HasLen, 0)
				x.c.Check(x.workers.Violations(), qt.HasLen, 0)
				w.mu.Lock()
				defer w.mu.Unlock()
				x.c.Check(w.delay, qt.HasLen, len(ids))
				var total time.Duration
				for r, d := range w.delay {
					total += d
					x.c.Check(d <= maxDelay, qt.IsTrue, qt.Commentf("%s: %v", r.Task, d))
				}
				t.Logf("began after %v on average; %d calls in all", total/time.Duration(len(ids)), w.calls)
			})
		})
	}
}
