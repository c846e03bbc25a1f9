package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/advisor"
)

// Decide places the tasks that can start at now. Their start orders are part of the next
// batch.
// Cost: O(waiting stages * workers).
func (s *State) Decide(now time.Time) {
	s.now = now
	s.expireLeases()
	s.stopOnLeaving()
	s.stopStuck()
	s.repeatStops()
	s.pruneSuspects()
	s.sumUnknownUsage()
	s.stopUncertainOverQuota()
	s.openDue()
	if s.now.Sub(s.firstAnswerAt) < s.config.SettleTime || !s.entriesFresh() {
		return
	}
	d := decider{
		State:         s,
		ready:         map[spoolsill.ServiceID]*readyWorkers{},
		waitingQueues: map[QueueID]bool{},
	}
	d.collectReady()
	s.chargeTeams()
	s.Outlook(now)
	ranked := s.ranked()
	var last QueueID
	for _, r := range ranked {
		if q := s.openStages[r.index].job.Queue; q != last {
			d.waitingQueues[q] = true
			last = q
		}
	}
	for _, r := range ranked {
		d.place(s.openStages[r.index])
	}
	d.observeAdvisor()
}

// readyWorkers are the workers of one service that accept new tasks.
type readyWorkers struct {
	workers []*worker
	// maxFree is an upper bound of the free resources of any of them. It is not
	// lowered while resources are allocated during a pass.
	maxFree spoolsill.Resources
	// capacity and used are the totals of the workers, as of the start of the pass.
	capacity spoolsill.Resources
	used     spoolsill.Resources
	// byFree has the workers sorted by free processors, highest first, as of the first
	// call of sortedByFree in the pass; nil before.
	byFree []*worker
}

// sortedByFree returns the workers sorted by free processors, highest first. They are
// sorted only once per pass, since many stages need the order.
func (r *readyWorkers) sortedByFree() []*worker {
	if r.byFree == nil {
		r.byFree = slices.Clone(r.workers)
		sortByFree(r.byFree)
	}
	return r.byFree
}

// collectReady determines the ready workers once per pass, so that stages that do not
// fit anywhere are rejected cheaply.
func (d *decider) collectReady() {
	for _, w := range d.workerList {
		w.reservation = nil
		w.ready = d.acceptsStarts(w)
	}
	d.backOff()
	for _, w := range d.workerList {
		if !w.ready {
			continue
		}
		r := d.ready[w.Service]
		if r == nil {
			r = &readyWorkers{
				workers: make([]*worker, 0, len(d.workerList)),
			}
			d.ready[w.Service] = r
		}
		r.workers = append(r.workers, w)
		r.capacity = r.capacity.Add(w.Capacity)
		r.used = r.used.Add(w.used)
		free := w.free()
		r.maxFree.Processors = max(r.maxFree.Processors, free.Processors)
		r.maxFree.Memory = max(r.maxFree.Memory, free.Memory)
		r.maxFree.Accelerators = max(r.maxFree.Accelerators, free.Accelerators)
	}
}

// A decider is one pass over the waiting stages.
type decider struct {
	*State
	// reserved counts the workers with a reservation.
	reserved int
	ready    map[spoolsill.ServiceID]*readyWorkers
	// waitingQueues are the queues that have stages to place.
	waitingQueues map[QueueID]bool
	// forecastFor is the queue that the workers' soonFree holds for.
	forecastFor *Queue
	// adviceWanted is the advisor's time for the queries that were not made in the pass.
	adviceWanted time.Duration
	roomless     roomless
	// refused counts the stages about which no query was made in the pass, by verdict.
	refused [advisor.Verdicts]int
}

// ranked returns the stages that can be placed, sorted by rank, and removes finished ones
// from the open stages. The result is valid until the next call.
func (s *State) ranked() []rankedStage {
	kept := s.openStages[:0]
	ranked := s.rankedStages[:0]
	wall := s.wallClock()
	for _, g := range s.openStages {
		if g.done() || g.job.state.Final() {
			g.open = false
			continue
		}
		if g.placeable() && !s.now.Before(g.retryAt) {
			r := s.rankAt(g, wall)
			g.tier = r.tier
			ranked = append(ranked, rankedStage{
				rank:  r,
				index: len(kept),
			})
		}
		kept = append(kept, g)
	}
	clear(s.openStages[len(kept):])
	s.openStages = kept
	s.rankedStages = ranked
	slices.SortFunc(ranked, rankedStage.compare)
	return ranked
}

