package node

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// heartbeatInterval is the interval between heartbeats to the leader in cells of up
	// to a hundred hosts; see callSpacing.
	heartbeatInterval = 150 * time.Millisecond
	// callSpacing is the average time between calls of all hosts together: heartbeats
	// to a healthy leader, or reads of the row of a suspected one. It results in at
	// most 670 calls a second. A call costs both sides together 25 us of processor time
	// (peer.BenchmarkCall). The store allows 2,000 reads a second, of which a new
	// leader needs some.
	callSpacing = 1500 * time.Microsecond
	// heartbeatTimeout limits one heartbeat. Hosts in a region respond within
	// milliseconds, and a host that gets no processor time for this long is unusable as
	// a leader.
	heartbeatTimeout = 300 * time.Millisecond
	// shortHeartbeatTimeout limits the wait for a previously healthy leader before its
	// row is read as well: about ten times the usual latency.
	shortHeartbeatTimeout = 80 * time.Millisecond
	// electionTimeout is how long the leader's row must remain unchanged, while the
	// leader does not respond, before another host takes over. The leader writes the
	// row every 0.15 s. The timeout is extended by electionTimeoutWrites times the
	// average write time, which reflects a slow store.
	electionTimeout       = 350 * time.Millisecond
	electionTimeoutWrites = 4
	// electionTimeoutReads times the duration of a read is how long a leader's write
	// may take when the store has just become slow: the store processes the retries
	// that were sent too early in sequence, and the next write is queued behind them.
	electionTimeoutReads = 5
	// electionTimeoutLossy replaces electionTimeout when the leader responds and claims
	// the leadership, but has not written for a while and the store's responses to this
	// host are being lost as well. With three lost in a row the leader needs 1.05 s to
	// learn that a write succeeded, and a new leader would lose as many.
	electionTimeoutLossy = 1300 * time.Millisecond
	// maxBackoffDoublings limits how often the timeout is doubled after leaderships
	// that fail before they have read all jobs, as on hosts with saturated links: up to
	// 16 times electionTimeout, 5.6 s.
	maxBackoffDoublings = 4
	// electionTimeoutGone replaces electionTimeout when the leader's port refuses
	// connections, which means that its process is gone, or when the host responds that
	// it does not lead or that the store refuses its writes. It is not zero because a
	// host that has just taken over needs a moment to learn that it leads.
	electionTimeoutGone = 150 * time.Millisecond
	// staleWriteAge is the maximum age that a healthy leader may report for its latest
	// write, extended by electionTimeoutWrites times its average write time.
	staleWriteAge     = 700 * time.Millisecond
	maxStaleExtension = 1500 * time.Millisecond // upper limit of the extension for a slow store
	// maxStoreRefusal is how long the store may refuse the leader's writes before
	// another host should lead. slowWriteThreshold is the average write time above
	// which the store counts as slow: ten times the usual.
	maxStoreRefusal    = 200 * time.Millisecond
	slowWriteThreshold = 100 * time.Millisecond
	// watchInterval is the interval between reads of the row of a suspected leader in
	// cells of up to about seventy hosts.
	watchInterval = 100 * time.Millisecond
	// watchRetryDelay is the delay after a failed read. All hosts read during the same
	// period, and calls use processor time even while the store is unreachable.
	watchRetryDelay = 250 * time.Millisecond
	// maxTakeoverDelay is how long a host that is tiny compared with the largest one
	// waits before it takes over; a host half as large waits half as long. It exceeds
	// the differences in when hosts start and in when they notice that the leader is
	// gone.
	maxTakeoverDelay = 800 * time.Millisecond
	// takeoverSpacing is the average time between takeover attempts of hosts of the
	// same size. The store responds in 5 ms, so that few hosts write the row at the
	// same time. Simultaneous attempts would saturate its partition, which accepts 150
	// writes a second, and delay the new leader's own writes.
	takeoverSpacing = 2 * time.Millisecond
	// assumedHosts is the number of hosts assumed before a leader has reported it.
	assumedHosts = 100
	// initialTakeoverDelay is how long a host with one core waits before any leader has
	// reported the largest host; smaller hosts wait longer.
	initialTakeoverDelay = 20 * time.Millisecond
	// resignPeriod is how long a host that resigned because of overload adds
	// resignTakeoverDelay to its takeover delay, so that others take over first.
	resignPeriod        = 20 * time.Second
	resignTakeoverDelay = time.Second
	// takeoverTimeout limits one takeover attempt.
	takeoverTimeout = 3 * time.Second
)

