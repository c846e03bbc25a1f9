package forecast

import (
	"cmp"
	"time"
)

// A Job is accepted work that ends by itself and has not ended, or work that might be accepted.
type Job struct {
	// Priority is that of its queue; 0 is the highest.
	Priority int
	// OverShare is set if the job exceeds the share of its team.
	OverShare bool
	// Left is what is still to be done for the job, including the rest of its running tasks.
	Left Cost
	// Chain is the expected time of the longest dependency chain that is left, which no
	// supply makes shorter.
	Chain time.Duration
	// Due is the time left until the job misses its objective. It is negative for a job that
	// has missed it.
	Due time.Duration
}

// Feasible reports whether the job can still meet its objective if nothing delays it.
func (j Job) Feasible() bool {
	return j.Chain <= j.Due
}

// A class orders jobs before all else.
type class int

const (
	classInTime    class = iota // can be in time
	classOverShare              // can be in time, but exceeds the share of its team
	classLate                   // can't be in time any more
)

func (j Job) class() class {
	switch {
	case !j.Feasible():
		return classLate
	case j.OverShare:
		return classOverShare
	default:
		return classInTime
	}
}

// Compare orders jobs as they are to be served while not all of them can be in time: jobs that can
// meet their objective first, then by share and priority, then those with the least work
// left on s, so that as many jobs as possible are in time.
func (j Job) Compare(o Job, s Supply) int {
	return cmp.Or(
		cmp.Compare(j.class(), o.class()),
		cmp.Compare(j.Priority, o.Priority),
		cmp.Compare(s.Time(j.Left), s.Time(o.Left)),
	)
}
