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
	// greetEvery is how often a host calls the leader, in a cell of up to a
	// hundred hosts; see callEach.
	greetEvery = 150 * time.Millisecond
	// callEach is how far apart the calls of all hosts are on average, those to
	// a leader that is well, and the reads of the row of one in doubt: 670 a
	// second in all. A call costs both sides 25 us of processor together
	// (BenchmarkCall of peer); the store takes 2,000 reads a second, by the
	// settings of today, and a new leader needs some.
	callEach = 1500 * time.Microsecond
	// greetTimeout is for one call; hosts of a region answer in milliseconds,
	// and one that does not get the processor for so long is of no use as a
	// leader.
	greetTimeout = 300 * time.Millisecond
	// greetSoon is how long the answer of a leader that was well is waited for
	// before its row is watched besides: some ten times the usual.
	greetSoon = 80 * time.Millisecond
	// lapse is how long the leader's row must stay as it is before another
	// host takes over, when the leader does not answer this host either. The
	// leader writes the row every 0.15 s; lapseWrites times the
	// usual time of a write is added, which tells when the store is slow.
	lapse       = 350 * time.Millisecond
	lapseWrites = 4
	// lapseReads times as long as a read takes, a leader may need for a write
	// when the store has just become slow: the tries that it sends too early are
	// done in turn, and its next write waits behind them.
	lapseReads = 5
	// lapseLosing takes the place of lapse when the leader does answer, and says
	// that it leads, but has not written for a while, and answers of the store to
	// this host get lost as well: with three lost in a row the leader needs 1.05 s
	// to learn that a write lasts, and whoever takes over loses as many.
	lapseLosing = 1300 * time.Millisecond
	// backoffMost is how often the wait is doubled at most for leaderships that fail
	// before they have read all jobs, as on hosts whose links are full: to sixteen
	// times lapse, 5.6 s. Chosen, not measured.
	backoffMost = 4
	// lapseGone is the same when the leader's process is gone: its port
	// refuses connections, or it says that it does not lead. A host that has
	// just taken over needs a moment to know it.
	lapseGone = 150 * time.Millisecond
	// stale is how old the leader's latest write may be by its own word, and
	// lapseWrites of its usual writes more.
	stale     = 700 * time.Millisecond
	staleMost = 1500 * time.Millisecond // added when the store is slow
	// refusedMost is for how long the store may turn the leader's writes away
	// before another host should lead, quickWrite how long writes take at most
	// in a store that is not slow: ten times the usual.
	refusedMost = 200 * time.Millisecond
	quickWrite  = 100 * time.Millisecond
	// watchEvery is how often the row is read while the leader is in doubt, in
	// a cell of up to some seventy hosts.
	watchEvery = 100 * time.Millisecond
	// watchFailed is between reads that fail: all hosts make them at once, and
	// calls cost also while the store is away.
	watchFailed = 250 * time.Millisecond
	// handicap is how long a host that is tiny beside the largest one waits
	// before it takes over; a host half as large waits half as long. It is
	// longer than hosts are apart in starting, and in noticing that the leader is
	// gone.
	handicap = 800 * time.Millisecond
	// takeEach is how far apart hosts of one size are on average when they
	// take over: the store answers in 5 ms, so that few write the row at once.
	// All together they would fill its partition, which takes 150 writes a
	// second, and the new leader's own writes would wait behind theirs.
	takeEach = 2 * time.Millisecond
	// firstHosts stands for the number of hosts before any leader has told it.
	firstHosts = 100
	// firstHandicap is how long a host with one core waits before any host has
	// led and told of the largest; smaller ones wait longer.
	firstHandicap = 20 * time.Millisecond
	// resigned is how long a host that led and could not keep up lets others
	// go first, and by how much.
	resigned         = 20 * time.Second
	resignedHandicap = time.Second
	// takeTimeout bounds one try to take over.
	takeTimeout = 3 * time.Second
)

// elect follows who leads, and leads when it is this host's turn, until ctx
// ends.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		if n.greet(ctx) {
			pause.For(ctx, n.spaced(greetEvery))
			continue
		}
		n.watch(ctx)
	}
}

// greet calls the leader and reports whether it is well.
func (n *Node) greet(ctx context.Context) bool {
	h := n.knownHead()
	if h.Host == "" || h.Released || h.Host == n.settings.Host {
		return false
	}
	r, err := n.greetLeader(ctx, h, n.patience.most(greetSoon))
	if errors.Is(err, context.DeadlineExceeded) {
		return false // it may just be slow, which the watch will tell
	}
	ok := err == nil && r.leads(h)
	n.setLost(!ok)
	return ok
}

// watch reads the leader's row until the leader is well, or until the row has
// stayed as it is for so long that this host tries to take over.
func (n *Node) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var at store.Version
	var since time.Time
	first := true
	var call greeting
	for ctx.Err() == nil {
		begun := n.clock.Now()
		h, v, err := leader.ReadHead(ctx, n.store)
		if err != nil {
			// Other hosts may have told who leads.
			if call.well(ctx, n, n.knownHead()) {
				return
			}
			pause.For(ctx, n.spaced(watchFailed))
			continue
		}
		now := n.clock.Now()
		read := now.Sub(begun)
		if first || v != at {
			at = v
			since = n.unchangedSince(h, now)
		}
		if n.takeHead(h) || first {
			call = greeting{}
		}
		first = false
		if call.well(ctx, n, h) {
			return
		}
		waited := now.Sub(since)
		lapsed := h.Released || v == 0 || waited >= n.lapseOf(h, &call, read)
		if lapsed && !n.mayLead(waited) {
			pause.For(ctx, youngPause)
			continue
		}
		if lapsed {
			pause.For(ctx, n.handicap()+n.turn())
			if _, current, err := leader.ReadHead(ctx, n.store); err != nil || current != v {
				continue // another host was first, as far as is known
			}
			n.lead(ctx, h, v)
			return
		}
		every := n.spaced(watchEvery)
		pause.For(ctx, every/2+rand.N(every))
	}
}

