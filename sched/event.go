package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A Worker is the platform's entry for one incarnation of a machine that runs tasks.
type Worker struct {
	ID       spoolsill.WorkerID
	Born     spoolsill.StartTime
	Machine  string
	Service  spoolsill.ServiceID
	Hall     spoolsill.HallID
	Rack     spoolsill.RackID
	Address  string
	Labels   []string
	Capacity spoolsill.Resources
	Draining bool
	// Remaining is the least time for which a draining worker still runs.
	Remaining time.Duration
	// Version is the version of the entry, which rises with each write.
	Version EntryVersion
}

// An EntryVersion is the version of a worker's entry; 0 if it is not known.
type EntryVersion uint64

// Incarnation returns the incarnation that the entry is for.
func (w Worker) Incarnation() spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker:    w.ID,
		StartTime: w.Born,
	}
}

// An EndKind describes how a run ended.
type EndKind uint8

// The ways in which a run ends.
const (
	EndDone           EndKind = iota // the work is done
	EndFailed                        // the task or the worker is at fault
	EndStopped                       // by a stop order
	EndLeaseExpired                  // the worker's lease expired
	EndGangBroken                    // another member of the gang ended
	EndGangIncomplete                // the other members of the gang did not start
)

var endKindNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of k as it appears in logs and metrics.
func (k EndKind) String() string {
	if int(k) >= len(endKindNames) {
		return "unknown"
	}
	return endKindNames[k]
}

// An End is a worker's report that a run has ended. Sequence numbers the ends of one
// incarnation of the worker.
type End struct {
	Sequence uint64
	Run      RunID
	Kind     EndKind
	Saved    string
}

// A RunningTask is a worker's report of a run that it has.
type RunningTask struct {
	Run     RunID
	Saved   string
	Percent int
	// Load is the tail latency of its answers in milliseconds for a task that serves
	// users, otherwise its processor use in millicores.
	Load int
}

// A Heartbeat is a worker's answer to a lease renewal.
type Heartbeat struct {
	// WorkerIncarnation is the incarnation that answered, as it reported itself; Asked is
	// the incarnation that the call was for, whose fence it carried.
	spoolsill.WorkerIncarnation
	Asked spoolsill.WorkerIncarnation
	// Sent is when the call was sent. A run that the answer does not list was not at the
	// worker at that time, and is not there later unless another start order is carried
	// out.
	Sent    time.Time
	Clock   ClockMillis
	Running []RunningTask
	Ended   []End
	// Partial is set when more ends follow in the next answer.
	Partial bool
}

// A StartOutcome is the result of a start order.
type StartOutcome uint8

// The outcomes of a start order.
const (
	StartAccepted         StartOutcome = iota // the worker has the run
	StartRejected                             // certainly not started, for a reason that is not listed here
	StartNoCapacity                           // rejected: not enough free capacity at the worker
	StartNoTicket                             // rejected: the advisor's ticket was not valid
	StartUnhealthy                            // the worker accepts no starts at the moment, or no try reached it
	StartOtherIncarnation                     // rejected: the incarnation that the order was for has ended
	StartUnknown                              // no answer: the order may be carried out until its deadline
)

var startOutcomeNames = [...]string{"taken", "rejected", "no-room", "no-ticket", "unhealthy", "other-life", "unknown"}

// String returns the name of o as it appears in logs and metrics.
func (o StartOutcome) String() string {
	if int(o) >= len(startOutcomeNames) {
		return "unknown"
	}
	return startOutcomeNames[o]
}

// A StartAnswer reports the result of a start order. WorkerIncarnation is the one that the
// order was for; which incarnation carried the order out is known only from its list of
// runs.
type StartAnswer struct {
	spoolsill.WorkerIncarnation
	Run     RunID
	Outcome StartOutcome
	// Doubt is set when an earlier try of the same order was not answered.
	Doubt bool
	// Deadline is the latest time on the worker's clock at which any try of
	// the order may still be carried out.
	Deadline ClockMillis
}

// A StartOrder tells a worker to start a run.
type StartOrder struct {
	spoolsill.WorkerIncarnation
	Run    RunID
	Spec   string
	Saved  string
	Ticket string
}

// A StopOrder tells a worker to stop a run.
type StopOrder struct {
	spoolsill.WorkerIncarnation
	Run RunID
}

// A StopAnswer reports the result of a stop order.
type StopAnswer struct {
	Order StopOrder
	// Taken is set when the worker stops the run, or does not have it.
	Taken bool
	// Reason is why the order was not taken.
	Reason string
}

