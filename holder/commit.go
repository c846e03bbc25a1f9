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

// Waits between failed table writes.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = 2 * time.Second
)

// errDeposed is returned when another host has taken the lease over.
var errDeposed = errors.New("holder: deposed")

// pump moves the journal on and does what has come to last.
func (t *tenure) pump() {
	silent := t.h.config.Table.Silent()
	held := t.holds()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.release()
	if held {
		t.copyOut(silent)
	}
	if t.silent && !silent {
		// What waits since the table fell silent is in the memory of the hall's
		// hosts only, and should be no longer than it must.
		t.retry = time.Time{}
	}
	t.silent = silent
	if time.Now().Before(t.retry) {
		return
	}
	a := t.writer.NextWrite()
	if a.Kind != recordlog.ActionWrite {
		return
	}
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.write(a.Entries)
	}()
}

// copyOut hands entries to the hall's other hosts while the table is silent.
// The lock is held.
func (t *tenure) copyOut(silent bool) {
	if !silent {
		return
	}
	a := t.writer.NextCopy()
	if a.Kind != recordlog.ActionCopy {
		t.release()
		return
	}
	t.copied = true
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		t.copy(a.Entries)
	}()
}

func (t *tenure) copy(entries []recordlog.Entry) {
	ctx, cancel := context.WithTimeout(t.ctx, time.Second)
	defer cancel()
	all := true
	for _, h := range t.h.config.Hosts {
		if h == t.h.config.Host {
			continue
		}
		all = t.h.config.Peers.Copy(ctx, h, t.epoch, 0, entries) && all
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writer.CopyDone(entries[len(entries)-1].Sequence, all)
	t.release()
}

// write writes entries to the table.
func (t *tenure) write(entries []recordlog.Entry) {
	err := t.commit(entries)
	if errors.Is(err, errDeposed) {
		t.h.event(timeline.Event{
			Kind: timeline.KindLease,
			Text: "the table refused the journal: another host has the lease",
		})
		t.cancel()
		return
	}
	stored, ok := t.wrote(err)
	if ok {
		t.h.stored(recordlog.Position{
			Epoch:    t.epoch,
			Sequence: stored,
		})
	}
}

// wrote takes in what became of a write, and returns the last entry in the
// table when it succeeded.
func (t *tenure) wrote(err error) (spoolsill.Sequence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writer.WriteDone(err == nil)
	if err != nil {
		t.backOff()
		return 0, false
	}
	t.failed = 0
	t.retry = time.Time{}
	t.release()
	t.dropCopies()
	t.maybeSnapshot()
	return t.writer.Stored(), true
}

// dropCopies tells the hall's other hosts which copies the table has now. The
// lock is held.
func (t *tenure) dropCopies() {
	if !t.copied || t.writer.UnstoredCount() > 0 {
		return
	}
	t.copied = false
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

func (t *tenure) backOff() {
	d := min(minRetry<<min(t.failed, 8), maxRetry)
	t.failed++
	t.retry = time.Now().Add(d/2 + rand.N(d/2+1))
}

// commit writes entries in one transaction. It returns nil when they stand,
// errDeposed when they never will, and another error when that is not known.
func (t *tenure) commit(entries []recordlog.Entry) error {
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
	return t.conflict(r.Conflicts, x.Puts)
}

// conflict tells an own write whose answer was lost, which stands to the
// letter, from one of another host.
func (t *tenure) conflict(rows []table.Row, puts []table.Put) error {
	written := map[string][]byte{}
	for _, p := range puts {
		written[p.Key] = p.Value
	}
	for _, r := range rows {
		b, ok := written[r.Key]
		if !ok || !bytes.Equal(b, r.Value) {
			return errDeposed
		}
		delete(written, r.Key)
	}
	if len(written) > 0 {
		return errDeposed
	}
	return nil
}

// loadPage is the number of journal rows read at a time.
const loadPage = 500

// load rebuilds the state from what the former holder left. It tries until
// the tenure ends, and reports whether it succeeded.
func (t *tenure) load() bool {
	for {
		err := t.tryLoad()
		if err == nil {
			t.h.joined()
			return true
		}
		t.h.config.Log.WithError(err).Warn("the hall's record can't be loaded yet")
		t.h.event(timeline.Event{
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
	first := last.Sequence
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
	if err := t.adopt(s, w, last); err != nil {
		return err
	}
	t.h.stored(last)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state = s
	t.writer = w
	t.snap.last = first
	return nil
}

// readEpoch learns the version of the epoch row, on which all writes of the
// tenure are conditional.
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
		return errDeposed
	}
	t.version = row.Version
	return nil
}

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

func (t *tenure) readJournal(s *place.State, last recordlog.Position) (recordlog.Position, error) {
	for {
		rows, err := t.h.config.Table.List(t.ctx, recordlog.Prefix(t.h.config.Hall), recordlog.Key(t.h.config.Hall, last.Sequence), loadPage)
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
		if len(rows) < loadPage {
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

// adopt takes over the entries that the former holder could only copy to the
// hosts of the hall, this one or another.
func (t *tenure) adopt(s *place.State, w *recordlog.Writer, last recordlog.Position) error {
	best, _ := t.h.Copies(t.epoch, last)
	for _, h := range t.h.config.Hosts {
		if h == t.h.config.Host {
			continue
		}
		ctx, cancel := context.WithTimeout(t.ctx, time.Second)
		c, _, err := t.h.config.Peers.Copies(ctx, h, last)
		cancel()
		if err == nil && newer(c, best) {
			best = c
		}
	}
	for _, e := range best {
		if err := apply(s, e); err != nil {
			return err
		}
		w.Append(e.Records)
	}
	w.Seal()
	return nil
}

// newer reports whether the copies a tell more than b.
func newer(a, b []recordlog.Entry) bool {
	if len(a) == 0 || len(b) == 0 {
		return len(a) > 0
	}
	x, y := a[len(a)-1], b[len(b)-1]
	if x.Epoch != y.Epoch {
		return x.Epoch > y.Epoch
	}
	return x.Sequence > y.Sequence
}
