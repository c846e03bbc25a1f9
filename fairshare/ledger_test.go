package fairshare_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/fairshare"
	"github.com/spoolsill/spoolsill/forecast"
)

// start is a multiple of the interval at which work over a share is reviewed.
var start = time.Unix(1000, 0)

// newLedger returns a ledger of a cell with one core, in which a second of processor time is a second.
func newLedger(teams ...fairshare.Team) *fairshare.Ledger {
	l := &fairshare.Ledger{}
	l.SetTeams(teams)
	l.SetSupply(forecast.Supply{
		Processors: spoolsill.Core,
		Queries:    1,
	})
	l.Advance(start)
	return l
}

// work returns a job of a team that takes the cell for cost and may begin slack after at.
func work(id spoolsill.JobID, team spoolsill.TeamID, at, cost, slack time.Duration) fairshare.Job {
	return fairshare.Job{
		ID:       id,
		Team:     team,
		Received: start.Add(at),
		Cost: forecast.Cost{
			Processor: cost,
		},
		Slack: slack,
	}
}

func equalTeams() []fairshare.Team {
	return []fairshare.Team{
		{
			ID:     "a",
			Weight: 1,
		},
		{
			ID:     "b",
			Weight: 1,
		},
	}
}

func TestJobIsWithinTheShareIfTheTeamsPartGetsToIt(t *testing.T) {
	for _, tc := range []struct {
		name         string
		first, slack time.Duration
		over         bool
	}{
		{"no slack", time.Second, 0, true},
		{"half of the slack is too short", time.Second, 3900 * time.Millisecond, true},
		{"half of the slack is enough", time.Second, 4 * time.Second, false},
		{"twice the work", 2 * time.Second, 4 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLedger(equalTeams()...)
			qt.Assert(t, l.Charge(work("1", "a", 0, tc.first, 0)), qt.IsFalse)
			qt.Assert(t, l.Charge(work("2", "a", 0, time.Second, tc.slack)), qt.Equals, tc.over)
		})
	}
}

// One job may be more than a small team's part of a long time.
func TestTeamCanAlwaysHaveOneJob(t *testing.T) {
	l := newLedger(
		fairshare.Team{
			ID:     "small",
			Weight: 0.001,
		},
		fairshare.Team{
			ID:     "large",
			Weight: 1000,
		},
	)
	for i := range 100 {
		l.Charge(work(spoolsill.JobID(fmt.Sprint("l", i)), "large", 0, time.Minute, time.Second))
	}
	qt.Check(t, l.Charge(work("1", "small", 0, time.Hour, 0)), qt.IsFalse)
	qt.Check(t, l.Charge(work("2", "small", 0, time.Second, time.Minute)), qt.IsTrue)
}

// Urgent work of a team does not wait behind its own work that has time.
func TestUrgentWorkGoesBeforeTheTeamsOtherWork(t *testing.T) {
	l := newLedger(equalTeams()...)
	for i := range 10 {
		l.Charge(work(spoolsill.JobID(fmt.Sprint(i)), "a", 0, time.Second, 40*time.Second))
	}
	qt.Check(t, l.Charge(work("urgent", "a", 0, 100*time.Millisecond, time.Second)), qt.IsFalse)
	qt.Check(t, l.Charge(work("more", "a", 0, 100*time.Millisecond, time.Second)), qt.IsFalse)
}

// The advisor's time counts where it is what the cell has least of.
func TestAdviceIsCharged(t *testing.T) {
	l := newLedger(equalTeams()...)
	j := work("1", "a", 0, time.Millisecond, 0)
	j.Cost.Advice = time.Minute
	qt.Check(t, l.Charge(j), qt.IsFalse)
	qt.Check(t, l.Charge(work("2", "a", 0, time.Millisecond, time.Second)), qt.IsTrue)
}

// What other teams leave unused lets a team's work be worked off sooner.
func TestUnusedShareIsLent(t *testing.T) {
	for _, busy := range []bool{false, true} {
		l := newLedger(equalTeams()...)
		l.Charge(work("1", "a", 0, 4*time.Second, 0))
		if busy {
			l.Charge(work("b", "b", 0, time.Minute, 0))
		}
		over := l.Charge(work("2", "a", 3*time.Second, time.Second, 5*time.Second))
		qt.Check(t, over, qt.Equals, busy)
	}
}

func TestFitsWhileAllWorkCanBeInTime(t *testing.T) {
	l := newLedger(equalTeams()...)
	qt.Check(t, l.Fits(), qt.IsTrue)
	l.Charge(work("1", "a", 0, 4*time.Second, time.Second))
	l.Charge(work("2", "a", 0, 4*time.Second, 8*time.Second))
	qt.Check(t, l.Fits(), qt.IsTrue)
	l.Charge(work("3", "a", 0, 4*time.Second, 9*time.Second))
	qt.Check(t, l.Fits(), qt.IsFalse)
	l.Release("a", "1", forecast.Cost{})
	qt.Check(t, l.Fits(), qt.IsTrue)
}

