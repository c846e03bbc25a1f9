package cellfake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/clock"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

// An OrderFault is a way in which an order to a worker fails.
type OrderFault uint8

// The faults of an order.
const (
	OrderOK        OrderFault = iota
	OrderLoseReply            // carried out, but the answer is lost
	OrderDrop                 // lost before it is carried out
	OrderLate                 // carried out after [Workers.LateBy]; the answer is lost
)

// minLateBy is the shortest delay of an [OrderLate] order.
const minLateBy = 2 * time.Second

// errNoReply is the error of an order that gets no answer.
var errNoReply = errors.New("cellfake: no answer")

// Workers are the workers of a cell. They check the orders that they receive and record
// violations. They implement [leader.Workers].
type Workers struct {
	// Lease is the longest lease that a worker grants.
	Lease time.Duration
	// RunResult returns the duration of a run and how it ends; nil means that each run is
	// done after a second.
	RunResult func(r sched.RunID) (time.Duration, sched.EndKind)
	// Fault chooses the fault of each order; nil means no faults.
	Fault func(w spoolsill.WorkerID) OrderFault
	// LateBy is the delay of [OrderLate] orders. Orders are delayed by at least 2 s, the
	// shortest delay that the platform documents.
	LateBy time.Duration
	// LateAtOnce delivers late orders for a former incarnation to the next one even before
	// that one has answered two renewals. Otherwise orders are dropped until then: the
	// leader learns of the new incarnation from the answer to the first renewal, so that
	// only the second one can carry a fence that makes the worker refuse such orders.
	LateAtOnce bool
	// Flow returns the time from the first to the last byte of a worker's answer to a
	// renewal; nil means none. Calls may be concurrent.
	Flow func(w spoolsill.WorkerID) time.Duration
	// Delay returns the delay of the first byte of a worker's answer; nil means none. Calls
	// may be concurrent.
	Delay func(w spoolsill.WorkerID) time.Duration
	// OnStartOrder, if not nil, is called for each start order, with the lock of the Workers
	// held.
	OnStartOrder func(o sched.StartOrder)
	// Began, if not nil, is called for each run that starts, with the lock of the Workers
	// held. The remark is empty unless the order was sent to a former incarnation.
	Began func(l spoolsill.WorkerIncarnation, r sched.RunID, remark string)
	// Capacity is the number of runs that a worker can hold. A start beyond it is a
	// violation; 0 means no check.
	Capacity int
	// CapacityGrace is how long the check applies a worker's former capacity after a
	// reduction.
	CapacityGrace time.Duration
	// Clock is the clock of the leaders; nil means the system's.
	Clock *clock.Clock
	// CrashAfter returns whether a run crashes its worker, and how long after its start; nil
	// means that none does. OnCrash, if not nil, is called after each such crash with the
	// runs that are lost.
	CrashAfter func(r sched.RunID) (delay time.Duration, crashes bool)
	OnCrash    func(w spoolsill.WorkerID, lost []sched.RunID)

	mu           sync.Mutex
	workers      map[spoolsill.WorkerID]*worker
	done         map[sched.TaskID]bool // tasks whose successful end was acknowledged
	violations   []string
	starts       int
	crashTracker crashTracker
}

type worker struct {
	id               spoolsill.WorkerID
	born             spoolsill.StartTime
	clockStart       time.Time
	unreachable      bool
	capacity         capacityState
	crashed          bool // this incarnation has ended
	replaced         bool // another worker has its address
	misdelivered     bool // the current order was sent to a former incarnation
	renewalsAnswered int  // renewals answered
	fence            spoolsill.Epoch
	deadline         sched.ClockMillis
	running          map[sched.RunID]activeRun
	highestNumber    map[sched.TaskID]sched.RunNumber
	ended            []sched.End
	sequence         uint64
	changed          chan struct{}
}

// NewWorkers returns workers with the given ids.
func NewWorkers(lease time.Duration, ids ...spoolsill.WorkerID) *Workers {
	f := &Workers{
		Lease:   lease,
		workers: map[spoolsill.WorkerID]*worker{},
		done:    map[sched.TaskID]bool{},
		crashTracker: crashTracker{
			crashCounts: map[sched.TaskID]int{},
			startCounts: map[sched.TaskID]int{},
		},
	}
	for _, id := range ids {
		f.Add(id)
	}
	return f
}

// Add adds a worker. Its clock differs from those of the others.
func (f *Workers) Add(id spoolsill.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = newWorker(id, time.Duration(1+len(f.workers))*clockStep)
}

