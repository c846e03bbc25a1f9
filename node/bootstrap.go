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
	// bootstrapInterval is the interval between rounds of queries of such a host, and
	// peerInfoTimeout limits one round. Hosts in a region respond within milliseconds.
	bootstrapInterval = 200 * time.Millisecond
	peerInfoTimeout   = 300 * time.Millisecond
	// isolatedInterval is the interval for a host that reaches neither the store nor a
	// leader: several times as long as other hosts need to take over.
	isolatedInterval = 500 * time.Millisecond
	// unconfiguredTakeoverDelay is how long a host without a configuration leaves a
	// takeover to others, since it could start no tasks.
	unconfiguredTakeoverDelay = 3 * time.Second
	// takeoverRecheckInterval is how often such a host checks whether it may take over.
	takeoverRecheckInterval = 20 * time.Millisecond
)

type peerInfoRequest struct{}

// A peerInfoReply describes the configuration and the leader known to the replying host.
// Hosts that have just started or are isolated request it.
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
// respond to all requests with 503, which the platform's clients treat as final, and a
// host cut off from the store would not learn of the next leader.
func (n *Node) learnFromPeers(ctx context.Context) {
	pause.For(ctx, bootstrapDelay)
	unresponsive := map[string]bool{}
	for ctx.Err() == nil {
		switch {
		case n.bootstrapping():
			n.queryPeers(ctx, unresponsive)
			pause.For(ctx, bootstrapInterval)
		case n.isolated():
			n.queryPeers(ctx, unresponsive)
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
// unresponsive, by address, which queries failed, so that consecutive failures of a host
// are logged once.
func (n *Node) queryPeers(ctx context.Context, unresponsive map[string]bool) {
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
		if failed[i] != nil && !unresponsive[a] {
			n.log.WithError(failed[i]).WithField("address", a).Info("host could not be asked for the configuration")
		}
		unresponsive[a] = failed[i] != nil
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

// takeoverAllowed reports whether this host may take over from a leader whose row has
// remained unchanged for the given time. A host that lacks the configuration, or does not know
// yet which halls are evacuated, waits for one that has them.
func (n *Node) takeoverAllowed(unchanged time.Duration) bool {
	_, ok := n.Config()
	return ok && n.evacuations.listed() || unchanged >= unconfiguredTakeoverDelay
}
