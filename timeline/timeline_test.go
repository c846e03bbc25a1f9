package timeline_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/timeline"
)

func clockAt(t *time.Time) *timeline.Clock {
	return &timeline.Clock{
		Now: func() time.Time { return *t },
	}
}

// Timestamps that two clocks exchange must be in causal order, even if the wall clock of
// one of them is seconds behind and steps backwards.
func TestTimestampsAreCausallyOrdered(t *testing.T) {
	c := qt.New(t)
	ahead, behind := time.UnixMicro(10_000_000), time.UnixMicro(1_000_000)
	a, b := clockAt(&ahead), clockAt(&behind)
	last := a.Tick()
	for i := range 40 {
		from, to := a, b
		if i%2 == 1 {
			from, to = b, a
		}
		s := from.Tick()
		c.Assert(to.Observe(s), qt.IsTrue)
		e := to.Tick()
		c.Assert(e.Compare(s), qt.Equals, 1)
		c.Assert(s.Compare(last), qt.Equals, 1)
		last = e
		behind = behind.Add(-time.Second)
	}
}

func TestObserveRejectsTimestampFarAhead(t *testing.T) {
	c := qt.New(t)
	now := time.UnixMicro(1_000_000)
	k := clockAt(&now)
	c.Assert(k.Observe(timeline.Timestamp{
		Wall: now.Add(2 * timeline.MaxSkew).UnixMicro(),
	}), qt.IsFalse)
	c.Assert(k.Tick().Wall, qt.Equals, now.UnixMicro())
}

func TestRingKeepsNewestEvents(t *testing.T) {
	c := qt.New(t)
	r := timeline.NewRing(timeline.Config{
		Host: "h",
		Size: 4,
	})
	for i := range 10 {
		r.Add(timeline.Event{
			Text: fmt.Sprint(i),
		})
	}
	var got []string
	for _, e := range r.Select(timeline.Filter{}, 3) {
		got = append(got, e.Text)
	}
	c.Assert(got, qt.DeepEquals, []string{"7", "8", "9"})
	c.Assert(r.Select(timeline.Filter{
		Job: "none",
	}, 0), qt.HasLen, 0)
}

func ExampleMerge() {
	now := time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
	clock := clockAt(&now)
	first := timeline.NewRing(timeline.Config{
		Host:  "vake-1",
		Clock: clock,
	})
	second := timeline.NewRing(timeline.Config{
		Host:  "vake-2",
		Clock: clock,
	})
	first.Add(timeline.Event{
		Text: "sent",
	})
	second.Add(timeline.Event{
		Text: "received",
	})
	for _, e := range timeline.Merge(second.Select(timeline.Filter{}, 0), first.Select(timeline.Filter{}, 0)) {
		fmt.Println(e.At, e.Host, e.Text)
	}
	// Output:
	// 20:00:00.000000+0 vake-1 sent
	// 20:00:00.000000+1 vake-2 received
}
