package forecast

import (
	"slices"
	"time"
)

// An Outlook tells when new work would end, given the work that has been accepted. It is
// immutable.
type Outlook struct {
	supply Supply
	jobs   []Job           // in the order in which they are served
	before []time.Duration // before[i] is the time that the cell takes for jobs[:i]
	strain map[Group]float64
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
	o.strain = o.strains()
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

// Strains returns for each group with jobs that can be in time how much of the time until one of
// them is due the cell needs, at most, if those due first are served first within the group. Above 1
// not all of the group can be in time in any order. It returns nothing as long as the
// supply is not known. The result must not be modified.
func (o Outlook) Strains() map[Group]float64 {
	return o.strain
}

// Overloaded reports whether some of the jobs that could be in time will not be, even if those due
// first are served first. A cell whose supply is not known is not overloaded.
func (o Outlook) Overloaded() bool {
	for _, f := range o.strain {
		if f > 1 {
			return true
		}
	}
	return false
}

func (o Outlook) strains() map[Group]float64 {
	if !o.supply.Known() {
		return nil
	}
	jobs := make([]Job, 0, len(o.jobs))
	for _, j := range o.jobs {
		if j.Feasible() {
			jobs = append(jobs, j)
		}
	}
	slices.SortStableFunc(jobs, Job.compareDue)
	strain := map[Group]float64{}
	var sum Cost
	for _, j := range jobs {
		sum = sum.Add(j.Left)
		f := float64(o.supply.Time(sum)) / float64(max(j.Due, 1))
		strain[j.Group()] = max(strain[j.Group()], f)
	}
	return strain
}
