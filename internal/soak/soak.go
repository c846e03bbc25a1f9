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
	// Dir is the directory of the run's settings, logs and event log.
	Dir  string
	Seed uint64
	// Duration is how long faults are injected; 0 means 20 s.
	Duration time.Duration
	// Hosts, Workers and Clients are the number of each; 0 means 5, 12 and 12.
	Hosts   int
	Workers int
	Clients int
	// Troubled adds faults of workers: tasks that crash their workers, changes of the
	// workers' capacity, and entries of another writer in their table.
	Troubled bool
}

// A Result is the outcome of a run.
type Result struct {
	Jobs       int
	Accepted   int
	Ended      int
	RunStarts  int
	HostStarts int // starts of host processes
	Crashes    int // restarts of workers that crashed
	Broken     []string
}

// String returns a summary of the result.
func (r Result) String() string {
	return fmt.Sprintf("%d jobs, %d accepted, %d ended, %d starts, %d starts of hosts, %d crashes of workers, broken promises: %d", r.Jobs, r.Accepted, r.Ended, r.RunStarts, r.HostStarts, r.Crashes, len(r.Broken))
}

const (
	// lease is the longest lease that a worker grants.
	lease = 4 * time.Second
	// workerCapacity is the usual number of tasks that a worker can hold.
	workerCapacity = 4
	// settleTime is how long accepted jobs may take to end after the last fault. It
	// bounds the run and is no check of speed.
	settleTime = time.Minute
	// pollInterval is the interval of repeated queries.
	pollInterval = 200 * time.Millisecond
	// startupTime is how long hosts have to start before the first fault.
	startupTime = 2 * time.Second
	// A run of a task takes minTaskTime and up to taskSpread more: some longer than all
	// attempts of a start order, so that a wrong second run overlaps the first one.
	// failureRate is the share of runs that fail.
	minTaskTime = 100 * time.Millisecond
	taskSpread  = 1900 * time.Millisecond
	failureRate = 0.03
	// longTaskTime is longer than a whole run of the soak. cancelTime is how long tasks
	// may run on after the faults have ended and their cancellation was acknowledged: the
	// platform allows some four seconds.
	longTaskTime = time.Hour
	cancelTime   = 6 * time.Second
	// The ports of a host. They are the same for all hosts, which have different IP
	// addresses.
	clientPort = 7700
	readyPort  = 7701
	peerPort   = 7702
)

// A run is the state of one run of the soak.
type run struct {
	config         Config
	ctx            context.Context //nolint:containedctx // of the whole run; faults outlive the functions that begin them
	random         *rand.Rand
	began          time.Time
	checker        *Checker
	store          *cellfake.Store
	workers        *cellfake.Workers
	machines       []*machine
	hosts          []*Process
	stores         []*Proxy // by host
	advisors       []*Proxy
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
	version        int // the newest configuration that the store has acknowledged
	addedRoutes    int // routes that the operator has added to the configuration
}

// Run executes one run. All processes that it starts have ended when it returns.
func Run(ctx context.Context, c Config) (Result, error) {
	c = c.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, startupTime+c.Duration+finalAddTime+2*settleTime)
	defer cancel()
	x := &run{
		config:   c,
		ctx:      ctx,
		random:   rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // a seed is to give the same plan each time
		began:    time.Now(),
		checker:  NewChecker(),
		store:    cellfake.NewStore(),
		workers:  cellfake.NewWorkers(lease),
		eventLog: &bytes.Buffer{},
		version:  1,
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

// ip returns the n-th loopback address of this run. Runs of other seeds or processes use
// other addresses as far as the ranges allow.
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
	x.workers.RunResult = x.work
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
	storeAt, err := x.serve(wire.StoreHandler(x.store))
	if err != nil {
		return err
	}
	advisorAt, err := x.serve(wire.AdvisorHandler(&cellfake.Advisor{}))
	if err != nil {
		return err
	}
	if err := x.linkHosts(); err != nil {
		return err
	}
	for i := range x.config.Hosts {
		if err := x.addHost(i, storeAt, advisorAt); err != nil {
			return err
		}
	}
	return nil
}

