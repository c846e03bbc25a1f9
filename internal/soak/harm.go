package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/store"
)

// A harm befalls a run for some time.
type harm struct {
	name  string
	begin func(x *run, ctx context.Context) (heal func())
	// ofStore tells that it befalls all hosts by way of the store.
	ofStore bool
}

// harms are all kinds; each is as likely as its share of the list.
var harms = []harm{
	{name: "kill", begin: (*run).kill},
	{name: "kill-leader", begin: (*run).killLeader},
	{name: "kill-all", begin: (*run).killAll},
	{name: "stop", begin: (*run).stop},
	{name: "pause", begin: (*run).pause},
	{name: "pause-leader", begin: (*run).pauseLeader},
	{name: "reload", begin: (*run).reload},
	{name: "store-of-host", begin: (*run).harmStoreOfHost},
	{name: "store", begin: (*run).harmStore, ofStore: true},
	{name: "advisor-of-host", begin: (*run).harmAdvisorOfHost},
	{name: "worker", begin: (*run).harmWorker},
	{name: "worker-leaves", begin: (*run).removeWorker},
	{name: "lost-writes", begin: (*run).loseWrites, ofStore: true},
	{name: "late-writes", begin: (*run).delayWrites, ofStore: true},
	{name: "turned-away", begin: (*run).turnAway, ofStore: true},
	{name: "history-gone", begin: (*run).forget, ofStore: true},
	{name: "lost-orders", begin: (*run).loseOrders},
	{name: "late-orders", begin: (*run).delayOrders},
	{name: "config", begin: (*run).configure},
	{name: "cancel-at-take-over", begin: (*run).cancelAtTakeOver},
}

const (
	// harmGap and harmTime are the most between two harms, and that one
	// lasts: several overlap, and some outlast leases.
	harmGap  = 900 * time.Millisecond
	harmTime = 5 * time.Second
)

// harm has harms begin one after another for d, and returns once all have
// healed.
func (x *run) harm(ctx context.Context, d time.Duration) {
	var healing sync.WaitGroup
	defer healing.Wait()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		h := harms[x.random.IntN(len(harms))]
		last := time.Duration(x.random.Int64N(int64(harmTime)))
		x.note("begins: %s", h.name)
		heal := h.begin(x, ctx)
		if h.ofStore {
			heal = x.harmed(heal, x.hosts...)
		}
		healing.Go(func() {
			wait(ctx, last)
			heal()
			x.note("heals: %s", h.name)
		})
		wait(ctx, time.Duration(x.random.Int64N(int64(harmGap))))
	}
}

// harmed tells the judge that harm has been done to hosts, and has its healing
// tell of the end.
func (x *run) harmed(heal func(), hosts ...*Process) func() {
	for _, p := range hosts {
		x.judge.HarmBegins(p.Settings.Host)
	}
	return func() {
		heal()
		for _, p := range hosts {
			x.judge.HarmEnds(p.Settings.Host, time.Now())
		}
	}
}

// note adds a line to the run's own story.
func (x *run) note(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, _ = fmt.Fprintf(x.story, "%7.3f s: "+format+"\n", append([]any{time.Since(x.began).Seconds()}, args...)...)
}

func (x *run) anyHost() *Process {
	return x.hosts[x.random.IntN(len(x.hosts))]
}

func (x *run) restart(p *Process) {
	if err := p.Start(); err != nil {
		x.judge.Ended(err)
	}
}

func (x *run) killOne(p *Process) func() {
	x.note("kills %s", p.Settings.Host)
	ended := p.Signal(syscall.SIGKILL)
	return x.harmed(func() {
		<-ended
		x.restart(p)
	}, p)
}

func (x *run) kill(context.Context) func() {
	return x.killOne(x.anyHost())
}

func (x *run) killLeader(context.Context) func() {
	return x.killOne(x.leader())
}