func TestWorkOverTheShareIsAdmittedLater(t *testing.T) {
	l := newLedger(equalTeams()...)
	l.Charge(work("b", "b", 0, time.Hour, 0))
	l.Charge(work("1", "a", 0, 4*time.Second, 0))
	qt.Check(t, l.Charge(work("2", "a", 0, time.Second, 10*time.Second)), qt.IsTrue)
	qt.Check(t, l.Charge(work("3", "a", 0, time.Second, 2*time.Second)), qt.IsTrue)
	l.Advance(start.Add(5 * time.Second))
	qt.Check(t, l.Admitted(), qt.HasLen, 0, qt.Commentf("1.5 s are left, 3 s of the cell"))
	l.Advance(start.Add(8100 * time.Millisecond))
	qt.Check(t, l.Admitted(), qt.DeepEquals, []spoolsill.JobID{"2"}, qt.Commentf("the other can't begin in time"))
	qt.Check(t, l.Admitted(), qt.HasLen, 0)
}

// A leader that takes over work with objectives of days replays hours at once.
func TestLongTimesAreReplayedInFewSteps(t *testing.T) {
	l := newLedger(equalTeams()...)
	const day = 24 * time.Hour
	l.Charge(work("b", "b", 0, 1000*day, 0))
	l.Charge(work("1", "a", 0, 10*day, 0))
	qt.Check(t, l.Charge(work("2", "a", 0, day, 30*day)), qt.IsTrue)
	l.Advance(start.Add(25 * day))
	qt.Check(t, l.Admitted(), qt.DeepEquals, []spoolsill.JobID{"2"})
}

func TestReleaseReturnsWhatIsNotUsed(t *testing.T) {
	for _, tc := range []struct {
		used time.Duration
		over bool
	}{
		{0, false},
		{1500 * time.Millisecond, false},
		{5 * time.Second, true},
		{8 * time.Second, true},
	} {
		l := newLedger(equalTeams()...)
		l.Charge(work("b", "b", 0, time.Hour, 0))
		l.Charge(work("1", "a", 0, 8*time.Second, 0))
		l.Advance(start.Add(2 * time.Second)) // one second of it is worked off
		l.Release("a", "1", forecast.Cost{
			Processor: tc.used,
		})
		over := l.Charge(work("2", "a", 2*time.Second, time.Second, 4*time.Second))
		qt.Check(t, over, qt.Equals, tc.over, qt.Commentf("%v used", tc.used))
	}
}

// A hall that is cut off makes the work that is left take longer, for all teams alike.
func TestSupplyThatFallsScalesWhatIsLeft(t *testing.T) {
	for _, cut := range []bool{false, true} {
		l := newLedger(equalTeams()...)
		l.Charge(work("1", "a", 0, time.Second, 0))
		l.Charge(work("2", "b", 0, time.Second, 0))
		if cut {
			l.SetSupply(forecast.Supply{
				Processors: spoolsill.Core / 2,
				Queries:    1,
			})
		}
		l.SetSupply(forecast.Supply{}) // not known
		for _, team := range []spoolsill.TeamID{"a", "b"} {
			over := l.Charge(work("3"+spoolsill.JobID(team), team, 0, time.Second, 5*time.Second))
			qt.Check(t, over, qt.Equals, cut)
		}
	}
}

func TestTeamsWithoutWeightAreNotLimited(t *testing.T) {
	l := newLedger(equalTeams()...)
	l.Charge(work("1", "a", 0, time.Minute, 0))
	qt.Check(t, l.Charge(work("2", "a", 0, time.Minute, 0)), qt.IsTrue)
	qt.Check(t, l.Charge(work("3", "c", 0, time.Minute, 0)), qt.IsFalse)
	qt.Check(t, l.Charge(work("4", "c", 0, time.Minute, 0)), qt.IsFalse)
	l.SetTeams([]fairshare.Team{
		{
			ID: "a",
		},
	})
	qt.Check(t, l.Admitted(), qt.DeepEquals, []spoolsill.JobID{"2"})
	qt.Check(t, l.Charge(work("5", "a", 0, time.Minute, 0)), qt.IsFalse)
}

// Work of a team that a new configuration lacks stays charged.
func TestRemovedTeamKeepsItsCharges(t *testing.T) {
	l := newLedger(equalTeams()...)
	l.Charge(work("1", "a", 0, time.Minute, 0))
	l.SetTeams(equalTeams()[1:])
	qt.Check(t, l.Charge(work("2", "a", 0, time.Minute, 0)), qt.IsTrue)
	l.SetTeams(equalTeams())
	qt.Check(t, l.Charge(work("3", "a", 0, time.Minute, 0)), qt.IsTrue)
	qt.Check(t, l.Charge(work("4", "b", 0, time.Minute, 0)), qt.IsFalse)
}

