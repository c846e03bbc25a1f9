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

// An OrderFault is the way in which one order to a worker fails.
type OrderFault uint8

// The faults of an order.
const (
	OrderOK        OrderFault = iota
	OrderLoseReply            // carried out, but the answer is lost
	OrderDrop                 // lost before it is carried out
	OrderLate                 // carried out after LateBy; the answer is lost
)

// minLateBy is the shortest delay of an [OrderLate] order.
const minLateBy = 2 * time.Second

// errNoReply is the error of an order whose answer is lost.
var errNoReply = errors.New("cellfake: no answer")

// Workers are the workers of a cell. They check the orders that they receive and record
// violations. They implement [leader.Workers].
type Workers struct {
	// Lease is the longest lease that a worker grants. RunResult returns the duration of a
	// run and how it ends; nil means that each run is done after a second.
	Lease     time.Duration
	RunResult func(r sched.RunID) (time.Duration, sched.EndKind)
	// Fault chooses the fault of each order; nil means no faults.
	Fault func(w spoolsill.WorkerID) OrderFault
	// LateBy is the delay of [OrderLate] orders; it is at least 2 s, the shortest that the
	// platform documents.
	LateBy time.Duration
	// LateAtOnce delivers late orders for a former incarnation to the next one even
	// before that has answered two renewals; otherwise such orders are dropped. The answer
	// to the first renewal tells the leader of the new incarnation, so a fence that makes
	// it refuse those orders can't arrive before the second.
	LateAtOnce bool
	// Flow returns the time between the first and the last byte of a worker's answer
	// to a renewal; nil means none. It is called by several goroutines at once.
	Flow func(w spoolsill.WorkerID) time.Duration
	// Delay returns the delay of the first byte of a worker's answer; nil means none.
	// It is called by several goroutines at once.
	Delay func(w spoolsill.WorkerID) time.Duration
	// OnStartOrder, if not nil, is called for each start order with the lock of the Workers
	// held.
	OnStartOrder func(o sched.StartOrder)
	// Began, if not nil, is called for each run that starts with the lock of the
	// Workers held. The remark is empty, or tells that the order was for a former
	// incarnation.
	Began func(l spoolsill.WorkerIncarnation, r sched.RunID, remark string)
	// Capacity is the number of runs that a worker can hold; a start beyond it is a
	// violation. 0 means that this is not checked.
	Capacity int
	// CapacityGrace is for how long after a reduction a worker's former capacity still
	// applies to the check.
	CapacityGrace time.Duration
	// Clock is the clock of the leaders; nil means the system's.
	Clock *clock.Clock
	// CrashAfter reports whether a run crashes its worker, and how long after its start;
	// nil means that none does. OnCrash, if not nil, is called after each such crash with
	// the runs that are lost.
	CrashAfter func(r sched.RunID) (after time.Duration, crashes bool)
	OnCrash    func(w spoolsill.WorkerID, lost []sched.RunID)

	mu           sync.Mutex
	workers      map[spoolsill.WorkerID]*worker
	done         map[sched.TaskID]bool // tasks whose successful end was acknowledged
	violations   []string
	starts       int
	crashTracker crashTracker
}

type worker struct {
	id           spoolsill.WorkerID
	born         spoolsill.StartTime
	clockStart   time.Time
	unreachable  bool
	capacity     capacityState
	crashed      bool // this incarnation has ended
	replaced     bool // another worker has its address
	misdelivered bool // the order being carried out was sent to a former incarnation
	answers      int  // renewals answered
	fence        spoolsill.Epoch
	deadline     sched.ClockMillis
	running      map[sched.RunID]progress
	highest      map[sched.TaskID]sched.RunNumber
	ended        []sched.End
	sequence     uint64
	changed      chan struct{}
}

// NewWorkers returns workers with the given ids.
func NewWorkers(lease time.Duration, ids ...spoolsill.WorkerID) *Workers {
	f := &Workers{
		Lease:   lease,
		workers: map[spoolsill.WorkerID]*worker{},
		done:    map[sched.TaskID]bool{},
		crashTracker: crashTracker{
			crashed: map[sched.TaskID]int{},
			starts:  map[sched.TaskID]int{},
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
		id:         id,
		born:       spoolsill.StartTime(now.UnixMilli()),
		clockStart: now.Add(-clock),
		running:    map[sched.RunID]progress{},
		highest:    map[sched.TaskID]sched.RunNumber{},
		changed:    make(chan struct{}),
	}
}

func (w *worker) life() spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker:    w.id,
		StartTime: w.born,
	}
}

