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

// A snapshotState tracks which part of the journal the newest snapshot covers.
type snapshotState struct {
	last    spoolsill.Sequence // the last entry that the newest snapshot covers
	writing bool               // a snapshot is being written
}

// maybeSnapshot starts writing a snapshot in the background if none is being
// written, all entries are in the table, and at least Config.SnapshotEvery of
// them follow the last snapshot. t.mu must be held.
func (t *tenure) maybeSnapshot() {
	s := t.writer.Stored()
	if t.snap.writing || t.writer.UnstoredCount() > 0 || int(s-t.snap.last) < t.h.config.SnapshotEvery {
		return
	}
	e := recordlog.Entry{
		Epoch:       t.epoch,
		Sequence:    s,
		Writer:      t.h.config.Host,
		Incarnation: t.h.config.Incarnation,
		Records:     t.state.Snapshot(time.Now()),
	}
	t.snap.writing = true
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		err := t.writeSnapshot(e)
		if err != nil {
			t.h.config.Log.WithError(err).Warn("cannot write the snapshot")
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.snap.writing = false
		if err == nil {
			t.snap.last = s
		}
	}()
}

// writeSnapshot writes the snapshot e to an object, then the row that names the
// object, and deletes the journal rows that the snapshot covers.
func (t *tenure) writeSnapshot(e recordlog.Entry) error {
	b, err := recordlog.Encode(e)
	if err != nil {
		return err
	}
	name := recordlog.SnapshotObject(t.h.config.Hall, e.Sequence)
	if err := t.h.config.Objects.PutObject(t.ctx, name, b); err != nil {
		return err
	}
	next := t.snap.last + 1
	x := t.fencedTxn()
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
		x = t.fencedTxn()
	}
}

// fencedTxn returns a transaction that is applied only while no later epoch has
// begun.
func (t *tenure) fencedTxn() table.Txn {
	return table.Txn{
		Conditions: []table.Condition{{
			Key:     lease.EpochKey(t.h.config.Hall),
			Version: t.version,
		}},
	}
}
