package leader

import (
	"context"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// baseEndWait is the long-poll wait of a renewal: how long a worker waits for the end of
	// a run before it responds. A lost response delays the report of an end by that long, and
	// a worker that stops responding is detected that much later. Busy workers respond sooner,
	// since runs end more often there.
	baseEndWait = 500 * time.Millisecond
	// lossyEndWait replaces baseEndWait while calls get lost. It causes more calls, so
	// lossyCallInterval bounds their rate: it is the minimum average interval between
	// renewals, over all workers. With many workers the wait stays baseEndWait: a longer one
	// would exceed the age up to which an answer allows something to be started.
	lossyEndWait      = 100 * time.Millisecond
	lossyCallInterval = 700 * time.Microsecond
	// lossThreshold is the share of unanswered renewals above which calls count as getting
	// lost. lossWeight is the weight of the newest renewal in that share, which makes it an
	// average over about the last 50. An idle worker responds once per baseEndWait, so these
	// are the renewals of some 25 workers in one second.
	lossThreshold = 0.015
	lossWeight    = 0.02
	// renewRetryDelay is the delay before the next renewal after one without a response.
	renewRetryDelay = 100 * time.Millisecond
	// ackTimeout is how long a renewal waits until the ends in the last response are
	// stored, before it is sent without acknowledging them in order to keep the lease.
	ackTimeout = time.Second
)

// A renewer keeps renewing the lease of one incarnation of a worker.
type renewer struct {
	leader *Leader
	target Target
	fence  spoolsill.Epoch
	// done is closed when this incarnation is no longer renewed.
	done   <-chan struct{}
	cancel context.CancelFunc

	mu          sync.Mutex
	acked       uint64
	clock       sched.ClockMillis // the worker's clock at its latest response
	clockReadAt time.Time         // when clock was read, by the leader's clock
	wake        chan struct{}
	// starting has the runs whose start order is unanswered so far. The value is true
	// once the worker has listed the run in a heartbeat.
	starting map[sched.RunID]bool
	// superseded is set while the latest response was from another incarnation.
	superseded bool
	// orders counts how often the sending of a start order has begun or ended.
	orders int

	// renews is set while the last call was answered, so that the next one renews the lease.
	renews bool

	// leave receives a value when the worker needs calls of its own; see idlePool. The
	// fields after it are guarded by the pool.
	leave  chan poolResult
	phase  int
	called bool // a call of the pool is in progress
}

// reconcileInterval is how often renewers are compared with the workers, and the hosts that can
// ask the advisor are counted. Workers and hosts that come or go are noticed with that delay.
const reconcileInterval = 50 * time.Millisecond

// reconcileRenewers starts and ends renewers as workers come and go.
func (l *Leader) reconcileRenewers(ctx context.Context, now time.Time) {
	if now.Sub(l.lastReconcile) < reconcileInterval {
		return
	}
	l.lastReconcile = now
	l.state.SetMaxQueries(len(l.config.Advisor.Hosts()) * l.advice.depth())
	wanted := l.wanted
	clear(wanted)
	incarnations := l.state.HeartbeatTargets()
	for _, incarnation := range incarnations {
		wanted[incarnation] = true
	}
	l.renewing.Store(int64(len(wanted)))
	// Ends come first, so that a former incarnation is no longer called once its successor is.
	for incarnation, h := range l.renewers {
		if !wanted[incarnation] {
			h.cancel()
			delete(l.renewers, incarnation)
		}
	}
	for _, incarnation := range incarnations {
		if l.renewers[incarnation] == nil {
			l.startRenewer(ctx, incarnation)
		}
	}
}

func (l *Leader) startRenewer(ctx context.Context, incarnation spoolsill.WorkerIncarnation) {
	ctx, cancel := context.WithCancel(ctx)
	h := &renewer{
		leader: l,
		fence:  l.config.Chain.Fence(l.state.Restarts(incarnation.Worker)),
		done:   ctx.Done(),
		target: Target{
			WorkerIncarnation: incarnation,
			Address:           l.state.Address(incarnation.Worker),
			Hall:              l.state.Hall(incarnation.Worker),
		},
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		starting: map[sched.RunID]bool{},
		leave:    make(chan poolResult, 1),
	}
	l.renewers[incarnation] = h
	l.spawn(func() { h.run(ctx) })
}

// ack records that ends up to sequence number n are stored.
func (h *renewer) ack(n uint64) {
	h.mu.Lock()
	h.acked = n
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *renewer) read() (acked uint64, clock sched.ClockMillis, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.acked, h.clock, h.clockReadAt
}

