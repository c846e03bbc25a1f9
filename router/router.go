package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/route"
	"github.com/spoolsill/spoolsill/timeline"
	"github.com/spoolsill/spoolsill/upstream"
)

// Upstream sends a call to a runner. It fails with [upstream.ErrRefused] or
// [upstream.ErrBroken].
type Upstream interface {
	Do(ctx context.Context, c upstream.Call) (upstream.Answer, error)
}

// Peers reaches the other hosts of the hall.
type Peers interface {
	// Borrow asks a host for slots of a service.
	Borrow(ctx context.Context, h spoolsill.HostID, s spoolsill.ServiceID, n int) ([]route.Loan, error)
	// Return gives slots back to the host that lent them.
	Return(ctx context.Context, h spoolsill.HostID, s spoolsill.ServiceID, ids []route.LoanID)
}

// A Config describes a [Router].
type Config struct {
	Route    route.Config
	Upstream Upstream
	Peers    Peers
	Events   *timeline.Ring
	// Saw is told whether a runner answered; nil drops it.
	Saw func(r spoolsill.RunnerID, answered bool)
	// Leaves is told that a runner says it is leaving; nil drops it.
	Leaves func(r spoolsill.RunnerID)
}

// A Call is a request with what goes to the runner.
type Call struct {
	Request spoolsill.Request
	Path    string
	Type    string
	Body    []byte
}

// A Reply is what became of a request.
type Reply struct {
	Outcome    spoolsill.Outcome
	Cause      route.Cause
	RetryAfter time.Duration
	Runner     spoolsill.RunnerID
	Answer     upstream.Answer
	Waited     time.Duration // in the queue
}

// A Router routes the requests of one service. It is safe for concurrent use.
type Router struct {
	config Config
	due    chan struct{}

	mu        sync.Mutex // guards what follows
	state     *route.State
	tickets   route.Ticket
	waiting   map[route.Ticket]chan route.Action
	addresses map[spoolsill.RunnerID]string
	life      context.Context
	closed    bool
	wg        sync.WaitGroup
}

// New returns a router without runners.
func New(c Config) *Router {
	if c.Saw == nil {
		c.Saw = func(spoolsill.RunnerID, bool) {}
	}
	if c.Leaves == nil {
		c.Leaves = func(spoolsill.RunnerID) {}
	}
	return &Router{
		config:    c,
		due:       make(chan struct{}, 1),
		state:     route.NewState(c.Route),
		waiting:   map[route.Ticket]chan route.Action{},
		addresses: map[spoolsill.RunnerID]string{},
		life:      context.Background(),
	}
}

// Run does what falls due until ctx ends. Calls that wait or are under way end
// with it too.
func (r *Router) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.mu.Lock()
	r.life = ctx
	r.mu.Unlock()
	const idle = time.Second
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.closed = true
			r.do(r.state.End())
			r.mu.Unlock()
			return
		case <-t.C:
		case <-r.due:
		}
		now := time.Now()
		r.mu.Lock()
		acts, next := r.state.Tick(now)
		r.do(acts)
		r.mu.Unlock()
		wait := idle
		if !next.IsZero() {
			wait = min(max(next.Sub(now), 0), idle)
		}
		t.Reset(wait)
	}
}

// SetRunners takes the list of the service's runners.
func (r *Router) SetRunners(list []spoolsill.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range list {
		r.addresses[x.ID] = x.Address
	}
	r.do(r.state.SetRunners(time.Now(), list))
}

// SetHome says from when on the host may use its own slots.
func (r *Router) SetHome(from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.do(r.state.SetHome(time.Now(), from))
}

// Lend answers another host that asks for slots.
func (r *Router) Lend(n int) []route.Loan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Lend(time.Now(), n)
}

// Returned takes back lent slots.
func (r *Router) Returned(ids []route.LoanID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.do(r.state.Returned(time.Now(), ids))
}

// Stop refuses new requests and waits until none waits or runs and no slot is
// lent, or ctx ends. It reports whether nothing is left.
func (r *Router) Stop(ctx context.Context) bool {
	r.mu.Lock()
	r.state.Stop()
	r.mu.Unlock()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		r.mu.Lock()
		n := r.state.Open()
		r.mu.Unlock()
		if n == 0 {
			return true
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
}

// Load returns how many requests wait and run.
func (r *Router) Load() (waiting, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Waiting(), r.state.Running()
}

// Spare returns how many own slots are free, none while requests wait.
func (r *Router) Spare() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Spare(time.Now())
}

// Runners returns what the host knows of the service's runners.
func (r *Router) Runners() []route.RunnerView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Runners()
}

// Do routes a call and returns what became of it. When ctx ends while the
// call waits it is withdrawn; once it was sent, Do waits for its end.
func (r *Router) Do(ctx context.Context, c Call) Reply {
	arrived := time.Now()
	t, acts := r.arrive(arrived, c)
	for {
		var a route.Action
		select {
		case a = <-acts:
		case <-ctx.Done():
			r.leave(t)
			a = <-acts
		}
		if a.Kind == route.Settle {
			return Reply{
				Outcome:    a.Outcome,
				Cause:      a.Cause,
				RetryAfter: a.RetryAfter,
				Runner:     a.Runner,
				Waited:     time.Since(arrived),
			}
		}
		waited := time.Since(arrived)
		if p, ok := r.send(t, a, c); ok {
			return Reply{
				Outcome: spoolsill.OutcomeDone,
				Runner:  a.Runner,
				Answer:  p,
				Waited:  waited,
			}
		}
	}
}

