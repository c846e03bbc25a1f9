package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/advisor"
)

const (
	// warmQueryDivisor limits the concurrent queries that keep the tickets of waiting stages
	// valid to 1/warmQueryDivisor of those that the hosts can make: queries about new work
	// take precedence. See docs/DECISIONS.md.
	warmQueryDivisor = 4
	// ticketMargin is how much longer a ticket must be valid when a start is decided. It
	// covers the write to the store, the call itself and some queueing.
	ticketMargin = 200 * time.Millisecond
	// queriesPerSlot times the number of queries that the hosts can make concurrently
	// bounds the queries in flight: one being answered and one queued. With many more, the
	// queries of the stages ranked first would be queued behind others. The shares of
	// the queues add at most as many, or one for each queue if that is more.
	queriesPerSlot = 2
	// perWorkerCostShare limits what the workers of one query cost in total, as a share of
	// the advisor's base cost, as far as minQueryWorkers allows.
	perWorkerCostShare = 0.45
	// minQueryWorkers and maxQueryWorkers bound the workers of one query; the
	// platform accepts at most 100.
	minQueryWorkers = 12
	maxQueryWorkers = 100
	// lostQueryRetryDelay is the delay before a stage is queried about again after a query
	// without an answer. At a host that is cut off from the advisor, calls fail within
	// milliseconds and would otherwise be repeated hundreds of times a second.
	lostQueryRetryDelay = 40 * time.Millisecond
	// askMoreAfter is how long a stage waits for capacity at the workers that it may use
	// before the advisor is asked about others.
	askMoreAfter = 250 * time.Millisecond
)

// advice holds the answers of the advisor about the workers that may run a stage.
type advice struct {
	// asked and tickets are keyed by worker incarnation, since an answer of the advisor holds
	// for one incarnation only.
	asked   map[*worker]bool // covered by an answer; those without a ticket are never allowed
	tickets map[*worker]ticket
	allowed []*worker // workers with a ticket, valid or expired
	// learnQueriesInFlight counts the unanswered queries about workers that no answer
	// covers yet; warmQueryInFlight is set while a query that keeps the tickets of the
	// waiting stage valid is unanswered. Every query ends with an Advice, which has Lost
	// set if no answer came.
	learnQueriesInFlight int
	warmQueryInFlight    bool
	learnedAt            time.Time // when the latest answer about new workers was received
	answeredAt           time.Time // when the latest answer was received
	// refused is why the advisor is not asked about the stage while its time is short.
	refused advisor.Verdict
	// spent is the expected time of the advisor for all queries so far.
	spent time.Duration
}

type ticket struct {
	text  string
	until time.Time
}

// valid reports whether the ticket for a worker can be used for a start that is decided
// now.
func (a *advice) valid(w *worker, now time.Time) bool {
	return a.validFor(w, now, ticketMargin)
}

// validFor reports whether the ticket for a worker is valid for longer than margin.
func (a *advice) validFor(w *worker, now time.Time, margin time.Duration) bool {
	return a.tickets[w].until.Sub(now) > margin
}

// expire marks the ticket for a worker as expired. There is none if the start was ordered before it
// was known here that the queue has an advisor.
func (a *advice) expire(w *worker) {
	t, ok := a.tickets[w]
	if !ok {
		return
	}
	t.until = time.Time{}
	a.tickets[w] = t
}

// mayAsk reports whether g, a stage of q that is not urgent, may query the advisor. Beyond the bound
// on all queries, each queue with stages to place has its share of that bound: otherwise the
// queries of the stages ranked first keep those of other queues waiting without end.
func (d *decider) mayAsk(g *stage, q *Queue) bool {
	if d.onBudget(q) {
		return d.adviceBudget(q).Admit(d.adviceNeed(g))
	}
	limit := queriesPerSlot * max(d.advisorSlots, 1)
	return d.queriesInFlight < limit || d.queueQueriesInFlight[q.ID] < max(limit/max(len(d.waitingQueues), 1), 1)
}