func (h *renewer) setClock(c sched.ClockMillis, at time.Time) {
	if c == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = c
	h.clockReadAt = at
}

// workerTime estimates the time of the worker's clock at now. It returns 0 before the first
// response.
func (h *renewer) workerTime(now time.Time) sched.ClockMillis {
	_, c, at := h.read()
	if c == 0 {
		return 0
	}
	return c + sched.ClockMillis(now.Sub(at).Milliseconds())
}

// run renews the lease until ctx is done. The first call, and each call after one without a
// response, renews and acknowledges nothing; it only announces the fence and reads the worker's
// clock. There are two reasons. An unanswered call may still be carried out, so if such calls
// renewed the lease, the lease of an unresponsive worker could never be known to have ended. And
// an unresponsive worker may have restarted: an acknowledgment would make the new incarnation
// discard ends that the leader has not received.
func (h *renewer) run(ctx context.Context) {
	var seen uint64
	unanswered := 1 // consecutive calls without a response
	pooled := h.canPool()
	for ctx.Err() == nil {
		orders := h.orderCount()
		b, r, ok := h.next(ctx, pooled, seen, &unanswered)
		if !ok {
			pooled = false
			continue
		}
		renewed := unanswered == 0
		unanswered++
		if r.Kind == Accepted && !h.recordIncarnation(b) {
			// The response is from another incarnation: from the next one, or a delayed one
			// from an earlier one. The event loop handles it by its start time, and the
			// renewer of the next incarnation starts from scratch.
			h.leader.send(heartbeatReceived{
				heartbeat: b,
			})
			pooled = false
			pause.For(ctx, renewRetryDelay)
			continue
		}
		if r.Kind == Accepted {
			unanswered = 0
		}
		switch r.Kind {
		case Accepted:
			for _, e := range b.Ended {
				seen = max(seen, e.Sequence)
			}
			h.markListed(b)
			h.leader.send(heartbeatReceived{
				heartbeat: b,
			})
			h.awaitAck(ctx, seen)
			pooled = renewed && len(b.Running) == 0 && h.canPool() && h.isIdle(orders, seen)
			continue
		case Fenced:
			h.handleFenced()
			return
		case OtherIncarnation:
			h.leader.send(workerReplaced{
				incarnation: h.target.WorkerIncarnation,
			})
			return
		case ConnectionRefused:
			h.leader.send(workerConnRefused{
				incarnation: h.target.WorkerIncarnation,
			})
		default:
		}
		pooled = false
		pause.For(ctx, renewRetryDelay)
	}
}

// next makes the next call, or waits in the pool for an answer that is not an idle worker's. It
// reports false if there is no answer and the worker has to be called.
func (h *renewer) next(ctx context.Context, pooled bool, seen uint64, unanswered *int) (sched.Heartbeat, Reply, bool) {
	if pooled {
		h.setRenews(*unanswered == 0)
		r := h.leader.idle.await(ctx, h)
		if h.renewsNext() {
			*unanswered = 0
		}
		return r.heartbeat, r.reply, r.answered
	}
	acked, _, _ := h.read()
	wait := h.leader.endWait()
	if seen > acked {
		wait = 0
	}
	b, r := h.renew(ctx, acked, wait, *unanswered)
	return b, r, true
}

// recordIncarnation records which incarnation has responded, and reports whether it is the one
// that is renewed.
func (h *renewer) recordIncarnation(b sched.Heartbeat) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.superseded = !h.target.Matches(b.StartTime)
	return !h.superseded
}

// markListed records which of the runs that are being started are listed in a heartbeat.
func (h *renewer) markListed(b sched.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.starting) == 0 {
		return
	}
	mark := func(r sched.RunID) {
		if _, ok := h.starting[r]; ok {
			h.starting[r] = true
		}
	}
	for _, r := range b.Running {
		mark(r.Run)
	}
	for _, e := range b.Ended {
		mark(e.Run)
	}
}

// isListed reports whether the worker has listed a run that is being started.
func (h *renewer) isListed(r sched.RunID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starting[r]
}

func (h *renewer) beginStart(r sched.RunID) {
	h.mu.Lock()
	h.starting[r] = false
	h.orders++
	h.mu.Unlock()
	h.leavePool(poolResult{})
}

func (h *renewer) endStart(r sched.RunID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.starting, r)
	h.orders++
}

func (h *renewer) orderCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.orders
}

func (h *renewer) setRenews(renews bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renews = renews
}

func (h *renewer) renewsNext() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.renews
}

