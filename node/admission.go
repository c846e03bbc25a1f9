package node

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill/leader"
)

// answerMost is for how long answers of workers may be under way for all jobs to be
// taken: they take two milliseconds, from hosts that are slowed some twenty, and on a
// link that is full more with each job.
const answerMost = 120 * time.Millisecond

// refusedFor is for how long a share counts that a leader has told: a leader that is slow
// is waited for half as long, and what one said before that is heard no more is no reason
// to refuse a job.
const refusedFor = 2 * patienceMost

var errFull = errors.New("node: the cell can't take more now")

// admitted returns the share of the jobs that hosts should take while this one leads.
func (n *Node) admitted(now time.Time, l *leader.Leader) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.admission.Update(now, l.UsualAnswer(), answerMost)
}

// A refusal is the share of the jobs that a leader has told not to take, and when.
type refusal struct {
	share float64
	told  time.Time
}

// refusedShare returns the share of the jobs that this host should not take now: what it
// works out itself while it leads, also when no other host asks for it, else what it has
// been told lately. The lock is held.
func (n *Node) refusedShare() float64 {
	now := n.clock.Now()
	switch {
	case n.leading != nil:
		return 1 - n.admission.Update(now, n.leading.UsualAnswer(), answerMost)
	case now.Sub(n.refused.told) < refusedFor:
		return n.refused.share
	default:
		return 0
	}
}

// refusesNow reports whether this host should not take a job that comes now. Nothing has
// been done with it, and the same job may come again.
func (n *Node) refusesNow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rand.Float64() < n.refusedShare()
}

// busy reports whether the leader's link or processor is known to be full.
func (n *Node) busy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refusedShare() > 0
}
