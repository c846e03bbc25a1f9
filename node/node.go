package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/admit"
	"github.com/spoolsill/spoolsill/internal/clock"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
	"github.com/spoolsill/spoolsill/telemetry"
	"github.com/spoolsill/spoolsill/traffic"
)

const (
	// drainTime is how long a host that stops still takes connections, so
	// that the balancer has seen it say that it is not ready: two of its
	// questions, one a second.
	drainTime = 2200 * time.Millisecond
	// releaseTime bounds giving the leadership up.
	releaseTime = time.Second
	// stopMargin is left of the grace for the end of the process itself.
	stopMargin = 500 * time.Millisecond
	// headerTimeout bounds reading a request's header.
	headerTimeout = 3 * time.Second
	// readTimeout bounds reading a whole request: a body of 256 KB over a slow
	// line.
	readTimeout = 10 * time.Second
	// idleTimeout closes clients' idle connections.
	idleTimeout = 30 * time.Second
	// keepFactor is how many times longer than must be the states of jobs that
	// ended are kept.
	keepFactor = 2
	// leaseMost is the longest lease that is asked for. What runs on a worker that
	// is lost starts elsewhere once its lease is over, twice as late after a
	// take-over: with ten seconds lasting work stood still for 26. Without a write
	// leases go on for twice as long; with five seconds an outage of the store of
	// 5.6 s ended work that ran, 0.012 of a day's worth.
	leaseMost = 7 * time.Second
	// settleTime is within which nearly all workers answer a new leader: 35 of 35
	// within 60 ms. Without it a take-over took 0.65 s longer until work started.
	settleTime = 80 * time.Millisecond
	// maxHeader is the longest header that is read, in bytes.
	maxHeader = 16 << 10
)

// A Config describes a [Node].
type Config struct {
	Settings platform.Settings
	Log      *logrus.Logger
	// Metrics takes in what happens; they are served at MetricsPort if that
	// is not 0.
	Metrics     *telemetry.Metrics
	MetricsPort int
	// Leads is told when the host begins to lead, and when it ends; nil means that
	// nobody is.
	Leads func(leads bool)
	// Clock tells the time; nil means the system's.
	Clock *clock.Clock
	// Dial opens connections to the platform and to workers; nil means TCP.
	Dial platform.Dialer
	// Listen opens a listener; nil means TCP.
	Listen func(address string) (net.Listener, error)
}

// A Node is one host. Run may be called once.
type Node struct {
	settings platform.Settings
	log      *logrus.Entry
	clock    *clock.Clock
	listen   func(address string) (net.Listener, error)
	leads    func(bool)
	store    store.Store
	workers  *platform.Workers
	// delegated has other hosts make the calls to workers, while this one leads.
	delegated *delegatedWorkers
	advisor   *platform.Advisor
	peers     *peer.Node
	life      spoolsill.Incarnation
	health    *storeHealth
	metrics   *telemetry.Metrics
	traffic   *traffic.Counter
	port      int // of the metrics
	jobs      *jobstore.Writer

	telling    *semaphore.Weighted
	cancelling *semaphore.Weighted
	finding    *semaphore.Weighted
	pieces     *rate.Limiter // of the configuration, told to other hosts

	patience patience
	configs  *configs
	hosts    hostList
	// specs are those of jobs that this host accepted, and that it starts as a delegate.
	specs    specCache
	fetching singleflight.Group // of specs, by job
	closing  atomic.Bool

	mu      sync.Mutex
	leading *leader.Leader
	head    leader.Head // as far as is known
	lost    bool        // the leader in head does not answer
	// heard is the latest write that a leader told of, begun at heardBegun.
	heard      ledWrite
	heardBegun time.Time
	// yielded is the latest write of this host's leadership when it told that
	// the store turns it away.
	yielded ledWrite
	// mostCores is that of the largest host, as a leader told.
	mostCores float64
	// admission decides, while this host leads, what share of the jobs is taken;
	// shedTold is the rest, as a leader said.
	admission admit.Controller
	shedTold  shedding
	loading   loadingLeader
	// hostCount is how many hosts there are, as a leader told; 0 if none has.
	hostCount int
	// resignedAt is when this host led last and could not keep up.
	resignedAt time.Time
	// fitness tells whether this host should go on leading.
	fitness leadingHost
}

