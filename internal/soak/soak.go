package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

// A Config describes one run.
type Config struct {
	// Binary is the spoolsill-host to run.
	Binary string
	// Dir is the directory for the settings and logs of the hosts and for the event log.
	Dir  string
	Seed uint64
	// Duration is how long faults are injected; 0 means 20 s.
	Duration time.Duration
	// Hosts, Workers and Clients are the numbers of each; 0 means 5, 12 and 12.
	Hosts   int
	Workers int
	Clients int
	// Troubled adds faults of workers: tasks that crash their workers, changes of the
	// capacity of workers, and entries that another writer puts into their table.
	Troubled bool
	// LinkMbps is the bandwidth of their links that hosts are told, in Mbit/s; 0 means
	// none. Hosts on slow links compress the frames between them.
	LinkMbps float64
}

// A Result is the outcome of a run.
type Result struct {
	Jobs       int
	Accepted   int
	Ended      int
	RunStarts  int
	HostStarts int      // starts of host processes
	Crashes    int      // restarts of workers that crashed
	Broken     []string // violations of invariants
}

// String returns a summary of the result.
func (r Result) String() string {
	return fmt.Sprintf("%d jobs, %d accepted, %d ended, %d starts, %d starts of hosts, %d crashes of workers, broken promises: %d", r.Jobs, r.Accepted, r.Ended, r.RunStarts, r.HostStarts, r.Crashes, len(r.Broken))
}

const (
	// workerLease is the longest lease that a worker grants.
	workerLease = 4 * time.Second
	// workerCapacity is the number of tasks that a worker can usually hold.
	workerCapacity = 4
	// settleTime is how long accepted jobs may take to end after the last fault. It bounds
	// the run and does not check speed.
	settleTime = time.Minute
	// pollInterval is the time between repeated queries.
	pollInterval = 200 * time.Millisecond
	// startupTime is how long hosts have to start before the first fault.
	startupTime = 2 * time.Second
	// A run of a task takes minTaskTime and up to maxExtraTaskTime more. Some runs take
	// longer than all attempts to send a start order, so that a wrong second run overlaps
	// the first one.
	minTaskTime      = 100 * time.Millisecond
	maxExtraTaskTime = 1900 * time.Millisecond
	// failureRate is the share of the runs of tasks that fail.
	failureRate = 0.03
	// longTaskTime is longer than a whole run of the soak.
	longTaskTime = time.Hour
	// cancelTime is how long tasks may still run once the faults have ended and their
	// cancellation was acknowledged. The platform allows about four seconds.
	cancelTime = 6 * time.Second
	// The ports of a host. All hosts use the same ports at different IP addresses.
	clientPort = 7700
	readyPort  = 7701
	peerPort   = 7702
)

// A run is the state of one run of the soak.
type run struct {
	config         Config
	ctx            context.Context //nolint:containedctx // of the whole run: faults outlive the functions that inject them
	random         *rand.Rand
	startTime      time.Time
	checker        *Checker
	store          *cellfake.Store
	workers        *cellfake.Workers
	machines       []*machine
	hosts          []*Process
	storeProxies   []*Proxy // by host
	advisorProxies []*Proxy // by host
	operatorRandom *rand.Rand
	links          []*Link // by host; nil without rate limits

	configMu sync.Mutex // serializes writes of the configuration

	mu         sync.Mutex // guards the fields below
	eventLog   *bytes.Buffer
	writeFault cellfake.StoreFault
	orderFault cellfake.OrderFault
	// writeFaultRate and orderFaultRate are the shares of writes and orders that fail.
	writeFaultRate float64
	orderFaultRate float64
	version        int // newest configuration that the store has acknowledged
	addedRoutes    int // number of routes that the operator has added to the configuration
}

// Run executes one run. All processes that it starts have ended when it returns.
func Run(ctx context.Context, c Config) (Result, error) {
	c = c.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, startupTime+c.Duration+finalAddTime+2*settleTime)
	defer cancel()
	x := &run{
		config:    c,
		ctx:       ctx,
		random:    rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // a seed has to give the same plan each time
		startTime: time.Now(),
		checker:   NewChecker(),
		store:     cellfake.NewStore(),
		workers:   cellfake.NewWorkers(workerLease),
		eventLog:  &bytes.Buffer{},
		version:   1,
	}
	x.planLinks()
	if err := x.setUp(); err != nil {
		return Result{}, err
	}
	defer x.stopHosts()
	err := x.execute(ctx)
	x.stopHosts()
	return x.result(), errors.Join(err, x.writeEventLog())
}

func (c Config) withDefaults() Config {
	set := func(to *int, n int) {
		if *to == 0 {
			*to = n
		}
	}
	set(&c.Hosts, 5)
	set(&c.Workers, 12)
	set(&c.Clients, 12)
	if c.Duration == 0 {
		c.Duration = 20 * time.Second
	}
	return c
}

