package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// largeShare is from what share of a worker on a task is large: room for it
	// is seldom free at once where smaller tasks run, so it is gathered. On the
	// fake cell of cellbench, with accelerators and full load, 0.801 of all worth
	// is earned, with 0.5 in its place 0.794.
	largeShare = 0.25
	// overrun is how much longer a run is taken to need that has run for longer
	// than expected.
	overrun = 300 * time.Millisecond
)

// reserve keeps workers for the large tasks of a stage that wait for room: one for
// each, the ones where it is free first. Stages ranked below may not use them. Large
// tasks earn 0.69 of their worth instead of 0.64 by it, 0.73 together with preempt
// (cellbench, accelerators, full load, eight seeds).
func (d *decider) reserve(g *stage, q *Queue, waiting int) {
	r := d.ready[q.Service]
	if r == nil || g.tier > tierTimely {
		g.gathered = nil
		return
	}
	most := max(len(r.workers)/gatherShare, 1)
	keep := func(w *worker) bool {
		if !w.ready || d.held[w] != nil || waiting == 0 || len(d.held) >= most || !d.large(g, w) {
			return false
		}
		d.held[w] = g
		waiting--
		return true
	}
	g.gathered = slices.DeleteFunc(g.gathered, func(w *worker) bool { return !keep(w) })
	for _, w := range d.soonest(g, q, r) {
		if keep(w) {
			g.gathered = append(g.gathered, w)
		}
	}
	if len(g.gathered) == 0 {
		return
	}
	d.keepWarm(g, q)
	d.preempt(g, q)
}

// large reports whether a task of g takes much of a worker, and fits it.
func (d *decider) large(g *stage, w *worker) bool {
	need := g.step.room()
	return g.allows(w) && need.FitsIn(w.Capacity) && need.DominantShare(w.Capacity) >= largeShare
}

// soonest returns the workers that may run g, those first where room for a task
// of it is expected first.
func (d *decider) soonest(g *stage, q *Queue, r *readyWorkers) []*worker {
	from := g.advice.good
	if q.Advisor == nil {
		from = r.workers
	}
	at := map[*worker]time.Time{}
	var ws []*worker
	for _, w := range from {
		if w.ready && d.held[w] == nil && d.large(g, w) {
			at[w] = d.freeAt(g, w)
			ws = append(ws, w)
		}
	}
	slices.SortStableFunc(ws, func(a, b *worker) int { return at[a].Compare(at[b]) })
	return ws
}

// freeAt returns when a worker is expected to have room for a task of g.
func (d *decider) freeAt(g *stage, w *worker) time.Time {
	need := g.step.room()
	free := w.free()
	if need.FitsIn(free) {
		return d.now
	}
	rs := sortedRuns(w)
	slices.SortStableFunc(rs, func(a, b *run) int { return cmp.Compare(d.left(a), d.left(b)) })
	for _, r := range rs {
		free = free.Add(r.need)
		if need.FitsIn(free) {
			return d.now.Add(d.left(r))
		}
	}
	return d.now.Add(lost)
}

// lost stands for a time that does not come.
const lost = time.Hour

// left returns for how much longer a run is expected to go on.
func (s *State) left(r *run) time.Duration {
	if r.stopping {
		return s.config.StopTime
	}
	g := r.task.stage
	if g.step.Lasting {
		return lost
	}
	takes := time.Duration(float64(s.expected(s.queue(g.job), g.step)) * r.worker.health.slowness())
	if r.begun.IsZero() {
		return takes
	}
	return max(takes-s.now.Sub(r.begun), overrun)
}
