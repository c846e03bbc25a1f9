package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

func TestStepsRunOneAfterTheOther(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	second := tasks(2, 3)
	second.After = []int{0}
	x.state.AddJob(x.now, job("j", "q", tasks(2, 3), second), sched.Progress{})
	first := x.step()
	x.c.Assert(taskNames(first), qt.DeepEquals, []string{"j.0.0.0#1", "j.0.0.1#1"})
	x.acceptStarts(first)
	x.endRun(first[0], sched.EndDone)
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.endRun(first[1], sched.EndDone)
	rest := x.step()
	x.c.Assert(taskNames(rest), qt.DeepEquals, []string{"j.0.1.0#1", "j.0.1.1#1"})
	x.acceptStarts(rest)
	x.endRun(rest[0], sched.EndDone)
	x.c.Assert(x.jobState(), qt.Equals, sched.Running)
	x.endRun(rest[1], sched.EndDone)
	x.c.Assert(x.jobState(), qt.Equals, sched.Completed)
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	for range 2 {
		o := x.step()
		x.c.Assert(o, qt.HasLen, 1)
		x.acceptStarts(o)
		x.endRun(o[0], sched.EndFailed)
	}
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
	x.c.Assert(x.step(), qt.HasLen, 0)
}

// A new leader may hear of the last failure that MaxAttempts allows before it knows the
// configuration.
func TestFailuresCountBeforeTheQueueIsKnown(t *testing.T) {
	x := newCell(t)
	x.state = sched.New(sched.Config{
		Lease: lease,
	})
	x.addWorker("w")
	p := runningAt("w")
	p.Stages[0].Tasks[0].Fails = 1
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), p)
	x.endRun(sched.StartOrder{
		WorkerIncarnation: incarnationOf("w"),
		Run: sched.RunID{
			Task: sched.TaskID{
				Stage: sched.StageID{
					Job: "j",
				},
			},
			Number: 1,
		},
	}, sched.EndFailed)
	x.renewLease("w")
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.state.SetQueues([]sched.Queue{
		{
			ID:          "q",
			Service:     "work",
			MaxAttempts: 2,
		},
	})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.c.Assert(x.jobState(), qt.Equals, sched.Failed)
}

func TestNoStartIsSentBeforeItIsWritten(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 1)
	// The job is cancelled while its row is being written.
	x.state.CancelJob(x.now, "j")
	x.c.Assert(x.state.BatchWritten(x.now, b), qt.HasLen, 0)
}

func TestEndsAreAcknowledgedWithTheirRows(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.step()
	x.endRun(o[0], sched.EndDone)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Acks, qt.DeepEquals, []sched.Ack{
		{
			WorkerIncarnation: incarnationOf("w"),
			Sequence:          1,
		},
	})
	x.c.Assert(b.Rows, qt.HasLen, 1)
	p, err := sched.DecodeProgress(b.Rows[0].Value)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(p.State, qt.Equals, sched.Completed)
}

func TestNothingStartsAtDrainingWorker(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.listWorker("w", true)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
}

// An unanswered start may still be carried out. The task stays assigned until the worker
// shows, after the order's deadline, that it does not have the run.
func TestUnansweredStartIsNotRepeatedElsewhere(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.addWorker("b")
	x.answerStart(o[0], sched.StartUnknown)
	x.now = x.now.Add(800 * time.Millisecond)
	x.renewLease("a")
	x.renewLease("b")
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.now = x.now.Add(300 * time.Millisecond)
	x.renewLease("a")
	x.renewLease("b")
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#2"})
}

func TestTasksOfUnresponsiveWorkerRestartAfterLeaseExpires(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.acceptStarts(x.step())
	x.addWorker("b")
	x.advance(5*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"b": nil,
	})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.advance(2*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"b": nil,
	})
	x.step()
	x.step()
	x.c.Assert(x.started, qt.HasLen, 2)
	x.c.Assert(x.started[1].Worker, qt.Equals, spoolsill.WorkerID("b"))
}

