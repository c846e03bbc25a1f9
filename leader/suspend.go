package leader

import (
	"errors"
	"time"
)

// suspendedMost is for how long in all the machine may be suspended under one
// leadership: a fraction of the least time after which another host takes over, 0.15 s,
// so that what this one believes and is waiting to send is of no later leader's time.
const suspendedMost = 50 * time.Millisecond

// ErrSuspended is returned by a leader whose machine was suspended: timers stood still,
// and what was decided, recorded or believed before is of a time that is over.
var ErrSuspended = errors.New("leader: this machine was suspended")

// suspended reports whether the machine was suspended under this leadership. It is
// safe for concurrent use, and asked before anything is sent or told.
func (l *Leader) suspended() bool {
	return l.config.Clock.SuspendedTime()-l.config.Sched.Ahead > suspendedMost
}

// unsent is the reply to an order that the leader did not send since it was suspended.
func unsent() Reply {
	return Reply{
		Kind: Unreachable,
		Err:  ErrSuspended,
	}
}
