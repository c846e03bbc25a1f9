package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/lease"
	"github.com/spoolsill/spoolsill/recordlog"
	"github.com/spoolsill/spoolsill/table"
	"github.com/spoolsill/spoolsill/timeline"
)

// leaseInterval is the interval at which the state of the lease is checked.
const leaseInterval = 50 * time.Millisecond

// A Holder competes for the hall's lease and places tasks while it holds it. It
// is safe for concurrent use.
type Holder struct {
	config  Config
	started time.Time

	mu             sync.Mutex // guards the fields below
	keeper         *lease.Keeper
	copies         recordlog.Copies
	tenure         *tenure // the current one; nil if there is none
	wg             sync.WaitGroup
	copiesComplete bool // copies contains all entries that any host of the hall keeps
	// stopping is set when the process is about to stop, draining when no more
	// decisions are to be made, and releasing when no more tenures are to begin.
	stopping  bool
	draining  bool
	releasing bool
}

// New returns a holder. It is idle until [Holder.Run] is called.
func New(c Config) *Holder {
	h := &Holder{
		config:  c.withDefaults(),
		started: time.Now(),
	}
	h.keeper = lease.NewKeeper(h.config.Lease, h.readClocks())
	return h
}

// readClocks reads the wall clock and the monotonic clock.
func (h *Holder) readClocks() lease.ClockReading {
	now := time.Now()
	return lease.ClockReading{
		Wall: now.Round(0),
		Mono: now.Sub(h.started),
	}
}

// Run acquires and renews the lease, and places tasks while it holds it, until
// ctx is done. It does not release the lease; [Holder.Release] does.
func (h *Holder) Run(ctx context.Context) {
	defer h.wg.Wait()
	h.spawn(func() { h.fetchCopies(ctx) })
	t := time.NewTicker(leaseInterval)
	defer t.Stop()
	for {
		h.advanceLease(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			h.endTenure()
			return
		}
	}
}

// Holds reports whether this host holds the hall's lease now.
func (h *Holder) Holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.keeper.Holds(h.readClocks())
	return ok
}

// Ready reports whether this host holds the lease and has loaded and reconciled
// the state of the previous holder, so that it answers calls.
func (h *Holder) Ready() bool {
	t, err := h.current()
	if err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready
}

// LeaseHolder returns the last known holder of the hall's lease and its epoch.
// It reports false if no holder is known.
func (h *Holder) LeaseHolder() (spoolsill.HostID, spoolsill.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.keeper.Holds(h.readClocks()); ok {
		return h.config.Host, e, true
	}
	x, ok := h.keeper.Holder()
	return x, h.keeper.Epoch(), ok
}

// advanceLease starts the next operation that the lease requires, if any, and
// starts or ends the tenure accordingly.
func (h *Holder) advanceLease(ctx context.Context) {
	h.mu.Lock()
	a := h.keeper.Next(h.readClocks())
	h.mu.Unlock()
	switch a.Kind {
	case lease.ReadRow:
		h.spawn(func() { h.readLease(ctx) })
	case lease.WriteRow:
		h.spawn(func() { h.writeLease(ctx, a) })
	case lease.RequestPromises:
		h.requestPromises(ctx, a.Row)
	}
	h.updateTenure(ctx)
}

// spawn runs f in a goroutine for which Run waits.
func (h *Holder) spawn(f func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		f()
	}()
}

func (h *Holder) readLease(ctx context.Context) {
	row, err := h.config.Table.Get(ctx, lease.Key(h.config.Hall))
	var r lease.Row
	if err == nil && row.Version > 0 {
		r, err = lease.Decode(row.Value)
		if err != nil {
			h.config.Log.WithError(err).Error("cannot decode the lease row")
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeper.ReadDone(h.readClocks(), err == nil, row.Version, r)
}

// writeLease writes the lease row, and on a takeover also the epoch row. Before a
// takeover, it makes this host reject copies of earlier epochs.
func (h *Holder) writeLease(ctx context.Context, a lease.Action) {
	x := table.Txn{
		Conditions: []table.Condition{{
			Key:     lease.Key(h.config.Hall),
			Version: a.Version,
		}},
		Puts: []table.Put{{
			Key:   lease.Key(h.config.Hall),
			Value: a.Row.Encode(),
		}},
	}
	if a.Takeover {
		h.mu.Lock()
		h.copies.Fence(a.Row.Epoch)
		h.mu.Unlock()
		x.Puts = append(x.Puts, table.Put{
			Key:   lease.EpochKey(h.config.Hall),
			Value: a.Row.Encode(),
		})
	}
	r, err := h.config.Table.Commit(context.WithoutCancel(ctx), x)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeper.WriteDone(h.readClocks(), writeOutcome(r, err))
}

func writeOutcome(r table.Result, err error) lease.WriteOutcome {
	switch {
	case errors.Is(err, table.ErrUnavailable):
		return lease.WriteRejected
	case err != nil:
		return lease.WriteUnknown
	case r.Applied:
		return lease.WriteApplied
	default:
		return lease.WriteConflict
	}
}

// requestPromises asks every other host of the roster to promise not to take
// over the lease, without waiting for the replies.
func (h *Holder) requestPromises(ctx context.Context, r lease.Row) {
	sentAt := h.readClocks()
	for _, x := range r.Roster {
		if x == h.config.Host {
			continue
		}
		h.spawn(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if !h.config.Peers.Promise(ctx, x, r.Epoch) {
				return
			}
			h.mu.Lock()
			defer h.mu.Unlock()
			h.keeper.RecordPromise(sentAt, x)
		})
	}
}

// Promise handles the request of the holder of epoch e not to take over the
// lease. It reports whether this host promises that.
func (h *Holder) Promise(e spoolsill.Epoch) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeper.Promise(h.readClocks(), e)
}

