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

// A fault is a kind of fault that is injected for some time.
type fault struct {
	name  string
	begin func(x *run, ctx context.Context) (heal func())
	// affectsStore tells that the fault affects the store, and so all hosts.
	affectsStore bool
}

// faults are all kinds of fault, each with the same probability.
var faults = []fault{
	{name: "kill", begin: (*run).kill},
	{name: "kill-leader", begin: (*run).killLeader},
	{name: "kill-all", begin: (*run).killAll},
	{name: "stop", begin: (*run).stop},
	{name: "pause", begin: (*run).pause},
	{name: "pause-leader", begin: (*run).pauseLeader},
	{name: "reload", begin: (*run).reload},
	{name: "store-of-host", begin: (*run).disruptStoreOfHost},
	{name: "store", begin: (*run).disruptStore, affectsStore: true},
	{name: "advisor-of-host", begin: (*run).disruptAdvisorOfHost},
	{name: "worker", begin: (*run).disruptWorker},
	{name: "worker-leaves", begin: (*run).withdrawWorker},
	{name: "lost-writes", begin: (*run).loseWrites, affectsStore: true},
	{name: "late-writes", begin: (*run).delayWrites, affectsStore: true},
	{name: "turned-away", begin: (*run).rejectStoreCalls, affectsStore: true},
	{name: "history-gone", begin: (*run).dropStoreHistory, affectsStore: true},
	{name: "lost-orders", begin: (*run).loseOrders},
	{name: "late-orders", begin: (*run).delayOrders},
	{name: "config", begin: (*run).configure},
	{name: "cancel-at-take-over", begin: (*run).cancelDuringFailover},
}

const (
	// maxFaultGap is the longest time between the beginnings of two faults, maxFaultTime
	// the longest duration of one: several overlap, and some outlast leases.
	maxFaultGap  = 900 * time.Millisecond
	maxFaultTime = 5 * time.Second
)

// injectFaults begins random faults for d, and returns once all have ended.
func (x *run) injectFaults(ctx context.Context, d time.Duration) {
	var healing sync.WaitGroup
	defer healing.Wait()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[x.random.IntN(len(faults))]
		last := time.Duration(x.random.Int64N(int64(maxFaultTime)))
		x.logEvent("begins: %s", f.name)
		heal := f.begin(x, ctx)
		if f.affectsStore {
			heal = x.reportFault(heal, x.hosts...)
		}
		healing.Go(func() {
			wait(ctx, last)
			heal()
			x.logEvent("heals: %s", f.name)
		})
		wait(ctx, time.Duration(x.random.Int64N(int64(maxFaultGap))))
	}
}

// reportFault tells the checker that a fault of hosts has begun, and returns a heal
// function that also reports its end.
func (x *run) reportFault(heal func(), hosts ...*Process) func() {
	for _, p := range hosts {
		x.checker.FaultBegins(p.Settings.Host)
	}
	return func() {
		heal()
		for _, p := range hosts {
			x.checker.FaultEnds(p.Settings.Host, time.Now())
		}
	}
}

// logEvent adds a line to the run's event log.
func (x *run) logEvent(format string, args ...any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, _ = fmt.Fprintf(x.eventLog, "%7.3f s: "+format+"\n", append([]any{time.Since(x.began).Seconds()}, args...)...)
}

func (x *run) anyHost() *Process {
	return x.hosts[x.random.IntN(len(x.hosts))]
}

func (x *run) restart(p *Process) {
	if err := p.Start(); err != nil {
		x.checker.Failed(err)
	}
}

