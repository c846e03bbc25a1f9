package sched

import "time"

const (
	// stuckCheckInterval is the interval between checks for runs without progress.
	stuckCheckInterval = 200 * time.Millisecond
	// minStuckTime and maxStuckTime bound the time after which a run without progress is
	// stuck. Workers answer at least once per second, and a run of ten seconds at a worker
	// that is ten times slower still progresses every second.
	minStuckTime = 1500 * time.Millisecond
	maxStuckTime = 4 * time.Second
	// stuckShare is that time as a share of the expected run time, between the bounds.
	stuckShare = 0.25
)

// stopStuck stops the runs that make no progress although their worker answers, so that
// their tasks are retried elsewhere.
func (s *State) stopStuck() {
	if s.now.Sub(s.stuckCheckedAt) < stuckCheckInterval {
		return
	}
	s.stuckCheckedAt = s.now
	for _, w := range s.workerList {
		if w.dead || len(w.runs) == 0 {
			continue
		}
		for _, r := range sortedRuns(w) {
			if s.stuck(r) {
				s.stopAsStuck(r)
			}
		}
	}
}

// stuck reports whether r's worker has kept answering without progress of r. Members of a
// gang are never stuck, since they wait for each other at the start and at the end.
func (s *State) stuck(r *run) bool {
	g := r.task.stage
	if r.phase != phaseConfirmed || r.stopping || r.progressedAt.IsZero() || g.step.Lasting || g.step.Gang {
		return false
	}
	limit := time.Duration(stuckShare * float64(s.expected(s.queue(g.job), g.step)))
	limit = min(max(limit, minStuckTime), maxStuckTime)
	return r.worker.answeredAt.Sub(r.progressedAt) >= limit
}

// stopAsStuck stops a run and counts it as a failure of its worker.
func (s *State) stopAsStuck(r *run) {
	s.stop(r, "no progress")
	r.task.failedOn = append(r.task.failedOn, r.worker.incarnation())
	s.recordFailure(r)
}
