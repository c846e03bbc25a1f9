package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Config describes a [State].
type Config struct {
	// Lease is the longest lease that a worker grants; bounds of the platform
	// say how long.
	Lease time.Duration
	// StartLease is the longest after it is sent that a start, with all its
	// tries, may let a run go on without a renewal.
	StartLease time.Duration
	// TakenOver is when the leadership began. Before InheritedLease has
	// passed, a worker that has not answered yet may run what a former leader
	// started.
	TakenOver      time.Time
	InheritedLease time.Duration
	// EntriesAge is how old what is known of the workers' entries may be for something to
	// be started: a worker's room may have shrunk since. 0 means any age.
	EntriesAge time.Duration
	// Ahead is by how much the times that the State is given are ahead of the time of
	// day.
	Ahead time.Duration
	// SettleTime is for how long nothing is placed once the first worker has
	// answered under this leadership, so that the others are known as well. Else
	// each stage that waits asks the advisor about the first worker alone, and
	// about the rest only once that has had no room.
	SettleTime time.Duration
	// BatchBytes is from how many bytes of rows on a batch takes no more; 0 means what
	// the store takes.
	BatchBytes int
	// ConfigInForce is within how long a configuration is in force everywhere.
	ConfigInForce time.Duration
	// KeepEnded is how long the state of a job that ended is kept.
	KeepEnded time.Duration
	// StopTime is how long a worker needs to stop a run.
	StopTime time.Duration
	// DrainTime is how long a worker that leaves goes on at least.
	DrainTime time.Duration
	// FarFactor is how much longer tasks take away from their data, or a
	// gang spread over racks.
	FarFactor float64
}

// A State holds the cell's workers, jobs and runs.
type State struct {
	config Config
	now    time.Time
	queues map[QueueID]*Queue
	jobs   map[spoolsill.JobID]*job
	// workers has the account of each worker's latest life.
	workers    map[spoolsill.WorkerID]*worker
	workerList []*worker // as first seen, for a stable choice
	// lives has the accounts of each machine's lives that are not dead.
	lives      map[string][]*worker
	openStages []*stage // stages that may have tasks to place
	timed      []*stage // stages that wait for their time
	learnt     map[QueueID]*experience
	teams      map[spoolsill.TeamID]*teamState

	dirty []*job
	acks  map[spoolsill.Life]uint64
	stops []StopOrder
	// stoppingRuns are the runs that were ordered to stop and may still be there.
	stoppingRuns []*run
	// suspects are the tasks under which workers went; see evidence.
	suspects []*task
	// crashedAt has the machines whose workers crashed lately.
	crashedAt           map[string]time.Time
	deferredStarts      []StartOrder // that waited for a ticket after they were recorded
	adviceOrders        []AdviceOrder
	queriesInFlight     int // questions to the advisor that are not answered
	warmQueriesInFlight int // of them, those that keep tickets valid
	advisorSlots        int // hosts that can ask it
	notes               []Note
	statusUpdates       []JobStatus
	// storeRecoveredAt is when the store was last back after an outage.
	storeRecoveredAt time.Time
	// entriesAsOf is as of when all workers' entries are known; zero before.
	entriesAsOf time.Time
	checked     time.Time // when runs that stand still were last looked for
	// firstAnswerAt is when the first worker answered under this leadership.
	firstAnswerAt time.Time
	ended         []endedJob
	waiting       map[QueueID]int
}

// New returns a state that knows of nothing.
func New(c Config) *State {
	return &State{
		config:  c,
		queues:  map[QueueID]*Queue{},
		jobs:    map[spoolsill.JobID]*job{},
		workers: map[spoolsill.WorkerID]*worker{},
		lives:   map[string][]*worker{},
		learnt:  map[QueueID]*experience{},
		teams:   map[spoolsill.TeamID]*teamState{},
		acks:    map[spoolsill.Life]uint64{},

		crashedAt: map[string]time.Time{},
		waiting:   map[QueueID]int{},
	}
}

// wall returns the time of day, without a steady reading: what others named as a time
// of day is compared with it.
func (s *State) wall() time.Time {
	return s.now.Round(0).Add(-s.config.Ahead)
}

// A job is a job with its progress.
type job struct {
	Job
	team   *teamState
	beyond bool // its team's share
	state  JobState
	stages []*stage
	// activeRuns counts the activeRuns in the workers' accounts.
	activeRuns int
	undone     int // stages that are not done
	dirty      bool
	// chains are the expected times of its steps' chains, as of chainsAt.
	chains   []time.Duration
	chainsAt time.Time
	starts   []StartOrder // leave once the job's row is written
	counted  bool         // in State.waiting
	account  Account
}

