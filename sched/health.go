package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// health is the estimate of a worker's condition from the runs that ended there.
type health struct {
	slowEstimate float64 // moving average of run time relative to other workers; 0 means unknown
	// failures counts the runs of each stage that have failed since the last run that was
	// completed, rejections the starts that were rejected or not answered.
	failures   map[*stage]int
	rejections int
	failedAt   time.Time // latest failure or rejection
}

const (
	// suspectFailures is the number of failures from which on they are attributed to the worker.
	// At failure rates of a few percent, two in a row are rarely a coincidence.
	suspectFailures = 2
	// minBackoff doubles with each further failure, up to maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = 8 * time.Second
	// failureMemory is how long failures without a completed run after them count.
	failureMemory = time.Minute
	// backoffDivisor limits the share of a service's workers in backoff: the others have room
	// while less than half of the service is in use.
	backoffDivisor = 3
)

// recordFailure counts a failed run against its worker and its stage.
func (s *State) recordFailure(r *run) {
	g, h := r.task.stage, &r.worker.health
	if !slices.Contains(g.failedAt, r.worker.id) {
		g.failedAt = append(g.failedAt, r.worker.id)
	}
	if h.failures == nil || s.now.Sub(h.failedAt) > failureMemory {
		h.failures = map[*stage]int{}
	}
	h.failures[g]++
	h.failedAt = s.now
}

// failsAnywhere reports whether the failures of g's tasks are its own fault: they have failed on several
// workers, and on more of them than tasks are done.
func (g *stage) failsAnywhere() bool {
	return len(g.failedAt) >= suspectFailures && len(g.failedAt) > len(g.tasks)-g.tasksLeft
}

// succeeds reports whether a task of g is done.
func (g *stage) succeeds() bool {
	return g.tasksLeft < len(g.tasks)
}

// recordRejection counts a start that the worker rejected as unhealthy or did not answer.
func (h *health) recordRejection(now time.Time) {
	h.rejections++
	h.failedAt = now
}

// recordSuccess counts a completed run. Its ratio is the run time relative to other
// workers; 0 means unknown.
func (h *health) recordSuccess(ratio float64) {
	clear(h.failures)
	h.rejections = 0
	if ratio <= 0 {
		return
	}
	ratio = min(max(ratio, minSlowness), maxSlowness)
	if h.slowEstimate == 0 {
		h.slowEstimate = 1
	}
	h.slowEstimate += slownessWeight * (ratio - h.slowEstimate)
}

// suspicion returns how many failures are evidence against the worker. The failures of a stage count
// once as long as none of its tasks is done, and not at all if they are its own fault.
func (h *health) suspicion() int {
	n := h.rejections
	for g, k := range h.failures {
		switch {
		case g.failsAnywhere():
		case g.succeeds():
			n += k
		default:
			n++
		}
	}
	return n
}

// inBackoff reports whether the worker gets no new tasks for now.
func (h *health) inBackoff(now time.Time) bool {
	if now.Sub(h.failedAt) >= maxBackoff {
		return false
	}
	further := h.suspicion() - suspectFailures
	return further >= 0 && now.Sub(h.failedAt) < min(minBackoff<<min(further, 8), maxBackoff)
}

// slowness returns the run time of tasks at the worker relative to other workers.
func (h *health) slowness() float64 {
	if h.slowEstimate == 0 {
		return 1
	}
	return h.slowEstimate
}

// backOff marks the workers that get no new tasks because of failures as not ready: of each service
// at most a share, those with the most evidence against them. Cost: O(workers).
func (s *State) backOff() {
	var failing []*worker
	accepting := map[spoolsill.ServiceID]int{}
	for _, w := range s.workerList {
		w.avoided = false
		if !w.ready {
			continue
		}
		accepting[w.Service]++
		if w.health.inBackoff(s.now) {
			failing = append(failing, w)
		}
	}
	slices.SortStableFunc(failing, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(b.health.suspicion(), a.health.suspicion()),
			b.health.failedAt.Compare(a.health.failedAt),
		)
	})
	inBackoff := map[spoolsill.ServiceID]int{}
	for _, w := range failing {
		if inBackoff[w.Service] < accepting[w.Service]/backoffDivisor {
			inBackoff[w.Service]++
			w.ready = false
			w.avoided = true
		}
	}
}
