package sched_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// setShares gives the teams "flood" and "usual" a weight each.
func (x *cell) setShares(flood, usual float64) {
	x.state.SetTeams(x.now, []sched.Team{
		{
			ID:     "flood",
			Weight: flood,
		},
		{
			ID:     "usual",
			Weight: usual,
		},
	})
}

// submit adds a job of a team that needs one task of some cores for ten seconds. No job is late for
// several seconds.
func (x *cell) submit(n int, t spoolsill.TeamID, cores int) {
	p := tasks(1, cores)
	p.Estimate = 10 * time.Second
	x.state.AddJob(x.now, x.teamJob(spoolsill.JobID(fmt.Sprint(t, n)), t, p), sched.Progress{})
}

// fill has workers that are fully used by a job of no team, and returns its runs. The job has no
// estimate, so that nothing is learnt from its run time.
func (x *cell) fill(workers int) []sched.StartOrder {
	for i := range workers {
		x.addWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
	}
	p := tasks(workers, 10)
	p.Estimate = 0
	x.state.AddJob(x.now, x.teamJob("full", "", p), sched.Progress{})
	full := x.step()
	x.c.Assert(full, qt.HasLen, workers)
	x.acceptStarts(full)
	return full
}

// waitFull lets time pass while the workers that runs fill keep them.
func (x *cell) waitFull(d time.Duration, full []sched.StartOrder) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(100 * time.Millisecond)
		for _, o := range full {
			x.renewLease(o.Worker, o.Run)
		}
		x.state.Decide(x.now)
	}
}

// startOrder returns the next n jobs in the order in which the worker w0 starts them, one at a time.
func (x *cell) startOrder(n int) []spoolsill.JobID {
	var order []spoolsill.JobID
	for range 10 * n {
		if len(order) == n {
			break
		}
		x.renewLease("w0")
		for _, o := range x.step() {
			x.acceptStarts([]sched.StartOrder{o})
			x.endRun(o, sched.EndDone)
			order = append(order, o.Run.Task.Stage.Job)
		}
	}
	x.c.Assert(order, qt.HasLen, n)
	return order
}

// If one team floods a full cell, only its jobs within its share go before the jobs of
// other teams. The rest is served when nothing else waits.
func TestJobsOverTheShareWaitBehindOtherTeams(t *testing.T) {
	x := newCell(t)
	x.setShares(2, 2)
	for i := range 50 {
		x.submit(i, "flood", 10)
	}
	x.now = x.now.Add(100 * time.Millisecond)
	for i := range 5 {
		x.submit(i, "usual", 1)
	}
	x.addWorker("w0")
	last := 0
	for i, id := range x.startOrder(55) {
		if id[:5] == "usual" {
			last = i
		}
	}
	qt.Check(t, last < 7, qt.IsTrue, qt.Commentf("the last of five jobs of the other team started as number %d; the cell gets to two jobs of the flood within half of their slack", last+1))
}

// Work of a team that uses little per job is not held up by the jobs of another that uses much.
func TestSharesAreOfWork(t *testing.T) {
	x := newCell(t)
	x.setShares(1, 1)
	full := x.fill(1)
	for i := range 20 {
		x.submit(i, "usual", 1) // together as much as two jobs of the flood
	}
	for i := range 5 {
		x.submit(i, "flood", 10)
	}
	x.waitFull(100*time.Millisecond, full)
	l := x.state.ShareLoad()
	qt.Check(t, l.Jobs > 3+8, qt.IsTrue, qt.Commentf("%+v: each team has handed in at least twice its part", l))
	qt.Check(t, l.Teams, qt.Equals, 2)
	qt.Check(t, l.Largest, qt.Equals, spoolsill.TeamID("flood"))
}

// Work handed in by a team that a full cell would have worked off since no longer counts against
// the share.
func TestShareRecoversOverTime(t *testing.T) {
	x := newCell(t)
	x.setShares(2, 2)
	full := x.fill(1)
	for i := range 3 {
		x.submit(i, "flood", 10)
	}
	x.waitFull(100*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 2)
	x.waitFull(3*time.Second, full)
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 1)
}

// What other teams leave unused is lent: nobody is over a share in a cell that can do all work in time.
func TestUnusedShareIsLent(t *testing.T) {
	x := newCell(t)
	x.setShares(1, 99)
	full := x.fill(10)
	for i := range 10 {
		x.submit(i, "flood", 10)
	}
	x.waitFull(100*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 0)
	for i := range 50 {
		x.submit(i, "usual", 10)
	}
	x.waitFull(100*time.Millisecond, full)
	l := x.state.ShareLoad()
	x.c.Check(l.Jobs > 9, qt.IsTrue, qt.Commentf("%+v: all but the first job of a team with a part of a hundredth", l))
	for i := range 50 {
		x.state.CancelJob(x.now, spoolsill.JobID(fmt.Sprint("usual", i)))
	}
	x.waitFull(200*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 0)
}

