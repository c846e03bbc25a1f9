package admit_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/admit"
)

const latencyLimit = 80 * time.Millisecond

// A link carries capacity jobs a second. A backlog of jobs beyond that delays responses.
type link struct {
	capacity float64
	backlog  float64 // in jobs
}

// offer adds jobs to the backlog, lets d pass and returns the latency of responses after it.
func (l *link) offer(jobs float64, d time.Duration) time.Duration {
	l.backlog = max(l.backlog+jobs-l.capacity*d.Seconds(), 0)
	return time.Duration(l.backlog / l.capacity * float64(time.Second))
}

// simulate submits demand jobs a second for a while, of which the controller's share is
// accepted. It returns the highest latency, and the rate of accepted jobs in the second half.
func simulate(c *admit.Controller, l *link, begin time.Time, demand float64) (longest time.Duration, taken float64) {
	const step = 50 * time.Millisecond
	const steps = 400
	latency := time.Duration(0)
	for i := range steps {
		share := c.Update(begin.Add(time.Duration(i)*step), latency, latencyLimit)
		jobs := demand * share * step.Seconds()
		latency = l.offer(jobs, step)
		longest = max(longest, latency)
		if i >= steps/2 {
			taken += jobs
		}
	}
	return longest, taken / (steps / 2 * step.Seconds())
}

func TestAllIsTakenWhereThereIsRoom(t *testing.T) {
	var c admit.Controller
	_, taken := simulate(&c, &link{
		capacity: 100,
	}, time.Unix(1000, 0), 90)
	qt.Check(t, taken, qt.Equals, 90.0)
}

// From a tenth more than the capacity of the link up to ten times as much, most of the capacity
// is used, and the latency stays within seconds.
func TestWhatFitsIsTakenWhenMoreComes(t *testing.T) {
	for _, demand := range []float64{110, 200, 400, 1000} {
		var c admit.Controller
		l := &link{
			capacity: 100,
		}
		longest, taken := simulate(&c, l, time.Unix(1000, 0), demand)
		qt.Check(t, taken > 60 && taken < 105, qt.IsTrue, qt.Commentf("%.0f of %.0f a second, 100 fit", taken, demand))
		qt.Check(t, longest < 10*time.Second, qt.IsTrue, qt.Commentf("%s late at %.0f", longest, demand))
	}
}

// After an overload all jobs are accepted again within seconds.
func TestAllIsTakenAgainAfterACrowd(t *testing.T) {
	var c admit.Controller
	l := &link{
		capacity: 100,
	}
	simulate(&c, l, time.Unix(1000, 0), 1000)
	_, taken := simulate(&c, l, time.Unix(1020, 0), 50)
	qt.Check(t, taken, qt.Equals, 50.0)
}

// Guards against a cell that rejects more than three quarters of its clients, which retry four
// times, while its backlog after a power loss saturates the leader's link.
func TestAQuarterOfTheClientsGetsThrough(t *testing.T) {
	const tries = 5
	var c admit.Controller
	begin := time.Unix(1000, 0)
	share := 1.0
	for i := range 100 {
		share = c.Update(begin.Add(time.Duration(i)*time.Second), time.Second, latencyLimit)
	}
	through := 1 - math.Pow(1-share, tries)
	qt.Check(t, through >= 0.25, qt.IsTrue, qt.Commentf("%.3f of the clients get through", through))
}
