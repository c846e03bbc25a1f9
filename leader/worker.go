package leader

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A Target is one incarnation of a worker and its address. A call carries only the id of the
// worker, so the next incarnation under that id takes it as addressed to itself.
type Target struct {
	spoolsill.WorkerIncarnation
	Address string
	Hall    spoolsill.HallID
}

// A Renewal asks a worker to renew the lease of all its runs and to list them.
type Renewal struct {
	Target
	Fence spoolsill.Epoch
	// Deadline is when the lease ends, on the worker's clock; 0 renews nothing.
	Deadline sched.ClockMillis
	// LastAcked is the highest sequence number of an end that is stored. The worker
	// discards the ends up to it.
	LastAcked uint64
	// Wait is how long the worker may wait for the end of a run before it responds.
	Wait time.Duration
	// Timeout is how long to wait, beyond Wait, for the first byte of the response. A response
	// that has begun is read to its end as long as data arrives: a worker lists up to 500
	// ends, and many such responses at once saturate a slow link. 0 means the default of the
	// platform's client.
	Timeout time.Duration
}

// A Start orders a worker to start a run.
type Start struct {
	Target
	Fence spoolsill.Epoch
	// Deadline is when the order expires, on the worker's clock.
	Deadline sched.ClockMillis
	Order    sched.StartOrder
	// Keeper is the partition of the jobs table with the job's row: the id of the host that
	// accepted the job; "" when it is not known.
	Keeper string
	// Timeout is how long to wait for the response; 0 is as in [Renewal].
	Timeout time.Duration
}

// A Stop orders a worker to stop a run.
type Stop struct {
	Target
	Fence spoolsill.Epoch
	Run   sched.RunID
	// Timeout is how long to wait for the response; 0 is as in [Renewal].
	Timeout time.Duration
}

// A ReplyKind is the outcome of a call to a worker.
type ReplyKind uint8

// The kinds of replies.
const (
	Accepted          ReplyKind = iota // carried out, now or by an earlier try
	Rejected                           // the request is invalid
	Fenced                             // the worker has seen a higher fence
	NoCapacity                         // the worker lacks capacity
	NoTicket                           // the ticket is not valid
	TooLate                            // the order's deadline has passed
	RunEnded                           // this run or a later one of the task has ended on the worker
	Unhealthy                          // the worker accepts nothing at the moment
	OtherIncarnation                   // another worker, or another incarnation, answers at the address
	Unreachable                        // the request was not sent
	ConnectionRefused                  // the request was not sent: nothing listens at the address
	NoAnswer                           // no response; the request may have been carried out, or may be later
)

var replyKindNames = [...]string{
	"taken", "rejected", "fenced", "no room", "no ticket", "too late",
	"run is over", "unhealthy", "other life", "unreachable", "nobody there", "no answer",
}

// String returns the name of the kind.
func (k ReplyKind) String() string {
	if int(k) >= len(replyKindNames) {
		return "unknown"
	}
	return replyKindNames[k]
}

// A Reply is a worker's response to a call.
type Reply struct {
	Kind ReplyKind
	// Clock is the time of the worker's clock; 0 if it is not known.
	Clock sched.ClockMillis
	// Err is set for every kind but Accepted.
	Err error
}

// Workers makes calls to workers.
type Workers interface {
	Renew(ctx context.Context, r Renewal) (sched.Heartbeat, Reply)
	Start(ctx context.Context, s Start) Reply
	Stop(ctx context.Context, s Stop) Reply
}