func TestLargestReportsTheTeamWithTheMostExcess(t *testing.T) {
	l := newLedger(equalTeams()...)
	_, ok := l.Largest()
	qt.Check(t, ok, qt.IsFalse)
	l.Charge(work("1", "a", 0, 3*time.Second, 0))
	_, ok = l.Largest()
	qt.Check(t, ok, qt.IsFalse)
	l.Charge(work("2", "a", 0, 2*time.Second, time.Second))
	u, ok := l.Largest()
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, u, qt.Equals, fairshare.Usage{
		Team:    "a",
		Part:    0.5,
		Charged: 3 * time.Second,
		Excess:  2 * time.Second,
	})
}

// drawn is a load of several teams.
type drawn struct {
	teams []fairshare.Team
	jobs  []fairshare.Job // in order of receipt
}

func drawLoad(t *rapid.T) drawn {
	var d drawn
	for i := range rapid.IntRange(1, 5).Draw(t, "teams") {
		d.teams = append(d.teams, fairshare.Team{
			ID:     spoolsill.TeamID(fmt.Sprint("t", i)),
			Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight"),
		})
	}
	at := time.Duration(0)
	for i := range rapid.IntRange(1, 100).Draw(t, "jobs") {
		at += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
		team := rapid.SampledFrom(d.teams).Draw(t, "team")
		cost := time.Duration(rapid.IntRange(1, 3000).Draw(t, "cost")) * time.Millisecond
		slack := time.Duration(rapid.IntRange(0, 20000).Draw(t, "slack")) * time.Millisecond
		d.jobs = append(d.jobs, work(spoolsill.JobID(fmt.Sprint(i)), team.ID, at, cost, slack))
	}
	return d
}

// A team's work that is within its share when it is handed in is at most what its part of the cell works
// off by the time that the last job may have waited, and one job, if other teams always have work.
func TestWorkWithinTheShareIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawLoad(t)
		slack := time.Duration(rapid.IntRange(0, 20000).Draw(t, "common slack")) * time.Millisecond
		l := newLedger(d.teams...)
		total := 0.0
		for _, x := range d.teams {
			total += x.Weight
			l.Charge(work("rest"+spoolsill.JobID(x.ID), x.ID, 0, 24*time.Hour, 48*time.Hour))
		}
		within := map[spoolsill.TeamID]float64{}
		for i, j := range d.jobs {
			j.Slack = slack
			if l.Charge(j) {
				continue
			}
			within[j.Team] += j.Cost.Processor.Seconds()
			var part float64
			for _, x := range d.teams {
				if x.ID == j.Team {
					part = x.Weight / total
				}
			}
			bound := part*(j.Received.Sub(start)+slack/2).Seconds() + j.Cost.Processor.Seconds()
			if within[j.Team] > bound+1e-6 {
				t.Fatalf("team %s: %.6f s within a part of %.3f after job %d, at most %.6f", j.Team, within[j.Team], part, i, bound)
			}
		}
	})
}

// A team alone in the cell, however small its weight, is worked off at the full pace of the cell.
func TestTeamAloneHasTheWholeCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawLoad(t)
		l := newLedger(d.teams...)
		var left time.Duration // what a cell for this work alone has left
		last := time.Duration(0)
		for _, j := range d.jobs {
			at := j.Received.Sub(start)
			left = max(left-(at-last), 0)
			last = at
			j.Team = d.teams[0].ID
			j.Slack = 0
			over := l.Charge(j)
			if over != (left > 0) {
				t.Fatalf("job %s at %v: over %v with %v left", j.ID, at, over, left)
			}
			if !over {
				left += j.Cost.Processor
			}
		}
	})
}

// A job that is released before anything was used leaves nothing behind.
func TestReleasedJobsLeaveNothingBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawLoad(t)
		with, without := newLedger(d.teams...), newLedger(d.teams...)
		for i, j := range d.jobs {
			without.Advance(j.Received)
			if rapid.Bool().Draw(t, "released") {
				with.Charge(j)
				with.Release(j.Team, j.ID, forecast.Cost{})
				continue
			}
			a, b := with.Charge(j), without.Charge(j)
			if a != b {
				t.Fatalf("job %d of %d is over the share: %v, without the released jobs %v", i, len(d.jobs), a, b)
			}
		}
		with.Advance(start.Add(time.Hour))
		without.Advance(start.Add(time.Hour))
		a, b := with.Admitted(), without.Admitted()
		slices.Sort(a)
		slices.Sort(b)
		if !slices.Equal(a, b) {
			t.Fatalf("admitted %v, without the released jobs %v", a, b)
		}
	})
}
