package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

const (
	// warmShare is the part of the hosts that may renew tickets of gangs that
	// wait, one in so many: questions about new work go before. Tried on the
	// grown deployments, see docs/DECISIONS.md.
	warmShare = 4
	// ticketMargin is how long a ticket must still hold when a start is
	// decided: a write, the call itself and some queueing.
	ticketMargin = 200 * time.Millisecond
	// questionsPerAsker bounds the questions under way for each host that can ask,
	// so that those of the stages ranked first are not stuck behind others:
	// one that is being answered and one that waits.
	questionsPerAsker = 2
	// adviceWidth is the part of an advisor's base cost that is spent on
	// asking about more workers at once.
	adviceWidth = 0.45
	// minAsked and maxAsked bound the workers of one question; the platform
	// takes at most 100.
	minAsked = 12
	maxAsked = 100
	// lostPause is between two questions about a stage of which the first got no
	// answer: a host that is cut off from the advisor learns that in milliseconds,
	// and would ask hundreds of times a second.
	lostPause = 40 * time.Millisecond
	// askMoreAfter is how long a stage waits for room at the workers that it may
	// use before it asks about others.
	askMoreAfter = 250 * time.Millisecond
)

// advice is what a stage knows of the workers that may run it.
type advice struct {
	// asked and tickets are by account: what the advisor says holds for one life.
	asked   map[*worker]bool // and answered: good or never
	tickets map[*worker]ticket
	allowed []*worker // those with a ticket, valid or not
	// learning counts the questions under way about workers that are not
	// known yet; warming tells that one renews the tickets of a gang that
	// waits. Every question is answered, if only to say that it was lost.
	learning    int
	warming     bool
	lastLearned time.Time // when the last answer about new workers came
}

type ticket struct {
	text  string
	until time.Time
}

// valid reports whether the ticket for a worker can be used for a start that is
// decided now.
func (a *advice) valid(w *worker, now time.Time) bool {
	return a.validFor(w, now, ticketMargin)
}

// validFor reports whether the ticket for a worker holds for longer than margin.
func (a *advice) validFor(w *worker, now time.Time, margin time.Duration) bool {
	return a.tickets[w].until.Sub(now) > margin
}

func (a *advice) expire(w *worker) {
	t := a.tickets[w]
	t.until = time.Time{}
	a.tickets[w] = t
}

// ask orders a question about workers.
func (s *State) ask(g *stage, q *Queue, workers []spoolsill.Life, p Purpose) {
	if len(workers) == 0 {
		return
	}
	switch p {
	case PurposeLearn:
		g.advice.learning++
	case PurposeWarm:
		g.advice.warming = true
		s.warmQueriesInFlight++
	}
	s.queriesInFlight++
	s.adviceOrders = append(s.adviceOrders, AdviceOrder{
		Stage:    g.id,
		Workers:  workers,
		Priority: q.Priority,
		Urgent:   g.tier == tierUrgent,
		Purpose:  p,
		Cost:     q.Advisor.queryTime(len(workers)),
		Ordered:  s.now,
	})
}

// askAboutMore asks about workers that are not known yet: of a gang, which needs many,
// in parts, as far as hosts are free to ask.
func (d *decider) askAboutMore(g *stage, q *Queue, workers []spoolsill.Life) {
	parts := 1
	if g.step.Gang {
		width := q.Advisor.width()
		parts = min((len(workers)+width-1)/width, (d.advisorSlots-d.queriesInFlight)/2)
	}
	size := (len(workers) + max(parts, 1) - 1) / max(parts, 1)
	for part := range slices.Chunk(workers, size) {
		d.ask(g, q, part, PurposeLearn)
	}
}

// width is how many workers one question is about: asking about more at once
// costs little up to there.
func (a *Advisor) width() int {
	if a.PerWorker <= 0 {
		return maxAsked
	}
	return min(maxAsked, max(minAsked, int(adviceWidth*float64(a.Base)/float64(a.PerWorker))))
}

// SetMaxQuestions takes in how many questions hosts can ask the advisor at once.
func (s *State) SetMaxQuestions(n int) {
	s.advisorSlots = n
}

// AdviceOrders returns the questions to the advisor since the last call.
func (s *State) AdviceOrders() []AdviceOrder {
	o := s.adviceOrders
	s.adviceOrders = nil
	return o
}

// unasked returns workers that g may use now and was not told about, those with
// most free processors first. Workers that can't be reached have the most, as
// far as is known, and are of no use.
func (d *decider) unasked(g *stage, q *Queue) []spoolsill.Life {
	r := d.ready[q.Service]
	if r == nil {
		return nil
	}
	most := maxAsked
	if !g.step.Gang {
		most = q.Advisor.width()
	}
	var lives []spoolsill.Life
	for _, w := range r.freest() {
		if len(lives) == most {
			break
		}
		if g.labelMatches(w) && !g.advice.asked[w] {
			lives = append(lives, w.life())
		}
	}
	return lives
}

