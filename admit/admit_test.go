package admit_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/admit"
)

const most = 80 * time.Millisecond

// A link carries capacity jobs a second; what comes beyond waits and makes answers late.
type link struct {
	capacity float64
	waiting  float64 // jobs
}

// take takes jobs in for a while and returns how late answers are then.
func (l *link) take(jobs float64, d time.Duration) time.Duration {
	l.waiting = max(l.waiting+jobs-l.capacity*d.Seconds(), 0)
	return time.Duration(l.waiting / l.capacity * float64(time.Second))
}

// play has demand jobs a second come for a while, of which the controller's share is
// taken, and returns the longest delay and how many were taken in the second half.
func play(c *admit.Controller, l *link, begin time.Time, demand float64) (longest time.Duration, taken float64) {
	const step = 50 * time.Millisecond
	const steps = 400
	late := time.Duration(0)
	for i := range steps {
		share := c.Update(begin.Add(time.Duration(i)*step), late, most)
		jobs := demand * share * step.Seconds()
		late = l.take(jobs, step)
		longest = max(longest, late)
		if i >= steps/2 {
			taken += jobs
		}
	}
	return longest, taken / (steps / 2 * step.Seconds())
}

func TestAllIsTakenWhereThereIsRoom(t *testing.T) {
	var c admit.Controller
	_, taken := play(&c, &link{
		capacity: 100,
	}, time.Unix(1000, 0), 90)
	qt.Check(t, taken, qt.Equals, 90.0)
}

// From a tenth more than the link carries to ten times as much: it is used for the most
// part, and answers are never late by more than some seconds' work.
func TestWhatFitsIsTakenWhenMoreComes(t *testing.T) {
	for _, demand := range []float64{110, 200, 400, 1000} {
		var c admit.Controller
		l := &link{
			capacity: 100,
		}
		longest, taken := play(&c, l, time.Unix(1000, 0), demand)
		qt.Check(t, taken > 60 && taken < 105, qt.IsTrue, qt.Commentf("%.0f of %.0f a second, 100 fit", taken, demand))
		qt.Check(t, longest < 10*time.Second, qt.IsTrue, qt.Commentf("%s late at %.0f", longest, demand))
	}
}

// Once the crowd is gone all is taken again within seconds.
func TestAllIsTakenAgainAfterACrowd(t *testing.T) {
	var c admit.Controller
	l := &link{
		capacity: 100,
	}
	play(&c, l, time.Unix(1000, 0), 1000)
	_, taken := play(&c, l, time.Unix(1020, 0), 50)
	qt.Check(t, taken, qt.Equals, 50.0)
}

// Guards against a cell that is back after a loss of power and turns more than three
// quarters of its clients away for as long as its backlog fills the leader's link: clients
// come back four times.
func TestAQuarterOfTheClientsGetsThrough(t *testing.T) {
	const tries = 5
	var c admit.Controller
	begin := time.Unix(1000, 0)
	share := 1.0
	for i := range 100 {
		share = c.Update(begin.Add(time.Duration(i)*time.Second), time.Second, most)
	}
	through := 1 - math.Pow(1-share, tries)
	qt.Check(t, through >= 0.25, qt.IsTrue, qt.Commentf("%.3f of the clients get through", through))
}
