package place

import (
	"errors"
	"fmt"
	"time"

	"github.com/spoolsill/spoolsill"
)

// ErrInvalidRecord is returned for a record that contradicts the state, which
// is left unchanged.
var ErrInvalidRecord = errors.New("place: record does not fit the state")

// RecordKind is the kind of a [Record]. The numbers are stored in journals and
// are never reused.
type RecordKind uint8

// The kinds of records.
const (
	JobAdded          RecordKind = 1  // Job is queued
	JobCancelled      RecordKind = 2  // tasks of Task.Job are not placed any more
	TaskPlaced        RecordKind = 3  // Task is allocated capacity of Worker
	TaskRunning       RecordKind = 4  // Worker confirmed the start
	TaskCheckpointing RecordKind = 5  // Worker is asked to checkpoint and stop
	TaskStopping      RecordKind = 6  // Worker is asked to stop
	TaskRequeued      RecordKind = 7  // Task has left its worker and waits again
	TaskEnded         RecordKind = 8  // Task reached the final State
	PlanApplied       RecordKind = 9  // Plan was confirmed
	RuntimesLearned   RecordKind = 10 // Ratios are those of Team and JobKind; only in snapshots
)

// Cause is the reason for which a record was written.
type Cause uint8

// The causes of records. The numbers are stored in journals.
const (
	CauseNone           Cause = 0
	CauseFits           Cause = 1
	CausePreempted      Cause = 2
	CauseCancelled      Cause = 3
	CauseExited         Cause = 4
	CauseFailed         Cause = 5
	CauseRefused        Cause = 6 // the worker refused the start
	CauseWorkerLost     Cause = 7 // all leases on the worker have expired
	CauseTaskNotFound   Cause = 8 // the worker does not know the task
	CauseDrained        Cause = 9
	CauseNoAttemptsLeft Cause = 10 // MaxAttempts is reached
	CauseOveruse        Cause = 11 // it used more than it declared for too long
	CauseGangMemberLost Cause = 12 // another task of its gang was lost
	CauseOperator       Cause = 13
	CauseExpired        Cause = 14
)

var causeTexts = map[Cause]string{
	CauseNone:           "",
	CauseFits:           "it fits the worker",
	CausePreempted:      "urgent work needed the worker",
	CauseCancelled:      "the job was cancelled",
	CauseExited:         "it ran to its end",
	CauseFailed:         "it ran and failed",
	CauseRefused:        "the worker did not take the start",
	CauseWorkerLost:     "the worker was silent until every lease on it had lapsed",
	CauseTaskNotFound:   "the worker does not know the task",
	CauseDrained:        "the worker is leaving",
	CauseNoAttemptsLeft: "all its tries failed",
	CauseOveruse:        "it used far more than it declared",
	CauseGangMemberLost: "another task of its gang was lost",
	CauseOperator:       "an operator confirmed it",
	CauseExpired:        "its lease ended without a renewal, and the worker ended it",
}

// String returns a description of the cause.
func (c Cause) String() string {
	return causeTexts[c]
}

// A Record is one change of a [State], as stored in the journal.
type Record struct {
	Kind    RecordKind          `msgpack:"k"`
	At      int64               `msgpack:"a"` // Unix time in microseconds
	Job     *spoolsill.Job      `msgpack:"j,omitempty"`
	Task    spoolsill.TaskID    `msgpack:"t,omitempty"`
	Worker  spoolsill.WorkerID  `msgpack:"w,omitempty"`
	Attempt spoolsill.Attempt   `msgpack:"n,omitempty"`
	State   spoolsill.TaskState `msgpack:"s,omitempty"`
	Cause   Cause               `msgpack:"c,omitempty"`
	// Ready is when a requeued task may be placed again, as Unix time in
	// microseconds.
	Ready   int64            `msgpack:"r,omitempty"`
	Plan    spoolsill.PlanID `msgpack:"p,omitempty"`
	Ratios  *RuntimeRatios   `msgpack:"q,omitempty"`
	Team    spoolsill.TeamID `msgpack:"m,omitempty"`
	JobKind spoolsill.Kind   `msgpack:"e,omitempty"`
}

// Time returns when the record was written.
func (r Record) Time() time.Time {
	return time.UnixMicro(r.At)
}

func invalidRecord(r Record, format string, args ...any) error {
	return fmt.Errorf("%w: kind %d task %s: %s", ErrInvalidRecord, r.Kind, r.Task, fmt.Sprintf(format, args...))
}
