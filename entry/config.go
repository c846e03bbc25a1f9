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

// configPollInterval is the mean interval between reads of the newest
// configuration from the table.
const configPollInterval = 2 * time.Second

// errConfigStale is returned when the version that a change is based on is not
// the newest one.
var errConfigStale = errors.New("the configuration has changed since: read it and try again")

// pollConfig periodically reads the newest configuration from the table and
// applies it, until ctx is done.
func (h *Host) pollConfig(ctx context.Context) {
	for ctx.Err() == nil {
		readAt := time.Now()
		row, err := h.platform.Get(ctx, config.HeadKey)
		if err == nil && h.applyConfigRow(row) {
			h.recordConfigRead(readAt)
		}
		pause.For(ctx, configPollInterval-configPollInterval/10+rand.N(configPollInterval/5))
	}
}

// applyConfigRow applies the configuration in row, the row of the newest one, and
// reports whether this or a newer configuration is in force. If the row does not
// exist, there is nothing to apply and the result is true.
func (h *Host) applyConfigRow(row table.Row) bool {
	if row.Version == 0 {
		return true
	}
	r, err := config.DecodeRevision(row.Value)
	if err != nil {
		h.recordFault("the newest configuration can't be read: " + err.Error())
		return false
	}
	h.applyConfig(r)
	return h.ConfigVersion() >= r.Version
}

// recordConfigRead records that the newest configuration was read from the table
// at time t, by this host or by another host of the hall.
func (h *Host) recordConfigRead(t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.After(h.configReadAt) {
		h.configReadAt = t
	}
}

// configSynced reports whether the version in force is at least as new as every
// version accepted before this host started: the table was read since then, by
// this host or by another host of the hall. h.mu must be held.
func (h *Host) configSynced() bool {
	return h.configReadAt.After(h.started) && !h.configStore.Behind()
}

// SyncedConfigVersion returns the version of the configuration in force, and
// whether it is known to be at least as new as every version accepted before the
// host started.
func (h *Host) SyncedConfigVersion() (spoolsill.Version, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.configStore.Current().Version, h.configSynced()
}

// applyConfig applies a revision if it is newer than the one in force. An invalid
// revision is rejected and counted as a fault.
func (h *Host) applyConfig(r config.Revision) {
	h.mu.Lock()
	applied, err := h.configStore.Apply(r)
	d := h.configStore.Document()
	if applied {
		h.members.SetDrained(d.Drained)
	}
	h.mu.Unlock()
	if err != nil {
		h.log.WithError(err).WithField("version", r.Version).Error("configuration rejected; the last valid one stays in force")
		h.recordFault(fmt.Sprintf("configuration %d refused: %s", r.Version, err))
		return
	}
	if !applied {
		return
	}
	h.limits.configure(d)
	h.log.WithField("version", r.Version).Info("configuration in force")
	h.recordEvent(timeline.KindConfig, fmt.Sprintf("configuration %d in force, by %s", r.Version, r.Author))
	h.updateRunners()
}

// fetchConfig fetches the configuration in force on another host of the hall and
// applies it.
func (h *Host) fetchConfig(ctx context.Context, from spoolsill.HostID) {
	r, err := callPeer[config.Revision](ctx, h, from, methodConfig, empty{})
	if err == nil && r.Version > 0 {
		h.applyConfig(r)
	}
}

func (h *Host) handleConfigRead(context.Context, peer.Caller, empty) (config.Revision, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.configStore.Current(), nil
}

// acceptConfig writes r to the table as the version after base and returns that
// version. It fails with errConfigStale if base is not the newest version. If
// the reply to the write is lost, it reads the row to determine the outcome.
func (h *Host) acceptConfig(ctx context.Context, r config.Revision, base spoolsill.Version) (spoolsill.Version, error) {
	if _, err := config.Parse(r.Text); err != nil {
		return 0, err
	}
	head, err := h.platform.Get(ctx, config.HeadKey)
	if err != nil {
		return 0, err
	}
	newest, err := headVersion(head)
	if err != nil {
		return 0, err
	}
	if newest != base {
		return 0, errConfigStale
	}
	r.Version = newest + 1
	r.AcceptedAt = time.Now().Unix()
	r.Nonce = rand.Uint64()
	res, err := h.platform.Commit(ctx, config.AcceptTxn(r, head.Version))
	if errors.Is(err, table.ErrUnknownOutcome) {
		return h.resolveConfigWrite(ctx, r)
	}
	if err != nil {
		return 0, err
	}
	if !res.Applied {
		return 0, errConfigStale
	}
	h.applyConfig(r)
	return r.Version, nil
}

// headVersion returns the version of the configuration in the row of the newest
// one, or 0 if the row does not exist.
func headVersion(row table.Row) (spoolsill.Version, error) {
	if row.Version == 0 {
		return 0, nil
	}
	r, err := config.DecodeRevision(row.Value)
	return r.Version, err
}

// resolveConfigWrite determines whether a write of r whose reply was lost was
// applied. The nonce distinguishes r from another revision with the same version.
func (h *Host) resolveConfigWrite(ctx context.Context, r config.Revision) (spoolsill.Version, error) {
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
	h.applyConfig(r)
	return r.Version, nil
}

// maxHistoryRevisions bounds the number of revisions in the history.
const maxHistoryRevisions = 100

// configHistory returns the accepted revisions, newest first.
func (h *Host) configHistory(ctx context.Context) ([]config.Revision, error) {
	h.mu.Lock()
	newest := h.configStore.Current().Version
	h.mu.Unlock()
	after := ""
	if newest > maxHistoryRevisions {
		after = config.VersionKey(newest - maxHistoryRevisions)
	}
	rows, err := h.platform.List(ctx, config.HistoryPrefix(), after, maxHistoryRevisions+1)
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
