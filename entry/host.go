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
	// Dial opens the host's outgoing connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTP and Peer are the listeners for callers and operators, and for other
	// hosts. If one is nil, the host listens on the address in Settings.
	HTTP net.Listener
	Peer net.Listener
	// Break disables safety mechanisms. It must be zero in production.
	Break Breaks
}

// Breaks disables safety mechanisms, so that tests and fault benchmarks can show
// which failure each of them prevents.
type Breaks struct {
	Holder holder.Breaks
	Claim  bool // dispatch unrepeatable requests without a claim
	Drain  bool // stop without waiting for requests in flight
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
	limits   *rateLimits

	stopping atomic.Bool
	nonces   atomic.Uint64
	server   *http.Server
	stop     context.CancelFunc
	stopped  chan struct{}

	mu               sync.Mutex // guards the fields below
	members          *member.View
	configStore      config.Store
	savedIncarnation incarnationRow
	configReadAt     time.Time // of the last such read; see recordConfigRead
	ledger           *claim.Ledger
	peerStates       map[spoolsill.HostID]peerState // of the hall's other hosts
}

// A service holds the router and the upstream client of one service.
type service struct {
	settings settings.Service
	router   *router.Router
	client   *upstream.Client
}

// New returns a host that is not running. [Host.Run] starts it.
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
		members:     member.NewView(member.Config{}),
		peerStates:  map[spoolsill.HostID]peerState{},
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
		Skew:    maxClockSkew,
	})
	h.limits = newRateLimits()
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
		v.router.EnableOwnSlots(now.Add(time.Duration(s.SlotLifetime)))
		h.services[s.ID] = v
	}
	h.holder = holder.New(h.holderConfig())
	h.metrics = newMetrics(h)
	h.registerHandlers()
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
			h.log.WithError(err).WithField("remote", remote).Warn("peer connection failed")
			h.recordFault("peer connection with " + remote + " broke: " + err.Error())
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
		Connections:    max(s.Connections/len(h.hallHosts), 1),
		MaxAnswerBytes: s.MaxAnswerBytes,
		Dial:           h.config.Dial,
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
				MaxQueued:    s.MaxQueued,
				SlotLifetime: time.Duration(s.SlotLifetime),
				FirstLoan:    uint64(h.incarnation),
			},
			Upstream: client,
			Peers:    (*slotPeers)(h),
			Events:   h.ring,
			Saw:      h.recordRunnerCall,
			Leaves:   h.markRunnerLeaving,
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
		Workers:     h.hallWorkers,
		Quotas:      h.hallQuotas,
		Register:    h.registerJob,
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

// Run runs the host until ctx is done or [Host.Stop] has completed. It returns an
// error only if the host cannot listen or accept connections.
func (h *Host) Run(ctx context.Context) error {
	ctx, h.stop = context.WithCancel(ctx)
	defer h.stop()
	defer close(h.stopped)
	httpListener, err := listen(h.config.HTTP, h.settings.Host.HTTPAddress)
	if err != nil {
		return eris.Wrap(err, "http")
	}
	peerListener, err := listen(h.config.Peer, h.settings.Host.PeerAddress)
	if err != nil {
		_ = httpListener.Close()
		return eris.Wrap(err, "peer")
	}
	h.recordEvent(timeline.KindMembership, "host started")
	h.log.WithField("http", httpListener.Addr().String()).Info("host started")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.node.Serve(ctx, peerListener) })
	g.Go(func() error { return h.serveHTTP(ctx, httpListener) })
	g.Go(func() error { h.holder.Run(ctx); return nil })
	g.Go(func() error { h.pollMembers(ctx); return nil })
	g.Go(func() error { h.pollConfig(ctx); return nil })
	g.Go(func() error { h.sendHeartbeats(ctx); return nil })
	g.Go(func() error { h.recoverOwnSlots(ctx); return nil })
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
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
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

// Limits of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Stop shuts the host down gracefully: the host reports that it is not ready,
// waits for the configured delay so that load balancers notice, rejects new
// work, completes work in flight and releases the hall's lease. Stop returns
// when Run has returned. If ctx is done first, Stop aborts the remaining work
// and returns false.
func (h *Host) Stop(ctx context.Context) bool {
	if h.stopping.Swap(true) {
		<-h.stopped
		return true
	}
	h.recordEvent(timeline.KindOperator, "planned stop began")
	h.log.Info("planned stop began")
	h.holder.SetStopping()
	if !h.config.Break.Drain {
		h.drain(ctx)
	}
	clean := ctx.Err() == nil
	h.recordEvent(timeline.KindOperator, "planned stop ends")
	h.stop()
	<-h.stopped
	return clean
}

// drain performs the steps of a graceful shutdown before the host is stopped.
func (h *Host) drain(ctx context.Context) {
	pause.For(ctx, time.Duration(h.settings.Host.DrainDelay))
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	if s != nil {
		_ = s.Shutdown(ctx)
	}
	drained := true
	for _, v := range h.services {
		drained = v.router.StopAndWait(ctx) && drained
	}
	h.holder.Drain(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaseReleaseTimeout)
	defer cancel()
	h.holder.Release(ctx)
	if drained {
		h.recordCleanShutdown(ctx)
	}
}

// leaseReleaseTimeout bounds the release of the hall's lease by Stop. While the
// platform does not respond, the lease cannot be released and eventually expires.
const leaseReleaseTimeout = 5 * time.Second

// Ring returns the ring buffer of the host's events.
func (h *Host) Ring() *timeline.Ring {
	return h.ring
}

// HoldsLease reports whether the host currently holds its hall's lease.
func (h *Host) HoldsLease() bool {
	return h.holder.Holds()
}

// BytesSent returns the number of bytes sent to other hosts.
func (h *Host) BytesSent() uint64 {
	n, _ := h.node.Traffic()
	return n
}

// PlatformUnavailable reports whether the platform did not respond to recent calls.
func (h *Host) PlatformUnavailable() bool {
	return h.platform.Unavailable()
}

// CheckInvariants verifies the invariants of the hall's state. It fails with
// [holder.ErrNotHolder] on a host that does not hold the hall's lease.
func (h *Host) CheckInvariants() error {
	return h.holder.CheckInvariants()
}

// ConfigVersion returns the version of the configuration in force.
func (h *Host) ConfigVersion() spoolsill.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.configStore.Current().Version
}

func (h *Host) recordEvent(k timeline.Kind, text string) {
	h.ring.Add(timeline.Event{
		Kind: k,
		Text: text,
	})
}

// recordFault counts a fault and records it as an event. Examples are a failed
// connection and rejected input.
func (h *Host) recordFault(text string) {
	h.metrics.faults.Add(context.Background(), 1)
	h.recordEvent(timeline.KindFault, text)
}