// A stage is one step in one round of a job.
type stage struct {
	id           StageID
	job          *job
	step         *Step
	tasks        []*task
	gangFailures int // of a gang as a whole
	// lastFailedRun is the gang's latest run of which a member failed.
	lastFailedRun RunNumber
	tasksLeft     int // tasks that are not done
	open          bool
	due           time.Time // not before, by the wall clock
	// openedAt is when its turn had come.
	openedAt time.Time
	tier     tier // as of the pass under way
	// waits is what it has waited for since it was last looked at.
	waits    waitKind
	lookedAt time.Time
	// retryAt keeps a stage whose start was rejected from being tried at once.
	retryAt time.Time
	advice  advice
	planned []*run // room taken while a ticket is renewed
	// overdue are orders that are recorded and wait for a ticket: theirs ran out
	// while a slow store recorded them.
	overdue []StartOrder
	// gathered are the workers that a gang keeps while it waits for room.
	gathered []*worker
}

// A task is one task of a stage.
type task struct {
	stage    *stage
	index    int
	done     bool
	failures int
	lastRun  RunNumber
	saved    string
	run      *run
	// failedOn has the workers where it failed: another one tells whether
	// the task or the worker is to blame.
	failedOn []spoolsill.Life
	// evidence is what speaks for it crashing its workers.
	evidence evidence
	// preemptions is how often a run of it was stopped to make room.
	preemptions int
}

// A phase tells how far a run has come.
type phase uint8

const (
	phasePlanned   phase = iota // room is taken, nothing is recorded
	phaseRecorded               // waits for its row to be written
	phaseSent                   // the order is on its way
	phaseUncertain              // not answered: it may happen until its deadline
	phaseInherited              // a former leader recorded it
	phaseConfirmed              // the worker has it
)

// A run is one start of a task at a worker. Its room is taken as long as it
// is in the worker's account.
type run struct {
	id     RunID
	task   *task
	worker *worker
	// born is of the life that its order was for; another one of the same worker may
	// have carried it out.
	born         spoolsill.Birth
	need         spoolsill.Resources
	phase        phase
	confirmedAt  time.Time   // when the worker confirmed it
	deadline     ClockMillis // of the latest try, for phaseDoubt
	startedAt    time.Time
	percent      int
	progressedAt time.Time // when percent was last seen to change
	stopping     bool
	stopTakenAt  time.Time // when a stop was first answered
	nextStopAt   time.Time // when the next order to stop it is due
}

// SetQueues takes in the newest configuration. Queues that it lacks are kept
// for the jobs that came in by them.
func (s *State) SetQueues(queues []Queue) {
	for _, q := range queues {
		s.queues[q.ID] = &q
	}
}

// Job returns the state of a job.
func (s *State) Job(id spoolsill.JobID) (JobStatus, bool) {
	j := s.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	return j.status(), true
}

func (j *job) status() JobStatus {
	return JobStatus{
		ID:    j.ID,
		Queue: j.Queue,
		Team:  j.Team,
		State: j.state,
	}
}

// StatusUpdates returns the jobs that were added or have begun since the last call. That
// may be told at once, since it need not last.
func (s *State) StatusUpdates() []JobStatus {
	t := s.statusUpdates
	s.statusUpdates = nil
	return t
}

// PendingJobs returns how many jobs of each queue are accepted and have not begun.
func (s *State) PendingJobs() map[QueueID]int {
	w := make(map[QueueID]int, len(s.waiting))
	for q, n := range s.waiting {
		w[q] = n
	}
	return w
}

// Notes returns what was noted since the last call.
func (s *State) Notes() []Note {
	n := s.notes
	s.notes = nil
	return n
}

func (s *State) note(n Note) {
	s.notes = append(s.notes, n)
}

// setState moves a job on and keeps the count of waiting jobs.
func (s *State) setState(j *job, to JobState) {
	j.state = to
	waits := to == Pending && j.Rounds == 0
	if waits && !j.counted {
		s.waiting[j.Queue]++
	}
	if !waits && j.counted {
		s.waiting[j.Queue]--
	}
	j.counted = waits
}

// markDirty has the job's row written with the next batch.
func (s *State) markDirty(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	s.dirty = append(s.dirty, j)
}

func (g *stage) done() bool {
	return g.tasksLeft == 0
}

func (g *stage) begun() bool {
	if g.done() || g.gangFailures > 0 {
		return true
	}
	for _, t := range g.tasks {
		if t.lastRun > 0 {
			return true
		}
	}
	return false
}

func (g *stage) anyRun() bool {
	for _, t := range g.tasks {
		if t.run != nil && t.run.phase != phasePlanned {
			return true
		}
	}
	return false
}

// queue returns the queue of a job; a queue that no configuration has named
// yet has no service, so that nothing starts.
func (s *State) queue(j *job) *Queue {
	if q := s.queues[j.Queue]; q != nil {
		return q
	}
	return &Queue{
		ID: j.Queue,
	}
}
