package sched

import (
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// callMargin is how long a ticket must still hold when an order leaves: a worker
// answers in milliseconds, the rest is for queueing at a busy host, a quarter of
// what one try of a start may take.
const callMargin = 60 * time.Millisecond

// ticketIsOver reports whether a run needs a ticket that does not hold any more.
// Of a gang it is enough that one member's does not.
func (s *State) ticketIsOver(r *run) bool {
	g := r.task.stage
	if s.queue(g.job).Advisor == nil {
		return false
	}
	if !g.step.Gang {
		return !g.advice.validFor(r.worker, s.now, callMargin)
	}
	return slices.ContainsFunc(g.tasks, func(t *task) bool {
		return t.run != nil && t.run.id.Number == r.id.Number && !g.advice.validFor(t.run.worker, s.now, callMargin)
	})
}

// renewOverdue has orders that could not leave wait for their tickets, and asks for
// them, a question for each stage.
func (s *State) renewOverdue(orders []StartOrder) {
	var stages []*stage
	lives := map[*stage][]spoolsill.Life{}
	for _, o := range orders {
		r := s.recorded(o)
		if r == nil {
			continue
		}
		g := r.task.stage
		g.overdue = append(g.overdue, o)
		if lives[g] == nil {
			stages = append(stages, g)
		}
		if !slices.Contains(lives[g], o.Life) {
			lives[g] = append(lives[g], o.Life)
		}
	}
	for _, g := range stages {
		s.ask(g, s.queue(g.job), lives[g], PurposeRenew)
	}
}

// dispatchDeferred sends the orders of a stage that waited for an answer, or drops them
// when it did not come or is no ticket. Of a gang all leave or none.
func (s *State) dispatchDeferred(g *stage, a Advice) {
	waits := func(o StartOrder) bool { return slices.Contains(a.Order.Workers, o.Life) }
	var orders, rest []StartOrder
	for _, o := range g.overdue {
		if waits(o) {
			orders = append(orders, o)
		} else {
			rest = append(rest, o)
		}
	}
	g.overdue = rest
	for _, o := range orders {
		r := s.recorded(o)
		switch {
		case r == nil:
		case a.Lost || s.ticketIsOver(r):
			s.dropRun(r, "its ticket ran out before the order left")
		case !s.mayLeave(r):
			s.dropRun(r, "overtaken before the order left")
		default:
			s.deferredStarts = append(s.deferredStarts, s.leave(o, r))
		}
	}
}

// DeferredStarts returns the start orders that may leave since the last call, besides those
// that Written returned.
func (s *State) DeferredStarts() []StartOrder {
	o := s.deferredStarts
	s.deferredStarts = nil
	return o
}
