package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill/sched"
)

const (
	// idleInterval is the interval between renewals of a worker without runs. With the time
	// of a call it is less than the age up to which an answer allows something to be started.
	idleInterval = 600 * time.Millisecond
	// idlePhases is the number of parts of that interval over which the groups are spread.
	idlePhases = 12
)

// A GroupRenewer renews the leases of many workers with one call.
type GroupRenewer interface {
	// Route names the route of the next call to a worker. Renewals with the same route can
	// share a call; "" means that those of this worker can't.
	Route(t Target) string
	// RenewGroup makes renewals with the same route, which don't wait for the end of a run.
	// It returns an answer for each, in their order.
	RenewGroup(ctx context.Context, route string, rs []Renewal) []GroupAnswer
}

// A GroupAnswer is a worker's answer to one of a group of renewals.
type GroupAnswer struct {
	Heartbeat sched.Heartbeat
	Reply     Reply
	// Age is how long before the end of the call the worker answered.
	Age time.Duration
}

// An idlePool renews the leases of workers without runs, in groups with the same route. Each
// worker begins in the pool, and leaves it as soon as it needs calls of its own: when something
// is started there, or when it does not answer as an idle worker does. Otherwise the cost of a
// leader would grow with all workers of the cell, even if nothing runs on them.
type idlePool struct {
	leader *Leader

	mu sync.Mutex
	// members has the renewers in the pool, by the phase in which they are due. The new ones
	// are due at once.
	members [idlePhases]map[*renewer]struct{}
	fresh   []*renewer
}

// A poolResult is why a renewer leaves the pool: an answer that is not an idle worker's, or
// none if the worker is needed for something else.
type poolResult struct {
	answered  bool
	heartbeat sched.Heartbeat
	reply     Reply
}

func newIdlePool(l *Leader) *idlePool {
	p := &idlePool{
		leader: l,
	}
	for i := range p.members {
		p.members[i] = map[*renewer]struct{}{}
	}
	return p
}

// run renews the leases of the members until ctx is done.
func (p *idlePool) run(ctx context.Context) {
	t := time.NewTicker(idleInterval / idlePhases)
	defer t.Stop()
	for phase := 0; ; phase = (phase + 1) % idlePhases {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for route, hs := range p.take(phase) {
			p.leader.spawn(func() { p.renew(ctx, route, hs) })
		}
	}
}

// await adds a renewer to the pool and waits until it has to leave.
func (p *idlePool) await(ctx context.Context, h *renewer) poolResult {
	p.add(h)
	defer p.remove(h)
	select {
	case r := <-h.leave:
		return r
	case <-ctx.Done():
		return poolResult{}
	}
}

func (p *idlePool) add(h *renewer) {
	route := p.leader.config.Groups.Route(h.target)
	p.mu.Lock()
	defer p.mu.Unlock()
	h.phase = phaseOf(route)
	p.members[h.phase][h] = struct{}{}
	if !h.renewsNext() {
		p.fresh = append(p.fresh, h)
	}
}

func (p *idlePool) remove(h *renewer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.members[h.phase], h)
}

// take returns the renewers that are due in a phase, by their route. Those whose route has
// changed move to its phase.
func (p *idlePool) take(phase int) map[string][]*renewer {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := map[string][]*renewer{}
	for _, h := range p.fresh {
		p.takeOne(groups, h)
	}
	p.fresh = nil
	for h := range p.members[phase] {
		p.takeOne(groups, h)
	}
	return groups
}

// takeOne adds a renewer to the group of its route, unless a call is in progress. p.mu must be
// held.
func (p *idlePool) takeOne(groups map[string][]*renewer, h *renewer) {
	if _, member := p.members[h.phase][h]; !member || h.called {
		return
	}
	h.called = true
	route := p.leader.config.Groups.Route(h.target)
	groups[route] = append(groups[route], h)
	delete(p.members[h.phase], h)
	h.phase = phaseOf(route)
	p.members[h.phase][h] = struct{}{}
}

