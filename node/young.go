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
	// youngAfter is how long a host that has just started waits for the store
	// to tell the configuration before it asks other hosts: some reads.
	youngAfter = 100 * time.Millisecond
	// youngEvery is between its rounds of questions, youngTimeout for one of
	// them; hosts of a region answer in milliseconds.
	youngEvery   = 200 * time.Millisecond
	youngTimeout = 300 * time.Millisecond
	// aloneEvery is the same for a host that has neither the store nor a leader to
	// ask: a few times as long as other hosts need to take over.
	aloneEvery = 500 * time.Millisecond
	// youngLeads is for how long a host without a configuration lets others
	// take over: it could start nothing.
	youngLeads = 3 * time.Second
	// youngPause is between its looks at whether it may.
	youngPause = 20 * time.Millisecond
)

type newsRequest struct{}

// A newsReply tells a host that has just started what others know.
type newsReply struct {
	// Held is the configuration that the host has; its version is 0 when it has
	// none.
	Held heldConfig
	// Head is who leads.
	Head leader.Head
}

func (n *Node) newsAsked(context.Context, peer.Caller, newsRequest) (newsReply, error) {
	return newsReply{
		Held: n.configs.held(n.clock.Now()),
		Head: n.knownHead(),
	}, nil
}

// learnFromHosts asks other hosts which configuration they have, and who leads,
// until it is known which configuration is the newest, and whenever neither the
// store nor a leader can be asked. A host that starts while the store is away would
// else refuse all clients, for good by the platform's rules, and one that the store
// does not reach would not hear of the next leader.
func (n *Node) learnFromHosts(ctx context.Context) {
	pause.For(ctx, youngAfter)
	silent := map[string]bool{}
	for ctx.Err() == nil {
		switch {
		case n.young():
			n.askForNews(ctx, silent)
			pause.For(ctx, youngEvery)
		case n.alone():
			n.askForNews(ctx, silent)
			pause.For(ctx, n.spaced(aloneEvery))
		default:
			pause.For(ctx, aloneEvery)
		}
	}
}

// young reports whether it has not been known yet which configuration is the
// newest.
func (n *Node) young() bool {
	_, known := n.Config()
	_, heard := n.configs.age(n.clock.Now())
	return !known || !heard
}

// alone reports whether neither the store nor a leader can be asked.
func (n *Node) alone() bool {
	_, led := n.leaderHost()
	return !led && n.leaderHere() == nil && !n.health.reachable(n.clock.Now())
}

// askForNews asks all hosts that the settings name, side by side. It remembers which
// of them did not answer, to tell of it once.
func (n *Node) askForNews(ctx context.Context, silent map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, youngTimeout)
	defer cancel()
	failed := make([]error, len(n.settings.Peers))
	var g errgroup.Group
	for i, a := range n.settings.Peers {
		g.Go(func() error {
			failed[i] = n.askHostForNews(ctx, a)
			return nil
		})
	}
	_ = g.Wait() // always nil
	for i, a := range n.settings.Peers {
		if failed[i] != nil && !silent[a] {
			n.log.WithError(failed[i]).WithField("address", a).Info("host could not be asked for the configuration")
		}
		silent[a] = failed[i] != nil
	}
}

func (n *Node) askHostForNews(ctx context.Context, address string) error {
	h := spoolsill.HostID(address) // its name is not known yet
	n.peers.SetAddress(h, address)
	sent := n.clock.Now()
	r, err := peer.Call[newsReply](ctx, n.peers, h, methodNews, newsRequest{})
	if err != nil {
		return err
	}
	n.configs.vouchedBy(r.Held, sent)
	n.configs.offeredBy(h, r.Held, n.clock.Now())
	if r.Head.Epoch > n.knownHead().Epoch {
		n.takeHead(r.Head)
	}
	return nil
}

// mayLead reports whether this host may take over a leadership that lapsed
// some time ago.
func (n *Node) mayLead(lapsed time.Duration) bool {
	_, ok := n.Config()
	return ok || lapsed >= youngLeads
}
