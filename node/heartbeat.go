package node

import (
	"context"
	"math"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
)

// confirmsLeader reports whether a reply shows that the leader in h is healthy.
func (r heartbeatReply) confirmsLeader(h leader.Head) bool {
	return r.Leads && r.Epoch == h.Epoch && !r.refusedByStore() && r.Age < staleWriteAge+min(electionTimeoutWrites*r.UsualWrite, maxStaleExtension)
}

// refusedByStore reports whether the store has refused the leader's writes for longer
// than a moment. A store that is merely slow refuses a write when too many are pending,
// and does not count.
func (r heartbeatReply) refusedByStore() bool {
	return r.Refused >= maxStoreRefusal && r.UsualWrite < slowWriteThreshold
}

func (n *Node) sendHeartbeat(ctx context.Context, h leader.Head, timeout time.Duration) (heartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n.peers.SetAddress(h.Host, h.Address)
	sent := n.clock.Now()
	r, err := peer.Call[heartbeatReply](ctx, n.peers, h.Host, methodHeartbeat, heartbeatRequest{
		Address: n.peerAddress(),
		Version: math.MaxUint64,
		Held:    n.configs.summary(sent),
		Cores:   n.settings.Cores,
		Hall:    n.settings.Hall,
		// A stopping host takes on no new calls.
		Delegate: !n.stopping.Load(),
		Specs:    true,

		StoredSpecs: true,
		Lives:       true,
		MayLead:     n.readyToLead(),
		Link:        n.settings.LinkRate,
	})
	if err == nil && r.Leads {
		n.leaderLatency.observe(n.clock.Since(sent))
		n.mu.Lock()
		n.maxCores = r.MostCores
		n.hostCount = r.Hosts
		n.leaderShed = shedStatus{
			share:      r.Refuse,
			latency:    r.AnswerLatency,
			reportedAt: n.clock.Now(),
		}
		n.leaderLoading = newLoadingReport(r, n.clock.Now())
		n.lastLeaderWrite = leaderWrite{
			epoch:  r.Epoch,
			writes: r.Writes,
		}
		n.lastLeaderWriteBegun = n.clock.Now().Add(-r.Age)
		n.mu.Unlock()
	}
	if err == nil {
		n.configs.confirmFromHost(r.Held, sent)
		n.configs.recordOffer(h.Host, r.Held, n.clock.Now())
	}
	return r, err
}

// loadingTTL is how long a report that the leader is loading stays valid: several
// heartbeats.
const loadingTTL = time.Second

// leaderIsLoading reports whether the leader has recently reported that it is loading.
// Querying it for jobs, or notifying it of them, would only take bandwidth from its
// reads.
func (n *Node) leaderIsLoading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaderLoading.epoch == n.leaderHead.Epoch && !n.leaderLoading.at.IsZero() && n.clock.Since(n.leaderLoading.at) < loadingTTL
}

// A loadingReport records when a leader last reported that it is loading.
type loadingReport struct {
	epoch spoolsill.Epoch
	at    time.Time // zero if the last reply did not report it
}

func newLoadingReport(r heartbeatReply, now time.Time) loadingReport {
	if !r.Loading {
		return loadingReport{}
	}
	return loadingReport{
		epoch: r.Epoch,
		at:    now,
	}
}

// A leaderWrite identifies the latest successful write of a leadership by the number of
// successful writes.
type leaderWrite struct {
	epoch  spoolsill.Epoch
	writes uint64
}

// unchangedSince returns since when a row that has just been read is unchanged: since
// the write that the leader reported, if it is still that one.
func (n *Node) unchangedSince(h leader.Head, now time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := leaderWrite{
		epoch:  h.Epoch,
		writes: h.WriteCount,
	}
	if n.lastLeaderWrite == row && n.lastLeaderWriteBegun.Before(now) {
		return n.lastLeaderWriteBegun
	}
	return now
}

// A leaderProbe sends heartbeats to the leader while its row is being read, without
// blocking the reads when the leader is silent.
type leaderProbe struct {
	result chan probeResult
	last   probeResult
}

type probeResult struct {
	healthy bool
	gone    bool
	// responds is set if the leader responds and leads, whether or not it is healthy.
	responds bool
	// refusedByStore is set if it also reports that the store refuses its writes.
	refusedByStore bool
}

// leaderHealthy starts a call unless one is in progress, and reports whether the latest
// completed one found the leader healthy.
func (p *leaderProbe) leaderHealthy(ctx context.Context, n *Node, h leader.Head) bool {
	if h.Host == n.settings.Host || h.Host == "" || h.Released {
		return false
	}
	if p.result == nil {
		p.result = make(chan probeResult, 1)
		go func(to chan<- probeResult) { to <- n.probeLeader(ctx, h) }(p.result)
		pause.For(ctx, probeWait)
	}
	select {
	case p.last = <-p.result:
		p.result = nil
		n.setLeaderLost(!p.last.healthy)
	default:
	}
	return p.last.healthy
}

// probeWait is how long to wait for the response of a leader that is up: several round
// trips.
const probeWait = 15 * time.Millisecond

func (n *Node) probeLeader(ctx context.Context, h leader.Head) probeResult {
	r, err := n.sendHeartbeat(ctx, h, n.leaderLatency.timeout(heartbeatTimeout))
	responds := err == nil && r.Leads && r.Epoch == h.Epoch
	return probeResult{
		healthy:        err == nil && r.confirmsLeader(h),
		gone:           isConnRefused(err) || err == nil && !r.Leads,
		responds:       responds,
		refusedByStore: responds && r.refusedByStore(),
	}
}
