package recordlog_test

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/seed"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/recordlog"
)

func sample() recordlog.Entry {
	return recordlog.Entry{
		Epoch:       3,
		Sequence:    7,
		Writer:      "vake-1",
		Incarnation: 9,
		Records: []place.Record{{
			Kind:   place.TaskPlaced,
			At:     1,
			Worker: "w",
			Task: spoolsill.TaskID{
				Job:   "job",
				Index: 2,
			},
		}},
	}
}

func TestEntryRoundTrip(t *testing.T) {
	c := qt.New(t)
	b, err := recordlog.Encode(sample())
	c.Assert(err, qt.IsNil)
	e, err := recordlog.Decode(b)
	c.Assert(err, qt.IsNil)
	c.Assert(e, qt.DeepEquals, sample())
}

func TestDecodeRejectsDamagedAndNewerEntries(t *testing.T) {
	c := qt.New(t)
	b, err := recordlog.Encode(sample())
	c.Assert(err, qt.IsNil)
	for i := 1; i < len(b); i++ {
		x := append([]byte(nil), b...)
		x[i] ^= 0x40
		_, err := recordlog.Decode(x)
		c.Assert(errors.Is(err, recordlog.ErrDamaged), qt.IsTrue, qt.Commentf("byte %d: %v", i, err))
	}
	b[0] = recordlog.Format + 1
	_, err = recordlog.Decode(b)
	c.Assert(errors.Is(err, recordlog.ErrNewerFormat), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*format 2, this program reads up to 1")
	_, err = recordlog.Decode(nil)
	c.Assert(errors.Is(err, recordlog.ErrDamaged), qt.IsTrue)
}

func FuzzDecode(f *testing.F) {
	b, err := recordlog.Encode(sample())
	qt.Assert(f, err, qt.IsNil)
	f.Add(b)
	f.Add([]byte{})
	f.Add([]byte{2, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := recordlog.Decode(b)
		if err != nil && !errors.Is(err, recordlog.ErrDamaged) && !errors.Is(err, recordlog.ErrNewerFormat) {
			t.Fatal(err)
		}
	})
}

// A writerModel drives a writer against a model of a table that loses replies and of a
// host that accepts or rejects copies.
type writerModel struct {
	writer        *recordlog.Writer
	rows          map[spoolsill.Sequence]string
	copies        recordlog.Copies
	writeInFlight *recordlog.Action
	copyInFlight  *recordlog.Action
	records       int
}

// write starts a write, or completes the one in flight.
func (m *writerModel) write(t *rapid.T) {
	if m.writeInFlight == nil {
		if a := m.writer.NextWrite(); a.Kind == recordlog.ActionWrite {
			m.writeInFlight = &a
		}
		return
	}
	outcome := rapid.IntRange(0, 2).Draw(t, "outcome")
	if outcome > 0 {
		m.put(t, m.writeInFlight.Entries)
	}
	// Outcome 0: not applied. Outcome 1: applied, and the reply is lost. Outcome 2:
	// applied and acknowledged.
	m.writer.WriteDone(outcome == 2)
	m.writeInFlight = nil
}

// put writes entries to the table. It fails the test if only some of them are already
// there, or if one would be changed.
func (m *writerModel) put(t *rapid.T, entries []recordlog.Entry) {
	present := 0
	for _, e := range entries {
		if old, ok := m.rows[e.Sequence]; ok {
			present++
			if old != text(e) {
				t.Fatalf("entry %d: %s would overwrite %s", e.Sequence, text(e), old)
			}
		}
	}
	if present > 0 && present < len(entries) {
		t.Fatalf("write of %d entries, of which %d are already in the table", len(entries), present)
	}
	for _, e := range entries {
		m.rows[e.Sequence] = text(e)
	}
}

func text(e recordlog.Entry) string {
	return fmt.Sprint(e.Sequence, e.Records)
}

func (m *writerModel) add(t *rapid.T) {
	var list []place.Record
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		m.records++
		list = append(list, place.Record{
			Kind: place.PlanApplied,
			At:   int64(m.records),
		})
	}
	m.writer.Append(list)
	m.writer.Seal()
}

