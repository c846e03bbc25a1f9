package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// Decide starts what can start at now. The starts leave with the next batch.
// Cost: O(stages that wait * workers).
func (s *State) Decide(now time.Time) {
	s.now = now
	s.expireLeases()
	s.saveLeaving()
	s.stopStuck()
	s.stopAgain()
	s.keepSuspects()
	s.countStrays()
	s.stopDoubtful()
	s.openDue()
	if s.now.Sub(s.answeredFirst) < s.config.SettleTime || !s.roomIsKnown() {
		return
	}
	d := decider{
		State: s,
		held:  map[*worker]*stage{},
		ready: map[spoolsill.ServiceID]*readyWorkers{},
	}
	d.collectReady()
	for _, g := range s.ranked() {
		d.place(g)
	}
}

// readyWorkers are the workers of one service that take something now.
type readyWorkers struct {
	workers []*worker
	// most is no less than what any of them has free. It is not lowered as
	// room is taken within a pass.
	most spoolsill.Resources
	// byFree are the workers with the most free processors first, as of when it
	// was first asked for in the pass; nil before.
	byFree []*worker
}

// freest returns the workers with the most free processors first. They are
// sorted once in a pass, which has many stages ask about them.
func (r *readyWorkers) freest() []*worker {
	if r.byFree == nil {
		r.byFree = slices.Clone(r.workers)
		sortByFree(r.byFree)
	}
	return r.byFree
}

// collectReady looks once at each worker, so that a pass over many stages costs
// little for those that find no room.
func (d *decider) collectReady() {
	for _, w := range d.order {
		w.ready = w.takes(d.now) && w.health.takes(d.now)
		if !w.ready {
			continue
		}
		r := d.ready[w.Service]
		if r == nil {
			r = &readyWorkers{
				workers: make([]*worker, 0, len(d.order)),
			}
			d.ready[w.Service] = r
		}
		r.workers = append(r.workers, w)
		free := w.free()
		r.most.Processors = max(r.most.Processors, free.Processors)
		r.most.Memory = max(r.most.Memory, free.Memory)
		r.most.Accelerators = max(r.most.Accelerators, free.Accelerators)
	}
}

// A decider is one pass over the stages that wait.
type decider struct {
	*State
	// held has the workers that gangs gather room at, by gang.
	held  map[*worker]*stage
	ready map[spoolsill.ServiceID]*readyWorkers
}

// ranked returns the open stages in the order in which they are served, and
// forgets those that are done.
func (s *State) ranked() []*stage {
	kept := s.open[:0]
	var ready []*stage
	for _, g := range s.open {
		if g.done() || g.job.state.Final() {
			g.open = false
			continue
		}
		kept = append(kept, g)
		if g.placeable() && !s.now.Before(g.retryAt) {
			ready = append(ready, g)
		}
	}
	clear(s.open[len(kept):])
	s.open = kept
	ranks := make(map[*stage]rank, len(ready))
	for _, g := range ready {
		ranks[g] = s.rank(g)
		g.tier = ranks[g].tier
	}
	slices.SortStableFunc(ready, func(a, b *stage) int { return ranks[a].compare(ranks[b]) })
	return ready
}

// placeable reports whether a task of g waits for a worker; of a gang, all.
func (g *stage) placeable() bool {
	if len(g.planned) > 0 {
		return false
	}
	for _, t := range g.tasks {
		waits := !t.done && t.run == nil
		if waits && !g.step.Gang {
			return true
		}
		if !waits && g.step.Gang {
			return false
		}
	}
	return g.step.Gang
}

// place starts the tasks of a stage that can start now.
func (d *decider) place(g *stage) {
	q := d.queue(g.job)
	if q.Service == "" || d.failExhausted(g) || d.giveUp(g) {
		// Failures may have been heard of before the queue was known, crashes by a
		// former leader.
		return
	}
	d.charge(g)
	if !d.underQuota(g) {
		g.gathered = nil
		g.lookedAt = d.now
		g.waits = waitQuota
		return
	}
	switch {
	case q.Advisor != nil && !d.advised(g, q):
	case g.step.Gang:
		d.placeGang(g, q)
	default:
		d.placeEach(g, q)
	}
	d.await(g, q)
}