// placeable reports whether a task of g needs a worker. For a gang all of them must.
func (g *stage) placeable() bool {
	if len(g.planned) > 0 {
		return false
	}
	if g.step.Gang {
		return g.waiting == len(g.tasks)
	}
	return g.waiting > 0
}

// place starts the tasks of g that can start now.
func (d *decider) place(g *stage) {
	q := d.queue(g.job)
	if q.Service == "" || g.failuresSeen && (d.failExhausted(g) || d.failCrashing(g)) {
		// Failures may have been reported before the queue was known, and crashes
		// counted by a former leader.
		return
	}
	d.recordWait(g)
	if !d.fitsQuota(g) {
		g.reserved = nil
		g.waitUpdatedAt = d.now
		g.waitingFor = waitQuota
		return
	}
	g.advice.refused = advisor.Granted
	switch {
	case q.Advisor != nil && d.budgeted(g, q):
		d.placeOnBudget(g, q)
	case q.Advisor != nil && !d.ensureAdvice(g, q):
	case g.step.Gang:
		d.placeGang(g, q)
	default:
		d.placeEach(g, q)
	}
	d.beginWait(g, q)
}

// ensureAdvice queries the advisor if nothing is known for g yet, and about more workers
// if the known ones have had no capacity for a while. It reports whether any answer is
// known.
func (d *decider) ensureAdvice(g *stage, q *Queue) bool {
	a := &g.advice
	known := a.asked != nil
	if a.learnQueriesInFlight > 0 || known && d.now.Sub(a.learnedAt) <= askMoreAfter {
		return known
	}
	if g.tier != tierUrgent && !d.mayAsk(g, q) {
		d.noteWanted(q)
		return known
	}
	if d.onBudget(q) && !g.step.Gang {
		if candidates, _ := d.adviceCandidates(g, q); advisor.RoomOf(candidates).Expected >= 1 {
			d.askDrawn(g, q, candidates)
			return known
		}
	}
	more := d.unasked(g, q)
	if len(more) == 0 {
		a.learnedAt = d.now // there are no others; check again after askMoreAfter
		return known
	}
	d.askAboutMore(g, q, more)
	return known
}

// labelMatches reports whether w has the label that g requires, if any.
func (g *stage) labelMatches(w *worker) bool {
	return g.step.Requires == "" || slices.Contains(w.Labels, g.step.Requires)
}

// candidates returns the workers where g may start a task and that have the capacity for
// it. It leaves out workers that are reserved for other stages and where g can't backfill.
func (d *decider) candidates(g *stage, q *Queue) []*worker {
	r := d.ready[q.Service]
	need := g.step.demand()
	if r == nil || !need.FitsIn(r.maxFree) {
		return nil
	}
	from := r.workers
	if q.Advisor != nil {
		from = g.advice.allowed
	}
	var ws []*worker
	for _, w := range from {
		if !w.ready || !need.FitsIn(w.free()) || w.Service != q.Service {
			continue
		}
		if !g.labelMatches(w) {
			continue
		}
		if !d.mayUse(g, q, w) || d.blockedByTrial(g, w) {
			continue
		}
		ws = append(ws, w)
	}
	return ws
}

// placeEach starts the waiting tasks independently of each other.
func (d *decider) placeEach(g *stage, q *Queue) {
	ws := d.candidates(g, q)
	var renew []spoolsill.WorkerIncarnation
	waiting := 0
	for _, t := range g.tasks {
		if !t.waits() {
			continue
		}
		if !g.job.team.allows(g.step.demand()) {
			break
		}
		w := d.bestWorker(t, ws)
		if w == nil {
			waiting++
			continue
		}
		if q.Advisor == nil || g.advice.valid(w, d.now) {
			d.start(t, w)
			continue
		}
		d.plan(t, w)
		if !slices.Contains(renew, w.incarnation()) {
			renew = append(renew, w.incarnation())
		}
	}
	if len(renew) > 0 {
		if waiting > 0 {
			renew = d.addExpired(g, q, renew)
		}
		d.ask(g, q, renew, PurposeRenew)
	}
	d.reserveForLarge(g, q, waiting)
}

