// Package admit decides which part of the jobs that clients hand in a cell takes, when
// it can't take all of them.
//
// The load that it answers: clients hand in more than the leader's link or processor
// carries. Without a limit everything that the leader exchanges with workers, hosts and
// the store is late then, also what ends work and keeps the leadership; other hosts take
// over, read all jobs anew over links that are as full, and nothing is served at all.
// With a limit as much is served as fits, and clients are told at once to come back.
//
// It is pure: times and measurements come in, a share comes out.
package admit

import "time"

const (
	// adjustEvery is between two changes: what hosts have been told shows in the next
	// measurement only after their greetings and some answers.
	adjustEvery = 200 * time.Millisecond
	// fall is by what the share is multiplied when answers are late, and rise what is
	// added when they are not: from a tenth of the load it is back at all of it within
	// four seconds.
	fall = 0.7
	rise = 0.05
	// least keeps some work coming, by which it is learnt that there is room again: of
	// clients that come back four times, two in five get through.
	least = 0.1
)

// A Controller follows how late a leader's exchanges are and what share of the jobs
// should be taken. It is not safe for concurrent use. The zero value takes all.
type Controller struct {
	refused float64 // 1 less the share
	changed time.Time
}

// Update takes in the latency of answers at now and its limit, and returns the share of jobs
// to take, from least to 1.
func (c *Controller) Update(now time.Time, latency, limit time.Duration) float64 {
	if now.Sub(c.changed) < adjustEvery {
		return 1 - c.refused
	}
	c.changed = now
	share := 1 - c.refused
	if latency > limit {
		share = max(share*fall, least)
	} else {
		share = min(share+rise, 1)
	}
	c.refused = 1 - share
	return share
}
