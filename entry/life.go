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

// A lifeRow says in the platform's table how the last life of a host stands.
// A host that died may have left requests at runners; one that stopped as
// planned has left none.
type lifeRow struct {
	Life  spoolsill.Incarnation `msgpack:"l"`
	Clean bool                  `msgpack:"c"`

	version uint64 // of the row, as this life wrote it; 0: not written
}

// lifeRetry is the wait between two tries to read the row.
const lifeRetry = 500 * time.Millisecond

func (h *Host) lifeKey() string {
	return "life/" + string(h.settings.Host.ID)
}

// openHome lets the host use its own slots at once when the last life stopped
// cleanly, or when there was none. Otherwise they open by themselves when the
// lifetime of a slot has passed since the start.
func (h *Host) openHome(ctx context.Context) {
	for ctx.Err() == nil && time.Since(h.started) < h.longestSlot() {
		clean, err := h.beginLife(ctx)
		if err == nil {
			if clean {
				h.useHome()
			}
			return
		}
		pause.For(ctx, lifeRetry)
	}
}

func (h *Host) longestSlot() time.Duration {
	var d time.Duration
	for _, s := range h.services {
		d = max(d, time.Duration(s.settings.SlotLifetime))
	}
	return d
}

func (h *Host) useHome() {
	for _, s := range h.services {
		s.router.EnableOwnSlots(time.Time{})
	}
	h.event(timeline.KindMembership, "own slots are in use: the last life left no request behind")
}

var errLifeTaken = errors.New("another life of this host has begun")

// beginLife records that a life began, and reports whether the last one was
// clean.
func (h *Host) beginLife(ctx context.Context) (bool, error) {
	row, err := h.platform.Get(ctx, h.lifeKey())
	if err != nil {
		return false, err
	}
	last := lifeRow{
		Clean: true,
	}
	if row.Version > 0 {
		if err := msgpack.Unmarshal(row.Value, &last); err != nil {
			return false, err
		}
	}
	if err := h.writeLife(ctx, row.Version, false); err != nil {
		return false, err
	}
	h.mu.Lock()
	h.life.version = row.Version + 1
	h.mu.Unlock()
	return last.Clean, nil
}

// writeLife writes the row over a version. A write whose answer is lost
// counts as failed: the host then waits, which is always safe.
func (h *Host) writeLife(ctx context.Context, version uint64, clean bool) error {
	v, err := msgpack.Marshal(&lifeRow{
		Life:  h.incarnation,
		Clean: clean,
	})
	if err != nil {
		return err
	}
	r, err := h.platform.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{
			Key:     h.lifeKey(),
			Version: version,
		}},
		Puts: []table.Put{{
			Key:   h.lifeKey(),
			Value: v,
		}},
	})
	if err != nil {
		return err
	}
	if !r.Applied {
		return errLifeTaken
	}
	return nil
}

// closeHome records that this life left nothing behind. It is called when no
// request waits or runs any more.
func (h *Host) closeHome(ctx context.Context) {
	h.mu.Lock()
	v := h.life.version
	h.mu.Unlock()
	if v == 0 || ctx.Err() != nil {
		return
	}
	if err := h.writeLife(ctx, v, true); err != nil {
		h.log.WithError(err).Warn("a clean stop could not be recorded")
	}
}
