package place_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

func TestPlanChangesNothingAndIsAppliedAsShown(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 2)
	p, err := s.PlanSubmit(start, job("job", 3, 8))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Jobs(), qt.HasLen, 0)
	c.Assert(p.After.Free.Processors, qt.Equals, spoolsill.Millicores(0))
	c.Assert(p.Changes, qt.HasLen, 3)
	c.Assert(p.Changes[2].Verb, qt.Equals, place.VerbQueue)
	records, err := s.Confirm(start, "p1", p)
	c.Assert(err, qt.IsNil)
	c.Assert(records, qt.HasLen, 4)
	again, err := s.Confirm(start, "p1", p)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.HasLen, 0)
	c.Assert(s.CheckInvariants(), qt.IsNil)
}

// TestSecondPlanForTheSameCapacityIsStale confirms two plans that were made for
// the same capacity: only the first may be applied.
func TestSecondPlanForTheSameCapacityIsStale(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	a, err := s.PlanSubmit(start, job("a", 1, 8))
	c.Assert(err, qt.IsNil)
	b, err := s.PlanSubmit(start, job("b", 1, 8))
	c.Assert(err, qt.IsNil)
	_, err = s.Confirm(start, "pa", a)
	c.Assert(err, qt.IsNil)
	_, err = s.Confirm(start, "pb", b)
	var stale *place.StaleError
	c.Assert(errors.As(err, &stale), qt.IsTrue)
	c.Assert(stale.Text, qt.Contains, "w0")
	c.Assert(s.Jobs(), qt.HasLen, 1)
}

// TestCancelPlanIsStaleWhenMoreHasStarted confirms a cancellation after another
// task of the job has started, which the plan did not show as stopped.
func TestCancelPlanIsStaleWhenMoreHasStarted(t *testing.T) {
	c := qt.New(t)
	s := newHall(place.Config{}, 1)
	addJob(c, s, start, job("job", 1, 1))
	p, err := s.PlanCancel(start, []spoolsill.JobID{"job"})
	c.Assert(err, qt.IsNil)
	decide(c, s, start, place.TaskPlaced)
	_, err = s.Confirm(start, "p", p)
	c.Assert(err, qt.ErrorMatches, "plan is stale: task job.0 has started since")
}
