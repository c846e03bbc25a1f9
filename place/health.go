package place

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Thresholds that tell a failing worker from a failing job.
const (
	strikesOut     = 2  // failures that count, without a success between
	badJobWorkers  = 3  // a job that failed on so many and never ran to its end is to blame itself
	maxAvoid       = 8  // workers that one task keeps off
	maxStrikeJobs  = 4  // jobs remembered as having failed on one worker
	maxDoublings   = 6  // of the quarantine's length
	probationTasks = 1  // tasks at once until one of them succeeds
	maxFailedOn    = 16 // workers remembered by one job
)

// health is what the failures on a worker tell about it.
type health struct {
	strikes   int
	jobs      []spoolsill.JobID // that counted since the last success
	until     time.Time         // end of the quarantine
	times     int               // quarantines in a row
	probation bool
}

// takes reports whether a worker in this health takes a new task.
func (h *health) takes(w *worker, now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.probation || len(w.tasks) < probationTasks
}

// note learns from the end of a task on its worker.
func (s *State) note(t *task, r Record) {
	if t.worker == nil {
		return
	}
	switch r.Cause {
	case CauseExited:
		s.noteSuccess(t, r)
	case CauseFailed, CauseRefused, CauseNoAttemptsLeft:
		s.noteFailure(t, r)
	}
}

func (s *State) noteSuccess(t *task, r Record) {
	t.job.exits++
	t.fails = 0
	h := &t.worker.health
	h.strikes = 0
	h.times = 0
	h.jobs = h.jobs[:0]
	h.probation = false
	s.learnt.add(&t.job.spec, r.Time().Sub(t.started))
}

func (s *State) noteFailure(t *task, r Record) {
	w := t.worker
	j := t.job
	t.fails++
	j.fails++
	t.avoid = addWorker(t.avoid, w.ID, maxAvoid)
	j.failedOn = addWorker(j.failedOn, w.ID, maxFailedOn)
	if !s.blames(w, j) {
		return
	}
	w.health.strikes++
	w.health.jobs = append(w.health.jobs, j.spec.ID)
	if len(w.health.jobs) > maxStrikeJobs {
		w.health.jobs = w.health.jobs[1:]
	}
	if w.health.strikes >= strikesOut || w.health.probation {
		s.quarantine(w, r.Time())
	}
}

// blames reports whether a failure of j speaks against w: a job that runs to
// its end elsewhere speaks each time, another one once, and a job that failed
// on several workers and never ran to its end not at all.
func (s *State) blames(w *worker, j *job) bool {
	if j.exits > 0 {
		return j.exits > j.fails/badJobWorkers
	}
	if len(j.failedOn) >= badJobWorkers {
		return false
	}
	for _, id := range w.health.jobs {
		if id == j.spec.ID {
			return false
		}
	}
	return true
}

func (s *State) quarantine(w *worker, now time.Time) {
	if s.config.NoQuarantine || s.quarantined(now) >= s.maxQuarantined() {
		return
	}
	d := s.config.Quarantine << min(w.health.times, maxDoublings)
	w.health.until = now.Add(d)
	w.health.times++
	w.health.strikes = 0
	w.health.jobs = nil
	w.health.probation = true
}

func (s *State) quarantined(now time.Time) int {
	n := 0
	for _, w := range s.order {
		if now.Before(w.health.until) {
			n++
		}
	}
	return n
}

func (s *State) maxQuarantined() int {
	return max(1, len(s.order)*s.config.QuarantinedPerMille/1000)
}

func addWorker(list []spoolsill.WorkerID, id spoolsill.WorkerID, limit int) []spoolsill.WorkerID {
	for _, x := range list {
		if x == id {
			return list
		}
	}
	if len(list) >= limit {
		list = list[1:]
	}
	return append(list, id)
}