// New returns a node that has not begun.
func New(c Config) *Node {
	s := c.Settings
	log := c.Log.WithField("host", string(s.Host))
	life := spoolsill.Incarnation(time.Now().UnixNano()) //nolint:forbidigo // no right, a name
	h := &storeHealth{}
	t := &traffic.Counter{}
	dial := c.Dial
	if dial == nil {
		dial = platform.Dial
	}
	n := &Node{
		settings: s,
		log:      log,
		clock:    c.Clock,
		listen:   c.Listen,
		leads:    c.Leads,
		store: &watchedStore{
			Store:   platform.NewStore(s.StoreAddress, t.Dialer(traffic.Store, dial)),
			health:  h,
			metrics: c.Metrics,
			log:     log,
			clock:   c.Clock,
		},
		workers:    platform.NewWorkers(t.Dialer(traffic.Workers, dial)),
		life:       life,
		health:     h,
		metrics:    c.Metrics,
		traffic:    t,
		port:       c.MetricsPort,
		configs:    newConfigs(),
		telling:    semaphore.NewWeighted(tellingMost),
		cancelling: semaphore.NewWeighted(cancelsMost),
		finding:    semaphore.NewWeighted(findsMost),
		pieces:     newPieceLimiter(s.LinkRate),
		fitness: leadingHost{
			cores: s.Cores,
			link:  s.LinkRate,
		},
	}
	if n.leads == nil {
		n.leads = func(bool) {}
	}
	if n.listen == nil {
		n.listen = func(a string) (net.Listener, error) { return net.Listen("tcp", a) }
	}
	if s.AdvisorAddress != "" {
		n.advisor = platform.NewAdvisor(s.AdvisorAddress, t.Dialer(traffic.Advisor, dial))
	}
	n.peers = n.newPeers(dial)
	n.jobs = jobstore.NewWriter(jobstore.Writer{
		Store:     n.store,
		Partition: n.partition(),
		MaxRow:    s.MaxRow,
		Timeout:   h.writeTimeout,
	})
	n.delegated = &delegatedWorkers{
		node:   n,
		direct: n.workers,
	}
	n.handlePeers()
	n.gauges()
	return n
}

// newPeers returns what calls the other hosts and answers them.
func (n *Node) newPeers(d platform.Dialer) *peer.Node {
	return peer.NewNode(peer.Config{
		Host:        n.settings.Host,
		Incarnation: n.life,
		Dial:        peerDial(d),
		Report: func(remote string, err error) {
			n.log.WithError(err).WithField("address", remote).Info("connection to a host ended")
		},
		OnMessage: func(method string, sent, received int) {
			n.traffic.Add(traffic.PeerPurpose(method), sent, received)
		},
	})
}

// partition is where this host keeps the jobs that it accepts.
func (n *Node) partition() string {
	return string(n.settings.Host)
}

func peerDial(d platform.Dialer) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d(ctx, "tcp", address)
	}
}

// peerAddress is where the other hosts reach this one.
func (n *Node) peerAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.FirstPort))
}

// listeners are where a node is called.
type listeners struct {
	clients  net.Listener
	balancer net.Listener
	hosts    net.Listener
}

func (n *Node) listenAll() (listeners, error) {
	var l listeners
	var err error
	if l.clients, err = n.listen(n.settings.ClientAddress); err != nil {
		return l, eris.Wrap(err, "listen for clients")
	}
	if l.balancer, err = n.listen(n.settings.ReadyAddress); err != nil {
		return l, eris.Wrap(err, "listen for the balancer")
	}
	if l.hosts, err = n.listen(n.peerAddress()); err != nil {
		return l, eris.Wrap(err, "listen for hosts")
	}
	return l, nil
}