// runsAt returns the number of runs of g at w.
func (g *stage) runsAt(w *worker) int {
	n := 0
	for _, t := range g.tasks {
		if t.run != nil && t.run.worker == w {
			n++
		}
	}
	return n
}

// bestWorker returns the worker with the lowest cost for t, or nil if none has capacity.
// It prefers workers where t has not failed, then fast ones, then the tightest fit.
func (d *decider) bestWorker(t *task, ws []*worker) *worker {
	g := t.stage
	need := g.step.demand()
	var best *worker
	lowest := math.Inf(1)
	for _, w := range ws {
		free := w.free()
		if !need.FitsIn(free) {
			continue
		}
		if m := g.step.MaxPerWorker; m > 0 && g.runsAt(w) >= m {
			continue
		}
		if w.reservation != nil && !d.mayUse(g, d.queue(g.job), w) {
			continue // tasks started before in the pass may have taken what was spare
		}
		c := d.placementCost(g, w, free.Sub(need)) + d.trialCost(t, w)
		if slices.Contains(t.failedOn, w.incarnation()) {
			c += failedWorkerCost
		}
		if c < lowest {
			best = w
			lowest = c
		}
	}
	return best
}

// failedWorkerCost exceeds any difference in speed.
const failedWorkerCost = 100

// freeShareWeight is the weight of the share of a worker's processors that stays free,
// relative to the run time factor. It is small so that it only decides between workers
// of about the same speed.
const freeShareWeight = 0.1

func (d *decider) placementCost(g *stage, w *worker, left spoolsill.Resources) float64 {
	c := w.health.slowness()
	if g.step.NearRack != "" && g.step.NearRack != w.Rack {
		c *= d.config.FarFactor
	}
	if w.Capacity.Processors > 0 {
		c += freeShareWeight * float64(left.Processors) / float64(w.Capacity.Processors)
	}
	return c
}

// start plans a run of t at w and records it at once.
func (d *decider) start(t *task, w *worker) {
	d.plan(t, w)
	g := t.stage
	g.planned = g.planned[:len(g.planned)-1]
	d.record(t.run)
}

// record adds the start order of a planned run to the next batch.
func (s *State) record(r *run) {
	t := r.task
	g := t.stage
	number := t.lastRun + 1
	if g.step.Gang {
		number = g.nextGangRun()
	}
	if r.id.Number != number {
		delete(r.worker.runs, r.id)
		r.id.Number = number
		r.worker.runs[r.id] = r
	}
	t.lastRun = number
	r.phase = phaseRecorded
	if g.advice.asked != nil {
		s.advisorTime.use.Starts++
	}
	g.job.starts = append(g.job.starts, StartOrder{
		WorkerIncarnation: r.worker.incarnation(),
		Run:               r.id,
		Spec:              g.job.Spec,
		Saved:             t.lastCheckpoint(),
		Ticket:            g.advice.tickets[r.worker].text,
	})
	s.markDirty(g.job)
	s.note(Note{
		Kind:   NotePlaced,
		Job:    g.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: r.placementReason(),
		Age:    s.now.Sub(r.worker.answeredAt),
	})
}

// lastCheckpoint returns the saved progress to resume from. The progress that any member
// of a gang has saved is valid for the whole gang.
func (t *task) lastCheckpoint() string {
	if !t.stage.step.Gang {
		return t.saved
	}
	for _, m := range t.stage.tasks {
		if m.saved != "" {
			return m.saved
		}
	}
	return ""
}

func sortByFree(ws []*worker) {
	slices.SortStableFunc(ws, func(a, b *worker) int {
		return cmp.Compare(b.free().Processors, a.free().Processors)
	})
}
