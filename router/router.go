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

// Upstream sends a call to a runner. It fails with [upstream.ErrNotRun] or
// [upstream.ErrUnknownOutcome].
type Upstream interface {
	Do(ctx context.Context, c upstream.Call) (upstream.Answer, error)
}

// Peers sends calls to the other hosts of the hall.
type Peers interface {
	// Borrow asks a host to lend up to n slots of a service.
	Borrow(ctx context.Context, h spoolsill.HostID, s spoolsill.ServiceID, n int) ([]route.Loan, error)
	// Return gives slots back to the host that lent them.
	Return(ctx context.Context, h spoolsill.HostID, s spoolsill.ServiceID, ids []route.LoanID)
}

// A Config configures a [Router].
type Config struct {
	Route    route.Config   // of the service, its queue and the hall's hosts
	Upstream Upstream       // sends calls to the runners
	Peers    Peers          // calls the other hosts
	Events   *timeline.Ring // records each request that is sent to a runner
	// Saw is called after each call to a runner; it may be nil. answered is false if
	// Upstream returned an error; a response with an error status is an answer.
	Saw func(r spoolsill.RunnerID, answered bool)
	// Leaves is called if a runner's response announces that it is leaving; it may
	// be nil.
	Leaves func(r spoolsill.RunnerID)
}

// A Call is a request and the content that is sent to the runner.
type Call struct {
	Request spoolsill.Request
	Path    string // of the URL
	Type    string // the content type of Body
	Body    []byte
}

// A Reply is the result of a request. Answer is the runner's answer if Outcome
// is [spoolsill.OutcomeDone]; otherwise Cause is why the request failed.
type Reply struct {
	Outcome    spoolsill.Outcome
	Cause      route.Cause
	RetryAfter time.Duration      // after which the caller should retry; 0 means no advice
	Runner     spoolsill.RunnerID // that answered; empty if the request failed
	Answer     upstream.Answer
	Waited     time.Duration // from the arrival to the last dispatch or the failure
}

// A Router routes the requests of one service. It is safe for concurrent use.
type Router struct {
	config Config
	wake   chan struct{}

	mu         sync.Mutex // guards the following fields
	state      *route.State
	lastTicket route.Ticket
	actions    map[route.Ticket]chan route.Action
	addresses  map[spoolsill.RunnerID]string
	runCtx     context.Context
	closed     bool
	wg         sync.WaitGroup
}

// New returns a router without runners. [Router.Run] must be running while the
// router is used.
func New(c Config) *Router {
	if c.Saw == nil {
		c.Saw = func(spoolsill.RunnerID, bool) {}
	}
	if c.Leaves == nil {
		c.Leaves = func(spoolsill.RunnerID) {}
	}
	return &Router{
		config:    c,
		wake:      make(chan struct{}, 1),
		state:     route.NewState(c.Route),
		actions:   map[route.Ticket]chan route.Action{},
		addresses: map[spoolsill.RunnerID]string{},
		runCtx:    context.Background(),
	}
}

// Run performs the operations that become due at a certain time, such as failing
// expired requests, until ctx ends. It then fails the queued calls, cancels those
// in flight and waits for their end.
func (r *Router) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	r.mu.Lock()
	r.runCtx = ctx
	r.mu.Unlock()
	const idle = time.Second
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.closed = true
			r.execute(r.state.Abort())
			r.mu.Unlock()
			return
		case <-t.C:
		case <-r.wake:
		}
		now := time.Now()
		r.mu.Lock()
		acts, next := r.state.Tick(now)
		r.execute(acts)
		r.mu.Unlock()
		wait := idle
		if !next.IsZero() {
			wait = min(max(next.Sub(now), 0), idle)
		}
		t.Reset(wait)
	}
}

// SetRunners replaces the list of the service's runners. A runner that is not
// listed any more gets no new requests.
func (r *Router) SetRunners(list []spoolsill.Runner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range list {
		r.addresses[x.ID] = x.Address
	}
	r.execute(r.state.SetRunners(time.Now(), list))
}

// EnableOwnSlots sets the time from which the host may use its own slots. A host
// that can't tell whether it was stopped cleanly before its restart must wait for
// the lifetime of a slot, since its earlier requests may still occupy them; until
// then it can only borrow. The zero time means that no wait is needed.
func (r *Router) EnableOwnSlots(from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(r.state.EnableOwnSlots(time.Now(), from))
}

// Lend handles a request of another host for up to n slots, and returns those that
// it lends.
func (r *Router) Lend(n int) []route.Loan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Lend(time.Now(), n)
}

// LoansReturned handles the return of lent slots.
func (r *Router) LoansReturned(ids []route.LoanID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(r.state.LoansReturned(time.Now(), ids))
}

// StopAndWait makes r fail new requests, and waits until no request is queued or
// running, no slot may still be occupied by a request without an answer, and no
// slot is lent, or until ctx ends. It reports whether nothing is outstanding.
func (r *Router) StopAndWait(ctx context.Context) bool {
	r.mu.Lock()
	r.state.Drain()
	r.mu.Unlock()
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		r.mu.Lock()
		n := r.state.Outstanding()
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

// Load returns the numbers of queued and running requests.
func (r *Router) Load() (waiting, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Waiting(), r.state.Running()
}

// FreeSlots returns the number of own slots that a request may be sent to, or 0
// while requests are queued.
func (r *Router) FreeSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.FreeSlots(time.Now())
}

// Runners returns the state of the service's runners as seen by this host, sorted
// by ID.
func (r *Router) Runners() []route.RunnerView {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Runners()
}