// newWorker returns a worker whose clock shows the given time since its start.
func newWorker(id spoolsill.WorkerID, clock time.Duration) *worker {
	now := time.Now()
	return &worker{
		id:            id,
		born:          spoolsill.StartTime(now.UnixMilli()),
		clockStart:    now.Add(-clock),
		running:       map[sched.RunID]activeRun{},
		highestNumber: map[sched.TaskID]sched.RunNumber{},
		changed:       make(chan struct{}),
	}
}

func (w *worker) incarnation() spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker:    w.id,
		StartTime: w.born,
	}
}

// clockStep is the difference between the clocks of workers added in turn.
const clockStep = 17 * time.Minute

// SetUnreachable sets whether a worker is unreachable. The runs of an unreachable worker go
// on until its lease expires.
func (f *Workers) SetUnreachable(id spoolsill.WorkerID, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unreachable = unreachable
}

// Update calls change, which may set the Delay, Fault and Began of workers that are being called.
func (f *Workers) Update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *Workers) delay() func(spoolsill.WorkerID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Delay
}

// Violations returns the violations that were recorded.
func (f *Workers) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// StartCount returns how many runs have started.
func (f *Workers) StartCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// RunningCount returns how many runs are active on all workers.
func (f *Workers) RunningCount() int {
	return f.RunningCountOf(func(spoolsill.JobID) bool { return true })
}

// RunningCountOf returns how many runs are active of the jobs for which chosen returns true.
func (f *Workers) RunningCountOf(match func(id spoolsill.JobID) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		f.expireLease(w)
		for r := range w.running {
			if match(r.Task.Stage.Job) {
				n++
			}
		}
	}
	return n
}

// An activeRun is a run that has not ended, with its start and its duration.
type activeRun struct {
	startTime time.Time
	duration  time.Duration
}

func (a activeRun) percent() int {
	return int(min(100*time.Since(a.startTime)/a.duration, 100))
}

// clock returns the time since the start of the worker's clock.
func (w *worker) clock() sched.ClockMillis {
	return sched.ClockMillis(time.Since(w.clockStart).Milliseconds())
}

// deliver applies the faults to an order. It returns the worker if the caller has to execute
// the order and answer it, and otherwise nil and the reply to the order.
func (f *Workers) deliver(ctx context.Context, id spoolsill.WorkerID, execute func(*worker)) (*worker, leader.Reply) {
	if err := sleep(ctx, time.Millisecond); err != nil {
		return nil, noAnswer(err)
	}
	f.mu.Lock()
	w := f.workers[id]
	lost := w == nil || w.unreachable || w.crashed
	replaced := w != nil && w.replaced && !w.unreachable
	chooseFault := f.Fault
	f.mu.Unlock()
	if replaced {
		return nil, otherIncarnationReply()
	}
	fault := OrderOK
	if chooseFault != nil {
		fault = chooseFault(id)
	}
	if lost {
		fault = OrderDrop
	}
	switch fault {
	case OrderOK:
		return w, leader.Reply{}
	case OrderLoseReply:
		f.withLock(w, execute)
	case OrderLate:
		time.AfterFunc(max(f.LateBy, minLateBy), func() { f.withCurrentIncarnation(w, execute) })
	case OrderDrop:
	}
	<-ctx.Done()
	return nil, noAnswer(errNoReply)
}

