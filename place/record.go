package place

import (
	"errors"
	"fmt"
	"time"

	"github.com/spoolsill/spoolsill"
)

// ErrInvalidRecord is returned for a record that does not fit the state. Nothing was
// changed.
var ErrInvalidRecord = errors.New("place: record does not fit the state")

// RecordKind tells records apart. The numbers are kept in journals: they are
// never reused.
type RecordKind uint8

// The kinds of records.
const (
	JobAdded          RecordKind = 1  // Job is queued
	JobCancelled      RecordKind = 2  // Task.Job takes no more placements
	TaskPlaced        RecordKind = 3  // Task gets capacity of Worker
	TaskRunning       RecordKind = 4  // Worker confirmed the start
	TaskCheckpointing RecordKind = 5  // Worker is asked to checkpoint and stop
	TaskStopping      RecordKind = 6  // Worker is asked to stop
	TaskRequeued      RecordKind = 7  // Task left its worker and waits again
	TaskEnded         RecordKind = 8  // Task reached the final State
	PlanApplied       RecordKind = 9  // Plan was confirmed
	RuntimesLearned   RecordKind = 10 // snapshot of what was learnt of run times
)

// Cause says why a record was written.
type Cause uint8

// The causes of records. The numbers are kept in journals.
const (
	CauseNone           Cause = 0
	CauseFits           Cause = 1
	CausePreempted      Cause = 2
	CauseCancelled      Cause = 3
	CauseExited         Cause = 4
	CauseFailed         Cause = 5
	CauseRefused        Cause = 6 // the worker did not take the start
	CauseWorkerLost     Cause = 7 // every lease on the worker lapsed
	CauseTaskNotFound   Cause = 8 // the worker knows nothing of the task
	CauseDrained        Cause = 9
	CauseNoAttemptsLeft Cause = 10 // all tries are used up
	CauseOveruse        Cause = 11 // used far more than it declared
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

// String returns the cause in words.
func (c Cause) String() string {
	return causeTexts[c]
}

// A Record is one change of a [State], as it is kept in the journal.
type Record struct {
	Kind    RecordKind          `msgpack:"k"`
	At      int64               `msgpack:"a"` // Unix time in microseconds
	Job     *spoolsill.Job      `msgpack:"j,omitempty"`
	Task    spoolsill.TaskID    `msgpack:"t,omitempty"`
	Worker  spoolsill.WorkerID  `msgpack:"w,omitempty"`
	Attempt spoolsill.Attempt   `msgpack:"n,omitempty"`
	State   spoolsill.TaskState `msgpack:"s,omitempty"`
	Cause   Cause               `msgpack:"c,omitempty"`
	// Ready is when a requeued task may be tried again, in microseconds.
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

func refuse(r Record, format string, args ...any) error {
	return fmt.Errorf("%w: kind %d task %s: %s", ErrInvalidRecord, r.Kind, r.Task, fmt.Sprintf(format, args...))
}
