package place_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// TestFailingWorkerIsQuarantined guards against a worker that fails every task at
// once and therefore always has free capacity, so that it attracts new tasks.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("quarantine off=%t", off), func(t *testing.T) {
			c := qt.New(t)
			s := newHall(place.Config{
				NoQuarantine: off,
				MaxAttempts:  10,
			}, 10)
			failed := 0
			now := start
			for i := range 40 {
				addJob(c, s, now, job(fmt.Sprintf("job%d", i), 10, 4))
				for _, r := range decide(c, s, now, place.TaskPlaced) {
					if r.Worker == "w0" {
						failed++
						report(s, now, r, place.Failed)
						continue
					}
					confirmStarts(s, now, []place.Record{r})
					report(s, now, r, place.Exited)
				}
				now = now.Add(100 * time.Millisecond)
			}
			if off {
				c.Assert(failed > 20, qt.IsTrue, qt.Commentf("%d", failed))
				return
			}
			c.Assert(failed <= 4, qt.IsTrue, qt.Commentf("%d", failed))
		})
	}
}

func TestFailingJobDoesNotQuarantineWorkers(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{
		MaxAttempts: 20,
	}, 10)
	addJob(c, s, start, job("bad", 40, 1))
	now := start
	for range 20 {
		for _, r := range decide(c, s, now, place.TaskPlaced) {
			report(s, now, r, place.Failed)
		}
		now = now.Add(time.Minute)
	}
	for _, w := range s.Workers() {
		c.Assert(w.QuarantinedUntil.After(now), qt.IsFalse, qt.Commentf("%s", w.ID))
	}
}

func TestFailedTaskAvoidsItsWorkersAndHasLimitedAttempts(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 8)
	addJob(c, s, start, job("job", 1, 1))
	seen := map[spoolsill.WorkerID]bool{}
	now := start
	for range 10 {
		for _, r := range decide(c, s, now, place.TaskPlaced) {
			c.Assert(seen[r.Worker], qt.IsFalse)
			seen[r.Worker] = true
			report(s, now, r, place.Failed)
		}
		now = now.Add(time.Minute)
	}
	c.Assert(seen, qt.HasLen, place.DefaultMaxAttempts)
	_, tasks, _ := s.Job("job")
	c.Assert(tasks[0].State, qt.Equals, spoolsill.TaskFailed)
}

func TestUnrepeatableTaskOfALostWorkerIsNotStartedAgain(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	j := job("once", 1, 1)
	j.Unrepeatable = true
	addJob(c, s, start, j)
	r := decide(c, s, start, place.TaskPlaced)[0]
	confirmStarts(s, start, []place.Record{r})
	report(s, start, r, place.Lost)
	c.Assert(decide(c, s, start.Add(time.Hour), place.TaskPlaced), qt.HasLen, 0)
	_, tasks, _ := s.Job("once")
	c.Assert(tasks[0].State, qt.Equals, spoolsill.TaskLost)
}

func TestCancelStopsRunningAndDropsWaitingTasks(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 4)
	var ids []spoolsill.JobID
	for i := range 500 {
		j := job(fmt.Sprintf("j%d", i), 4, 4)
		addJob(c, s, start, j)
		ids = append(ids, j.ID)
	}
	confirmStarts(s, start, decide(c, s, start, place.TaskPlaced))
	records := s.Cancel(start, ids)
	c.Assert(s.CheckInvariants(), qt.IsNil)
	stops := 0
	for _, r := range records {
		if r.Kind == place.TaskStopping {
			stops++
			report(s, start, r, place.Stopped)
		}
	}
	c.Assert(stops, qt.Equals, 8)
	c.Assert(decide(c, s, start, place.TaskPlaced), qt.HasLen, 0)
	c.Assert(s.Free(), qt.Equals, s.Total())
}

func TestOverusingTaskIsThrottledThenCheckpointedThenStopped(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	addJob(c, s, start, job("greedy", 1, 1))
	r := decide(c, s, start, place.TaskPlaced)[0]
	confirmStarts(s, start, []place.Record{r})
	used := spoolsill.Resources{
		Processors: 4 * spoolsill.Core,
	}
	var got []place.Enforcement
	for range 6 {
		e, _ := s.ReportUsage(start, r.Task, used)
		got = append(got, e)
	}
	c.Assert(got, qt.DeepEquals, []place.Enforcement{
		place.EnforceThrottle,
		place.EnforceThrottle,
		place.EnforceCheckpoint,
		place.EnforceCheckpoint,
		place.EnforceCheckpoint,
		place.EnforceStop,
	})
}