// ip returns the n-th loopback address of this run. Runs with other seeds or in other
// processes use other addresses as far as the ranges allow.
func (x *run) ip(n int) string {
	const first, nets = 20, 200
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%nets, x.config.Seed%nets, n+1)
}

func (x *run) setUp() error {
	if err := os.MkdirAll(x.config.Dir, 0o750); err != nil {
		return err
	}
	x.store.SetFault(x.writeFaultFor)
	x.workers.Fault = x.orderFaultFor
	x.workers.Capacity = workerCapacity
	x.workers.CapacityGrace = capacityGrace
	x.workers.RunResult = x.runResult
	x.workers.CrashAfter = func(r sched.RunID) (time.Duration, bool) { return crashAfter, crashesWorkers(r.Task.Stage.Job) }
	x.workers.OnCrash = x.workerCrashed
	if err := x.putConfig(x.version, x.addedRoutes); err != nil {
		return err
	}
	for i := range x.config.Workers {
		if err := x.addWorker(i); err != nil {
			return err
		}
	}
	storeAddress, err := x.serve(wire.StoreHandler(x.store))
	if err != nil {
		return err
	}
	advisorAddress, err := x.serve(wire.AdvisorHandler(&cellfake.Advisor{}))
	if err != nil {
		return err
	}
	if err := x.startLinkProxies(); err != nil {
		return err
	}
	for i := range x.config.Hosts {
		if err := x.addHost(i, storeAddress, advisorAddress); err != nil {
			return err
		}
	}
	return nil
}

// runResult chooses the duration and the kind of end of a run of a task, and reports its
// start to the checker.
func (x *run) runResult(r sched.RunID) (time.Duration, sched.EndKind) {
	if isLongRunning(r.Task.Stage.Job) {
		x.checker.RunStarted(r, longTaskTime, sched.EndDone)
		return longTaskTime, sched.EndDone
	}
	if crashesWorkers(r.Task.Stage.Job) {
		x.checker.RunStarted(r, longTaskTime, sched.EndDone)
		return longTaskTime, sched.EndDone
	}
	d := minTaskTime + rand.N(maxExtraTaskTime)
	k := sched.EndDone
	if rand.Float64() < failureRate {
		k = sched.EndFailed
	}
	x.checker.RunStarted(r, d, k)
	return d, k
}

// listen returns a listener on a free port of the run's first address.
func (x *run) listen() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(x.ip(0), "0"))
}

