package advisor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill/advisor"
)

const valid = 2 * time.Second

func TestMeterHasHysteresis(t *testing.T) {
	c := qt.New(t)
	var m advisor.Meter
	for _, s := range []struct {
		wait  time.Duration
		short bool
	}{
		{
			wait:  900 * time.Millisecond,
			short: false,
		},
		{
			wait:  1100 * time.Millisecond,
			short: true,
		},
		{
			wait:  600 * time.Millisecond,
			short: true,
		},
		{
			wait:  400 * time.Millisecond,
			short: false,
		},
		{
			wait:  600 * time.Millisecond,
			short: false,
		},
	} {
		m.Observe(advisor.Demand{
			InFlight: 4 * s.wait,
			Wanted:   6 * s.wait,
			Places:   10,
		}, valid)
		c.Assert(m.Short(), qt.Equals, s.short, qt.Commentf("%v", s))
	}
}

func TestTimeIsNotShortWhileAllQueriesAreMade(t *testing.T) {
	var m advisor.Meter
	m.Observe(advisor.Demand{
		InFlight: 2 * valid,
		Places:   1,
	}, valid)
	qt.Assert(t, m.Short(), qt.IsFalse)
}

func TestAdvisorWithoutHostsIsShort(t *testing.T) {
	var m advisor.Meter
	m.Observe(advisor.Demand{
		Wanted: 2 * valid,
	}, valid)
	qt.Assert(t, m.Short(), qt.IsTrue)
}

// Each queue has a share of the places, and work that earns nothing any more has a few beyond those.
func TestAdmit(t *testing.T) {
	budget := advisor.Budget{
		Places:   8,
		InFlight: 10,
		OfQueue:  5,
		Queues:   2,
		Valid:    valid,
	}
	inTime := advisor.Stage{
		Worthless: false,
	}
	leftover := advisor.Stage{
		Worthless: true,
	}
	qt.Assert(t, budget.Admit(inTime), qt.IsFalse)
	qt.Assert(t, budget.Admit(leftover), qt.IsTrue)
	budget.InFlight = 11
	qt.Assert(t, budget.Admit(leftover), qt.IsFalse)
	budget.OfQueue = 4
	qt.Assert(t, budget.Admit(inTime), qt.IsTrue)
	qt.Assert(t, budget.Admit(leftover), qt.IsTrue)
	budget.OfQueue = 5
	budget.InFlight = 9
	qt.Assert(t, budget.Admit(inTime), qt.IsTrue)
}

// A stage is asked about at some time whatever room there is, and soon beside room for all of its
// tasks.
func TestWorthwhile(t *testing.T) {
	budget := advisor.Budget{
		Valid: valid,
	}
	for _, s := range []struct {
		waited     time.Duration
		tasks      int
		room       advisor.Room
		worthwhile bool
	}{
		{waited: 0, tasks: 5, room: advisor.Room{Seats: 3, Expected: 0.9}, worthwhile: false},
		{waited: 0, tasks: 5, room: advisor.Room{Seats: 3, Expected: 1}, worthwhile: true},
		{waited: 2*valid - time.Millisecond, tasks: 5, room: advisor.Room{}, worthwhile: false},
		{waited: 2 * valid, tasks: 5, room: advisor.Room{}, worthwhile: true},
		{waited: 0, tasks: 1, room: advisor.Room{Seats: 1, Expected: 0.3}, worthwhile: false},
		{waited: time.Second, tasks: 1, room: advisor.Room{Seats: 1, Expected: 0.3}, worthwhile: true},
		{waited: time.Second, tasks: 2, room: advisor.Room{Seats: 1, Expected: 0.3}, worthwhile: false},
	} {
		got := budget.Worthwhile(advisor.Stage{
			Tasks:  s.tasks,
			Waited: s.waited,
		}, s.room)
		qt.Check(t, got, qt.Equals, s.worthwhile, qt.Commentf("%v", s))
	}
}

