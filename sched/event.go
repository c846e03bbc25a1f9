package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A Worker is one life of a machine that runs tasks, as the platform lists it.
type Worker struct {
	ID       spoolsill.WorkerID
	Born     spoolsill.Birth
	Machine  string
	Service  spoolsill.ServiceID
	Hall     spoolsill.HallID
	Rack     spoolsill.RackID
	Address  string
	Labels   []string
	Capacity spoolsill.Resources
	Draining bool
	// Remaining is the least time that a draining worker stays.
	Remaining time.Duration
}

// Life returns the life that the entry speaks of.
func (w Worker) Life() spoolsill.Life {
	return spoolsill.Life{
		Worker: w.ID,
		Born:   w.Born,
	}
}

// EndKind tells how a run ended.
type EndKind uint8

// The ways in which a run ends.
const (
	EndDone           EndKind = iota // the work is done
	EndFailed                        // by its own fault or the worker's
	EndStopped                       // as ordered
	EndLeaseExpired                  // the worker's lease ran out
	EndGangBroken                    // another member of the gang ended
	EndGangIncomplete                // the other members of the gang did not come
)

var endKindNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the kind's name.
func (k EndKind) String() string {
	if int(k) >= len(endKindNames) {
		return "unknown"
	}
	return endKindNames[k]
}

// An End is a worker's word that a run has ended. Sequence counts the ends of
// one life of the worker.
type End struct {
	Sequence uint64
	Run      RunID
	Kind     EndKind
	Saved    string
}

// A RunningTask is a worker's word that it has a run.
type RunningTask struct {
	Run     RunID
	Saved   string
	Percent int
	// Load is the tail of its answers in milliseconds for a task that serves
	// users, else the processor use in millicores.
	Load int
}

// A Heartbeat is a worker's answer to a lease renewal.
type Heartbeat struct {
	// Life is the one that answered, by its own word; Asked is the one that the call was
	// for, whose fence it had.
	spoolsill.Life
	Asked spoolsill.Life
	// Sent is when the call was sent. What the answer does not list was not
	// there at that time or later, until something else was started.
	Sent    time.Time
	Clock   ClockMillis
	Running []RunningTask
	Ended   []End
	// Partial tells that more ends follow in the next answer.
	Partial bool
}

// A StartOutcome tells what became of a start order.
type StartOutcome uint8

// The outcomes of a start order.
const (
	StartTaken     StartOutcome = iota // the run is there
	StartRejected                      // the worker certainly did not start it
	StartNoRoom                        // rejected: no room at the worker
	StartNoTicket                      // rejected: the advisor's ticket was not valid
	StartUnhealthy                     // the worker takes nothing at the moment
	StartOtherLife                     // this life of the worker is over
	StartUnknown                       // no answer: it may happen until its deadline
)

var startOutcomeNames = [...]string{"taken", "rejected", "no-room", "no-ticket", "unhealthy", "other-life", "unknown"}

// String returns the outcome's name.
func (o StartOutcome) String() string {
	if int(o) >= len(startOutcomeNames) {
		return "unknown"
	}
	return startOutcomeNames[o]
}

// A StartAnswer reports on a start order. Life is the one that the order was for: which
// one carried it out is told by lists of runs alone.
type StartAnswer struct {
	spoolsill.Life
	Run     RunID
	Outcome StartOutcome
	// Doubt tells that an earlier try of the same order was not answered.
	Doubt bool
	// Deadline is the latest time on the worker's clock at which any try of
	// the order may still be carried out.
	Deadline ClockMillis
}

// A StartOrder tells a worker to start a run.
type StartOrder struct {
	spoolsill.Life
	Run    RunID
	Spec   string
	Saved  string
	Ticket string
}

// A StopOrder tells a worker to stop a run.
type StopOrder struct {
	spoolsill.Life
	Run RunID
}

// A StopAnswer reports on a stop order.
type StopAnswer struct {
	Order StopOrder
	// Taken tells that the worker stops the run, or does not have it.
	Taken bool
	// Reason tells why not.
	Reason string
}

