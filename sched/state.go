package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/forecast"
)

// Config configures a [State].
type Config struct {
	// Lease is the longest lease that a worker grants, by the limits of the platform.
	Lease time.Duration
	// StartLease is the maximum time after sending a start, with all its retries, for
	// which the run may go on without a lease renewal.
	StartLease time.Duration
	// TakenOver is when the leadership began. Until InheritedLease has passed, a worker
	// that has not answered yet may have runs that a former leader started, unless
	// FormerLeadersEnded has shortened that time.
	TakenOver      time.Time
	InheritedLease time.Duration
	// EntriesAge is the maximum age of the workers' entries for starting tasks, since a
	// worker's capacity may have shrunk meanwhile; 0 means no limit.
	EntriesAge time.Duration
	// Ahead is how far the times passed to the State are ahead of the time of day.
	Ahead time.Duration
	// EntryInterval is how often workers rewrite their entries; 0 if unknown. An entry that
	// is not rewritten expires after three intervals.
	EntryInterval time.Duration
	// SettleTime is the delay before anything is placed after the first worker has
	// answered under this leadership, so that the other workers are known too. Without
	// it each waiting stage queries the advisor about the first worker alone, and about
	// the rest only once that worker has had no capacity.
	SettleTime time.Duration
	// BatchBytes is the total size of its rows from which on a batch takes no more; 0 means
	// the limit of the store.
	BatchBytes int
	// MaxRowBytes is the size of the largest row that the store accepts; 0 means no limit.
	MaxRowBytes int
	// ConfigInForce is the maximum time for a configuration to reach all hosts.
	ConfigInForce time.Duration
	// KeepEnded is how long the state of a finished job is retained.
	KeepEnded time.Duration
	// StopTime is how long a worker takes to stop a run.
	StopTime time.Duration
	// DrainTime is the minimum time that a leaving worker goes on running.
	DrainTime time.Duration
	// FarFactor is the run time factor of tasks that are not near their data, and of gangs
	// spread over racks.
	FarFactor float64
}

// A State holds the workers, jobs and runs of the cell.
type State struct {
	config Config
	now    time.Time
	queues map[QueueID]*Queue
	jobs   map[spoolsill.JobID]*job
	// workers has the latest incarnation of each worker.
	workers    map[spoolsill.WorkerID]*worker
	workerList []*worker // in the order of first appearance, for deterministic placement
	// incarnations has the incarnations of each machine that are not known to be dead.
	incarnations map[string][]*worker
	evacuated    map[spoolsill.HallID]bool
	openStages   []*stage      // may have tasks to place
	rankedStages []rankedStage // the buffer of ranked
	timedStages  []*stage      // wait for their due time
	runTimes     map[QueueID]*runTimeEstimate
	adviceCosts  map[QueueID]time.Duration // of a stage; see adviceCost
	teams        map[spoolsill.TeamID]*teamState
	shares       shareState

	dirty []*job
	acks  map[spoolsill.WorkerIncarnation]uint64
	stops []StopOrder
	// stoppingRuns are the runs that have been ordered to stop and may still be there.
	stoppingRuns []*run
	// suspects are the tasks that were on lost workers; see evidence.
	suspects []*task
	// crashedAt has the machines whose workers crashed recently.
	crashedAt           map[string]time.Time
	deferredStarts      []StartOrder // recorded earlier, sent after a ticket renewal
	adviceOrders        []AdviceOrder
	queriesInFlight     int // unanswered advisor queries
	warmQueriesInFlight int // those of them that keep tickets valid
	// queueQueriesInFlight counts the unanswered advisor queries of each queue.
	queueQueriesInFlight map[QueueID]int
	advisorTime          advisorTime
	advisorSlots         int // number of queries that hosts can make concurrently
	notes                []Note
	statusUpdates        []JobStatus
	// storeRecoveredAt is when the store last became writable after an outage.
	storeRecoveredAt time.Time
	// entriesAsOf is the time up to which all changes of worker entries are known; zero
	// if none are.
	entriesAsOf    time.Time
	stuckCheckedAt time.Time // last check for runs without progress
	// inheritedUntil is the latest time at which a lease that a former leader requested may end.
	inheritedUntil time.Time
	// firstAnswerAt is when the first worker answered under this leadership.
	firstAnswerAt time.Time
	endedJobs     []endedJob
	pendingJobs   map[QueueID]int
	// outlook caches Outlook as of outlookAt.
	outlook   forecast.Outlook
	outlookAt time.Time
	// forecastError is the mean difference between the forecast and the actual end of jobs.
	forecastError time.Duration
	// overloaded has the groups of jobs that can't all be in time as of outlookAt.
	overloaded map[forecast.Group]bool
}

