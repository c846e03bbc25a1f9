package node

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
)

// A followed is the latest leadership of a host that has counted this host as a follower.
type followed struct {
	epoch spoolsill.Epoch
	stamp leader.Stamp
	sent  time.Time // when the latest counted heartbeat was sent
}

// confirmFollowing returns the stamp to send to the leader in h. It reports false if this host must not be
// counted, since it is taking over or leads.
func (n *Node) confirmFollowing(h leader.Head) (leader.Stamp, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.candidate {
		return 0, false
	}
	f := n.followed[h.Host]
	if f.epoch != h.Epoch {
		return 0, true
	}
	return f.stamp, true
}

// recordFollowing records the reply to a heartbeat that was sent at the given time. Stamps of replies that
// arrive while this host is taking over are ignored: sent back later, they would prove that it followed
// when it already led.
func (n *Node) recordFollowing(h leader.Head, r heartbeatReply, sent time.Time) {
	if !r.Counted || r.Epoch != h.Epoch {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.candidate {
		return
	}
	if n.followed == nil {
		n.followed = map[spoolsill.HostID]followed{}
	}
	n.followed[h.Host] = followed{
		epoch: r.Epoch,
		stamp: r.Stamp,
		sent:  sent,
	}
}

// setCandidate records whether this host is taking over or leads.
func (n *Node) setCandidate(candidate bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.candidate = candidate
}

// countedBy reports whether the leader of an epoch certainly counts this host as a follower at now, if it
// has written anything shortly before.
func (n *Node) countedBy(host spoolsill.HostID, epoch spoolsill.Epoch, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.followed[host]
	return epoch != 0 && f.epoch == epoch && now.Sub(f.sent) <= leader.FollowerMemory
}
