package place_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

func TestServiceSpreadsOverRacks(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 6)
	j := job("web", 3, 1)
	j.Kind = spoolsill.KindService
	addJob(c, s, start, j)
	racks := map[byte]bool{}
	for _, r := range decide(c, s, start, place.TaskPlaced) {
		racks[(r.Worker[1]-'0')/2] = true
	}
	c.Assert(racks, qt.HasLen, 3)
}

func TestBatchLeavesRoomForLargeShapes(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	addJob(c, s, start, job("small", 4, 2))
	decide(c, s, start, place.TaskPlaced)
	addJob(c, s, start, job("large", 1, 8))
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 1)
}

func TestUrgentWorkPreemptsTheLeastWorth(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	for i, worth := range []int{5, 1} {
		j := job(fmt.Sprintf("patient%d", i), 1, 8)
		j.Class = spoolsill.ClassPatient
		j.Worth = worth
		addJob(c, s, start, j)
	}
	confirmStarts(s, start, decide(c, s, start, place.TaskPlaced))
	u := job("urgent", 1, 4)
	u.Class = spoolsill.ClassUrgent
	addJob(c, s, start, u)
	out := decide(c, s, start, place.TaskCheckpointing)
	c.Assert(out, qt.HasLen, 1)
	c.Assert(out[0].Task.Job, qt.Equals, spoolsill.JobID("patient1"))
	report(s, start, out[0], place.Checkpointed)
	placed := decide(c, s, start, place.TaskPlaced)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("urgent"))
}

func TestUnrepeatableWorkIsNeverPreempted(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	j := job("patient", 1, 8)
	j.Class = spoolsill.ClassPatient
	j.Unrepeatable = true
	addJob(c, s, start, j)
	confirmStarts(s, start, decide(c, s, start, place.TaskPlaced))
	u := job("urgent", 1, 4)
	u.Class = spoolsill.ClassUrgent
	addJob(c, s, start, u)
	c.Assert(decide(c, s, start, place.TaskCheckpointing), qt.HasLen, 0)
}

// TestPreemptedCapacityIsHeld checks that capacity freed by preemption goes to
// the job that preempted, and not to another one that is queued meanwhile.
func TestPreemptedCapacityIsHeld(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	j := job("patient", 1, 8)
	j.Class = spoolsill.ClassPatient
	addJob(c, s, start, j)
	confirmStarts(s, start, decide(c, s, start, place.TaskPlaced))
	u := job("urgent", 1, 8)
	u.Class = spoolsill.ClassUrgent
	addJob(c, s, start, u)
	out := decide(c, s, start, place.TaskCheckpointing)
	addJob(c, s, start, job("thief", 1, 8))
	report(s, start, out[0], place.Checkpointed)
	placed := decide(c, s, start, place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("urgent"))
}

func TestQuotaHoldsAndIdleCapacityIsLentAndReclaimed(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	limit := spoolsill.Resources{
		Processors: 8 * spoolsill.Core,
		Memory:     8 * spoolsill.GiB,
	}
	s.SetQuotas([]place.Quota{
		{
			Team:    "team",
			Limit:   limit,
			Limited: true,
		},
		{
			Team:    "other",
			Limit:   limit,
			Limited: true,
		},
	})
	addJob(c, s, start, job("normal", 3, 4))
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 2)
	v, _, _ := s.Job("normal")
	c.Assert(v.Reason, qt.Contains, "quota of team team")
	s.Cancel(start, []spoolsill.JobID{"normal"})

	s = newHall(place.Config{}, 2)
	s.SetQuotas([]place.Quota{{
		Team:    "team",
		Limit:   limit,
		Limited: true,
	}})
	p := job("patient", 4, 4)
	p.Class = spoolsill.ClassPatient
	addJob(c, s, start, p)
	lent := decide(c, s, start, place.TaskPlaced)
	c.Assert(lent, qt.HasLen, 4)
	confirmStarts(s, start, lent)
	o := job("owner", 1, 4)
	o.Team = "other"
	addJob(c, s, start, o)
	c.Assert(decide(c, s, start, place.TaskCheckpointing), qt.HasLen, 1)
}

func TestFloodOfOneTeamDoesNotDelayAnother(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	for i := range 20 {
		j := job(fmt.Sprintf("flood%d", i), 2, 2)
		j.Class = spoolsill.ClassUrgent
		addJob(c, s, start, j)
	}
	confirmStarts(s, start, decide(c, s, start, place.TaskPlaced))
	o := job("other", 1, 2)
	o.Team = "other"
	o.Class = spoolsill.ClassUrgent
	addJob(c, s, start.Add(time.Millisecond), o)
	_, tasks, _ := s.Job("flood0")
	s.Report(start, place.Report{
		Task:    spoolsill.TaskID{Job: "flood0"},
		Attempt: tasks[0].Attempt,
		Outcome: place.Exited,
	})
	placed := decide(c, s, start.Add(time.Second), place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("other"))
}

func TestUnschedulableJobIsReportedAtOnceAndReclassified(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	addJob(c, s, start, job("huge", 1, 16))
	addJob(c, s, start, job("small", 1, 1))
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 1)
	v, tasks, _ := s.Job("huge")
	c.Assert(tasks[0].State, qt.Equals, spoolsill.TaskUnschedulable)
	c.Assert(v.Reason, qt.Matches, `can never run: a task needs 16 cores.*nearest worker, w0.*too few processors.*`)
	s.SetWorkers([]spoolsill.Worker{{
		ID: "big",
		Capacity: spoolsill.Resources{
			Processors: 32 * spoolsill.Core,
			Memory:     64 * spoolsill.GiB,
		},
	}})
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 1)
}

func TestMeasuredRunTimesLimitBackfill(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{
		GangPatience: -1,
	}, 2)
	// The jobs of team "late" run ten times as long as declared.
	for i := range 20 {
		j := job(fmt.Sprintf("past%d", i), 1, 1)
		j.Runtime = time.Second
		j.Team = "late"
		addJob(c, s, start, j)
		r := decide(c, s, start, place.TaskPlaced)[0]
		confirmStarts(s, start, []place.Record{r})
		report(s, start.Add(10*time.Second), r, place.Exited)
	}
	now := start.Add(time.Minute)
	addJob(c, s, now, job("first", 1, 8))
	confirmStarts(s, now, decide(c, s, now, place.TaskPlaced))
	g := job("gang", 2, 8)
	g.Kind = spoolsill.KindGang
	addJob(c, s, now, g)
	decide(c, s, now, place.TaskPlaced)
	now = now.Add(2 * time.Second)
	decide(c, s, now, place.TaskPlaced)
	for _, team := range []spoolsill.TeamID{"late", "team"} {
		j := job("fill-"+string(team), 1, 4)
		j.Team = team
		j.Runtime = 2 * time.Second
		addJob(c, s, now, j)
	}
	placed := decide(c, s, now, place.TaskPlaced)
	c.Assert(placed, qt.HasLen, 1)
	c.Assert(placed[0].Task.Job, qt.Equals, spoolsill.JobID("fill-team"))
	v, _, _ := s.Job("fill-late")
	c.Assert(strings.Contains(v.Reason, "reserved for a gang"), qt.IsTrue, qt.Commentf("%s", v.Reason))
}