// Do routes a call and returns its result. If ctx ends while the call is queued,
// the call is cancelled. Once it has been sent, Do waits for its result regardless
// of ctx, but not beyond the time at which the request expires.
func (r *Router) Do(ctx context.Context, c Call) Reply {
	arrived := time.Now()
	t, acts := r.arrive(arrived, c)
	for {
		var a route.Action
		select {
		case a = <-acts:
		case <-ctx.Done():
			r.cancel(t)
			a = <-acts
		}
		if a.Kind == route.Fail {
			return Reply{
				Outcome:    a.Outcome,
				Cause:      a.Cause,
				RetryAfter: a.RetryAfter,
				Runner:     a.Runner,
				Waited:     time.Since(arrived),
			}
		}
		waited := time.Since(arrived)
		if ans, ok := r.send(t, a, c); ok {
			return Reply{
				Outcome: spoolsill.OutcomeDone,
				Runner:  a.Runner,
				Answer:  ans,
				Waited:  waited,
			}
		}
	}
}

func (r *Router) arrive(now time.Time, c Call) (route.Ticket, chan route.Action) {
	acts := make(chan route.Action, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTicket++
	t := r.lastTicket
	r.actions[t] = acts
	r.execute(r.state.Arrive(now, route.Arrival{
		Ticket:  t,
		Request: c.Request,
	}))
	r.notifyRun()
	return t, acts
}

// notifyRun wakes Run if requests are queued, since the next time at which an
// operation is due may have changed. The caller must hold r.mu.
func (r *Router) notifyRun() {
	if r.state.Waiting() == 0 {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Router) cancel(t route.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(r.state.Cancel(time.Now(), t))
}

func (r *Router) finish(t route.Ticket, res route.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if res == route.Answered {
		delete(r.actions, t)
	}
	r.execute(r.state.Finish(time.Now(), t, res))
	r.notifyRun()
}

func (r *Router) release(t route.Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(r.state.Release(time.Now(), t))
	r.notifyRun()
}

// execute carries out actions: those of a request go to the goroutine that waits
// for it in Do, the others are run in new goroutines. The caller must hold r.mu.
func (r *Router) execute(acts []route.Action) {
	for _, a := range acts {
		switch a.Kind {
		case route.Dispatch:
			r.actions[a.Ticket] <- a
		case route.Fail:
			r.actions[a.Ticket] <- a
			delete(r.actions, a.Ticket)
		case route.Borrow:
			r.start(func(ctx context.Context) { r.borrow(ctx, a.Count) })
		case route.Return:
			r.start(func(ctx context.Context) {
				r.config.Peers.Return(ctx, a.To, r.config.Route.Service, a.Loans)
			})
		}
	}
}

// start runs f in a goroutine with the context of Run, which waits for f before
// it returns. After the end of Run, f is run with the ended context and not
// waited for. The caller must hold r.mu.
func (r *Router) start(f func(ctx context.Context)) {
	ctx := r.runCtx
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

// borrowTimeout bounds one request for slots.
const borrowTimeout = 50 * time.Millisecond

// borrow asks the hall's other hosts for n slots, one after the other from a
// random one on, until one lends some.
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
	r.execute(r.state.LoansGranted(time.Now(), asked, loans))
	r.notifyRun()
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

// send sends a dispatched call to its runner and reports the result to the
// state. It returns the answer and whether the call is done; otherwise another
// action follows. If the request expires first, its slot is released when the
// call ends.
func (r *Router) send(t route.Ticket, a route.Action, c Call) (upstream.Answer, bool) {
	if !time.Now().Before(a.Until) {
		r.finish(t, route.NotSent)
		return upstream.Answer{}, false
	}
	r.recordEvent(timeline.KindDispatch, a.Runner, c, "sent to the runner")
	type result struct {
		answer upstream.Answer
		res    route.Result
	}
	done := make(chan result, 1)
	timedOut := make(chan struct{})
	r.mu.Lock()
	address := r.addresses[a.Runner]
	r.start(func(ctx context.Context) {
		ans, res := r.call(ctx, address, a, c)
		done <- result{
			answer: ans,
			res:    res,
		}
		select {
		case <-timedOut:
			r.release(t)
		default:
		}
	})
	r.mu.Unlock()
	expiry := time.NewTimer(time.Until(c.Request.Expires()))
	defer expiry.Stop()
	select {
	case x := <-done:
		r.finish(t, x.res)
		return x.answer, x.res == route.Answered
	case <-expiry.C:
	}
	r.finish(t, route.TimedOut)
	// The call may end at the same time: its goroutine puts the result in done and
	// then checks timedOut, and this one does the reverse, so at least one of them
	// releases the slot.
	close(timedOut)
	select {
	case <-done:
		r.release(t)
	default:
	}
	return upstream.Answer{}, false
}

// call sends a call to a runner and waits for its result, at most for the
// lifetime of a slot.
func (r *Router) call(ctx context.Context, address string, a route.Action, c Call) (upstream.Answer, route.Result) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Route.SlotLifetime)
	defer cancel()
	ans, err := r.config.Upstream.Do(ctx, upstream.Call{
		Address: address,
		Path:    c.Path,
		Key:     c.Request.Key,
		Type:    c.Type,
		Body:    c.Body,
		Until:   a.Until,
	})
	r.config.Saw(a.Runner, err == nil)
	if ans.Leaving {
		r.config.Leaves(a.Runner)
	}
	switch {
	case errors.Is(err, upstream.ErrNotRun):
		return ans, route.Refused
	case err != nil:
		return ans, route.ConnectionLost
	case ans.Status >= 500:
		return ans, route.Failed
	default:
		return ans, route.Answered
	}
}

func (r *Router) recordEvent(k timeline.Kind, id spoolsill.RunnerID, c Call, text string) {
	r.config.Events.Add(timeline.Event{
		Kind:    k,
		Request: c.Request.Key,
		Runner:  id,
		Text:    text,
	})
}
