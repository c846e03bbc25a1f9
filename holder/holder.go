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

// leaseTick is how often the lease is looked after.
const leaseTick = 50 * time.Millisecond

// A Holder tries for the hall's lease and places tasks while it has it. It is
// safe for concurrent use.
type Holder struct {
	config  Config
	started time.Time

	mu     sync.Mutex // guards what follows
	keeper *lease.Keeper
	copies recordlog.Copies
	tenure *tenure
	wg     sync.WaitGroup
	whole  bool // what lasts in the memory of the hall's hosts is known here
	// going says that the process will end soon, draining that nothing new is
	// decided any more, leaving that no tenure begins either.
	going    bool
	draining bool
	leaving  bool
}

// New returns a holder that does nothing before Run.
func New(c Config) *Holder {
	h := &Holder{
		config:  c.withDefaults(),
		started: time.Now(),
	}
	h.keeper = lease.NewKeeper(h.config.Lease, h.reading())
	return h
}

// reading looks at both clocks.
func (h *Holder) reading() lease.Reading {
	now := time.Now()
	return lease.Reading{
		Wall: now.Round(0),
		Mono: now.Sub(h.started),
	}
}

// Run looks after the lease until ctx ends, then gives it back if it can in
// time.
func (h *Holder) Run(ctx context.Context) {
	defer h.wg.Wait()
	h.spawn(func() { h.join(ctx) })
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	for {
		h.step(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			h.endTenure()
			return
		}
	}
}

// Holds reports whether this host may act for the hall now.
func (h *Holder) Holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.keeper.Holds(h.reading())
	return ok
}

// Placing reports whether this host holds the lease and has settled what the
// former holder left, so that it answers calls.
func (h *Holder) Placing() bool {
	t, err := h.current()
	if err != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ready
}

// Seen returns the holder of the hall's lease as last seen, and its epoch.
func (h *Holder) Seen() (spoolsill.HostID, spoolsill.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, ok := h.keeper.Holds(h.reading()); ok {
		return h.config.Host, e, true
	}
	x, ok := h.keeper.Holder()
	return x, h.keeper.Epoch(), ok
}

// step does what the lease needs now.
func (h *Holder) step(ctx context.Context) {
	h.mu.Lock()
	a := h.keeper.Next(h.reading())
	h.mu.Unlock()
	switch a.Kind {
	case lease.Read:
		h.spawn(func() { h.read(ctx) })
	case lease.Write:
		h.spawn(func() { h.write(ctx, a) })
	case lease.Ask:
		h.ask(ctx, a.Row)
	}
	h.follow(ctx)
}

func (h *Holder) spawn(f func()) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		f()
	}()
}

func (h *Holder) read(ctx context.Context) {
	row, err := h.config.Table.Get(ctx, lease.Key(h.config.Hall))
	var r lease.Row
	if err == nil && row.Version > 0 {
		r, err = lease.Decode(row.Value)
		if err != nil {
			h.config.Log.WithError(err).Error("lease row can't be read")
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeper.ReadDone(h.reading(), err == nil, row.Version, r)
}

func (h *Holder) write(ctx context.Context, a lease.Action) {
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
	h.keeper.WriteDone(h.reading(), written(r, err))
}

func written(r table.Result, err error) lease.Written {
	switch {
	case errors.Is(err, table.ErrUnavailable):
		return lease.NotTaken
	case err != nil:
		return lease.Lost
	case r.Applied:
		return lease.Applied
	default:
		return lease.Conflict
	}
}

// ask asks every other host of the roster for a promise.
func (h *Holder) ask(ctx context.Context, r lease.Row) {
	asked := h.reading()
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
			h.keeper.Promised(asked, x)
		})
	}
}

// Promise answers another host that asks this one not to take the lease over.
func (h *Holder) Promise(e spoolsill.Epoch) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeper.Promise(h.reading(), e)
}

// Copy keeps entries for the holder of an epoch, and drops those up to stored.
func (h *Holder) Copy(e spoolsill.Epoch, stored spoolsill.Sequence, entries []recordlog.Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.copies.Add(e, entries) {
		return false
	}
	if stored > 0 {
		h.copies.Drop(recordlog.Mark{
			Epoch:    e,
			Sequence: stored,
		})
	}
	return true
}

// Copies returns the entries known here that follow on the last entry in the
// table, and takes no more copies of epochs before one. Entries that a tenure
// here could not write are among them: the host that asks may be the only one
// that reaches the table, and its own copies may have been lost. whole says
// that nothing is kept elsewhere in the hall that is not known here.
func (h *Holder) Copies(e spoolsill.Epoch, last recordlog.Mark) (list []recordlog.Entry, whole bool) {
	h.keepOpen()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copies.Fence(e)
	if last == (recordlog.Mark{}) {
		return h.copies.All(), h.whole
	}
	return h.copies.After(last.Epoch, last.Sequence), h.whole
}

// Forgot says that another host of the hall has restarted, so that it has lost
// the copies that it kept.
func (h *Holder) Forgot() {
	h.mu.Lock()
	t := h.tenure
	h.mu.Unlock()
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.writer != nil {
		t.writer.Forgot()
	}
}

// follow starts and ends tenures as the lease comes and goes.
func (h *Holder) follow(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.keeper.Tenure()
	if t := h.tenure; t != nil && (!ok || t.epoch != e || t.ctx.Err() != nil) {
		h.keep(t.epoch, t.unstored())
		if ok && t.epoch == e {
			// Writes of the ended tenure may arrive late: only a new epoch
			// keeps them out.
			h.keeper.Abandon()
		}
		t.cancel()
		h.tenure = nil
		h.event(timeline.Event{
			Kind: timeline.KindLease,
			Text: "tenure ended",
		})
	}
	e, holds := h.keeper.Holds(h.reading())
	if !holds || h.tenure != nil || h.leaving || ctx.Err() != nil {
		return
	}
	h.event(timeline.Event{
		Kind: timeline.KindLease,
		Text: "took the hall's lease",
	})
	h.config.Log.WithField("epoch", e).Info("took the hall's lease")
	h.tenure = newTenure(ctx, h, e)
	h.spawn(h.tenure.run)
}

// keepOpen keeps the entries of the own tenure that the table lacks as copies.
func (h *Holder) keepOpen() {
	h.mu.Lock()
	t := h.tenure
	h.mu.Unlock()
	if t == nil {
		return
	}
	list := t.unstored()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keep(t.epoch, list)
}

// stored drops the own copies of what the table has now: they would be handed
// on as if only this host had them.
func (h *Holder) stored(m recordlog.Mark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copies.Drop(m)
}

// keep keeps entries of an epoch as copies. The lock is held.
func (h *Holder) keep(e spoolsill.Epoch, list []recordlog.Entry) {
	if len(list) > 0 && !h.copies.Add(e, list) {
		h.config.Log.WithField("epoch", e).WithField("entries", len(list)).Warn("entries that the table lacks are not kept: another host leads the hall")
	}
}

// endTenure ends the tenure and keeps what the table lacks of it as copies.
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
	h.keep(t.epoch, list)
}

func (h *Holder) event(e timeline.Event) {
	h.config.Events.Add(e)
}

// current returns the tenure that may answer calls.
func (h *Holder) current() (*tenure, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.keeper.Holds(h.reading()); !ok || h.tenure == nil {
		return nil, ErrNotHolder
	}
	return h.tenure, nil
}