func (x *run) killOne(p *Process) func() {
	x.logEvent("kills %s", p.Settings.Host)
	ended := p.Signal(syscall.SIGKILL)
	return x.reportFault(func() {
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

// stop stops a host gracefully. The host may be paused meanwhile.
func (x *run) stop(context.Context) func() {
	p := x.anyHost()
	x.logEvent("stops %s", p.Settings.Host)
	ended := p.Signal(syscall.SIGTERM)
	return x.reportFault(func() {
		select {
		case <-ended:
		case <-time.After(p.Settings.StopGrace):
			<-p.Signal(syscall.SIGKILL)
		}
		x.restart(p)
	}, p)
}

func (x *run) pauseOne(p *Process) func() {
	x.logEvent("pauses %s", p.Settings.Host)
	p.Signal(syscall.SIGSTOP)
	return x.reportFault(func() { p.Signal(syscall.SIGCONT) }, p)
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

// disruptProxies sets proxies to a random mode other than Pass.
func (x *run) disruptProxies(what string, proxies ...*Proxy) func() {
	m := Mode(1 + x.random.IntN(int(OneWay)))
	x.logEvent("%s: %s", what, m)
	for _, p := range proxies {
		p.Set(m)
	}
	return func() {
		for _, p := range proxies {
			p.Set(Pass)
		}
	}
}

func (x *run) disruptStoreOfHost(context.Context) func() {
	i := x.random.IntN(len(x.hosts))
	return x.reportFault(x.disruptProxies("store of "+x.hosts[i].Settings.Host, x.stores[i]), x.hosts[i])
}

func (x *run) disruptStore(context.Context) func() {
	return x.disruptProxies("store", x.stores...)
}

func (x *run) disruptAdvisorOfHost(context.Context) func() {
	i := x.random.IntN(len(x.hosts))
	return x.disruptProxies("advisor of "+x.hosts[i].Settings.Host, x.advisors[i])
}

func (x *run) disruptWorker(context.Context) func() {
	m := x.machines[x.random.IntN(len(x.machines))]
	return x.disruptProxies("worker "+string(m.current().ID), m.proxy)
}

// cancelDuringFailover cancels long-running jobs while the leader is killed and answers of
// some workers are held back: the next leader has to stop their tasks.
func (x *run) cancelDuringFailover(ctx context.Context) func() {
	var addresses []string
	for _, p := range x.hosts {
		addresses = append(addresses, p.Settings.ClientAddress)
	}
	c := newClient(x.config.Clients+1, x.random.Uint64(), addresses, x.checker)
	var heals []func()
	for range failoverCutWorkers {
		p := x.machines[x.random.IntN(len(x.machines))].proxy
		p.Set(OneWay)
		heals = append(heals, func() { p.Set(Pass) })
	}
	heals = append(heals, x.killLeader(ctx))
	for _, id := range x.checker.LongRunningJobs() {
		x.logEvent("cancels %s", id)
		go c.cancelJob(ctx, submission{
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

// failoverCutWorkers is how many times cancelDuringFailover picks a worker whose answers
// are held back.
const failoverCutWorkers = 4

// withdrawWorker deletes the entry of a worker that goes on running, as happens during an
// outage of the store, or marks it as draining.
func (x *run) withdrawWorker(context.Context) func() {
	m := x.machines[x.random.IntN(len(x.machines))]
	e := m.current()
	if x.random.IntN(2) == 0 {
		wire.DeleteWorker(x.store, e.ID)
	} else {
		e.Draining = true
		x.putEntry(e)
	}
	return func() { x.putEntry(m.current()) }
}

func (x *run) putEntry(e wire.WorkerEntry) {
	if err := wire.PutWorker(x.store, e); err != nil {
		x.checker.Failed(err)
	}
}

// minFaultRate and maxFaultRate bound the share of the store's writes, or of the orders to
// workers, that fail.
const (
	minFaultRate = 0.2
	maxFaultRate = 0.9
)

func (x *run) randomFaultRate() float64 {
	return minFaultRate + x.random.Float64()*(maxFaultRate-minFaultRate)
}

func (x *run) setWriteFault(f cellfake.StoreFault) func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writeFault = f
	x.writeFaultRate = x.randomFaultRate()
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.writeFault = cellfake.StoreOK
	}
}

func (x *run) loseWrites(context.Context) func() {
	return x.setWriteFault(cellfake.StoreLoseReply)
}

func (x *run) delayWrites(context.Context) func() {
	return x.setWriteFault(cellfake.StoreLate)
}

// writeFaultFor chooses the fault of a transaction, for [cellfake.Store.SetFault].
func (x *run) writeFaultFor(store.Transaction) cellfake.StoreFault {
	x.mu.Lock()
	defer x.mu.Unlock()
	if rand.Float64() < x.writeFaultRate {
		return x.writeFault
	}
	return cellfake.StoreOK
}

func (x *run) rejectStoreCalls(context.Context) func() {
	x.store.SetUnavailable(true)
	return func() { x.store.SetUnavailable(false) }
}

func (x *run) dropStoreHistory(context.Context) func() {
	x.store.SetFeedStalled(true)
	return func() {
		x.store.DropHistory()
		x.store.SetFeedStalled(false)
	}
}

func (x *run) setOrderFault(f cellfake.OrderFault) func() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.orderFault = f
	x.orderFaultRate = x.randomFaultRate()
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.orderFault = cellfake.OrderOK
	}
}

func (x *run) loseOrders(context.Context) func() {
	return x.setOrderFault(cellfake.OrderLoseReply)
}

func (x *run) delayOrders(context.Context) func() {
	return x.setOrderFault(cellfake.OrderLate)
}

// orderFaultFor chooses the fault of an order, for [cellfake.Workers].
func (x *run) orderFaultFor(spoolsill.WorkerID) cellfake.OrderFault {
	x.mu.Lock()
	defer x.mu.Unlock()
	if rand.Float64() < x.orderFaultRate {
		return x.orderFault
	}
	return cellfake.OrderOK
}

// configure makes a small change of the configuration.
func (x *run) configure(context.Context) func() {
	x.changeConfig(0)
	return func() {}
}
