package leader

import "errors"

// ErrYielded is returned by a leader that released the leadership to a host that is better
// fit to lead.
var ErrYielded = errors.New("leader: another host is better fit to lead")

// Yield makes the leader release the leadership.
func (l *Leader) Yield() {
	l.send(leadershipEnded{
		err: ErrYielded,
	})
}
