package timeline

import "github.com/spoolsill/spoolsill"

// Kind sorts events.
type Kind string

// The kinds of events.
const (
	KindDecision   Kind = "decision"
	KindDispatch   Kind = "dispatch"
	KindOutcome    Kind = "outcome"
	KindLease      Kind = "lease"
	KindConfig     Kind = "config"
	KindMembership Kind = "membership"
	KindFault      Kind = "fault"
	KindOperator   Kind = "operator"
)

// An Event is one thing that a process did or saw. Fields that do not apply
// are empty.
type Event struct {
	At      Stamp                `json:"at"`
	Host    spoolsill.HostID     `json:"host"`
	Hall    spoolsill.HallID     `json:"hall"`
	Kind    Kind                 `json:"kind"`
	Job     spoolsill.JobID      `json:"job,omitempty"`
	Task    string               `json:"task,omitempty"`
	Request spoolsill.RequestKey `json:"request,omitempty"`
	Worker  spoolsill.WorkerID   `json:"worker,omitempty"`
	Runner  spoolsill.RunnerID   `json:"runner,omitempty"`
	Text    string               `json:"text"`
}

// A Filter selects events. An empty field selects all.
type Filter struct {
	Job     spoolsill.JobID
	Task    string
	Request spoolsill.RequestKey
	Worker  spoolsill.WorkerID
	Hall    spoolsill.HallID
	// After selects only events with a later stamp.
	After Stamp
}

// Match reports whether f selects e.
func (f Filter) Match(e Event) bool {
	return e.At.Compare(f.After) > 0 &&
		(f.Job == "" || f.Job == e.Job) &&
		(f.Task == "" || f.Task == e.Task) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Worker == "" || f.Worker == e.Worker) &&
		(f.Hall == "" || f.Hall == e.Hall)
}