// clockStep is the difference between the clocks of workers added in turn.
const clockStep = 17 * time.Minute

// SetUnreachable makes a worker unreachable, or reachable again. Meanwhile its runs go on
// until its lease expires.
func (f *Workers) SetUnreachable(id spoolsill.WorkerID, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unreachable = unreachable
}

// Violations returns the violations that were recorded.
func (f *Workers) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// Starts returns how many runs have started.
func (f *Workers) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns how many runs are active on all workers.
func (f *Workers) Running() int {
	return f.RunningOf(func(spoolsill.JobID) bool { return true })
}

// RunningOf returns how many runs are active of the jobs for which chosen returns true.
func (f *Workers) RunningOf(chosen func(id spoolsill.JobID) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		f.expireLease(w)
		for r := range w.running {
			if chosen(r.Task.Stage.Job) {
				n++
			}
		}
	}
	return n
}

// A progress is the start and the duration of a run.
type progress struct {
	began time.Time
	took  time.Duration
}

func (p progress) percent() int {
	return int(min(100*time.Since(p.began)/p.took, 100))
}

func (w *worker) clock() sched.ClockMillis {
	return sched.ClockMillis(time.Since(w.clockStart).Milliseconds())
}

// deliver applies the faults to an order. It returns the worker if the order is to be
// carried out now and answered, and otherwise nil and the reply that the caller gets.
func (f *Workers) deliver(ctx context.Context, id spoolsill.WorkerID, carryOut func(*worker)) (*worker, leader.Reply) {
	if err := sleep(ctx, time.Millisecond); err != nil {
		return nil, noAnswer(err)
	}
	f.mu.Lock()
	w := f.workers[id]
	cut := w == nil || w.unreachable || w.crashed
	replaced := w != nil && w.replaced && !w.unreachable
	f.mu.Unlock()
	if replaced {
		return nil, otherLifeReply()
	}
	fault := OrderOK
	if f.Fault != nil {
		fault = f.Fault(id)
	}
	if cut {
		fault = OrderDrop
	}
	switch fault {
	case OrderOK:
		return w, leader.Reply{}
	case OrderLoseReply:
		f.withLock(w, carryOut)
	case OrderLate:
		time.AfterFunc(max(f.LateBy, minLateBy), func() { f.withCurrentLife(w, carryOut) })
	case OrderDrop:
	}
	<-ctx.Done()
	return nil, noAnswer(errNoReply)
}

