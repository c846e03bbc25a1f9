package leader

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A Target is one life of a worker and where it is reached. A call names the worker by its
// id alone: the next life under that id takes it for its own.
type Target struct {
	spoolsill.Life
	Address string
	Hall    spoolsill.HallID
}

// A Renewal asks a worker to renew the lease of all that runs there and to
// tell what does.
type Renewal struct {
	Target
	Fence spoolsill.Epoch
	// Deadline is when the lease ends, on the worker's clock; 0 renews nothing.
	Deadline sched.ClockMillis
	// LastAcked is the highest end that lasts in the store: the worker forgets
	// it and those before.
	LastAcked uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
	// Within is how much longer the beginning of the answer is waited for. An
	// answer that has begun is read to its end for as long as it goes on: a worker
	// lists up to 500 ends, and many of them at once fill a small link. 0 means that
	// the client of the platform sets the limit.
	Within time.Duration
}

// A Start orders a worker to start a run.
type Start struct {
	Target
	Fence spoolsill.Epoch
	// Deadline is when the order loses its force, on the worker's clock.
	Deadline sched.ClockMillis
	Order    sched.StartOrder
	// Keeper names the partition of the jobs table that keeps the job; empty when it is
	// not known.
	Keeper string
	// Within is how long the answer is waited for; 0 is as for [Renewal].
	Within time.Duration
}

// A Stop orders a worker to stop a run.
type Stop struct {
	Target
	Fence spoolsill.Epoch
	Run   sched.RunID
	// Within is how long the answer is waited for; 0 is as for [Renewal].
	Within time.Duration
}

// A ReplyKind tells what a worker made of an order.
type ReplyKind uint8

// The kinds of replies.
const (
	Accepted          ReplyKind = iota // carried out, or it was so already
	Rejected                           // not understood
	Fenced                             // it has seen a later leader
	NoRoom                             // it guards its capacity
	NoTicket                           // the ticket does not hold
	TooLate                            // the order's deadline is over
	RunEnded                           // this run or a later one has ended there
	Unhealthy                          // it takes nothing at the moment
	OtherLife                          // the address answers for another life
	Unreachable                        // the order was not sent
	ConnectionRefused                  // the same: nothing listens at the address
	NoAnswer                           // it may have been carried out, or may be later
)

var replyKindNames = [...]string{
	"taken", "rejected", "fenced", "no room", "no ticket", "too late",
	"run is over", "unhealthy", "other life", "unreachable", "nobody there", "no answer",
}

// String returns the kind's name.
func (k ReplyKind) String() string {
	if int(k) >= len(replyKindNames) {
		return "unknown"
	}
	return replyKindNames[k]
}

// A Reply is a worker's answer to an order.
type Reply struct {
	Kind ReplyKind
	// Clock is the worker's clock; 0 if it did not say.
	Clock sched.ClockMillis
	// Err explains every kind but Accepted.
	Err error
}

// Workers gives orders to workers.
type Workers interface {
	Renew(ctx context.Context, r Renewal) (sched.Heartbeat, Reply)
	Start(ctx context.Context, s Start) Reply
	Stop(ctx context.Context, s Stop) Reply
}
