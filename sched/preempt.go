package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minPreemptWait is the expected wait of a large task for capacity above which other
	// runs are preempted. It is longer than a stop, its report and the next start take
	// together. On the fake cell of cellbench at 0.8 of full load, 0.3 and 0.7 seconds
	// earn 0.835 of the total worth, 1.5 seconds 0.829.
	minPreemptWait = 700 * time.Millisecond
	// minVictimSlack is the time that a preempted run must have left in addition to what
	// it still needs, since it resumes only once there is capacity again. On the fake
	// cell of cellbench 1, 3 and 5 seconds differ by 0.002 of the total worth.
	minVictimSlack = 3 * time.Second
	// maxPreemptions is how often a task may be preempted. A limit of five earns the
	// same.
	maxPreemptions = 2
)

// preempt stops checkpointed runs at the workers that are reserved for g, where g would
// otherwise wait too long. It stops as few as possible, only runs of less urgent queues,
// and only those that have enough slack or are late anyway.
func (d *decider) preempt(g *stage, q *Queue) {
	for _, w := range g.reserved {
		if d.earliestStart(g, w).Sub(d.now) < minPreemptWait {
			continue
		}
		for _, r := range d.victims(g, q, w) {
			r.task.preemptions++
			d.stop(r, "preempted for "+g.id.String())
		}
	}
}

// victims returns the runs to stop at w to free the capacity for a task of g, or none if
// that is not possible. Runs that are already being stopped count as gone.
func (d *decider) victims(g *stage, q *Queue, w *worker) []*run {
	need := g.step.demand()
	free := w.free()
	var candidates []*run
	for _, r := range sortedRuns(w) {
		switch {
		case r.stopping:
			free = free.Add(r.need)
		case d.preemptible(r, q):
			candidates = append(candidates, r)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *run) int {
		return cmp.Or(
			-cmp.Compare(a.need.DominantShare(w.Capacity), b.need.DominantShare(w.Capacity)),
			-cmp.Compare(d.remaining(a), d.remaining(b)),
		)
	})
	var chosen []*run
	for _, r := range candidates {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(r.need)
		chosen = append(chosen, r)
	}
	if !need.FitsIn(free) {
		return nil
	}
	return chosen
}

// preemptible reports whether r may be stopped for a stage of q.
func (d *decider) preemptible(r *run, q *Queue) bool {
	g := r.task.stage
	p := g.step
	if r.phase != phaseConfirmed || !p.Checkpoints || p.Lasting || p.Gang || r.task.preemptions >= maxPreemptions {
		return false
	}
	k := d.rank(g)
	if k.priority <= q.Priority {
		return false
	}
	// The slack of a rank assumes that the run has not begun.
	slack := k.slack + d.expected(d.queue(g.job), g.step) - d.remaining(r)
	return slack < 0 || slack > minVictimSlack
}
