package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
)

const (
	// bootstrapDelay is how long a host that has just started waits for the
	// configuration from the store before it queries other hosts: several reads.
	bootstrapDelay = 100 * time.Millisecond
	// bootstrapInterval is the interval between its rounds of queries, and
	// peerInfoTimeout limits one of them. Hosts in a region respond within
	// milliseconds.
	bootstrapInterval = 200 * time.Millisecond
	peerInfoTimeout   = 300 * time.Millisecond
	// isolatedInterval is the interval for a host that reaches neither the store nor a
	// leader: several times as long as other hosts need to take over.
	isolatedInterval = 500 * time.Millisecond
	// unconfiguredTakeoverDelay is how long a host without a configuration lets others
	// take over, since it could start no tasks.
	unconfiguredTakeoverDelay = 3 * time.Second
	// takeoverRecheckInterval is how often it checks whether it may take over.
	takeoverRecheckInterval = 20 * time.Millisecond
)

type peerInfoRequest struct{}

// A peerInfoReply tells a host that has just started, or is isolated, what others know.
type peerInfoReply struct {
	// Held describes the replying host's configuration; its version is 0 if it has
	// none.
	Held configSummary
	// Head identifies the leader.
	Head leader.Head
}

func (n *Node) handlePeerInfo(context.Context, peer.Caller, peerInfoRequest) (peerInfoReply, error) {
	return peerInfoReply{
		Held: n.configs.summary(n.clock.Now()),
		Head: n.knownHead(),
	}, nil
}

// learnFromPeers queries other hosts for their configuration and the leader, until this
// host knows which configuration is the newest, and whenever it reaches neither the
// store nor a leader. Otherwise a host that starts while the store is unreachable would
// refuse all clients, which the platform's rules make permanent, and a host cut off
// from the store would not learn of the next leader.
func (n *Node) learnFromPeers(ctx context.Context) {
	pause.For(ctx, bootstrapDelay)
	silent := map[string]bool{}
	for ctx.Err() == nil {
		switch {
		case n.bootstrapping():
			n.queryPeers(ctx, silent)
			pause.For(ctx, bootstrapInterval)
		case n.isolated():
			n.queryPeers(ctx, silent)
			pause.For(ctx, n.scaledInterval(isolatedInterval))
		default:
			pause.For(ctx, isolatedInterval)
		}
	}
}

// bootstrapping reports whether this host has not yet established which configuration
// is the newest.
func (n *Node) bootstrapping() bool {
	_, known := n.Config()
	_, confirmed := n.configs.age(n.clock.Now())
	return !known || !confirmed
}

// isolated reports whether this host reaches neither the store nor a leader.
func (n *Node) isolated() bool {
	_, hasLeader := n.reachableLeader()
	return !hasLeader && n.localLeader() == nil && !n.health.reachable(n.clock.Now())
}

// queryPeers queries all hosts listed in the settings concurrently. It records in
// silent which of them failed, so that each failure is logged once.
func (n *Node) queryPeers(ctx context.Context, silent map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, peerInfoTimeout)
	defer cancel()
	failed := make([]error, len(n.settings.Peers))
	var g errgroup.Group
	for i, a := range n.settings.Peers {
		g.Go(func() error {
			failed[i] = n.queryPeer(ctx, a)
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	for i, a := range n.settings.Peers {
		if failed[i] != nil && !silent[a] {
			n.log.WithError(failed[i]).WithField("address", a).Info("host could not be asked for the configuration")
		}
		silent[a] = failed[i] != nil
	}
}

func (n *Node) queryPeer(ctx context.Context, address string) error {
	h := spoolsill.HostID(address) // the host's id is not known yet
	n.peers.SetAddress(h, address)
	sent := n.clock.Now()
	r, err := peer.Call[peerInfoReply](ctx, n.peers, h, methodPeerInfo, peerInfoRequest{})
	if err != nil {
		return err
	}
	n.configs.confirmFromHost(r.Held, sent)
	n.configs.recordOffer(h, r.Held, n.clock.Now())
	if r.Head.Epoch > n.knownHead().Epoch {
		n.updateHead(r.Head)
	}
	return nil
}

// takeoverAllowed reports whether this host may take over a leadership that has been
// silent for the given time.
func (n *Node) takeoverAllowed(elapsed time.Duration) bool {
	_, ok := n.Config()
	return ok || elapsed >= unconfiguredTakeoverDelay
}
