package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// Guards against jobs of one queue that never start while jobs of a queue with a higher
// priority, which earn nothing any more either, keep arriving.
func TestOldestOfWorthlessJobsGoesFirst(t *testing.T) {
	x := newCell(t)
	x.state.SetQueues([]sched.Queue{
		{
			ID:       "first",
			Service:  "work",
			Priority: 1,
			Stretch:  2,
			Goal:     time.Second,
		},
		{
			ID:       "last",
			Service:  "work",
			Priority: 2,
			Stretch:  3,
			Goal:     time.Second,
		},
	})
	x.addWorker("w")
	for id, waited := range map[spoolsill.JobID]time.Duration{
		"newer":  time.Hour,
		"older":  2 * time.Hour,
		"newest": 50 * time.Minute,
	} {
		queue := sched.QueueID("first")
		if id == "older" {
			queue = "last"
		}
		j := job(id, queue, tasks(1, 10))
		j.Received = x.now.Add(-waited)
		x.state.AddJob(x.now, j, sched.Progress{})
	}
	x.c.Assert(taskNames(x.step()), qt.DeepEquals, []string{"older.0.0.0#1"})
}
