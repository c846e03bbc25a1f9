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

// MaxTxnEntries is the maximum number of entries in one table transaction.
const MaxTxnEntries = 32

// An Action is an operation that the caller of [Writer.NextWrite] or [Writer.NextCopy] has
// to perform.
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
	// HasPeers is set if the hall has other hosts, to which entries can be copied. If it
	// is not set, entries that are only in memory count as durable while the table is
	// unavailable.
	HasPeers bool
}

// A Writer makes entries durable in order. It performs no I/O: its caller obtains the
// writes and copies to perform from it, and reports their results to it. It is not safe
// for concurrent use.
type Writer struct {
	config        Config
	pending       []place.Record     // not yet in an entry
	unstored      []Entry            // not known to be in the table, in order
	copied        spoolsill.Sequence // the last entry of which every other host has a copy
	durable       spoolsill.Sequence // the last durable entry; it never decreases
	lastSealed    spoolsill.Sequence // the last entry created
	stored        spoolsill.Sequence // the last entry known to be in the table
	writeInFlight bool
	copyInFlight  bool
	// copyInvalid is set if a host has restarted since the copy in flight was started. The
	// host may then have lost entries that it acknowledged. The next copy is started only
	// after the pending result was reported, which could otherwise be mistaken for its
	// own.
	copyInvalid bool
	batch       []Entry // of the write in flight, or of a failed write that may have been applied
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

// Append adds records to the next entry. They are durable once [Writer.Durable] reaches
// the sequence number that the following call of [Writer.Seal] returns.
func (w *Writer) Append(records []place.Record) {
	w.pending = append(w.pending, records...)
}

// Seal groups the records appended since the last call into entries. It returns the
// sequence number of the last entry created by this or an earlier call.
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
// table, or of which every other host of the hall has a copy.
func (w *Writer) Durable() spoolsill.Sequence {
	w.durable = max(w.durable, w.stored, w.copied)
	return w.durable
}

// PeerRestarted records that another host of the hall has restarted and lost its copies.
// All entries missing from the table are then copied again. Entries that were durable
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

// NextWrite returns the next write to the table, or an action of kind ActionNone if there
// is none to start. After a failed write it returns the same entries again.
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

// NextCopy returns the entries to copy to the other hosts, or an action of kind ActionNone
// if there is no copy to start. It must be called only while the table is unavailable and
// the host holds the lease.
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

// WriteDone records whether the write returned by the last [Writer.NextWrite] is known to
// have been applied. If not, the same entries are written again unchanged, so that they
// take effect only once.
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

// CopyDone records the result of the copy returned by the last [Writer.NextCopy]: whether
// every other host of the hall has accepted the entries, the last of which is upTo.
func (w *Writer) CopyDone(upTo spoolsill.Sequence, accepted bool) {
	valid := w.copyInFlight && !w.copyInvalid
	w.copyInFlight = false
	w.copyInvalid = false
	if valid && accepted && upTo > w.copied {
		w.copied = upTo
	}
}
