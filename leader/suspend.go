package leader

import (
	"errors"
	"time"
)

// maxSuspended is the total time for which the machine may be suspended during one
// leadership: a fraction of the shortest takeover time, 0.15 s, so that no other host can
// have taken over while this leader still acts on its state and sends pending calls.
const maxSuspended = 50 * time.Millisecond

// ErrSuspended is returned by a leader whose machine was suspended. Its timers did not run
// meanwhile, so its decisions and its view of the cell may be out of date.
var ErrSuspended = errors.New("leader: this machine was suspended")

// suspended reports whether the machine was suspended during this leadership. It is checked
// before anything is sent or reported. It is safe for concurrent use.
func (l *Leader) suspended() bool {
	return l.config.Clock.SuspendedTime()-l.config.Sched.Ahead > maxSuspended
}

// unsentReply is the reply to an order that was not sent because the machine was suspended.
func unsentReply() Reply {
	return Reply{
		Kind: Unreachable,
		Err:  ErrSuspended,
	}
}
