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
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
	"github.com/spoolsill/spoolsill/telemetry"
	"github.com/spoolsill/spoolsill/traffic"
)

const (
	// drainDelay is how long a stopping host keeps accepting connections. It covers two
	// of the balancer's readiness probes, one a second, so that the balancer has learned
	// that the host is not ready.
	drainDelay = 2200 * time.Millisecond
	// releaseTimeout limits how long releasing the leadership may take.
	releaseTimeout = time.Second
	// shutdownMargin is the part of the grace period reserved for the exit of the
	// process.
	shutdownMargin = 500 * time.Millisecond
	// headerTimeout limits the time to read a request header.
	headerTimeout = 3 * time.Second
	// readTimeout limits the time to read a whole request: a 256 KB body over a slow
	// link.
	readTimeout = 10 * time.Second
	// idleTimeout closes idle client connections.
	idleTimeout = 30 * time.Second
	// retentionFactor scales the minimum retention of the states of ended jobs.
	retentionFactor = 2
	// maxLease is the longest lease that is requested. Tasks of a lost worker restart
	// elsewhere when its lease expires, and after twice that time following a takeover by a
	// host that the former leader did not count: with 10 s, long-running tasks were interrupted for 26 s. Without a successful
	// write, leases last twice as long: with 5 s, a store outage of 5.6 s terminated
	// running tasks and cost 1.2% of the total worth of a day's jobs.
	maxLease = 7 * time.Second
	// settleTime is how long a new leader starts no tasks after the first worker has
	// answered, so that nearly all others have answered too: 35 of 35 workers did within
	// 60 ms. Without the delay, work started 0.65 s later after a takeover.
	settleTime = 80 * time.Millisecond
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 16 << 10
)

// A Config holds the settings and dependencies of a [Node].
type Config struct {
	Settings platform.Settings
	Log      *logrus.Logger
	// Metrics collects the metrics, which are served at MetricsPort unless that is 0.
	Metrics     *telemetry.Metrics
	MetricsPort int
	// LeadershipChanged is called with true when the host becomes the leader and with
	// false when it no longer leads; nil means no callback.
	LeadershipChanged func(leads bool)
	// Clock is the time source; nil means the system clock.
	Clock *clock.Clock
	// Dial opens connections to the platform, to workers and to other hosts; nil means
	// TCP.
	Dial platform.Dialer
	// Listen opens a listener; nil means TCP.
	Listen func(address string) (net.Listener, error)
}

// A Node is one host of the cell. Run may be called once.
type Node struct {
	settings          platform.Settings
	log               *logrus.Entry
	clock             *clock.Clock
	listen            func(address string) (net.Listener, error)
	leadershipChanged func(bool)
	store             store.Store
	workers           *platform.Workers
	// delegated makes the calls to workers through other hosts while this host leads.
	delegated   *delegatedWorkers
	advisor     *platform.Advisor
	peers       *peer.Node
	incarnation spoolsill.Incarnation
	health      *storeHealth
	metrics     *telemetry.Metrics
	traffic     *traffic.Counter
	metricsPort int
	jobs        *jobstore.Writer

	notifySlots  *semaphore.Weighted
	cancelSlots  *semaphore.Weighted
	lookupSlots  *semaphore.Weighted
	pieceLimiter *rate.Limiter // limits the configuration pieces sent to other hosts

	leaderLatency leaderLatency
	configs       *configTracker
	evacuations   evacuationTracker
	hosts         hostList
	// groupTargets has the workers that the leader has this host call in groups.
	groupTargets groupTargets
	// specs caches the specs of jobs that this host accepted or starts as a delegate.
	specs       specCache
	specFetches singleflight.Group // of specs, by job
	// ended has the final states that this host has told or heard.
	ended        endedJobs
	stateLookups singleflight.Group // in the store, by job
	stopping     atomic.Bool

	mu           sync.Mutex
	activeLeader *leader.Leader
	leaderHead   leader.Head // latest known
	// candidate is set while this host is taking over or leads.
	candidate       bool
	followed        map[spoolsill.HostID]followed
	leaderUnhealthy bool // according to the latest completed heartbeat
	// leaderUnhealthySince is when leaderUnhealthy was last set.
	leaderUnhealthySince time.Time
	leaderAnswer         leaderAnswer
	// lastLeaderWrite is the latest write reported by a leader, begun at
	// lastLeaderWriteBegun.
	lastLeaderWrite      leaderWrite
	lastLeaderWriteBegun time.Time
	// reportedRefusal identifies the latest successful write of this host's leadership
	// when the host last reported that the store refuses its writes.
	reportedRefusal leaderWrite
	// maxCores is the processor capacity of the largest host, as reported by a
	// leader.
	maxCores float64
	// admission determines the share of jobs to accept while this host leads;
	// leaderShed is the last status reported by another leader.
	admission     admit.Controller
	leaderShed    shedStatus
	leaderLoading loadingReport
	// hostCount is the number of hosts reported by a leader; 0 if none has.
	hostCount int
	// resignedAt is when this host last resigned from the leadership because it was
	// overloaded.
	resignedAt time.Time
	// fitness tracks whether this host should keep the leadership.
	fitness leaderFitness
}