func (m *writerModel) copy(t *rapid.T) {
	if m.copyInFlight == nil {
		if a := m.writer.NextCopy(); a.Kind == recordlog.ActionCopy {
			m.copyInFlight = &a
		}
		return
	}
	e := m.copyInFlight.Entries
	ok := rapid.Bool().Draw(t, "copied")
	if ok {
		m.copies.Add(1, e)
	}
	m.writer.CopyDone(e[len(e)-1].Sequence, ok)
	m.copyInFlight = nil
}

// check verifies that all entries that count as durable are in the table or among the
// copies that follow it without a gap.
func (m *writerModel) check(t *rapid.T) {
	if int(m.writer.Stored()) > len(m.rows) {
		t.Fatalf("%d entries count as stored, but the table has %d", m.writer.Stored(), len(m.rows))
	}
	kept := m.writer.Stored() + spoolsill.Sequence(len(m.copies.After(0, m.writer.Stored())))
	if m.writer.Durable() > kept {
		t.Fatalf("entry %d counts as durable, but only %d entries are kept", m.writer.Durable(), kept)
	}
}

// checkWriter returns the property that durable entries are kept. With noPeers, the writer
// makes no copies.
func checkWriter(noPeers bool) func(*rapid.T) {
	return func(t *rapid.T) {
		m := &writerModel{
			rows: map[spoolsill.Sequence]string{},
			writer: recordlog.NewWriter(recordlog.Config{
				Epoch:    1,
				HasPeers: !noPeers,
			}),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"add":    m.add,
			"write":  m.write,
			"write2": m.write,
			"copy":   m.copy,
		})
	}
}

func TestDurableEntriesAreKept(t *testing.T) {
	rapid.Check(t, checkWriter(false))
}

// The property must be violated by a writer that makes no copies.
func TestModelDetectsMissingCopies(t *testing.T) {
	qt.Assert(t, seed.FindsFailure(t, checkWriter(true)), qt.IsTrue)
}

func TestCopiesOfEarlierEpochAreRejected(t *testing.T) {
	c := qt.New(t)
	var x recordlog.Copies
	c.Assert(x.Add(2, []recordlog.Entry{{
		Epoch:    2,
		Sequence: 5,
	}}), qt.IsTrue)
	c.Assert(x.Add(1, []recordlog.Entry{{
		Epoch:    1,
		Sequence: 6,
	}}), qt.IsFalse)
	x.Fence(3)
	c.Assert(x.Add(2, nil), qt.IsFalse)
	c.Assert(x.After(2, 4), qt.HasLen, 1)
	c.Assert(x.After(3, 4), qt.HasLen, 0)
	c.Assert(x.Add(3, []recordlog.Entry{{
		Epoch:    3,
		Sequence: 9,
	}}), qt.IsTrue)
	c.Assert(x.After(0, 4), qt.HasLen, 0)
}

// A restarted host has lost the copies that it acknowledged before. If such an
// acknowledgement, arriving late, were mistaken for the reply to a copy sent after the
// restart, entries would count as durable of which the other host has no copy, and
// confirmed jobs would be lost with the holder. Copy calls carry no number, so only one is
// in flight at a time, and a restart invalidates its reply.
func TestCopyAcknowledgedBeforeRestartDoesNotCount(t *testing.T) {
	c := qt.New(t)
	w := recordlog.NewWriter(recordlog.Config{
		Epoch:    1,
		HasPeers: true,
	})
	w.Append([]place.Record{{
		Kind: place.PlanApplied,
	}})
	w.Seal()
	c.Assert(w.NextCopy().Kind, qt.Equals, recordlog.ActionCopy)
	w.PeerRestarted()
	again := w.NextCopy()
	w.CopyDone(1, true) // the reply from before the restart
	c.Assert(w.Durable(), qt.Equals, spoolsill.Sequence(0))
	if again.Kind == recordlog.ActionCopy {
		w.CopyDone(1, false)
	}
	c.Assert(w.NextCopy().Kind, qt.Equals, recordlog.ActionCopy)
	w.CopyDone(1, true)
	c.Assert(w.Durable(), qt.Equals, spoolsill.Sequence(1))
}