// withLock calls g with the lock held, once the runs of an expired lease have ended. It does
// nothing for an incarnation that has crashed.
func (f *Workers) withLock(w *worker, g func(*worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.crashed {
		return
	}
	f.expireLease(w)
	g(w)
}

// withCurrentIncarnation is like withLock for a late order. It calls g with the current
// incarnation of the worker, which may be another one than the order was sent to.
func (f *Workers) withCurrentIncarnation(sentTo *worker, g func(*worker)) {
	f.mu.Lock()
	current := f.workers[sentTo.id]
	f.mu.Unlock()
	f.withLock(current, func(w *worker) {
		w.misdelivered = w != sentTo
		if w.misdelivered && w.renewalsAnswered < 2 && !f.LateAtOnce {
			return
		}
		defer func() { w.misdelivered = false }()
		g(w)
	})
}

// expireLease ends the runs of a worker if its lease has expired.
func (f *Workers) expireLease(w *worker) {
	if w.clock() <= w.deadline {
		return
	}
	for r := range w.running {
		f.endRun(w, r, sched.EndLeaseExpired)
	}
}

// endRun ends an active run, so that the worker reports its end until that is acknowledged.
func (f *Workers) endRun(w *worker, r sched.RunID, k sched.EndKind) {
	if _, ok := w.running[r]; !ok {
		return
	}
	delete(w.running, r)
	w.sequence++
	w.ended = append(w.ended, sched.End{
		Sequence: w.sequence,
		Run:      r,
		Kind:     k,
	})
	close(w.changed)
	w.changed = make(chan struct{})
}

// acceptFence reports whether a fence is at least the highest one seen, and records it.
func (w *worker) acceptFence(fence spoolsill.Epoch) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

func (f *Workers) fencedReply(w *worker) leader.Reply {
	return leader.Reply{
		Kind:  leader.Fenced,
		Clock: w.clock(),
		Err:   errors.New("cellfake: the worker has accepted a higher fence"),
	}
}

// Renew implements [leader.Workers].
func (f *Workers) Renew(ctx context.Context, r leader.Renewal) (sched.Heartbeat, leader.Reply) {
	sent := f.Clock.Now()
	renew := func(w *worker) { f.renew(w, r) }
	replyCtx, cancel := withReplyDeadline(ctx, r.Wait, r.Timeout)
	defer cancel()
	w, reply := f.deliver(replyCtx, r.Worker, renew)
	if w == nil {
		return sched.Heartbeat{}, reply
	}
	f.withLock(w, renew)
	f.waitForEnd(replyCtx, w, r)
	if replyCtx.Err() != nil {
		return sched.Heartbeat{}, noAnswer(replyCtx.Err())
	}
	h, reply := f.heartbeat(w, r, sent)
	if err := f.delayReply(replyCtx, w, f.delay()); err != nil {
		return sched.Heartbeat{}, noAnswer(err)
	}
	if err := f.delayReply(ctx, w, f.Flow); err != nil {
		return sched.Heartbeat{}, noAnswer(err)
	}
	f.withLock(w, func(w *worker) { w.renewalsAnswered++ })
	return h, reply
}

// delayReply waits for the delay of a worker's answer, unless ctx ends first.
func (f *Workers) delayReply(ctx context.Context, w *worker, delay func(spoolsill.WorkerID) time.Duration) error {
	if delay == nil {
		return nil
	}
	return sleep(ctx, delay(w.id))
}

// withReplyDeadline returns a context that ends when the answer to a call must have begun.
// The timeout starts after the wait that the call asks for; 0 means no timeout.
func withReplyDeadline(ctx context.Context, wait, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait+timeout)
}

func noAnswer(err error) leader.Reply {
	return leader.Reply{
		Kind: leader.NoAnswer,
		Err:  err,
	}
}

// heartbeat returns the answer of a worker to a renewal.
func (f *Workers) heartbeat(w *worker, r leader.Renewal, sent time.Time) (sched.Heartbeat, leader.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.crashed {
		return sched.Heartbeat{}, noAnswer(errNoReply)
	}
	if r.Fence < w.fence {
		return sched.Heartbeat{}, f.fencedReply(w)
	}
	f.expireLease(w)
	h := sched.Heartbeat{
		WorkerIncarnation: w.incarnation(),
		Sent:              sent,
		Clock:             w.clock(),
		Ended:             append([]sched.End(nil), w.ended...),
	}
	for id, a := range w.running {
		h.Running = append(h.Running, sched.RunningTask{
			Run:     id,
			Percent: a.percent(),
		})
	}
	return h, leader.Reply{
		Kind:  leader.Accepted,
		Clock: w.clock(),
	}
}

// renew carries out a renewal: it extends the lease and drops the acknowledged ends.
func (f *Workers) renew(w *worker, r leader.Renewal) {
	if !w.acceptFence(r.Fence) {
		return
	}
	latest := w.clock() + sched.ClockMillis(f.Lease.Milliseconds())
	w.deadline = max(w.deadline, min(r.Deadline, latest))
	for len(w.ended) > 0 && w.ended[0].Sequence <= r.LastAcked {
		if w.ended[0].Kind == sched.EndDone {
			f.done[w.ended[0].Run.Task] = true
		}
		w.ended = w.ended[1:]
	}
}

