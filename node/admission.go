package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill/leader"
)

// maxAnswerLatency is the worker latency above which the leader sheds load. Workers answer
// in two milliseconds, hosts that are slowed in some twenty.
const maxAnswerLatency = 120 * time.Millisecond

// shedLifetime is how long a host goes by what the leader told it last: half as long as it
// waits for a slow leader.
const shedLifetime = 2 * patienceMost

// A shedding is the share of the jobs that hosts should not take now, and why.
type shedding struct {
	share   float64
	latency time.Duration // of workers' answers, at the leader
	told    time.Time
}

// A shedError says why a job was refused for now.
type shedError struct {
	shedding
	age time.Duration
}

// Error implements error.
func (e *shedError) Error() string {
	return fmt.Sprintf("node: load shed: %.0f%% of the jobs refused, as the leader told %s ago; worker latency %s, limit %s",
		100*e.share, e.age.Round(time.Millisecond), e.latency.Round(time.Millisecond), maxAnswerLatency)
}

// sheds returns the share of the jobs that hosts should not take while this one leads.
func (n *Node) sheds(now time.Time, l *leader.Leader) shedding {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shedsHere(now, l)
}

// shedsHere is sheds with the lock held.
func (n *Node) shedsHere(now time.Time, l *leader.Leader) shedding {
	latency := l.AnswerLatency()
	return shedding{
		share:   1 - n.admission.Update(now, latency, maxAnswerLatency),
		latency: latency,
		told:    now,
	}
}

// shed returns what this host should not take now: by its own measurements while it leads,
// also when no other host asks for them, else as it has been told lately. The lock is held.
func (n *Node) shed(now time.Time) shedding {
	switch {
	case n.leading != nil:
		return n.shedsHere(now, n.leading)
	case now.Sub(n.shedTold.told) < shedLifetime:
		return n.shedTold
	default:
		return shedding{}
	}
}

// refuse returns an error if this host should not take a job that comes now. Nothing has
// been done with it, and the same job may come again.
func (n *Node) refuse() error {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.shed(now)
	if rand.Float64() >= s.share {
		return nil
	}
	return &shedError{
		shedding: s,
		age:      now.Sub(s.told),
	}
}

// busy reports whether the leader's link or processor is known to be full.
func (n *Node) busy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shed(n.clock.Now()).share > 0
}
