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
		Epoch:    3,
		Sequence: 7,
		Writer:   "vake-1",
		Life:     9,
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

func TestDamagedAndFutureEntriesAreRefusedByName(t *testing.T) {
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
	c.Assert(errors.Is(err, recordlog.ErrFuture), qt.IsTrue)
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
		if err != nil && !errors.Is(err, recordlog.ErrDamaged) && !errors.Is(err, recordlog.ErrFuture) {
			t.Fatal(err)
		}
	})
}

// A store drives a writer against a table whose answers get lost and hosts
// that take copies or don't.
type store struct {
	writer  *recordlog.Writer
	rows    map[spoolsill.Sequence]string
	copies  recordlog.Copies
	under   *recordlog.Action
	copying *recordlog.Action
	records int
}

// write begins a write, or ends the one that is under way.
func (s *store) write(t *rapid.T) {
	if s.under == nil {
		if a := s.writer.Next(); a.Kind == recordlog.Write {
			s.under = &a
		}
		return
	}
	outcome := rapid.IntRange(0, 2).Draw(t, "outcome")
	if outcome > 0 {
		s.put(t, s.under.Entries)
	}
	// Outcome 1: it took effect and the answer is lost.
	s.writer.Wrote(outcome == 2)
	s.under = nil
}

// put writes entries whole, or finds that they stand already.
func (s *store) put(t *rapid.T, entries []recordlog.Entry) {
	stand := 0
	for _, e := range entries {
		if old, ok := s.rows[e.Sequence]; ok {
			stand++
			if old != text(e) {
				t.Fatalf("entry %d is written as %s over %s", e.Sequence, text(e), old)
			}
		}
	}
	if stand > 0 && stand < len(entries) {
		t.Fatalf("a write of %d entries of which %d stand", len(entries), stand)
	}
	for _, e := range entries {
		s.rows[e.Sequence] = text(e)
	}
}

func text(e recordlog.Entry) string {
	return fmt.Sprint(e.Sequence, e.Records)
}

func (s *store) add(t *rapid.T) {
	var list []place.Record
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		s.records++
		list = append(list, place.Record{
			Kind: place.PlanApplied,
			At:   int64(s.records),
		})
	}
	s.writer.Append(list)
	s.writer.Cut()
}

func (s *store) copy(t *rapid.T) {
	if s.copying == nil {
		if a := s.writer.NextCopy(); a.Kind == recordlog.Copy {
			s.copying = &a
		}
		return
	}
	e := s.copying.Entries
	ok := rapid.Bool().Draw(t, "copied")
	if ok {
		s.copies.Add(1, e)
	}
	s.writer.Copied(e[len(e)-1].Sequence, ok)
	s.copying = nil
}

// check verifies that what counts as lasting stands in the table, or with the
// other host, without a gap.
func (s *store) check(t *rapid.T) {
	if int(s.writer.Stored()) > len(s.rows) {
		t.Fatalf("%d entries count as stored, the table has %d", s.writer.Stored(), len(s.rows))
	}
	have := s.writer.Stored() + spoolsill.Sequence(len(s.copies.After(0, s.writer.Stored())))
	if s.writer.Lasting() > have {
		t.Fatalf("entry %d counts as lasting, only %d are kept", s.writer.Lasting(), have)
	}
}

func writerKeeps(drop bool) func(*rapid.T) {
	return func(t *rapid.T) {
		s := &store{
			rows: map[spoolsill.Sequence]string{},
			writer: recordlog.NewWriter(recordlog.Config{
				Epoch:  1,
				Copies: !drop,
			}),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       s.check,
			"add":    s.add,
			"write":  s.write,
			"write2": s.write,
			"copy":   s.copy,
		})
	}
}

func TestWhatCountsAsLastingIsKept(t *testing.T) {
	rapid.Check(t, writerKeeps(false))
}

func TestLastingNeedsCopies(t *testing.T) {
	qt.Assert(t, seed.Fails(t, writerKeeps(true)), qt.IsTrue)
}

func TestCopiesOfAnEarlierEpochAreRefused(t *testing.T) {
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

// A copy that a host answered in its former life counts for nothing: the host
// has forgotten it. The answer used to be taken for that of the call that was
// made after the restart was heard of, so that entries counted as lasting of
// which the other host had no copy; a holder that died then took jobs along
// that were confirmed. The calls have no number: while one is out, no other is
// made, and a restart voids it.
func TestCopiesTakenByAFormerLifeDoNotCount(t *testing.T) {
	c := qt.New(t)
	w := recordlog.NewWriter(recordlog.Config{
		Epoch:  1,
		Copies: true,
	})
	w.Append([]place.Record{{
		Kind: place.PlanApplied,
	}})
	w.Cut()
	c.Assert(w.NextCopy().Kind, qt.Equals, recordlog.Copy)
	w.Forgot()
	again := w.NextCopy()
	w.Copied(1, true) // the former life's answer
	c.Assert(w.Lasting(), qt.Equals, spoolsill.Sequence(0))
	if again.Kind == recordlog.Copy {
		w.Copied(1, false)
	}
	c.Assert(w.NextCopy().Kind, qt.Equals, recordlog.Copy)
	w.Copied(1, true)
	c.Assert(w.Lasting(), qt.Equals, spoolsill.Sequence(1))
}
