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

// An OrderFault tells what becomes of one order to a worker.
type OrderFault uint8

// The faults of an order.
const (
	OrderWell OrderFault = iota
	OrderLose            // carried out, without an answer
	OrderDrop            // neither carried out nor answered
	OrderLate            // carried out after LateBy, without an answer
)

// lateLeast is by how much an order is late at least.
const lateLeast = 2 * time.Second

// errLost explains an order without an answer.
var errLost = errors.New("cellfake: no answer")

// Workers are the workers of a cell, and the judge of what they are told. They
// implement [leader.Workers].
type Workers struct {
	// Lease is the longest lease; Work is how long a task runs.
	Lease time.Duration
	Work  func(r sched.RunID) (time.Duration, sched.EndKind)
	// Fault chooses the fate of each order; nil means that all is well.
	Fault func(w spoolsill.WorkerID) OrderFault
	// LateBy is how much later than sent late orders are carried out; 0 means the least
	// that the platform's pages tell of.
	LateBy time.Duration
	// LateAtOnce has late orders for a former life reach the next one also before it has
	// answered two renewals, when nobody can have told it to refuse them; else they are
	// lost then. The answer to the first tells that there is another life.
	LateAtOnce bool
	// Flow returns how long a worker's answer to a heartbeat takes from its beginning
	// to its end; nil means that answers come whole. It is called by many goroutines.
	Flow func(w spoolsill.WorkerID) time.Duration
	// Delay returns how long an answer of a worker is under way before its beginning
	// arrives; nil means no time. It is called by many goroutines.
	Delay func(w spoolsill.WorkerID) time.Duration
	// Ordered is told of each order to start something, while the worker is locked; nil
	// means that nobody is.
	Ordered func(o sched.StartOrder)
	// Began is told of each run that begins, and of what is special in that, while the
	// worker is locked; nil means that nobody is.
	Began func(l spoolsill.WorkerIncarnation, r sched.RunID, remark string)
	// Room is how many runs a worker has room for; more are a broken promise.
	// 0 means that this is not judged.
	Room int
	// RoomKnown is for how long after it has shrunk a worker's room is judged as it was.
	RoomKnown time.Duration
	// Clock is that of the leaders; nil is the system's.
	Clock *clock.Clock
	// Crashes tells whether a run crashes its worker, and how long after its start;
	// nil means that none does. Crashed is told of each such crash and the runs that are
	// lost; may be nil.
	Crashes func(r sched.RunID) (after time.Duration, crashes bool)
	Crashed func(w spoolsill.WorkerID, lost []sched.RunID)

	mu      sync.Mutex
	workers map[spoolsill.WorkerID]*worker
	done    map[sched.TaskID]bool // ended done, and acknowledged
	broken  []string
	starts  int
	crashes crashes
}

type worker struct {
	id       spoolsill.WorkerID
	born     spoolsill.StartTime
	began    time.Time
	cut      bool
	room     movingRoom
	gone     bool // its life is over
	replaced bool // and its address answers for the next one
	strayed  bool // the order under way was sent to a former life
	answers  int  // to renewals
	fence    spoolsill.Epoch
	deadline sched.ClockMillis
	running  map[sched.RunID]progress
	highest  map[sched.TaskID]sched.RunNumber
	ended    []sched.End
	sequence uint64
	changed  chan struct{}
}

// NewWorkers returns workers with the given ids.
func NewWorkers(lease time.Duration, ids ...spoolsill.WorkerID) *Workers {
	f := &Workers{
		Lease:   lease,
		workers: map[spoolsill.WorkerID]*worker{},
		done:    map[sched.TaskID]bool{},
		crashes: crashes{
			of:    map[sched.TaskID]int{},
			after: map[sched.TaskID]int{},
		},
	}
	for _, id := range ids {
		f.Add(id)
	}
	return f
}

// Add adds a worker. Workers' clocks have nothing in common.
func (f *Workers) Add(id spoolsill.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id] = newWorker(id, time.Duration(1+len(f.workers))*clockStep)
}

// newWorker returns a worker whose clock shows a time.
func newWorker(id spoolsill.WorkerID, clock time.Duration) *worker {
	now := time.Now()
	return &worker{
		id:      id,
		born:    spoolsill.StartTime(now.UnixMilli()),
		began:   now.Add(-clock),
		running: map[sched.RunID]progress{},
		highest: map[sched.TaskID]sched.RunNumber{},
		changed: make(chan struct{}),
	}
}

