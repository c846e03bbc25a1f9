package leader_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// restartDelay is the time from a worker's crash until it is back under its id.
	restartDelay = 600 * time.Millisecond
	// longRestartDelay is longer than the retries of an order take, and shorter than the lease.
	longRestartDelay = 3 * time.Second
	// restartBeforeLate is a time after the last try of an order in flight, and before the
	// order is carried out late.
	restartBeforeLate = 1900 * time.Millisecond
)

// restart restarts a worker under its id and writes its entry.
func (x *cell) restart(id spoolsill.WorkerID) {
	x.workers.Restart(id)
	x.listWorker(id)
}

// submitTasks submits n jobs of one task each, at intervals.
func (x *cell) submitTasks(prefix string, n int) []spoolsill.JobID {
	ids := make([]spoolsill.JobID, n)
	for i := range ids {
		ids[i] = spoolsill.JobID(fmt.Sprintf("%s%02d", prefix, i))
		x.submit(sched.Job{
			ID:    ids[i],
			Queue: "plain",
			Steps: []sched.Step{step(1, 1)},
		})
		pause.For(x.ctx, 50*time.Millisecond)
	}
	return ids
}

// Guards against tasks that run again, 60 to 110 ms after they ended, on workers that crashed
// and restarted under the same id half a second later. Each incarnation of a worker numbers
// its ends from 1. The leader mistook ends with numbers up to the highest one of the former
// incarnation for ends that it had processed, acknowledged them, and then found the runs neither
// running nor ended:
//
//	9.034 task ended, done, run 1 of one task
//	9.034 run is gone, worker does not have it, run 4 of another
func TestEndsOfRestartedWorkerAreProcessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		l := x.lead("a")
		before := x.submitTasks("before", 12)
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(l, before)
		x.workers.Crash("w0")
		pause.For(x.ctx, restartDelay)
		x.restart("w0")
		after := x.submitTasks("after", 12)
		pause.For(x.ctx, 4*time.Second)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
		x.c.Check(x.workers.StartCount(), qt.Equals, len(before)+len(after))
		x.assertCompleted(l, after)
	})
}

// Guards against a task that is never retried because its start remains unconfirmed. The worker
// crashed within a millisecond of carrying out the start, and restarted under the same id. An
// unconfirmed start is resolved once the worker's clock has passed the deadline of the order.
// That deadline was on the clock of the former incarnation, at 17 min in this test, while the
// clock of the next one starts from zero: the start was still unconfirmed after 120 s.
func TestUnconfirmedStartIsResolvedAfterWorkerRestart(t *testing.T) {
	for _, fault := range []cellfake.OrderFault{cellfake.OrderDrop, cellfake.OrderLoseReply} {
		synctest.Test(t, func(t *testing.T) {
			x := newCell(t.Context(), t, 2)
			defer x.end()
			var faulty atomic.Bool
			x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
				if faulty.Load() {
					return fault
				}
				return cellfake.OrderOK
			}
			l := x.lead("a")
			pause.For(x.ctx, 2*time.Second)
			faulty.Store(true)
			ids := x.submitTasks("job", 2)
			for _, w := range x.ids {
				x.workers.Crash(w)
			}
			faulty.Store(false)
			pause.For(x.ctx, longRestartDelay)
			for _, w := range x.ids {
				x.restart(w)
			}
			pause.For(x.ctx, 10*time.Second)
			x.c.Check(x.workers.Violations(), qt.HasLen, 0)
			x.assertCompleted(l, ids)
		})
	}
}

// An order for a former incarnation is delivered late to the next one, which has seen no fence and
// no stop. By its clock the order has not expired, so it carries the order out. The task must not
// run on another worker at that time.
func TestLateStartForFormerIncarnationRunsNoTaskTwice(t *testing.T) {
	for _, delay := range []time.Duration{2 * time.Second, 5 * time.Second, 11 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) { testLateStart(t, delay) })
	}
}

