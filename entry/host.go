package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/claim"
	"github.com/spoolsill/spoolsill/config"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/lease"
	"github.com/spoolsill/spoolsill/member"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/route"
	"github.com/spoolsill/spoolsill/router"
	"github.com/spoolsill/spoolsill/settings"
	"github.com/spoolsill/spoolsill/table/remote"
	"github.com/spoolsill/spoolsill/timeline"
	"github.com/spoolsill/spoolsill/upstream"
)

// A Config describes a [Host].
type Config struct {
	Settings settings.Settings
	Log      logrus.FieldLogger
	// Dial opens all connections of the host; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTP and Peer are the listeners; nil listens on the addresses of the
	// settings.
	HTTP net.Listener
	Peer net.Listener
	// Break switches mechanisms off, for tests only.
	Break Breaks
}

// Breaks switches mechanisms off, so that tests can show what each is for.
type Breaks struct {
	Holder holder.Breaks
	Claim  bool // dispatch unrepeatable requests without a claim
	Drain  bool // stop without waiting for requests under way
}

// A Host is one entry host. It is safe for concurrent use.
type Host struct {
	config      Config
	settings    settings.Settings
	hall        settings.Hall
	hallHosts   []spoolsill.HostID
	incarnation spoolsill.Incarnation
	started     time.Time
	log         logrus.FieldLogger

	clock    *timeline.Clock
	ring     *timeline.Ring
	node     *peer.Node
	platform *remote.Client
	agents   *agent.Client
	holder   *holder.Holder
	services map[spoolsill.ServiceID]*service
	metrics  *metrics
	limits   *limits

	stopping atomic.Bool
	nonces   atomic.Uint64
	server   *http.Server
	stop     context.CancelFunc
	stopped  chan struct{}

	mu     sync.Mutex // guards what follows
	view   *member.View
	store  config.Store
	life   lifeRow
	read   time.Time // the last time known at which the newest configuration was read from the table, here or by another host of the hall
	ledger *claim.Ledger
	beats  map[spoolsill.HostID]seen
}

// A service is what the host has for one service.
type service struct {
	settings settings.Service
	router   *router.Router
	client   *upstream.Client
}

// New returns a host that does nothing before Run.
func New(c Config) *Host {
	now := time.Now()
	h := &Host{
		config:      c,
		settings:    c.Settings,
		hall:        c.Settings.OwnHall(),
		incarnation: spoolsill.Incarnation(now.UnixNano()),
		started:     now,
		clock:       &timeline.Clock{},
		services:    map[spoolsill.ServiceID]*service{},
		view:        member.NewView(member.Config{}),
		beats:       map[spoolsill.HostID]seen{},
		stopped:     make(chan struct{}),
	}
	h.hallHosts = h.hall.HostIDs()
	h.log = c.Log.WithFields(logrus.Fields{
		"host": c.Settings.Host.ID,
		"hall": h.hall.ID,
	})
	h.ring = timeline.NewRing(timeline.Config{
		Host:  c.Settings.Host.ID,
		Hall:  h.hall.ID,
		Clock: h.clock,
	})
	h.ledger = claim.NewLedger(claim.Config{
		Started: now,
		Skew:    maxSkew,
	})
	h.limits = newLimits()
	h.platform = remote.NewClient(remote.Config{
		URL:     c.Settings.Platform.URL,
		Timeout: time.Duration(c.Settings.Platform.Timeout),
		Reads:   c.Settings.Platform.ReadsPerSecond,
		Writes:  c.Settings.Platform.WritesPerSecond,
		Dial:    c.Dial,
	})
	h.agents = agent.NewClient(agent.Config{
		Dial: c.Dial,
	})
	h.node = h.newNode()
	for _, s := range c.Settings.Services {
		v := h.newService(s)
		v.router.SetHome(now.Add(time.Duration(s.SlotLifetime)))
		h.services[s.ID] = v
	}
	h.holder = holder.New(h.holderConfig())
	h.metrics = newMetrics(h)
	h.handlePeers()
	return h
}

func (h *Host) newNode() *peer.Node {
	addresses := map[spoolsill.HostID]string{}
	for _, x := range h.settings.Halls {
		for _, p := range x.Hosts {
			addresses[p.ID] = p.PeerAddress
		}
	}
	c := peer.Config{
		Host:        h.settings.Host.ID,
		Incarnation: h.incarnation,
		Addresses:   addresses,
		Clock:       h.clock,
		Report: func(remote string, err error) {
			h.log.WithError(err).WithField("remote", remote).Warn("peer connection broke")
			h.fault("peer connection with " + remote + " broke: " + err.Error())
		},
	}
	if d := h.config.Dial; d != nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d(ctx, "tcp", address)
		}
	}
	return peer.NewNode(c)
}

func (h *Host) newService(s settings.Service) *service {
	client := upstream.NewClient(upstream.Config{
		Connections: max(s.Connections/len(h.hallHosts), 1),
		Answer:      s.MaxAnswerBytes,
		Dial:        h.config.Dial,
	})
	return &service{
		settings: s,
		client:   client,
		router: router.New(router.Config{
			Route: route.Config{
				Service:      s.ID,
				Host:         h.settings.Host.ID,
				Hosts:        h.hallHosts,
				Slots:        s.Slots,
				Queue:        s.MaxQueued,
				SlotLifetime: time.Duration(s.SlotLifetime),
				FirstLoan:    uint64(h.incarnation),
			},
			Upstream: client,
			Peers:    (*slotPeers)(h),
			Events:   h.ring,
			Saw:      h.sawRunner,
			Leaves:   h.runnerLeaves,
		}),
	}
}