func (w *worker) life() spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker: w.id,
		Born:   w.born,
	}
}

// clockStep is how far the workers' clocks are apart.
const clockStep = 17 * time.Minute

// Cut keeps a worker from answering; what it runs goes on under its lease.
func (f *Workers) Cut(id spoolsill.WorkerID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cut = cut
}

// Broken returns the promises that were broken.
func (f *Workers) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.broken
}

// Starts returns how many runs have begun.
func (f *Workers) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns how many runs go on at all workers.
func (f *Workers) Running() int {
	return f.RunningOf(func(spoolsill.JobID) bool { return true })
}

// RunningOf returns how many runs go on of the jobs that are chosen.
func (f *Workers) RunningOf(chosen func(id spoolsill.JobID) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		f.lapse(w)
		for r := range w.running {
			if chosen(r.Task.Stage.Job) {
				n++
			}
		}
	}
	return n
}

// A progress is how far a run is.
type progress struct {
	began time.Time
	took  time.Duration
}

func (p progress) percent() int {
	return int(min(100*time.Since(p.began)/p.took, 100))
}

func (w *worker) clock() sched.ClockMillis {
	return sched.ClockMillis(time.Since(w.began).Milliseconds())
}

// meet lets an order reach a worker, or not. It returns the worker when the
// order is to be carried out now and answered.
func (f *Workers) meet(ctx context.Context, id spoolsill.WorkerID, carryOut func(*worker)) (*worker, leader.Reply) {
	if err := spend(ctx, time.Millisecond); err != nil {
		return nil, noAnswer(err)
	}
	f.mu.Lock()
	w := f.workers[id]
	cut := w == nil || w.cut || w.gone
	replaced := w != nil && w.replaced && !w.cut
	f.mu.Unlock()
	if replaced {
		return nil, otherLife()
	}
	fault := OrderWell
	if f.Fault != nil {
		fault = f.Fault(id)
	}
	if cut {
		fault = OrderDrop
	}
	switch fault {
	case OrderWell:
		return w, leader.Reply{}
	case OrderLose:
		f.locked(w, carryOut)
	case OrderLate:
		time.AfterFunc(max(f.LateBy, lateLeast), func() { f.lockedLatest(w, carryOut) })
	case OrderDrop:
	}
	<-ctx.Done()
	return nil, noAnswer(errLost)
}

func (f *Workers) locked(w *worker, g func(*worker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.gone {
		return
	}
	f.lapse(w)
	g(w)
}

// lockedLatest is locked with the life that a worker has now, for an order that was sent
// to one before.
func (f *Workers) lockedLatest(sentTo *worker, g func(*worker)) {
	f.mu.Lock()
	now := f.workers[sentTo.id]
	f.mu.Unlock()
	f.locked(now, func(w *worker) {
		w.strayed = w != sentTo
		if w.strayed && w.answers < 2 && !f.LateAtOnce {
			return
		}
		defer func() { w.strayed = false }()
		g(w)
	})
}

// lapse ends what runs when the lease is over.
func (f *Workers) lapse(w *worker) {
	if w.clock() <= w.deadline {
		return
	}
	for r := range w.running {
		f.end(w, r, sched.EndLeaseExpired)
	}
}

func (f *Workers) end(w *worker, r sched.RunID, k sched.EndKind) {
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

// admit checks the fence of an order.
func (w *worker) admit(fence spoolsill.Epoch) bool {
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
		Err:   errors.New("cellfake: a later leader was here"),
	}
}

// Renew implements [leader.Workers].
func (f *Workers) Renew(ctx context.Context, r leader.Renewal) (sched.Heartbeat, leader.Reply) {
	sent := f.Clock.Now()
	renew := func(w *worker) { f.renew(w, r) }
	begin, cancel := beginWithin(ctx, r.Wait, r.Timeout)
	defer cancel()
	w, reply := f.meet(begin, r.Worker, renew)
	if w == nil {
		return sched.Heartbeat{}, reply
	}
	f.locked(w, renew)
	f.waitForEnd(begin, w, r)
	if begin.Err() != nil {
		return sched.Heartbeat{}, noAnswer(begin.Err())
	}
	h, reply := f.heartbeat(w, r, sent)
	if err := f.underWay(begin, w, f.Delay); err != nil {
		return sched.Heartbeat{}, noAnswer(err)
	}
	if err := f.underWay(ctx, w, f.Flow); err != nil {
		return sched.Heartbeat{}, noAnswer(err)
	}
	f.locked(w, func(w *worker) { w.answers++ })
	return h, reply
}

// underWay lets the time pass that an answer takes, unless ctx ends before.
func (f *Workers) underWay(ctx context.Context, w *worker, takes func(spoolsill.WorkerID) time.Duration) error {
	if takes == nil {
		return nil
	}
	return spend(ctx, takes(w.id))
}

// beginWithin returns a context that ends when the answer to a call must have begun.
func beginWithin(ctx context.Context, wait, within time.Duration) (context.Context, context.CancelFunc) {
	if within == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, wait+within)
}

