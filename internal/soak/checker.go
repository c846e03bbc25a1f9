package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// lateStartTime is how long after a job was reported as completed a delayed start order for
// one of its tasks may still take effect: the platform allows a second.
const lateStartTime = time.Second

// A Checker records what clients were told of their jobs and which runs workers have
// started, and reports violations of the cell's invariants. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	jobs       map[spoolsill.JobID]*jobRecord
	violations []string
	startTime  time.Time
	// configAckedAt is when the store acknowledged each configuration.
	configAckedAt map[int]time.Time
	hostFaults    map[string]*faultHistory // by host
}

// A jobRecord is what the checker knows of one job.
type jobRecord struct {
	steps           []step
	mayStart        bool // a submission may have succeeded
	submissions     int
	accepted        bool
	cancelSent      bool   // a cancellation was sent
	cancelAcked     bool   // a cancellation was acknowledged
	reportedMissing bool   // the accepted job was reported as unknown
	finalState      string // empty until a final state is reported
	finalAt         time.Time
	// earliestDone is the earliest end of a successful run of each task.
	earliestDone map[sched.TaskID]time.Time
	starts       int
	// failures counts the runs of each step that fail, lostRuns the runs of each task that
	// were lost with a crashed worker.
	failures map[int]int
	lostRuns map[sched.TaskID]int
}

// NewChecker returns a Checker without records.
func NewChecker() *Checker {
	return &Checker{
		jobs:          map[spoolsill.JobID]*jobRecord{},
		startTime:     time.Now(),
		configAckedAt: map[int]time.Time{},
		hostFaults:    map[string]*faultHistory{},
	}
}

// recordViolation adds a violation with the time since the start. The caller holds c.mu.
func (c *Checker) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%7.3f s: ", time.Since(c.startTime).Seconds())+fmt.Sprintf(format, args...))
}

// Violations returns the violations that were found, in order.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// SubmitSent records that a job is about to be submitted.
func (c *Checker) SubmitSent(id spoolsill.JobID, steps []step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	if r == nil {
		r = &jobRecord{
			steps:        steps,
			earliestDone: map[sched.TaskID]time.Time{},
			failures:     map[int]int{},
			lostRuns:     map[sched.TaskID]int{},
		}
		c.jobs[id] = r
	}
	r.submissions++
	r.mayStart = true
}

// isRefusal reports whether a status means that the submission it answers will never lead
// to a run.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// SubmitAnswered records the answer to a submission; status 0 means that there was none.
func (c *Checker) SubmitAnswered(id spoolsill.JobID, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	switch {
	case status == http.StatusOK:
		r.accepted = true
	case isRefusal(status) && r.submissions == 1:
		r.mayStart = false
	}
	if status == http.StatusNotFound || status == http.StatusGone {
		c.recordViolation("submission of %s was answered with status %d", id, status)
	}
}

// CancelSent records that a job is about to be cancelled.
func (c *Checker) CancelSent(id spoolsill.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelSent = true
}

// CancelAcked records that a cancellation was acknowledged.
func (c *Checker) CancelAcked(id spoolsill.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelAcked = true
}

// IsCancelAcked reports whether the cancellation of a job was acknowledged.
func (c *Checker) IsCancelAcked(id spoolsill.JobID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	return r != nil && r.cancelAcked
}

// StateReported records and checks the state of a job that a client was told; "gone" means
// that there is no such job.
func (c *Checker) StateReported(id spoolsill.JobID, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.jobs[id]
	switch {
	case state == "gone" && r.accepted && !r.reportedMissing:
		r.reportedMissing = true
		c.recordViolation("%s was accepted and is shown as unknown", id)
	case state == sched.Cancelled.String() && !r.cancelSent:
		c.recordViolation("%s is shown as cancelled, but was not cancelled", id)
	case state == sched.Completed.String():
		c.checkCompleted(id, r)
	case state == sched.Failed.String() && !r.mayFail():
		c.recordViolation("%s is shown as failed without cause", id)
	}
	if isFinal(r.finalState) && state != r.finalState {
		c.recordViolation("%s was %s and is shown as %s", id, r.finalState, state)
	}
	if isFinal(state) && !isFinal(r.finalState) {
		r.finalState = state
		r.finalAt = time.Now()
	}
}

const (
	// maxAttempts is the number of failed runs after which a task fails according to the
	// configuration.
	maxAttempts = 3
	// minCrashesToFail is the number of workers that have to crash under a task before the
	// platform allows its job to fail.
	minCrashesToFail = 2
)

