package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/advisor"
)

// assumedTicketTime is how long tickets are held to be valid before the first answer.
const assumedTicketTime = 2 * time.Second

// advisorTime is the account of the advisor's time.
type advisorTime struct {
	meter advisor.Meter
	// shares are the learnt shares of the workers that the advisor allows, by queue.
	shares map[QueueID]*advisor.Share
	// inFlight has the advisor's time for each query without an answer, cost the sum.
	inFlight map[uint64]time.Duration
	cost     time.Duration
	last     uint64        // number of the latest query
	valid    time.Duration // of the tickets of the latest answer
	// refused counts the stages of the latest pass by verdict.
	refused [advisor.Verdicts]int
	use     AdviceUse
	buffer  []advisor.Candidate // reused by adviceCandidates
}

// An AdviceUse is what the advisor's time was used for.
type AdviceUse struct {
	// Queries counts the answers, Lost the queries that had none.
	Queries, Lost int
	// Time is the advisor's time for the answers.
	Time time.Duration
	// Starts counts the starts with a ticket.
	Starts int
}

func newAdvisorTime() advisorTime {
	return advisorTime{
		shares:   map[QueueID]*advisor.Share{},
		inFlight: map[uint64]time.Duration{},
		valid:    assumedTicketTime,
	}
}

// begin adds a query to the account and returns its number.
func (a *advisorTime) begin(cost time.Duration) uint64 {
	a.last++
	a.cost += cost
	a.inFlight[a.last] = cost
	return a.last
}

// end returns the cost of a query to the budget. It reports false if it was returned before.
func (a *advisorTime) end(o AdviceOrder) bool {
	cost, ok := a.inFlight[o.Number]
	if !ok {
		return false
	}
	delete(a.inFlight, o.Number)
	a.cost -= cost
	return true
}

// learn updates the learnt values with an answer.
func (a *advisorTime) learn(x Advice) {
	if x.Lost {
		a.use.Lost++
		return
	}
	a.use.Queries++
	a.use.Time += x.Order.Cost
	if x.Valid > 0 {
		a.valid = x.Valid
	}
}

func (a *advisorTime) share(q QueueID) *advisor.Share {
	s := a.shares[q]
	if s == nil {
		s = &advisor.Share{}
		a.shares[q] = s
	}
	return s
}

// AdviceUse returns what the advisor's time was used for since the last call.
func (s *State) AdviceUse() AdviceUse {
	u := s.advisorTime.use
	s.advisorTime.use = AdviceUse{}
	return u
}

// AdviceShort reports whether the advisor's time is short, as of the latest pass.
func (s *State) AdviceShort() bool {
	return s.advisorTime.meter.Short()
}

// observeAdvisor determines after a pass whether the advisor's time is short.
func (d *decider) observeAdvisor() {
	a := &d.advisorTime
	a.refused = d.refused
	a.meter.Observe(advisor.Demand{
		InFlight: a.cost,
		Wanted:   d.adviceWanted,
		Places:   d.advisorSlots,
	}, a.valid)
}

// noteWanted adds a query about a stage of q to those that were wanted and not made in the pass.
func (d *decider) noteWanted(q *Queue) {
	d.adviceWanted += q.Advisor.queryTime(q.Advisor.querySize())
}

// onBudget reports whether queries about stages of q are granted from the advisor's time. Short
// queries have hosts of their own.
func (d *decider) onBudget(q *Queue) bool {
	return d.advisorTime.meter.Short() && q.Advisor.queryTime(1) > advisor.LongQuery
}

// budgeted reports whether queries about g are granted from the advisor's time. Urgent stages are
// asked about at once, and a gang needs tickets before room is kept for it.
func (d *decider) budgeted(g *stage, q *Queue) bool {
	return d.onBudget(q) && g.tier != tierUrgent && !g.step.Gang
}

