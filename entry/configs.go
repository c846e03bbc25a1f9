package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/config"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/table"
	"github.com/spoolsill/spoolsill/timeline"
)

// configEvery is the time between two looks at the newest configuration.
const configEvery = 2 * time.Second

// errConfigStale is returned when another change was accepted first.
var errConfigStale = errors.New("the configuration has changed since: read it and try again")

// followConfig keeps the configuration in force until ctx ends.
func (h *Host) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		row, err := h.platform.Get(ctx, config.HeadKey)
		if err == nil && h.offerRow(row) {
			h.readAt(asked)
		}
		pause.For(ctx, configEvery-configEvery/10+rand.N(configEvery/5))
	}
}

// offerRow puts the newest row in force, and reports whether it is.
func (h *Host) offerRow(row table.Row) bool {
	if row.Version == 0 {
		return true
	}
	r, err := config.DecodeRevision(row.Value)
	if err != nil {
		h.fault("the newest configuration can't be read: " + err.Error())
		return false
	}
	h.offer(r)
	return h.ConfigVersion() >= r.Version
}

// readAt takes down when the newest configuration was read from the table.
func (h *Host) readAt(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.After(h.read) {
		h.read = t
	}
}

// configSure reports whether the host knows that no newer version than its own
// was accepted before it started: the table was read since, here or by another
// host of the hall. The lock is held.
func (h *Host) configSure() bool {
	return h.read.After(h.started) && !h.store.Behind()
}

// ConfigSure is [Host.ConfigVersion] with whether the host is sure of it.
func (h *Host) ConfigSure() (spoolsill.Version, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.Current().Version, h.configSure()
}

// offer puts a revision in force if it is newer.
func (h *Host) offer(r config.Revision) {
	h.mu.Lock()
	applied, err := h.store.Apply(r)
	d := h.store.Document()
	if applied {
		h.view.SetDrained(d.Drained)
	}
	h.mu.Unlock()
	if err != nil {
		h.log.WithError(err).WithField("version", r.Version).Error("configuration refused, the last good one stays")
		h.fault(fmt.Sprintf("configuration %d refused: %s", r.Version, err))
		return
	}
	if !applied {
		return
	}
	h.limits.set(d)
	h.log.WithField("version", r.Version).Info("configuration in force")
	h.event(timeline.KindConfig, fmt.Sprintf("configuration %d in force, by %s", r.Version, r.Author))
	h.applyMembers()
}

// fetchConfig reads the configuration of another host of the hall.
func (h *Host) fetchConfig(ctx context.Context, from spoolsill.HostID) {
	r, err := call[config.Revision](ctx, h, from, methodConfig, empty{})
	if err == nil && r.Version > 0 {
		h.offer(r)
	}
}

func (h *Host) takeConfigRead(context.Context, peer.Caller, empty) (config.Revision, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.store.Current(), nil
}

// putConfig accepts a document as the version after base, and returns the
// version. A lost answer is settled by reading what stands.
func (h *Host) putConfig(ctx context.Context, r config.Revision, base spoolsill.Version) (spoolsill.Version, error) {
	if _, err := config.Parse(r.Text); err != nil {
		return 0, err
	}
	head, err := h.platform.Get(ctx, config.HeadKey)
	if err != nil {
		return 0, err
	}
	old, err := headVersion(head)
	if err != nil {
		return 0, err
	}
	if old != base {
		return 0, errConfigStale
	}
	r.Version = old + 1
	r.AcceptedAt = time.Now().Unix()
	r.Nonce = rand.Uint64()
	res, err := h.platform.Commit(ctx, config.AcceptTxn(r, head.Version))
	if errors.Is(err, table.ErrUnknownOutcome) {
		return h.settleConfig(ctx, r)
	}
	if err != nil {
		return 0, err
	}
	if !res.Applied {
		return 0, errConfigStale
	}
	h.offer(r)
	return r.Version, nil
}

func headVersion(row table.Row) (spoolsill.Version, error) {
	if row.Version == 0 {
		return 0, nil
	}
	r, err := config.DecodeRevision(row.Value)
	return r.Version, err
}

// settleConfig finds out whether a write whose answer was lost took effect.
func (h *Host) settleConfig(ctx context.Context, r config.Revision) (spoolsill.Version, error) {
	row, err := h.platform.Get(ctx, config.VersionKey(r.Version))
	if err != nil {
		return 0, fmt.Errorf("not known whether version %d was accepted, see config history: %w", r.Version, err)
	}
	if row.Version == 0 {
		return 0, fmt.Errorf("version %d was not accepted yet, see config history", r.Version)
	}
	x, err := config.DecodeRevision(row.Value)
	if err != nil {
		return 0, err
	}
	if x.Nonce != r.Nonce {
		return 0, errConfigStale
	}
	h.offer(r)
	return r.Version, nil
}

// maxHistory is the number of versions that the history shows.
const maxHistory = 100

// history returns the accepted versions, newest first.
func (h *Host) history(ctx context.Context) ([]config.Revision, error) {
	h.mu.Lock()
	newest := h.store.Current().Version
	h.mu.Unlock()
	after := ""
	if newest > maxHistory {
		after = config.VersionKey(newest - maxHistory)
	}
	rows, err := h.platform.List(ctx, config.HistoryPrefix(), after, maxHistory+1)
	if err != nil {
		return nil, err
	}
	out := []config.Revision{}
	for i := len(rows) - 1; i >= 0; i-- {
		r, err := config.DecodeRevision(rows[i].Value)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}