// mayFail reports whether the job may be reported as failed.
func (r *jobRecord) mayFail() bool {
	for _, n := range r.failures {
		if n >= maxAttempts {
			return true
		}
	}
	for _, n := range r.lostRuns {
		if n >= minCrashesToFail {
			return true
		}
	}
	return false
}

// RunsLost records the runs that were lost with a crashed worker.
func (c *Checker) RunsLost(runs []sched.RunID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range runs {
		if r := c.jobs[id.Task.Stage.Job]; r != nil {
			r.lostRuns[id.Task]++
		}
	}
}

func isFinal(state string) bool {
	return state == sched.Completed.String() || state == sched.Failed.String() || state == sched.Cancelled.String()
}

// checkCompleted records a violation for each step of the job that can't be done yet.
func (c *Checker) checkCompleted(id spoolsill.JobID, r *jobRecord) {
	done := make([]int, len(r.steps))
	for t, at := range r.earliestDone {
		if !at.After(time.Now()) {
			done[t.Stage.Step]++
		}
	}
	for i, s := range r.steps {
		// The end of one task is enough for a gang.
		if done[i] < s.Count && (!s.Gang || done[i] == 0) {
			c.recordViolation("%s is shown as completed with %d of %d tasks of step %d done", id, done[i], s.Count, i)
		}
	}
}

// RunStarted records and checks that a worker has started a run. The duration and the kind
// of end are those that the run has if it is not stopped or lost before.
func (c *Checker) RunStarted(id sched.RunID, duration time.Duration, kind sched.EndKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job := id.Task.Stage.Job
	r := c.jobs[job]
	if r == nil {
		c.recordViolation("%s#%d was started, but its job was not submitted", id.Task, id.Number)
		return
	}
	r.starts++
	if kind == sched.EndFailed {
		r.failures[id.Task.Stage.Step]++
	}
	if !r.mayStart {
		c.recordViolation("%s#%d was started, but its job was refused", id.Task, id.Number)
	}
	if r.finalState == sched.Completed.String() && time.Since(r.finalAt) > lateStartTime {
		c.recordViolation("%s#%d was started after its job was completed", id.Task, id.Number)
	}
	end := time.Now().Add(duration)
	if at, ok := r.earliestDone[id.Task]; kind == sched.EndDone && (!ok || end.Before(at)) {
		r.earliestDone[id.Task] = end
	}
}

// LongRunningJobs returns the long-running jobs that were accepted and not cancelled.
func (c *Checker) LongRunningJobs() []spoolsill.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []spoolsill.JobID
	for id, r := range c.jobs {
		if isLongRunning(id) && r.accepted && !r.cancelSent {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// OpenJobs returns the jobs that were accepted and not reported as ended.
func (c *Checker) OpenJobs() []spoolsill.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []spoolsill.JobID
	for id, r := range c.jobs {
		if r.accepted && !isFinal(r.finalState) {
			ids = append(ids, id)
		}
	}
	return ids
}

// JobsNotEnded records a violation for each of the given jobs, which have not ended in time.
func (c *Checker) JobsNotEnded(ids []spoolsill.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.recordViolation("%s was accepted and has not ended: %d starts, cancelled: %v", id, c.jobs[id].starts, c.jobs[id].cancelSent)
	}
}

// CancelledRunsActive records the violation that runs of cancelled jobs are still active.
func (c *Checker) CancelledRunsActive(runs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("%d runs of cancelled jobs are still active", runs)
}

// ConfigReverted records the violation that a host has an older configuration in force than
// before.
func (c *Checker) ConfigReverted(host string, from, to int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("host %s reverted from configuration %d to %d", host, from, to)
}

// UnknownKeyServed records the violation that a host served a call with a key that was
// never configured.
func (c *Checker) UnknownKeyServed(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("host %s served a call with a key that was never configured", host)
}

// RecordError records an error of the run as a violation: a host that exited unexpectedly or
// could not be started, or a failed write to the fake store.
func (c *Checker) RecordError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolation("%s", err)
}

// Counts returns how many jobs were submitted, accepted and reported as ended, and how many
// runs were started.
func (c *Checker) Counts() (jobs, accepted, ended, starts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.jobs {
		jobs++
		starts += r.starts
		if r.accepted {
			accepted++
		}
		if isFinal(r.finalState) {
			ended++
		}
	}
	return jobs, accepted, ended, starts
}
