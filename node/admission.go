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

var errFull = errors.New("node: the cell can't take more now")

// admitted returns the share of the jobs that hosts should take while this one leads.
func (n *Node) admitted(now time.Time, l *leader.Leader) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = 1 - n.admission.Update(now, l.UsualAnswer(), answerMost)
	return 1 - n.refused
}

// refusesNow reports whether this host should not take a job that comes now. Nothing has
// been done with it, and the same job may come again.
func (n *Node) refusesNow() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return rand.Float64() < n.refused
}

// busy reports whether the leader's link or processor is known to be full.
func (n *Node) busy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused > 0
}