// New returns a node that has not been started.
func New(c Config) *Node {
	s := c.Settings
	log := c.Log.WithField("host", string(s.Host))
	incarnation := spoolsill.Incarnation(time.Now().UnixNano()) //nolint:forbidigo // an identifier, not a time limit
	h := &storeHealth{}
	t := &traffic.Counter{}
	dial := c.Dial
	if dial == nil {
		dial = platform.Dial
	}
	n := &Node{
		settings:          s,
		log:               log,
		clock:             c.Clock,
		listen:            c.Listen,
		leadershipChanged: c.LeadershipChanged,
		store: &monitoredStore{
			Store:   platform.NewStore(s.StoreAddress, t.Dialer(traffic.Store, dial)),
			health:  h,
			metrics: c.Metrics,
			log:     log,
			clock:   c.Clock,
		},
		workers:      platform.NewWorkers(t.Dialer(traffic.Workers, dial)),
		incarnation:  incarnation,
		health:       h,
		metrics:      c.Metrics,
		traffic:      t,
		metricsPort:  c.MetricsPort,
		configs:      newConfigTracker(),
		notifySlots:  semaphore.NewWeighted(maxConcurrentNotifications),
		cancelSlots:  semaphore.NewWeighted(maxConcurrentCancels),
		lookupSlots:  semaphore.NewWeighted(maxConcurrentLookups),
		pieceLimiter: newPieceLimiter(s.LinkRate),
		fitness: leaderFitness{
			cores: s.Cores,
			link:  s.LinkRate,
		},
	}
	if n.leadershipChanged == nil {
		n.leadershipChanged = func(bool) {}
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
	n.registerHandlers()
	n.registerGauges()
	return n
}

// compressedLinkRate is the link rate up to which a host compresses what it exchanges with
// other hosts: 5 Mbit/s. Faster links are not saturated by it.
const compressedLinkRate spoolsill.Bytes = 625_000

// compressorMemoryDivisor limits the memory for compressors to that fraction of the host's.
const compressorMemoryDivisor = 4

// maxCompressors returns over how many connections this host sends compressed frames.
func (n *Node) maxCompressors() int {
	if n.settings.LinkRate <= 0 || n.settings.LinkRate > compressedLinkRate {
		return 0
	}
	return int(n.settings.Memory / compressorMemoryDivisor / peer.CompressorMemory)
}

// newPeers returns the peer that calls the other hosts and serves their calls.
func (n *Node) newPeers(d platform.Dialer) *peer.Node {
	return peer.NewNode(peer.Config{
		Host:        n.settings.Host,
		Incarnation: n.incarnation,
		Dial:        peerDial(d),
		Compressors: n.maxCompressors(),
		Report: func(remote string, err error) {
			n.log.WithError(err).WithField("address", remote).Info("connection to a host ended")
		},
		OnMessage: func(method string, sent, received int) {
			n.traffic.Add(traffic.PeerPurpose(method), sent, received)
		},
	})
}

// partition returns the store partition that holds the jobs accepted by this host.
func (n *Node) partition() string {
	return string(n.settings.Host)
}

func peerDial(d platform.Dialer) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d(ctx, "tcp", address)
	}
}

// peerAddress returns the address at which other hosts reach this one.
func (n *Node) peerAddress() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.FirstPort))
}

// listeners holds the listeners of a node.
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

