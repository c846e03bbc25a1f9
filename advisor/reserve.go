package advisor

import (
	"math"
	"time"
)

// rateWindow is the time over which a Rate averages. Short work comes in waves of some seconds.
const rateWindow = 3 * time.Second

// A Rate is the recent cost of queries for each unit of time: the number of hosts that they keep
// busy. Its zero value is that of no queries.
type Rate struct {
	cost time.Duration // decays with rateWindow
	at   time.Time
}

// Add counts a query at a time.
func (r *Rate) Add(now time.Time, cost time.Duration) {
	r.cost = r.decayed(now) + cost
	r.at = now
}

// At returns the rate at a time.
func (r *Rate) At(now time.Time) float64 {
	return float64(r.decayed(now)) / float64(rateWindow)
}

func (r *Rate) decayed(now time.Time) time.Duration {
	if r.cost == 0 {
		return 0
	}
	age := max(now.Sub(r.at), 0)
	return time.Duration(float64(r.cost) * math.Exp(-float64(age)/float64(rateWindow)))
}

// negligible is the number of hosts that queries must keep busy for some to be reserved.
const negligible = 0.01

// Reserve returns how many hosts to reserve for queries that keep busy hosts busy on average. Arrivals
// vary by the square root of their number, and a query that finds a host busy with another
// kind waits for longer than it takes itself.
func Reserve(busy float64) int {
	if busy < negligible {
		return 0
	}
	return int(math.Ceil(busy + math.Sqrt(busy)))
}
