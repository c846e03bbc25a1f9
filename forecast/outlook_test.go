package forecast_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/forecast"
)

// tenCores is a cell with ten cores whose hosts make two queries at a time.
var tenCores = forecast.Supply{
	Processors: 10 * spoolsill.Core,
	Queries:    2,
}

// task returns a job that has not begun and takes the cell d.
func task(d, due time.Duration) forecast.Job {
	c := forecast.Cost{
		Processor: 10 * d,
	}
	return forecast.Job{
		Left:  c,
		Whole: c,
		Chain: d,
		Due:   due,
	}
}

// halfDone returns j with half of it done.
func halfDone(j forecast.Job) forecast.Job {
	j.Left.Processor /= 2
	j.Chain /= 2
	return j
}

func TestSupplyTimeIsOfTheScarcerResource(t *testing.T) {
	c := qt.New(t)
	c.Check(tenCores.Time(forecast.Cost{
		Processor: 20 * time.Second,
		Advice:    6 * time.Second,
	}), qt.Equals, 3*time.Second)
	c.Check(tenCores.Time(forecast.Cost{
		Processor: 50 * time.Second,
		Advice:    6 * time.Second,
	}), qt.Equals, 5*time.Second)
	c.Check(forecast.Supply{}.Time(forecast.Cost{
		Advice: time.Second,
	}), qt.Equals, forecast.Never)
	c.Check(forecast.Supply{}.Time(forecast.Cost{}), qt.Equals, time.Duration(0))
}

func TestProcessorTimeIsOfOneCore(t *testing.T) {
	c := qt.New(t)
	c.Check(forecast.ProcessorTime(3, 2500, time.Second), qt.Equals, 7500*time.Millisecond)
}

// Jobs that have begun go first, then those whose size does not count, then the smallest. Work
// that can't be in time yields to all of them, whatever its priority.
func TestOrderUnderOverload(t *testing.T) {
	c := qt.New(t)
	small, large := task(time.Second, time.Minute), task(9*time.Second, time.Minute)
	blind := large
	blind.SizeBlind = true
	late := halfDone(task(time.Second, 0))
	over := small
	over.OverShare = true
	low := halfDone(large)
	low.Priority = 2
	order := []forecast.Job{halfDone(large), blind, small, large, low, over, late}
	for i := range order[1:] {
		c.Check(order[i].Compare(order[i+1], tenCores) < 0, qt.IsTrue, qt.Commentf("%d before %d", i, i+1))
		c.Check(order[i+1].Compare(order[i], tenCores) > 0, qt.IsTrue, qt.Commentf("%d after %d", i+1, i))
	}
}

func TestEndsAfterTheWorkThatGoesFirst(t *testing.T) {
	c := qt.New(t)
	o := forecast.NewOutlook(tenCores, []forecast.Job{
		task(4*time.Second, time.Minute),
		task(time.Second, time.Minute),
		halfDone(task(6*time.Second, time.Minute)),
	})
	c.Check(o.Backlog(), qt.Equals, 8*time.Second)
	c.Check(o.Wait(task(2*time.Second, time.Minute)), qt.Equals, 4*time.Second)
	c.Check(o.Ends(task(2*time.Second, time.Minute)), qt.Equals, 6*time.Second)
	narrow := task(2*time.Second, time.Minute)
	narrow.Chain = 7 * time.Second
	c.Check(o.Ends(narrow), qt.Equals, 11*time.Second)
	c.Check(o.Wait(task(100*time.Millisecond, time.Minute)), qt.Equals, 3*time.Second)
	later := task(2*time.Second, time.Minute)
	later.Priority = 1
	c.Check(o.Wait(later), qt.Equals, 8*time.Second)
}

// A job waits behind those of equal rank, which were there first.
func TestEqualJobsAreServedInOrder(t *testing.T) {
	c := qt.New(t)
	j := task(time.Second, time.Minute)
	o := forecast.NewOutlook(tenCores, []forecast.Job{j, j})
	c.Check(o.Wait(j), qt.Equals, 2*time.Second)
}