// Run serves until ctx is done and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer n.workers.Close()
	ls, err := n.listenAll()
	if err != nil {
		return err
	}
	server := n.clientServer()
	balancer := &http.Server{
		Handler:           http.HandlerFunc(n.serveReady),
		ReadHeaderTimeout: headerTimeout,
	}
	fetcher := &configFetcher{
		node: n,
	}
	g, runCtx := errgroup.WithContext(runCtx)
	g.Go(func() error { return serve(server, n.traffic.Listener(traffic.Callers, ls.clients)) })
	g.Go(func() error { return serve(balancer, ls.balancer) })
	g.Go(func() error { return n.peers.Serve(runCtx, ls.hosts) })
	g.Go(func() error { n.followConfig(runCtx); return nil })
	g.Go(func() error { n.learnFromPeers(runCtx); return nil })
	g.Go(func() error { fetcher.run(runCtx); return nil })
	g.Go(func() error { n.jobs.Run(runCtx); return nil })
	g.Go(func() error { n.serveMetrics(runCtx); return nil })
	g.Go(func() error { n.logSuspensions(runCtx); return nil })
	g.Go(func() error { n.logTraffic(runCtx); return nil })
	electionCtx, stopElection := context.WithCancel(runCtx)
	defer stopElection()
	electionDone := make(chan struct{})
	g.Go(func() error {
		defer close(electionDone)
		n.elect(electionCtx)
		return nil
	})
	n.log.WithFields(logrus.Fields{
		"hall":   string(n.settings.Hall),
		"memory": int64(n.settings.Memory),
		"cores":  n.settings.Cores,
	}).Info("host started")
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		cancel()
		return g.Wait()
	}
	n.log.Info("host stops as planned")
	n.stopping.Store(true)
	stopElection()
	n.drain(server, electionDone)
	cancel()
	_ = balancer.Close()
	n.peers.Close()
	err = g.Wait()
	n.log.WithError(err).Info("host stopped")
	return err
}

// drain keeps serving until the balancer sends no new connections, and then waits for
// requests in flight and for the end of the election.
func (n *Node) drain(clients *http.Server, electionDone <-chan struct{}) {
	grace := max(n.settings.Bounds.StopGrace-shutdownMargin, drainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	t := time.NewTimer(drainDelay)
	defer t.Stop()
	<-t.C
	if err := clients.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("requests in flight were aborted by the shutdown")
	}
	select {
	case <-electionDone:
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
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serveReady answers the balancer's readiness probe. A host is not ready while it is
// stopping, has no configuration, or cannot reach the store.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (n *Node) ready() bool {
	if n.stopping.Load() {
		return false
	}
	if _, ok := n.Config(); !ok {
		return false
	}
	return n.health.reachable(n.clock.Now())
}

// localLeader returns the leader if it runs on this host, and nil otherwise.
func (n *Node) localLeader() *leader.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.activeLeader
}

// reachableLeader returns the leading host if it is another one, unless the latest
// completed heartbeat found the leader unhealthy.
func (n *Node) reachableLeader() (spoolsill.HostID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaderHead.Host == "" || n.leaderHead.Released || n.leaderUnhealthy || n.leaderHead.Host == n.settings.Host {
		return "", false
	}
	return n.leaderHead.Host, true
}

// answeringLeader returns the leading host if it is another one, unless the latest completed
// heartbeat found it unhealthy and it has answered none recently. A leader that can't write to
// the store is unhealthy but answers.
func (n *Node) answeringLeader() (spoolsill.HostID, bool) {
	silence := max(hostSilenceTimeout, minSilenceIntervals*n.scaledInterval(heartbeatInterval))
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.leaderHead
	if h.Host == "" || h.Released || h.Host == n.settings.Host {
		return "", false
	}
	answers := n.leaderAnswer.epoch == h.Epoch && n.clock.Since(n.leaderAnswer.at) < silence
	return h.Host, answers || !n.leaderUnhealthy
}

// lastKnownLeader returns the last known leader if it is another host, whether or not
// it responds. If it still leads and its feed delivers nothing, it learns of a job only
// from this host's notification.
func (n *Node) lastKnownLeader() (spoolsill.HostID, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.leaderHead
	return h.Host, h.Host != "" && !h.Released && h.Host != n.settings.Host
}

// serveMetrics serves the metrics until ctx is done. If the port is in use, the host
// runs without them.
func (n *Node) serveMetrics(ctx context.Context) {
	if n.metrics == nil || n.metricsPort == 0 {
		return
	}
	a := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.metricsPort))
	l, err := n.listen(a)
	if err != nil {
		n.log.WithError(err).WithField("address", a).Error("cannot listen for metrics")
		return
	}
	s := &http.Server{
		Handler:           n.metrics.Handler(),
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := serve(s, l); err != nil {
		n.log.WithError(err).Error("metrics server failed")
	}
}