func (x *run) killAll(context.Context) func() {
	var heals []func()
	for _, p := range x.hosts {
		heals = append(heals, x.killOne(p))
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// stop stops a host as planned. The host may be paused meanwhile.
func (x *run) stop(context.Context) func() {
	p := x.anyHost()
	x.note("stops %s", p.Settings.Host)
	ended := p.Signal(syscall.SIGTERM)
	return x.harmed(func() {
		select {
		case <-ended:
		case <-time.After(p.Settings.StopGrace):
			<-p.Signal(syscall.SIGKILL)
		}
		x.restart(p)
	}, p)
}

func (x *run) pauseOne(p *Process) func() {
	x.note("pauses %s", p.Settings.Host)
	p.Signal(syscall.SIGSTOP)
	return x.harmed(func() { p.Signal(syscall.SIGCONT) }, p)
}

func (x *run) pause(context.Context) func() {
	return x.pauseOne(x.anyHost())
}

func (x *run) pauseLeader(context.Context) func() {
	return x.pauseOne(x.leader())
}

func (x *run) reload(context.Context) func() {
	for _, p := range x.hosts {
		p.Signal(syscall.SIGHUP)
	}
	return func() {}
}

// harmProxy sets a proxy to a random mode.
func (x *run) harmProxy(what string, proxies ...*Proxy) func() {
	m := Mode(1 + x.random.IntN(int(OneWay)))
	x.note("%s: %s", what, m)
	for _, p := range proxies {
		p.Set(m)
	}
	return func() {
		for _, p := range proxies {
			p.Set(Pass)
		}
	}
}

func (x *run) harmStoreOfHost(context.Context) func() {
	i := x.random.IntN(len(x.hosts))
	return x.harmed(x.harmProxy("store of "+x.hosts[i].Settings.Host, x.stores[i]), x.hosts[i])
}

func (x *run) harmStore(context.Context) func() {
	return x.harmProxy("store", x.stores...)
}

func (x *run) harmAdvisorOfHost(context.Context) func() {
	i := x.random.IntN(len(x.hosts))
	return x.harmProxy("advisor of "+x.hosts[i].Settings.Host, x.advisors[i])
}

func (x *run) harmWorker(context.Context) func() {
	m := x.workers[x.random.IntN(len(x.workers))]
	return x.harmProxy("worker "+string(m.current().ID), m.proxy)
}

// cancelAtTakeOver cancels lasting jobs while the leader is killed and answers of
// some workers get lost: the next leader has to see to it that they end.
func (x *run) cancelAtTakeOver(ctx context.Context) func() {
	var addresses []string
	for _, p := range x.hosts {
		addresses = append(addresses, p.Settings.ClientAddress)
	}
	c := newClient(x.config.Clients+1, x.random.Uint64(), addresses, x.judge)
	var heals []func()
	for range cutWorkers {
		p := x.workers[x.random.IntN(len(x.workers))].proxy
		p.Set(OneWay)
		heals = append(heals, func() { p.Set(Pass) })
	}
	heals = append(heals, x.killLeader(ctx))
	for _, id := range x.judge.Lasting() {
		x.note("cancels %s", id)
		go c.cancelJob(ctx, handedIn{
			id:   id,
			path: queues[0] + string(id),
		})
	}
	return func() {
		c.http.CloseIdleConnections()
		for _, heal := range heals {
			heal()
		}
	}
}

// cutWorkers is how many workers' answers get lost around a take-over.
const cutWorkers = 4

// removeWorker has a worker's entry go while it lives on, as during an outage of
// the store, or says that it leaves.
func (x *run) removeWorker(context.Context) func() {
	m := x.workers[x.random.IntN(len(x.workers))]
	e := m.current()
	if x.random.IntN(2) == 0 {
		wire.DeleteWorker(x.store, e.ID)
	} else {
		e.Draining = true
		x.list(e)
	}
	return func() { x.list(m.current()) }
}

func (x *run) list(e wire.WorkerEntry) {
	if err := wire.PutWorker(x.store, e); err != nil {
		x.judge.Ended(err)
	}
}

// faultyLeast and faultyMost bound which part of the store's writes, or of the
// workers' orders, goes wrong.
const (
	faultyLeast = 0.2
	faultyMost  = 0.9
)

// faultyPart returns a random part.
func (x *run) faultyPart() float64 {
	return faultyLeast + x.random.Float64()*(faultyMost-faultyLeast)
}

func (x *run) setWriteFault(f cellfake.StoreFault) func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writeFault = f
	x.faultyWrites = x.faultyPart()
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.writeFault = cellfake.StoreWell
	}
}

func (x *run) loseWrites(context.Context) func() {
	return x.setWriteFault(cellfake.StoreLose)
}

func (x *run) delayWrites(context.Context) func() {
	return x.setWriteFault(cellfake.StoreLate)
}

// fateOfWrite implements the store's Fault.
func (x *run) fateOfWrite(store.Transaction) cellfake.StoreFault {
	x.mu.Lock()
	defer x.mu.Unlock()
	if rand.Float64() < x.faultyWrites {
		return x.writeFault
	}
	return cellfake.StoreWell
}

func (x *run) turnAway(context.Context) func() {
	x.store.TurnAway(true)
	return func() { x.store.TurnAway(false) }
}

func (x *run) forget(context.Context) func() {
	x.store.Deafen(true)
	return func() {
		x.store.Forget()
		x.store.Deafen(false)
	}
}

func (x *run) setOrderFault(f cellfake.OrderFault) func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.orderFault = f
	x.faultyOrders = x.faultyPart()
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.orderFault = cellfake.OrderWell
	}
}

func (x *run) loseOrders(context.Context) func() {
	return x.setOrderFault(cellfake.OrderLose)
}

func (x *run) delayOrders(context.Context) func() {
	return x.setOrderFault(cellfake.OrderLate)
}

// fateOfOrder implements the workers' Fault.
func (x *run) fateOfOrder(spoolsill.WorkerID) cellfake.OrderFault {
	x.mu.Lock()
	defer x.mu.Unlock()
	if rand.Float64() < x.faultyOrders {
		return x.orderFault
	}
	return cellfake.OrderWell
}

// configure has the operator make a small change.
func (x *run) configure(context.Context) func() {
	x.change(0)
	return func() {}
}
