package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// largeShare is the share of a worker from which on a task is large. Capacity for it
	// is rarely free at once where smaller tasks run, so workers are reserved. On the
	// fake cell of cellbench with accelerators and full load, 0.25 earns 0.801 of the
	// total worth and 0.5 earns 0.794.
	largeShare = 0.25
	// minRemaining is the expected remaining time of a run that has exceeded its
	// expected run time.
	minRemaining = 300 * time.Millisecond
)

// reserveForLarge reserves a worker for each large task of g that waits, choosing those
// where capacity is expected first. Stages of lower rank can't use reserved workers, except
// those of queues of the highest priority. This raises what large tasks earn from 0.64 to
// 0.69 of their worth, and to 0.73 together with preemption (cellbench, accelerators, full
// load, eight seeds).
func (d *decider) reserveForLarge(g *stage, q *Queue, waiting int) {
	r := d.ready[q.Service]
	if r == nil || g.tier > tierOnTime {
		g.reserved = nil
		return
	}
	limit := max(len(r.workers)/reserveDivisor, 1)
	reserve := func(w *worker) bool {
		if !w.ready || w.reservation != nil || waiting == 0 || d.reserved >= limit || !d.isLarge(g, w) {
			return false
		}
		h := &reservation{
			stage: g,
			tasks: 1,
		}
		d.reserve(w, h)
		d.reclaim(h)
		waiting--
		return true
	}
	g.reserved = slices.DeleteFunc(g.reserved, func(w *worker) bool { return !reserve(w) })
	for _, w := range d.byEarliestStart(g, q, r) {
		if reserve(w) {
			g.reserved = append(g.reserved, w)
		}
	}
	if len(g.reserved) == 0 {
		return
	}
	d.keepWarm(g, q)
	d.preempt(g, q)
}

// isLarge reports whether a task of g needs at least largeShare of w, and fits there once all runs
// have ended that don't last.
func (d *decider) isLarge(g *stage, w *worker) bool {
	need := g.step.demand()
	return g.labelMatches(w) && need.FitsIn(w.reclaimable()) && need.DominantShare(w.Capacity) >= largeShare
}

// byEarliestStart returns the workers that can be reserved for large tasks of g, sorted by
// earliestStart.
func (d *decider) byEarliestStart(g *stage, q *Queue, r *readyWorkers) []*worker {
	from := g.advice.allowed
	if q.Advisor == nil {
		from = r.workers
	}
	at := map[*worker]time.Time{}
	var ws []*worker
	for _, w := range from {
		if w.ready && w.reservation == nil && d.isLarge(g, w) {
			at[w] = d.earliestStart(g, w)
			ws = append(ws, w)
		}
	}
	slices.SortStableFunc(ws, func(a, b *worker) int { return at[a].Compare(at[b]) })
	return ws
}

// earliestStart returns when w is expected to have capacity for a task of g.
func (d *decider) earliestStart(g *stage, w *worker) time.Time {
	need := g.step.demand()
	free := w.free()
	if need.FitsIn(free) {
		return d.now
	}
	rs := sortedRuns(w)
	slices.SortStableFunc(rs, func(a, b *run) int { return cmp.Compare(d.remaining(a), d.remaining(b)) })
	for _, r := range rs {
		free = free.Add(r.need)
		if need.FitsIn(free) {
			return d.now.Add(d.remaining(r))
		}
	}
	return d.now.Add(noExpectedEnd)
}

// noExpectedEnd is the remaining time assumed for a run that is not expected to end.
const noExpectedEnd = time.Hour

// remaining returns the expected remaining time of a run.
func (s *State) remaining(r *run) time.Duration {
	if r.stopping {
		return s.config.StopTime
	}
	g := r.task.stage
	if g.step.Lasting {
		return noExpectedEnd
	}
	total := time.Duration(float64(s.expected(s.queue(g.job), g.step)) * r.worker.health.slowness())
	if r.startedAt.IsZero() {
		return total
	}
	return max(total-s.now.Sub(r.startedAt), minRemaining)
}
