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
	// renewWait is how long a worker waits for an end before it answers a
	// renewal: an end whose answer gets lost is heard of so much later, and a
	// silent worker is noticed. Ends come oftener on a busy worker.
	renewWait = 500 * time.Millisecond
	// lossyWait takes its place while orders get lost. It costs more calls:
	// lossyEach is how far apart those to all workers are on average.
	lossyWait = 100 * time.Millisecond
	lossyEach = 700 * time.Microsecond
	// lossy is from what share of renewals without an answer orders are taken
	// to get lost; lossRate is the weight of the newest one, so that some
	// fifty count: a second of a cell of today.
	lossy    = 0.015
	lossRate = 0.02
	// renewRetry is between renewals that got no answer.
	renewRetry = 100 * time.Millisecond
	// ackWait is how long a renewal waits for the ends of the last answer to
	// be written, before it goes out without them to keep the lease.
	ackWait = time.Second
)

// A renewer keeps the lease of one life of a worker renewed.
type renewer struct {
	leader *Leader
	target Target
	fence  spoolsill.Epoch
	// over is closed when this life is not renewed any more.
	over   <-chan struct{}
	cancel context.CancelFunc

	mu      sync.Mutex
	acked   uint64
	clock   sched.ClockMillis // of the worker
	clockAt time.Time         // when it was read, by ours; its latest answer
	wake    chan struct{}
	// starting are the runs whose start has had no answer yet, and whether the worker
	// has told of them meanwhile.
	starting map[sched.RunID]bool
}

// keepEvery is how often the renewers are compared with the workers, and the hosts
// counted: what comes or goes is noticed so much later.
const keepEvery = 50 * time.Millisecond

// keepRenewers starts and ends renewers as workers come and go.
func (l *Leader) keepRenewers(ctx context.Context, now time.Time) {
	if now.Sub(l.kept) < keepEvery {
		return
	}
	l.kept = now
	l.state.SetAskers(len(l.config.Advisor.Hosts()) * l.advising.depth())
	wanted := l.wanted
	clear(wanted)
	lives := l.state.Workers()
	for _, life := range lives {
		wanted[life] = true
	}
	l.inTouch.Store(int64(len(wanted)))
	// First, so that no former life is kept in touch with once the next one is called.
	for life, h := range l.renewers {
		if !wanted[life] {
			h.cancel()
			delete(l.renewers, life)
		}
	}
	for _, life := range lives {
		if l.renewers[life] == nil {
			l.startRenewer(ctx, life)
		}
	}
}

func (l *Leader) startRenewer(ctx context.Context, life spoolsill.Life) {
	ctx, cancel := context.WithCancel(ctx)
	h := &renewer{
		leader: l,
		fence:  l.config.Chain.Fence(l.state.Restarts(life.Worker)),
		over:   ctx.Done(),
		target: Target{
			Life:    life,
			Address: l.state.Address(life.Worker),
			Hall:    l.state.Hall(life.Worker),
		},
		cancel:   cancel,
		wake:     make(chan struct{}, 1),
		starting: map[sched.RunID]bool{},
	}
	l.renewers[life] = h
	l.spawn(func() { h.run(ctx) })
}

// ack takes in that ends up to n last in the store.
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
	return h.acked, h.clock, h.clockAt
}

func (h *renewer) setClock(c sched.ClockMillis, at time.Time) {
	if c == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.clock = c
	h.clockAt = at
}

// workerTime returns what the worker's clock shows about now; 0 before its
// first answer.
func (h *renewer) workerTime(now time.Time) sched.ClockMillis {
	_, c, at := h.read()
	if c == 0 {
		return 0
	}
	return c + sched.ClockMillis(now.Sub(at).Milliseconds())
}

// run renews the lease until ctx ends. The first call, and those after a call
// that got no answer, renew nothing and acknowledge nothing: they only make our epoch
// known and read the worker's clock. An order without an answer may yet be carried out,
// so the lease of a silent worker would otherwise never be certain to have ended; and a
// worker that was silent may have started again, and would forget ends that nobody read.
func (h *renewer) run(ctx context.Context) {
	var seen uint64
	unanswered := 1 // in a row, up to now
	for ctx.Err() == nil {
		acked, _, _ := h.read()
		wait := h.leader.waitForEnds()
		if seen > acked {
			wait = 0
		}
		b, r := h.renew(ctx, acked, wait, unanswered)
		unanswered++
		if r.Kind == Taken && !h.target.Matches(b.Born) {
			// Of the next life, or on its way since the one before: the account tells, and
			// whoever renews the lease of the next one begins anew.
			h.leader.send(heartbeatTaken{
				heartbeat: b,
			})
			pause.For(ctx, renewRetry)
			continue
		}
		if r.Kind == Taken {
			unanswered = 0
		}
		switch r.Kind {
		case Taken:
			for _, e := range b.Ended {
				seen = max(seen, e.Sequence)
			}
			h.hearOf(b)
			h.leader.send(heartbeatTaken{
				heartbeat: b,
			})
			h.awaitAck(ctx, seen)
		case Fenced:
			h.fenced()
			return
		case OtherLife:
			h.leader.send(workerReplaced{
				life: h.target.Life,
			})
			return
		case NobodyThere:
			h.leader.send(workerRefused{
				life: h.target.Life,
			})
			pause.For(ctx, renewRetry)
		default:
			pause.For(ctx, renewRetry)
		}
	}
}