func (f *Workers) withLock(w *worker, g func(*worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.crashed {
		return
	}
	f.expireLease(w)
	g(w)
}

// withCurrentLife calls g like withLock, for a late order: with the current incarnation of
// the worker, which may be another one than the order was sent to.
func (f *Workers) withCurrentLife(sentTo *worker, g func(*worker)) {
	f.mu.Lock()
	now := f.workers[sentTo.id]
	f.mu.Unlock()
	f.withLock(now, func(w *worker) {
		w.misdelivered = w != sentTo
		if w.misdelivered && w.answers < 2 && !f.LateAtOnce {
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

func (f *Workers) fenced(w *worker) leader.Reply {
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
	begin, cancel := withReplyDeadline(ctx, r.Wait, r.Timeout)
	defer cancel()
	w, reply := f.deliver(begin, r.Worker, renew)
	if w == nil {
		return sched.Heartbeat{}, reply
	}
	f.withLock(w, renew)
	f.waitForEnd(begin, w, r)
	if begin.Err() != nil {
		return sched.Heartbeat{}, noAnswer(begin.Err())
	}
	h, reply := f.heartbeat(w, r, sent)
	if err := f.delayReply(begin, w, f.Delay); err != nil {
		return sched.Heartbeat{}, noAnswer(err)
	}
	if err := f.delayReply(ctx, w, f.Flow); err != nil {
		return sched.Heartbeat{}, noAnswer(err)
	}
	f.withLock(w, func(w *worker) { w.answers++ })
	return h, reply
}

// delayReply waits for the delay of a worker's answer, unless ctx ends first.
func (f *Workers) delayReply(ctx context.Context, w *worker, takes func(spoolsill.WorkerID) time.Duration) error {
	if takes == nil {
		return nil
	}
	return sleep(ctx, takes(w.id))
}

// withReplyDeadline returns a context that ends when the answer to a call must have begun:
// the timeout counts from the end of the wait that the call asks for, 0 means none.
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

// heartbeat returns the current answer of a worker to a renewal.
func (f *Workers) heartbeat(w *worker, r leader.Renewal, sent time.Time) (sched.Heartbeat, leader.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.crashed {
		return sched.Heartbeat{}, noAnswer(errNoReply)
	}
	if r.Fence < w.fence {
		return sched.Heartbeat{}, f.fenced(w)
	}
	f.expireLease(w)
	h := sched.Heartbeat{
		WorkerIncarnation: w.life(),
		Sent:              sent,
		Clock:             w.clock(),
		Ended:             append([]sched.End(nil), w.ended...),
	}
	for x, p := range w.running {
		h.Running = append(h.Running, sched.RunningTask{
			Run:     x,
			Percent: p.percent(),
		})
	}
	return h, leader.Reply{
		Kind:  leader.Accepted,
		Clock: w.clock(),
	}
}

func (f *Workers) renew(w *worker, r leader.Renewal) {
	if !w.acceptFence(r.Fence) {
		return
	}
	most := w.clock() + sched.ClockMillis(f.Lease.Milliseconds())
	w.deadline = max(w.deadline, min(r.Deadline, most))
	for len(w.ended) > 0 && w.ended[0].Sequence <= r.LastAcked {
		if w.ended[0].Kind == sched.EndDone {
			f.done[w.ended[0].Run.Task] = true
		}
		w.ended = w.ended[1:]
	}
}

func (f *Workers) waitForEnd(ctx context.Context, w *worker, r leader.Renewal) {
	f.mu.Lock()
	changed := w.changed
	any := len(w.ended) > 0
	f.mu.Unlock()
	if any || r.Wait == 0 {
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
	w, lost := f.deliver(ctx, o.Worker, start)
	if w == nil {
		return lost
	}
	f.withLock(w, start)
	if err := f.delayReply(ctx, w, f.Delay); err != nil {
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
		return f.fenced(w)
	}
	w.deadline = max(w.deadline, min(o.Deadline, w.clock()+sched.ClockMillis(f.Lease.Milliseconds())))
	return leader.Reply{
		Kind:  k,
		Clock: w.clock(),
	}
}

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
	if w.highest[r.Task] >= r.Number {
		return leader.RunEnded
	}
	w.highest[r.Task] = r.Number
	f.startRun(w, r)
	return leader.Accepted
}

func (f *Workers) startRun(w *worker, r sched.RunID) {
	f.starts++
	if f.Began != nil {
		f.Began(w.life(), r, w.lateOrderRemark())
	}
	f.checkCrashStarts(w, r)
	if f.done[r.Task] {
		f.violations = append(f.violations, fmt.Sprintf("%s#%d started after its end was acknowledged%s", r.Task, r.Number, w.lateOrderRemark()))
	}
	for _, o := range f.workers {
		f.expireLease(o)
		for x := range o.running {
			if x.Task == r.Task {
				f.violations = append(f.violations, fmt.Sprintf("%s runs at %s as #%d and at %s as #%d%s", r.Task, o.id, x.Number, w.id, r.Number, w.lateOrderRemark()))
			}
		}
	}
	if f.Capacity > 0 && len(w.running) >= w.capacity.allowed(f.Capacity, f.CapacityGrace) {
		f.violations = append(f.violations, fmt.Sprintf("%s#%d started at %s, which has no room", r.Task, r.Number, w.id))
	}
	took, kind := time.Second, sched.EndDone
	if f.RunResult != nil {
		took, kind = f.RunResult(r)
	}
	w.running[r] = progress{
		began: time.Now(),
		took:  took,
	}
	time.AfterFunc(took, func() {
		f.withLock(w, func(w *worker) { f.endRun(w, r, kind) })
	})
	f.scheduleCrash(w, r)
}

// lateOrderRemark describes an order that was sent to a former incarnation; it is empty for
// any other order.
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
			reply = f.fenced(w)
			return
		}
		w.highest[o.Run.Task] = max(w.highest[o.Run.Task], o.Run.Number)
		f.endRun(w, o.Run, sched.EndStopped)
	}
	w, lost := f.deliver(ctx, o.Worker, stop)
	if w == nil {
		return lost
	}
	f.withLock(w, stop)
	if err := f.delayReply(ctx, w, f.Delay); err != nil {
		return noAnswer(err)
	}
	return reply
}
