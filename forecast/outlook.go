package forecast

import (
	"cmp"
	"slices"
	"time"
)

// An Outlook tells when new work would end, given the work that has been accepted. It is
// immutable.
type Outlook struct {
	supply Supply
	jobs   []Job           // in the order in which they are served
	before []time.Duration // before[i] is the time that the cell takes for jobs[:i]
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
	return o
}

// Supply returns the supply of the cell.
func (o Outlook) Supply() Supply {
	return o.supply
}

// Wait returns how long the cell works on jobs that go before j. Cost: O(log n).
func (o Outlook) Wait(j Job) time.Duration {
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

// Overloaded reports whether some of the jobs that could be in time will not be, even if those due
// first are served first. A cell whose supply is not known is not overloaded.
func (o Outlook) Overloaded() bool {
	if !o.supply.Known() {
		return false
	}
	var feasible []Job
	for _, j := range o.jobs {
		if j.Feasible() {
			feasible = append(feasible, j)
		}
	}
	slices.SortStableFunc(feasible, func(a, b Job) int { return cmp.Compare(a.Due, b.Due) })
	var sum Cost
	for _, j := range feasible {
		sum = sum.Add(j.Left)
		if o.supply.Time(sum) > j.Due {
			return true
		}
	}
	return false
}