// waitForEnd waits until the worker has an end to report, for at most as long as the renewal
// asks for.
func (f *Workers) waitForEnd(ctx context.Context, w *worker, r leader.Renewal) {
	f.mu.Lock()
	changed := w.changed
	hasEnds := len(w.ended) > 0
	f.mu.Unlock()
	if hasEnds || r.Wait == 0 {
		return
	}
	t := time.NewTimer(r.Wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Start implements [leader.Workers].
func (f *Workers) Start(ctx context.Context, o leader.Start) leader.Reply {
	ctx, cancel := withReplyDeadline(ctx, 0, o.Timeout)
	defer cancel()
	reply := noAnswer(errNoReply)
	start := func(w *worker) { reply = f.start(w, o) }
	w, faultReply := f.deliver(ctx, o.Worker, start)
	if w == nil {
		return faultReply
	}
	f.withLock(w, start)
	if err := f.delayReply(ctx, w, f.delay()); err != nil {
		return noAnswer(err)
	}
	return reply
}

func (f *Workers) start(w *worker, o leader.Start) leader.Reply {
	if f.OnStartOrder != nil {
		f.OnStartOrder(o.Order)
	}
	k := f.startKind(w, o)
	if k == leader.Fenced {
		return f.fencedReply(w)
	}
	w.deadline = max(w.deadline, min(o.Deadline, w.clock()+sched.ClockMillis(f.Lease.Milliseconds())))
	return leader.Reply{
		Kind:  k,
		Clock: w.clock(),
	}
}

// startKind carries out a start order, and returns the kind of its reply.
func (f *Workers) startKind(w *worker, o leader.Start) leader.ReplyKind {
	if !w.acceptFence(o.Fence) {
		return leader.Fenced
	}
	r := o.Order.Run
	if w.clock() > o.Deadline {
		return leader.TooLate
	}
	if _, ok := w.running[r]; ok {
		return leader.Accepted
	}
	if w.highestNumber[r.Task] >= r.Number {
		return leader.RunEnded
	}
	w.highestNumber[r.Task] = r.Number
	f.startRun(w, r)
	return leader.Accepted
}

// startRun starts a run, and records the violations of invariants by the start.
func (f *Workers) startRun(w *worker, r sched.RunID) {
	f.starts++
	if f.Began != nil {
		f.Began(w.incarnation(), r, w.lateOrderRemark())
	}
	f.checkStartAfterCrashes(w, r)
	if f.done[r.Task] {
		f.violations = append(f.violations, fmt.Sprintf("%s#%d started after its end was acknowledged%s", r.Task, r.Number, w.lateOrderRemark()))
	}
	for _, other := range f.workers {
		f.expireLease(other)
		for otherRun := range other.running {
			if otherRun.Task == r.Task {
				f.violations = append(f.violations, fmt.Sprintf("%s runs at %s as #%d and at %s as #%d%s", r.Task, other.id, otherRun.Number, w.id, r.Number, w.lateOrderRemark()))
			}
		}
	}
	if f.Capacity > 0 && len(w.running) >= w.capacity.allowed(f.Capacity, f.CapacityGrace) {
		f.violations = append(f.violations, fmt.Sprintf("%s#%d started at %s, which is at capacity", r.Task, r.Number, w.id))
	}
	duration, kind := time.Second, sched.EndDone
	if f.RunResult != nil {
		duration, kind = f.RunResult(r)
	}
	w.running[r] = activeRun{
		startTime: time.Now(),
		duration:  duration,
	}
	time.AfterFunc(duration, func() {
		f.withLock(w, func(w *worker) { f.endRun(w, r, kind) })
	})
	f.scheduleCrash(w, r)
}

// lateOrderRemark returns a remark on the current order if that was sent to a former
// incarnation, and otherwise an empty string.
func (w *worker) lateOrderRemark() string {
	if !w.misdelivered {
		return ""
	}
	return fmt.Sprintf(", by an order for a former incarnation, %v after this one began, fence %d", time.Since(time.UnixMilli(int64(w.born))).Round(time.Millisecond), w.fence)
}

// Stop implements [leader.Workers].
func (f *Workers) Stop(ctx context.Context, o leader.Stop) leader.Reply {
	ctx, cancel := withReplyDeadline(ctx, 0, o.Timeout)
	defer cancel()
	reply := noAnswer(errNoReply)
	stop := func(w *worker) {
		reply = leader.Reply{
			Kind:  leader.Accepted,
			Clock: w.clock(),
		}
		if !w.acceptFence(o.Fence) {
			reply = f.fencedReply(w)
			return
		}
		w.highestNumber[o.Run.Task] = max(w.highestNumber[o.Run.Task], o.Run.Number)
		f.endRun(w, o.Run, sched.EndStopped)
	}
	w, faultReply := f.deliver(ctx, o.Worker, stop)
	if w == nil {
		return faultReply
	}
	f.withLock(w, stop)
	if err := f.delayReply(ctx, w, f.delay()); err != nil {
		return noAnswer(err)
	}
	return reply
}
