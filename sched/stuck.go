package sched

import "time"

const (
	// stuckEvery is how often runs that stand still are looked for.
	stuckEvery = 200 * time.Millisecond
	// stuckLeast and stuckMost bound for how long a run's percent may stay as
	// it is. Workers answer each second at least; a run of ten seconds on a
	// worker that is ten times slower moves on each second.
	stuckLeast = 1500 * time.Millisecond
	stuckMost  = 4 * time.Second
	// stuckShare of its expected time without a move is too long as well.
	stuckShare = 0.25
)

// stopStuck stops the runs that stand still while their worker answers: they
// are tried elsewhere.
func (s *State) stopStuck() {
	if s.now.Sub(s.checked) < stuckEvery {
		return
	}
	s.checked = s.now
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

// stuck reports whether r's worker has answered again and again without r
// having moved on. Members of a gang wait for each other, at the start and when
// they are through, so that nothing can be told from them.
func (s *State) stuck(r *run) bool {
	g := r.task.stage
	if r.phase != phaseConfirmed || r.stopping || r.progressedAt.IsZero() || g.step.Lasting || g.step.Gang {
		return false
	}
	limit := time.Duration(stuckShare * float64(s.expected(s.queue(g.job), g.step)))
	limit = min(max(limit, stuckLeast), stuckMost)
	return r.worker.answeredAt.Sub(r.progressedAt) >= limit
}

// stopAsStuck stops a run and holds it against its worker.
func (s *State) stopAsStuck(r *run) {
	s.stop(r, "it stands still")
	r.task.failedOn = append(r.task.failedOn, r.worker.life())
	r.worker.health.recordFailure(s.now)
}
