package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// takeOver replaces the leader. The next one resumes from the progress of the job "j".
func (x *cell) takeOver(j sched.Job) {
	x.state = x.newState()
	x.state.AddJob(x.now, j, sched.Progress{
		State: sched.Running,
		Stages: []sched.StageProgress{
			{
				Tasks: []sched.TaskProgress{
					{
						Run:    1,
						Worker: "lost",
					},
				},
			},
		},
	})
}

// A worker that the next leader can't reach keeps its runs until the lease has ended that the
// former leader may have requested last.
func TestInheritedLeaseEndsOneLeaseAfterFormerLeaders(t *testing.T) {
	for _, c := range []struct {
		name  string
		ended time.Duration // after the takeover; 0 means that it is not known
		runs  time.Duration // until the task is started again
	}{
		{"not known", 0, 2 * lease},
		{"at once", time.Millisecond, sched.LeaseEnd(time.Time{}, lease).Sub(time.Time{})},
		{"later", 3 * time.Second, sched.LeaseEnd(time.Time{}, lease).Sub(time.Time{}) + 3*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCell(t)
			x.takeOver(job("j", "q", tasks(1, 1)))
			x.addWorker("w")
			begun := x.now
			for len(x.started) == 0 {
				if d := x.now.Sub(begun); c.ended > 0 && d >= c.ended {
					x.state.FormerLeadersEnded(x.now, begun.Add(c.ended))
				}
				x.renewLease("w")
				x.step()
			}
			down := x.now.Sub(begun)
			x.c.Check(down >= c.runs, qt.IsTrue, qt.Commentf("%v", down))
			x.c.Check(down <= c.runs+50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", down))
		})
	}
}

// That no former leader extends leases says nothing about those that this leader has requested.
func TestFormerLeadersDoNotShortenOwnLeases(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.acceptStarts(x.step())
	x.advance(3*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"w": {x.started[0].Run},
	})
	x.state.FormerLeadersEnded(x.now, x.now.Add(-3*time.Second))
	x.addWorker("v")
	for range 10 {
		x.now = x.now.Add(500 * time.Millisecond)
		x.renewLease("v")
		x.c.Assert(x.step(), qt.HasLen, 0)
	}
}

// Guards against runs that a leader restores at a worker that it already knows to have exited: their
// tasks counted as running for as long as it led.
func TestRunRestoredAtDeadWorkerIsDropped(t *testing.T) {
	for _, step := range []sched.Step{tasks(1, 1), gang(2, 1)} {
		x := newCell(t)
		x.state.WorkerListed(x.now, sched.Worker{
			ID:      "lost",
			Machine: "m",
			Service: "work",
			Address: "lost",
		})
		x.state.WorkerUnlisted(x.now, "lost")
		x.state.WorkerListed(x.now, sched.Worker{
			ID:       "w",
			Machine:  "m",
			Service:  "work",
			Address:  "w",
			Capacity: cores(10),
		})
		p := sched.StageProgress{}
		for range step.Tasks {
			p.Tasks = append(p.Tasks, sched.TaskProgress{
				Run:    1,
				Worker: "lost",
			})
		}
		x.state.AddJob(x.now, job("j", "q", step), sched.Progress{
			State:  sched.Running,
			Stages: []sched.StageProgress{p},
		})
		x.renewLease("w")
		x.c.Check(x.step(), qt.HasLen, step.Tasks)
	}
}
