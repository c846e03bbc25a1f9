package node

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
)

const (
	// yieldFactor is how many times the processor capacity of the leader's host another
	// host must have to replace it. A takeover costs some tenths of a second.
	yieldFactor = 2
	// yieldDelay is how long a larger host must have sent heartbeats before the leader
	// yields to it. By then all other hosts have learned its size and let it take over
	// first.
	yieldDelay = time.Second
	// storeContactWaits is how recently the store must have answered a host that could
	// lead, in waits of its configuration feed.
	storeContactWaits = 2
	// yieldCooldown is how long a host that has yielded the leadership does not yield
	// again. It leads again within that time only if no larger host could.
	yieldCooldown = 30 * time.Second
)

// A leaderFitness determines whether a host should keep the leadership. Hosts differ in
// size, and the first one to start becomes the leader. With a leader on a fifth of a core
// and a link of 10 Mbit/s, most of which the work of the cell needs, nearly all jobs were
// late until another host led: a day that began this way earned 0.66 of the worth of its
// jobs, compared with 0.75 and 0.78 in two runs led by a large host.
type leaderFitness struct {
	cores float64
	link  spoolsill.Bytes // bytes a second; 0 if not set
	// largerSince is when a host that should lead instead first sent a heartbeat; zero
	// if none has.
	largerSince time.Time
	// yieldedAt is when the host last yielded the leadership.
	yieldedAt time.Time
}

// outrankedBy reports whether the sender of a heartbeat is so much larger that it
// should lead.
func (l *leaderFitness) outrankedBy(q heartbeatRequest) bool {
	return q.MayLead && q.Cores >= yieldFactor*l.cores && q.Link >= l.link
}

// shouldYieldTo records a heartbeat and reports whether to yield the leadership to its
// sender now.
func (l *leaderFitness) shouldYieldTo(now time.Time, q heartbeatRequest) bool {
	if !l.outrankedBy(q) {
		return false
	}
	if l.largerSince.IsZero() {
		l.largerSince = now
	}
	if now.Sub(l.largerSince) < yieldDelay || !l.yieldedAt.IsZero() && now.Sub(l.yieldedAt) < yieldCooldown {
		return false
	}
	l.yieldedAt = now
	return true
}

// maybeYieldTo yields the leadership if the sender of a heartbeat should lead instead.
func (n *Node) maybeYieldTo(now time.Time, l *leader.Leader, sender spoolsill.HostID, q heartbeatRequest) {
	n.mu.Lock()
	yields := n.activeLeader == l && n.fitness.shouldYieldTo(now, q)
	if yields {
		n.maxCores = max(n.maxCores, q.Cores) // delays this host's own takeover behind the sender's
	}
	n.mu.Unlock()
	if yields {
		n.log.WithField("to", string(sender)).WithField("cores", q.Cores).Info("leadership is given up for a larger host")
		l.Yield()
	}
}

// readyToLead reports whether this host could take over the leadership now.
func (n *Node) readyToLead() bool {
	_, known := n.Config()
	n.mu.Lock()
	recentlyResigned := !n.resignedAt.IsZero() && n.clock.Since(n.resignedAt) < resignPeriod
	n.mu.Unlock()
	return known && !recentlyResigned && !n.stopping.Load() && n.health.succeededWithin(n.clock.Now(), storeContactWaits*configFeedWaitFor(n.estimatedHosts(), n.configInForce()))
}