// New returns an empty State.
func New(c Config) *State {
	return &State{
		config:         c,
		inheritedUntil: c.TakenOver.Add(c.InheritedLease),

		queues:       map[QueueID]*Queue{},
		jobs:         map[spoolsill.JobID]*job{},
		workers:      map[spoolsill.WorkerID]*worker{},
		incarnations: map[string][]*worker{},
		runTimes:     map[QueueID]*runTimeEstimate{},
		adviceCosts:  map[QueueID]time.Duration{},
		teams:        map[spoolsill.TeamID]*teamState{},
		acks:         map[spoolsill.WorkerIncarnation]uint64{},

		crashedAt:            map[string]time.Time{},
		queueQueriesInFlight: map[QueueID]int{},
		advisorTime:          newAdvisorTime(),
		pendingJobs:          map[QueueID]int{},
		shares: shareState{
			excess: map[spoolsill.JobID]*job{},
		},
	}
}

// wallClock returns the time of day without a monotonic reading, for comparison with times
// of day from elsewhere.
func (s *State) wallClock() time.Time {
	return s.now.Round(0).Add(-s.config.Ahead)
}

// A job is a Job with its state.
type job struct {
	Job
	team      *teamState
	queue     *Queue // caches State.queue, nil if not known
	overShare bool   // exceeds its team's share while the cell is overloaded; see chargeTeams
	state     JobState
	stages    []*stage
	// activeRuns counts the runs that occupy capacity at a worker.
	activeRuns int
	stagesLeft int // stages that are not done
	dirty      bool
	// rowLimit is the size that its row may have since the store has rejected a larger one,
	// or 0.
	rowLimit int
	// criticalPaths caches the expected time of the longest dependency chain from each
	// step on, as of criticalPathsAt.
	criticalPaths   []time.Duration
	criticalPathsAt time.Time
	starts          []StartOrder // to be sent once the job's row is written
	countedPending  bool         // included in State.pendingJobs
	account         Account
}

// A stage is one step in one round of a job.
type stage struct {
	id           StageID
	job          *job
	step         *Step
	tasks        []*task
	gangFailures int // failed runs of a gang as a whole
	// lastFailedRun is the latest run of a gang with a failed member.
	lastFailedRun RunNumber
	tasksLeft     int // tasks that are not done
	waiting       int // tasks that are neither done nor have a run
	// failuresSeen is set once a task of it has failed or was lost with its worker.
	failuresSeen bool
	// failedAt has the workers where runs of it have failed.
	failedAt []spoolsill.WorkerID
	open     bool
	due      time.Time // not to be started earlier, by the wall clock
	// openedAt is when its dependencies were done.
	openedAt time.Time
	tier     tier // as of the current pass
	// key caches orderKey as of keyAt.
	key   float64
	keyAt time.Time
	// waitingFor is the reason for waiting since waitUpdatedAt.
	waitingFor    waitKind
	waitUpdatedAt time.Time
	// retryAt delays the next attempt after a rejected start or a lost query.
	retryAt time.Time
	advice  advice
	planned []*run // occupy capacity while a ticket is renewed
	// deferred are recorded orders that wait for a new ticket, since theirs expired while
	// a slow store recorded them.
	deferred []StartOrder
	// reserved are the workers reserved for the stage while it waits for capacity, and
	// reservation, for a gang, is that of the last pass.
	reserved    []*worker
	reservation *reservation
	// yielding are the runs that have to end for the stage; see run.yieldsTo.
	yielding []*run
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
	// failedOn has the workers where the task failed. Trying another one shows whether the
	// task or the worker is at fault.
	failedOn []spoolsill.WorkerIncarnation
	// evidence is the evidence that the task crashes its workers.
	evidence evidence
	// preemptions counts the runs that were stopped to free capacity for others.
	preemptions int
}

// A phase is the progress of a run's start.
type phase uint8

