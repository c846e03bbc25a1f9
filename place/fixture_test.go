package place_test

import (
	"fmt"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

var start = time.UnixMicro(1_000_000_000)

// newHall returns a state with n workers of 8 cores and 16 GiB, two to a rack.
func newHall(c place.Config, n int) *place.State {
	s := place.NewState(c)
	var list []spoolsill.Worker
	for i := range n {
		list = append(list, spoolsill.Worker{
			ID:   spoolsill.WorkerID(fmt.Sprintf("w%d", i)),
			Rack: spoolsill.RackID(fmt.Sprintf("r%d", i/2)),
			Capacity: spoolsill.Resources{
				Processors: 8 * spoolsill.Core,
				Memory:     16 * spoolsill.GiB,
			},
		})
	}
	s.SetWorkers(list)
	return s
}

// job returns a batch job whose tasks need 1 GiB each.
func job(id string, tasks, cores int) spoolsill.Job {
	return spoolsill.Job{
		ID:    spoolsill.JobID(id),
		Team:  "team",
		Kind:  spoolsill.KindBatch,
		Class: spoolsill.ClassNormal,
		Tasks: tasks,
		Shape: spoolsill.Resources{
			Processors: spoolsill.Millicores(cores) * spoolsill.Core,
			Memory:     spoolsill.GiB,
		},
		Runtime: 10 * time.Second,
	}
}

func addJob(c *qt.C, s *place.State, at time.Time, j spoolsill.Job) {
	c.Assert(s.Apply(place.Record{
		Kind: place.JobAdded,
		At:   at.UnixMicro(),
		Job:  &j,
	}), qt.IsNil)
}

// decide calls Decide, verifies the invariants and returns the records of kind k.
func decide(c *qt.C, s *place.State, at time.Time, k place.RecordKind) []place.Record {
	records, _ := s.Decide(at)
	c.Assert(s.CheckInvariants(), qt.IsNil)
	var out []place.Record
	for _, r := range records {
		if r.Kind == k {
			out = append(out, r)
		}
	}
	return out
}

// confirmStarts confirms the starts in records.
func confirmStarts(s *place.State, at time.Time, records []place.Record) {
	for _, r := range records {
		s.Report(at, place.Report{
			Task:    r.Task,
			Attempt: r.Attempt,
			Outcome: place.Started,
		})
	}
}

// report reports the outcome of the attempt that r started.
func report(s *place.State, at time.Time, r place.Record, outcome place.Outcome) {
	s.Report(at, place.Report{
		Task:    r.Task,
		Attempt: r.Attempt,
		Outcome: outcome,
	})
}