// work chooses the duration and the end of a run, and records its start.
func (x *run) work(r sched.RunID) (time.Duration, sched.EndKind) {
	if isLongRunning(r.Task.Stage.Job) {
		x.checker.RunStarted(r, longTaskTime, sched.EndDone)
		return longTaskTime, sched.EndDone
	}
	if crashesWorkers(r.Task.Stage.Job) {
		x.checker.RunStarted(r, longTaskTime, sched.EndDone)
		return longTaskTime, sched.EndDone
	}
	d := minTaskTime + rand.N(taskSpread)
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

// startProxy starts a proxy for a target, and returns it and its address.
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
	at, err := x.serve(x.serveMachine(m))
	if err != nil {
		return err
	}
	p, address, err := x.startProxy(at, Path{})
	if err != nil {
		return err
	}
	m.proxy = p
	m.entry = wire.WorkerEntry{
		ID:      id,
		Born:    x.workers.CurrentLife(id).StartTime,
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

func (x *run) addHost(i int, storeAt, advisorAt string) error {
	var path Path
	if x.addsRoutes() {
		view, err := x.serve(newStoreView(i, storeAt))
		if err != nil {
			return err
		}
		storeAt = view
		path.Caller = x.links[i]
	}
	s, storeProxy, err := x.startProxy(storeAt, path)
	if err != nil {
		return err
	}
	a, advisorProxy, err := x.startProxy(advisorAt, Path{})
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
		StoreAddress:   storeProxy,
		AdvisorAddress: advisorProxy,
		PeerPort:       peerPort,
		Cores:          1,
		MemoryMB:       284,
		Lease:          lease,
		StopGrace:      6 * time.Second,
	})
	x.hosts = append(x.hosts, p)
	x.stores = append(x.stores, s)
	x.advisors = append(x.advisors, a)
	return p.Start()
}

// leader returns the leader according to the store, or a random host if the store names
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
	return x.anyHost()
}

func (x *run) execute(ctx context.Context) error {
	wait(ctx, startupTime)
	working, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	var addresses []string
	for _, p := range x.hosts {
		addresses = append(addresses, p.Settings.ClientAddress)
		wg.Go(func() { x.watchConfig(working, p) })
		wg.Go(func() { x.watchNewest(working, p) })
	}
	var clients []*client
	for i := range x.config.Clients {
		c := newClient(i, x.config.Seed, addresses, x.checker)
		clients = append(clients, c)
		wg.Go(func() { c.run(working) })
	}
	x.injectAndReconfigure(ctx, addresses)
	stop()
	wg.Wait()
	c := newClient(len(clients), x.config.Seed, addresses, x.checker)
	x.cancelLongRunning(ctx, c)
	x.settle(ctx, c)
	return ctx.Err()
}

// injectAndReconfigure injects faults, while the operator adds routes if the run has that.
// After the faults it starts all hosts that are down, and lets the operator finish.
func (x *run) injectAndReconfigure(ctx context.Context, hosts []string) {
	operating, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	if x.config.Troubled {
		wg.Go(func() { x.injectWorkerFaults(operating, hosts) })
	}
	if x.addsRoutes() {
		wg.Go(func() { x.addRoutes(operating) })
	}
	x.injectFaults(ctx, x.config.Duration)
	stop()
	wg.Wait()
	for _, p := range x.hosts {
		x.restart(p)
	}
	if x.addsRoutes() {
		x.finishAddingRoutes(ctx)
	}
}

// cancelLongRunning cancels the long-running jobs, and checks that no task of a cancelled
// job runs on.
func (x *run) cancelLongRunning(ctx context.Context, c *client) {
	for _, id := range x.checker.OpenJobs() {
		h := submission{
			id:   id,
			path: queues[0] + string(id),
		}
		for isLongRunning(id) && !c.cancelJob(ctx, h) && wait(ctx, pollInterval) {
			continue
		}
	}
	for end := time.Now().Add(cancelTime); time.Now().Before(end); {
		if x.workers.RunningOf(x.checker.IsCancelAcked) == 0 || !wait(ctx, pollInterval) {
			return
		}
	}
	x.checker.CancelledRunsActive(x.workers.RunningOf(x.checker.IsCancelAcked))
}

// settle polls the accepted jobs until all have ended, for at most settleTime.
func (x *run) settle(ctx context.Context, c *client) {
	defer c.http.CloseIdleConnections()
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
			x.checker.Failed(err)
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