// handicap is how long this host lets others go first.
func (n *Node) handicap() time.Duration {
	n.mu.Lock()
	most := n.mostCores
	if most == 0 {
		most = n.head.MaxCores
	}
	late := n.clock.Since(n.resignedAt) < resigned
	n.mu.Unlock()
	cores := max(n.settings.Cores, leastCores)
	d := time.Duration(float64(firstHandicap) / cores)
	if most > 0 {
		d = time.Duration(float64(handicap) * (1 - min(cores/most, 1)))
	}
	if late {
		d += resignedHandicap
	}
	return d
}

// turn is a random time that keeps hosts from taking over at once.
func (n *Node) turn() time.Duration {
	return rand.N(time.Duration(n.hostsOrGuess()) * takeEach)
}

// spaced returns how long a host waits between calls that all hosts make: d, or
// longer when there are so many hosts that their calls would be a storm.
func (n *Node) spaced(d time.Duration) time.Duration {
	return max(d, time.Duration(n.hostsOrGuess())*callEach)
}

// hostsOrGuess is how many hosts there are, as far as is known.
func (n *Node) hostsOrGuess() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return cmp.Or(n.hostCount, n.head.Hosts, firstHosts)
}

// leastCores bounds the handicap of very small hosts.
const leastCores = 0.1

// takeHead takes in what the row says, and reports whether another host leads
// than was known.
func (n *Node) takeHead(h leader.Head) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := h.Epoch != n.head.Epoch
	if changed {
		n.patience.forget()
	}
	if changed || h.Released != n.head.Released {
		n.log.WithField("leader", string(h.Host)).WithField("epoch", uint64(h.Epoch)).WithField("released", h.Released).Info("leader changed")
	}
	n.head = h
	return changed
}

// lapseOf is how long a row must stay as it is. How long this host's latest read
// of it took tells a store that is slow, for the leader as well, from a leader that
// is cut from it: in a store that is slow, to take over does harm, since each try
// is one more write that the leader's own wait behind.
func (n *Node) lapseOf(h leader.Head, g *greeting, read time.Duration) time.Duration {
	if h.Host == n.settings.Host {
		return 0 // it was an earlier life of this host
	}
	if g.last.gone || g.last.turnedAway {
		return backoff(lapseGone, h)
	}
	least := lapse
	if g.last.answers && n.health.losing(n.clock.Now()) {
		least = lapseLosing
	}
	return backoff(least, h) + max(lapseWrites*n.health.usualWrite(), lapseReads*read, n.patience.slack())
}

// backoff returns how long is waited for a leadership instead of d: twice as long for
// each one before it that ended before it had read all jobs.
func backoff(d time.Duration, h leader.Head) time.Duration {
	return d << min(max(h.UnfinishedLoads-1, 0), backoffMost)
}

// lead tries to take over and leads until it is deposed or ctx ends.
func (n *Node) lead(ctx context.Context, old leader.Head, v store.Version) {
	c, err := n.take(ctx, old, v)
	if err != nil {
		if !errors.Is(err, leader.ErrLeadershipLost) && ctx.Err() == nil {
			n.log.WithError(err).Warn("could not take over")
		}
		return
	}
	l := n.newLeader(c)
	n.setLeading(l, c.Epoch())
	n.log.WithField("epoch", uint64(c.Epoch())).WithField("former", string(old.Host)).Info("this host leads")
	n.configs.tell(l)
	n.leads(true)
	err = l.Lead(ctx, releaseTime)
	n.leads(false)
	n.setLeading(nil, 0)
	if errors.Is(err, leader.ErrOverloaded) {
		n.mu.Lock()
		n.resignedAt = n.clock.Now()
		n.mu.Unlock()
	}
	n.log.WithField("epoch", uint64(c.Epoch())).WithError(err).Info("this host no longer leads")
}

func (n *Node) take(ctx context.Context, old leader.Head, v store.Version) (*leader.Chain, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return leader.Acquire(ctx, n.store, old, v, leader.Head{
		Host:        n.settings.Host,
		Address:     n.peerAddress(),
		Incarnation: n.life,
		MaxCores:    max(n.settings.Cores, n.knownCores()),
		Hosts:       n.knownHosts(),
	})
}

// knownCores is the processor time of the largest host that a leader told of; 0
// if none has.
func (n *Node) knownCores() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mostCores
}

// knownHosts is how many hosts a leader told of; 0 if none has.
func (n *Node) knownHosts() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostCount
}

func (n *Node) setLeading(l *leader.Leader, e spoolsill.Epoch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leading = l
	if l != nil {
		n.fitness.larger = time.Time{}
		n.head = leader.Head{
			Epoch:       e,
			Host:        n.settings.Host,
			Address:     n.peerAddress(),
			Incarnation: n.life,
		}
	}
}

func (n *Node) knownHead() leader.Head {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.head
}

func (n *Node) setLost(lost bool) {
	n.mu.Lock()
	changed := n.lost != lost
	n.lost = lost
	h := n.head
	n.mu.Unlock()
	if changed {
		n.log.WithField("leader", string(h.Host)).WithField("answers", !lost).Info("leader's health changed")
	}
}
