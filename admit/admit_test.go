package admit_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/admit"
)

const latencyLimit = 80 * time.Millisecond

// A link transmits capacity jobs a second. Jobs beyond that queue up and delay responses.
type link struct {
	capacity float64
	backlog  float64 // in jobs
}

// add adds jobs to the backlog, simulates the time d and returns the latency of responses after it.
func (l *link) add(jobs float64, d time.Duration) time.Duration {
	l.backlog = max(l.backlog+jobs-l.capacity*d.Seconds(), 0)
	return time.Duration(l.backlog / l.capacity * float64(time.Second))
}

// simulate submits demand jobs a second for 20 s, of which the controller's share is accepted. It
// returns the maximum latency, and the rate of accepted jobs in the second half.
func simulate(c *admit.Controller, l *link, begin time.Time, demand float64) (maxLatency time.Duration, accepted float64) {
	const step = 50 * time.Millisecond
	const steps = 400
	latency := time.Duration(0)
	for i := range steps {
		share := c.Update(begin.Add(time.Duration(i)*step), latency, latencyLimit)
		jobs := demand * share * step.Seconds()
		latency = l.add(jobs, step)
		maxLatency = max(maxLatency, latency)
		if i >= steps/2 {
			accepted += jobs
		}
	}
	return maxLatency, accepted / (steps / 2 * step.Seconds())
}

func TestAllJobsAreAcceptedBelowCapacity(t *testing.T) {
	var c admit.Controller
	_, accepted := simulate(&c, &link{
		capacity: 100,
	}, time.Unix(1000, 0), 90)
	qt.Check(t, accepted, qt.Equals, 90.0)
}

// With a demand of 1.1 to 10 times the capacity of the link, most of the capacity is used, and the
// latency stays below 10 s.
func TestCapacityIsUsedUnderOverload(t *testing.T) {
	for _, demand := range []float64{110, 200, 400, 1000} {
		var c admit.Controller
		l := &link{
			capacity: 100,
		}
		maxLatency, accepted := simulate(&c, l, time.Unix(1000, 0), demand)
		qt.Check(t, accepted > 60 && accepted < 105, qt.IsTrue, qt.Commentf("%.0f of %.0f jobs/s accepted, the capacity is 100", accepted, demand))
		qt.Check(t, maxLatency < 10*time.Second, qt.IsTrue, qt.Commentf("latency of %s at %.0f jobs/s", maxLatency, demand))
	}
}

// All jobs are accepted again within 10 s after an overload.
func TestAllJobsAreAcceptedAfterOverload(t *testing.T) {
	var c admit.Controller
	l := &link{
		capacity: 100,
	}
	simulate(&c, l, time.Unix(1000, 0), 1000)
	_, accepted := simulate(&c, l, time.Unix(1020, 0), 50)
	qt.Check(t, accepted, qt.Equals, 50.0)
}

// Guards against rejecting more than three quarters of the clients, which retry four times, while
// the backlog after a power loss saturates the leader's link.
func TestQuarterOfClientsSucceedsUnderOverload(t *testing.T) {
	const attempts = 5
	var c admit.Controller
	begin := time.Unix(1000, 0)
	share := 1.0
	for i := range 100 {
		share = c.Update(begin.Add(time.Duration(i)*time.Second), time.Second, latencyLimit)
	}
	successShare := 1 - math.Pow(1-share, attempts)
	qt.Check(t, successShare >= 0.25, qt.IsTrue, qt.Commentf("%.3f of the clients succeed", successShare))
}

// While the latency is unknown, the share falls by the same steps as while it is late.
func TestUnknownLatencyCountsAsLate(t *testing.T) {
	var unknown, late admit.Controller
	begin := time.Unix(1000, 0)
	for i := range 12 {
		now := begin.Add(time.Duration(i) * 200 * time.Millisecond)
		qt.Check(t, unknown.UpdateUnknown(now), qt.Equals, late.Update(now, time.Second, latencyLimit), qt.Commentf("update %d", i))
	}
	qt.Check(t, unknown.UpdateUnknown(begin.Add(3*time.Second)) <= 0.11, qt.IsTrue)
}

