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
	// SizeBlind is set for a job whose size does not count against it; see Key.
	SizeBlind bool
	// Left is what is still to be done for the job, including the rest of its running tasks.
	Left Cost
	// Whole is what the whole job costs.
	Whole Cost
	// Chain is the expected time of the longest dependency chain that is left, which no
	// supply makes shorter.
	Chain time.Duration
	// Worthless is set if the job earns nothing any more, even if it ends.
	Worthless bool
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

// begunShare is the share of a job that is left below which the job has begun. The rest covers
// the rounding of costs.
const begunShare = 0.99

// Key returns the position of the job among those of its group on s while not all of them can be
// in time: lower goes first. Jobs that have begun go first, those with the least share left before
// others, since what was spent on them is lost if they are late. Of those that have not begun,
// the smallest go first, so that as many as possible are in time. Jobs with SizeBlind set
// go before these regardless of their size; if they are a share of the large jobs, about that
// share of the large ones is served. Jobs that cost nothing count as such jobs.
func (j Job) Key(s Supply) float64 {
	whole := s.Time(j.Whole)
	share := float64(s.Time(j.Left)) / float64(max(whole, 1))
	switch {
	case whole > 0 && share < begunShare:
		return share
	case j.SizeBlind || whole == 0:
		return 1
	default:
		return 1 + whole.Seconds()
	}
}

// A Group has the jobs that compete with each other: all jobs of a group go before all of those
// of the next one, except for those that can't be in time any more.
type Group struct {
	OverShare bool
	Priority  int
}

// Group returns the group of the job.
func (j Job) Group() Group {
	return Group{
		OverShare: j.OverShare,
		Priority:  j.Priority,
	}
}

// Compare orders jobs as they are to be served while not all of them can be in time: jobs that can
// meet their objective first, then by share and priority, then by Key.
func (j Job) Compare(o Job, s Supply) int {
	return cmp.Or(
		cmp.Compare(j.class(), o.class()),
		cmp.Compare(j.Priority, o.Priority),
		cmp.Compare(j.Key(s), o.Key(s)),
	)
}

// compareDue orders jobs as they are to be served while all of them can be in time.
func (j Job) compareDue(o Job) int {
	return cmp.Or(
		cmp.Compare(j.class(), o.class()),
		cmp.Compare(j.Priority, o.Priority),
		cmp.Compare(j.Due, o.Due),
	)
}