const (
	phasePlanned   phase = iota // capacity is occupied, nothing is recorded
	phaseRecorded               // the row is not written yet
	phaseSent                   // the order has been sent
	phaseUncertain              // unanswered: the start may be carried out until its deadline
	phaseInherited              // recorded by a former leader
	phaseConfirmed              // the worker has the run
)

// A run is one start of a task at a worker. It occupies capacity while it is in the
// worker's runs.
type run struct {
	id     RunID
	task   *task
	worker *worker
	// workerStartTime is the start time of the incarnation that the order was for. Another
	// incarnation of the same worker may have carried it out.
	workerStartTime spoolsill.StartTime
	need            spoolsill.Resources
	phase           phase
	confirmedAt     time.Time   // when the worker confirmed the run
	deadline        ClockMillis // of the latest attempt, for phaseUncertain
	startedAt       time.Time
	percent         int
	progressedAt    time.Time // when percent last changed
	stopping        bool
	stopAcceptedAt  time.Time // when the worker first accepted a stop
	nextStopAt      time.Time // when to repeat the stop order
	// yieldsTo is the stage that the worker was reserved for when the run was placed there until
	// yieldAt, or nil.
	yieldsTo *stage
	yieldAt  time.Time
	// beside is set if the run was placed on a reserved worker of which it takes nothing that the
	// reservation's stage can use.
	beside bool
}

// SetQueues applies the queues of the latest configuration. Queues that it lacks are kept
// for their remaining jobs. Stages whose next attempt was delayed are tried again, since the reason
// may be gone.
func (s *State) SetQueues(queues []Queue) {
	for _, q := range queues {
		s.queues[q.ID] = &q
	}
	for _, j := range s.jobs {
		j.queue = nil
	}
	for _, g := range s.openStages {
		g.retryAt = time.Time{}
	}
}

// Job returns the status of a job. It reports false if the job is not known.
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

// StatusUpdates returns the status of the jobs that were added or have started since the
// last call. It may be published at once, since it need not be durable.
func (s *State) StatusUpdates() []JobStatus {
	t := s.statusUpdates
	s.statusUpdates = nil
	return t
}

// PendingJobs returns the number of accepted jobs of each queue that have not started.
func (s *State) PendingJobs() map[QueueID]int {
	w := make(map[QueueID]int, len(s.pendingJobs))
	for q, n := range s.pendingJobs {
		w[q] = n
	}
	return w
}

// Notes returns the notes since the last call.
func (s *State) Notes() []Note {
	n := s.notes
	s.notes = nil
	return n
}

func (s *State) note(n Note) {
	s.notes = append(s.notes, n)
}

// setState sets the state of a job and updates the number of pending jobs.
func (s *State) setState(j *job, to JobState) {
	j.state = to
	waits := to == Pending && j.Rounds == 0
	if waits && !j.countedPending {
		s.pendingJobs[j.Queue]++
	}
	if !waits && j.countedPending {
		s.pendingJobs[j.Queue]--
	}
	j.countedPending = waits
}

// markDirty schedules the job's row for the next batch.
func (s *State) markDirty(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	s.dirty = append(s.dirty, j)
}

// setRun sets the current run of a task, nil for none.
func (t *task) setRun(r *run) {
	before := t.waits()
	t.run = r
	t.countWait(before)
}

func (t *task) setDone() {
	before := t.waits()
	t.done = true
	t.countWait(before)
}

// waits reports whether the task needs a worker.
func (t *task) waits() bool {
	return !t.done && t.run == nil
}

// countWait updates the number of waiting tasks of the stage after a change of a task.
func (t *task) countWait(before bool) {
	if before && !t.waits() {
		t.stage.waiting--
	}
	if !before && t.waits() {
		t.stage.waiting++
	}
}

func (g *stage) done() bool {
	return g.tasksLeft == 0
}

func (g *stage) started() bool {
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

func (g *stage) hasRuns() bool {
	for _, t := range g.tasks {
		if t.run != nil && t.run.phase != phasePlanned {
			return true
		}
	}
	return false
}

// queue returns the queue of a job. A queue that no configuration has named yet has no
// service, so that nothing starts.
func (s *State) queue(j *job) *Queue {
	if j.queue == nil {
		j.queue = s.queues[j.Queue]
	}
	if j.queue != nil {
		return j.queue
	}
	return &Queue{
		ID: j.Queue,
	}
}
