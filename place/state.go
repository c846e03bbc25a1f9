package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/zero"
)

// Defaults of [Config].
const (
	DefaultMaxAttempts         = 4
	DefaultBackoff             = 500 * time.Millisecond
	DefaultMaxBackoff          = time.Minute
	DefaultQuarantine          = time.Minute
	DefaultQuarantinedPerMille = 100 // of 1000 workers
	DefaultFinishedJobs        = 1000
	DefaultDecisions           = 512
	DefaultGangPatience        = 500 * time.Millisecond
)

// A Config configures a [State]. The zero value is usable.
type Config struct {
	// MaxAttempts is the number of failed attempts at which a task ends as
	// failed; 0 means DefaultMaxAttempts. Tasks of services are retried without
	// limit.
	MaxAttempts int
	// Backoff is the delay before the second attempt; it doubles with each
	// further failure, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Quarantine is how long a failing worker gets no new tasks; it doubles
	// with each further quarantine until a task on the worker succeeds.
	Quarantine time.Duration
	// QuarantinedPerMille bounds the share of workers in quarantine at once;
	// one is always allowed.
	QuarantinedPerMille int
	// GangPatience is how long a gang of class Normal waits before it may
	// preempt tasks of class Patient; below 0 it never may.
	GangPatience time.Duration
	// FinishedJobs is how many finished jobs are retained.
	FinishedJobs int
	// Decisions is the number of records at which a Decide call stops. The last
	// decision, for example on a gang, may exceed it.
	Decisions int
	// NoReservation disables reservations for gangs, for benchmarks and tests.
	NoReservation bool
	// NoQuarantine disables the quarantine of workers, for benchmarks and tests.
	NoQuarantine bool
	// NoPreemption disables preemption, for benchmarks and tests.
	NoPreemption bool
}

func (c Config) withDefaults() Config {
	zero.Default(&c.MaxAttempts, DefaultMaxAttempts)
	zero.Default(&c.Backoff, DefaultBackoff)
	zero.Default(&c.MaxBackoff, DefaultMaxBackoff)
	zero.Default(&c.Quarantine, DefaultQuarantine)
	zero.Default(&c.QuarantinedPerMille, DefaultQuarantinedPerMille)
	zero.Default(&c.GangPatience, DefaultGangPatience)
	zero.Default(&c.FinishedJobs, DefaultFinishedJobs)
	zero.Default(&c.Decisions, DefaultDecisions)
	return c
}

// A State holds the workers, jobs and tasks of one hall.
type State struct {
	config            Config
	workers           map[spoolsill.WorkerID]*worker
	workerList        []*worker // sorted by ID, so that decisions do not depend on map order
	jobs              map[spoolsill.JobID]*job
	teams             map[spoolsill.TeamID]*team
	activeTeams       []*team // teams with waiting jobs, sorted by ID
	total             spoolsill.Resources
	jobsAdded         uint64       // number of jobs added so far, the seq of the last
	finishedJobs      []*job       // finished jobs, oldest first
	unschedulableJobs []*job       // jobs that would not fit even in an empty hall
	tasksBackingOff   []*task      // requeued tasks whose retry time has not come
	waitingGangs      []*job       // in the order in which they were queued
	reservation       reservation  // capacity kept for the oldest waiting gang
	nominatedTasks    []*task      // tasks for which capacity is held on a worker
	runtimes          runtimeStats // measured against declared run times
	confirmedPlans    planLog
	// capacityVersion is incremented by each change that may let a waiting job
	// start.
	capacityVersion uint64
	round           uint64 // number of Decide calls
	racks           map[spoolsill.RackID]*rack
}

type worker struct {
	spoolsill.Worker
	index             int
	listed            bool // on the platform's list
	unresponsive      bool
	free              spoolsill.Resources
	nominatedCapacity spoolsill.Resources // held for tasks that preempt others here
	tasks             map[spoolsill.TaskID]*task
	rack              *rack
	health            health
}

type rack struct {
	id spoolsill.RackID
}

type job struct {
	spec              spoolsill.Job
	team              *team
	seq               uint64 // orders jobs by when they were added
	added             time.Time
	tasks             []task
	pending           []int // indexes of the tasks that wait and are not backing off
	unfinished        int   // number of tasks whose state is not final
	allocated         int   // number of tasks that hold capacity of a worker
	cancelled         bool
	queued            bool
	unschedulable     bool
	reason            Reason
	preemptionTriedAt time.Time            // last search for tasks to preempt for this gang
	blockedVersion    uint64               // State.capacityVersion at which it last did not fit
	spread            *spread              // nil unless it is a service
	failedOn          []spoolsill.WorkerID // the last few, each once
	completions       int                  // attempts that exited by themselves
	failures          int                  // attempts that failed or were refused
	finishedAt        time.Time
}

