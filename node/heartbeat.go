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

// refusedByStore reports whether the store has refused the leader's writes for at least
// maxStoreRefusal. A store that is merely slow does not count: it refuses a write when
// too many are pending.
func (r heartbeatReply) refusedByStore() bool {
	return r.Refused >= maxStoreRefusal && r.UsualWrite < slowWriteThreshold
}

func (n *Node) sendHeartbeat(ctx context.Context, h leader.Head, timeout time.Duration) (heartbeatReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n.peers.SetAddress(h.Host, h.Address)
	sent := n.clock.Now()
	stamp, countable := n.confirmFollowing(h)
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
		Groups:      true,
		MayLead:     n.readyToLead(),
		Link:        n.settings.LinkRate,
		Epoch:       h.Epoch,
		Countable:   countable,
		Confirms:    stamp,
	})
	if err == nil {
		n.recordFollowing(h, r, sent)
	}
	if err == nil && r.Leads {
		n.leaderLatency.observe(n.clock.Since(sent))
		n.mu.Lock()
		n.leaderAnswer = leaderAnswer{
			epoch: r.Epoch,
			at:    n.clock.Now(),
		}
		n.maxCores = r.MostCores
		n.hostCount = r.Hosts
		n.leaderShed = shedStatus{
			share:      r.Refuse,
			loading:    r.Loading,
			unmeasured: r.Unmeasured,
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
// Queries for jobs and notifications of them are useless to such a leader and would only
// take bandwidth from its reads.
func (n *Node) leaderIsLoading() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaderLoading.epoch == n.leaderHead.Epoch && !n.leaderLoading.reportedAt.IsZero() && n.clock.Since(n.leaderLoading.reportedAt) < loadingTTL
}

// A loadingReport records when a leader last reported that it is loading.
type loadingReport struct {
	epoch      spoolsill.Epoch
	reportedAt time.Time // zero if the last reply did not report it
}

func newLoadingReport(r heartbeatReply, now time.Time) loadingReport {
	if !r.Loading {
		return loadingReport{}
	}
	return loadingReport{
		epoch:      r.Epoch,
		reportedAt: now,
	}
}

// A leaderAnswer records when the leader of an epoch last answered a heartbeat.
type leaderAnswer struct {
	epoch spoolsill.Epoch
	at    time.Time
}

// A leaderWrite identifies the latest successful write of a leadership by the number of
// successful writes.
type leaderWrite struct {
	epoch  spoolsill.Epoch
	writes uint64
}

// unchangedSince returns the time since which a row that has just been read is known to be
// unchanged: the start of the latest write reported by the leader if the row is from that
// write, and now otherwise.
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
// blocking the reads when the leader does not respond.
type leaderProbe struct {
	result chan probeResult
	last   probeResult
}

type probeResult struct {
	healthy bool
	// gone is set if the leader's process is gone, or responds that it does not lead.
	gone bool
	// responds is set if the leader responds and leads, whether or not it is healthy.
	responds bool
	// refusedByStore is set if it also reports that the store refuses its writes.
	refusedByStore bool
}

// poll sends a heartbeat unless one is in progress, and reports whether the latest
// completed one found the leader healthy.
func (p *leaderProbe) poll(ctx context.Context, n *Node, h leader.Head) bool {
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
		n.setLeaderUnhealthy(!p.last.healthy)
	default:
	}
	return p.last.healthy
}

// probeWait is how long poll waits for the response to a heartbeat: several round trips.
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
