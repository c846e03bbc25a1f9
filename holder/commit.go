package holder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/lease"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/recordlog"
	"github.com/spoolsill/spoolsill/table"
	"github.com/spoolsill/spoolsill/table/remote"
	"github.com/spoolsill/spoolsill/timeline"
)

// Bounds of the delay after a failed table write.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// errLeaseLost is returned when the table shows that another host has taken over
// the lease.
var errLeaseLost = errors.New("holder: another host has taken over the lease")

// advanceJournal acts on durable records and starts the next write to the table.
// While the table is unavailable and the host holds the lease, it also copies
// entries to the other hosts.
func (t *tenure) advanceJournal() {
	unavailable := t.h.config.Table.Unavailable()
	holds := t.holdsLease()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.processDurable()
	if holds {
		t.replicate(unavailable)
	}
	if t.tableUnavailable && !unavailable {
		// Entries appended while the table was unavailable exist only in the
		// memory of the hall's hosts, so they are written without waiting for
		// the retry delay.
		t.nextWrite = time.Time{}
	}
	t.tableUnavailable = unavailable
	if time.Now().Before(t.nextWrite) {
		return
	}
	a := t.writer.NextWrite()
	if a.Kind != recordlog.ActionWrite {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.writeEntries(a.Entries)
	}()
}

// replicate starts copying entries to the hall's other hosts if the table is
// unavailable. t.mu must be held.
func (t *tenure) replicate(unavailable bool) {
	if !unavailable {
		return
	}
	a := t.writer.NextCopy()
	if a.Kind != recordlog.ActionCopy {
		t.processDurable()
		return
	}
	t.replicated = true
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.sendCopies(a.Entries)
	}()
}

// sendCopies copies entries to every other host of the hall.
func (t *tenure) sendCopies(entries []recordlog.Entry) {
	ctx, cancel := context.WithTimeout(t.ctx, time.Second)
	defer cancel()
	accepted := true
	for _, h := range t.h.config.Hosts {
		if h == t.h.config.Host {
			continue
		}
		accepted = t.h.config.Peers.Copy(ctx, h, t.epoch, 0, entries) && accepted
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writer.CopyDone(entries[len(entries)-1].Sequence, accepted)
	t.processDurable()
}

// writeEntries writes entries to the table. If another host has taken over the
// lease, it ends the tenure.
func (t *tenure) writeEntries(entries []recordlog.Entry) {
	err := t.commitEntries(entries)
	if errors.Is(err, errLeaseLost) {
		t.h.recordEvent(timeline.Event{
			Kind: timeline.KindLease,
			Text: "the table refused the journal: another host has the lease",
		})
		t.cancel()
		return
	}
	stored, ok := t.writeDone(err)
	if ok {
		t.h.dropStored(recordlog.Position{
			Epoch:    t.epoch,
			Sequence: stored,
		})
	}
}

// writeDone handles the result of a write. If the write succeeded, it returns
// the sequence number of the last entry in the table and true.
func (t *tenure) writeDone(err error) (spoolsill.Sequence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writer.WriteDone(err == nil)
	if err != nil {
		t.scheduleRetry()
		return 0, false
	}
	t.writeFailures = 0
	t.nextWrite = time.Time{}
	t.processDurable()
	t.dropPeerCopies()
	t.maybeSnapshot()
	return t.writer.Stored(), true
}

// dropPeerCopies tells the hall's other hosts, once the table has all entries,
// that they may drop their copies. t.mu must be held.
func (t *tenure) dropPeerCopies() {
	if !t.replicated || t.writer.UnstoredCount() > 0 {
		return
	}
	t.replicated = false
	stored := t.writer.Stored()
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		ctx, cancel := context.WithTimeout(t.ctx, time.Second)
		defer cancel()
		for _, h := range t.h.config.Hosts {
			if h != t.h.config.Host {
				t.h.config.Peers.Copy(ctx, h, t.epoch, stored, nil)
			}
		}
	}()
}

