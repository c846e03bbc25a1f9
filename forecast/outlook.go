package forecast

import (
	"slices"
	"time"
)

// An Outlook tells when new work would end, given the work that has been accepted. It is
// immutable. The zero Outlook is that of a cell whose supply is not known.
type Outlook struct {
	supply Supply
	jobs   []Job           // in the order in which they are served
	before []time.Duration // before[i] is the time that the cell takes for jobs[:i]
	groups map[Group]GroupLoad
}

// NewOutlook returns the outlook of a cell with some supply that has accepted jobs.
// Cost: O(n log n) for n jobs.
func NewOutlook(s Supply, jobs []Job) Outlook {
	o := Outlook{
		supply: s,
		jobs:   slices.Clone(jobs),
		before: make([]time.Duration, len(jobs)+1),
	}
	slices.SortStableFunc(o.jobs, func(a, b Job) int { return a.Compare(b, s) })
	var sum Cost
	for i, j := range o.jobs {
		sum = sum.Add(j.Left)
		o.before[i+1] = s.Time(sum)
	}
	o.groups = o.groupLoads()
	return o
}

// Supply returns the supply of the cell.
func (o Outlook) Supply() Supply {
	return o.supply
}

// Backlog returns how long the cell works on all jobs, or 0 if its supply is not known.
func (o Outlook) Backlog() time.Duration {
	if !o.supply.Known() {
		return 0
	}
	return o.before[len(o.jobs)]
}

// Wait returns how long the cell works on jobs that go before j, or Never if its supply is not
// known. Cost: O(log n).
func (o Outlook) Wait(j Job) time.Duration {
	if !o.supply.Known() {
		return Never
	}
	i, _ := slices.BinarySearchFunc(o.jobs, j, func(e, j Job) int {
		if e.Compare(j, o.supply) <= 0 {
			return -1 // jobs of equal rank were there first
		}
		return 1
	})
	return o.before[i]
}

// Ends returns how long it takes until j would end if it were accepted now.
func (o Outlook) Ends(j Job) time.Duration {
	w := o.Wait(j)
	if w == Never {
		return Never
	}
	return w + max(j.Chain, o.supply.Time(j.Left))
}

// A GroupLoad describes the load of a group of jobs.
type GroupLoad struct {
	// Strain is the highest share that the cell needs of the time until one of the jobs is due, if
	// those due first are served first within the group. Above 1 not all jobs that could be
	// in time will be, in any order.
	Strain float64
	// Late counts the jobs that can't be in time any more, but still earn something.
	Late int
}

// Groups returns the loads of the groups that have jobs, or nothing as long as the supply is not
// known. The result must not be modified.
func (o Outlook) Groups() map[Group]GroupLoad {
	return o.groups
}

// Overloaded reports whether some of the jobs that could be in time will not be, even if those due
// first are served first. A cell whose supply is not known is not overloaded.
func (o Outlook) Overloaded() bool {
	for _, l := range o.groups {
		if l.Strain > 1 {
			return true
		}
	}
	return false
}

func (o Outlook) groupLoads() map[Group]GroupLoad {
	if !o.supply.Known() {
		return nil
	}
	groups := map[Group]GroupLoad{}
	jobs := slices.Clone(o.jobs)
	slices.SortStableFunc(jobs, Job.compareDue)
	var sum Cost
	for _, j := range jobs {
		l := groups[j.Group()]
		if j.Feasible() {
			sum = sum.Add(j.Left)
			l.Strain = max(l.Strain, float64(o.supply.Time(sum))/float64(max(j.Due, 1)))
		} else if !j.Worthless {
			l.Late++
		}
		groups[j.Group()] = l
	}
	return groups
}