// ask queues a query to the advisor about workers.
func (s *State) ask(g *stage, q *Queue, workers []spoolsill.WorkerIncarnation, p Purpose) {
	if len(workers) == 0 {
		return
	}
	switch p {
	case PurposeLearn:
		g.advice.learnQueriesInFlight++
	case PurposeWarm:
		g.advice.warmQueryInFlight = true
		s.warmQueriesInFlight++
	}
	cost := q.Advisor.queryTime(len(workers))
	g.advice.spent += cost
	s.queriesInFlight++
	s.queueQueriesInFlight[q.ID]++
	s.adviceOrders = append(s.adviceOrders, AdviceOrder{
		Number:   s.advisorTime.begin(cost),
		Stage:    g.id,
		Queue:    q.ID,
		Workers:  workers,
		Priority: q.Priority,
		Urgent:   g.tier == tierUrgent,
		Purpose:  p,
		Cost:     cost,
		Ordered:  s.now,
	})
}

// askAboutMore queues queries about workers that no answer covers yet. A gang needs many
// workers, so its query is split into parts that free hosts make concurrently.
func (d *decider) askAboutMore(g *stage, q *Queue, workers []spoolsill.WorkerIncarnation) {
	parts := 1
	if g.step.Gang {
		width := q.Advisor.querySize()
		parts = min((len(workers)+width-1)/width, (d.advisorSlots-d.queriesInFlight)/2)
	}
	size := (len(workers) + max(parts, 1) - 1) / max(parts, 1)
	for part := range slices.Chunk(workers, size) {
		d.ask(g, q, part, PurposeLearn)
	}
}

// querySize returns how many workers one query is about. Up to that number, additional
// workers cost little compared with the base cost.
func (a *Advisor) querySize() int {
	if a.PerWorker <= 0 {
		return maxQueryWorkers
	}
	return min(maxQueryWorkers, max(minQueryWorkers, int(perWorkerCostShare*float64(a.Base)/float64(a.PerWorker))))
}

// SetMaxQueries sets how many queries to the advisor the hosts can make concurrently.
func (s *State) SetMaxQueries(n int) {
	s.advisorSlots = n
}

// AdviceOrders returns the queries to the advisor since the last call.
func (s *State) AdviceOrders() []AdviceOrder {
	o := s.adviceOrders
	s.adviceOrders = nil
	return o
}

// unasked returns workers that g may use now and that the advisor was not asked about
// for g, those with the most free processors first. Only ready workers qualify: an
// unreachable worker has the most free processors as far as is known, but can't be used.
func (d *decider) unasked(g *stage, q *Queue) []spoolsill.WorkerIncarnation {
	r := d.ready[q.Service]
	if r == nil {
		return nil
	}
	limit := maxQueryWorkers
	if !g.step.Gang {
		limit = q.Advisor.querySize()
	}
	var incarnations []spoolsill.WorkerIncarnation
	for _, w := range r.sortedByFree() {
		if len(incarnations) == limit {
			break
		}
		if g.labelMatches(w) && !g.advice.asked[w] {
			incarnations = append(incarnations, w.incarnation())
		}
	}
	return incarnations
}

// AdviceReceived handles an answer of the advisor.
func (s *State) AdviceReceived(now time.Time, a Advice) {
	s.now = now
	if !s.advisorTime.end(a.Order) {
		return // answered before
	}
	s.advisorTime.learn(a)
	s.queriesInFlight--
	s.queueQueriesInFlight[a.Order.Queue]--
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
		Reason: fmt.Sprintf("stage %s: %d of %d workers may run it, purpose %s, answer lost %v", g.id, len(a.Tickets), len(a.Order.Workers), a.Order.Purpose, a.Lost),
		Age:    now.Sub(a.Order.Ordered),
	})
	x := &g.advice
	switch a.Order.Purpose {
	case PurposeLearn:
		x.learnQueriesInFlight--
	case PurposeWarm:
		x.warmQueryInFlight = false
	}
	if a.Lost {
		g.retryAt = now.Add(lostQueryRetryDelay)
	} else {
		s.storeTickets(g, a)
	}
	if a.Order.Purpose == PurposeLearn {
		return
	}
	s.dispatchDeferred(g, a)
	if a.Lost {
		s.dropPlan(g)
		return
	}
	s.commitPlan(g)
}

