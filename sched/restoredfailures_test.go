package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/sched"
)

// A new leader ends the jobs whose failures, as counted by a former one, suffice for it. The
// queue "q" allows two.
func TestFailuresOfAFormerLeaderCount(t *testing.T) {
	lost := sched.Loss{
		Worker: "lost",
		Begun:  true,
		Over:   true,
	}
	for _, v := range []struct {
		name string
		step sched.Step
		p    sched.Progress
		want sched.JobState
	}{
		{
			name: "no failure",
			step: tasks(1, 1),
			want: sched.Pending,
		},
		{
			name: "one failure",
			step: tasks(2, 1),
			p:    stageProgress(sched.StageProgress{Tasks: []sched.TaskProgress{{}, {Fails: 1}}}),
			want: sched.Running,
		},
		{
			name: "failures of a task",
			step: tasks(2, 1),
			p:    stageProgress(sched.StageProgress{Tasks: []sched.TaskProgress{{Fails: 2}, {}}}),
			want: sched.Failed,
		},
		{
			name: "failures of a gang",
			step: gang(2, 1),
			p:    stageProgress(sched.StageProgress{Fails: 2}),
			want: sched.Failed,
		},
		{
			name: "crashes",
			step: tasks(2, 1),
			p: sched.Progress{
				Stages: []sched.StageProgress{{Tasks: []sched.TaskProgress{{}, {}}}},
				Crashes: []sched.TaskCrashes{
					{
						Index:  1,
						Losses: []sched.Loss{lost, lost, lost},
					},
				},
			},
			want: sched.Failed,
		},
	} {
		t.Run(v.name, func(t *testing.T) {
			x := newCell(t)
			x.addWorker("a")
			j := job("j", "q", v.step)
			j.Received = x.now
			x.state.AddJob(x.now, j, v.p)
			x.now = x.now.Add(10 * time.Millisecond)
			x.state.Decide(x.now)
			x.c.Assert(x.jobState(), qt.Equals, v.want)
			x.c.Assert(x.state.CheckCapacity(), qt.IsNil)
		})
	}
}

func stageProgress(p sched.StageProgress) sched.Progress {
	return sched.Progress{
		State:  sched.Running,
		Stages: []sched.StageProgress{p},
	}
}
