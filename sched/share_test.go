package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// setShares gives the teams "flood" and "usual" a share of two jobs per second each.
func (x *cell) setShares() {
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

// submit adds a job of a team that needs a whole worker and returns its id.
func (x *cell) submit(n int, t spoolsill.TeamID) spoolsill.JobID {
	id := spoolsill.JobID(fmt.Sprint(t, n))
	p := tasks(1, 10)
	p.Estimate = 10 * time.Second // so that no job is late for several seconds
	x.state.AddJob(x.now, x.teamJob(id, t, p), sched.Progress{})
	return id
}

// If one team floods a full cell, only its jobs within its share go before the jobs of
// other teams. The rest is served when nothing else waits.
func TestJobsOverTheShareWaitBehindOtherTeams(t *testing.T) {
	x := newCell(t)
	x.setShares()
	for i := range 50 {
		x.submit(i, "flood")
	}
	x.now = x.now.Add(100 * time.Millisecond)
	for i := range 5 {
		x.submit(i, "usual")
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
	qt.Check(t, last < 15, qt.IsTrue, qt.Commentf("the last of five jobs of the other team started as number %d; ten jobs of the flood are within its share", last+1))
}

// Jobs submitted before the window no longer count against the share.
func TestShareRecoversOverTime(t *testing.T) {
	x := newCell(t)
	x.setShares()
	for i := range 30 {
		x.state.CancelJob(x.now, x.submit(i, "flood"))
	}
	beyond := x.submit(30, "flood")
	x.now = x.now.Add(6 * time.Second)
	within := x.submit(31, "flood")
	x.addWorker("w")
	out := x.step()
	x.c.Assert(out, qt.HasLen, 1)
	x.c.Check(out[0].Run.Task.Stage.Job, qt.Equals, within, qt.Commentf("%s exceeds the share", beyond))
}
