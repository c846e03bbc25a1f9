package spoolsill

import "time"

// Outcome is what became of a request. The three are distinct on the wire.
type Outcome string

// The outcomes of a request.
const (
	Done    Outcome = "done"    // it ran and its whole answer is here
	NotRun  Outcome = "not-run" // it is certain that it did not run
	Unknown Outcome = "unknown" // it may have run
)

// A Request is what the scheduler has to know of one call of a service.
type Request struct {
	Key      RequestKey
	Caller   CallerID
	Service  ServiceID
	Class    Class
	Deadline time.Time
	// Worth is what an answer by Deadline is worth.
	Worth int
	// Fade is how long after Deadline the worth takes to fall to nothing.
	// Patient work has a Fade; 0 means that a late answer is worth nothing.
	Fade time.Duration
	// Unrepeatable requests run at most once.
	Unrepeatable bool
	// Issued is when the caller made the key.
	Issued time.Time
}

// WorthAt returns what an answer at time t is worth.
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

// Expires returns the time from which an answer is worth nothing.
func (r Request) Expires() time.Time {
	return r.Deadline.Add(r.Fade)
}
