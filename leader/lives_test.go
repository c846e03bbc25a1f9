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
	// restartAfter is how long after its crash a worker is back under its id.
	restartAfter = 600 * time.Millisecond
	// restartLate is the same where nobody tries any more to give an order that was under
	// way, and the lease goes on.
	restartLate = 3 * time.Second
	// restartBeforeLate is after the last try of such an order, and before it is carried
	// out late.
	restartBeforeLate = 1900 * time.Millisecond
)

// restart has a worker start again under its id and write its entry.
func (x *cell) restart(id spoolsill.WorkerID) {
	x.workers.Restart(id)
	x.list(id)
}

// submitTasks keeps jobs of one task, as many as n, which start one after the other.
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

// Workers crashed and started again half a second later under the ids that they had.
// Tasks that ended there as done were started once more, 60 to 110 ms after each end: the
// leader's log had no end of these runs, though it told, from the same answer of a
// worker, of another end and of runs that were gone:
//
//	9.034 task ended, done, run 1 of one task
//	9.034 run is gone, worker does not have it, run 4 of another
//
// A worker counts the ends of each of its lives from 1. The leader took those up to the
// highest number of the former life for ends that it had counted, acknowledged them, and
// found the runs neither running nor ended.
func TestEndsOfAWorkerThatStartedAgainCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		l := x.lead("a")
		before := x.submitTasks("before", 12)
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(l, before)
		x.workers.Crash("w0")
		pause.For(x.ctx, restartAfter)
		x.restart("w0")
		after := x.submitTasks("after", 12)
		pause.For(x.ctx, 4*time.Second)
		x.c.Check(x.workers.Broken(), qt.HasLen, 0)
		x.c.Check(x.workers.Starts(), qt.Equals, len(before)+len(after))
		x.assertCompleted(l, after)
	})
}

// A job of three tasks was accepted 56 ms before its workers crashed; one start had just
// been carried out, and was gone within the same millisecond. The workers were back under
// their ids, the cell was nearly empty, and the task was not started in the 54 s that were
// left of the day. Such a start is certain not to happen any more once the worker's clock
// has passed the order's deadline; the deadline was of the former life's clock, and the next
// life's had begun anew. In this test the former clock was at 17 min, and the start was still
// in doubt after 120 s.
func TestStartInDoubtAtAWorkerThatStartedAgainIsSettled(t *testing.T) {
	for _, fault := range []cellfake.OrderFault{cellfake.OrderDrop, cellfake.OrderLose} {
		synctest.Test(t, func(t *testing.T) {
			x := newCell(t.Context(), t, 2)
			defer x.end()
			var faulty atomic.Bool
			x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
				if faulty.Load() {
					return fault
				}
				return cellfake.OrderWell
			}
			l := x.lead("a")
			pause.For(x.ctx, 2*time.Second)
			faulty.Store(true)
			ids := x.submitTasks("job", 2)
			for _, w := range x.ids {
				x.workers.Crash(w)
			}
			faulty.Store(false)
			pause.For(x.ctx, restartLate)
			for _, w := range x.ids {
				x.restart(w)
			}
			pause.For(x.ctx, 10*time.Second)
			x.c.Check(x.workers.Broken(), qt.HasLen, 0)
			x.assertCompleted(l, ids)
		})
	}
}

// An order for the former life that is carried out late reaches the next one, which knows
// of no fence and no stop and whose clock says that the order is in time. Its task must
// not run elsewhere by then.
func TestLateStartForAFormerLifeRunsBesideNoOther(t *testing.T) {
	for _, by := range []time.Duration{2 * time.Second, 5 * time.Second, 11 * time.Second} {
		t.Run(by.String(), func(t *testing.T) { testLateStart(t, by) })
	}
}

func testLateStart(t *testing.T, by time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		var late atomic.Bool
		x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
			if late.Load() {
				return cellfake.OrderLate
			}
			return cellfake.OrderWell
		}
		x.workers.LateBy = by
		x.workers.Work = func(sched.RunID) (time.Duration, sched.EndKind) {
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
		x.c.Check(x.workers.Broken(), qt.HasLen, 0)
		x.assertCompleted(l, ids)
	})
}

// The address of a worker that crashed answered for another one for a while, which proves
// that its life is over, and not that its id is. The leader kept the id as a dead one, so
// that late entries of that life would not revive it, and passed over every entry of the
// next life: two jobs of one core each stayed pending on an idle worker of ten.
func TestWorkerThatWasTakenForDeadIsUsedAgainInItsNextLife(t *testing.T) {
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

// submitAndWait is submitTasks, with the time that the jobs take.
func (x *cell) submitAndWait(prefix string, n int) []spoolsill.JobID {
	ids := x.submitTasks(prefix, n)
	pause.For(x.ctx, 4*time.Second)
	return ids
}

// A worker crashed while it was told to start something, and the order's next try, 40 ms
// later, was taken by its next life, which was through before anybody asked it for its runs.
// The first who did still told it to forget the ends that the former life had been asked to:
// 12 of them, so that the only one of the new life went unread, and counted as noted.
func TestNextLifeIsNotToldToForgetEndsThatNobodyRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		var drop atomic.Bool
		x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
			if drop.Load() {
				return cellfake.OrderDrop
			}
			return cellfake.OrderWell
		}
		x.workers.Work = func(r sched.RunID) (time.Duration, sched.EndKind) {
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
		x.list("w0")
		pause.For(x.ctx, 8*time.Second)
		x.c.Check(x.workers.Broken(), qt.HasLen, 0)
		x.assertCompleted(l, ids)
	})
}

// deafStarts are workers whose answers to starts get lost for a while.
type deafStarts struct {
	*cellfake.Workers

	deaf atomic.Bool
}

// Start implements [leader.Workers].
func (w *deafStarts) Start(ctx context.Context, s leader.Start) leader.Reply {
	r := w.Workers.Start(ctx, s)
	if !w.deaf.Load() {
		return r
	}
	pause.For(ctx, s.Within)
	return leader.Reply{
		Kind: leader.NoAnswer,
	}
}

// A start is tried again for as long as it has no answer. A worker had carried it out, had
// listed the run as ended, and had crashed and started again before the last try, which its
// next life took for a new order. Once the worker has told of the run there is no other try.
func TestStartIsNotTriedAgainOnceItsRunIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		w := &deafStarts{
			Workers: x.workers,
		}
		x.orders = w
		x.workers.Work = func(sched.RunID) (time.Duration, sched.EndKind) {
			return 5 * time.Millisecond, sched.EndDone
		}
		l := x.lead("a")
		x.assertCompleted(l, x.submitAndWait("before", 2))
		w.deaf.Store(true)
		ids := x.submitTasks("job", 1)
		for s, _ := l.Status(ids[0]); s.State != sched.Completed; s, _ = l.Status(ids[0]) {
			pause.For(x.ctx, time.Millisecond)
		}
		x.workers.Crash("w0")
		x.workers.Restart("w0")
		pause.For(x.ctx, 2*time.Second)
		w.deaf.Store(false)
		x.list("w0")
		pause.For(x.ctx, 4*time.Second)
		x.c.Check(x.workers.Broken(), qt.HasLen, 0)
		x.assertCompleted(l, ids)
	})
}
