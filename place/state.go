package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/zero"
)

// Defaults of [Config].
const (
	DefaultTries        = 4
	DefaultBackoff      = 500 * time.Millisecond
	DefaultMaxBackoff   = time.Minute
	DefaultQuarantine   = time.Minute
	DefaultQuarantined  = 100 // of 1000 workers
	DefaultFinishedJobs = 1000
	DefaultDecisions    = 512
	DefaultGangPatience = 500 * time.Millisecond
)

// A Config describes a [State]. The zero value is usable.
type Config struct {
	// Tries is how often a task is started before it counts as failed; 0
	// means DefaultTries. Services are started again without end.
	Tries int
	// Backoff is the wait before the second try; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
	// Quarantine is how long a worker that fails everything gets no work the
	// first time; it doubles.
	Quarantine time.Duration
	// QuarantinedPerMille bounds the share of workers in quarantine at once.
	QuarantinedPerMille int
	// GangPatience is how long a normal gang waits before patient work is
	// checkpointed for it; below 0 means for ever.
	GangPatience time.Duration
	// FinishedJobs is how many finished jobs are remembered.
	FinishedJobs int
	// Decisions bounds the records of one Decide call.
	Decisions int
	// NoReservation switches gang reservations off, for measurements.
	NoReservation bool
	// NoQuarantine switches the quarantine off, for measurements.
	NoQuarantine bool
	// NoPreemption switches preemption off, for measurements.
	NoPreemption bool
}

func (c Config) withDefaults() Config {
	zero.Default(&c.Tries, DefaultTries)
	zero.Default(&c.Backoff, DefaultBackoff)
	zero.Default(&c.MaxBackoff, DefaultMaxBackoff)
	zero.Default(&c.Quarantine, DefaultQuarantine)
	zero.Default(&c.QuarantinedPerMille, DefaultQuarantined)
	zero.Default(&c.GangPatience, DefaultGangPatience)
	zero.Default(&c.FinishedJobs, DefaultFinishedJobs)
	zero.Default(&c.Decisions, DefaultDecisions)
	return c
}

// A State holds the workers, jobs and tasks of one hall.
type State struct {
	config   Config
	workers  map[spoolsill.WorkerID]*worker
	order    []*worker // by id, so that decisions do not depend on map order
	jobs     map[spoolsill.JobID]*job
	teams    map[spoolsill.TeamID]*team
	active   []*team // teams with waiting jobs, by id
	total    spoolsill.Resources
	added    uint64   // jobs added so far
	past     []*job   // finished jobs, oldest first
	never    []*job   // jobs that no worker is large enough for
	delayed  []*task  // requeued tasks that are not ready yet
	gangs    []*job   // waiting gangs, oldest first
	reserve  reserve  // what is kept for the oldest waiting gang
	promised []*task  // tasks that room is kept for
	learnt   learnt   // run times against declarations
	plans    planRing // confirmed plans
	// freed counts the changes that may let waiting work start.
	freed uint64
	round uint64 // counts Decide calls
	racks map[spoolsill.RackID]*rack
}

type worker struct {
	spoolsill.Worker
	index    int
	known    bool // it is on the platform's list
	silent   bool // it does not answer now
	free     spoolsill.Resources
	promised spoolsill.Resources // kept for urgent work whose room is being made
	tasks    map[spoolsill.TaskID]*task
	rack     *rack
	health   health
}

type rack struct {
	id spoolsill.RackID
}

type job struct {
	spec       spoolsill.Job
	team       *team
	number     uint64
	added      time.Time
	tasks      []task
	pending    []int // indexes of tasks that wait and are ready
	live       int   // tasks that are not final
	held       int   // tasks that hold capacity
	cancelled  bool
	inQueue    bool
	never      bool
	why        Why
	roomSought time.Time // when room was last sought for this gang
	blocked    uint64    // the value of State.freed at which it last did not fit
	spread     *spread
	failedOn   []spoolsill.WorkerID
	exits      int // tasks that ran to their end
	fails      int // tasks that failed
	finished   time.Time
}

type task struct {
	id      spoolsill.TaskID
	job     *job
	state   spoolsill.TaskState
	worker  *worker
	attempt spoolsill.Attempt
	fails   int
	since   time.Time // when it entered its state
	started time.Time // when it last was confirmed as running
	ready   time.Time
	cause   Cause
	avoid   []spoolsill.WorkerID
	target  *worker // where room is being made for it
	until   time.Time
	over    int // reports in a row of use above the declared size
}

type team struct {
	id      spoolsill.TeamID
	weight  int
	limited bool
	quota   spoolsill.Resources
	used    spoolsill.Resources
	queues  [spoolsill.ClassPatient + 1]queue
	queued  int
	listed  bool
}

// NewState returns an empty state.
func NewState(c Config) *State {
	return &State{
		config:  c.withDefaults(),
		workers: map[spoolsill.WorkerID]*worker{},
		jobs:    map[spoolsill.JobID]*job{},
		teams:   map[spoolsill.TeamID]*team{},
		racks:   map[spoolsill.RackID]*rack{},
		learnt:  learnt{},
		freed:   1,
	}
}

// A Quota is what a team may use in this hall.
type Quota struct {
	Team spoolsill.TeamID
	// Limit is the most that the team uses when Limited is set. Patient work
	// may pass it while the hall has room, and is preempted first.
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
	s.freed++
}

// SetWorkers takes the platform's list of the hall's workers. A worker that
// is not listed gets no new work; its tasks stay until their end is recorded.
func (s *State) SetWorkers(list []spoolsill.Worker) {
	for _, w := range s.workers {
		w.known = false
	}
	for _, l := range list {
		s.setWorker(l)
	}
	for id, w := range s.workers {
		if !w.known && len(w.tasks) == 0 {
			delete(s.workers, id)
		}
	}
	s.sortWorkers()
	s.rebuildSpread()
	s.freed++
	s.judgeNever()
}

// SetSilent says whether a worker answers. A silent one gets no new work.
func (s *State) SetSilent(id spoolsill.WorkerID, silent bool) {
	w, ok := s.workers[id]
	if !ok || w.silent == silent {
		return
	}
	w.silent = silent
	if !silent {
		s.freed++
	}
}

func (s *State) setWorker(l spoolsill.Worker) {
	w := s.worker(l.ID)
	w.free = w.free.Add(l.Capacity.Sub(w.Capacity))
	w.Worker = l
	w.known = true
	w.rack = s.rackOf(l.Rack)
}

// worker returns the worker with an id, which may not be listed yet.
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
	w.rack = s.rackOf("")
	s.workers[id] = w
	return w
}

func (s *State) rackOf(id spoolsill.RackID) *rack {
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
	s.order = s.order[:0]
	s.total = spoolsill.Resources{}
	for _, w := range s.workers {
		s.order = append(s.order, w)
		if w.known {
			s.total = s.total.Add(w.Capacity)
		}
	}
	sort.Slice(s.order, func(i, j int) bool {
		return s.order[i].ID < s.order[j].ID
	})
	for i, w := range s.order {
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

// Free returns the free capacity of all listed workers that take new work.
func (s *State) Free() spoolsill.Resources {
	var f spoolsill.Resources
	for _, w := range s.order {
		if w.known && !w.Leaving && !w.silent {
			f = f.Add(w.free)
		}
	}
	return f
}
