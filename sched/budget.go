package sched

import (
	"hash/fnv"
	"slices"
	"time"

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
	// inFlight has the queries without an answer, cost the advisor's time for them.
	inFlight map[uint64]query
	cost     time.Duration
	// answered has the stages with tickets that may be valid, except gangs.
	answered map[*stage]struct{}
	last     uint64        // number of the latest query
	valid    time.Duration // of the tickets of the latest answer
	refused  [advisor.Verdicts]int
	use      AdviceUse
	buffer   []advisor.Candidate
}

// A query is a query to the advisor without an answer.
type query struct {
	cost time.Duration
	// claims are set for queries that are made while the advisor's time is short.
	claims []claim
}

// A claim is the part of a worker's free resources that the answer to a query is expected to use.
type claim struct {
	worker *worker
	part   spoolsill.Resources
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
		inFlight: map[uint64]query{},
		answered: map[*stage]struct{}{},
		valid:    assumedTicketTime,
	}
}

// begin adds a query to the account and returns its number.
func (a *advisorTime) begin(cost time.Duration) uint64 {
	a.last++
	a.cost += cost
	a.inFlight[a.last] = query{
		cost: cost,
	}
	return a.last
}

// end returns the cost of a query to the budget. It reports false if it was returned before.
func (a *advisorTime) end(o AdviceOrder) bool {
	x, ok := a.inFlight[o.Number]
	if !ok {
		return false
	}
	delete(a.inFlight, o.Number)
	a.cost -= x.cost
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
	if x.Order.Purpose == PurposeLearn {
		a.observeShare(x)
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

// noteWanted adds a query about g to those wanted if g has tasks to place, and neither usable tickets
// nor a query in flight.
func (d *decider) noteWanted(g *stage, q *Queue) {
	if q.Advisor == nil || g.waiting == 0 || len(g.planned) > 0 || g.advice.learnQueriesInFlight > 0 {
		return
	}
	if g.advice.asked == nil || d.now.Sub(g.advice.answeredAt) >= d.advisorTime.valid {
		d.adviceWanted += q.Advisor.queryTime(q.Advisor.querySize())
	}
}

// sumClaims sums up what the stages with tickets, and those with queries in flight, are expected to
// use at each worker. Sums are only needed while the advisor's time is short.
func (d *decider) sumClaims() {
	a := &d.advisorTime
	for g := range a.answered {
		if g.done() || g.job.state.Final() || d.now.Sub(g.advice.answeredAt) >= a.valid {
			delete(a.answered, g)
		}
	}
	if !a.meter.Short() {
		return
	}
	for _, w := range d.workerList {
		w.claimed = spoolsill.Resources{}
	}
	for _, x := range a.inFlight {
		for _, c := range x.claims {
			c.worker.claimed = c.worker.claimed.Add(c.part)
		}
	}
	var usable []*worker
	for g := range a.answered {
		if g.advice.learnQueriesInFlight > 0 {
			continue
		}
		usable = usable[:0]
		for _, w := range g.advice.allowed {
			if w.ready && g.advice.valid(w, d.now) {
				usable = append(usable, w)
			}
		}
		part := g.step.part(float64(g.waiting) / float64(max(len(usable), 1)))
		for _, w := range usable {
			w.claimed = w.claimed.Add(part)
		}
	}
}

// part returns the demand of a number of tasks.
func (p *Step) part(tasks float64) spoolsill.Resources {
	n := p.demand()
	return spoolsill.Resources{
		Processors:   spoolsill.Millicores(tasks * float64(n.Processors)),
		Memory:       spoolsill.Bytes(tasks * float64(n.Memory)),
		Accelerators: 0, // are whole
	}
}

// budgeted reports whether queries about g are granted from the advisor's time. Urgent stages are
// asked about at once, and a gang needs tickets before room is kept for it.
func (d *decider) budgeted(g *stage) bool {
	return d.advisorTime.meter.Short() && g.tier != tierUrgent && !g.step.Gang
}

// placeOnBudget starts tasks of g with the tickets that it has, and queries the advisor if that is
// worth its time.
func (d *decider) placeOnBudget(g *stage, q *Queue) {
	d.startWithTickets(g, q)
	if g.waiting == 0 {
		return
	}
	if g.advice.learnQueriesInFlight == 0 {
		g.advice.refused = d.askOnBudget(g, q)
		d.refused[g.advice.refused]++
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
	if d.roomless.covers(g) && !b.Worthwhile(need, d.roomless.seats) {
		return advisor.NoRoom
	}
	drawn, seats := d.draw(g, q)
	if !b.Worthwhile(need, seats) {
		if g.advice.asked == nil {
			d.roomless = roomless{
				step:  g.step,
				queue: g.job.Queue,
				seats: seats,
			}
		}
		return advisor.NoRoom
	}
	d.askDrawn(g, q, drawn)
	return advisor.Granted
}

// roomless is a step of a stage that was found to have too little room in a pass. Many stages of
// equal or larger need are then known to have no more.
type roomless struct {
	step  *Step
	queue QueueID
	seats float64
}

// covers reports whether a first query about g can't be expected to seat more tasks.
func (r roomless) covers(g *stage) bool {
	return r.step != nil && g.advice.asked == nil && r.queue == g.job.Queue && r.step.Requires == "" && r.step.MaxPerWorker == 0 && r.step.demand().FitsIn(g.step.demand())
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
		Tasks:    g.waiting,
		Waited:   d.now.Sub(since),
		Leftover: g.tier == tierWorthless,
	}
}

// draw returns the workers that a query about g should be about, and how many of its tasks the
// answer is expected to seat.
func (d *decider) draw(g *stage, q *Queue) ([]advisor.Candidate, float64) {
	r := d.ready[q.Service]
	if r == nil {
		return nil, 0
	}
	took := q.Advisor.queryTime(q.Advisor.querySize())
	d.forecastFree(q, r)
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(g.id.String()))
	stage := seed.Sum64()
	share := d.advisorTime.share(q.ID).Expected()
	candidates := d.advisorTime.buffer[:0]
	for i, w := range r.workers {
		n := d.seatsAt(g, w)
		if !g.labelMatches(w) || d.blockedByTrial(g, w) {
			continue
		}
		if h := d.reservedFor[w]; h != nil && h != g && q.Priority > 0 {
			continue
		}
		c := advisor.Candidate{
			Index:  i,
			Seats:  n,
			Share:  share,
			Spread: advisor.Spread(stage, i),
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
	return advisor.Draw(candidates, advisor.Wish{
		Tasks:   g.waiting,
		AtLeast: q.Advisor.querySize(),
		AtMost:  maxQueryWorkers,
	})
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
			n += max(fitCount(g.step.demand(), w.free().Add(w.soonFree)), 0)
		}
	}
	return n
}

// seatsAt returns how many tasks of g are expected to fit on w.
func (d *decider) seatsAt(g *stage, w *worker) int {
	n := fitCount(g.step.demand(), w.free().Add(w.soonFree).Sub(w.claimed))
	if m := g.step.MaxPerWorker; m > 0 && n > 0 {
		n = min(n, m-g.runsAt(w))
	}
	return max(min(n, g.waiting), 0)
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
	if r.percent <= 0 || r.startedAt.IsZero() || done <= 0 || r.stopping {
		return s.remaining(r)
	}
	left := time.Duration(float64(done) * float64(100-r.percent) / float64(r.percent))
	return left - s.now.Sub(r.progressedAt)
}

// askDrawn queries the advisor about drawn workers, and claims the room there that the answer is
// expected to use.
func (d *decider) askDrawn(g *stage, q *Queue, drawn []advisor.Candidate) {
	workers := d.ready[q.Service].workers
	incarnations := make([]spoolsill.WorkerIncarnation, 0, len(drawn))
	claims := make([]claim, 0, len(drawn))
	for _, c := range advisor.Claims(drawn, g.waiting) {
		w := workers[c.Index]
		part := g.step.part(c.Tasks)
		w.claimed = w.claimed.Add(part)
		incarnations = append(incarnations, w.incarnation())
		claims = append(claims, claim{
			worker: w,
			part:   part,
		})
	}
	d.ask(g, q, incarnations, PurposeLearn)
	a := &d.advisorTime
	a.inFlight[a.last] = query{
		cost:   a.inFlight[a.last].cost,
		claims: claims,
	}
}

// observeShare updates the learnt share with the workers that x is the first answer about.
func (a *advisorTime) observeShare(x Advice) {
	a.share(x.Order.Queue).Observe(len(x.Tickets), len(x.Order.Workers))
}
