package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// sharesOf gives the teams "flood" and "usual" a share of two jobs a second each.
func (x *cell) sharesOf() {
	x.state.SetTeams(x.now, []sched.Team{
		{
			ID:     "flood",
			Weight: 2,
		},
		{
			ID:     "usual",
			Weight: 2,
		},
	})
}

// handIn has a team hand a job in that takes a whole worker, and returns it.
func (x *cell) handIn(n int, t spoolsill.TeamID) spoolsill.JobID {
	id := spoolsill.JobID(fmt.Sprint(t, n))
	p := tasks(1, 10)
	p.Estimate = 10 * time.Second // so that none is late for seconds
	x.state.AddJob(x.now, x.teamJob(id, t, p), sched.Progress{})
	return id
}

// A team floods a cell that is full: of it only what is within its share goes before the
// work of others, and the rest is served once nothing else waits.
func TestFloodOfOneTeamWaitsBehindOthers(t *testing.T) {
	x := newCell(t)
	x.sharesOf()
	for i := range 50 {
		x.handIn(i, "flood")
	}
	x.now = x.now.Add(100 * time.Millisecond)
	for i := range 5 {
		x.handIn(i, "usual")
	}
	x.addWorker("w")
	var order []spoolsill.TeamID
	for len(order) < 55 {
		x.renewLease("w")
		for _, o := range x.step() {
			x.acceptStarts([]sched.StartOrder{o})
			x.endRun(o, sched.EndDone)
			id := string(o.Run.Task.Stage.Job)
			order = append(order, spoolsill.TeamID(id[:5]))
		}
	}
	last := 0
	for i, id := range order {
		if id == "usual" {
			last = i
		}
	}
	qt.Check(t, last < 15, qt.IsTrue, qt.Commentf("the last of five jobs of the other team was started as number %d, ten of the flood are within its share", last+1))
}

// A share comes back with time: the jobs of the first seconds do not count any more.
func TestShareComesBack(t *testing.T) {
	x := newCell(t)
	x.sharesOf()
	for i := range 30 {
		x.state.CancelJob(x.now, x.handIn(i, "flood"))
	}
	beyond := x.handIn(30, "flood")
	x.now = x.now.Add(6 * time.Second)
	within := x.handIn(31, "flood")
	x.addWorker("w")
	out := x.step()
	x.c.Assert(out, qt.HasLen, 1)
	x.c.Check(out[0].Run.Task.Stage.Job, qt.Equals, within, qt.Commentf("%s is beyond the share", beyond))
}