func testLateStart(t *testing.T, delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		var late atomic.Bool
		x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
			if late.Load() {
				return cellfake.OrderLate
			}
			return cellfake.OrderOK
		}
		x.workers.LateBy = delay
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) {
			return 4 * time.Second, sched.EndDone
		}
		l := x.lead("a")
		pause.For(x.ctx, 2*time.Second)
		late.Store(true)
		ids := x.submitTasks("job", 4)
		pause.For(x.ctx, 200*time.Millisecond)
		for _, w := range x.ids {
			x.workers.Crash(w)
		}
		pause.For(x.ctx, restartBeforeLate-400*time.Millisecond)
		for _, w := range x.ids {
			x.restart(w)
		}
		late.Store(false)
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
		x.assertCompleted(l, ids)
	})
}

// Guards against idle workers that are never used again. While a worker was down, another worker
// responded at its address, which proves that the incarnation has ended. The leader treated the id
// as dead instead, so that late entries would not make it usable again, and ignored the entries of
// the next incarnation: two jobs of one core stayed pending with a worker of ten cores idle.
func TestWorkerDeclaredDeadIsUsedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		l := x.lead("a")
		x.assertCompleted(l, x.submitAndWait("first", 2))
		x.workers.Crash("w0")
		x.workers.Replace("w0", "passing")
		pause.For(x.ctx, time.Second)
		x.restart("w0")
		x.assertCompleted(l, x.submitAndWait("second", 2))
	})
}

// submitAndWait submits jobs like submitTasks and waits for as long as they take.
func (x *cell) submitAndWait(prefix string, n int) []spoolsill.JobID {
	ids := x.submitTasks(prefix, n)
	pause.For(x.ctx, 4*time.Second)
	return ids
}

// Guards against ends that are lost. A worker crashed while a start was in flight. The next try,
// 40 ms later, was accepted by its next incarnation, where the run ended before the first renewal.
// That renewal acknowledged the 12 ends of the former incarnation, so the worker discarded its only
// end, which the leader had not received, as acknowledged.
func TestUnreceivedEndsAreNotAcknowledgedAfterWorkerRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		var drop atomic.Bool
		x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
			if drop.Load() {
				return cellfake.OrderDrop
			}
			return cellfake.OrderOK
		}
		x.workers.RunResult = func(r sched.RunID) (time.Duration, sched.EndKind) {
			return 5 * time.Millisecond, sched.EndDone
		}
		l := x.lead("a")
		x.assertCompleted(l, x.submitAndWait("before", 12))
		drop.Store(true)
		ids := x.submitTasks("job", 1)
		pause.For(x.ctx, 40*time.Millisecond)
		x.workers.Crash("w0")
		x.workers.Restart("w0")
		drop.Store(false)
		pause.For(x.ctx, 2*time.Second)
		x.listWorker("w0")
		pause.For(x.ctx, 8*time.Second)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
		x.assertCompleted(l, ids)
	})
}

// lossyStarts wraps workers and can lose their responses to starts.
type lossyStarts struct {
	*cellfake.Workers

	lossy atomic.Bool
}

// Start implements [leader.Workers].
func (w *lossyStarts) Start(ctx context.Context, s leader.Start) leader.Reply {
	r := w.Workers.Start(ctx, s)
	if !w.lossy.Load() {
		return r
	}
	pause.For(ctx, s.Timeout)
	return leader.Reply{
		Kind: leader.NoAnswer,
	}
}

// Guards against a retry that starts a task twice. A worker had carried out a start whose
// response was lost, had listed the run as ended, and had restarted before the last try, which
// its next incarnation took for a new order. Once a worker has listed the run there is no retry.
func TestStartIsNotRetriedOnceRunIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		w := &lossyStarts{
			Workers: x.workers,
		}
		x.workersOverride = w
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) {
			return 5 * time.Millisecond, sched.EndDone
		}
		l := x.lead("a")
		x.assertCompleted(l, x.submitAndWait("before", 2))
		w.lossy.Store(true)
		ids := x.submitTasks("job", 1)
		for s, _ := l.Status(ids[0]); s.State != sched.Completed; s, _ = l.Status(ids[0]) {
			pause.For(x.ctx, time.Millisecond)
		}
		x.workers.Crash("w0")
		x.workers.Restart("w0")
		pause.For(x.ctx, 2*time.Second)
		w.lossy.Store(false)
		x.listWorker("w0")
		pause.For(x.ctx, 4*time.Second)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
		x.assertCompleted(l, ids)
	})
}