// A worker that answers again after it did not respond for a while may be about to stop all its
// runs since its lease expires. It gets no task before its lease is renewed.
func TestWorkerGetsNoTaskBeforeLeaseRenewal(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.now = x.now.Add(5500 * time.Millisecond)
	x.heartbeat("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.renewLease("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

// A start also renews the worker's lease, so the end of the former lease does not release
// runs that were started since.
func TestStartExtendsTheLease(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.now = x.now.Add(2 * time.Second)
	x.heartbeat("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 10)), sched.Progress{})
	x.now = x.now.Add(2 * time.Second)
	x.heartbeat("w")
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.acceptStarts(o)
	x.now = x.now.Add(2700 * time.Millisecond)
	x.heartbeat("w", o[0].Run)
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.c.Assert(x.state.Idle("w"), qt.IsFalse)
}

func TestNewLeaderResumesFromStoredProgress(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	j := job("j", "q", tasks(2, 1))
	x.state.AddJob(x.now, j, sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.endRun(o[0], sched.EndDone)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	p, err := sched.DecodeProgress(b.Rows[0].Value)
	x.c.Assert(err, qt.IsNil)

	x.state = x.newState()
	x.state.AddJob(x.now, j, p)
	x.addWorker("other")
	x.c.Assert(x.step(), qt.HasLen, 0)
	// The worker shows that it still has the second task.
	x.listWorker("w", false)
	x.renewLease("w", o[1].Run)
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.endRun(o[1], sched.EndDone)
	x.c.Assert(x.jobState(), qt.Equals, sched.Completed)
}

func TestNewLeaderWaitsForLeasesOfUnreachableWorkers(t *testing.T) {
	x := newCell(t)
	p := sched.Progress{
		State: sched.Running,
		Stages: []sched.StageProgress{
			{
				Tasks: []sched.TaskProgress{
					{
						Run:    1,
						Worker: "gone",
					},
				},
			},
		},
	}
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), p)
	x.addWorker("w")
	x.advance(11*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"w": nil,
	})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.advance(time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"w": nil,
	})
	x.step()
	x.c.Assert(taskNames(x.started), qt.DeepEquals, []string{"j.0.0.0#2"})
}