// advised asks the advisor where nothing is known yet, and about more workers
// when the known ones have had no room for a while. It reports whether any
// worker is known.
func (d *decider) advised(g *stage, q *Queue) bool {
	a := &g.advice
	known := a.asked != nil
	if a.learning > 0 || known && d.now.Sub(a.last) <= askMore {
		return known
	}
	if g.tier != tierUrgent && d.asking >= askingEach*max(d.askers, 1) {
		return known
	}
	more := d.unasked(g, q)
	if len(more) == 0 {
		a.last = d.now // all are known: look again after a while
		return known
	}
	d.learnMore(g, q, more)
	return known
}

// allows reports whether g's tasks may run at w, as far as its label tells.
func (g *stage) allows(w *worker) bool {
	return g.step.Requires == "" || slices.Contains(w.Labels, g.step.Requires)
}

// candidates returns the workers where g may start something now and that have
// room for a task.
func (d *decider) candidates(g *stage, q *Queue) []*worker {
	r := d.ready[q.Service]
	need := g.step.room()
	if r == nil || !need.FitsIn(r.most) {
		return nil
	}
	from := r.workers
	if q.Advisor != nil {
		from = g.advice.good
	}
	var ws []*worker
	for _, w := range from {
		if !w.ready || !need.FitsIn(w.free()) || w.Service != q.Service {
			continue
		}
		if !g.allows(w) {
			continue
		}
		if h := d.held[w]; h != nil && h != g && q.Priority > 0 {
			continue
		}
		if d.barred(g, w) {
			continue
		}
		ws = append(ws, w)
	}
	return ws
}

// placeEach starts the waiting tasks one by one.
func (d *decider) placeEach(g *stage, q *Queue) {
	ws := d.candidates(g, q)
	var renew []spoolsill.Life
	waiting := 0
	for _, t := range g.tasks {
		if t.done || t.run != nil {
			continue
		}
		if !g.job.team.takes(g.step.room()) {
			break
		}
		w := d.best(t, ws)
		if w == nil {
			waiting++
			continue
		}
		if q.Advisor == nil || g.advice.valid(w, d.now) {
			d.start(t, w)
			continue
		}
		d.plan(t, w)
		if !slices.Contains(renew, w.life()) {
			renew = append(renew, w.life())
		}
	}
	if len(renew) > 0 {
		d.ask(g, q, renew, Renew)
	}
	d.reserve(g, q, waiting)
}

// at returns how many runs of g a worker has.
func (g *stage) at(w *worker) int {
	n := 0
	for _, t := range g.tasks {
		if t.run != nil && t.run.worker == w {
			n++
		}
	}
	return n
}

// best returns the worker where a task costs least, or nil when none has room:
// one where it has not failed, then the fastest, then the tightest fit.
func (d *decider) best(t *task, ws []*worker) *worker {
	g := t.stage
	need := g.step.room()
	var best *worker
	least := math.Inf(1)
	for _, w := range ws {
		free := w.free()
		if !need.FitsIn(free) {
			continue
		}
		if m := g.step.MaxPerWorker; m > 0 && g.at(w) >= m {
			continue
		}
		c := d.cost(g, w, free.Sub(need)) + d.trialCost(t, w)
		if slices.Contains(t.failedAt, w.life()) {
			c += failedCost
		}
		if c < least {
			best = w
			least = c
		}
	}
	return best
}

// failedCost outweighs any difference in speed.
const failedCost = 100

// tightness is how much the share of a worker that is left free counts
// against a factor on the run time; small, so that it only breaks ties between
// workers that are about as fast.
const tightness = 0.1

func (d *decider) cost(g *stage, w *worker, left spoolsill.Resources) float64 {
	c := w.health.slowness()
	if g.step.NearRack != "" && g.step.NearRack != w.Rack {
		c *= d.config.FarFactor
	}
	if w.Capacity.Processors > 0 {
		c += tightness * float64(left.Processors) / float64(w.Capacity.Processors)
	}
	return c
}

// start records a run at once.
func (d *decider) start(t *task, w *worker) {
	d.plan(t, w)
	g := t.stage
	g.planned = g.planned[:len(g.planned)-1]
	d.record(t.run)
}

// record makes a planned run a decision that is written with the next batch.
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
	g.job.starts = append(g.job.starts, StartOrder{
		Life:   r.worker.life(),
		Run:    r.id,
		Spec:   g.job.Spec,
		Saved:  t.startFrom(),
		Ticket: g.advice.tickets[r.worker].text,
	})
	s.touch(g.job)
	s.note(Note{
		Kind:   NotePlaced,
		Job:    g.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: "has room",
		Age:    s.now.Sub(r.worker.answered),
	})
}

// startFrom returns the saved progress to go on from. One member's is good
// for its whole gang.
func (t *task) startFrom() string {
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