// storeTickets records which workers may run a stage.
func (s *State) storeTickets(g *stage, a Advice) {
	x := &g.advice
	if x.asked == nil {
		x.asked = map[*worker]bool{}
		x.tickets = map[*worker]ticket{}
	}
	if a.Order.Purpose == PurposeLearn {
		x.learnedAt = s.now
	}
	x.answeredAt = s.now
	about := make(map[spoolsill.WorkerID]*worker, len(a.Order.Workers))
	asked, allowed := 0, 0 // that no earlier answer covers
	for _, l := range a.Order.Workers {
		if w := s.workerOf(l); w != nil {
			if !x.asked[w] {
				asked++
			}
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
			allowed++
		}
		x.tickets[w] = ticket{
			text:  t.Text,
			until: a.Received.Add(a.Valid),
		}
	}
	s.advisorTime.share(a.Order.Queue).Observe(allowed, asked)
}

// commitPlan records the planned runs whose tickets are valid now and releases the capacity
// of the others. A gang's runs are recorded all or none. Runs whose worker was lost in
// the meantime are skipped, since they no longer use capacity.
func (s *State) commitPlan(g *stage) {
	plan := g.planned
	g.planned = nil
	planned := len(plan)
	plan = slices.DeleteFunc(plan, func(r *run) bool { return r.worker.runs[r.id] != r })
	whole := len(plan) == planned
	for _, r := range plan {
		whole = whole && s.startable(r)
	}
	for _, r := range plan {
		if (g.step.Gang && !whole) || !s.startable(r) {
			s.cancelPlanned(r)
			continue
		}
		s.record(r)
	}
}

func (s *State) startable(r *run) bool {
	return s.acceptsStarts(r.worker) && r.worker.hasCapacity() && !r.task.stage.job.team.overQuota() && r.task.stage.advice.valid(r.worker, s.now)
}

// plan reserves capacity for a run while its ticket is renewed.
func (s *State) plan(t *task, w *worker) {
	r := &run{
		id: RunID{
			Task:   t.id(),
			Number: t.lastRun + 1,
		},
		task:            t,
		worker:          w,
		workerStartTime: w.startTime,
		need:            t.stage.step.demand(),
		phase:           phasePlanned,
	}
	s.addRun(r)
	t.stage.planned = append(t.stage.planned, r)
}

func (s *State) cancelPlanned(r *run) {
	if r.worker.runs[r.id] != r {
		return
	}
	s.removeRun(r)
	r.task.setRun(nil)
}

// keepWarm renews the tickets of a stage that waits for capacity before they expire. The
// stage can then start as soon as there is capacity, instead of holding the capacity until
// the advisor has answered.
func (d *decider) keepWarm(g *stage, q *Queue) {
	a := &g.advice
	if q.Advisor == nil || a.warmQueryInFlight || d.warmQueriesInFlight >= max(d.advisorSlots/warmQueryDivisor, 1) {
		return
	}
	var ready []*worker
	var incarnations []spoolsill.WorkerIncarnation
	for _, w := range a.allowed {
		if w.ready && len(ready) < maxQueryWorkers {
			ready = append(ready, w)
			incarnations = append(incarnations, w.incarnation())
		}
	}
	soon := d.now.Add(q.Advisor.queryTime(len(ready)) + ticketMargin)
	if slices.ContainsFunc(ready, func(w *worker) bool { return !a.valid(w, soon) }) {
		d.ask(g, q, incarnations, PurposeWarm)
	}
}

// addExpired adds to the workers of a query other workers of g whose tickets have expired, as far
// as they cost little beside the query itself. The tasks of g that still wait for capacity
// would otherwise need a query each.
func (d *decider) addExpired(g *stage, q *Queue, incarnations []spoolsill.WorkerIncarnation) []spoolsill.WorkerIncarnation {
	for _, w := range g.advice.allowed {
		if len(incarnations) >= q.Advisor.querySize() {
			break
		}
		if w.ready && !g.advice.valid(w, d.now) && !slices.Contains(incarnations, w.incarnation()) {
			incarnations = append(incarnations, w.incarnation())
		}
	}
	return incarnations
}

func (s *State) dropPlan(g *stage) {
	for _, r := range g.planned {
		s.cancelPlanned(r)
	}
	g.planned = nil
}