// An AdviceOrder is a query to the advisor about which workers may run a stage.
type AdviceOrder struct {
	// Number tells the queries of a State apart.
	Number   uint64
	Stage    StageID
	Queue    QueueID
	Workers  []spoolsill.WorkerIncarnation
	Priority int
	// Urgent is set when the stage has the highest priority and can still meet its
	// objective.
	Urgent  bool
	Purpose Purpose
	// Cost is how long the advisor is expected to take for the answer.
	Cost time.Duration
	// Ordered is when the query was queued.
	Ordered time.Time
}

// A Purpose is the reason for a query to the advisor.
type Purpose uint8

// The purposes of queries.
const (
	PurposeLearn Purpose = iota // which additional workers may run the stage
	PurposeWarm                 // renews the tickets of a stage that waits for capacity before they expire
	PurposeRenew                // renews tickets while capacity is held for their runs
)

var purposeNames = [...]string{"learn", "keep warm", "renew"}

// String returns the name of p as it appears in logs.
func (p Purpose) String() string {
	if int(p) >= len(purposeNames) {
		return "unknown"
	}
	return purposeNames[p]
}

// A Ticket permits the tasks of a stage to start at a worker.
type Ticket struct {
	Worker spoolsill.WorkerID
	Text   string
}

// Advice answers an [AdviceOrder]. Workers that were asked about and have no ticket are
// never allowed to run the stage.
type Advice struct {
	Order   AdviceOrder
	Tickets []Ticket
	// Received is when the answer arrived, Valid how long its tickets are valid.
	Received time.Time
	Valid    time.Duration
	// Lost is set when no answer arrived.
	Lost bool
}

// An Ack acknowledges the ends of a worker's incarnation up to Sequence: their effect is
// stored.
type Ack struct {
	spoolsill.WorkerIncarnation
	Sequence uint64
}

// A JobRow is the stored progress of a job.
type JobRow struct {
	ID    spoolsill.JobID
	Value []byte
}

// A JobStatus is the state of a job as clients may see it.
type JobStatus struct {
	ID    spoolsill.JobID
	Queue QueueID
	Team  spoolsill.TeamID // empty if the job has none or it is no longer known
	State JobState
}

// A Batch is the unit of one write to the store. Starts, Acks and Statuses may leave the
// host only after Rows have been written.
type Batch struct {
	Rows     []JobRow
	Starts   []StartOrder
	Acks     []Ack
	Statuses []JobStatus
	// Ended has the jobs of which only the progress is needed from now on.
	Ended []spoolsill.JobID
	// Forgotten has the jobs whose progress is to be deleted.
	Forgotten []spoolsill.JobID
}

// A NoteKind is the subject of a [Note].
type NoteKind string

// The kinds of notes.
const (
	NotePlaced          NoteKind = "task placed"
	NoteStarted         NoteKind = "task started"
	NoteNotStarted      NoteKind = "task not started"
	NoteEnded           NoteKind = "task ended"
	NoteEndNotCounted   NoteKind = "end not counted"
	NoteRunGone         NoteKind = "run is gone"
	NoteStopOrdered     NoteKind = "task stop ordered"
	NoteStopNotAccepted NoteKind = "task stop not taken"
	NoteJobEnded        NoteKind = "job ended"
	NoteWorkerChanged   NoteKind = "worker changed"
	NoteEvacuated       NoteKind = "halls evacuated"
	NoteWorkerRestarted NoteKind = "worker started again"
	NoteUnknownRun      NoteKind = "unknown run at worker"
	NoteAdvised         NoteKind = "advice received"
	NoteWorkerLost      NoteKind = "worker gone with its runs"
	NoteTaskGivenUp     NoteKind = "task given up"
	NoteRowRejected     NoteKind = "row rejected for good"
)

// A Note explains a decision or a change of state, for logs.
type Note struct {
	Kind   NoteKind
	Job    spoolsill.JobID
	Run    RunID
	Worker spoolsill.WorkerID
	Reason string
	// Age is the age of the information that the decision was based on, or of the run or
	// job that the note is about.
	Age time.Duration
	// Account is set for a job that has ended.
	Account *Account
	// Gone is set for a run that is gone. It is the number of workers that were lost with
	// runs of its task and count as evidence against it.
	Gone int
}

// An Account summarizes, for logs, what delayed a job.
type Account struct {
	// Objective is the time within which the job should have ended.
	Objective time.Duration
	// Forecast is the time within which it was expected to end when it was accepted; 0 if
	// that is not known.
	Forecast time.Duration
	// Advice, Room and Quota are the times that the job's stages waited for the advisor,
	// for capacity at a worker, and for their team to fall below its quota, added up.
	Advice time.Duration
	Room   time.Duration
	Quota  time.Duration
	// Share is the part of Advice and Room in which the job exceeded the share of its team.
	Share time.Duration
	// Failed counts the job's runs that failed, Lost those whose worker was lost.
	Failed int
	Lost   int
}
