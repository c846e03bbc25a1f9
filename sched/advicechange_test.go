package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// setAdvised sets whether the queue "changing" has an advisor.
func (x *cell) setAdvised(advised bool) {
	q := sched.Queue{
		ID:          "changing",
		Service:     "work",
		Priority:    1,
		MaxAttempts: 2,
		Stretch:     4,
		Goal:        time.Second,
	}
	if advised {
		q.Advisor = &sched.Advisor{
			Base:      50 * time.Millisecond,
			PerWorker: time.Millisecond,
		}
	}
	x.state.SetQueues([]sched.Queue{q})
}

// Guards against the end of the leader when a worker rejects a start for its ticket and the leader
// does not know yet that the queue has an advisor. The next leader would end in the same way.
func TestStartRejectedForUnknownTicketIsRepeatedWithTicket(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.setAdvised(false)
	x.state.AddJob(x.now, job("j", "changing", tasks(1, 1)), sched.Progress{})
	x.answerStart(x.step()[0], sched.StartNoTicket)
	x.setAdvised(true)
	x.now = x.now.Add(100 * time.Millisecond)
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.advise(x.query(), "w")
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.c.Assert(o[0].Ticket, qt.Equals, "ticket-w")
}

// Guards against starts that are repeated every 50 ms although each is rejected until the leader
// knows the queue's new configuration.
func TestStartsRejectedForUnknownTicketArePaced(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.setAdvised(false)
	x.state.AddJob(x.now, job("j", "changing", tasks(1, 1)), sched.Progress{})
	for range 200 {
		x.renewLease("w")
		for _, o := range x.step() {
			x.answerStart(o, sched.StartNoTicket)
		}
	}
	x.c.Assert(x.started, qt.HasLen, 4)
	x.setAdvised(true)
	x.step()
	x.advise(x.query(), "w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

// Guards against a worker that is never used again for a stage: it rejected a start for its ticket
// while the advisor had been asked about other workers only.
func TestWorkerThatWantsTicketIsUsedOnceAllowed(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.setAdvised(false)
	x.state.AddJob(x.now, job("j", "changing", tasks(2, 6)), sched.Progress{})
	first := x.step()
	x.c.Assert(first, qt.HasLen, 1)
	x.setAdvised(true)
	x.state.WorkerUnresponsive(x.now, incarnationOf("w"))
	x.addWorker("v")
	x.step()
	x.advise(x.query()) // about v, which may not run the stage
	x.answerStart(first[0], sched.StartNoTicket)
	x.now = x.now.Add(300 * time.Millisecond)
	x.renewLease("w")
	x.renewLease("v")
	x.step()
	x.advise(x.query(), "w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

// A queue may gain or lose its advisor at any moment, and workers may learn of it before or after
// the leader does. All jobs are done in the end.
func TestQueueMayGainOrLoseAdvisorAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newCell(t)
		wantTicket, known := false, false
		x.setAdvised(false)
		for i := range rapid.IntRange(1, 3).Draw(rt, "workers") {
			x.addWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
		}
		jobs := rapid.IntRange(1, 4).Draw(rt, "jobs")
		for i := range jobs {
			s := tasks(rapid.IntRange(1, 4).Draw(rt, "tasks"), rapid.IntRange(1, 5).Draw(rt, "cores"))
			s.Gang = s.Tasks <= 2 && rapid.Bool().Draw(rt, "gang")
			x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint("j", i)), "changing", s), sched.Progress{})
		}
		for range rapid.IntRange(0, 40).Draw(rt, "moves") {
			switch rapid.IntRange(0, 3).Draw(rt, "move") {
			case 0:
				wantTicket = !wantTicket
			case 1:
				known = !known
				x.setAdvised(known)
			default:
				x.runOnce(wantTicket, rapid.Bool().Draw(rt, "answer"), rapid.IntRange(10, 400).Draw(rt, "ms"))
			}
		}
		x.setAdvised(wantTicket)
		for range 200 {
			x.runOnce(wantTicket, true, 100)
		}
		for i := range jobs {
			s, ok := x.state.Job(spoolsill.JobID(fmt.Sprint("j", i)))
			if !ok || s.State != sched.Completed {
				rt.Fatalf("job %d is %v", i, s.State)
			}
		}
	})
}

// runOnce makes a pass after some time. Workers reject starts without a ticket if they want one, and
// end the others at once. The advisor allows the worker "w0" only, or answers nothing.
func (x *cell) runOnce(wantTicket, adviseToo bool, ms int) {
	x.now = x.now.Add(time.Duration(ms) * time.Millisecond)
	for _, w := range x.state.ListedWorkers() {
		x.renewLease(w)
	}
	orders := x.step()
	if adviseToo {
		for _, q := range x.state.AdviceOrders() {
			x.advise(q, "w0")
		}
	}
	for _, o := range append(orders, x.state.DeferredStarts()...) {
		if wantTicket && o.Ticket == "" {
			x.answerStart(o, sched.StartNoTicket)
			continue
		}
		x.answerStart(o, sched.StartAccepted)
		x.endRun(o, sched.EndDone)
	}
}
