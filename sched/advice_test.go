package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// advise answers a query with tickets for the given workers.
func (x *cell) advise(o sched.AdviceOrder, allowed ...spoolsill.WorkerID) {
	a := sched.Advice{
		Order:    o,
		Received: x.now,
		Valid:    1500 * time.Millisecond,
	}
	for _, id := range allowed {
		a.Tickets = append(a.Tickets, sched.Ticket{
			Worker: id,
			Text:   "ticket-" + string(id),
		})
	}
	x.state.AdviceReceived(x.now, a)
}

func (x *cell) query() sched.AdviceOrder {
	q := x.state.AdviceOrders()
	x.c.Assert(q, qt.HasLen, 1)
	return q[0]
}

func TestAdvisorIsAskedBeforeAStart(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.addWorker("b")
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	q := x.query()
	x.c.Assert(q.Workers, qt.HasLen, 2)
	x.advise(q, "b")
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.c.Assert(o[0].Worker, qt.Equals, spoolsill.WorkerID("b"))
	x.c.Assert(o[0].Ticket, qt.Equals, "ticket-b")
}

// Guards against another task taking the capacity of a run whose ticket is being renewed, and
// against repeated queries: those that no stage waits for any more would overload the advisor.
func TestExpiredTicketIsRenewedWithCapacityHeld(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("big", "q", tasks(1, 10)), sched.Progress{})
	big := x.step()
	x.acceptStarts(big)
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 10)), sched.Progress{})
	x.step()
	x.advise(x.query(), "w")
	x.advance(2*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"w": {big[0].Run},
	})
	x.endRun(big[0], sched.EndDone)
	x.c.Assert(x.step(), qt.HasLen, 0)
	q := x.query()
	x.c.Assert(q.Purpose, qt.Equals, sched.PurposeRenew)
	x.state.AddJob(x.now, job("late", "q", tasks(1, 10)), sched.Progress{})
	x.advance(6*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"w": nil,
	})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.c.Assert(x.state.AdviceOrders(), qt.HasLen, 0)
	x.advise(q, "w")
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#1"})
}

func TestPlanSkipsLostWorkers(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "advised", gang(2, 1)), sched.Progress{})
	x.step()
	x.advise(x.query(), "w")
	x.now = x.now.Add(1400 * time.Millisecond)
	x.renewLease("w")
	x.step()
	q := x.query()
	// The lease expires and the worker answers again before the advisor does.
	x.advance(7*time.Second, nil)
	x.renewLease("w")
	x.advise(q, "w")
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#1", "j.0.0.1#1"})
}

func TestLostQueryReleasesTheCapacity(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 10)), sched.Progress{})
	x.step()
	x.advise(x.query(), "w")
	x.now = x.now.Add(1400 * time.Millisecond)
	x.renewLease("w")
	x.step()
	x.state.AdviceReceived(x.now, sched.Advice{
		Order: x.query(),
		Lost:  true,
	})
	x.state.AddJob(x.now, job("k", "q", tasks(1, 10)), sched.Progress{})
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 0)
	x.c.Assert(x.state.CheckCapacity(), qt.IsNil)
}

// The number of queries in flight is bounded by the hosts that can make them. Urgent ones
// are exempt.
func TestQueriesAreBoundedByHosts(t *testing.T) {
	for _, hosts := range []int{1, 5} {
		x := newCell(t)
		x.addWorker("w")
		x.state.SetMaxQueries(hosts)
		for i := range 20 {
			x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprint(i)), "advised", tasks(1, 1)), sched.Progress{})
		}
		x.step()
		x.c.Assert(x.state.AdviceOrders(), qt.HasLen, 2*hosts)
	}
}

// Urgent queries are exempt from the bound only while their job can still meet its
// objective. After an outage there may be many jobs that can't, whose queries would
// otherwise delay those of the jobs that can.
func TestUrgentQueriesOfLateJobsAreBounded(t *testing.T) {
	const hosts = 3
	for _, late := range []bool{false, true} {
		x := newCell(t)
		x.addWorker("w")
		x.state.SetMaxQueries(hosts)
		for i := range 20 {
			j := job(spoolsill.JobID(fmt.Sprint(i)), "advised-urgent", tasks(1, 1))
			if !late {
				j.Received = x.now
			}
			x.state.AddJob(x.now, j, sched.Progress{})
		}
		x.step()
		q := x.state.AdviceOrders()
		if !late {
			x.c.Assert(q, qt.HasLen, 20)
			x.c.Assert(q[0].Urgent, qt.IsTrue)
			continue
		}
		x.c.Assert(q, qt.HasLen, 2*hosts)
		x.c.Assert(q[0].Urgent, qt.IsFalse)
	}
}

// Guards against queries about workers that do not respond. They look idle, since their runs
// are dropped, but nothing new is started there.
func TestQueriesOmitUnresponsiveWorkers(t *testing.T) {
	x := newCell(t)
	x.addWorker("unresponsive")
	x.addWorker("busy")
	x.advance(3*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"busy": nil,
	})
	x.state.AddJob(x.now, job("other", "q", tasks(1, 4)), sched.Progress{})
	x.acceptStarts(x.step())
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 1)), sched.Progress{})
	x.step()
	x.c.Assert(x.query().Workers, qt.DeepEquals, []spoolsill.WorkerIncarnation{incarnationOf("busy")})
}

