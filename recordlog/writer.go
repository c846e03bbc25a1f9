package recordlog

import (
	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// An ActionKind is the kind of an [Action].
type ActionKind int

// The kinds of actions.
const (
	ActionNone  ActionKind = iota
	ActionWrite            // write Entries to the table in one transaction
	ActionCopy             // copy Entries to every other host of the hall
)

// MaxTxnEntries is the largest number of entries in one table transaction.
const MaxTxnEntries = 32

// An Action is what the caller of [Writer.NextWrite] or [Writer.NextCopy] has to do.
type Action struct {
	Kind    ActionKind
	Entries []Entry
}

// A Config configures a [Writer].
type Config struct {
	Host        spoolsill.HostID
	Incarnation spoolsill.Incarnation
	Epoch       spoolsill.Epoch
	// Last is the sequence number of the newest entry in the table.
	Last spoolsill.Sequence
	// HasPeers reports that the hall has other hosts to copy entries to. If it has none,
	// entries count as durable in memory alone while the table is unavailable.
	HasPeers bool
}

// A Writer makes entries durable in order. It performs no I/O: it tells its caller what
// to write and copy, and is told the results. It is not safe for concurrent use.
type Writer struct {
	config        Config
	pending       []place.Record     // not yet in an entry
	unstored      []Entry            // not in the table yet, in order
	copied        spoolsill.Sequence // the last entry that every other host has a copy of
	durable       spoolsill.Sequence // the last durable entry; it never decreases
	lastSealed    spoolsill.Sequence // the last entry created
	stored        spoolsill.Sequence // the last entry in the table
	writeInFlight bool
	copyInFlight  bool
	// copyInvalid reports that a host has restarted since the copy in flight began, so
	// that it may have lost what it acknowledged. The next copy waits for the pending
	// reply, which could otherwise be taken for its own.
	copyInvalid bool
	batch       []Entry // of the write in flight, or of one that may have taken effect
}

// NewWriter returns a writer whose first entry follows c.Last.
func NewWriter(c Config) *Writer {
	return &Writer{
		config:     c,
		lastSealed: c.Last,
		stored:     c.Last,
		copied:     c.Last,
	}
}

// Append adds records for the next entry. They are durable once [Writer.Durable] reaches
// the sequence number that the following [Writer.Seal] returns.
func (w *Writer) Append(records []place.Record) {
	w.pending = append(w.pending, records...)
}

// Seal groups the pending records into entries and returns the sequence number of the
// last entry.
func (w *Writer) Seal() spoolsill.Sequence {
	for len(w.pending) > 0 {
		n := min(len(w.pending), MaxRecords)
		w.lastSealed++
		w.unstored = append(w.unstored, Entry{
			Epoch:       w.config.Epoch,
			Sequence:    w.lastSealed,
			Writer:      w.config.Host,
			Incarnation: w.config.Incarnation,
			Records:     w.pending[:n:n],
		})
		w.pending = w.pending[n:]
	}
	return w.lastSealed
}

// Durable returns the sequence number of the newest durable entry: one that is in the
// table, or that every other host of the hall has a copy of.
func (w *Writer) Durable() spoolsill.Sequence {
	w.durable = max(w.durable, w.stored, w.copied)
	return w.durable
}

// PeerRestarted tells w that another host of the hall has restarted and lost its copies,
// so that all entries missing from the table are copied again. Entries that were durable
// before still count as durable.
func (w *Writer) PeerRestarted() {
	w.Durable()
	w.copied = w.stored
	w.copyInvalid = w.copyInFlight
}

// Stored returns the sequence number of the newest entry known to be in the table.
func (w *Writer) Stored() spoolsill.Sequence {
	return w.stored
}

// Unstored returns the entries that are not known to be in the table.
func (w *Writer) Unstored() []Entry {
	return append([]Entry(nil), w.unstored...)
}

// UnstoredCount returns the number of entries that are not known to be in the table.
func (w *Writer) UnstoredCount() int {
	return len(w.unstored)
}

// NextWrite returns the next write to the table, if there is one to start. After a
// failed write it returns the same entries again.
func (w *Writer) NextWrite() Action {
	if w.writeInFlight || len(w.unstored) == 0 {
		return Action{}
	}
	w.writeInFlight = true
	if len(w.batch) == 0 {
		n := min(len(w.unstored), MaxTxnEntries)
		w.batch = append([]Entry(nil), w.unstored[:n]...)
	}
	return Action{
		Kind:    ActionWrite,
		Entries: w.batch,
	}
}

// NextCopy returns the entries to copy to the other hosts, if there are any. It must be
// called only while the table is unavailable and the host holds the lease.
func (w *Writer) NextCopy() Action {
	if w.copyInFlight || max(w.stored, w.copied) >= w.lastSealed {
		return Action{}
	}
	if !w.config.HasPeers {
		w.copied = w.lastSealed
		return Action{}
	}
	var uncopied []Entry
	for _, e := range w.unstored {
		if e.Sequence > w.copied {
			uncopied = append(uncopied, e)
		}
	}
	if len(uncopied) == 0 {
		return Action{}
	}
	w.copyInFlight = true
	return Action{
		Kind:    ActionCopy,
		Entries: uncopied,
	}
}

// WriteDone records whether the write of the last [Writer.NextWrite] was applied.
// Entries that were not applied, or may not have been, are written again unchanged, so
// that they take effect once.
func (w *Writer) WriteDone(applied bool) {
	w.writeInFlight = false
	if !applied {
		return
	}
	w.stored = w.batch[len(w.batch)-1].Sequence
	w.batch = nil
	for len(w.unstored) > 0 && w.unstored[0].Sequence <= w.stored {
		w.unstored = w.unstored[1:]
	}
}

// CopyDone records the result of the last [Writer.NextCopy]: whether every other host of
// the hall has accepted the copies, of which upTo is the last.
func (w *Writer) CopyDone(upTo spoolsill.Sequence, accepted bool) {
	valid := w.copyInFlight && !w.copyInvalid
	w.copyInFlight = false
	w.copyInvalid = false
	if valid && accepted && upTo > w.copied {
		w.copied = upTo
	}
}
