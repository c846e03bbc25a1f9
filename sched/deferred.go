package sched

import (
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// dispatchMargin is the minimum time for which a ticket must still be valid when its order
// is sent. A worker answers within milliseconds; the rest is for queueing at a busy host,
// a quarter of the maximum duration of one attempt of a start.
const dispatchMargin = 60 * time.Millisecond

// ticketExpired reports whether a run needs a ticket that has expired or is about to. A
// gang is affected if one of its members is.
func (s *State) ticketExpired(r *run) bool {
	g := r.task.stage
	if s.queue(g.job).Advisor == nil {
		return false
	}
	if !g.step.Gang {
		return !g.advice.validFor(r.worker, s.now, dispatchMargin)
	}
	return slices.ContainsFunc(g.tasks, func(t *task) bool {
		return t.run != nil && t.run.id.Number == r.id.Number && !g.advice.validFor(t.run.worker, s.now, dispatchMargin)
	})
}

// deferOrders keeps orders back whose tickets expired before they were sent, and renews
// the tickets with one query per stage.
func (s *State) deferOrders(orders []StartOrder) {
	var stages []*stage
	incarnations := map[*stage][]spoolsill.WorkerIncarnation{}
	for _, o := range orders {
		r := s.recordedRun(o)
		if r == nil {
			continue
		}
		g := r.task.stage
		g.deferred = append(g.deferred, o)
		if incarnations[g] == nil {
			stages = append(stages, g)
		}
		if !slices.Contains(incarnations[g], o.WorkerIncarnation) {
			incarnations[g] = append(incarnations[g], o.WorkerIncarnation)
		}
	}
	for _, g := range stages {
		s.ask(g, s.queue(g.job), incarnations[g], PurposeRenew)
	}
}

// dispatchDeferred handles the answer to a query that renews tickets. It sends the deferred
// orders of g that the answer covers, or drops them if no answer came or it has no valid
// ticket. The orders of a gang are sent all together or not at all.
func (s *State) dispatchDeferred(g *stage, a Advice) {
	covered := func(o StartOrder) bool { return slices.Contains(a.Order.Workers, o.WorkerIncarnation) }
	var orders, rest []StartOrder
	for _, o := range g.deferred {
		if covered(o) {
			orders = append(orders, o)
		} else {
			rest = append(rest, o)
		}
	}
	g.deferred = rest
	for _, o := range orders {
		r := s.recordedRun(o)
		switch {
		case r == nil:
		case a.Lost || s.ticketExpired(r):
			s.dropRun(r, "ticket expired before dispatch")
		case !s.canDispatch(r):
			s.dropRun(r, "start no longer valid before dispatch")
		default:
			s.deferredStarts = append(s.deferredStarts, s.dispatch(o, r))
		}
	}
}

// DeferredStarts returns the orders whose tickets have been renewed since the last call
// and that can be sent now, in addition to those that BatchWritten returned.
func (s *State) DeferredStarts() []StartOrder {
	o := s.deferredStarts
	s.deferredStarts = nil
	return o
}
