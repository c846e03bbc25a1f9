package holder

import (
	"context"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/intent"
	"github.com/spoolsill/spoolsill/lease"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/recordlog"
	"github.com/spoolsill/spoolsill/timeline"
)

// maxUnstoredEntries is the number of entries missing from the table above which
// no further decisions are made, until some of them are written.
const maxUnstoredEntries = 256

// A tenure is the time during which the host holds the lease under one epoch.
type tenure struct {
	h          *Holder
	epoch      spoolsill.Epoch
	version    uint64 // of the epoch row
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
	wakeup     chan struct{}
	requestSem chan struct{} // limits concurrent requests to workers
	wg         sync.WaitGroup

	mu               sync.Mutex // guards the fields below
	closed           bool       // no more goroutines are started
	ready            bool       // the state is loaded and reconciled
	state            *place.State
	planCache        *intent.PlanCache
	writer           *recordlog.Writer
	pendingActions   []action
	waiters          []waiter
	drivers          map[spoolsill.WorkerID]*driver
	replicated       bool      // other hosts may keep copies of entries of this tenure
	tableUnavailable bool      // as of the last call of advanceJournal
	nextWrite        time.Time // earliest time of the next table write
	writeFailures    int       // consecutive failed table writes
	snap             snapshotState
	workers          []spoolsill.Worker
	workersListed    bool // the list of workers is available
}

// An action is a record to act on once it is durable.
type action struct {
	sequence spoolsill.Sequence
	record   place.Record
}

// A waiter waits for a sequence number to become durable.
type waiter struct {
	sequence spoolsill.Sequence
	durable  chan struct{}
}

func newTenure(ctx context.Context, h *Holder, e spoolsill.Epoch) *tenure {
	t := &tenure{
		h:          h,
		epoch:      e,
		done:       make(chan struct{}),
		wakeup:     make(chan struct{}, 1),
		requestSem: make(chan struct{}, h.config.MaxRequests),
		planCache:  intent.NewPlanCache(h.config.Intent),
		drivers:    map[spoolsill.WorkerID]*driver{},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

// run loads the state, reconciles it with the workers, and then makes decisions
// until the tenure ends.
func (t *tenure) run() {
	defer close(t.done)
	defer t.wg.Wait()
	defer t.close()
	if !t.load() {
		return
	}
	t.refresh()
	if !t.h.config.Break.Settle {
		t.reconcile()
	}
	t.mu.Lock()
	t.ready = true
	t.mu.Unlock()
	t.h.recordEvent(timeline.Event{
		Kind: timeline.KindLease,
		Text: "all differences are settled, placement goes on",
	})
	t.loop()
}

// close ends the tenure. No more goroutines are started in it.
func (t *tenure) close() {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// refreshInterval is the interval at which the list of workers and the quotas
// are updated.
const refreshInterval = 500 * time.Millisecond

// loop makes decisions and advances the journal until the tenure ends.
func (t *tenure) loop() {
	group := time.NewTicker(t.h.config.Group)
	defer group.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	due := true
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.wakeup:
			due = true
		case <-refresh.C:
			t.refresh()
			due = true
		case <-group.C:
			if due {
				due = t.decide()
			}
			t.advanceJournal()
		}
	}
}

// wake requests that decisions be made at the next group interval.
func (t *tenure) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// holdsLease reports whether the host holds the lease under the tenure's epoch
// now.
func (t *tenure) holdsLease() bool {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	e, ok := t.h.keeper.Holds(t.h.readClocks())
	return ok && e == t.epoch && t.ctx.Err() == nil
}

// decide makes decisions, if that is possible now, and reports whether there may
// be more to make.
func (t *tenure) decide() bool {
	if !t.holdsLease() || t.h.isDraining() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writer.UnstoredCount() > maxUnstoredEntries {
		return true
	}
	records, more := t.state.Decide(time.Now())
	t.appendRecords(records)
	return more
}

// appendRecords appends records, which the state has already applied, to the
// journal, and queues the actions that follow from them. It returns the sequence
// number of the journal's last entry. t.mu must be held.
func (t *tenure) appendRecords(records []place.Record) spoolsill.Sequence {
	t.writer.Append(records)
	s := t.writer.Seal()
	for _, r := range records {
		t.recordDecision(r)
		switch r.Kind {
		case place.TaskPlaced, place.TaskCheckpointing, place.TaskStopping:
			t.pendingActions = append(t.pendingActions, action{
				sequence: s,
				record:   r,
			})
		}
	}
	return s
}

func (t *tenure) recordDecision(r place.Record) {
	t.h.recordEvent(timeline.Event{
		Kind:   timeline.KindDecision,
		Job:    r.Task.Job,
		Task:   taskName(r),
		Worker: r.Worker,
		Text:   recordText(r),
	})
}

// taskName returns the task of a record, or an empty string if the record is not
// about a single task.
func taskName(r place.Record) string {
	if r.Task.Job == "" || r.Kind == place.JobCancelled {
		return ""
	}
	return r.Task.String()
}

var recordTexts = map[place.RecordKind]string{
	place.JobAdded:          "job queued",
	place.JobCancelled:      "job cancelled",
	place.TaskPlaced:        "task placed",
	place.TaskRunning:       "task runs",
	place.TaskCheckpointing: "task is checkpointed",
	place.TaskStopping:      "task is stopped",
	place.TaskRequeued:      "task waits again",
	place.TaskEnded:         "task ended",
	place.PlanApplied:       "plan confirmed",
}

func recordText(r place.Record) string {
	s := recordTexts[r.Kind]
	if r.Kind == place.TaskEnded {
		s += " as " + string(r.State)
	}
	if r.Kind == place.PlanApplied {
		s += " " + string(r.Plan)
	}
	if c := r.Cause.String(); c != "" {
		s += ": " + c
	}
	return s
}

// processDurable executes the pending actions and notifies the waiters whose
// entries are durable. t.mu must be held.
func (t *tenure) processDurable() {
	durable := t.writer.Durable()
	if t.h.config.Break.Record {
		durable = 1 << 62
	}
	n := 0
	for n < len(t.pendingActions) && t.pendingActions[n].sequence <= durable {
		t.execute(t.pendingActions[n].record)
		n++
	}
	t.pendingActions = t.pendingActions[n:]
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if w.sequence <= durable {
			close(w.durable)
			continue
		}
		kept = append(kept, w)
	}
	t.waiters = kept
}