// hearOf takes in which of the runs that are being started the worker tells of.
func (h *renewer) hearOf(b sched.Heartbeat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.starting) == 0 {
		return
	}
	hear := func(r sched.RunID) {
		if _, ok := h.starting[r]; ok {
			h.starting[r] = true
		}
	}
	for _, r := range b.Running {
		hear(r.Run)
	}
	for _, e := range b.Ended {
		hear(e.Run)
	}
}

// isHeardOf reports whether the worker has told of a run that is being started.
func (h *renewer) isHeardOf(r sched.RunID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starting[r]
}

func (h *renewer) beginStart(r sched.RunID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starting[r] = false
}

func (h *renewer) endStart(r sched.RunID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.starting, r)
}

// isOver reports whether the worker is known to have another life, or is not looked at any
// more. Nothing more is sent for this one: the next life could not tell it from its own.
func (h *renewer) isOver() bool {
	select {
	case <-h.over:
		return true
	default:
		return false
	}
}

// fenced takes in that the worker has seen a higher fence: that of the next leader, or ours
// for its next life.
func (h *renewer) fenced() {
	if h.isOver() {
		return
	}
	h.leader.send(leadershipEnded{
		err: ErrDeposed,
	})
}

// awaitAck waits until the ends up to seen are written, for a while.
func (h *renewer) awaitAck(ctx context.Context, seen uint64) {
	t := time.NewTimer(ackWait)
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
		deadline = h.leaseDeadline(begun)
	} else {
		acked = 0
	}
	if deadline == 0 {
		wait = 0
	}
	if h.leader.suspended() {
		return sched.Heartbeat{}, unsent()
	}
	b, r := h.leader.config.Workers.Renew(ctx, Renewal{
		Target:   h.target,
		Fence:    h.fence,
		Deadline: deadline,
		LastSeen: acked,
		Wait:     wait,
		Within:   h.leader.answers.heartbeat(unanswered),
	})
	b.Asked = h.target.Life
	now := h.leader.config.Clock.Now()
	h.setClock(r.Clock, now)
	if r.Kind == Taken && (wait == 0 || len(b.Ended) == 0) {
		// A worker that has an end to tell of has waited for some shorter time.
		h.leader.answers.observe(max(now.Sub(begun)-wait, 0))
	}
	if unanswered == 0 {
		// Calls to a worker that has been silent already say nothing new.
		h.leader.losses.take(r.Kind == NoAnswer)
	}
	return b, r
}

// losses follows which share of the renewals gets no answer. It is safe for
// concurrent use.
type losses struct {
	mu    sync.Mutex
	share float64
}

func (l *losses) take(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := 0.0
	if lost {
		x = 1
	}
	l.share += lossRate * (x - l.share)
}

// many reports whether orders are taken to get lost.
func (l *losses) many() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share > lossy
}

// waitForEnds returns how long workers are to wait for an end.
func (l *Leader) waitForEnds() time.Duration {
	if l.losses.many() {
		return max(lossyWait, time.Duration(l.inTouch.Load())*lossyEach)
	}
	return renewWait
}

// leaseDeadline returns until when the worker may keep what it runs, on its
// clock. It is never later than twice the lease after our last write that
// lasts: a later leader waits that long for workers that it can't reach.
func (h *renewer) leaseDeadline(now time.Time) sched.ClockMillis {
	c := h.workerTime(now)
	if c == 0 {
		return 0
	}
	lease := h.leader.config.Sched.Lease
	left := min(lease, h.leader.Fresh().Add(2*lease).Sub(now))
	if left <= 0 {
		return 0
	}
	h.leader.send(leaseAsked{
		life:  h.target.Life,
		until: sched.LeaseEnd(now, left),
	})
	return c + sched.ClockMillis(left.Milliseconds())
}
