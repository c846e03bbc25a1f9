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
	// Dir gets the settings, the logs and the story of the run.
	Dir  string
	Seed uint64
	// Duration is how long harm is done; 0 means 20 s.
	Duration time.Duration
	// Hosts, Workers and Clients count what there is of each; 0 means 5, 12
	// and 12.
	Hosts   int
	Workers int
	Clients int
	// Troubled has tasks crash their workers, workers' rooms move, and others write
	// among their entries, besides all else.
	Troubled bool
}

// A Result is what came of a run.
type Result struct {
	Jobs     int
	Accepted int
	Ended    int
	Starts   int
	Lives    int // of all hosts
	Crashes  int // of workers, by tasks
	Broken   []string
}

// String returns the result for people.
func (r Result) String() string {
	return fmt.Sprintf("%d jobs, %d accepted, %d ended, %d starts, %d lives of hosts, %d crashes of workers, broken promises: %d", r.Jobs, r.Accepted, r.Ended, r.Starts, r.Lives, r.Crashes, len(r.Broken))
}

const (
	// lease is the longest that a worker grants.
	lease = 4 * time.Second
	// room is how many tasks fit a worker.
	room = 4
	// settleTime is how long after the last harm everything that was accepted
	// may take to end; it bounds a run and judges no speed.
	settleTime = time.Minute
	// settleStep is between two looks at what is left.
	settleStep = 200 * time.Millisecond
	// startTime is how long hosts have before harm begins.
	startTime = 2 * time.Second
	// taskTime and taskSpread are how long tasks take, some longer than all tries
	// of a start, so that a second run meets the first; failing is the share of
	// the runs that fail.
	taskTime   = 100 * time.Millisecond
	taskSpread = 1900 * time.Millisecond
	failing    = 0.03
	// lastingTime is longer than any run of the soak; goneTime is how long after
	// its cancelling was acknowledged a task may go on once all is well: the
	// platform allows some four seconds.
	lastingTime = time.Hour
	goneTime    = 6 * time.Second
	// The ports of a host; each host has an address of its own.
	clientPort = 7700
	readyPort  = 7701
	peerPort   = 7702
)

// A run is one run under way.
type run struct {
	config   Config
	ctx      context.Context //nolint:containedctx // of the whole run; harms outlive the functions that begin them
	random   *rand.Rand
	began    time.Time
	judge    *Judge
	store    *cellfake.Store
	fakes    *cellfake.Workers
	workers  []*machine
	hosts    []*Process
	stores   []*Proxy // of each host
	advisors []*Proxy
	operator *rand.Rand
	links    []*Link // of hosts; nil when they have no rate

	writing sync.Mutex // held while a configuration is written

	mu         sync.Mutex // guards what follows
	story      *bytes.Buffer
	writeFault cellfake.StoreFault
	orderFault cellfake.OrderFault
	// faultyWrites and faultyOrders are the parts that go wrong.
	faultyWrites float64
	faultyOrders float64
	version      int // of the newest configuration that the store has acknowledged
	added        int // routes that the operator has added to it
}

// Run makes one run. Everything that it starts has ended when it returns.
func Run(ctx context.Context, c Config) (Result, error) {
	c = c.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, startTime+c.Duration+operateTime+2*settleTime)
	defer cancel()
	x := &run{
		config:  c,
		ctx:     ctx,
		random:  rand.New(rand.NewPCG(c.Seed, 1)), //nolint:gosec // a seed is to give the same plan each time
		began:   time.Now(),
		judge:   NewJudge(),
		store:   cellfake.NewStore(),
		fakes:   cellfake.NewWorkers(lease),
		story:   &bytes.Buffer{},
		version: 1,
	}
	x.planLinks()
	if err := x.setUp(); err != nil {
		return Result{}, err
	}
	defer x.endHosts()
	err := x.play(ctx)
	x.endHosts()
	return x.result(), errors.Join(err, x.writeStory())
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

// ip returns a loopback address that is this run's own.
func (x *run) ip(n int) string {
	const first, nets = 20, 200
	return fmt.Sprintf("127.%d.%d.%d", first+os.Getpid()%nets, x.config.Seed%nets, n+1)
}