// scheduleRetry sets the earliest time of the next write after a failed one. The
// delay grows exponentially and is randomized. t.mu must be held.
func (t *tenure) scheduleRetry() {
	d := min(minRetryDelay<<min(t.writeFailures, 8), maxRetryDelay)
	t.writeFailures++
	t.nextWrite = time.Now().Add(d/2 + rand.N(d/2+1))
}

// commitEntries writes entries in one transaction. It returns nil if they are
// in the table, errLeaseLost if another host has taken over the lease, and
// another error if the write failed or its outcome is unknown.
func (t *tenure) commitEntries(entries []recordlog.Entry) error {
	x := table.Txn{}
	if !t.h.config.Break.Fence {
		x.Conditions = append(x.Conditions, table.Condition{
			Key:     lease.EpochKey(t.h.config.Hall),
			Version: t.version,
		})
	}
	for _, e := range entries {
		b, err := recordlog.Encode(e)
		if err != nil {
			return err
		}
		k := recordlog.Key(t.h.config.Hall, e.Sequence)
		x.Conditions = append(x.Conditions, table.Condition{
			Key: k,
		})
		x.Puts = append(x.Puts, table.Put{
			Key:   k,
			Value: b,
		})
	}
	r, err := t.h.config.Table.Commit(t.ctx, x)
	if err != nil {
		return err
	}
	if r.Applied {
		return nil
	}
	return t.checkConflict(r.Conflicts, x.Puts)
}

// checkConflict determines whether the conflicting rows were written by an
// earlier attempt at the same write, whose response was lost. It returns nil if
// they are identical to puts, and errLeaseLost otherwise.
func (t *tenure) checkConflict(rows []table.Row, puts []table.Put) error {
	unmatched := map[string][]byte{}
	for _, p := range puts {
		unmatched[p.Key] = p.Value
	}
	for _, r := range rows {
		b, ok := unmatched[r.Key]
		if !ok || !bytes.Equal(b, r.Value) {
			return errLeaseLost
		}
		delete(unmatched, r.Key)
	}
	if len(unmatched) > 0 {
		return errLeaseLost
	}
	return nil
}

// journalPageSize is the number of journal rows read per request.
const journalPageSize = 500

