package retryafter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/retryafter"
)

// An outage is a load: clients hand in work at a steady rate, and for a while all of it is
// refused.
type outage struct {
	perSecond int
	lasts     time.Duration
	// timeout is how long a client tries; 0 means until it is served.
	timeout time.Duration
	seed    uint64
}

// An arrival is an attempt of a client.
type arrival struct {
	at, first time.Duration
	client    int
	attempt   int
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// A replay is what the hosts see of an outage.
type replay struct {
	busiest   int           // arrivals in the busiest second after the return
	refused   int           // refusals in the busiest second of the outage
	longest   time.Duration // from the return until the last client that was refused is served
	neverBack int           // clients that gave up
}

// play replays an outage on virtual time. The outage begins at 0.
func play(o outage, delay func(retryafter.Refusal) time.Duration) replay {
	random := rand.New(rand.NewPCG(o.seed, 1))
	var a arrivals
	for i := range int((3 * o.lasts).Seconds() * float64(o.perSecond)) {
		at := time.Duration(random.Float64() * float64(3*o.lasts))
		a = append(a, arrival{
			at:     at,
			first:  at,
			client: i,
		})
	}
	heap.Init(&a)
	var r replay
	refused := map[time.Duration]int{}
	served := map[time.Duration]int{}
	for a.Len() > 0 {
		x := heap.Pop(&a).(arrival)
		if o.timeout > 0 && x.at-x.first > o.timeout {
			r.neverBack++
			continue
		}
		second := (x.at - o.lasts).Truncate(time.Second)
		if x.at >= o.lasts {
			served[second]++
			r.busiest = max(r.busiest, served[second])
			if x.attempt > 0 {
				r.longest = max(r.longest, x.at-o.lasts)
			}
			continue
		}
		refused[second]++
		r.refused = max(r.refused, refused[second])
		x.attempt++
		x.at += delay(retryafter.Refusal{
			FailingFor: x.at,
			Timeout:    o.timeout,
			Key:        fmt.Sprintf("%016x-%d", x.client, x.attempt),
		})
		heap.Push(&a, x)
	}
	return r
}

// fixed is the delay of the release before: the mechanism taken out.
func fixed(retryafter.Refusal) time.Duration { return retryafter.Shortest }

// maxFactor is how many times the usual rate of requests the hosts may see: bursts of nearly
// three times the usual rate are part of the load that a cell is made for.
const maxFactor = 3

// After an outage, clients come back no faster than in a burst, and the last of them no later
// than the outage has lasted and the shortest delay.
func TestClientsComeBackInNoLargerBurst(t *testing.T) {
	c := qt.New(t)
	for _, lasts := range []time.Duration{4 * time.Second, 10 * time.Second, 20 * time.Second} {
		for seed := range uint64(3) {
			o := outage{
				perSecond: 1000,
				lasts:     lasts,
				seed:      seed,
			}
			r := play(o, retryafter.Delay)
			c.Check(r.busiest <= maxFactor*o.perSecond, qt.IsTrue, qt.Commentf("%s, seed %d: %+v", lasts, seed, r))
			c.Check(r.refused <= maxFactor*o.perSecond, qt.IsTrue, qt.Commentf("%s, seed %d: %+v", lasts, seed, r))
			c.Check(r.longest <= lasts+retryafter.Shortest, qt.IsTrue, qt.Commentf("%s, seed %d: %+v", lasts, seed, r))
			f := play(o, fixed)
			c.Check(f.busiest > maxFactor*o.perSecond, qt.IsTrue, qt.Commentf("the load doesn't need the mechanism: %s, seed %d: %+v", lasts, seed, f))
		}
	}
}

// Clients with little time come back while a response is still of use to them: no more of them
// give up than with the shortest delay. Each of those that are left at the return tries once
// per shortest delay, beside the clients that come for the first time.
func TestClientsWithLittleTimeTryAgainWithinIt(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(5) {
		o := outage{
			perSecond: 1000,
			lasts:     4 * time.Second,
			timeout:   3 * time.Second,
			seed:      seed,
		}
		r := play(o, retryafter.Delay)
		c.Check(r.neverBack <= play(o, fixed).neverBack, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, r))
		tries := int(o.timeout/retryafter.Shortest) + 1
		// The arrivals are random, by some three percent in a second.
		c.Check(r.busiest <= tries*o.perSecond*105/100, qt.IsTrue, qt.Commentf("seed %d: %+v", seed, r))
	}
}

func TestDelay(t *testing.T) {
	c := qt.New(t)
	c.Check(retryafter.Delay(retryafter.Refusal{}), qt.Equals, retryafter.Shortest)
	for i := range 1000 {
		r := retryafter.Refusal{
			FailingFor: time.Hour,
			Key:        fmt.Sprint(i),
		}
		d := retryafter.Delay(r)
		c.Check(d >= retryafter.Shortest && d <= time.Minute+retryafter.Shortest && d%time.Second == 0, qt.IsTrue, qt.Commentf("%s", d))
		c.Check(retryafter.Delay(r), qt.Equals, d)
		r.Timeout = 10 * time.Second
		c.Check(retryafter.Delay(r) <= r.Timeout/2, qt.IsTrue)
	}
}
