package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/sched"
)

// A start recorded by a former leader may not have reached its worker. The job is pending
// until a worker reports a run of it.
func TestRecordedStartIsPendingUntilTheWorkerReportsIt(t *testing.T) {
	for name, c := range map[string]struct {
		report  func(x *cell, r sched.RunID)
		waiting int
		state   sched.JobState
	}{
		"nothing reported": {
			report:  func(*cell, sched.RunID) {},
			waiting: 1,
			state:   sched.Pending,
		},
		"it is not there": {
			report:  func(x *cell, _ sched.RunID) { x.renewLease("w") },
			waiting: 1,
			state:   sched.Pending,
		},
		"it runs": {
			report: func(x *cell, r sched.RunID) { x.renewLease("w", r) },
			state:  sched.Running,
		},
		"it has failed": {
			report: func(x *cell, r sched.RunID) {
				x.endRun(sched.StartOrder{
					WorkerIncarnation: incarnationOf("w"),
					Run:               r,
				}, sched.EndFailed)
			},
			state: sched.Running,
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := newCell(t)
			x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), runningAt("w"))
			x.listWorker("w", false)
			c.report(x, sched.RunID{
				Task: sched.TaskID{
					Stage: sched.StageID{
						Job: "j",
					},
				},
				Number: 1,
			})
			x.c.Assert(x.state.PendingJobs()["q"], qt.Equals, c.waiting)
			x.c.Assert(x.jobState(), qt.Equals, c.state)
		})
	}
}

// Guards against starting timed jobs early when the times passed to the State are ahead of
// the time of day, as after a suspension.
func TestTimedJobWaitsForTheTimeOfDay(t *testing.T) {
	const ahead = time.Hour
	x := newCell(t)
	x.state = sched.New(sched.Config{
		Lease: lease,
		Ahead: ahead,
	})
	x.state.SetQueues([]sched.Queue{
		{
			ID:      "q",
			Service: "work",
		},
	})
	x.addWorker("w")
	j := job("j", "q", tasks(1, 1))
	j.Rounds = 1
	j.FirstRound = x.now.Round(0).Add(-ahead + time.Second)
	x.state.AddJob(x.now, j, sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.now = x.now.Add(time.Second)
	x.renewLease("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}
