package admit_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