// isIdle reports whether a worker that listed no runs has none: no start order was under way
// since orderCount returned orders, before the worker was called. The ends up to seen must be
// stored. Any earlier wake-up for the pool is discarded.
func (h *renewer) isIdle(orders int, seen uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.starting) > 0 || h.orders != orders || h.acked < seen {
		return false
	}
	select {
	case <-h.leave:
	default:
	}
	return true
}

// canPool reports whether calls to the worker can share one with others.
func (h *renewer) canPool() bool {
	g := h.leader.config.Groups
	return g != nil && g.Route(h.target) != ""
}

// isDone reports whether the worker is known to have restarted or is no longer renewed. Then
// nothing more may be sent for this incarnation: the next one would take it as addressed to
// itself.
func (h *renewer) isDone() bool {
	select {
	case <-h.done:
		return true
	default:
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.superseded
}

// handleFenced handles a rejection because the worker has seen a higher fence: that of the next
// leader, or this leader's for the worker's next incarnation. The latter is ignored.
func (h *renewer) handleFenced() {
	if h.isDone() {
		return
	}
	h.leader.send(leadershipEnded{
		err: ErrLeadershipLost,
	})
}

// awaitAck waits until the ends up to seen are stored, for at most ackTimeout.
func (h *renewer) awaitAck(ctx context.Context, seen uint64) {
	t := time.NewTimer(ackTimeout)
	defer t.Stop()
	for {
		if acked, _, _ := h.read(); acked >= seen {
			return
		}
		select {
		case <-h.wake:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (h *renewer) renew(ctx context.Context, acked uint64, wait time.Duration, unanswered int) (sched.Heartbeat, Reply) {
	begun := h.leader.config.Clock.Now()
	var deadline sched.ClockMillis
	if unanswered == 0 {
		var l leaseRequested
		if deadline, l = h.leaseDeadline(begun); deadline != 0 {
			h.leader.send(l)
		}
	} else {
		acked = 0
	}
	if deadline == 0 {
		wait = 0
	}
	if h.leader.suspended() {
		return sched.Heartbeat{}, unsentReply()
	}
	b, r := h.leader.config.Workers.Renew(ctx, Renewal{
		Target:    h.target,
		Fence:     h.fence,
		Deadline:  deadline,
		LastAcked: acked,
		Wait:      wait,
		Timeout:   h.leader.responses.heartbeatTimeout(unanswered),
	})
	b.Asked = h.target.WorkerIncarnation
	now := h.leader.config.Clock.Now()
	h.setClock(r.Clock, now)
	if r.Kind == Accepted && (wait == 0 || len(b.Ended) == 0) {
		// With an end to report, the worker responded before the wait was over.
		h.leader.responses.observe(max(now.Sub(begun)-wait, 0))
	}
	if unanswered == 0 {
		// Calls to a worker that did not respond before are no measure of the loss rate.
		h.leader.losses.record(r.Kind == NoAnswer)
	}
	return b, r
}

// A lossEstimator estimates the share of renewals without a response. It is safe for
// concurrent use.
type lossEstimator struct {
	mu    sync.Mutex
	share float64
}

func (e *lossEstimator) record(lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := 0.0
	if lost {
		x = 1
	}
	e.share += lossWeight * (x - e.share)
}

// exceedsThreshold reports whether the share is above lossThreshold.
func (e *lossEstimator) exceedsThreshold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.share > lossThreshold
}

// endWait returns how long workers are to wait for the end of a run before they respond.
func (l *Leader) endWait() time.Duration {
	if l.losses.exceedsThreshold() {
		return min(max(lossyEndWait, time.Duration(l.renewing.Load())*lossyCallInterval), baseEndWait)
	}
	return baseEndWait
}

// leaseDeadline returns the end of the lease to request, on the worker's clock, or 0 if none
// can be, and the event that must be sent before the request. It is at most one lease after this
// was certainly the only leader, as far as counted followers are concerned, and at most twice the lease
// after its last successful write: the next leader waits that long for workers that it can't
// reach.
func (h *renewer) leaseDeadline(now time.Time) (sched.ClockMillis, leaseRequested) {
	c := h.workerTime(now)
	if c == 0 {
		return 0, leaseRequested{}
	}
	lease := h.leader.config.Sched.Lease
	left := min(h.leader.soleLeaderAt(now).Add(lease).Sub(now), h.leader.LastWriteTime().Add(2*lease).Sub(now))
	if left <= 0 {
		return 0, leaseRequested{}
	}
	return c + sched.ClockMillis(left.Milliseconds()), leaseRequested{
		incarnation: h.target.WorkerIncarnation,
		until:       sched.LeaseEnd(now, left),
	}
}