// registerGauges registers the gauges of the node.
func (n *Node) registerGauges() {
	if n.metrics == nil {
		return
	}
	n.metrics.RegisterGauge("spoolsill.leads", "1 while this host leads the cell", func() int64 { return boolToInt(n.localLeader() != nil) })
	n.metrics.RegisterGauge("spoolsill.ready", "1 while the balancer may send connections", func() int64 { return boolToInt(n.ready()) })
	n.metrics.RegisterGauge("spoolsill.config.version", "version of the configuration in force", func() int64 { return int64(n.configs.get().version) })
	n.metrics.RegisterGauge("spoolsill.config.newest", "newest version of the configuration that this host has heard of", func() int64 { return int64(n.configs.newest()) })
	n.metrics.RegisterGauge("spoolsill.config.feed.age.milliseconds", "since the store was asked, by this host or the leader, for its latest answer about the configuration; 0 before it", n.configAge)
	n.metrics.RegisterGauge("spoolsill.peer.sent.bytes", "bytes that this host sent to other hosts", func() int64 { sent, _ := n.peers.Traffic(); return int64(sent) })
	n.metrics.RegisterGauge("spoolsill.peer.received.bytes", "bytes that this host received from other hosts", func() int64 { _, read := n.peers.Traffic(); return int64(read) })
	n.metrics.RegisterTraffic(n.traffic.Counts)
	n.metrics.RegisterGauge("spoolsill.peer.handling", "calls of other hosts that are not answered yet", func() int64 { return int64(n.peers.InFlight()) })
	n.metrics.RegisterGauge("spoolsill.delegates", "hosts that make calls to workers for this one, while it leads", func() int64 { all, _ := n.delegated.counts(); return int64(all) })
	n.metrics.RegisterGauge("spoolsill.delegates.resting", "of them, those that left a call unanswered and are passed over", func() int64 { _, avoided := n.delegated.counts(); return int64(avoided) })
	n.metrics.RegisterGauge("spoolsill.tasks.suspect", "tasks under which workers went and that are not cleared, at the leader", func() int64 { tasks, _ := n.suspects(); return tasks })
	n.metrics.RegisterGauge("spoolsill.workers.crashed", "machines whose workers crashed in the last minute, at the leader", func() int64 { _, crashed := n.suspects(); return crashed })
	n.metrics.RegisterGauge("spoolsill.workers.unclear", "workers' entries that can't be understood, at the leader", n.invalidWorkerEntries)
	n.metrics.RegisterGauge("spoolsill.share.jobs.over", "waiting jobs that exceed the share of their team, at the leader", func() int64 { jobs, _ := n.overShare(); return jobs })
	n.metrics.RegisterGauge("spoolsill.share.teams.over", "teams with waiting jobs that exceed their share, at the leader", func() int64 { _, teams := n.overShare(); return teams })
	n.metrics.RegisterGauge("spoolsill.overload.groups", "groups of jobs that can't all be in time and go by what is left of them, at the leader", func() int64 { return int64(n.overload().Groups) })
	n.metrics.RegisterGauge("spoolsill.overload.backlog.milliseconds", "how long the cell takes for the accepted work, at the leader", func() int64 { return n.overload().Backlog.Milliseconds() })
	n.metrics.RegisterGauge("spoolsill.forecast.error.milliseconds", "mean difference between the forecast and the actual end of jobs, at the leader", func() int64 { return n.overload().ForecastError.Milliseconds() })
	n.metrics.RegisterGauge("spoolsill.suspended.milliseconds", "for how long this machine has been suspended since the host started", func() int64 { return n.clock.SuspendedTime().Milliseconds() })
	n.metrics.RegisterGauge("spoolsill.jobs.ended.kept", "final states of jobs that this host remembers", func() int64 { return int64(n.ended.count()) })
	n.metrics.RegisterGauge("spoolsill.store.failing.milliseconds", "for how long all calls of this host to the store have failed; 0 if the latest one succeeded", func() int64 { return n.health.failingFor(n.clock.Now()).Milliseconds() })
	n.metrics.RegisterGauge("spoolsill.store.reachable", "1 while the store answers this host", func() int64 { return boolToInt(n.health.reachable(n.clock.Now())) })
}

// suspects returns how many tasks are suspected of crashing their workers and on how many
// machines workers crashed in the last minute, or zeros if this host does not lead.
func (n *Node) suspects() (tasks, crashed int64) {
	if l := n.localLeader(); l != nil {
		return l.Suspects()
	}
	return 0, 0
}

// overShare returns how many waiting jobs exceed the share of their team, and the number of these
// teams, or zeros if this host does not lead.
func (n *Node) overShare() (jobs, teams int64) {
	if l := n.localLeader(); l != nil {
		return l.OverShare()
	}
	return 0, 0
}

// overload returns the load of the cell as known here, or zeros if this host does not lead.
func (n *Node) overload() sched.Overload {
	if l := n.localLeader(); l != nil {
		return l.Overload()
	}
	return sched.Overload{}
}

// invalidWorkerEntries returns how many worker entries the leader cannot decode, or 0 if
// this host does not lead.
func (n *Node) invalidWorkerEntries() int64 {
	if l := n.localLeader(); l != nil {
		return l.InvalidWorkerEntries()
	}
	return 0
}

// configAge returns the age of the information about the configuration in milliseconds,
// or 0 if there is none.
func (n *Node) configAge() int64 {
	age, ok := n.configs.age(n.clock.Now())
	if !ok {
		return 0
	}
	return age.Milliseconds()
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