// Run serves until ctx ends, and then stops as planned.
func (n *Node) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ls, err := n.listenAll()
	if err != nil {
		return err
	}
	front := n.clientServer()
	balancer := &http.Server{
		Handler:           http.HandlerFunc(n.serveReady),
		ReadHeaderTimeout: headerTimeout,
	}
	fetcher := &configFetcher{
		node: n,
	}
	g, work := errgroup.WithContext(work)
	g.Go(func() error { return serve(front, n.traffic.Listener(traffic.Callers, ls.clients)) })
	g.Go(func() error { return serve(balancer, ls.balancer) })
	g.Go(func() error { return n.peers.Serve(work, ls.hosts) })
	g.Go(func() error { n.followConfig(work); return nil })
	g.Go(func() error { n.learnFromHosts(work); return nil })
	g.Go(func() error { fetcher.run(work); return nil })
	g.Go(func() error { n.jobs.Run(work); return nil })
	g.Go(func() error { n.serveMetrics(work); return nil })
	g.Go(func() error { n.watchSuspensions(work); return nil })
	g.Go(func() error { n.watchTraffic(work); return nil })
	electing, stopElecting := context.WithCancel(work)
	defer stopElecting()
	elected := make(chan struct{})
	g.Go(func() error {
		defer close(elected)
		n.elect(electing)
		return nil
	})
	n.log.WithFields(logrus.Fields{
		"hall":   string(n.settings.Hall),
		"memory": int64(n.settings.Memory),
		"cores":  n.settings.Cores,
	}).Info("host started")
	select {
	case <-ctx.Done():
	case <-work.Done():
		cancel()
		return g.Wait()
	}
	n.log.Info("host stops as planned")
	n.closing.Store(true)
	stopElecting()
	n.drain(front, elected)
	cancel()
	_ = balancer.Close()
	n.peers.Close()
	err = g.Wait()
	n.log.WithError(err).Info("host stopped")
	return err
}

// drain answers what comes in until the balancer sends nothing new, and then
// what is under way.
func (n *Node) drain(front *http.Server, elected <-chan struct{}) {
	grace := max(n.settings.Bounds.StopGrace-stopMargin, drainTime)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	t := time.NewTimer(drainTime)
	defer t.Stop()
	<-t.C
	if err := front.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("requests were cut off")
	}
	select {
	case <-elected:
	case <-ctx.Done():
	}
}

func serve(s *http.Server, l net.Listener) error {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) clientServer() *http.Server {
	return &http.Server{
		Handler: &platform.Ingress{
			Jobs:    n,
			Log:     n.log,
			Closing: func() bool { return !n.ready() },
			Observe: n.metrics.RecordCall,
		},
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}

// serveReady tells the balancer whether new connections should come here: a
// host that stops, knows no configuration, or reaches neither the store nor a
// leader that does, can serve nobody.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (n *Node) ready() bool {
	if n.closing.Load() {
		return false
	}
	if _, ok := n.Config(); !ok {
		return false
	}
	return n.health.reachable(n.clock.Now())
}

// leaderHere returns the leader if it is this host.
func (n *Node) leaderHere() *leader.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading
}

// leaderHost returns the host that leads, if one is known to answer.
func (n *Node) leaderHost() (spoolsill.HostID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.head.Host == "" || n.head.Released || n.lost || n.head.Host == n.settings.Host {
		return "", false
	}
	return n.head.Host, true
}

// leaderToTell returns the host that leads as far as is known, also when it is in
// doubt: if it leads on, and its feed hears nothing, it knows of a job from nobody
// else.
func (n *Node) leaderToTell() (spoolsill.HostID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.head
	return h.Host, h.Host != "" && !h.Released && h.Host != n.settings.Host
}

