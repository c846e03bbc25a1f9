package recordlog

import (
	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// ActionKind tells actions apart.
type ActionKind int

// The kinds of actions.
const (
	None  ActionKind = iota
	Write            // write Entries to the table in one transaction
	Copy             // hand Entries to every other host of the hall
)

// MaxGroup is the largest number of entries in one table transaction.
const MaxGroup = 32

// An Action is what the caller of [Writer.Next] has to do.
type Action struct {
	Kind    ActionKind
	Entries []Entry
}

// A Config describes a [Writer].
type Config struct {
	Host  spoolsill.HostID
	Life  spoolsill.Incarnation
	Epoch spoolsill.Epoch
	// Last is the sequence number of the newest entry that stands.
	Last spoolsill.Sequence
	// Copies says that there are other hosts in the hall to copy to. Without
	// any, a silent table is all there is, and entries last in memory only.
	Copies bool
}

// A Writer makes entries last, in order. It is not safe for concurrent use.
type Writer struct {
	config  Config
	pending []place.Record     // not yet in an entry
	open    []Entry            // not in the table yet, in order
	copied  spoolsill.Sequence // what every other host has a copy of now
	lasting spoolsill.Sequence // what has come to last; it never goes back
	last    spoolsill.Sequence // the last entry made
	stored  spoolsill.Sequence // the last entry in the table
	writing bool
	copying bool
	// void says that a host has restarted since the copying began: what it has
	// answered may be gone with its former life. No other copying begins before
	// the answer, which would be taken for the wrong one.
	void  bool
	group []Entry // of the write under way, or that may have taken effect
}

// NewWriter returns a writer that goes on after Config.Last.
func NewWriter(c Config) *Writer {
	return &Writer{
		config: c,
		last:   c.Last,
		stored: c.Last,
		copied: c.Last,
	}
}

// Append takes in records. They last once [Writer.Lasting] reaches the
// sequence number that [Writer.Cut] gives them.
func (w *Writer) Append(records []place.Record) {
	w.pending = append(w.pending, records...)
}

// Cut closes the pending records into entries and returns the number of the
// last entry.
func (w *Writer) Cut() spoolsill.Sequence {
	for len(w.pending) > 0 {
		n := min(len(w.pending), MaxRecords)
		w.last++
		w.open = append(w.open, Entry{
			Epoch:    w.config.Epoch,
			Sequence: w.last,
			Writer:   w.config.Host,
			Life:     w.config.Life,
			Records:  w.pending[:n:n],
		})
		w.pending = w.pending[n:]
	}
	return w.last
}

// Lasting returns the number of the newest entry that lasts: it stands in the
// table, or every other host of the hall has a copy.
func (w *Writer) Lasting() spoolsill.Sequence {
	w.lasting = max(w.lasting, w.stored, w.copied)
	return w.lasting
}

// Forgot says that another host of the hall has restarted: it needs copies of
// all that the table lacks. What has come to last before still does.
func (w *Writer) Forgot() {
	w.Lasting()
	w.copied = w.stored
	w.void = w.copying
}

// Stored returns the number of the newest entry that stands in the table.
func (w *Writer) Stored() spoolsill.Sequence {
	return w.stored
}

// Unstored returns the entries that the table lacks, as far as is known.
func (w *Writer) Unstored() []Entry {
	return append([]Entry(nil), w.open...)
}

// Open returns how many entries the table lacks.
func (w *Writer) Open() int {
	return len(w.open)
}

// Next returns the write to make, if there is one.
func (w *Writer) Next() Action {
	if w.writing || len(w.open) == 0 {
		return Action{}
	}
	w.writing = true
	if len(w.group) == 0 {
		n := min(len(w.open), MaxGroup)
		w.group = append([]Entry(nil), w.open[:n]...)
	}
	return Action{
		Kind:    Write,
		Entries: w.group,
	}
}

// NextCopy returns the entries to hand to the other hosts, if there are any.
// It is asked only while the table is silent and the host holds the lease.
func (w *Writer) NextCopy() Action {
	if w.copying || max(w.stored, w.copied) >= w.last {
		return Action{}
	}
	if !w.config.Copies {
		w.copied = w.last
		return Action{}
	}
	var missing []Entry
	for _, e := range w.open {
		if e.Sequence > w.copied {
			missing = append(missing, e)
		}
	}
	if len(missing) == 0 {
		return Action{}
	}
	w.copying = true
	return Action{
		Kind:    Copy,
		Entries: missing,
	}
}

// Wrote takes in whether the write took effect. What did not, or may not
// have, is written again as it is, so that it takes effect once.
func (w *Writer) Wrote(applied bool) {
	w.writing = false
	if !applied {
		return
	}
	w.stored = w.group[len(w.group)-1].Sequence
	w.group = nil
	for len(w.open) > 0 && w.open[0].Sequence <= w.stored {
		w.open = w.open[1:]
	}
}

// Copied takes in whether every other host of the hall has taken copies up to
// an entry: the answer to the last [Writer.NextCopy].
func (w *Writer) Copied(upTo spoolsill.Sequence, all bool) {
	valid := w.copying && !w.void
	w.copying = false
	w.void = false
	if valid && all && upTo > w.copied {
		w.copied = upTo
	}
}
