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

// A fault is a kind of fault that is injected for a limited time.
type fault struct {
	name   string
	inject func(x *run, ctx context.Context) (heal func())
	// affectsStore is true if the fault affects the store, and so all hosts.
	affectsStore bool
}

// faults lists the kinds of fault, which are equally probable.
var faults = []fault{
	{name: "kill", inject: (*run).killRandomHost},
	{name: "kill-leader", inject: (*run).killLeader},
	{name: "kill-all", inject: (*run).killAllHosts},
	{name: "stop", inject: (*run).stopRandomHost},
	{name: "pause", inject: (*run).pauseRandomHost},
	{name: "pause-leader", inject: (*run).pauseLeader},
	{name: "reload", inject: (*run).reloadHosts},
	{name: "store-of-host", inject: (*run).disruptStoreOfHost},
	{name: "store", inject: (*run).disruptStore, affectsStore: true},
	{name: "advisor-of-host", inject: (*run).disruptAdvisorOfHost},
	{name: "worker", inject: (*run).disruptWorker},
	{name: "worker-leaves", inject: (*run).withdrawWorker},
	{name: "lost-writes", inject: (*run).loseWrites, affectsStore: true},
	{name: "late-writes", inject: (*run).delayWrites, affectsStore: true},
	{name: "turned-away", inject: (*run).rejectStoreCalls, affectsStore: true},
	{name: "history-gone", inject: (*run).dropStoreHistory, affectsStore: true},
	{name: "lost-orders", inject: (*run).loseOrders},
	{name: "late-orders", inject: (*run).delayOrders},
	{name: "config", inject: (*run).addConfigVersion},
	{name: "cancel-at-take-over", inject: (*run).cancelDuringFailover},
}

const (
	// maxFaultGap is the longest time between the starts of two successive faults, and
	// maxFaultTime the longest duration of one. Faults overlap, and some outlast leases.
	maxFaultGap  = 900 * time.Millisecond
	maxFaultTime = 5 * time.Second
)

// injectFaults starts random faults for d, and returns once all have ended.
func (x *run) injectFaults(ctx context.Context, d time.Duration) {
	var active sync.WaitGroup
	defer active.Wait()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[x.random.IntN(len(faults))]
		duration := time.Duration(x.random.Int64N(int64(maxFaultTime)))
		x.logEvent("fault begins: %s", f.name)
		heal := f.inject(x, ctx)
		if f.affectsStore {
			heal = x.reportFault(heal, x.hosts...)
		}
		active.Go(func() {
			wait(ctx, duration)
			heal()
			x.logEvent("fault ends: %s", f.name)
		})
		wait(ctx, time.Duration(x.random.Int64N(int64(maxFaultGap))))
	}
}

// reportFault reports to the checker that a fault of the given hosts has begun. It returns
// a function that calls heal and reports the end of the fault.
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
	_, _ = fmt.Fprintf(x.eventLog, "%7.3f s: "+format+"\n", append([]any{time.Since(x.startTime).Seconds()}, args...)...)
}

func (x *run) randomHost() *Process {
	return x.hosts[x.random.IntN(len(x.hosts))]
}

// startHost starts a host unless it runs.
func (x *run) startHost(p *Process) {
	if err := p.Start(); err != nil {
		x.checker.RecordError(err)
	}
}

func (x *run) killHost(p *Process) func() {
	x.logEvent("killing %s", p.Settings.Host)
	ended := p.Signal(syscall.SIGKILL)
	return x.reportFault(func() {
		<-ended
		x.startHost(p)
	}, p)
}

func (x *run) killRandomHost(context.Context) func() {
	return x.killHost(x.randomHost())
}

func (x *run) killLeader(context.Context) func() {
	return x.killHost(x.leader())
}

func (x *run) killAllHosts(context.Context) func() {
	var heals []func()
	for _, p := range x.hosts {
		heals = append(heals, x.killHost(p))
	}
	return func() {
		for _, heal := range heals {
			heal()
		}
	}
}

// stopRandomHost stops a host gracefully. The host is killed if it does not end, for
// instance because another fault has paused it.
func (x *run) stopRandomHost(context.Context) func() {
	p := x.randomHost()
	x.logEvent("stopping %s", p.Settings.Host)
	ended := p.Signal(syscall.SIGTERM)
	return x.reportFault(func() {
		select {
		case <-ended:
		case <-time.After(p.Settings.StopGrace):
			<-p.Signal(syscall.SIGKILL)
		}
		x.startHost(p)
	}, p)
}

func (x *run) pauseHost(p *Process) func() {
	x.logEvent("pausing %s", p.Settings.Host)
	p.Signal(syscall.SIGSTOP)
	return x.reportFault(func() { p.Signal(syscall.SIGCONT) }, p)
}

func (x *run) pauseRandomHost(context.Context) func() {
	return x.pauseHost(x.randomHost())
}

func (x *run) pauseLeader(context.Context) func() {
	return x.pauseHost(x.leader())
}

func (x *run) reloadHosts(context.Context) func() {
	for _, p := range x.hosts {
		p.Signal(syscall.SIGHUP)
	}
	return func() {}
}

// disruptProxies sets proxies to the same random mode other than Pass.
func (x *run) disruptProxies(target string, proxies ...*Proxy) func() {
	m := Mode(1 + x.random.IntN(int(OneWay)))
	x.logEvent("%s: %s", target, m)
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
	return x.reportFault(x.disruptProxies("store of "+x.hosts[i].Settings.Host, x.storeProxies[i]), x.hosts[i])
}

func (x *run) disruptStore(context.Context) func() {
	return x.disruptProxies("store", x.storeProxies...)
}

func (x *run) disruptAdvisorOfHost(context.Context) func() {
	i := x.random.IntN(len(x.hosts))
	return x.disruptProxies("advisor of "+x.hosts[i].Settings.Host, x.advisorProxies[i])
}

func (x *run) disruptWorker(context.Context) func() {
	m := x.machines[x.random.IntN(len(x.machines))]
	return x.disruptProxies("worker "+string(m.current().ID), m.proxy)
}

// cancelDuringFailover cancels the long-running jobs while the leader is killed and the
// answers of some workers are held back: the next leader has to stop the tasks.
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
		x.logEvent("cancelling %s", id)
		go c.cancelJob(ctx, submission{
			id:   id,
			path: queues[0] + string(id),
		})
	}
	return func() {
		c.httpClient.CloseIdleConnections()
		for _, heal := range heals {
			heal()
		}
	}
}

// failoverCutWorkers is how many times cancelDuringFailover picks a random worker whose
// answers are held back. It may pick the same one again.
const failoverCutWorkers = 4

// withdrawWorker deletes the entry of a running worker, as happens in an outage of the
// store, or marks the worker as draining.
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
		x.checker.RecordError(err)
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

// addConfigVersion writes the next configuration, which adds only the route that marks its
// version.
func (x *run) addConfigVersion(context.Context) func() {
	x.changeConfig(0)
	return func() {}
}
