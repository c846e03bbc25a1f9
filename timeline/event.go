package timeline

import "github.com/spoolsill/spoolsill"

// Kind classifies events.
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

// An Event records an action or observation of a process. Fields that do not apply
// are empty.
type Event struct {
	At      Timestamp            `json:"at"`
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

// A Filter selects events. An empty field matches all events.
type Filter struct {
	Job     spoolsill.JobID
	Task    string
	Request spoolsill.RequestKey
	Worker  spoolsill.WorkerID
	Hall    spoolsill.HallID
	// After matches only events with a later timestamp.
	After Timestamp
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
