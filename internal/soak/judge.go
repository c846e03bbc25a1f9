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

// startAfterEnd is how long after a job was shown as completed a start on its
// way may still arrive: the platform allows a second.
const startAfterEnd = time.Second

// A Judge knows what clients were told of their jobs and what workers have
// started, and says which promises that breaks. It is safe for concurrent use.
type Judge struct {
	mu     sync.Mutex
	jobs   map[spoolsill.JobID]*record
	broken []string
	began  time.Time
	// configured has when the store acknowledged each configuration.
	configured map[int]time.Time
	touches    map[string]*touch // of hosts
}

// A record is what is known of one job.
type record struct {
	steps     []step
	mayRun    bool // some try to hand it in was not refused for good
	tries     int
	accepted  bool
	cancelled bool // a cancel was sent
	over      bool // a cancel was acknowledged
	missed    bool // it was shown as not known although it was accepted
	shown     string
	shownAt   time.Time
	// doneAt has for each task the earliest end of a run that succeeds.
	doneAt map[sched.TaskID]time.Time
	starts int
	// failing counts the runs of each step that fail, lost those of each task that
	// went with a worker that crashed.
	failing map[int]int
	lost    map[sched.TaskID]int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		jobs:       map[spoolsill.JobID]*record{},
		began:      time.Now(),
		configured: map[int]time.Time{},
		touches:    map[string]*touch{},
	}
}

func (j *Judge) breach(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf("%7.3f s: ", time.Since(j.began).Seconds())+fmt.Sprintf(format, args...))
}

// Broken returns the promises that were broken.
func (j *Judge) Broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.broken...)
}

// HandIn takes in that a job is about to be handed in.
func (j *Judge) HandIn(id spoolsill.JobID, steps []step) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	if r == nil {
		r = &record{
			steps:  steps,
			doneAt: map[sched.TaskID]time.Time{},

			failing: map[int]int{},
			lost:    map[sched.TaskID]int{},
		}
		j.jobs[id] = r
	}
	r.tries++
	r.mayRun = true
}

// refuses reports whether a status says that a job never runs.
func refuses(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// HandedIn takes in the answer to a hand-in; status 0 means that there was none.
func (j *Judge) HandedIn(id spoolsill.JobID, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	switch {
	case status == http.StatusOK:
		r.accepted = true
	case refuses(status) && r.tries == 1:
		r.mayRun = false
	}
	if status == http.StatusNotFound || status == http.StatusGone {
		j.breach("hand-in of %s got %d", id, status)
	}
}

// CancelSent takes in that a job is about to be cancelled.
func (j *Judge) CancelSent(id spoolsill.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].cancelled = true
}

// Cancelled takes in that a cancel was acknowledged.
func (j *Judge) Cancelled(id spoolsill.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].over = true
}

// Over reports whether a job's cancel was acknowledged.
func (j *Judge) Over(id spoolsill.JobID) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	return r != nil && r.over
}

// Shown takes in a job's state as a client was told it; "gone" means that
// there is no such job.
func (j *Judge) Shown(id spoolsill.JobID, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.jobs[id]
	switch {
	case state == "gone" && r.accepted && !r.missed:
		r.missed = true
		j.breach("%s was accepted and is not known", id)
	case state == sched.Cancelled.String() && !r.cancelled:
		j.breach("%s is shown as cancelled, and nobody did so", id)
	case state == sched.Completed.String():
		j.checkDone(id, r)
	case state == sched.Failed.String() && !r.mayFail():
		j.breach("%s is shown as failed without cause", id)
	}
	if final(r.shown) && state != r.shown {
		j.breach("%s was %s and is shown as %s", id, r.shown, state)
	}
	if final(state) && !final(r.shown) {
		r.shown = state
		r.shownAt = time.Now()
	}
}

const (
	// attempts is how often a task may fail, by the configuration; crashesToGiveUp is
	// under how many crashes of workers it may be given up, by the platform's word.
	attempts        = 3
	crashesToGiveUp = 2
)

