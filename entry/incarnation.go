package entry

import (
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/table"
	"github.com/spoolsill/spoolsill/timeline"
)

// An incarnationRow is the value of the row in the platform's table that records
// whether the last incarnation of a host shut down cleanly. After a crash,
// requests of the host may still be running at runners; after a clean shutdown
// there are none.
type incarnationRow struct {
	ID            spoolsill.Incarnation `msgpack:"l"`
	CleanShutdown bool                  `msgpack:"c"`

	version uint64 // of the row as written by this incarnation; 0 if not written
}

// incarnationRetryInterval is the delay between attempts to register the
// incarnation.
const incarnationRetryInterval = 500 * time.Millisecond

// incarnationKey returns the key of the host's incarnation row.
func (h *Host) incarnationKey() string {
	return "life/" + string(h.settings.Host.ID)
}

// recoverOwnSlots lets the host use its own slots at once if its last
// incarnation shut down cleanly or there was none. Otherwise they become usable
// when the slot lifetime of their service has passed since the host started.
func (h *Host) recoverOwnSlots(ctx context.Context) {
	for ctx.Err() == nil && time.Since(h.started) < h.maxSlotLifetime() {
		clean, err := h.registerIncarnation(ctx)
		if err == nil {
			if clean {
				h.enableOwnSlots()
			}
			return
		}
		pause.For(ctx, incarnationRetryInterval)
	}
}

// maxSlotLifetime returns the longest slot lifetime of the services.
func (h *Host) maxSlotLifetime() time.Duration {
	var d time.Duration
	for _, s := range h.services {
		d = max(d, time.Duration(s.settings.SlotLifetime))
	}
	return d
}

func (h *Host) enableOwnSlots() {
	for _, s := range h.services {
		s.router.EnableOwnSlots(time.Time{})
	}
	h.recordEvent(timeline.KindMembership, "own slots are in use: the last life left no request behind")
}

var errIncarnationReplaced = errors.New("another incarnation of this host has started")

// registerIncarnation replaces the row of the last incarnation with one for this
// incarnation, and reports whether the last one shut down cleanly or there was
// none.
func (h *Host) registerIncarnation(ctx context.Context) (bool, error) {
	row, err := h.platform.Get(ctx, h.incarnationKey())
	if err != nil {
		return false, err
	}
	last := incarnationRow{
		CleanShutdown: true,
	}
	if row.Version > 0 {
		if err := msgpack.Unmarshal(row.Value, &last); err != nil {
			return false, err
		}
	}
	if err := h.writeIncarnation(ctx, row.Version, false); err != nil {
		return false, err
	}
	h.mu.Lock()
	h.savedIncarnation.version = row.Version + 1
	h.mu.Unlock()
	return last.CleanShutdown, nil
}

// writeIncarnation replaces the given version of the row. A write whose reply is
// lost is reported as failed. The own slots then become usable only after the
// slot lifetime, which is always safe.
func (h *Host) writeIncarnation(ctx context.Context, version uint64, clean bool) error {
	v, err := msgpack.Marshal(&incarnationRow{
		ID:            h.incarnation,
		CleanShutdown: clean,
	})
	if err != nil {
		return err
	}
	r, err := h.platform.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{
			Key:     h.incarnationKey(),
			Version: version,
		}},
		Puts: []table.Put{{
			Key:   h.incarnationKey(),
			Value: v,
		}},
	})
	if err != nil {
		return err
	}
	if !r.Applied {
		return errIncarnationReplaced
	}
	return nil
}

// recordCleanShutdown records that no request of this incarnation is running. It
// must be called only when no request is queued or running and none can arrive.
func (h *Host) recordCleanShutdown(ctx context.Context) {
	h.mu.Lock()
	v := h.savedIncarnation.version
	h.mu.Unlock()
	if v == 0 || ctx.Err() != nil {
		return
	}
	if err := h.writeIncarnation(ctx, v, true); err != nil {
		h.log.WithError(err).Warn("cannot record the clean shutdown")
	}
}
