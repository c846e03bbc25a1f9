package holder

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/recordlog"
)

// Leave says that the host will be gone soon. It goes on as before, but keeps
// nothing any more for a host that leaves as well: two that hand what only
// they know to each other would both be gone with it.
func (h *Holder) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.going = true
}

// Drain returns once the table has all that this host knows and the table may
// lack, or another host that stays keeps it; else when ctx ends. The hall's
// lease is kept meanwhile, and taken where it is free: only its holder can
// write. Nothing new is decided.
func (h *Holder) Drain(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for ctx.Err() == nil {
		list := h.only()
		if len(list) == 0 {
			return
		}
		// The holder writes by itself what the table takes.
		writes := h.Holds() && !h.config.Table.Silent()
		if !writes && h.handOver(ctx, list) {
			return
		}
		pause.For(ctx, leaseTick)
	}
}

// drains reports whether nothing new is decided here any more.
func (h *Holder) drains() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// only returns the entries known here that the table may lack.
func (h *Holder) only() []recordlog.Entry {
	h.keepOpen()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.copies.All()
}

// Release hands on what only this host knows, gives the lease back and returns
// once the table has taken that, or when ctx ends. Run must be running.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.endTenure()
	h.handOn(ctx)
	h.mu.Lock()
	h.keeper.Release()
	h.mu.Unlock()
	t := time.NewTicker(leaseTick)
	defer t.Stop()
	for {
		h.mu.Lock()
		done := h.keeper.Released()
		h.mu.Unlock()
		if done {
			return
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// handOn hands the copies that this host keeps to the hall's other hosts, and
// tries again until one has taken them or ctx ends.
func (h *Holder) handOn(ctx context.Context) {
	for ctx.Err() == nil {
		list := h.only()
		if len(list) == 0 || len(h.config.Hosts) < 2 || h.handOver(ctx, list) {
			return
		}
		pause.For(ctx, leaseTick)
	}
}

// handOver hands entries to another host of the hall and reports whether one
// that stays keeps them.
func (h *Holder) handOver(ctx context.Context, list []recordlog.Entry) bool {
	for _, x := range h.config.Hosts {
		if x != h.config.Host && h.config.Peers.HandOver(ctx, x, list[len(list)-1].Epoch, list) {
			return true
		}
	}
	return false
}

// HandOver keeps entries for a host that leaves, unless this one leaves too.
func (h *Holder) HandOver(e spoolsill.Epoch, entries []recordlog.Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.going && h.copies.Add(e, entries)
}
