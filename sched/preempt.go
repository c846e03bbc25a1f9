package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preemptAfter is how long room for a large task must be expected to take
	// for work to be stopped for it: longer than a stop, its end and the next
	// start take. On the fake cell of cellbench, at 0.8 of full load, 0.3 and 0.7
	// seconds earn 0.835, 1.5 seconds 0.829 of all worth.
	preemptAfter = 700 * time.Millisecond
	// preemptSlack is how much time a run that is stopped must have left besides
	// what it still needs: it starts again once there is room. On the fake cell
	// of cellbench 1, 3 and 5 seconds differ by 0.002 of all worth.
	preemptSlack = 3 * time.Second
	// preemptMost is how often a task is stopped for others; with five in its
	// place the same is earned.
	preemptMost = 2
)

// preempt stops runs that save their progress where a large task of g waits
// for a worker that is kept for it: those of less urgent queues that have time,
// the fewest that make room.
func (d *decider) preempt(g *stage, q *Queue) {
	for _, w := range g.gathered {
		if d.freeAt(g, w).Sub(d.now) < preemptAfter {
			continue
		}
		for _, r := range d.victims(g, q, w) {
			r.task.preempted++
			d.stop(r, "room for "+g.id.String())
		}
	}
}

// victims returns runs at a worker that make room for a task of g when they are
// stopped, or none when they can't. Those whose stop is under way count as gone.
func (d *decider) victims(g *stage, q *Queue, w *worker) []*run {
	need := g.step.room()
	free := w.free()
	var may []*run
	for _, r := range sortedRuns(w) {
		switch {
		case r.stopping:
			free = free.Add(r.need)
		case d.preemptible(r, q):
			may = append(may, r)
		}
	}
	slices.SortStableFunc(may, func(a, b *run) int {
		return cmp.Or(
			-cmp.Compare(a.need.DominantShare(w.Capacity), b.need.DominantShare(w.Capacity)),
			-cmp.Compare(d.left(a), d.left(b)),
		)
	})
	var out []*run
	for _, r := range may {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(r.need)
		out = append(out, r)
	}
	if !need.FitsIn(free) {
		return nil
	}
	return out
}

// preemptible reports whether a run may be stopped for work of a queue.
func (d *decider) preemptible(r *run, q *Queue) bool {
	g := r.task.stage
	p := g.step
	if r.phase != phaseConfirmed || !p.Checkpoints || p.Lasting || p.Gang || r.task.preempted >= preemptMost {
		return false
	}
	k := d.rank(g)
	if k.priority <= q.Priority {
		return false
	}
	// The rank counts the whole run as still to come.
	slack := k.slack + d.expected(d.queue(g.job), g.step) - d.left(r)
	return slack < 0 || slack > preemptSlack
}