// mayFail reports whether there is a cause for the job to fail.
func (r *record) mayFail() bool {
	for _, n := range r.failing {
		if n >= attempts {
			return true
		}
	}
	for _, n := range r.lost {
		if n >= crashesToGiveUp {
			return true
		}
	}
	return false
}

// Lost takes in the runs that went with a worker that crashed.
func (j *Judge) Lost(runs []sched.RunID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, x := range runs {
		if r := j.jobs[x.Task.Stage.Job]; r != nil {
			r.lost[x.Task]++
		}
	}
}

func final(state string) bool {
	return state == sched.Completed.String() || state == sched.Failed.String() || state == sched.Cancelled.String()
}

// checkDone breaks a promise when a job can't be done by now.
func (j *Judge) checkDone(id spoolsill.JobID, r *record) {
	done := make([]int, len(r.steps))
	for t, at := range r.doneAt {
		if !at.After(time.Now()) {
			done[t.Stage.Step]++
		}
	}
	for i, s := range r.steps {
		// One end stands for a whole gang.
		if done[i] < s.Count && (!s.Gang || done[i] == 0) {
			j.breach("%s is shown as completed with %d of %d tasks of step %d done", id, done[i], s.Count, i)
		}
	}
}

// Started takes in that a worker has started a run, which will take so long if
// nothing ends it, and end like that.
func (j *Judge) Started(x sched.RunID, took time.Duration, k sched.EndKind) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id := x.Task.Stage.Job
	r := j.jobs[id]
	if r == nil {
		j.breach("%s#%d was started, and nobody handed its job in", x.Task, x.Number)
		return
	}
	r.starts++
	if k == sched.EndFailed {
		r.failing[x.Task.Stage.Step]++
	}
	if !r.mayRun {
		j.breach("%s#%d was started, and its job was refused", x.Task, x.Number)
	}
	if r.shown == sched.Completed.String() && time.Since(r.shownAt) > startAfterEnd {
		j.breach("%s#%d was started after its job was completed", x.Task, x.Number)
	}
	end := time.Now().Add(took)
	if at, ok := r.doneAt[x.Task]; k == sched.EndDone && (!ok || end.Before(at)) {
		r.doneAt[x.Task] = end
	}
}

// Lasting returns the jobs that last, were accepted and not cancelled.
func (j *Judge) Lasting() []spoolsill.JobID {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ids []spoolsill.JobID
	for id, r := range j.jobs {
		if lasts(id) && r.accepted && !r.cancelled {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Open returns the jobs that were accepted and have not been seen to end.
func (j *Judge) Open() []spoolsill.JobID {
	j.mu.Lock()
	defer j.mu.Unlock()
	var ids []spoolsill.JobID
	for id, r := range j.jobs {
		if r.accepted && !final(r.shown) {
			ids = append(ids, id)
		}
	}
	return ids
}

// NeverEnded breaks a promise for each job that has not ended in time.
func (j *Judge) NeverEnded(ids []spoolsill.JobID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range ids {
		j.breach("%s was accepted and has not ended: %d starts, cancelled %v", id, j.jobs[id].starts, j.jobs[id].cancelled)
	}
}

// StillThere breaks a promise: tasks of cancelled jobs run on.
func (j *Judge) StillThere(runs int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach("%d runs of cancelled jobs go on", runs)
}

// WentBack breaks a promise: a host forgot a configuration that it had in force.
func (j *Judge) WentBack(host string, version, shows int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach("host %s had configuration %d in force and shows %d", host, version, shows)
}

// ServedUnknown breaks a promise: a host served a call with a key that was never held.
func (j *Judge) ServedUnknown(host string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach("host %s served a call with a key that no configuration ever held", host)
}

// Ended breaks a promise for a host that ended by itself.
func (j *Judge) Ended(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breach("%s", err)
}

// Counts returns how many jobs were handed in, accepted and seen to end, and how
// many runs were started.
func (j *Judge) Counts() (jobs, accepted, ended, starts int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.jobs {
		jobs++
		starts += r.starts
		if r.accepted {
			accepted++
		}
		if final(r.shown) {
			ended++
		}
	}
	return jobs, accepted, ended, starts
}
