package holder

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/recordlog"
)

// SetStopping records that the host is about to stop. The holder continues to
// work, but no longer accepts entries from other hosts that are stopping: if two
// stopping hosts handed over their entries to each other, both copies would be
// lost.
func (h *Holder) SetStopping() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
}

// Drain makes the holder stop making decisions. It returns once all entries
// known to this host are in the table or on a host that is not stopping, or when
// ctx is done. Until then this host keeps the hall's lease, or acquires it if it
// is free, because only the lease holder can write entries to the table.
func (h *Holder) Drain(ctx context.Context) {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for ctx.Err() == nil {
		list := h.unstoredEntries()
		if len(list) == 0 {
			return
		}
		// While the table responds, the tenure writes the entries itself.
		writes := h.Holds() && !h.config.Table.Unavailable()
		if !writes && h.handOver(ctx, list) {
			return
		}
		pause.For(ctx, leaseInterval)
	}
}

// isDraining reports whether [Holder.Drain] was called.
func (h *Holder) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// unstoredEntries returns the entries known to this host that may not be in the
// table.
func (h *Holder) unstoredEntries() []recordlog.Entry {
	h.keepUnstored()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.copies.All()
}

// Release ends the tenure, hands over the entries that this host keeps, and
// releases the lease. It returns once the release is in the table, or when ctx
// is done. [Holder.Run] must be running.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.releasing = true
	h.mu.Unlock()
	h.endTenure()
	h.handOverAll(ctx)
	h.mu.Lock()
	h.keeper.Release()
	h.mu.Unlock()
	t := time.NewTicker(leaseInterval)
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

// handOverAll hands over the entries that this host keeps to another host of the
// hall, if there are any. It retries until one has accepted them or ctx is done.
func (h *Holder) handOverAll(ctx context.Context) {
	for ctx.Err() == nil {
		list := h.unstoredEntries()
		if len(list) == 0 || len(h.config.Hosts) < 2 || h.handOver(ctx, list) {
			return
		}
		pause.For(ctx, leaseInterval)
	}
}

// handOver sends entries to the other hosts of the hall, one after another, and
// reports whether one of them has accepted them.
func (h *Holder) handOver(ctx context.Context, list []recordlog.Entry) bool {
	for _, x := range h.config.Hosts {
		if x != h.config.Host && h.config.Peers.HandOver(ctx, x, list[len(list)-1].Epoch, list) {
			return true
		}
	}
	return false
}

// AcceptHandOver keeps copies of the entries that a stopping host hands over,
// and reports whether it does. It keeps none if this host is stopping too.
func (h *Holder) AcceptHandOver(e spoolsill.Epoch, entries []recordlog.Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.stopping && h.copies.Add(e, entries)
}