// placeOnBudget starts tasks of g with the tickets that it has, and queries the advisor if that is
// worth its time.
func (d *decider) placeOnBudget(g *stage, q *Queue) {
	d.startWithTickets(g, q)
	if g.waiting == 0 {
		return
	}
	if g.advice.learnQueriesInFlight == 0 {
		v := d.askOnBudget(g, q)
		g.advice.refused = v
		d.refused[v]++
		if v == advisor.NoPlace || v == advisor.NoRoom {
			d.noteWanted(q)
		}
	}
	d.reserveForLarge(g, q, g.waiting)
}

// startWithTickets starts the waiting tasks of g that fit on workers with valid tickets.
func (d *decider) startWithTickets(g *stage, q *Queue) {
	if len(g.advice.allowed) == 0 {
		return
	}
	ws := slices.DeleteFunc(d.candidates(g, q), func(w *worker) bool { return !g.advice.valid(w, d.now) })
	for _, t := range g.tasks {
		if len(ws) == 0 || !g.job.team.allows(g.step.demand()) {
			return
		}
		if !t.waits() {
			continue
		}
		if w := d.bestWorker(t, ws); w != nil {
			d.start(t, w)
		}
	}
}

// askOnBudget queries the advisor about g if that is worth its time now. The query is about workers
// that no answer covers yet and about those whose tickets expire before its answer arrives.
func (d *decider) askOnBudget(g *stage, q *Queue) advisor.Verdict {
	b, need := d.adviceBudget(q), d.adviceNeed(g)
	if !b.Admit(need) {
		return advisor.NoPlace
	}
	if d.ticketSeats(g, q) >= advisor.SeatFactor*g.waiting {
		return advisor.Seated
	}
	if d.roomless.covers(g) && !b.Worthwhile(need, advisor.Room{}) {
		return advisor.NoRoom
	}
	candidates, anyRoom := d.adviceCandidates(g, q)
	if !anyRoom {
		d.roomless = roomless{
			stage: g,
			queue: g.job.Queue,
		}
	}
	if len(candidates) == 0 || !b.Worthwhile(need, advisor.RoomOf(candidates)) {
		return advisor.NoRoom
	}
	d.askDrawn(g, q, candidates)
	return advisor.Granted
}

// roomless is a stage for which no room was found in a pass. Other stages of its queue that need as
// much are then known to have none, without a look at each worker.
type roomless struct {
	stage *stage
	queue QueueID
}

// covers reports whether no worker has room for a task of g either. Workers that are reserved for g may, or
// those where g can backfill since it is shorter or has waited for longer.
func (r roomless) covers(g *stage) bool {
	if r.stage == nil || len(g.reserved) > 0 || r.queue != g.job.Queue {
		return false
	}
	p := r.stage.step
	return p.Requires == "" && p.MaxPerWorker == 0 && p.demand().FitsIn(g.step.demand()) &&
		p.Estimate <= g.step.Estimate && !g.openedAt.Before(r.stage.openedAt)
}

func (d *decider) adviceBudget(q *Queue) advisor.Budget {
	return advisor.Budget{
		Places:   d.advisorSlots,
		InFlight: d.queriesInFlight,
		OfQueue:  d.queueQueriesInFlight[q.ID],
		Queues:   len(d.waitingQueues),
		Valid:    d.advisorTime.valid,
	}
}

func (d *decider) adviceNeed(g *stage) advisor.Stage {
	since := g.openedAt
	if g.advice.asked != nil {
		since = g.advice.answeredAt
	}
	return advisor.Stage{
		Tasks:     g.waiting,
		Waited:    d.now.Sub(since),
		Worthless: g.tier == tierWorthless,
	}
}