// KeepCopies keeps copies of entries for the holder of epoch e, and drops the
// copies up to stored. It reports whether this host keeps the entries.
func (h *Holder) KeepCopies(e spoolsill.Epoch, stored spoolsill.Sequence, entries []recordlog.Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.copies.Add(e, entries) {
		return false
	}
	if stored > 0 {
		h.copies.Drop(recordlog.Position{
			Epoch:    e,
			Sequence: stored,
		})
	}
	return true
}

// Copies returns the entries known to this host that follow last, the newest
// entry in the table, or all of them if last is zero. Afterwards, this host
// rejects copies of epochs before e. The entries include those that a tenure of
// this host has not written yet: the requesting host may be the only one that
// reaches the table, and may have lost its own copies. complete reports whether
// this host knows all entries that any host of the hall keeps.
func (h *Holder) Copies(e spoolsill.Epoch, last recordlog.Position) (list []recordlog.Entry, complete bool) {
	h.keepUnstored()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copies.Fence(e)
	if last == (recordlog.Position{}) {
		return h.copies.All(), h.copiesComplete
	}
	return h.copies.After(last.Epoch, last.Sequence), h.copiesComplete
}

// PeerRestarted records that another host of the hall has restarted and thus
// lost the copies that it kept.
func (h *Holder) PeerRestarted() {
	h.mu.Lock()
	t := h.tenure
	h.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writer != nil {
		t.writer.PeerRestarted()
	}
}

// updateTenure starts a tenure if the lease was acquired, and ends it if another
// host has taken over the lease or the tenure was cancelled.
func (h *Holder) updateTenure(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.keeper.Tenure()
	if t := h.tenure; t != nil && (!ok || t.epoch != e || t.ctx.Err() != nil) {
		h.keepCopies(t.epoch, t.unstored())
		if ok && t.epoch == e {
			// Writes of the ended tenure may still be in flight. Only a new
			// epoch prevents them from taking effect.
			h.keeper.Abandon()
		}
		t.cancel()
		h.tenure = nil
		h.recordEvent(timeline.Event{
			Kind: timeline.KindLease,
			Text: "tenure ended",
		})
	}
	e, holds := h.keeper.Holds(h.readClocks())
	if !holds || h.tenure != nil || h.releasing || ctx.Err() != nil {
		return
	}
	h.recordEvent(timeline.Event{
		Kind: timeline.KindLease,
		Text: "took the hall's lease",
	})
	h.config.Log.WithField("epoch", e).Info("took the hall's lease")
	h.tenure = newTenure(ctx, h, e)
	h.spawn(h.tenure.run)
}

// keepUnstored keeps copies of the entries of this host's tenure that are not
// in the table yet.
func (h *Holder) keepUnstored() {
	h.mu.Lock()
	t := h.tenure
	h.mu.Unlock()
	if t == nil {
		return
	}
	list := t.unstored()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keepCopies(t.epoch, list)
}

// dropStored drops the copies that are not needed once the entry at p is in the
// table. Otherwise they would be handed over to other hosts as if only this host
// had them.
func (h *Holder) dropStored(p recordlog.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copies.Drop(p)
}

// keepCopies keeps copies of entries of epoch e, and logs a warning if it cannot.
// h.mu must be held.
func (h *Holder) keepCopies(e spoolsill.Epoch, list []recordlog.Entry) {
	if len(list) > 0 && !h.copies.Add(e, list) {
		h.config.Log.WithField("epoch", e).WithField("entries", len(list)).Warn("cannot keep entries that are not in the table: a later epoch has begun or too many entries are kept")
	}
}

// endTenure ends the tenure, if there is one, waits for its goroutines, and keeps
// copies of its entries that are not in the table.
func (h *Holder) endTenure() {
	h.mu.Lock()
	t := h.tenure
	h.tenure = nil
	h.mu.Unlock()
	if t == nil {
		return
	}
	t.cancel()
	<-t.done
	list := t.unstored()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keepCopies(t.epoch, list)
}

func (h *Holder) recordEvent(e timeline.Event) {
	h.config.Events.Add(e)
}

// current returns the current tenure, or [ErrNotHolder] if this host does not
// hold the lease.
func (h *Holder) current() (*tenure, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.keeper.Holds(h.readClocks()); !ok || h.tenure == nil {
		return nil, ErrNotHolder
	}
	return h.tenure, nil
}