func (x *run) setUp() error {
	if err := os.MkdirAll(x.config.Dir, 0o750); err != nil {
		return err
	}
	x.store.SetFault(x.fateOfWrite)
	x.fakes.Fault = x.fateOfOrder
	x.fakes.Room = room
	x.fakes.RoomKnown = roomKnown
	x.fakes.Work = x.work
	x.fakes.Crashes = func(r sched.RunID) (time.Duration, bool) { return crashAfter, crashes(r.Task.Stage.Job) }
	x.fakes.Crashed = x.crashed
	if err := x.putConfig(x.version, x.added); err != nil {
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

// work tells how long a run takes and how it ends.
func (x *run) work(r sched.RunID) (time.Duration, sched.EndKind) {
	if lasts(r.Task.Stage.Job) {
		x.judge.Started(r, lastingTime, sched.EndDone)
		return lastingTime, sched.EndDone
	}
	if crashes(r.Task.Stage.Job) {
		x.judge.Started(r, lastingTime, sched.EndDone)
		return lastingTime, sched.EndDone
	}
	d := taskTime + rand.N(taskSpread)
	k := sched.EndDone
	if rand.Float64() < failing {
		k = sched.EndFailed
	}
	x.judge.Started(r, d, k)
	return d, k
}

// listen returns a listener with an address of the run's own.
func (x *run) listen() (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(x.ip(0), "0"))
}

// serve serves a stand-in until the run ends, and returns its address.
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

// behind returns a proxy for a target, and the proxy's address.
func (x *run) behind(target string, path Path) (*Proxy, string, error) {
	l, err := x.listen()
	if err != nil {
		return nil, "", err
	}
	return NewProxy(x.ctx, l, target, path), l.Addr().String(), nil
}

func (x *run) addWorker(i int) error {
	id := spoolsill.WorkerID(fmt.Sprintf("w%02d", i))
	x.fakes.Add(id)
	m := &machine{}
	m.life.Store(&id)
	at, err := x.serve(x.serveMachine(m))
	if err != nil {
		return err
	}
	p, address, err := x.behind(at, Path{})
	if err != nil {
		return err
	}
	m.proxy = p
	m.entry = wire.WorkerEntry{
		ID:      id,
		Born:    x.fakes.LifeOf(id).Born,
		Address: address,
		Machine: "m" + string(id),
		Rack:    "r1-1",
		Capacity: spoolsill.Resources{
			Processors: room * spoolsill.Core,
			Memory:     spoolsill.GiB,
		},
		Remaining: 2 * time.Second,
	}
	x.workers = append(x.workers, m)
	return wire.PutWorker(x.store, m.entry)
}

func (x *run) addHost(i int, storeAt, advisorAt string) error {
	var path Path
	if x.grows() {
		seen, err := x.serve(newView(i, storeAt))
		if err != nil {
			return err
		}
		storeAt = seen
		path.Caller = x.links[i]
	}
	s, storeProxy, err := x.behind(storeAt, path)
	if err != nil {
		return err
	}
	a, advisorProxy, err := x.behind(advisorAt, Path{})
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

// leader returns the host that leads as far as the store tells, or any.
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

func (x *run) play(ctx context.Context) error {
	wait(ctx, startTime)
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
		c := newClient(i, x.config.Seed, addresses, x.judge)
		clients = append(clients, c)
		wg.Go(func() { c.run(working) })
	}
	x.harmAndOperate(ctx, addresses)
	stop()
	wg.Wait()
	c := newClient(len(clients), x.config.Seed, addresses, x.judge)
	x.endLasting(ctx, c)
	x.settle(ctx, c)
	return ctx.Err()
}

// harmAndOperate does harm while the operator adds routes, if it does, and has the
// operator go on when all is well again.
func (x *run) harmAndOperate(ctx context.Context, hosts []string) {
	operating, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	if x.config.Troubled {
		wg.Go(func() { x.trouble(operating, hosts) })
	}
	if x.grows() {
		wg.Go(func() { x.operate(operating) })
	}
	x.harm(ctx, x.config.Duration)
	stop()
	wg.Wait()
	for _, p := range x.hosts {
		x.restart(p)
	}
	if x.grows() {
		x.finishOperating(ctx)
	}
}

// endLasting cancels the jobs that would last, and sees to it that their tasks are
// gone, and those of jobs that were cancelled before.
func (x *run) endLasting(ctx context.Context, c *client) {
	for _, id := range x.judge.Open() {
		h := handedIn{
			id:   id,
			path: queues[0] + string(id),
		}
		for lasts(id) && !c.cancelJob(ctx, h) && wait(ctx, settleStep) {
			continue
		}
	}
	for end := time.Now().Add(goneTime); time.Now().Before(end); {
		if x.fakes.RunningOf(x.judge.Over) == 0 || !wait(ctx, settleStep) {
			return
		}
	}
	x.judge.StillThere(x.fakes.RunningOf(x.judge.Over))
}

// settle asks for the jobs that were accepted until all have ended.
func (x *run) settle(ctx context.Context, c *client) {
	defer c.http.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for ctx.Err() == nil {
		open := x.judge.Open()
		if len(open) == 0 {
			return
		}
		for _, id := range open {
			c.stateOf(ctx, handedIn{
				id:   id,
				path: queues[0] + string(id),
			})
		}
		wait(ctx, settleStep)
	}
	x.judge.NeverEnded(x.judge.Open())
}

// endHosts stops all hosts as planned, and kills those that do not end.
func (x *run) endHosts() {
	var wg sync.WaitGroup
	for _, p := range x.hosts {
		wg.Go(p.Stop)
	}
	wg.Wait()
}

func (x *run) result() Result {
	var r Result
	for _, m := range x.workers {
		r.Crashes += m.crashes()
	}
	for _, p := range x.hosts {
		r.Lives += p.Lives()
		if err := p.Stray(); err != nil {
			x.judge.Ended(err)
		}
	}
	r.Jobs, r.Accepted, r.Ended, r.Starts = x.judge.Counts()
	r.Broken = append(x.judge.Broken(), x.fakes.Broken()...)
	return r
}

func (x *run) writeStory() error {
	f, err := os.Create(filepath.Join(x.config.Dir, "story.txt"))
	if err != nil {
		return err
	}
	_, err = io.Copy(f, x.story)
	return errors.Join(err, f.Close())
}