// elect monitors the leader and takes over from it when necessary, until ctx is done.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		if n.leaderHealthy(ctx) {
			pause.For(ctx, n.scaledInterval(heartbeatInterval))
			continue
		}
		n.watchLeader(ctx)
	}
}

// leaderHealthy sends a heartbeat to the leader and reports whether the leader is
// healthy.
func (n *Node) leaderHealthy(ctx context.Context) bool {
	h := n.knownHead()
	if h.Host == "" || h.Released || h.Host == n.settings.Host {
		return false
	}
	r, err := n.sendHeartbeat(ctx, h, n.leaderLatency.timeout(shortHeartbeatTimeout))
	if errors.Is(err, context.DeadlineExceeded) {
		return false // the leader may only be slow, which watchLeader determines
	}
	ok := err == nil && r.confirmsLeader(h)
	n.setLeaderUnhealthy(!ok)
	return ok
}

// watchLeader reads the leader's row until the leader is healthy, or until the row has
// remained unchanged for so long that this host tries to take over.
func (n *Node) watchLeader(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var lastVersion store.Version
	var lastChange time.Time
	first := true
	var probe leaderProbe
	for ctx.Err() == nil {
		begun := n.clock.Now()
		h, v, err := leader.ReadHead(ctx, n.store)
		if err != nil {
			// Other hosts may have reported who leads.
			if probe.poll(ctx, n, n.knownHead()) {
				return
			}
			pause.For(ctx, n.scaledInterval(watchRetryDelay))
			continue
		}
		now := n.clock.Now()
		readTime := now.Sub(begun)
		if first || v != lastVersion {
			lastVersion = v
			lastChange = n.unchangedSince(h, now)
		}
		if n.updateHead(h) || first {
			probe = leaderProbe{}
		}
		first = false
		if probe.poll(ctx, n, h) {
			return
		}
		waited := now.Sub(lastChange)
		expired := h.Released || v == 0 || waited >= n.electionTimeoutFor(h, &probe, readTime)
		if expired && !n.takeoverAllowed(waited) {
			pause.For(ctx, takeoverRecheckInterval)
			continue
		}
		if expired {
			pause.For(ctx, n.takeoverDelay()+n.takeoverJitter())
			if _, current, err := leader.ReadHead(ctx, n.store); err != nil || current != v {
				continue // another host appears to have taken over first
			}
			n.lead(ctx, h, v)
			return
		}
		interval := n.scaledInterval(watchInterval)
		pause.For(ctx, interval/2+rand.N(interval))
	}
}

// takeoverDelay returns how long this host waits for larger hosts to take over first. A
// host that has recently resigned waits longer.
func (n *Node) takeoverDelay() time.Duration {
	n.mu.Lock()
	largest := n.maxCores
	if largest == 0 {
		largest = n.leaderHead.MaxCores
	}
	recentlyResigned := n.clock.Since(n.resignedAt) < resignPeriod
	n.mu.Unlock()
	cores := max(n.settings.Cores, minCores)
	d := time.Duration(float64(initialTakeoverDelay) / cores)
	if largest > 0 {
		d = time.Duration(float64(maxTakeoverDelay) * (1 - min(cores/largest, 1)))
	}
	if recentlyResigned {
		d += resignTakeoverDelay
	}
	return d
}

// takeoverJitter returns a random delay that keeps hosts from taking over at the same
// time.
func (n *Node) takeoverJitter() time.Duration {
	return rand.N(time.Duration(n.estimatedHosts()) * takeoverSpacing)
}

// scaledInterval returns the interval between calls that every host makes: d, or longer
// in a cell with so many hosts that their calls would overload the leader or the store.
func (n *Node) scaledInterval(d time.Duration) time.Duration {
	return max(d, time.Duration(n.estimatedHosts())*callSpacing)
}

// estimatedHosts returns the last reported number of hosts, or an assumed one.
func (n *Node) estimatedHosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return cmp.Or(n.hostCount, n.leaderHead.Hosts, assumedHosts)
}

// minCores limits the takeover delay of very small hosts.
const minCores = 0.1

// updateHead records the contents of the leader's row and reports whether the epoch has
// changed.
func (n *Node) updateHead(h leader.Head) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := h.Epoch != n.leaderHead.Epoch
	if changed {
		n.leaderLatency.reset()
	}
	if changed || h.Released != n.leaderHead.Released {
		n.log.WithField("leader", string(h.Host)).WithField("epoch", uint64(h.Epoch)).WithField("released", h.Released).Info("leader changed")
	}
	n.leaderHead = h
	return changed
}

