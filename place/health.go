package place

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Thresholds that distinguish a faulty worker from a faulty job.
const (
	quarantineThreshold = 2  // consecutive counted failures that quarantine a worker
	faultyJobWorkers    = 3  // a job that failed on this many workers and never succeeded is itself faulty
	maxAvoidedWorkers   = 8  // workers that one task avoids
	maxFailedJobs       = 4  // jobs remembered in health.failedJobs
	maxDoublings        = 6  // of the length of the quarantine
	probationTasks      = 1  // concurrent tasks after a quarantine, until one succeeds
	maxFailedOn         = 16 // workers remembered in job.failedOn
)

// health tracks the failures on a worker.
type health struct {
	consecutiveFailures int               // counted ones, since the last success or quarantine
	failedJobs          []spoolsill.JobID // with failures counted since the last success or quarantine
	quarantinedUntil    time.Time
	quarantines         int // consecutive ones, without a success in between
	probation           bool
}

// available reports whether w, whose health is h, may get a new task.
func (h *health) available(w *worker, now time.Time) bool {
	if now.Before(h.quarantinedUntil) {
		return false
	}
	return !h.probation || len(w.tasks) < probationTasks
}

// recordOutcome updates the health of the worker, the job and the run times at
// the end of an attempt.
func (s *State) recordOutcome(t *task, r Record) {
	if t.worker == nil {
		return
	}
	switch r.Cause {
	case CauseExited:
		s.recordSuccess(t, r)
	case CauseFailed, CauseRefused, CauseNoAttemptsLeft:
		s.recordFailure(t, r)
	}
}

func (s *State) recordSuccess(t *task, r Record) {
	t.job.completions++
	t.failures = 0
	h := &t.worker.health
	h.consecutiveFailures = 0
	h.quarantines = 0
	h.failedJobs = h.failedJobs[:0]
	h.probation = false
	s.runtimes.add(&t.job.spec, r.Time().Sub(t.runningSince))
}

func (s *State) recordFailure(t *task, r Record) {
	w := t.worker
	j := t.job
	t.failures++
	j.failures++
	t.avoided = appendBounded(t.avoided, w.ID, maxAvoidedWorkers)
	j.failedOn = appendBounded(j.failedOn, w.ID, maxFailedOn)
	if !s.countsAsWorkerFailure(w, j) {
		return
	}
	w.health.consecutiveFailures++
	w.health.failedJobs = append(w.health.failedJobs, j.spec.ID)
	if len(w.health.failedJobs) > maxFailedJobs {
		w.health.failedJobs = w.health.failedJobs[1:]
	}
	if w.health.consecutiveFailures >= quarantineThreshold || w.health.probation {
		s.quarantine(w, r.Time())
	}
}

// countsAsWorkerFailure reports whether a failure of j counts as a failure of w.
// Each failure counts for a job that has succeeded, unless it has failed about
// faultyJobWorkers times as often as it has succeeded. For a job that has never
// succeeded only the first on w counts, and none once it has failed on
// faultyJobWorkers workers.
func (s *State) countsAsWorkerFailure(w *worker, j *job) bool {
	if j.completions > 0 {
		return j.completions > j.failures/faultyJobWorkers
	}
	if len(j.failedOn) >= faultyJobWorkers {
		return false
	}
	for _, id := range w.health.failedJobs {
		if id == j.spec.ID {
			return false
		}
	}
	return true
}

// quarantine excludes w from new tasks for a while, unless the limit of workers in
// quarantine is reached.
func (s *State) quarantine(w *worker, now time.Time) {
	if s.config.NoQuarantine || s.quarantined(now) >= s.maxQuarantined() {
		return
	}
	d := s.config.Quarantine << min(w.health.quarantines, maxDoublings)
	w.health.quarantinedUntil = now.Add(d)
	w.health.quarantines++
	w.health.consecutiveFailures = 0
	w.health.failedJobs = nil
	w.health.probation = true
}

func (s *State) quarantined(now time.Time) int {
	n := 0
	for _, w := range s.workerList {
		if now.Before(w.health.quarantinedUntil) {
			n++
		}
	}
	return n
}

func (s *State) maxQuarantined() int {
	return max(1, len(s.workerList)*s.config.QuarantinedPerMille/1000)
}

// appendBounded adds id to list if it is not in it, and drops the oldest entry if
// list is at the limit.
func appendBounded(list []spoolsill.WorkerID, id spoolsill.WorkerID, limit int) []spoolsill.WorkerID {
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
