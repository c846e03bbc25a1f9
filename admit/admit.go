// Package admit controls which share of the submitted jobs a cell accepts under overload.
//
// It guards against submissions that exceed the capacity of the leader's link or processor.
// Without a limit, all exchanges of the leader with workers, hosts and the store become late,
// among them those that end work and that keep the leadership. Other hosts then take over and
// read all jobs again over links that are just as saturated, and no work gets done. With a
// limit, the cell accepts as much as it has capacity for, and tells other clients at once to
// retry later.
//
// The package has no clock and does no I/O: it computes a share from times and measurements.
package admit

import "time"

const (
	// adjustInterval is the minimum interval between two changes of the share. A change
	// shows in the measured latency only after hosts have received it with a greeting and
	// some responses have followed.
	adjustInterval = 200 * time.Millisecond
	// decreaseFactor multiplies the share when responses are late, and increaseStep is added
	// when they are not: the share rises from a tenth to all within four seconds.
	decreaseFactor = 0.7
	increaseStep   = 0.05
	// minShare is the minimum share. The jobs accepted at that share show whether latency
	// has recovered. Of clients that retry four times, two in five succeed.
	minShare = 0.1
)

// A Controller adapts the share of jobs to accept to the latency of the leader's calls, by
// additive increase and multiplicative decrease. An unknown latency counts as late. It is not
// safe for concurrent use. The zero value accepts all jobs.
type Controller struct {
	refused    float64 // 1 minus the share, so that the zero value accepts all jobs
	lastChange time.Time
}

// Begin records that the latency is unknown from now on. The share falls an interval later at
// the earliest, so that no job is refused if the latency is known by then.
func (c *Controller) Begin(now time.Time) {
	c.lastChange = now
}

// Update takes the latency of responses at time now and its limit, and returns the share of
// jobs to accept, from minShare to 1.
func (c *Controller) Update(now time.Time, latency, limit time.Duration) float64 {
	return c.update(now, latency > limit)
}

// UpdateUnknown is like Update while the latency of responses is unknown.
func (c *Controller) UpdateUnknown(now time.Time) float64 {
	return c.update(now, true)
}

func (c *Controller) update(now time.Time, late bool) float64 {
	if now.Sub(c.lastChange) < adjustInterval {
		return 1 - c.refused
	}
	c.lastChange = now
	share := 1 - c.refused
	if late {
		share = max(share*decreaseFactor, minShare)
	} else {
		share = min(share+increaseStep, 1)
	}
	c.refused = 1 - share
	return share
}