// An AdviceOrder asks the advisor which workers may run a stage.
type AdviceOrder struct {
	Stage    StageID
	Workers  []spoolsill.Life
	Priority int
	// Urgent tells that the stage is of the first priority and can be in time.
	Urgent  bool
	Purpose Purpose
	// Cost is how long the advisor needs.
	Cost time.Duration
	// Ordered is when the question was ordered.
	Ordered time.Time
}

// A Purpose is what a question to the advisor is for.
type Purpose uint8

// The purposes of questions.
const (
	PurposeLearn Purpose = iota // which of more workers may run the stage
	PurposeWarm                 // tickets of a gang that waits are kept valid
	PurposeRenew                // room is held until the tickets are valid again
)

var purposeNames = [...]string{"learn", "keep warm", "renew"}

// String returns the purpose's name.
func (p Purpose) String() string {
	if int(p) >= len(purposeNames) {
		return "unknown"
	}
	return purposeNames[p]
}

// A Ticket allows the tasks of a stage to start at a worker.
type Ticket struct {
	Worker spoolsill.WorkerID
	Text   string
}

// Advice answers an [AdviceOrder]. Workers that were asked about and have no
// ticket may never run the stage.
type Advice struct {
	Order   AdviceOrder
	Tickets []Ticket
	// Received is when the answer came, Valid how long the tickets hold.
	Received time.Time
	Valid    time.Duration
	// Lost tells that no answer came.
	Lost bool
}

// An Ack is the highest end of a worker's life that lasts in the store.
type Ack struct {
	spoolsill.Life
	Sequence uint64
}

// A JobRow is what the store keeps of a job's progress.
type JobRow struct {
	ID    spoolsill.JobID
	Value []byte
}

// A JobStatus is what may be told of a job.
type JobStatus struct {
	ID    spoolsill.JobID
	Queue QueueID
	Team  spoolsill.TeamID // empty: nobody's, or not known any more
	State JobState
}

// A Batch is what one write makes last: Rows go into the store, and only after
// that the rest may leave the host.
type Batch struct {
	Rows     []JobRow
	Starts   []StartOrder
	Acks     []Ack
	Statuses []JobStatus
	// Ended has the jobs that need no more than their progress from now on.
	Ended []spoolsill.JobID
	// Forgotten has the jobs whose progress is to be deleted.
	Forgotten []spoolsill.JobID
}

// A NoteKind tells what a [Note] is about.
type NoteKind string

// The kinds of notes.
const (
	NotePlaced          NoteKind = "task placed"
	NoteStarted         NoteKind = "task started"
	NoteNotStarted      NoteKind = "task not started"
	NoteEnded           NoteKind = "task ended"
	NoteUncounted       NoteKind = "end not counted"
	NoteRunGone         NoteKind = "run is gone"
	NoteStop            NoteKind = "task stop ordered"
	NoteNotStopped      NoteKind = "task stop not taken"
	NoteJobEnded        NoteKind = "job ended"
	NoteWorker          NoteKind = "worker changed"
	NoteWorkerRestarted NoteKind = "worker started again"
	NoteUnknownRun      NoteKind = "unknown run at worker"
	NoteAdvised         NoteKind = "advice received"
	NoteWorkerLost      NoteKind = "worker gone with its runs"
	NoteGivenUp         NoteKind = "task given up"
)

// A Note explains one decision or change of belief, for logs.
type Note struct {
	Kind   NoteKind
	Job    spoolsill.JobID
	Run    RunID
	Worker spoolsill.WorkerID
	Reason string
	// Age is how old the input was that decided.
	Age time.Duration
	// Account is that of a job that ended, else nil.
	Account *Account
	// Gone is how many workers have gone under the run's task, where a run is gone.
	Gone int
}

// An Account tells what a job's time went to, for logs.
type Account struct {
	// Objective is the time within which it should have ended.
	Objective time.Duration
	// Advice, Room and Quota are for how long its stages waited for the advisor, for
	// room at a worker, and for its team to have less running, added up.
	Advice time.Duration
	Room   time.Duration
	Quota  time.Duration
	// Failed counts its runs that failed, Lost those whose worker was lost.
	Failed int
	Lost   int
}