// Jobs of a team without a weight, or of none, and lasting work are never over a share.
func TestUnlimitedWorkIsNeverOverAShare(t *testing.T) {
	x := newCell(t)
	x.setShares(0, 1)
	full := x.fill(1)
	for i := range 30 {
		x.submit(i, "flood", 10)
		x.submit(i, "", 10)
		p := tasks(1, 10)
		p.Lasting = true
		x.state.AddJob(x.now, x.teamJob(spoolsill.JobID(fmt.Sprint("lasting", i)), "usual", p), sched.Progress{})
	}
	x.waitFull(100*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad(), qt.Equals, sched.ShareLoad{})
}

// Clients cancel in bulk: what the cancelled jobs have not used does not count against the share.
func TestCancelledJobsReturnTheirShare(t *testing.T) {
	x := newCell(t)
	x.setShares(2, 2)
	full := x.fill(1)
	for i := range 30 {
		x.submit(i, "flood", 10)
	}
	x.waitFull(100*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 29)
	for i := range 30 {
		x.state.CancelJob(x.now, spoolsill.JobID(fmt.Sprint("flood", i)))
	}
	x.submit(30, "flood", 10)
	x.submit(31, "flood", 10)
	x.submit(32, "flood", 10)
	x.waitFull(100*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 2, qt.Commentf("the first of three jobs is within the share"))
}

// A configuration changes weights under load: what a team has been charged stays, and its jobs
// are within its new share or not.
func TestWeightsChangeUnderLoad(t *testing.T) {
	x := newCell(t)
	x.setShares(1, 9)
	full := x.fill(1)
	for i := range 2 {
		x.submit(i, "flood", 10)
		x.submit(i, "usual", 10)
	}
	x.waitFull(100*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad().Largest, qt.Equals, spoolsill.TeamID("flood"))
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 1)
	x.setShares(9, 1)
	x.submit(2, "usual", 10)
	x.waitFull(100*time.Millisecond, full)
	x.c.Check(x.state.ShareLoad().Largest, qt.Equals, spoolsill.TeamID("usual"))
	x.c.Check(x.state.ShareLoad().Jobs, qt.Equals, 1, qt.Commentf("the second job of the flood is within its share now"))
}

// A hall is cut off: the parts of all teams shrink alike, and no team loses what it has.
func TestHallCutShrinksAllShares(t *testing.T) {
	over := func(cut bool) sched.ShareLoad {
		x := newCell(t)
		x.setShares(1, 1)
		full := x.fill(10)
		if cut {
			x.now = x.now.Add(2 * time.Second)
			full = full[:3]
			x.waitFull(200*time.Millisecond, full)
		}
		for i := range 12 {
			x.submit(i, "flood", 10)
			x.submit(i, "usual", 10)
		}
		x.waitFull(100*time.Millisecond, full)
		return x.state.ShareLoad()
	}
	whole, cut := over(false), over(true)
	qt.Check(t, whole.Teams, qt.Equals, 2)
	qt.Check(t, cut.Teams, qt.Equals, 2)
	qt.Check(t, cut.Jobs > whole.Jobs, qt.IsTrue, qt.Commentf("%+v after the cut, %+v before", cut, whole))
	qt.Check(t, cut.Jobs < 22, qt.IsTrue, qt.Commentf("%+v: each team has at least its first job within its share", cut))
	qt.Check(t, cut.Jobs%2, qt.Equals, 0, qt.Commentf("%+v: equal teams with equal work", cut))
}

// The next leader reads the rows of jobs in any order, knows its workers only later, and finds the same
// jobs over their team's share.
func TestNextLeaderHasTheSameShares(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		x := newCell(t)
		x.setShares(1, 2)
		full := x.fill(1)
		var rows []sched.Job
		for i := range 30 {
			team := spoolsill.TeamID("flood")
			if i%3 == 0 {
				team = "usual"
			}
			j := x.teamJob(spoolsill.JobID(fmt.Sprint(team, i)), team, tasks(1, 1+random.IntN(10)))
			j.Steps[0].Estimate = time.Duration(1+random.IntN(10)) * time.Second
			rows = append(rows, j)
			x.state.AddJob(x.now, j, sched.Progress{})
			x.waitFull(200*time.Millisecond, full)
		}
		next := &cell{
			c:     x.c,
			now:   x.now,
			state: x.newState(),
		}
		next.setShares(1, 2)
		random.Shuffle(len(rows), func(a, b int) { rows[a], rows[b] = rows[b], rows[a] })
		for _, j := range rows {
			next.state.AddJob(next.now, j, sched.Progress{})
		}
		next.state.Decide(next.now)
		next.addWorker("w0")
		next.state.Decide(next.now)
		over := 0
		for _, j := range rows {
			was, is := x.state.OverShare(j.ID), next.state.OverShare(j.ID)
			x.c.Check(is, qt.Equals, was, qt.Commentf("seed %d: job %s", seed, j.ID))
			if was {
				over++
			}
		}
		x.c.Check(over > 0 && over < len(rows), qt.IsTrue, qt.Commentf("seed %d: %d jobs over a share", seed, over))
	}
}

// A job without steps, which Check allows, has no objective and nothing to charge.
func TestJobWithoutStepsIsNotCharged(t *testing.T) {
	x := newCell(t)
	x.setShares(1, 1)
	x.addWorker("w0")
	x.state.AddJob(x.now, x.teamJob("j", "flood"), sched.Progress{})
	x.step()
}