// serveMetrics serves the metrics until ctx ends. A port that is taken costs
// the metrics only.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.metrics == nil || n.port == 0 {
		return
	}
	a := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.port))
	l, err := n.listen(a)
	if err != nil {
		n.log.WithError(err).WithField("address", a).Error("metrics can't be served")
		return
	}
	s := &http.Server{
		Handler:           n.metrics.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := serve(s, l); err != nil {
		n.log.WithError(err).Error("metrics ended")
	}
}

// gauges has the figures read that the metrics show.
func (n *Node) gauges() {
	if n.metrics == nil {
		return
	}
	n.metrics.RegisterGauge("spoolsill.leads", "1 while this host leads the cell", func() int64 { return flag(n.leaderHere() != nil) })
	n.metrics.RegisterGauge("spoolsill.ready", "1 while the balancer may send connections", func() int64 { return flag(n.ready()) })
	n.metrics.RegisterGauge("spoolsill.config.version", "version of the configuration in force", func() int64 { return int64(n.configs.get().version) })
	n.metrics.RegisterGauge("spoolsill.config.newest", "newest version of the configuration that this host has heard of", func() int64 { return int64(n.configs.newest()) })
	n.metrics.RegisterGauge("spoolsill.config.feed.age.milliseconds", "since the store was asked, by this host or the leader, for its latest answer about the configuration; 0 before it", n.configAge)
	n.metrics.RegisterGauge("spoolsill.peer.sent.bytes", "bytes that this host sent to other hosts", func() int64 { sent, _ := n.peers.Traffic(); return int64(sent) })
	n.metrics.RegisterGauge("spoolsill.peer.received.bytes", "bytes that this host received from other hosts", func() int64 { _, read := n.peers.Traffic(); return int64(read) })
	n.metrics.RegisterTraffic(n.traffic.Counts)
	n.metrics.RegisterGauge("spoolsill.peer.handling", "calls of other hosts that are not answered yet", func() int64 { return int64(n.peers.InFlight()) })
	n.metrics.RegisterGauge("spoolsill.delegates", "hosts that make calls to workers for this one, while it leads", func() int64 { all, _ := n.delegated.hosts(); return int64(all) })
	n.metrics.RegisterGauge("spoolsill.delegates.resting", "of them, those that left a call unanswered and are passed over", func() int64 { _, resting := n.delegated.hosts(); return int64(resting) })
	n.metrics.RegisterGauge("spoolsill.tasks.suspect", "tasks under which workers went and that are not cleared, at the leader", func() int64 { tasks, _ := n.suspects(); return tasks })
	n.metrics.RegisterGauge("spoolsill.workers.crashed", "machines whose workers crashed in the last minute, at the leader", func() int64 { _, crashed := n.suspects(); return crashed })
	n.metrics.RegisterGauge("spoolsill.workers.unclear", "workers' entries that can't be understood, at the leader", n.unclear)
	n.metrics.RegisterGauge("spoolsill.suspended.milliseconds", "for how long this machine has been suspended since the host started", func() int64 { return n.clock.SuspendedTime().Milliseconds() })
	n.metrics.RegisterGauge("spoolsill.store.reachable", "1 while the store answers this host", func() int64 { return flag(n.health.reachable(n.clock.Now())) })
}

// suspects returns what the leader here knows of crashes; zeros where none is.
func (n *Node) suspects() (tasks, crashed int64) {
	if l := n.leaderHere(); l != nil {
		return l.Suspects()
	}
	return 0, 0
}

// unclear returns how many workers' entries the leader here can't understand; 0 where
// none is.
func (n *Node) unclear() int64 {
	if l := n.leaderHere(); l != nil {
		return l.Unclear()
	}
	return 0
}

// configAge is how old what is known of the configuration is, in milliseconds.
func (n *Node) configAge() int64 {
	age, ok := n.configs.age(n.clock.Now())
	if !ok {
		return 0
	}
	return age.Milliseconds()
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
