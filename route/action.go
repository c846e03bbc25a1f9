package route

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A Ticket names one waiting or running request of a [State].
type Ticket uint64

// An Arrival is a request that arrives.
type Arrival struct {
	Ticket  Ticket
	Request spoolsill.Request
}

// ActionKind tells actions apart.
type ActionKind int

// The kinds of actions.
const (
	// Dispatch sends the request to Runner, in the slot of Loan if it is set,
	// else in a slot of the host's own. It must be sent before Until.
	Dispatch ActionKind = iota + 1
	// Fail answers the caller with Outcome, Cause and RetryAfter.
	Fail
	// Borrow asks the other hosts of the hall for Count slots.
	Borrow
	// Return gives the slots of Loans back to the host To.
	Return
)

// Cause says why a request was settled without an answer.
type Cause string

// The causes.
const (
	CauseDeadline     Cause = "deadline"    // it passed in the queue
	CauseOverload     Cause = "overload"    // work that is worth more fills the queue
	CauseNoRunner     Cause = "no-runner"   // no runner is known
	CauseRefused      Cause = "refused"     // runners refused it and no try is left
	CauseFailed       Cause = "failed"      // the runner failed after it got the request
	CauseTimeout      Cause = "timeout"     // no answer came in time
	CauseCancelled    Cause = "cancelled"   // the caller left while it waited
	CauseStopping     Cause = "stopping"    // the host is stopping
	CauseRateLimit    Cause = "limit"       // the caller's rate is used up
	CauseDuplicateKey Cause = "claimed"     // the same key was used before
	CauseNotRecorded  Cause = "no-record"   // it could not be recorded that the request runs
	CauseBadInput     Cause = "bad-request" // the request can't be accepted
)

// An Action is what the caller of a [State] has to do.
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

// Result is what became of one dispatch.
type Result int

// The results of a dispatch.
const (
	// Answered says that the whole answer came: the request is done.
	Answered Result = iota
	// Refused says that the request certainly did not run there: the
	// connection was refused or the runner said so.
	Refused
	// Failed says that the runner answered that it failed. The slot is free.
	Failed
	// ConnectionLost says that the connection broke after the request was sent. The
	// runner may be at work on it still: the slot stays taken until its
	// lifetime has passed.
	ConnectionLost
	// TimedOut says that no answer came in time. The request may occupy the
	// runner still: the slot stays taken until [State.Release].
	TimedOut
	// NotSent says that the host itself did not send it, for example because
	// Until had passed. It says nothing about the runner.
	NotSent
)
