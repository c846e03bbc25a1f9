package route

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A Ticket identifies a waiting or running request of a [State].
type Ticket uint64

// An Arrival is a new request and the ticket that its caller chose for it.
type Arrival struct {
	Ticket  Ticket
	Request spoolsill.Request
}

// ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	// Dispatch sends the request to Runner, in the slot of Loan if that is set,
	// otherwise in an own slot of the host. It must be sent before Until.
	Dispatch ActionKind = iota + 1
	// Fail ends the request without an answer of a runner: the caller gets
	// Outcome, Cause and RetryAfter.
	Fail
	// Borrow asks the other hosts of the hall for Count slots.
	Borrow
	// Return returns the slots of Loans to the host To.
	Return
)

// Cause is the reason for which a request failed.
type Cause string

// The causes.
const (
	CauseDeadline     Cause = "deadline"    // it passed while the request was queued
	CauseOverload     Cause = "overload"    // the queue is full of requests that are worth more
	CauseNoRunner     Cause = "no-runner"   // no runner is known
	CauseRefused      Cause = "refused"     // runners refused it and it may not be dispatched again
	CauseFailed       Cause = "failed"      // the runner failed after it got the request
	CauseTimeout      Cause = "timeout"     // no answer came in time
	CauseCancelled    Cause = "cancelled"   // the caller went away while it was queued
	CauseStopping     Cause = "stopping"    // the host is stopping
	CauseRateLimit    Cause = "limit"       // the caller's rate is used up
	CauseDuplicateKey Cause = "claimed"     // the same key was used before
	CauseNotRecorded  Cause = "no-record"   // its start could not be recorded
	CauseBadInput     Cause = "bad-request" // the request is invalid
)

// An Action is an operation that the owner of a [State] must carry out.
type Action struct {
	Kind       ActionKind
	Ticket     Ticket
	Runner     spoolsill.RunnerID
	Loan       LoanID
	Until      time.Time
	Outcome    spoolsill.Outcome
	Cause      Cause
	RetryAfter time.Duration
	Count      int
	To         spoolsill.HostID
	Loans      []LoanID
}

// Result is the result of a dispatch.
type Result int

// The results of a dispatch.
const (
	// Answered means that the whole answer was received: the request is done.
	Answered Result = iota
	// Refused means that the request certainly did not run: the connection was
	// refused or the runner reported it.
	Refused
	// Failed means that the runner answered with an error. The slot is free.
	Failed
	// ConnectionLost means that the connection broke after the request was
	// sent. The runner may still be processing it, so the slot stays occupied
	// until its lifetime has passed.
	ConnectionLost
	// TimedOut means that no answer was received in time. The runner may still
	// be processing the request, so the slot stays occupied until
	// [State.Release] or the end of its lifetime.
	TimedOut
	// NotSent means that the host did not send the request, for example because
	// Until had passed. It implies nothing about the runner.
	NotSent
)