// load rebuilds the state from the snapshot, the journal and the entries that
// exist only as copies on the hall's hosts. It retries until it succeeds or the
// tenure ends, and reports whether it succeeded.
func (t *tenure) load() bool {
	for {
		err := t.tryLoad()
		if err == nil {
			t.h.markJoined()
			return true
		}
		t.h.config.Log.WithError(err).Warn("cannot load the hall's journal, retrying")
		t.h.recordEvent(timeline.Event{
			Kind: timeline.KindFault,
			Text: "the hall's record can't be loaded: " + err.Error(),
		})
		select {
		case <-t.ctx.Done():
			return false
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (t *tenure) tryLoad() error {
	if err := t.readEpoch(); err != nil {
		return err
	}
	snapshot, err := t.readSnapshot()
	if err != nil {
		return err
	}
	s, err := place.Rebuild(t.h.config.Place, snapshot.Records)
	if err != nil {
		return err
	}
	last := recordlog.Position{
		Epoch:    snapshot.Epoch,
		Sequence: snapshot.Sequence,
	}
	covered := last.Sequence
	last, err = t.readJournal(s, last)
	if err != nil {
		return err
	}
	w := recordlog.NewWriter(recordlog.Config{
		Host:        t.h.config.Host,
		Incarnation: t.h.config.Incarnation,
		Epoch:       t.epoch,
		Last:        last.Sequence,
		HasPeers:    len(t.h.config.Hosts) > 1,
	})
	if err := t.recoverCopies(s, w, last); err != nil {
		return err
	}
	t.h.dropStored(last)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	t.writer = w
	t.snap.last = covered
	return nil
}

// readEpoch reads the version of the epoch row, on which all writes of the
// tenure are conditional. It ends the tenure if the row has another epoch.
func (t *tenure) readEpoch() error {
	row, err := t.h.config.Table.Get(t.ctx, lease.EpochKey(t.h.config.Hall))
	if err != nil {
		return err
	}
	r, err := lease.Decode(row.Value)
	if err != nil {
		return err
	}
	if r.Epoch != t.epoch {
		t.cancel()
		return errLeaseLost
	}
	t.version = row.Version
	return nil
}

// readSnapshot reads the newest snapshot. It returns the zero Entry if there is
// none.
func (t *tenure) readSnapshot() (recordlog.Entry, error) {
	row, err := t.h.config.Table.Get(t.ctx, recordlog.SnapshotKey(t.h.config.Hall))
	if err != nil || row.Version == 0 {
		return recordlog.Entry{}, err
	}
	b, err := t.h.config.Objects.GetObject(t.ctx, string(row.Value))
	if errors.Is(err, remote.ErrNotFound) {
		return recordlog.Entry{}, fmt.Errorf("%w: snapshot %s is missing", recordlog.ErrDamaged, row.Value)
	}
	if err != nil {
		return recordlog.Entry{}, err
	}
	e, err := recordlog.Decode(b)
	if err != nil {
		return recordlog.Entry{}, eris.Wrapf(err, "snapshot %s", row.Value)
	}
	return e, nil
}

// readJournal applies the entries in the table that follow last to s, and
// returns the position of the last one.
func (t *tenure) readJournal(s *place.State, last recordlog.Position) (recordlog.Position, error) {
	for {
		rows, err := t.h.config.Table.List(t.ctx, recordlog.Prefix(t.h.config.Hall), recordlog.Key(t.h.config.Hall, last.Sequence), journalPageSize)
		if err != nil {
			return last, err
		}
		for _, r := range rows {
			e, err := recordlog.Decode(r.Value)
			if err != nil {
				return last, eris.Wrapf(err, "row %s", r.Key)
			}
			if e.Sequence != last.Sequence+1 {
				return last, fmt.Errorf("%w: row %s follows %d", recordlog.ErrDamaged, r.Key, last.Sequence)
			}
			if err := apply(s, e); err != nil {
				return last, err
			}
			last = recordlog.Position{
				Epoch:    e.Epoch,
				Sequence: e.Sequence,
			}
		}
		if len(rows) < journalPageSize {
			return last, nil
		}
	}
}

func apply(s *place.State, e recordlog.Entry) error {
	for _, r := range e.Records {
		if err := s.Apply(r); err != nil {
			return eris.Wrapf(err, "entry %d", e.Sequence)
		}
	}
	return nil
}

// recoverCopies applies the entries that the previous holder copied to the
// hosts of the hall, including this one, but did not write to the table. Their
// records are appended to w, so that this tenure writes them.
func (t *tenure) recoverCopies(s *place.State, w *recordlog.Writer, last recordlog.Position) error {
	latest, _ := t.h.Copies(t.epoch, last)
	for _, h := range t.h.config.Hosts {
		if h == t.h.config.Host {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, time.Second)
		c, _, err := t.h.config.Peers.Copies(ctx, h, last)
		cancel()
		if err == nil && endsLater(c, latest) {
			latest = c
		}
	}
	for _, e := range latest {
		if err := apply(s, e); err != nil {
			return err
		}
		w.Append(e.Records)
	}
	w.Seal()
	return nil
}

// endsLater reports whether a ends with a later entry than b.
func endsLater(a, b []recordlog.Entry) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) > 0
	}
	x, y := a[len(a)-1], b[len(b)-1]
	if x.Epoch != y.Epoch {
		return x.Epoch > y.Epoch
	}
	return x.Sequence > y.Sequence
}