func (p *idlePool) endCall(hs []*renewer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hs {
		h.called = false
	}
}

func phaseOf(route string) int {
	return int(xxhash.Sum64String(route) % idlePhases)
}

// renew calls the workers of renewers with the same route. The renewers whose worker is idle
// stay in the pool.
func (p *idlePool) renew(ctx context.Context, route string, hs []*renewer) {
	defer p.endCall(hs)
	if route == "" {
		for _, h := range hs {
			h.leavePool(poolResult{})
		}
		return
	}
	// A worker that was called for the first time is called again to renew its lease.
	for again := hs; len(again) > 0 && ctx.Err() == nil && !p.leader.suspended(); {
		again = p.renewOnce(ctx, route, again)
	}
}

// renewOnce makes one call and returns the renewers whose lease it did not renew although
// their worker is idle.
func (p *idlePool) renewOnce(ctx context.Context, route string, hs []*renewer) []*renewer {
	begun := p.leader.config.Clock.Now()
	rs, first, requested := p.renewals(begun, hs)
	p.leader.send(leasesRequested{
		leases: requested,
	})
	answers := p.leader.config.Groups.RenewGroup(ctx, route, rs)
	if ctx.Err() != nil {
		return nil
	}
	now := p.leader.config.Clock.Now()
	heartbeats := make([]sched.Heartbeat, 0, len(hs))
	var again []*renewer
	latency := time.Duration(-1) // the highest of those that answered
	for i, h := range hs {
		a := answers[i]
		a.Heartbeat.Asked = h.target.WorkerIncarnation
		a.Heartbeat.Sent = begun
		h.setClock(a.Reply.Clock, now.Add(-a.Age))
		if !first[i] {
			p.leader.losses.record(a.Reply.Kind == NoAnswer)
		}
		if a.Reply.Kind == Accepted {
			latency = max(latency, now.Sub(begun)-a.Age)
		}
		if !h.answersIdle(a) {
			h.leavePool(poolResult{
				answered:  true,
				heartbeat: a.Heartbeat,
				reply:     a.Reply,
			})
			continue
		}
		h.setRenews(true)
		heartbeats = append(heartbeats, a.Heartbeat)
		if first[i] {
			again = append(again, h)
		}
	}
	if latency >= 0 {
		p.leader.responses.observe(latency)
	}
	if len(heartbeats) > 0 {
		p.leader.send(heartbeatsReceived{
			heartbeats: heartbeats,
		})
	}
	return again
}

// renewals returns the calls of a group, which of them renew nothing since they are the first
// ones, and the leases that the others request.
func (p *idlePool) renewals(now time.Time, hs []*renewer) (rs []Renewal, first []bool, requested []leaseRequested) {
	rs = make([]Renewal, len(hs))
	first = make([]bool, len(hs))
	timeout := p.leader.responses.heartbeatTimeout(0)
	for i, h := range hs {
		rs[i] = Renewal{
			Target:  h.target,
			Fence:   h.fence,
			Timeout: timeout,
		}
		if first[i] = !h.renewsNext(); first[i] {
			continue
		}
		rs[i].LastAcked, _, _ = h.read()
		deadline, l := h.leaseDeadline(now)
		if deadline != 0 {
			rs[i].Deadline = deadline
			requested = append(requested, l)
		}
	}
	return rs, first, requested
}

// answersIdle reports whether an answer shows that the worker is well and has no runs.
func (h *renewer) answersIdle(a GroupAnswer) bool {
	return a.Reply.Kind == Accepted && h.target.Matches(a.Heartbeat.StartTime) &&
		len(a.Heartbeat.Running) == 0 && len(a.Heartbeat.Ended) == 0
}

// leavePool makes the renewer leave the pool, if it is there.
func (h *renewer) leavePool(r poolResult) {
	select {
	case h.leave <- r:
	default:
	}
}