// execute sends the request to the worker that a durable record requires. t.mu
// must be held.
func (t *tenure) execute(r place.Record) {
	d := t.driver(r.Worker)
	attempt := agent.TaskAttempt{
		Task:    r.Task,
		Attempt: r.Attempt,
	}
	switch r.Kind {
	case place.TaskPlaced:
		t.spawn(func() { d.start(attempt) })
	case place.TaskCheckpointing:
		t.spawn(func() { d.signal(attempt, agent.Checkpoint) })
	case place.TaskStopping:
		t.spawn(func() { d.signal(attempt, agent.Stop) })
	}
}

// spawn runs f in a goroutine of the tenure. At most Config.MaxRequests such
// functions run at once. t.mu must be held.
func (t *tenure) spawn(f func()) {
	if t.closed {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		select {
		case t.requestSem <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		defer func() { <-t.requestSem }()
		f()
	}()
}

// refresh updates the list of workers and the quotas, and drains the workers that
// are leaving. It does nothing until a list is available.
func (t *tenure) refresh() {
	list, ok := t.h.config.Workers()
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !sameWorkers(t.workers, list) {
		t.workers = append([]spoolsill.Worker(nil), list...)
		t.state.SetWorkers(list)
	}
	t.workersListed = true
	t.state.SetQuotas(t.h.config.Quotas())
	for _, w := range t.state.Workers() {
		t.driver(w.ID)
	}
	for _, w := range list {
		t.driver(w.ID).setAddress(w.Address)
		if w.Leaving && t.ready {
			t.appendRecords(t.state.DrainWorker(time.Now(), w.ID))
		}
	}
}

func sameWorkers(a, b []spoolsill.Worker) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// driver returns the driver of a worker, and creates and starts it if there is
// none. t.mu must be held.
func (t *tenure) driver(id spoolsill.WorkerID) *driver {
	d, ok := t.drivers[id]
	if ok {
		return d
	}
	d = newDriver(t, id)
	t.drivers[id] = d
	if t.closed {
		return d
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		d.run()
	}()
	return d
}

// leaseEnd returns the end of a task lease that is granted at now.
func (t *tenure) leaseEnd(now lease.ClockReading) time.Time {
	return now.Wall.Add(t.h.config.TaskLease)
}

// unstored returns the entries that are not known to be in the table.
func (t *tenure) unstored() []recordlog.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writer == nil {
		return nil
	}
	return t.writer.Unstored()
}
