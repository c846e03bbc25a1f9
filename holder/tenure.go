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

// maxOpen is the number of entries that may wait for the table before no
// further decisions are made.
const maxOpen = 256

// A tenure is the time under one epoch of the lease.
type tenure struct {
	h       *Holder
	epoch   spoolsill.Epoch
	version uint64 // of the epoch row
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	kick    chan struct{}
	starts  chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex // guards what follows
	closed  bool       // nothing is begun any more
	ready   bool
	state   *place.State
	book    *intent.PlanCache
	writer  *recordlog.Writer
	acts    []act
	waiters []waiter
	workers map[spoolsill.WorkerID]*driver
	copied  bool      // other hosts keep copies
	silent  bool      // the table was, when it was last looked at
	retry   time.Time // no table write before
	failed  int       // table writes failed in a row
	snap    snapshotter
	members []spoolsill.Worker
	listed  bool // the list of workers has come
}

// An act is what follows from a record once it lasts.
type act struct {
	sequence spoolsill.Sequence
	record   place.Record
}

// A waiter is told when a sequence number lasts.
type waiter struct {
	sequence spoolsill.Sequence
	lasting  chan struct{}
}

func newTenure(ctx context.Context, h *Holder, e spoolsill.Epoch) *tenure {
	t := &tenure{
		h:       h,
		epoch:   e,
		done:    make(chan struct{}),
		kick:    make(chan struct{}, 1),
		starts:  make(chan struct{}, h.config.Starts),
		book:    intent.NewPlanCache(h.config.Intent),
		workers: map[spoolsill.WorkerID]*driver{},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t
}

// run loads, settles and then decides until the tenure ends.
func (t *tenure) run() {
	defer close(t.done)
	defer t.wg.Wait()
	defer t.close()
	if !t.load() {
		return
	}
	t.refresh()
	if !t.h.config.Break.Settle {
		t.settle()
	}
	t.mu.Lock()
	t.ready = true
	t.mu.Unlock()
	t.h.event(timeline.Event{
		Kind: timeline.KindLease,
		Text: "all differences are settled, placement goes on",
	})
	t.loop()
}

// close ends the tenure: nothing more is begun in it.
func (t *tenure) close() {
	t.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// refreshEvery is how often the list of workers and the quotas are looked at.
const refreshEvery = 500 * time.Millisecond

func (t *tenure) loop() {
	group := time.NewTicker(t.h.config.Group)
	defer group.Stop()
	refresh := time.NewTicker(refreshEvery)
	defer refresh.Stop()
	kicked := true
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.kick:
			kicked = true
		case <-refresh.C:
			t.refresh()
			kicked = true
		case <-group.C:
			if kicked {
				kicked = t.decide()
			}
			t.pump()
		}
	}
}

// wake has the next decisions made soon.
func (t *tenure) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// holds asks whether the host may act in this epoch now.
func (t *tenure) holds() bool {
	t.h.mu.Lock()
	defer t.h.mu.Unlock()
	e, ok := t.h.keeper.Holds(t.h.reading())
	return ok && e == t.epoch && t.ctx.Err() == nil
}

// decide makes decisions, and reports whether there may be more.
func (t *tenure) decide() bool {
	if !t.holds() || t.h.drains() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writer.Open() > maxOpen {
		return true
	}
	records, full := t.state.Decide(time.Now())
	t.record(records)
	return full
}

// record hands applied records to the journal and keeps what follows from
// them. The lock is held. It returns the number under which they last.
func (t *tenure) record(records []place.Record) spoolsill.Sequence {
	t.writer.Append(records)
	s := t.writer.Cut()
	for _, r := range records {
		t.note(r)
		switch r.Kind {
		case place.TaskPlaced, place.TaskCheckpointing, place.TaskStopping:
			t.acts = append(t.acts, act{
				sequence: s,
				record:   r,
			})
		}
	}
	return s
}

func (t *tenure) note(r place.Record) {
	t.h.event(timeline.Event{
		Kind:   timeline.KindDecision,
		Job:    r.Task.Job,
		Task:   taskName(r),
		Worker: r.Worker,
		Text:   recordText(r),
	})
}

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

// release does what has come to last. The lock is held.
func (t *tenure) release() {
	lasting := t.writer.Lasting()
	if t.h.config.Break.Record {
		lasting = 1 << 62
	}
	n := 0
	for n < len(t.acts) && t.acts[n].sequence <= lasting {
		t.do(t.acts[n].record)
		n++
	}
	t.acts = t.acts[n:]
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if w.sequence <= lasting {
			close(w.lasting)
			continue
		}
		kept = append(kept, w)
	}
	t.waiters = kept
}

// do acts on a record that lasts. The lock is held.
func (t *tenure) do(r place.Record) {
	d := t.driver(r.Worker)
	ref := agent.TaskAttempt{
		Task:    r.Task,
		Attempt: r.Attempt,
	}
	switch r.Kind {
	case place.TaskPlaced:
		t.spawn(func() { d.start(ref) })
	case place.TaskCheckpointing:
		t.spawn(func() { d.signal(ref, agent.Checkpoint) })
	case place.TaskStopping:
		t.spawn(func() { d.signal(ref, agent.Stop) })
	}
}

// spawn runs f in the tenure, with a bound on how many run at once. The lock
// is held.
func (t *tenure) spawn(f func()) {
	if t.closed {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		select {
		case t.starts <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		defer func() { <-t.starts }()
		f()
	}()
}

// refresh takes in the list of workers and the quotas.
func (t *tenure) refresh() {
	list, ok := t.h.config.Workers()
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !sameWorkers(t.members, list) {
		t.members = append([]spoolsill.Worker(nil), list...)
		t.state.SetWorkers(list)
	}
	t.listed = true
	t.state.SetQuotas(t.h.config.Quotas())
	for _, w := range t.state.Workers() {
		t.driver(w.ID)
	}
	for _, w := range list {
		t.driver(w.ID).setAddress(w.Address)
		if w.Leaving && t.ready {
			t.record(t.state.DrainWorker(time.Now(), w.ID))
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

// driver returns the driver of a worker, and starts it when it is new. The
// lock is held.
func (t *tenure) driver(id spoolsill.WorkerID) *driver {
	d, ok := t.workers[id]
	if ok {
		return d
	}
	d = newDriver(t, id)
	t.workers[id] = d
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

// leaseEnd returns the end of a task lease granted now.
func (t *tenure) leaseEnd(now lease.Reading) time.Time {
	return now.Wall.Add(t.h.config.TaskLease)
}

// unstored returns the entries that the table lacks, as far as is known.
func (t *tenure) unstored() []recordlog.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writer == nil {
		return nil
	}
	return t.writer.Unstored()
}
