package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// teamJob returns a job of a team that is submitted now.
func (x *cell) teamJob(id spoolsill.JobID, t spoolsill.TeamID, steps ...sched.Step) sched.Job {
	j := job(id, "q", steps...)
	j.Team = t
	j.Received = x.now
	return j
}

// setQuota sets the quota of the team "a" in cores.
func (x *cell) setQuota(n int) {
	x.state.SetTeams(x.now, []sched.Team{
		{
			ID:     "a",
			Weight: 1,
			Most:   cores(n),
		},
	})
}

// endRuns has the workers report the ends of runs.
func (x *cell) endRuns(orders []sched.StartOrder, k sched.EndKind) {
	for _, o := range orders {
		x.endRun(o, k)
	}
}

func TestQuota(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []sched.Step
		want  []int // number of tasks that start in each round; all end before the next
	}{
		{"tasks in waves", []sched.Step{tasks(10, 2)}, []int{4, 4, 2}},
		{"gang that fits", []sched.Step{gang(4, 2)}, []int{4}},
		{"gang after tasks", []sched.Step{tasks(1, 1), gang(4, 2)}, []int{1, 4}},
		{"gang that never fits", []sched.Step{gang(5, 2)}, []int{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCell(t)
			for i := range 4 {
				x.addWorker(spoolsill.WorkerID(fmt.Sprint("w", i)))
			}
			x.setQuota(8)
			x.state.AddJob(x.now, x.teamJob("j", "a", c.steps...), sched.Progress{})
			for i, n := range c.want {
				out := x.step()
				x.c.Check(out, qt.HasLen, n, qt.Commentf("round %d", i))
				x.acceptStarts(out)
				x.endRuns(out, sched.EndDone)
			}
		})
	}
}

func TestQuotaOfOneTeamLeavesOthersAlone(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.setQuota(1)
	x.state.AddJob(x.now, x.teamJob("j", "a", tasks(5, 1)), sched.Progress{})
	x.state.AddJob(x.now, x.teamJob("k", "", tasks(5, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 6)
}

// Runs that may still start or may not have ended yet count against the quota.
func TestQuotaCountsRunsUntilTheyHaveEnded(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(x *cell, o sched.StartOrder)
		left int // cores of the quota of ten that are left
	}{
		{"order under way", func(*cell, sched.StartOrder) {}, 4},
		{"order without an answer", func(x *cell, o sched.StartOrder) { x.answerStart(o, sched.StartUnknown) }, 4},
		{"order that was rejected", func(x *cell, o sched.StartOrder) { x.answerStart(o, sched.StartRejected) }, 10},
		{"run", func(x *cell, o sched.StartOrder) { x.answerStart(o, sched.StartAccepted) }, 4},
		{"run that is being stopped", func(x *cell, o sched.StartOrder) {
			x.answerStart(o, sched.StartAccepted)
			x.state.CancelJob(x.now, "j")
		}, 4},
		{"run that has ended", func(x *cell, o sched.StartOrder) {
			x.answerStart(o, sched.StartAccepted)
			x.endRun(o, sched.EndDone)
		}, 10},
		{"run at an unresponsive worker", func(x *cell, o sched.StartOrder) {
			x.answerStart(o, sched.StartAccepted)
			x.advance(3*time.Second, map[spoolsill.WorkerID][]sched.RunID{"other": nil})
		}, 4},
		{"run at a worker that has died", func(x *cell, o sched.StartOrder) {
			x.answerStart(o, sched.StartAccepted)
			x.state.CancelJob(x.now, "j")
			x.state.WorkerDied(x.now, o.WorkerIncarnation)
		}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCell(t)
			x.addWorker("w")
			x.setQuota(10)
			x.state.AddJob(x.now, x.teamJob("j", "a", tasks(1, 6)), sched.Progress{})
			out := x.step()
			x.c.Assert(out, qt.HasLen, 1)
			x.addWorker("other")
			c.do(x, out[0])
			x.state.AddJob(x.now, x.teamJob("k", "a", tasks(10, 1)), sched.Progress{})
			n := 0
			for range 3 {
				for _, o := range x.step() {
					if o.Run.Task.Stage.Job == "k" {
						n++
					}
				}
			}
			x.c.Check(n, qt.Equals, c.left)
		})
	}
}

