package spoolsill

import "time"

// Outcome is the result of a request. The outcomes are distinct on the wire.
type Outcome string

// The outcomes of a request.
const (
	OutcomeDone    Outcome = "done"    // it ran and its complete response is available
	OutcomeNotRun  Outcome = "not-run" // it certainly did not run
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// A Request holds what the scheduler needs to know about a request to a service.
type Request struct {
	Key      RequestKey
	Caller   CallerID
	Service  ServiceID
	Class    Class
	Deadline time.Time
	// Worth is the value of a response by Deadline.
	Worth int
	// Fade is the time after Deadline over which the worth decreases linearly to 0.
	// Patient work has a Fade; without one, a late response is worth nothing.
	Fade time.Duration
	// Unrepeatable requests run at most once.
	Unrepeatable bool
	// Issued is when the caller created Key.
	Issued time.Time
}

// WorthAt returns the worth of a response at time t.
func (r Request) WorthAt(t time.Time) float64 {
	late := t.Sub(r.Deadline)
	if late <= 0 {
		return float64(r.Worth)
	}
	if late >= r.Fade {
		return 0
	}
	return float64(r.Worth) * (1 - float64(late)/float64(r.Fade))
}

// Expires returns the time from which a response is worth nothing.
func (r Request) Expires() time.Time {
	return r.Deadline.Add(r.Fade)
}
