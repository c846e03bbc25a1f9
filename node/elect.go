package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// greetEvery is how often a host calls the leader.
	greetEvery = 250 * time.Millisecond
	// greetTimeout is for one call; hosts of a region answer in milliseconds,
	// and one that does not get the processor for half a second is of no use
	// as a leader.
	greetTimeout = 500 * time.Millisecond
	// lapse is how long the leader's row must stay as it is before another
	// host takes over; the leader writes it every 0.4 s, and a slow store
	// takes half a second for a write.
	lapse = 1200 * time.Millisecond
	// lapseGone is the same when the leader's process is gone: its port
	// refuses connections, or it says that it does not lead. A host that has
	// just taken over needs a moment to know it.
	lapseGone = 150 * time.Millisecond
	// stale is how old the leader's latest write may be by its own word.
	stale = 1200 * time.Millisecond
	// watchEvery is how often the row is read while the leader is in doubt.
	watchEvery = 120 * time.Millisecond
	// takeTimeout bounds one try to take over.
	takeTimeout = 3 * time.Second
)

// elect follows who leads, and leads when it is this host's turn, until ctx
// ends.
func (n *Node) elect(ctx context.Context) {
	for ctx.Err() == nil {
		if n.greet(ctx) {
			pause.For(ctx, greetEvery)
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
	r, err := n.greetLeader(ctx, h)
	ok := err == nil && r.Leads && r.Epoch == h.Epoch && r.Age < stale
	n.setLost(!ok)
	return ok
}

func (n *Node) greetLeader(ctx context.Context, h leader.Head) (greetReply, error) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	n.peers.Learn(h.Host, h.Address)
	c := n.configs.get()
	r, err := peer.Call[greetReply](ctx, n.peers, h.Host, methodGreet, greetRequest{
		Address: n.peerAddress(),
		Version: c.version,
	})
	if err == nil && len(r.Config) > 0 {
		n.takeConfig(r.Config, "leader")
	}
	return r, err
}

// watch reads the leader's row until it changes, or until it has stayed as it
// is for so long that this host tries to take over.
func (n *Node) watch(ctx context.Context) {
	var at store.Version
	var since time.Time
	first := true
	for ctx.Err() == nil {
		h, v, err := leader.ReadHead(ctx, n.store)
		if err != nil {
			pause.For(ctx, watchEvery)
			continue
		}
		now := time.Now()
		if first || v != at {
			first = false
			at = v
			since = now
			if n.follow(ctx, h) {
				return
			}
		}
		if h.Released || v == 0 || now.Sub(since) >= n.lapseOf(ctx, h) {
			n.lead(ctx, h, v)
			return
		}
		pause.For(ctx, watchEvery/2+rand.N(watchEvery))
	}
}

// follow takes in what the row says, and reports whether that leader is well.
func (n *Node) follow(ctx context.Context, h leader.Head) bool {
	n.mu.Lock()
	if h.Epoch != n.head.Epoch || h.Released != n.head.Released {
		n.log.WithField("leader", string(h.Host)).WithField("epoch", uint64(h.Epoch)).WithField("released", h.Released).Info("leader changed")
	}
	n.head = h
	n.mu.Unlock()
	if h.Host == n.settings.Host {
		return false
	}
	return n.greet(ctx)
}

// lapseOf is how long a row must stay as it is: shorter when the leader's
// process is known to be gone.
func (n *Node) lapseOf(ctx context.Context, h leader.Head) time.Duration {
	if h.Host == n.settings.Host {
		return lapseGone // an earlier life of this host
	}
	r, err := n.greetLeader(ctx, h)
	if refused(err) || err == nil && !r.Leads {
		return lapseGone
	}
	return lapse
}

// lead tries to take over and leads until it is deposed or ctx ends.
func (n *Node) lead(ctx context.Context, old leader.Head, v store.Version) {
	c, err := n.take(ctx, old, v)
	if err != nil {
		if !errors.Is(err, leader.ErrDeposed) && ctx.Err() == nil {
			n.log.WithError(err).Warn("could not take over")
		}
		return
	}
	l := n.newLeader(c)
	n.setLeading(l, c.Epoch())
	n.log.WithField("epoch", uint64(c.Epoch())).WithField("former", string(old.Host)).Info("this host leads")
	l.SetQueues(n.configs.queues())
	err = l.Lead(ctx, releaseTime)
	n.setLeading(nil, 0)
	n.log.WithField("epoch", uint64(c.Epoch())).WithError(err).Info("this host no longer leads")
}

func (n *Node) take(ctx context.Context, old leader.Head, v store.Version) (*leader.Chain, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return leader.Take(ctx, n.store, old, v, leader.Head{
		Host:    n.settings.Host,
		Address: n.peerAddress(),
		Life:    n.life,
	})
}

func (n *Node) setLeading(l *leader.Leader, e spoolsill.Epoch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leading = l
	if l != nil {
		n.head = leader.Head{
			Epoch: e,
			Host:  n.settings.Host,
			Life:  n.life,
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