// adviceCandidates returns the workers that a query about g could be about, which are valid until the
// next call, and whether any worker has room for a task of g, also one that it need not ask about.
func (d *decider) adviceCandidates(g *stage, q *Queue) (candidates []advisor.Candidate, anyRoom bool) {
	r := d.ready[q.Service]
	if r == nil {
		return nil, false
	}
	took := q.Advisor.queryTime(q.Advisor.querySize())
	d.forecastFree(q, r)
	stage := xxhash.Sum64String(g.id.String())
	share := d.advisorTime.share(q.ID).Expected()
	candidates = d.advisorTime.buffer[:0]
	for i, w := range r.workers {
		if !g.labelMatches(w) {
			continue
		}
		if !d.mayUse(g, q, w) {
			continue
		}
		c := advisor.Candidate{
			Index:  i,
			Seats:  d.seatsAt(g, w),
			Share:  share,
			Spread: advisor.Spread(stage, i),
		}
		anyRoom = anyRoom || c.Seats > 0
		if d.blockedByTrial(g, w) {
			continue
		}
		if g.advice.asked[w] {
			if _, ok := g.advice.tickets[w]; !ok || g.advice.validFor(w, d.now, took+ticketMargin) {
				continue
			}
			c.Share = 1
		}
		candidates = append(candidates, c)
	}
	d.advisorTime.buffer = candidates
	return candidates, anyRoom
}

// ticketSeats returns how many tasks of g are expected to fit where it has tickets that are valid for
// longer than a query takes.
func (d *decider) ticketSeats(g *stage, q *Queue) int {
	r := d.ready[q.Service]
	until := d.now.Add(q.Advisor.queryTime(q.Advisor.querySize()))
	if r == nil || until.Sub(g.advice.answeredAt) >= d.advisorTime.valid {
		return 0
	}
	d.forecastFree(q, r)
	n := 0
	for _, w := range g.advice.allowed {
		if w.ready && g.advice.valid(w, until) {
			n += fitCount(g.step.demand(), w.free().Add(w.soonFree))
		}
	}
	return n
}

// seatsAt returns how many tasks of g are expected to fit on w.
func (d *decider) seatsAt(g *stage, w *worker) int {
	n := fitCount(g.step.demand(), w.free().Add(w.soonFree))
	if m := g.step.MaxPerWorker; m > 0 && n > 0 {
		n = min(n, max(m-g.runsAt(w), 0))
	}
	return min(n, g.waiting)
}

// forecastFree determines what becomes free at each worker for stages of q until half of the time of
// tickets that are queried now is over. The room of runs with a higher priority is left
// to others of that priority.
func (d *decider) forecastFree(q *Queue, r *readyWorkers) {
	if d.forecastFor == q {
		return
	}
	d.forecastFor = q
	within := q.Advisor.queryTime(q.Advisor.querySize()) + d.advisorTime.valid/2
	for _, w := range r.workers {
		w.soonFree = spoolsill.Resources{}
		for _, x := range w.runs {
			if d.queue(x.task.stage.job).Priority >= q.Priority && d.endsIn(x) <= within {
				w.soonFree = w.soonFree.Add(x.need)
			}
		}
	}
}

// endsIn returns the expected remaining time of a run, by its progress if that is known.
func (s *State) endsIn(r *run) time.Duration {
	done := r.progressedAt.Sub(r.startedAt)
	if r.percent <= 0 || r.startedAt.IsZero() || done <= 0 || r.stopping || r.task.stage.step.Lasting {
		return s.remaining(r)
	}
	left := time.Duration(float64(done) * float64(100-r.percent) / float64(r.percent))
	return left - s.now.Sub(r.progressedAt)
}

// askDrawn queries the advisor about workers that are drawn from candidates.
func (d *decider) askDrawn(g *stage, q *Queue, candidates []advisor.Candidate) {
	workers := d.ready[q.Service].workers
	var incarnations []spoolsill.WorkerIncarnation
	for _, c := range advisor.Draw(candidates, advisor.Target{
		Tasks:   g.waiting,
		AtLeast: q.Advisor.querySize(),
		AtMost:  maxQueryWorkers,
	}) {
		incarnations = append(incarnations, workers[c.Index].incarnation())
	}
	d.ask(g, q, incarnations, PurposeLearn)
}
