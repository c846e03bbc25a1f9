package route_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/route"
)

// TestRetriesHaveABudget sends repeatable requests to runners that fail all of
// them, so that without a budget every request would be retried.
func TestRetriesHaveABudget(t *testing.T) {
	c := qt.New(t)
	s := route.NewState(route.Config{
		Host:    "h",
		NoEject: true,
	})
	now := time.UnixMicro(1_000_000_000)
	s.SetRunners(now, testRunners)
	const requests = 1000
	dispatched := 0
	count := func(acts []route.Action) (list []route.Ticket) {
		for _, a := range acts {
			if a.Kind == route.Dispatch {
				dispatched++
				list = append(list, a.Ticket)
			}
		}
		return list
	}
	for i := range requests {
		open := count(s.Arrive(now, route.Arrival{
			Ticket: route.Ticket(i + 1),
			Request: spoolsill.Request{
				Deadline: now.Add(time.Minute),
			},
		}))
		for len(open) > 0 {
			next := count(s.Finish(now, open[0], route.Failed))
			open = append(open[1:], next...)
		}
	}
	const maxBudget = 50 // retries that may accumulate
	c.Assert(dispatched > requests, qt.IsTrue)
	c.Assert(dispatched <= requests+requests/10+maxBudget, qt.IsTrue, qt.Commentf("%d", dispatched))
}

// TestOverloadShedsTheLeastWorth sends more requests than slots and queue hold.
func TestOverloadShedsTheLeastWorth(t *testing.T) {
	c := qt.New(t)
	s := route.NewState(route.Config{
		Host:      "h",
		Slots:     1,
		MaxQueued: 2,
	})
	now := time.UnixMicro(1_000_000_000)
	s.SetRunners(now, testRunners[:1])
	var shed []route.Action
	for i, worth := range []int{9, 5, 7, 3, 8} {
		for _, a := range s.Arrive(now, route.Arrival{
			Ticket: route.Ticket(i + 1),
			Request: spoolsill.Request{
				Deadline: now.Add(time.Minute),
				Worth:    worth,
			},
		}) {
			if a.Kind == route.Fail {
				shed = append(shed, a)
			}
		}
	}
	c.Assert(shed, qt.HasLen, 2)
	c.Assert([]route.Ticket{shed[0].Ticket, shed[1].Ticket}, qt.DeepEquals, []route.Ticket{4, 2})
	c.Assert(shed[0].Outcome, qt.Equals, spoolsill.OutcomeNotRun)
	c.Assert(shed[0].RetryAfter > 0, qt.IsTrue)
}
