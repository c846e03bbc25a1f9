package leader

import "errors"

// ErrYielded is returned by a leader that gave up for a host that is better fit to lead.
var ErrYielded = errors.New("leader: another host is better fit to lead")

// Yield has the leader give the leadership up.
func (l *Leader) Yield() {
	l.send(leadershipEnded{
		err: ErrYielded,
	})
}