func TestUnknownRunIsStoppedAndKeepsTheWorkerFromNewWork(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	unknown := sched.RunID{
		Task: sched.TaskID{
			Stage: sched.StageID{
				Job: "other",
			},
		},
		Number: 1,
	}
	x.renewLease("w", unknown)
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.renewLease("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

func TestCancelledJobIsStopped(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.state.CancelJob(x.now, "j")
	x.c.Assert(x.jobState(), qt.Equals, sched.Cancelled)
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
	x.endRun(o[0], sched.EndStopped)
	x.c.Assert(x.step(), qt.HasLen, 0)
}

func TestTimedRoundsWaitForTheirTime(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	j := job("j", "q", tasks(1, 1))
	j.Rounds = 2
	j.FirstRound = x.now.Add(time.Second)
	j.Interval = time.Second
	x.state.AddJob(x.now, j, sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.advance(time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"w": nil,
	})
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#1"})
}

// A run that a leaving worker can't finish is stopped in time to save its progress, and
// resumes from it elsewhere.
func TestProgressIsSavedBeforeAWorkerLeaves(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	p := tasks(1, 1)
	p.Checkpoints = true
	x.state.AddJob(x.now, job("j", "q", p), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.addWorker("b")
	x.listWorker("a", true) // may exit at once
	x.step()
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
	x.state.Heartbeat(x.now, sched.Heartbeat{
		WorkerIncarnation: incarnationOf("a"),
		Sent:              x.now,
		Ended: []sched.End{
			{
				Sequence: 1,
				Run:      o[0].Run,
				Kind:     sched.EndStopped,
				Saved:    "half",
			},
		},
	})
	next := x.step()
	x.c.Assert(next, qt.HasLen, 1)
	x.c.Assert(next[0].Worker, qt.Equals, spoolsill.WorkerID("b"))
	x.c.Assert(next[0].Saved, qt.Equals, "half")
}

// A failed task is retried on another worker since the first may be at fault.
func TestFailedTaskIsRetriedOnAnotherWorker(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.addWorker("b")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.endRun(o[0], sched.EndFailed)
	next := x.step()
	x.c.Assert(next, qt.HasLen, 1)
	x.c.Assert(next[0].Worker, qt.Not(qt.Equals), o[0].Worker)
}

// A run without progress is stopped although its worker answers, and its task is retried
// elsewhere. A run that progresses is not stopped however slow it is.
func TestRunWithoutProgressIsStopped(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.state.AddJob(x.now, job("j", "q", tasks(2, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	for i := range 6 {
		x.now = x.now.Add(500 * time.Millisecond)
		x.state.LeaseRequested(incarnationOf("a"), sched.LeaseEnd(x.now, lease))
		x.state.Heartbeat(x.now, sched.Heartbeat{
			WorkerIncarnation: incarnationOf("a"),
			Sent:              x.now,
			Running: []sched.RunningTask{
				{
					Run:     o[0].Run,
					Percent: i,
				},
				{
					Run:     o[1].Run,
					Percent: 3,
				},
			},
		})
		x.state.Decide(x.now)
	}
	x.c.Assert(x.state.Stops(), qt.DeepEquals, []sched.StopOrder{
		{
			WorkerIncarnation: incarnationOf("a"),
			Run:               o[1].Run,
		},
	})
	x.addWorker("b")
	x.endRun(o[1], sched.EndStopped)
	next := x.step()
	x.c.Assert(next, qt.HasLen, 1)
	x.c.Assert(next[0].Worker, qt.Equals, spoolsill.WorkerID("b"))
}

// Guards against an enumeration of dependency chains: a job whose steps each depend on all
// earlier ones has exponentially many.
func TestManyDependencyChainsAreCheap(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	var steps []sched.Step
	for i := range 60 {
		p := tasks(1, 1)
		for a := range i {
			p.After = append(p.After, a)
		}
		steps = append(steps, p)
	}
	x.state.AddJob(x.now, job("j", "q", steps...), sched.Progress{})
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"j.0.0.0#1"})
}

// A batch must not exceed what the store accepts.
func TestBatchesAreBounded(t *testing.T) {
	x := newCell(t)
	for i := range 20 {
		x.addWorker(spoolsill.WorkerID(fmt.Sprintf("a-worker-with-a-long-name-%d", i)))
	}
	for i := range 40 {
		p := tasks(1000, 0)
		x.state.AddJob(x.now, job(spoolsill.JobID(fmt.Sprintf("j%d", i)), "q", p), sched.Progress{})
	}
	x.state.Decide(x.now)
	for rows := 0; rows < 40; {
		b, ok, err := x.state.Batch(x.now)
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(ok, qt.IsTrue)
		size := 0
		for _, r := range b.Rows {
			x.c.Assert(len(r.Value) < sched.MaxProgressBytes(job("j", "q", tasks(1000, 0))), qt.IsTrue)
			size += len(r.Value)
		}
		x.c.Assert(size < 700_000, qt.IsTrue)
		rows += len(b.Rows)
	}
}

// Of two stages that can both meet their objective, the one of the queue with the higher
// priority goes first, whatever their slack.
func TestPriorityPrecedesSlack(t *testing.T) {
	x := newCell(t)
	x.state.SetQueues([]sched.Queue{
		{
			ID:       "patient",
			Service:  "work",
			Priority: 2,
			Stretch:  2,
			Goal:     time.Second,
		},
	})
	x.addWorker("w")
	for _, j := range []sched.Job{job("a", "patient", tasks(1, 10)), job("b", "q", tasks(1, 10))} {
		j.Received = x.now
		x.state.AddJob(x.now, j, sched.Progress{})
	}
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"b.0.0.0#1"})
}
