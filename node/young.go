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
		Held: n.configs.held(time.Now()),
		Head: n.knownHead(),
	}, nil
}

// learnFromHosts asks other hosts which configuration they have until it is known
// which one is the newest: a host that starts while the store is away would else
// refuse all clients, for good by the platform's rules.
func (n *Node) learnFromHosts(ctx context.Context) {
	pause.For(ctx, youngAfter)
	for ctx.Err() == nil {
		_, known := n.Config()
		if _, heard := n.configs.age(time.Now()); heard && known {
			return
		}
		n.askForNews(ctx)
		pause.For(ctx, youngEvery)
	}
}

// askForNews asks all hosts that the settings name, side by side.
func (n *Node) askForNews(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, youngTimeout)
	defer cancel()
	var g errgroup.Group
	for _, a := range n.settings.Peers {
		g.Go(func() error {
			n.askHostForNews(ctx, a)
			return nil
		})
	}
	_ = g.Wait() // always nil
}

func (n *Node) askHostForNews(ctx context.Context, address string) {
	h := spoolsill.HostID(address) // its name is not known yet
	n.peers.Learn(h, address)
	sent := time.Now()
	r, err := peer.Call[newsReply](ctx, n.peers, h, methodNews, newsRequest{})
	if err != nil {
		n.log.WithError(err).WithField("address", address).Info("host could not be asked for the configuration")
		return
	}
	n.configs.vouchedBy(r.Held, sent)
	n.configs.offeredBy(h, r.Held, time.Now())
	if r.Head.Epoch > n.knownHead().Epoch {
		n.takeHead(r.Head)
	}
}

// mayLead reports whether this host may take over a leadership that lapsed
// some time ago.
func (n *Node) mayLead(lapsed time.Duration) bool {
	_, ok := n.Config()
	return ok || lapsed >= youngLeads
}
