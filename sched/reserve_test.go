package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// fillWithSmallTasks starts small tasks on all of the worker "w", with checkpoints if saves
// is set.
func (x *cell) fillWithSmallTasks(queue sched.QueueID, saves bool) []sched.StartOrder {
	s := tasks(5, 2)
	s.Estimate = 5 * time.Second
	s.Checkpoints = saves
	j := job("small", queue, s)
	j.Received = x.now
	x.state.AddJob(x.now, j, sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, 5)
	x.acceptStarts(o)
	return o
}

// addLargeJob adds a job of the queue "q" with a task that needs a whole worker.
func (x *cell) addLargeJob() {
	j := job("large", "q", tasks(1, 10))
	j.Received = x.now
	x.state.AddJob(x.now, j, sched.Progress{})
}

// Where smaller tasks take all freed capacity, a large task never finds enough at once. A
// worker is reserved for it.
func TestWorkerIsReservedForLargeTask(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	running := x.fillWithSmallTasks("q", false)
	x.addLargeJob()
	x.step()
	later := job("later", "q", tasks(1, 2))
	later.Received = x.now.Add(time.Second)
	x.state.AddJob(x.now, later, sched.Progress{})
	for _, o := range running {
		x.c.Assert(x.step(), qt.HasLen, 0)
		x.endRun(o, sched.EndDone)
	}
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.c.Assert(o[0].Run.Task.Stage.Job, qt.Equals, spoolsill.JobID("large"))
}

func TestCheckpointedRunsArePreemptedForLargeTask(t *testing.T) {
	for _, c := range []struct {
		name  string
		queue sched.QueueID // of the small tasks
		saves bool
		stops int
	}{
		{"less urgent and saved", "patient", true, 5},
		{"less urgent, not saved", "patient", false, 0},
		{"as urgent", "q", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newCell(t)
			x.addPatientQueue()
			x.addWorker("w")
			running := x.fillWithSmallTasks(c.queue, c.saves)
			x.addLargeJob()
			x.step()
			stops := x.state.Stops()
			x.c.Assert(stops, qt.HasLen, c.stops)
			if c.stops == 0 {
				return
			}
			for _, o := range running {
				x.endRun(o, sched.EndStopped)
			}
			o := x.step()
			x.c.Assert(o, qt.HasLen, 1)
			x.c.Assert(o[0].Run.Task.Stage.Job, qt.Equals, spoolsill.JobID("large"))
		})
	}
}

// A run that would miss its objective after a restart is not preempted.
func TestRunsWithoutSlackAreNotPreempted(t *testing.T) {
	x := newCell(t)
	x.state.SetQueues([]sched.Queue{
		{
			ID:          "tight",
			Service:     "work",
			Priority:    2,
			MaxAttempts: 2,
			Stretch:     1,
			Goal:        time.Second,
		},
	})
	x.addWorker("w")
	x.fillWithSmallTasks("tight", true)
	x.addLargeJob()
	x.step()
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
}

// Guards against a worker reserved for a large task that waits for a lasting task, which never
// ends: smaller tasks could not use the worker for as long as the large one was in time.
func TestNoWorkerIsReservedForLargeTaskBehindLastingTask(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.spreadLastingTasks(1)
	x.addLargeJob()
	x.step()
	later := job("later", "q", tasks(1, 2))
	later.Received = x.now.Add(time.Second)
	x.state.AddJob(x.now, later, sched.Progress{})
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"later.0.0.0#1"})
}