func (h *Host) holderConfig() holder.Config {
	return holder.Config{
		Host:        h.settings.Host.ID,
		Incarnation: h.incarnation,
		Hall:        h.hall.ID,
		Hosts:       h.hallHosts,
		Table:       h.platform,
		Objects:     h.platform,
		Agents:      h.agents,
		Peers:       (*holderPeers)(h),
		Workers:     h.workers,
		Quotas:      h.quotas,
		Register:    h.register,
		Events:      h.ring,
		Log:         h.log,
		Lease: lease.Config{
			Duration: time.Duration(h.settings.Lease.Hall),
			Renew:    time.Duration(h.settings.Lease.Hall) * 3 / 10,
		},
		Place:     place.Config{},
		TaskLease: time.Duration(h.settings.Lease.Task),
		Break:     h.config.Break.Holder,
	}
}

// Run serves until ctx ends or [Host.Stop] is done. It returns an error only
// when the host can't listen.
func (h *Host) Run(ctx context.Context) error {
	ctx, h.stop = context.WithCancel(ctx)
	defer h.stop()
	defer close(h.stopped)
	web, err := listen(h.config.HTTP, h.settings.Host.HTTPAddress)
	if err != nil {
		return eris.Wrap(err, "http")
	}
	inner, err := listen(h.config.Peer, h.settings.Host.PeerAddress)
	if err != nil {
		_ = web.Close()
		return eris.Wrap(err, "peer")
	}
	h.event(timeline.KindMembership, "host started")
	h.log.WithField("http", web.Addr().String()).Info("host started")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.node.Serve(ctx, inner) })
	g.Go(func() error { return h.serveHTTP(ctx, web) })
	g.Go(func() error { h.holder.Run(ctx); return nil })
	g.Go(func() error { h.followMembers(ctx); return nil })
	g.Go(func() error { h.followConfig(ctx); return nil })
	g.Go(func() error { h.beat(ctx); return nil })
	g.Go(func() error { h.openHome(ctx); return nil })
	for _, s := range h.services {
		g.Go(func() error { s.router.Run(ctx); return nil })
	}
	err = g.Wait()
	h.close()
	return err
}

func listen(l net.Listener, address string) (net.Listener, error) {
	if l != nil {
		return l, nil
	}
	return net.Listen("tcp", address)
}

func (h *Host) close() {
	h.node.Close()
	h.platform.Close()
	h.agents.Close()
	for _, s := range h.services {
		s.client.Close()
	}
}

func (h *Host) serveHTTP(ctx context.Context, l net.Listener) error {
	s := &http.Server{
		Handler:           h.handler(),
		ReadHeaderTimeout: readTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          nil,
	}
	h.mu.Lock()
	h.server = s
	h.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); err != nil && ctx.Err() == nil && !h.stopping.Load() {
		return err
	}
	<-ctx.Done()
	return nil
}

// Limits of the HTTP interface.
const (
	readTimeout = 10 * time.Second
	maxHeader   = 16 << 10
)

// Stop ends the host as planned: readiness goes off, the balancer gets its
// time to notice, no new work is taken, all that is under way finishes, the
// hall's lease is given back. It returns when Run has, or when ctx ends; then
// what is left is cut off, and Stop reports false.
func (h *Host) Stop(ctx context.Context) bool {
	if h.stopping.Swap(true) {
		<-h.stopped
		return true
	}
	h.event(timeline.KindOperator, "planned stop began")
	h.log.Info("planned stop began")
	h.holder.Leave()
	if !h.config.Break.Drain {
		h.finishWork(ctx)
	}
	clean := ctx.Err() == nil
	h.event(timeline.KindOperator, "planned stop ends")
	h.stop()
	<-h.stopped
	return clean
}

func (h *Host) finishWork(ctx context.Context) {
	pause.For(ctx, time.Duration(h.settings.Host.DrainDelay))
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	if s != nil {
		_ = s.Shutdown(ctx)
	}
	empty := true
	for _, v := range h.services {
		empty = v.router.Stop(ctx) && empty
	}
	h.holder.Drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, releaseWithin)
	defer cancel()
	h.holder.Release(ctx)
	if empty {
		h.closeHome(ctx)
	}
}

// releaseWithin bounds the giving back of the lease at a planned stop. While
// the platform is silent it can't be given back, and lapses by itself.
const releaseWithin = 5 * time.Second

// Ring returns the host's events.
func (h *Host) Ring() *timeline.Ring {
	return h.ring
}

// Holds reports whether the host holds its hall's lease now.
func (h *Host) Holds() bool {
	return h.holder.Holds()
}

// Sent returns the bytes that the host has sent to other hosts.
func (h *Host) Sent() uint64 {
	n, _ := h.node.Traffic()
	return n
}

// Silent reports whether the platform has not answered lately.
func (h *Host) Silent() bool {
	return h.platform.Silent()
}

// Check verifies what must hold at all times over the hall's state. It fails
// with [holder.ErrNotHolder] at a host that does not hold the hall's lease.
func (h *Host) Check() error {
	return h.holder.Check()
}

// ConfigVersion returns the version of the configuration in force.
func (h *Host) ConfigVersion() spoolsill.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.Current().Version
}

func (h *Host) event(k timeline.Kind, text string) {
	h.ring.Add(timeline.Event{
		Kind: k,
		Text: text,
	})
}

// fault counts and records something that should not have come about.
func (h *Host) fault(text string) {
	h.metrics.faults.Add(context.Background(), 1)
	h.event(timeline.KindFault, text)
}
