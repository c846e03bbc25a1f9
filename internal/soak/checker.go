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

// lateStartTime is how long after a job was reported as completed a delayed start of its
// tasks may still arrive: the platform allows a second.
const lateStartTime = time.Second

// A Checker records what clients were told of their jobs and which runs workers have
// started, and reports violations of the cell's guarantees. It is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	jobs       map[spoolsill.JobID]*jobRecord
	violations []string
	began      time.Time
	// configAckedAt is when the store acknowledged each configuration.
	configAckedAt map[int]time.Time
	hostFaults    map[string]*faultHistory // by host
}

// A jobRecord is what the checker knows of one job.
type jobRecord struct {
	steps           []step
	mayStart        bool // an attempt to submit the job may have succeeded
	tries           int
	accepted        bool
	cancelSent      bool // a cancellation was sent
	cancelAcked     bool // a cancellation was acknowledged
	reportedMissing bool // the accepted job was reported as unknown
	finalState      string
	finalAt         time.Time
	// earliestDone is the earliest end of a successful run of each task.
	earliestDone map[sched.TaskID]time.Time
	starts       int
	// failures counts the failing runs of each step, lostRuns the runs of each task that
	// were lost with a crashed worker.
	failures map[int]int
	lostRuns map[sched.TaskID]int
}

// NewChecker returns a checker without records.
func NewChecker() *Checker {
	return &Checker{
		jobs:          map[spoolsill.JobID]*jobRecord{},
		began:         time.Now(),
		configAckedAt: map[int]time.Time{},
		hostFaults:    map[string]*faultHistory{},
	}
}

func (c *Checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%7.3f s: ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
}

// Violations returns a copy of the violations that were found.
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

			failures: map[int]int{},
			lostRuns: map[sched.TaskID]int{},
		}
		c.jobs[id] = r
	}
	r.tries++
	r.mayStart = true
}

// isRefusal reports whether a status means that this submission never leads to a run.
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
	case isRefusal(status) && r.tries == 1:
		r.mayStart = false
	}
	if status == http.StatusNotFound || status == http.StatusGone {
		c.violation("submission of %s was answered with status %d", id, status)
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
		c.violation("%s was accepted and is shown as unknown", id)
	case state == sched.Cancelled.String() && !r.cancelSent:
		c.violation("%s is shown as cancelled, but was not cancelled", id)
	case state == sched.Completed.String():
		c.checkCompleted(id, r)
	case state == sched.Failed.String() && !r.mayFail():
		c.violation("%s is shown as failed without cause", id)
	}
	if isFinal(r.finalState) && state != r.finalState {
		c.violation("%s was %s and is shown as %s", id, r.finalState, state)
	}
	if isFinal(state) && !isFinal(r.finalState) {
		r.finalState = state
		r.finalAt = time.Now()
	}
}

const (
	// maxAttempts is how often a task may fail according to the configuration.
	// minCrashesToFail is the number of worker crashes after which the platform allows a
	// task to be failed.
	maxAttempts      = 3
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
	for _, x := range runs {
		if r := c.jobs[x.Task.Stage.Job]; r != nil {
			r.lostRuns[x.Task]++
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
			c.violation("%s is shown as completed with %d of %d tasks of step %d done", id, done[i], s.Count, i)
		}
	}
}

// RunStarted records and checks that a worker has started a run, with its duration and the
// kind of its end unless it is ended from outside.
func (c *Checker) RunStarted(x sched.RunID, took time.Duration, k sched.EndKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := x.Task.Stage.Job
	r := c.jobs[id]
	if r == nil {
		c.violation("%s#%d was started, but its job was not submitted", x.Task, x.Number)
		return
	}
	r.starts++
	if k == sched.EndFailed {
		r.failures[x.Task.Stage.Step]++
	}
	if !r.mayStart {
		c.violation("%s#%d was started, but its job was refused", x.Task, x.Number)
	}
	if r.finalState == sched.Completed.String() && time.Since(r.finalAt) > lateStartTime {
		c.violation("%s#%d was started after its job was completed", x.Task, x.Number)
	}
	end := time.Now().Add(took)
	if at, ok := r.earliestDone[x.Task]; k == sched.EndDone && (!ok || end.Before(at)) {
		r.earliestDone[x.Task] = end
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

// JobsNotEnded records a violation for each job that has not ended in time.
func (c *Checker) JobsNotEnded(ids []spoolsill.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.violation("%s was accepted and has not ended: %d starts, cancelled %v", id, c.jobs[id].starts, c.jobs[id].cancelSent)
	}
}

// CancelledRunsActive records the violation that runs of cancelled jobs go on.
func (c *Checker) CancelledRunsActive(runs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("%d runs of cancelled jobs go on", runs)
}

// ConfigReverted records the violation that a host went back to an older configuration than
// it had in force.
func (c *Checker) ConfigReverted(host string, version, shows int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("host %s had configuration %d in force and shows %d", host, version, shows)
}

// UnknownKeyServed records the violation that a host served a call with a key that was
// never configured.
func (c *Checker) UnknownKeyServed(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("host %s served a call with a key that was never configured", host)
}

// Failed records a violation for an error of the run: a host that exited unexpectedly or
// could not be started, or a write to the store's fake that failed.
func (c *Checker) Failed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violation("%s", err)
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