func drawCandidates(t *rapid.T) []advisor.Candidate {
	stage := rapid.Uint64().Draw(t, "stage")
	var cs []advisor.Candidate
	for i := range rapid.IntRange(0, 200).Draw(t, "candidates") {
		cs = append(cs, advisor.Candidate{
			Index:  i,
			Seats:  rapid.IntRange(1, 4).Draw(t, "seats"),
			Share:  rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "share"),
			Spread: advisor.Spread(stage, i),
		})
	}
	return cs
}

// A query is about at most as many workers as allowed, and beyond the least number about no more than
// are expected to seat the tasks with some headroom.
func TestDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := drawCandidates(t)
		w := advisor.Target{
			Tasks:   rapid.IntRange(1, 100).Draw(t, "tasks"),
			AtLeast: rapid.IntRange(0, 30).Draw(t, "least"),
			AtMost:  100,
		}
		drawn := advisor.Draw(cs, w)
		if len(drawn) > w.AtMost {
			t.Fatalf("%d workers", len(drawn))
		}
		if len(drawn) < min(w.AtLeast, len(cs)) {
			t.Fatalf("%d of %d workers, at least %d are wanted", len(drawn), len(cs), w.AtLeast)
		}
		seen := map[int]bool{}
		for _, c := range drawn {
			if seen[c.Index] {
				t.Fatalf("worker %d twice", c.Index)
			}
			seen[c.Index] = true
		}
		if len(drawn) > w.AtLeast && advisor.RoomOf(drawn[:len(drawn)-1]).Expected >= 2*float64(w.Tasks) {
			t.Fatalf("%d workers, fewer seat all %d tasks twice", len(drawn), w.Tasks)
		}
	})
}

// Concurrent queries for stages that have the same workers to choose from are about different ones.
func TestDrawIsSpread(t *testing.T) {
	const workers, stages, width = 300, 20, 30
	named := map[int]int{}
	for stage := range uint64(stages) {
		var cs []advisor.Candidate
		for i := range workers {
			cs = append(cs, advisor.Candidate{
				Index:  i,
				Seats:  1,
				Share:  0.5,
				Spread: advisor.Spread(stage*0x9e3779b97f4a7c15, i),
			})
		}
		drawn := advisor.Draw(cs, advisor.Target{
			Tasks:   1,
			AtLeast: width,
			AtMost:  width,
		})
		for _, c := range drawn {
			named[c.Index]++
		}
	}
	most := 0
	for _, n := range named {
		most = max(most, n)
	}
	// Each worker is named twice on average.
	qt.Assert(t, most <= 8, qt.IsTrue, qt.Commentf("one worker is named by %d of %d stages", most, stages))
	qt.Assert(t, len(named) > workers/2, qt.IsTrue)
}

func TestShareIsLearnt(t *testing.T) {
	var s advisor.Share
	qt.Assert(t, s.Expected(), qt.Equals, 0.5)
	s.Observe(0, 0) // tells nothing
	qt.Assert(t, s.Expected(), qt.Equals, 0.5)
	for range 50 {
		s.Observe(7, 20)
	}
	qt.Assert(t, s.Expected() > 0.34 && s.Expected() < 0.36, qt.IsTrue)
	for range 100 {
		s.Observe(0, 20)
	}
	qt.Assert(t, s.Expected(), qt.Equals, 0.05)
}

// The hosts reserved for short queries follow the time that these take.
func TestReserveFollowsTheRate(t *testing.T) {
	now := time.Unix(1000, 0)
	var r advisor.Rate
	qt.Assert(t, advisor.Reserve(r.At(now)), qt.Equals, 0)
	// Two hosts are kept busy.
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		r.Add(now, 40*time.Millisecond)
	}
	busy := r.At(now)
	qt.Assert(t, busy > 1.9 && busy < 2.1, qt.IsTrue, qt.Commentf("%v", busy))
	qt.Assert(t, advisor.Reserve(busy), qt.Equals, 4)
	qt.Assert(t, advisor.Reserve(r.At(now.Add(time.Minute))), qt.Equals, 0)
}