func TestQuotaCountsRunsOfAFormerLeader(t *testing.T) {
	x := newCell(t)
	x.setQuota(10)
	x.addWorker("w")
	x.state.AddJob(x.now, x.teamJob("j", "a", tasks(1, 6)), runningAt("never-seen"))
	x.state.AddJob(x.now, x.teamJob("k", "a", tasks(10, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 4)
}

func TestQuotaCountsUnknownRunsOfKnownJobs(t *testing.T) {
	x := newCell(t)
	x.setQuota(10)
	x.addWorker("w")
	x.addWorker("other")
	j := x.teamJob("j", "a", tasks(1, 6))
	x.state.AddJob(x.now, j, sched.Progress{
		State: sched.Cancelled,
	})
	x.state.AddJob(x.now, x.teamJob("k", "a", tasks(1, 6)), sched.Progress{})
	x.state.AddJob(x.now, x.teamJob("l", "a", tasks(10, 1)), sched.Progress{})
	x.heartbeat("other", sched.RunID{
		Task: sched.TaskID{
			Stage: sched.StageID{
				Job: "k",
			},
		},
		Number: 7,
	})
	x.c.Assert(x.step(), qt.HasLen, 4)
}

// A job may arrive before the configuration that names its team.
func TestUnknownTeamWaitsForTheConfiguration(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, x.teamJob("j", "a", tasks(5, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.setQuota(2)
	x.c.Assert(x.step(), qt.HasLen, 2)
}

// A job of a team that no configuration names starts once any configuration that was valid
// at its submission must have arrived.
func TestUnconfiguredTeamIsEventuallyServed(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, x.teamJob("j", "a", tasks(5, 1)), sched.Progress{})
	x.advance(configPropagation+time.Second, map[spoolsill.WorkerID][]sched.RunID{"w": nil})
	x.c.Assert(x.step(), qt.HasLen, 5)
}

func TestLoweredQuota(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.addWorker("other")
	x.setQuota(10)
	x.state.AddJob(x.now, x.teamJob("j", "a", tasks(20, 1)), sched.Progress{})
	first := x.step()
	x.c.Assert(first, qt.HasLen, 10)
	x.acceptStarts(first[1:])
	x.answerStart(first[0], sched.StartUnknown)
	x.setQuota(4)
	x.c.Check(x.step(), qt.HasLen, 0)
	stops := x.state.Stops()
	x.c.Assert(stops, qt.HasLen, 1, qt.Commentf("the unconfirmed run may start when the lower quota is in force; the others continue"))
	x.c.Check(stops[0].Run, qt.Equals, first[0].Run)
	x.endRuns(first[1:7], sched.EndDone)
	x.c.Check(x.step(), qt.HasLen, 0)
	x.endRuns(first[7:9], sched.EndDone)
	x.c.Check(x.step(), qt.HasLen, 2, qt.Commentf("one is running and one is unconfirmed"))
	x.setQuota(0)
	x.c.Check(x.step(), qt.HasLen, 8, qt.Commentf("a quota of 0 means no limit: all other tasks start"))
}

// Orders that wait for their rows are not sent if the quota was lowered meanwhile.
func TestOrdersOverALoweredQuotaAreNotSent(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.setQuota(10)
	x.state.AddJob(x.now, x.teamJob("j", "a", tasks(6, 1)), sched.Progress{})
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 6)
	x.setQuota(2)
	x.c.Assert(x.state.BatchWritten(x.now, b), qt.HasLen, 2)
}

// A team that has reached its quota makes no advisor queries and reserves no workers.
func TestTeamAtItsQuotaReservesNothing(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.setQuota(4)
	j := x.teamJob("j", "a", gang(5, 1))
	j.Queue = "advised"
	x.state.AddJob(x.now, j, sched.Progress{})
	x.c.Check(x.step(), qt.HasLen, 0)
	x.c.Check(x.state.AdviceOrders(), qt.HasLen, 0)
	x.state.AddJob(x.now, x.teamJob("k", "", tasks(10, 1)), sched.Progress{})
	x.c.Check(x.step(), qt.HasLen, 10)
}