func (r *Router) arrive(now time.Time, c Call) (route.Ticket, chan route.Action) {
	acts := make(chan route.Action, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tickets++
	t := r.tickets
	r.waiting[t] = acts
	r.do(r.state.Arrive(now, route.Ask{
		Ticket:  t,
		Request: c.Request,
	}))
	r.poke()
	return t, acts
}

// poke has Run look at what falls due when requests wait. The lock is held.
func (r *Router) poke() {
	if r.state.Waiting() == 0 {
		return
	}
	select {
	case r.due <- struct{}{}:
	default:
	}
}

func (r *Router) leave(t route.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.do(r.state.Leave(time.Now(), t))
}

func (r *Router) finish(t route.Ticket, res route.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if res == route.Answered {
		delete(r.waiting, t)
	}
	r.do(r.state.Finish(time.Now(), t, res))
	r.poke()
}

func (r *Router) release(t route.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.do(r.state.Release(time.Now(), t))
	r.poke()
}

// do hands actions to those who wait for them. The lock is held.
func (r *Router) do(acts []route.Action) {
	for _, a := range acts {
		switch a.Kind {
		case route.Dispatch:
			r.waiting[a.Ticket] <- a
		case route.Settle:
			r.waiting[a.Ticket] <- a
			delete(r.waiting, a.Ticket)
		case route.Borrow:
			r.spawn(func(ctx context.Context) { r.borrow(ctx, a.Count) })
		case route.Return:
			r.spawn(func(ctx context.Context) {
				r.config.Peers.Return(ctx, a.To, r.config.Route.Service, a.Loans)
			})
		}
	}
}

// spawn runs f for as long as the router does; after its end f runs with a
// context that has ended. The lock is held.
func (r *Router) spawn(f func(ctx context.Context)) {
	ctx := r.life
	if r.closed {
		go f(ctx)
		return
	}
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f(ctx)
	}()
}

// borrowTimeout bounds one question for slots.
const borrowTimeout = 50 * time.Millisecond

// borrow asks the hall's other hosts for n slots, in random order, until one
// lends some.
func (r *Router) borrow(ctx context.Context, n int) {
	asked := time.Now()
	var loans []route.Loan
	hosts := r.config.Route.Hosts
	first := rand.IntN(len(hosts))
	for i := range hosts {
		h := hosts[(first+i)%len(hosts)]
		if h == r.config.Route.Host {
			continue
		}
		asked = time.Now()
		loans = r.borrowFrom(ctx, h, n)
		if len(loans) > 0 {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.do(r.state.Granted(time.Now(), asked, loans))
	r.poke()
}

func (r *Router) borrowFrom(ctx context.Context, h spoolsill.HostID, n int) []route.Loan {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	l, err := r.config.Peers.Borrow(ctx, h, r.config.Route.Service, n)
	if err != nil {
		return nil
	}
	return l
}

// send sends a dispatched call and takes in what became of it. It reports
// whether the answer came; otherwise another action follows.
func (r *Router) send(t route.Ticket, a route.Action, c Call) (upstream.Answer, bool) {
	if !time.Now().Before(a.Until) {
		r.finish(t, route.Unsent)
		return upstream.Answer{}, false
	}
	r.event(timeline.KindDispatch, a.Runner, c, "sent to the runner")
	type result struct {
		answer upstream.Answer
		res    route.Result
	}
	done := make(chan result, 1)
	settled := make(chan struct{})
	r.mu.Lock()
	address := r.addresses[a.Runner]
	r.spawn(func(ctx context.Context) {
		p, res := r.call(ctx, address, a, c)
		done <- result{
			answer: p,
			res:    res,
		}
		select {
		case <-settled:
			r.release(t)
		default:
		}
	})
	r.mu.Unlock()
	late := time.NewTimer(time.Until(c.Request.Expires()))
	defer late.Stop()
	select {
	case x := <-done:
		r.finish(t, x.res)
		return x.answer, x.res == route.Answered
	case <-late.C:
	}
	r.finish(t, route.TimedOut)
	close(settled)
	select {
	case <-done:
		r.release(t)
	default:
	}
	return upstream.Answer{}, false
}

// call sends a call to a runner and waits for its end, for the lifetime of a
// slot at most.
func (r *Router) call(ctx context.Context, address string, a route.Action, c Call) (upstream.Answer, route.Result) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Route.SlotLifetime)
	defer cancel()
	p, err := r.config.Upstream.Do(ctx, upstream.Call{
		Address: address,
		Path:    c.Path,
		Key:     c.Request.Key,
		Type:    c.Type,
		Body:    c.Body,
		Until:   a.Until,
	})
	r.config.Saw(a.Runner, err == nil)
	if p.Leaving {
		r.config.Leaves(a.Runner)
	}
	switch {
	case errors.Is(err, upstream.ErrRefused):
		return p, route.Refused
	case err != nil:
		return p, route.Broken
	case p.Status >= 500:
		return p, route.Failed
	default:
		return p, route.Answered
	}
}

func (r *Router) event(k timeline.Kind, id spoolsill.RunnerID, c Call, text string) {
	r.config.Events.Add(timeline.Event{
		Kind:    k,
		Request: c.Request.Key,
		Runner:  id,
		Text:    text,
	})
}