// As long as no worker has answered, nothing is known about the load.
func TestUnknownSupplyIsNoOverload(t *testing.T) {
	c := qt.New(t)
	o := forecast.NewOutlook(forecast.Supply{}, []forecast.Job{task(time.Second, 2*time.Second)})
	c.Check(o.Overloaded(), qt.IsFalse)
	c.Check(o.Groups(), qt.HasLen, 0)
	c.Check(o.Backlog(), qt.Equals, time.Duration(0))
	c.Check(o.Ends(task(time.Second, time.Minute)), qt.Equals, forecast.Never)
	c.Check(forecast.Outlook{}.Ends(task(time.Second, time.Minute)), qt.Equals, forecast.Never)
	c.Check(forecast.Outlook{}.Overloaded(), qt.IsFalse)
}

// Urgent jobs that can all be in time are not overloaded by those that wait behind them.
func TestStrainIsOfEachGroup(t *testing.T) {
	c := qt.New(t)
	low := task(4*time.Second, 4*time.Second)
	low.Priority = 1
	over := task(time.Second, 2*time.Second)
	over.OverShare = true
	o := forecast.NewOutlook(tenCores, []forecast.Job{low, over, task(time.Second, 4*time.Second)})
	strain := func(g forecast.Group) float64 { return o.Groups()[g].Strain }
	c.Check(strain(task(0, 0).Group()), qt.Equals, 0.25)
	c.Check(strain(low.Group()), qt.Equals, 1.25)
	c.Check(strain(over.Group()), qt.Equals, 3.0)
	c.Check(o.Overloaded(), qt.IsTrue)
}

// Jobs that can't be in time don't count as overload, since no order helps them.
func TestLateJobsAreNoOverload(t *testing.T) {
	c := qt.New(t)
	o := forecast.NewOutlook(tenCores, []forecast.Job{
		task(20*time.Second, 10*time.Second),
		task(time.Second, 2*time.Second),
	})
	c.Check(o.Overloaded(), qt.IsFalse)
	c.Check(o.Groups()[forecast.Group{}].Late, qt.Equals, 1)
}

// Checks against all orders of a few jobs that Overloaded is set if and only if none of the orders
// has all of them in time.
func TestOverloadedMeansThatNoOrderHelps(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var jobs []forecast.Job
		for range rapid.IntRange(0, 5).Draw(rt, "jobs") {
			j := forecast.Job{
				Left: forecast.Cost{
					Processor: time.Duration(rapid.IntRange(0, 50).Draw(rt, "processor")) * time.Second,
					Advice:    time.Duration(rapid.IntRange(0, 10).Draw(rt, "advice")) * time.Second,
				},
				Due: time.Duration(rapid.IntRange(1, 20).Draw(rt, "due")) * time.Second,
			}
			jobs = append(jobs, j)
		}
		met := false
		permute(jobs, func(order []forecast.Job) {
			var sum forecast.Cost
			late := slices.ContainsFunc(order, func(j forecast.Job) bool {
				sum = sum.Add(j.Left)
				return tenCores.Time(sum) > j.Due
			})
			met = met || !late
		})
		if o := forecast.NewOutlook(tenCores, jobs); o.Overloaded() == met {
			rt.Fatalf("overloaded %v, but an order has all in time: %v", o.Overloaded(), met)
		}
	})
}

// permute calls visit with all orders of jobs.
func permute(jobs []forecast.Job, visit func([]forecast.Job)) {
	var next func(n int)
	jobs = slices.Clone(jobs)
	next = func(n int) {
		if n >= len(jobs)-1 {
			visit(jobs)
			return
		}
		for i := n; i < len(jobs); i++ {
			jobs[n], jobs[i] = jobs[i], jobs[n]
			next(n + 1)
			jobs[n], jobs[i] = jobs[i], jobs[n]
		}
	}
	next(0)
}