type task struct {
	id               spoolsill.TaskID
	job              *job
	state            spoolsill.TaskState
	worker           *worker
	attempt          spoolsill.Attempt
	failures         int // since the last success
	stateSince       time.Time
	runningSince     time.Time // when the worker last confirmed a start
	retryAt          time.Time
	cause            Cause
	avoided          []spoolsill.WorkerID
	nominatedWorker  *worker // where tasks are preempted for it
	nominationExpiry time.Time
	overuseReports   int // consecutive reports of usage above its shape
}

type team struct {
	id          spoolsill.TeamID
	weight      int
	limited     bool
	quota       spoolsill.Resources
	used        spoolsill.Resources
	queues      [spoolsill.ClassPatient + 1]queue
	waitingJobs int
	isActive    bool
}

// NewState returns an empty state.
func NewState(c Config) *State {
	return &State{
		config:          c.withDefaults(),
		workers:         map[spoolsill.WorkerID]*worker{},
		jobs:            map[spoolsill.JobID]*job{},
		teams:           map[spoolsill.TeamID]*team{},
		racks:           map[spoolsill.RackID]*rack{},
		runtimes:        runtimeStats{},
		capacityVersion: 1,
	}
}

// A Quota limits what a team may use in this hall.
type Quota struct {
	Team spoolsill.TeamID
	// Limit is the most that the team may use if Limited is set. Tasks of class
	// Patient may exceed it while the hall has free capacity; as long as the
	// team is over the limit, jobs of class Normal may preempt them as well.
	Limit   spoolsill.Resources
	Limited bool
	// Weight scales the team's fair share; 0 means 1.
	Weight int
}

// SetQuotas replaces the quotas of all teams.
func (s *State) SetQuotas(quotas []Quota) {
	for _, t := range s.teams {
		t.quota = spoolsill.Resources{}
		t.limited = false
		t.weight = 1
	}
	for _, q := range quotas {
		t := s.team(q.Team)
		t.quota = q.Limit
		t.limited = q.Limited
		t.weight = max(q.Weight, 1)
	}
	s.capacityVersion++
}

// SetWorkers replaces the list of the hall's workers by the platform's. A
// worker that is not listed gets no new tasks; its tasks stay until their end
// is recorded.
func (s *State) SetWorkers(list []spoolsill.Worker) {
	for _, w := range s.workers {
		w.listed = false
	}
	for _, l := range list {
		s.setWorker(l)
	}
	for id, w := range s.workers {
		if !w.listed && len(w.tasks) == 0 {
			delete(s.workers, id)
		}
	}
	s.sortWorkers()
	s.rebuildSpread()
	s.capacityVersion++
	s.classifyAll()
}

// SetUnresponsive sets whether a worker fails to answer. An unresponsive
// worker gets no new tasks.
func (s *State) SetUnresponsive(id spoolsill.WorkerID, unresponsive bool) {
	w, ok := s.workers[id]
	if !ok || w.unresponsive == unresponsive {
		return
	}
	w.unresponsive = unresponsive
	if !unresponsive {
		s.capacityVersion++
	}
}

func (s *State) setWorker(l spoolsill.Worker) {
	w := s.worker(l.ID)
	w.free = w.free.Add(l.Capacity.Sub(w.Capacity))
	w.Worker = l
	w.listed = true
	w.rack = s.rackByID(l.Rack)
}

// worker returns the worker with the given ID, creating an unlisted one if it
// is not known: replayed records may name workers before they are listed.
func (s *State) worker(id spoolsill.WorkerID) *worker {
	w, ok := s.workers[id]
	if ok {
		return w
	}
	w = &worker{
		Worker: spoolsill.Worker{
			ID: id,
		},
		tasks: map[spoolsill.TaskID]*task{},
	}
	w.rack = s.rackByID("")
	s.workers[id] = w
	return w
}

func (s *State) rackByID(id spoolsill.RackID) *rack {
	r, ok := s.racks[id]
	if !ok {
		r = &rack{
			id: id,
		}
		s.racks[id] = r
	}
	return r
}

func (s *State) sortWorkers() {
	s.workerList = s.workerList[:0]
	s.total = spoolsill.Resources{}
	for _, w := range s.workers {
		s.workerList = append(s.workerList, w)
		if w.listed {
			s.total = s.total.Add(w.Capacity)
		}
	}
	sort.Slice(s.workerList, func(i, j int) bool {
		return s.workerList[i].ID < s.workerList[j].ID
	})
	for i, w := range s.workerList {
		w.index = i
	}
}

func (s *State) team(id spoolsill.TeamID) *team {
	t, ok := s.teams[id]
	if !ok {
		t = &team{
			id:     id,
			weight: 1,
		}
		s.teams[id] = t
	}
	return t
}

// Total returns the capacity of all listed workers.
func (s *State) Total() spoolsill.Resources {
	return s.total
}

// Free returns the free capacity of the listed workers that are neither leaving
// nor unresponsive.
func (s *State) Free() spoolsill.Resources {
	var f spoolsill.Resources
	for _, w := range s.workerList {
		if w.listed && !w.Leaving && !w.unresponsive {
			f = f.Add(w.free)
		}
	}
	return f
}