// AdviceReceived takes in an answer of the advisor.
func (s *State) AdviceReceived(now time.Time, a Advice) {
	s.now = now
	s.queriesInFlight--
	if a.Order.Purpose == PurposeWarm {
		s.warmQueriesInFlight--
	}
	j := s.jobs[a.Order.Stage.Job]
	if j == nil || j.state.Final() {
		return
	}
	g := j.stage(a.Order.Stage.Round, a.Order.Stage.Step)
	if g == nil {
		return
	}
	s.note(Note{
		Kind:   NoteAdvised,
		Job:    j.ID,
		Reason: fmt.Sprintf("stage %s: %d of %d workers may run it, asked to %s, lost %v", g.id, len(a.Tickets), len(a.Order.Workers), a.Order.Purpose, a.Lost),
		Age:    now.Sub(a.Order.Ordered),
	})
	x := &g.advice
	switch a.Order.Purpose {
	case PurposeLearn:
		x.learning--
	case PurposeWarm:
		x.warming = false
	}
	if a.Lost {
		g.retryAt = now.Add(lostPause)
	} else {
		s.takeTickets(g, a)
	}
	if a.Order.Purpose == PurposeLearn {
		return
	}
	s.dispatchDeferred(g, a)
	if a.Lost {
		s.dropPlan(g)
		return
	}
	s.usePlan(g)
}

// takeTickets takes in which workers may run a stage.
func (s *State) takeTickets(g *stage, a Advice) {
	x := &g.advice
	if x.asked == nil {
		x.asked = map[*worker]bool{}
		x.tickets = map[*worker]ticket{}
	}
	if a.Order.Purpose == PurposeLearn {
		x.lastLearned = s.now
	}
	about := make(map[spoolsill.WorkerID]*worker, len(a.Order.Workers))
	for _, l := range a.Order.Workers {
		if w := s.workerOf(l); w != nil {
			x.asked[w] = true
			about[l.Worker] = w
		}
	}
	for _, t := range a.Tickets {
		w := about[t.Worker]
		if w == nil {
			continue
		}
		if _, known := x.tickets[w]; !known {
			x.allowed = append(x.allowed, w)
		}
		x.tickets[w] = ticket{
			text:  t.Text,
			until: a.Received.Add(a.Valid),
		}
	}
}

// usePlan records the planned runs whose tickets hold now and gives the room
// of the others back. Of a gang all run or none. Runs whose workers are gone
// meanwhile are no longer counted there.
func (s *State) usePlan(g *stage) {
	plan := g.planned
	g.planned = nil
	planned := len(plan)
	plan = slices.DeleteFunc(plan, func(r *run) bool { return r.worker.runs[r.id] != r })
	whole := len(plan) == planned
	for _, r := range plan {
		whole = whole && s.usable(r)
	}
	for _, r := range plan {
		if (g.step.Gang && !whole) || !s.usable(r) {
			s.unplan(r)
			continue
		}
		s.record(r)
	}
}

func (s *State) usable(r *run) bool {
	return r.worker.acceptsStarts(s.now) && r.worker.hasRoom() && !r.task.stage.job.team.overQuota() && r.task.stage.advice.valid(r.worker, s.now)
}

// plan takes room for a run while its ticket is renewed.
func (s *State) plan(t *task, w *worker) {
	r := &run{
		id: RunID{
			Task:   t.id(),
			Number: t.lastRun + 1,
		},
		task:   t,
		worker: w,
		born:   w.born,
		need:   t.stage.step.demand(),
		phase:  phasePlanned,
	}
	s.addRun(r)
	t.stage.planned = append(t.stage.planned, r)
}

func (s *State) unplan(r *run) {
	if r.worker.runs[r.id] != r {
		return
	}
	s.unbook(r)
	r.task.run = nil
}

// keepWarm renews the tickets of a gang that waits for room before they run
// out, so that it starts at once when there is room, instead of holding that
// until the advisor has answered.
func (d *decider) keepWarm(g *stage, q *Queue) {
	a := &g.advice
	if q.Advisor == nil || a.warming || d.warmQueriesInFlight >= max(d.advisorSlots/warmShare, 1) {
		return
	}
	var ready []*worker
	var lives []spoolsill.Life
	for _, w := range a.allowed {
		if w.ready && len(ready) < maxAsked {
			ready = append(ready, w)
			lives = append(lives, w.life())
		}
	}
	soon := d.now.Add(q.Advisor.queryTime(len(ready)) + ticketMargin)
	if slices.ContainsFunc(ready, func(w *worker) bool { return !a.valid(w, soon) }) {
		d.ask(g, q, lives, PurposeWarm)
	}
}

func (s *State) dropPlan(g *stage) {
	for _, r := range g.planned {
		s.unplan(r)
	}
	g.planned = nil
}
