// Package admit controls which share of the submitted jobs a cell accepts under overload.
//
// It guards against submissions that exceed the capacity of the leader's link or processor.
// Without a limit, all exchanges of the leader with workers, hosts and the store become late,
// among them those that end work and that keep the leadership. Other hosts then take over and
// read all jobs again over links that are just as saturated, and no work gets done. With a
// limit, the cell accepts as much as it has capacity for, and tells other clients at once to
// retry later.
//
// A new leader knows no latency at first, and sheds load until it does. What it then finds
// decides how it goes on: with a backlog that fills the cell the share rises slowly, and if
// hardly anything waits, all that was accepted before is accepted again at once.
//
// The package has no clock and does no I/O: it computes a share from times and measurements.
package admit

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

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
	// roomFactor is how many times the waiting work the free capacity must be for the cell to
	// have room, so that the work that arrives before the next change of the share fits too.
	roomFactor = 4
)

// A Controller adapts the share of jobs to accept to the latency of the leader's calls, by
// additive increase and multiplicative decrease. An unknown latency counts as late. It is not
// safe for concurrent use. The zero value accepts all jobs.
type Controller struct {
	refused    float64 // 1 minus the share, so that the zero value accepts all jobs
	lastChange time.Time
	// lowered is set while the share is lower because the latency was unknown, and for no
	// other reason; refusedBefore is what was refused before that.
	lowered       bool
	refusedBefore float64
}

// Begin records that the latency is unknown from now on. The share falls an interval later at
// the earliest, so that no job is refused if the latency is known by then.
func (c *Controller) Begin(now time.Time) {
	c.lastChange = now
}

// Update takes the latency of responses at time now and its limit, and returns the share of
// jobs to accept, from minShare to 1.
func (c *Controller) Update(now time.Time, latency, limit time.Duration) float64 {
	if latency > limit {
		c.lowered = false
	}
	return c.update(now, latency > limit)
}

// UpdateUnknown is like Update while the latency of responses is unknown.
func (c *Controller) UpdateUnknown(now time.Time) float64 {
	if !c.lowered {
		c.lowered = true
		c.refusedBefore = c.refused
	}
	return c.update(now, true)
}

// Restore returns to the share before the latency became unknown, if it has not been late
// since. It is called when the latency is known and the cell has room; see [HasRoom].
func (c *Controller) Restore() float64 {
	if c.lowered {
		c.lowered = false
		c.refused = min(c.refused, c.refusedBefore)
	}
	return 1 - c.refused
}

// HasRoom reports whether the free capacity of a cell exceeds the work that waits for it by so
// much that the work is no reason to refuse more.
func HasRoom(waiting, free spoolsill.Resources) bool {
	return free.Processors > 0 && waiting.Times(roomFactor).FitsIn(free)
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
