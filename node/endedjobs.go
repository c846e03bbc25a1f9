package node

import (
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// maxEndedJobs bounds the final states that a host remembers. A large cell ends about as many
// jobs within the two minutes for which clients may ask for them.
const maxEndedJobs = 4096

// endedJobs remembers the final states that this host has told clients or heard. A final state
// never changes and is published only once it is stored, so that it is true without the store
// and without a leader. The oldest entry is dropped for a new one. endedJobs is safe for
// concurrent use; the zero value remembers nothing.
type endedJobs struct {
	mu   sync.Mutex
	jobs map[spoolsill.JobID]endedJob
	// order has the jobs in the order in which they were added; next is the index of the
	// oldest one once it is full.
	order []spoolsill.JobID
	next  int
}

type endedJob struct {
	state   sched.JobState
	team    spoolsill.TeamID
	addedAt time.Time
}

// add remembers a job's status if it is final.
func (e *endedJobs) add(now time.Time, s sched.JobStatus) {
	if !s.State.Final() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs == nil {
		e.jobs = map[spoolsill.JobID]endedJob{}
	}
	if _, ok := e.jobs[s.ID]; !ok {
		// A job that was forgotten and ends again is in the order twice, and may be dropped
		// early.
		e.makeRoomLocked(s.ID)
	}
	e.jobs[s.ID] = endedJob{
		state:   s.State,
		team:    s.Team,
		addedAt: now,
	}
}

func (e *endedJobs) makeRoomLocked(id spoolsill.JobID) {
	if len(e.order) < maxEndedJobs {
		e.order = append(e.order, id)
		return
	}
	delete(e.jobs, e.order[e.next])
	e.order[e.next] = id
	e.next = (e.next + 1) % maxEndedJobs
}

// get returns the status of a job that was added within the given time before now.
func (e *endedJobs) get(now time.Time, id spoolsill.JobID, within time.Duration) (sched.JobStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j, ok := e.jobs[id]
	if !ok || now.Sub(j.addedAt) > within {
		return sched.JobStatus{}, false
	}
	return sched.JobStatus{
		ID:    id,
		Team:  j.team,
		State: j.state,
	}, true
}

// forget removes a job whose id has been accepted again, after the cell had forgotten it.
func (e *endedJobs) forget(id spoolsill.JobID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.jobs, id)
}

func (e *endedJobs) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.jobs)
}
