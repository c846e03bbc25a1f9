package holder

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/lease"
	"github.com/spoolsill/spoolsill/recordlog"
	"github.com/spoolsill/spoolsill/table"
)

// maxDeletes is the maximum number of journal rows deleted in one transaction.
const maxDeletes = 500

// A snapshotter tracks which part of the journal the newest snapshot covers.
type snapshotter struct {
	last spoolsill.Sequence // last entry that the newest snapshot covers
	busy bool               // a snapshot is being written
}

// maybeSnapshot writes a snapshot in the background if SnapshotEvery entries
// were stored since the last one. t.mu must be held.
func (t *tenure) maybeSnapshot() {
	s := t.writer.Stored()
	if t.snap.busy || t.writer.UnstoredCount() > 0 || int(s-t.snap.last) < t.h.config.SnapshotEvery {
		return
	}
	e := recordlog.Entry{
		Epoch:       t.epoch,
		Sequence:    s,
		Writer:      t.h.config.Host,
		Incarnation: t.h.config.Incarnation,
		Records:     t.state.Snapshot(time.Now()),
	}
	t.snap.busy = true
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		err := t.snapshot(e)
		if err != nil {
			t.h.config.Log.WithError(err).Warn("cannot write the snapshot")
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.snap.busy = false
		if err == nil {
			t.snap.last = s
		}
	}()
}

// snapshot writes the snapshot object, then the row that refers to it, and
// deletes the journal rows that the snapshot covers.
func (t *tenure) snapshot(e recordlog.Entry) error {
	b, err := recordlog.Encode(e)
	if err != nil {
		return err
	}
	name := recordlog.SnapshotObject(t.h.config.Hall, e.Sequence)
	if err := t.h.config.Objects.PutObject(t.ctx, name, b); err != nil {
		return err
	}
	next := t.snap.last + 1
	x := t.fenced()
	x.Puts = []table.Put{{
		Key:   recordlog.SnapshotKey(t.h.config.Hall),
		Value: []byte(name),
	}}
	for {
		for len(x.Deletes) < maxDeletes && next <= e.Sequence {
			x.Deletes = append(x.Deletes, recordlog.Key(t.h.config.Hall, next))
			next++
		}
		r, err := t.h.config.Table.Commit(t.ctx, x)
		if err != nil {
			return err
		}
		if !r.Applied {
			return errLeaseLost
		}
		if next > e.Sequence {
			return nil
		}
		x = t.fenced()
	}
}

// fenced returns a transaction that is applied only while no later epoch has
// begun.
func (t *tenure) fenced() table.Txn {
	return table.Txn{
		Conditions: []table.Condition{{
			Key:     lease.EpochKey(t.h.config.Hall),
			Version: t.version,
		}},
	}
}
