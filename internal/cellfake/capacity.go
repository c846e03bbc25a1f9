package cellfake

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A capacityState is the number of runs that a worker can hold, if that was changed. The
// zero value stands for the default.
type capacityState struct {
	changed   bool
	current   int
	former    int // before the last reduction
	reducedAt time.Time
}

// SetCapacity changes the number of runs that a worker can hold. Active runs go on.
func (f *Workers) SetCapacity(id spoolsill.WorkerID, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &f.workers[id].capacity
	before := c.allowed(f.Capacity, f.CapacityGrace)
	c.changed = true
	c.current = runs
	if runs < before {
		c.former = before
		c.reducedAt = time.Now()
	}
}

// allowed returns the capacity that a start is checked against. Within the grace period
// after a reduction this is the former capacity, since the leader may not know the new one.
func (c *capacityState) allowed(defaultCapacity int, grace time.Duration) int {
	switch {
	case !c.changed:
		return defaultCapacity
	case !c.reducedAt.IsZero() && time.Since(c.reducedAt) < grace:
		return max(c.current, c.former)
	default:
		return c.current
	}
}