// All jobs are accepted if the latency is known soon after it became unknown.
func TestShortUnknownLatencyRefusesNothing(t *testing.T) {
	var c admit.Controller
	begin := time.Unix(1000, 0)
	c.Begin(begin)
	for i := range 19 {
		qt.Check(t, c.UpdateUnknown(begin.Add(time.Duration(i)*10*time.Millisecond)), qt.Equals, 1.0)
	}
	qt.Check(t, c.Update(begin.Add(time.Second), time.Millisecond, latencyLimit), qt.Equals, 1.0)
}

// A takeover is the load of a cell while a new leader loads its jobs and works off what waits.
type takeover struct {
	loading time.Duration            // no latency is known
	free    spoolsill.Resources      // once the workers have responded
	waiting spoolsill.Resources      // once the jobs are loaded
	drained time.Duration            // after which nothing waits any more, from the takeover on
	late    func(time.Duration) bool // whether responses are late, at a time after the takeover
}

// accepted simulates d from a takeover on and returns the share of the jobs that are accepted.
func (o takeover) accepted(d time.Duration) float64 {
	const step = 50 * time.Millisecond
	var c admit.Controller
	begin := time.Unix(1000, 0)
	c.Begin(begin)
	sum, n := 0.0, 0
	for at := time.Duration(0); at < d; at += step {
		now := begin.Add(at)
		latency := 8 * time.Millisecond
		if o.late != nil && o.late(at) {
			latency = 300 * time.Millisecond
		}
		waiting := o.waiting
		if at >= o.drained {
			waiting = spoolsill.Resources{}
		}
		var share float64
		switch {
		case at < o.loading:
			share = c.UpdateUnknown(now)
		default:
			share = c.Update(now, latency, latencyLimit)
			if latency <= latencyLimit && admit.HasRoom(waiting, o.free) {
				share = c.Restore()
			}
		}
		sum += share
		n++
	}
	return sum / float64(n)
}

func processors(cores int) spoolsill.Resources {
	return spoolsill.Resources{
		Processors: spoolsill.Millicores(cores) * spoolsill.Core,
		Memory:     spoolsill.Bytes(cores) * spoolsill.MiB,
	}
}

// A cell of 6,000 workers, nine tenths of it idle, loads its jobs in 0.6 s. It refuses few jobs,
// since there is room for all.
func TestTakeoverOfAnIdleCellRefusesFewJobs(t *testing.T) {
	o := takeover{
		loading: 600 * time.Millisecond,
		free:    processors(337_000),
		waiting: processors(3_200),
		drained: 2 * time.Second,
	}
	share := o.accepted(4 * time.Second)
	qt.Check(t, share > 0.9, qt.IsTrue, qt.Commentf("%.2f of the jobs accepted", share))
}

// Guards against accepting jobs that are lost: after a loss of power, a cell on links of 2 Mbit/s
// loads for 3 s, and 450 stages then wait for more than it has, for half a minute.
func TestTakeoverOfAFullCellAcceptsFewJobs(t *testing.T) {
	o := takeover{
		loading: 3 * time.Second,
		free:    processors(3_000),
		waiting: processors(7_500),
		drained: 30 * time.Second,
		late:    func(at time.Duration) bool { return at.Milliseconds()/1000%2 == 0 },
	}
	share := o.accepted(10 * time.Second)
	qt.Check(t, share < 0.35, qt.IsTrue, qt.Commentf("%.2f of the jobs accepted", share))
}

// A share that was lowered since responses were late is not restored by an unknown latency
// after it, nor one that was lowered by both.
func TestLateResponsesAreNotForgotten(t *testing.T) {
	begin := time.Unix(1000, 0)
	var before, after admit.Controller
	at := func(i int) time.Time { return begin.Add(time.Duration(i) * 200 * time.Millisecond) }
	low := before.Update(at(0), time.Second, latencyLimit)
	before.UpdateUnknown(at(1))
	before.Update(at(2), time.Millisecond, latencyLimit)
	qt.Check(t, before.Restore() <= low+0.06, qt.IsTrue)
	after.UpdateUnknown(at(0))
	after.Update(at(1), time.Second, latencyLimit)
	qt.Check(t, after.Restore() < 0.5, qt.IsTrue)
}
