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

// leads reports whether an answer shows that the leader of a row is well.
func (r greetReply) leads(h leader.Head) bool {
	return r.Leads && r.Epoch == h.Epoch && !r.turnedAway() && r.Age < stale+min(lapseWrites*r.UsualWrite, staleMost)
}

// turnedAway reports whether the store turns the leader away, for longer than a
// moment, and is not just slow: then a write that is one too many is refused.
func (r greetReply) turnedAway() bool {
	return r.Refused >= refusedMost && r.UsualWrite < quickWrite
}

func (n *Node) greetLeader(ctx context.Context, h leader.Head, timeout time.Duration) (greetReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n.peers.SetAddress(h.Host, h.Address)
	sent := n.clock.Now()
	r, err := peer.Call[greetReply](ctx, n.peers, h.Host, methodGreet, greetRequest{
		Address: n.peerAddress(),
		Version: math.MaxUint64,
		Held:    n.configs.held(sent),
		Cores:   n.settings.Cores,
		Hall:    n.settings.Hall,
		// One that stops takes on nothing new.
		Delegate: !n.closing.Load(),
		Specs:    true,

		StoredSpecs: true,
		Lives:       true,
		MayLead:     n.mayTakeOver(),
		Link:        n.settings.LinkRate,
	})
	if err == nil && r.Leads {
		n.patience.observe(n.clock.Since(sent))
		n.mu.Lock()
		n.mostCores = r.MostCores
		n.hostCount = r.Hosts
		n.shedTold = shedding{
			share:   r.Refuse,
			latency: r.AnswerLatency,
			told:    n.clock.Now(),
		}
		n.loading = loadingOf(r, n.clock.Now())
		n.heard = ledWrite{
			epoch:  r.Epoch,
			writes: r.Writes,
		}
		n.heardBegun = n.clock.Now().Add(-r.Age)
		n.mu.Unlock()
	}
	if err == nil {
		n.configs.vouchedBy(r.Held, sent)
		n.configs.offeredBy(h.Host, r.Held, n.clock.Now())
	}
	return r, err
}

// loadingFor is how long a leader that has said that it is loading is taken for it without
// another word: a few greetings.
const loadingFor = time.Second

// leaderLoads reports whether the leader has just said that it is loading: to ask it for
// jobs, or to tell it of them, would only keep its link from what it reads.
func (n *Node) leaderLoads() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loading.epoch == n.head.Epoch && !n.loading.at.IsZero() && n.clock.Since(n.loading.at) < loadingFor
}

// A loadingLeader is one that has said at a time that it is loading.
type loadingLeader struct {
	epoch spoolsill.Epoch
	at    time.Time // zero when the last greeting said no such thing
}

func loadingOf(r greetReply, now time.Time) loadingLeader {
	if !r.Loading {
		return loadingLeader{}
	}
	return loadingLeader{
		epoch: r.Epoch,
		at:    now,
	}
}

// A ledWrite names the latest write of a leadership that lasts: the one with so
// many of them.
type ledWrite struct {
	epoch  spoolsill.Epoch
	writes uint64
}

// unchangedSince returns since when a row that is read now has been as it is:
// since the write that the leader told of, if it is still that one.
func (n *Node) unchangedSince(h leader.Head, now time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	row := ledWrite{
		epoch:  h.Epoch,
		writes: h.Write,
	}
	if n.heard == row && n.heardBegun.Before(now) {
		return n.heardBegun
	}
	return now
}

// A greeting calls the leader while its row is being watched; the calls of a
// leader that is silent must not hold the watch up.
type greeting struct {
	result chan greetResult
	last   greetResult
}

type greetResult struct {
	well bool
	gone bool
	// answers tells that the leader answers and leads, well or not.
	answers bool
	// turnedAway tells that it does, and that the store turns it away.
	turnedAway bool
}

// well begins a call when none is under way, and reports whether the latest
// one found the leader well.
func (g *greeting) well(ctx context.Context, n *Node, h leader.Head) bool {
	if h.Host == n.settings.Host || h.Host == "" || h.Released {
		return false
	}
	if g.result == nil {
		g.result = make(chan greetResult, 1)
		go func(to chan<- greetResult) { to <- n.greetResult(ctx, h) }(g.result)
		pause.For(ctx, greetAtOnce)
	}
	select {
	case g.last = <-g.result:
		g.result = nil
		n.setLost(!g.last.well)
	default:
	}
	return g.last.well
}

// greetAtOnce is how long the watch waits for the answer of a leader that is
// there: some round trips.
const greetAtOnce = 15 * time.Millisecond

func (n *Node) greetResult(ctx context.Context, h leader.Head) greetResult {
	r, err := n.greetLeader(ctx, h, n.patience.most(greetTimeout))
	answers := err == nil && r.Leads && r.Epoch == h.Epoch
	return greetResult{
		well:       err == nil && r.leads(h),
		gone:       refused(err) || err == nil && !r.Leads,
		answers:    answers,
		turnedAway: answers && r.turnedAway(),
	}
}