// The tickets of a gang that waits for capacity are renewed in advance. Guards against capacity
// that stays idle until the advisor has answered.
func TestTicketsOfAWaitingGangAreKeptValid(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("big", "q", tasks(1, 10)), sched.Progress{})
	big := x.step()
	x.acceptStarts(big)
	x.state.AddJob(x.now, job("j", "advised", gang(2, 5)), sched.Progress{})
	x.step()
	x.advise(x.query(), "w")
	x.advance(1500*time.Millisecond, map[spoolsill.WorkerID][]sched.RunID{
		"w": {big[0].Run},
	})
	q := x.query()
	x.c.Assert(q.Purpose, qt.Equals, sched.PurposeWarm)
	x.advise(q, "w")
	x.endRun(big[0], sched.EndDone)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#1", "j.0.0.1#1"})
	x.c.Assert(x.state.AdviceOrders(), qt.HasLen, 0)
}

// A query is split over free hosts, since answers about parts of the workers arrive sooner
// than one about all of them.
func TestGangQueriesAreSplitOverFreeHosts(t *testing.T) {
	for hosts, parts := range map[int]int{1: 1, 4: 2, 20: 3} {
		x := newCell(t)
		x.state.SetMaxQueries(hosts)
		for i := range 60 {
			x.addWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
		}
		x.state.AddJob(x.now, job("j", "advised", gang(2, 1)), sched.Progress{})
		x.step()
		asked := map[spoolsill.WorkerID]bool{}
		queries := x.state.AdviceOrders()
		for _, q := range queries {
			for _, l := range q.Workers {
				asked[l.Worker] = true
			}
		}
		x.c.Assert(queries, qt.HasLen, parts)
		x.c.Assert(asked, qt.HasLen, 60)
		// The first answer is enough to start.
		x.advise(queries[0], queries[0].Workers[0].Worker)
		x.c.Assert(x.step(), qt.HasLen, 2)
	}
}

// The advisor's answer for a worker still applies when the worker comes back after a time
// without entry and lease. Guards against treating it as a new worker.
func TestAdviceOutlivesAWorkersAbsence(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("big", "q", tasks(1, 10)), sched.Progress{})
	x.acceptStarts(x.step())
	x.state.AddJob(x.now, job("j", "advised", gang(2, 5)), sched.Progress{})
	x.step()
	x.advise(x.query(), "w")
	// The worker is unreachable until its lease has expired, and then comes back.
	x.state.WorkerUnlisted(x.now, "w")
	x.advance(2*lease, nil)
	x.addWorker("w")
	x.state.CancelJob(x.now, "big")
	x.step()
	q := x.query()
	x.c.Assert(q.Workers, qt.DeepEquals, []spoolsill.WorkerIncarnation{incarnationOf("w")})
	x.advise(q, "w")
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#1", "j.0.0.1#1"})
}

// Guards against a flood of queries when the advisor refuses each one at once.
func TestLostQueriesAreRetriedAfterDelay(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.SetMaxQueries(2)
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 1)), sched.Progress{})
	asked := 0
	for range 100 {
		x.step()
		for _, o := range x.state.AdviceOrders() {
			asked++
			x.state.AdviceReceived(x.now, sched.Advice{
				Order:    o,
				Received: x.now,
				Lost:     true,
			})
		}
	}
	x.c.Assert(asked <= 25, qt.IsTrue, qt.Commentf("%d queries in a second", asked))
}

// Guards against a query for each worker at which capacity becomes free for one of the tasks of a
// stage, when the tickets for all of them have expired.
func TestRenewalCoversTheOtherExpiredTickets(t *testing.T) {
	x := newCell(t)
	ids := []spoolsill.WorkerID{"a", "b", "c"}
	running := map[spoolsill.WorkerID][]sched.RunID{}
	orders := map[spoolsill.WorkerID]sched.StartOrder{}
	for _, id := range ids {
		x.addWorker(id)
	}
	x.state.AddJob(x.now, job("big", "q", tasks(3, 10)), sched.Progress{})
	for _, o := range x.step() {
		x.acceptStarts([]sched.StartOrder{o})
		running[o.Worker] = append(running[o.Worker], o.Run)
		orders[o.Worker] = o
	}
	x.state.AddJob(x.now, job("j", "advised", tasks(3, 10)), sched.Progress{})
	x.step()
	x.advise(x.query(), ids...)
	x.advance(2*time.Second, running)
	x.endRun(orders["a"], sched.EndDone)
	x.c.Assert(x.step(), qt.HasLen, 0)
	q := x.query()
	x.c.Assert(q.Purpose, qt.Equals, sched.PurposeRenew)
	x.advise(q, ids...)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#1"})
	x.endRun(orders["b"], sched.EndDone)
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.1#1"})
	x.c.Assert(x.state.AdviceOrders(), qt.HasLen, 0)
}
