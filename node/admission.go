package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill/admit"
	"github.com/spoolsill/spoolsill/leader"
)

// maxWorkerLatency is the worker latency above which the leader sheds load. Workers
// respond in 2 ms, and in about 20 ms if the host is slowed down.
const maxWorkerLatency = 120 * time.Millisecond

// shedTTL is how long a host applies the last share reported by the leader: twice the
// longest allowance for a slow leader.
const shedTTL = 2 * maxLatencyAllowance

// A shedStatus is the share of jobs that hosts should refuse for now, and what led to it.
type shedStatus struct {
	share      float64
	loading    bool          // the leader is loading the jobs
	unmeasured bool          // no worker has responded to the leader
	latency    time.Duration // of worker responses, at the leader
	reportedAt time.Time
}

// reason returns what led to the share, for people.
func (s shedStatus) reason() string {
	switch {
	case s.loading:
		return "it is loading the jobs"
	case s.unmeasured:
		return "no worker has responded to it yet"
	default:
		return fmt.Sprintf("worker latency %s, limit %s", s.latency.Round(time.Millisecond), maxWorkerLatency)
	}
}

// A shedError reports that a job was refused to shed load. The client may retry it.
type shedError struct {
	shedStatus
	age time.Duration
}

// Error implements error.
func (e *shedError) Error() string {
	return fmt.Sprintf("node: load shed: %.0f%% of jobs refused, as reported by the leader %s ago; %s",
		100*e.share, e.age.Round(time.Millisecond), e.reason())
}

// updateShed updates and returns the shed status while this host leads.
func (n *Node) updateShed(now time.Time, l *leader.Leader) shedStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.updateShedLocked(now, l)
}

// updateShedLocked is like updateShed. n.mu must be held.
func (n *Node) updateShedLocked(now time.Time, l *leader.Leader) shedStatus {
	s := shedStatus{
		loading:    !l.Loaded(),
		unmeasured: l.AwaitsResponses(),
		latency:    l.ResponseLatency(),
		reportedAt: now,
	}
	if s.loading || s.unmeasured {
		s.share = 1 - n.admission.UpdateUnknown(now)
		return s
	}
	s.share = 1 - n.admission.Update(now, s.latency, maxWorkerLatency)
	if s.latency <= maxWorkerLatency && admit.HasRoom(l.Backlog()) {
		s.share = 1 - n.admission.Restore()
	}
	return s
}

// effectiveShedLocked returns the shed status that applies to this host. While it leads,
// the status is updated here, even if no other host sends heartbeats. Otherwise it is the
// last one reported by the leader, unless that has expired. n.mu must be held.
func (n *Node) effectiveShedLocked(now time.Time) shedStatus {
	switch {
	case n.activeLeader != nil:
		return n.updateShedLocked(now, n.activeLeader)
	case now.Sub(n.leaderShed.reportedAt) < shedTTL:
		return n.leaderShed
	default:
		return shedStatus{}
	}
}

// checkAdmission returns an error if this host should refuse a new job for now. The job
// has not been stored, and the client may retry it.
func (n *Node) checkAdmission() error {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.effectiveShedLocked(now)
	if rand.Float64() >= s.share {
		return nil
	}
	return &shedError{
		shedStatus: s,
		age:        now.Sub(s.reportedAt),
	}
}

// overloaded reports whether the leader is known to be shedding load because its link
// or processor is saturated.
func (n *Node) overloaded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.effectiveShedLocked(n.clock.Now()).share > 0
}