// electionTimeoutFor returns how long the leader's row must remain unchanged before
// this host may take over. The duration of this host's latest read distinguishes a
// store that is slow, for the leader as well, from a leader that is cut off from it.
// With a slow store a takeover does harm, since each attempt is one more write that
// delays the leader's own.
func (n *Node) electionTimeoutFor(h leader.Head, probe *leaderProbe, readTime time.Duration) time.Duration {
	if h.Host == n.settings.Host {
		return 0 // an earlier incarnation of this host led
	}
	if probe.last.gone || probe.last.refusedByStore {
		return backoff(electionTimeoutGone, h)
	}
	base := electionTimeout
	if probe.last.responds && n.health.losingResponses(n.clock.Now()) {
		base = electionTimeoutLossy
	}
	return backoff(base, h) + max(electionTimeoutWrites*n.health.averageWrite(), electionTimeoutReads*readTime, n.leaderLatency.allowance())
}

// backoff returns the timeout d extended after failed leaderships: it is doubled for
// each preceding one in a row that ended before it had read all jobs.
func backoff(d time.Duration, h leader.Head) time.Duration {
	return d << min(max(h.UnfinishedLoads-1, 0), maxBackoffDoublings)
}

// lead tries to take over and then leads until it is deposed or ctx is done.
func (n *Node) lead(ctx context.Context, old leader.Head, v store.Version) {
	n.setCandidate(true)
	defer n.setCandidate(false)
	begun := n.clock.Now()
	c, err := n.takeOver(ctx, old, v)
	if err != nil {
		if !errors.Is(err, leader.ErrLeadershipLost) && ctx.Err() == nil {
			n.log.WithError(err).Warn("could not take over")
		}
		return
	}
	l := n.newLeader(c, begun)
	n.setActiveLeader(l, c.Epoch())
	n.log.WithField("epoch", uint64(c.Epoch())).WithField("former", string(old.Host)).Info("this host leads")
	n.configs.applyTo(l)
	n.applyEvacuations()
	n.leadershipChanged(true)
	err = l.Lead(ctx, releaseTimeout)
	n.leadershipChanged(false)
	n.setActiveLeader(nil, 0)
	if errors.Is(err, leader.ErrOverloaded) {
		n.mu.Lock()
		n.resignedAt = n.clock.Now()
		n.mu.Unlock()
	}
	n.log.WithField("epoch", uint64(c.Epoch())).WithError(err).Info("this host no longer leads")
}

func (n *Node) takeOver(ctx context.Context, old leader.Head, v store.Version) (*leader.Chain, error) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	return leader.Acquire(ctx, n.store, old, v, leader.Head{
		Host:        n.settings.Host,
		Address:     n.peerAddress(),
		Incarnation: n.incarnation,
		MaxCores:    max(n.settings.Cores, n.knownMaxCores()),
		Hosts:       n.knownHostCount(),
	})
}

// knownMaxCores returns the processor capacity of the largest host reported by a
// leader, or 0 if none has been.
func (n *Node) knownMaxCores() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.maxCores
}

// knownHostCount returns the number of hosts reported by a leader, or 0 if none has
// been.
func (n *Node) knownHostCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostCount
}

func (n *Node) setActiveLeader(l *leader.Leader, e spoolsill.Epoch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.activeLeader = l
	if l != nil {
		n.admission.Begin(n.clock.Now())
		n.fitness.largerSince = time.Time{}
		n.leaderHead = leader.Head{
			Epoch:       e,
			Host:        n.settings.Host,
			Address:     n.peerAddress(),
			Incarnation: n.incarnation,
		}
	}
}

func (n *Node) knownHead() leader.Head {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaderHead
}

// setLeaderUnhealthy records whether a heartbeat found the leader unhealthy, and logs
// changes.
func (n *Node) setLeaderUnhealthy(unhealthy bool) {
	n.mu.Lock()
	changed := n.leaderUnhealthy != unhealthy
	n.leaderUnhealthy = unhealthy
	if changed {
		n.leaderUnhealthySince = n.clock.Now()
	}
	h := n.leaderHead
	n.mu.Unlock()
	if changed {
		n.log.WithField("leader", string(h.Host)).WithField("answers", !unhealthy).Info("leader's health changed")
	}
}

// leaderFailingFor returns for how long this host has found the leader unhealthy, or 0 if the
// latest heartbeat did not.
func (n *Node) leaderFailingFor(now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaderUnhealthy || n.activeLeader != nil {
		return 0
	}
	return now.Sub(n.leaderUnhealthySince)
}