func noAnswer(err error) leader.Reply {
	return leader.Reply{
		Kind: leader.NoAnswer,
		Err:  err,
	}
}

// heartbeat returns what a worker answers to a renewal at this moment.
func (f *Workers) heartbeat(w *worker, r leader.Renewal, sent time.Time) (sched.Heartbeat, leader.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.gone {
		return sched.Heartbeat{}, noAnswer(errLost)
	}
	if r.Fence < w.fence {
		return sched.Heartbeat{}, f.fenced(w)
	}
	f.lapse(w)
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
	if !w.admit(r.Fence) {
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
	ctx, cancel := beginWithin(ctx, 0, o.Timeout)
	defer cancel()
	reply := noAnswer(errLost)
	start := func(w *worker) { reply = f.start(w, o) }
	w, lost := f.meet(ctx, o.Worker, start)
	if w == nil {
		return lost
	}
	f.locked(w, start)
	if err := f.underWay(ctx, w, f.Delay); err != nil {
		return noAnswer(err)
	}
	return reply
}

func (f *Workers) start(w *worker, o leader.Start) leader.Reply {
	if f.Ordered != nil {
		f.Ordered(o.Order)
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
	if !w.admit(o.Fence) {
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
	f.begin(w, r)
	return leader.Accepted
}

func (f *Workers) begin(w *worker, r sched.RunID) {
	f.starts++
	if f.Began != nil {
		f.Began(w.life(), r, w.whence())
	}
	f.judgeRepeats(w, r)
	if f.done[r.Task] {
		f.broken = append(f.broken, fmt.Sprintf("%s#%d started after its end was acknowledged%s", r.Task, r.Number, w.whence()))
	}
	for _, o := range f.workers {
		f.lapse(o)
		for x := range o.running {
			if x.Task == r.Task {
				f.broken = append(f.broken, fmt.Sprintf("%s runs at %s as #%d and at %s as #%d%s", r.Task, o.id, x.Number, w.id, r.Number, w.whence()))
			}
		}
	}
	if f.Room > 0 && len(w.running) >= w.room.judged(f.Room, f.RoomKnown) {
		f.broken = append(f.broken, fmt.Sprintf("%s#%d started at %s, which has no room", r.Task, r.Number, w.id))
	}
	took, kind := time.Second, sched.EndDone
	if f.Work != nil {
		took, kind = f.Work(r)
	}
	w.running[r] = progress{
		began: time.Now(),
		took:  took,
	}
	time.AfterFunc(took, func() {
		f.locked(w, func(w *worker) { f.end(w, r, kind) })
	})
	f.crashLater(w, r)
}

// whence tells where an order comes from that was sent to a former life.
func (w *worker) whence() string {
	if !w.strayed {
		return ""
	}
	return fmt.Sprintf(", by an order for a former life, %v after this one began, fence %d", time.Since(time.UnixMilli(int64(w.born))).Round(time.Millisecond), w.fence)
}

// Stop implements [leader.Workers].
func (f *Workers) Stop(ctx context.Context, o leader.Stop) leader.Reply {
	ctx, cancel := beginWithin(ctx, 0, o.Timeout)
	defer cancel()
	reply := noAnswer(errLost)
	stop := func(w *worker) {
		reply = leader.Reply{
			Kind:  leader.Accepted,
			Clock: w.clock(),
		}
		if !w.admit(o.Fence) {
			reply = f.fenced(w)
			return
		}
		w.highest[o.Run.Task] = max(w.highest[o.Run.Task], o.Run.Number)
		f.end(w, o.Run, sched.EndStopped)
	}
	w, lost := f.meet(ctx, o.Worker, stop)
	if w == nil {
		return lost
	}
	f.locked(w, stop)
	if err := f.underWay(ctx, w, f.Delay); err != nil {
		return noAnswer(err)
	}
	return reply
}