// serve serves h until the run ends, and returns its address.
func (x *run) serve(h http.Handler) (string, error) {
	l, err := x.listen()
	if err != nil {
		return "", err
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	context.AfterFunc(x.ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// startProxy starts a proxy for a target, and returns the proxy and its address.
func (x *run) startProxy(target string, path Path) (*Proxy, string, error) {
	l, err := x.listen()
	if err != nil {
		return nil, "", err
	}
	return NewProxy(x.ctx, l, target, path), l.Addr().String(), nil
}

func (x *run) addWorker(i int) error {
	id := spoolsill.WorkerID(fmt.Sprintf("w%02d", i))
	x.workers.Add(id)
	m := &machine{}
	m.activeID.Store(&id)
	target, err := x.serve(x.serveMachine(m))
	if err != nil {
		return err
	}
	p, address, err := x.startProxy(target, Path{})
	if err != nil {
		return err
	}
	m.proxy = p
	m.entry = wire.WorkerEntry{
		ID:      id,
		Born:    x.workers.CurrentIncarnation(id).StartTime,
		Address: address,
		Machine: "m" + string(id),
		Rack:    "r1-1",
		Capacity: spoolsill.Resources{
			Processors: workerCapacity * spoolsill.Core,
			Memory:     spoolsill.GiB,
		},
		Remaining: 2 * time.Second,
	}
	x.machines = append(x.machines, m)
	return wire.PutWorker(x.store, m.entry)
}

func (x *run) addHost(i int, storeAddress, advisorAddress string) error {
	var path Path
	if x.addsRoutes() {
		view, err := x.serve(newStoreView(i, storeAddress))
		if err != nil {
			return err
		}
		storeAddress = view
		path.Caller = x.links[i]
	}
	storeProxy, storeProxyAddress, err := x.startProxy(storeAddress, path)
	if err != nil {
		return err
	}
	advisorProxy, advisorProxyAddress, err := x.startProxy(advisorAddress, Path{})
	if err != nil {
		return err
	}
	ip := x.ip(i + 1)
	p := NewProcess(x.config.Binary, x.config.Dir, wire.HostSettings{
		Host:           fmt.Sprintf("host%d", i),
		Hall:           fmt.Sprintf("hall%d", i%3),
		IP:             ip,
		ClientAddress:  net.JoinHostPort(ip, fmt.Sprint(clientPort)),
		ReadyAddress:   net.JoinHostPort(ip, fmt.Sprint(readyPort)),
		StoreAddress:   storeProxyAddress,
		AdvisorAddress: advisorProxyAddress,
		PeerPort:       peerPort,
		Cores:          1,
		MemoryMB:       284,
		LinkMbps:       x.config.LinkMbps,
		Lease:          workerLease,
		StopGrace:      6 * time.Second,
	})
	x.hosts = append(x.hosts, p)
	x.storeProxies = append(x.storeProxies, storeProxy)
	x.advisorProxies = append(x.advisorProxies, advisorProxy)
	return p.Start()
}

// leader returns the host that leads according to the store, or a random host if there is
// none.
func (x *run) leader() *Process {
	h, _, err := leader.ReadHead(x.ctx, x.store)
	if err == nil {
		for _, p := range x.hosts {
			if p.Settings.Host == string(h.Host) {
				return p
			}
		}
	}
	return x.randomHost()
}

// execute runs the clients and injects the faults, and then checks that all work ends.
func (x *run) execute(ctx context.Context) error {
	wait(ctx, startupTime)
	workCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	var addresses []string
	for _, p := range x.hosts {
		addresses = append(addresses, p.Settings.ClientAddress)
		wg.Go(func() { x.watchForReverts(workCtx, p) })
		wg.Go(func() { x.watchForMissing(workCtx, p) })
	}
	var clients []*client
	for i := range x.config.Clients {
		c := newClient(i, x.config.Seed, addresses, x.checker)
		clients = append(clients, c)
		wg.Go(func() { c.run(workCtx) })
	}
	x.injectAndReconfigure(ctx, addresses)
	stop()
	wg.Wait()
	c := newClient(len(clients), x.config.Seed, addresses, x.checker)
	x.cancelLongRunning(ctx, c)
	x.waitForJobs(ctx, c)
	return ctx.Err()
}

// injectAndReconfigure injects faults, with faults of workers and added routes if the run
// has those. After the last fault it starts the hosts that are down, and the operator adds
// the remaining routes.
func (x *run) injectAndReconfigure(ctx context.Context, hosts []string) {
	operatorCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	if x.config.Troubled {
		wg.Go(func() { x.injectWorkerFaults(operatorCtx, hosts) })
	}
	if x.addsRoutes() {
		wg.Go(func() { x.addRoutes(operatorCtx) })
	}
	x.injectFaults(ctx, x.config.Duration)
	stop()
	wg.Wait()
	for _, p := range x.hosts {
		x.startHost(p)
	}
	if x.addsRoutes() {
		x.finishAddingRoutes(ctx)
	}
}

// cancelLongRunning cancels the long-running jobs that have not ended, and checks that the
// tasks of cancelled jobs end.
func (x *run) cancelLongRunning(ctx context.Context, c *client) {
	for _, id := range x.checker.OpenJobs() {
		sub := submission{
			id:   id,
			path: queues[0] + string(id),
		}
		for isLongRunning(id) && !c.cancelJob(ctx, sub) && wait(ctx, pollInterval) {
			continue
		}
	}
	for end := time.Now().Add(cancelTime); time.Now().Before(end); {
		if x.workers.RunningCountOf(x.checker.IsCancelAcked) == 0 || !wait(ctx, pollInterval) {
			return
		}
	}
	x.checker.CancelledRunsActive(x.workers.RunningCountOf(x.checker.IsCancelAcked))
}

// waitForJobs polls the accepted jobs until all have ended. It records a violation for each
// that has not ended after settleTime.
func (x *run) waitForJobs(ctx context.Context, c *client) {
	defer c.httpClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for ctx.Err() == nil {
		open := x.checker.OpenJobs()
		if len(open) == 0 {
			return
		}
		for _, id := range open {
			c.stateOf(ctx, submission{
				id:   id,
				path: queues[0] + string(id),
			})
		}
		wait(ctx, pollInterval)
	}
	x.checker.JobsNotEnded(x.checker.OpenJobs())
}

// stopHosts stops all hosts gracefully, and kills those that do not end in time.
func (x *run) stopHosts() {
	var wg sync.WaitGroup
	for _, p := range x.hosts {
		wg.Go(p.Stop)
	}
	wg.Wait()
}

func (x *run) result() Result {
	var r Result
	for _, m := range x.machines {
		r.Crashes += m.crashCount()
	}
	for _, p := range x.hosts {
		r.HostStarts += p.StartCount()
		if err := p.UnexpectedExits(); err != nil {
			x.checker.RecordError(err)
		}
	}
	r.Jobs, r.Accepted, r.Ended, r.RunStarts = x.checker.Counts()
	r.Broken = append(x.checker.Violations(), x.workers.Violations()...)
	return r
}

func (x *run) writeEventLog() error {
	f, err := os.Create(filepath.Join(x.config.Dir, "story.txt"))
	if err != nil {
		return err
	}
	_, err = io.Copy(f, x.eventLog)
	return errors.Join(err, f.Close())
}
