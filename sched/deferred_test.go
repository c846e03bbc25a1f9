package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// stepWithSlowStore is step with a store that takes longer for the write than tickets are
// valid.
func (x *cell) stepWithSlowStore() []sched.StartOrder {
	x.now = x.now.Add(10 * time.Millisecond)
	x.state.Decide(x.now)
	b, ok, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(ok, qt.IsTrue)
	x.now = x.now.Add(1600 * time.Millisecond)
	return x.state.BatchWritten(x.now, b)
}

// A worker would reject an order whose ticket expired while it was recorded. The order is
// sent with a renewed ticket instead.
func TestOrderWaitsForRenewalOfExpiredTicket(t *testing.T) {
	for name, step := range map[string]sched.Step{
		"tasks": tasks(2, 1),
		"gang":  gang(2, 1),
	} {
		x := newCell(t)
		x.addWorker("w")
		x.state.AddJob(x.now, job("j", "advised", step), sched.Progress{})
		x.step()
		x.advise(x.query(), "w")
		x.c.Assert(x.stepWithSlowStore(), qt.HasLen, 0, qt.Commentf("%s", name))
		q := x.query()
		x.c.Assert(q.Purpose, qt.Equals, sched.PurposeRenew)
		x.c.Assert(q.Workers, qt.DeepEquals, []spoolsill.WorkerIncarnation{incarnationOf("w")})
		x.c.Assert(x.state.DeferredStarts(), qt.HasLen, 0)
		x.renewLease("w")
		x.advise(q, "w")
		o := x.state.DeferredStarts()
		x.c.Assert(taskNames(o), qt.DeepEquals, []string{"j.0.0.0#1", "j.0.0.1#1"})
		x.c.Assert(o[0].Ticket, qt.Equals, "ticket-w")
		x.acceptStarts(o)
		x.c.Assert(x.state.DeferredStarts(), qt.HasLen, 0)
		x.c.Assert(x.state.CheckCapacity(), qt.IsNil)
	}
}

// If the renewal is not answered or yields no ticket, the orders are dropped, their
// capacity is free again and the tasks are placed under a new run number, those of a gang
// together.
func TestOrderWithoutATicketIsDropped(t *testing.T) {
	for _, lost := range []bool{false, true} {
		x := newCell(t)
		x.addWorker("w")
		x.state.AddJob(x.now, job("j", "advised", gang(2, 4)), sched.Progress{})
		x.step()
		x.advise(x.query(), "w")
		x.c.Assert(x.stepWithSlowStore(), qt.HasLen, 0)
		x.state.AdviceReceived(x.now, sched.Advice{
			Order:    x.query(),
			Received: x.now,
			Lost:     lost,
		})
		x.c.Assert(x.state.DeferredStarts(), qt.HasLen, 0)
		x.c.Assert(x.state.CheckCapacity(), qt.IsNil)
		x.now = x.now.Add(100 * time.Millisecond) // longer than the delay after a lost query
		x.renewLease("w")
		x.step()
		x.advise(x.query(), "w")
		x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#2", "j.0.0.1#2"})
	}
}

// A job that is cancelled while its order waits for a ticket never starts.
func TestCancelledOrderIsNotSent(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 1)), sched.Progress{})
	x.step()
	x.advise(x.query(), "w")
	x.c.Assert(x.stepWithSlowStore(), qt.HasLen, 0)
	q := x.query()
	x.state.CancelJob(x.now, "j")
	x.advise(q, "w")
	x.c.Assert(x.state.DeferredStarts(), qt.HasLen, 0)
	x.c.Assert(x.state.CheckCapacity(), qt.IsNil)
	s, _ := x.state.Job("j")
	x.c.Assert(s.State, qt.Equals, sched.Cancelled)
}
