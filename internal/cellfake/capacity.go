package cellfake

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A capacityState is the number of runs that a worker can hold, if it differs from the
// default. The zero value stands for the default.
type capacityState struct {
	changed   bool
	current   int
	former    int // before the last reduction
	reducedAt time.Time
}

// SetCapacity changes the number of runs that a worker can hold. Present runs continue.
func (f *Workers) SetCapacity(id spoolsill.WorkerID, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &f.workers[id].capacity
	was := r.allowed(f.Capacity, f.CapacityGrace)
	r.changed = true
	r.current = runs
	if runs < was {
		r.former = was
		r.reducedAt = time.Now()
	}
}

// allowed returns the capacity that a start is checked against. For a time of grace after
// a reduction this is the former capacity, since the leader may not have read the new one.
func (r *capacityState) allowed(defaultCapacity int, grace time.Duration) int {
	switch {
	case !r.changed:
		return defaultCapacity
	case !r.reducedAt.IsZero() && time.Since(r.reducedAt) < grace:
		return max(r.current, r.former)
	default:
		return r.current
	}
}
