package fairshare

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/forecast"
)

// A Team has a part of the cell in proportion to its weight.
type Team struct {
	ID spoolsill.TeamID
	// Weight 0 means that the team's work is neither limited nor counted.
	Weight float64
}

// A Job is work handed in by a team.
type Job struct {
	ID       spoolsill.JobID
	Team     spoolsill.TeamID
	Received time.Time
	// Cost is that of the whole job, whatever part of it is done.
	Cost forecast.Cost
	// Slack is how long after Received the job can begin and still meet its objective.
	Slack time.Duration
}

// reviewInterval is how often work over a share is reviewed. It is shorter than the objectives of
// the most urgent work.
const reviewInterval = 100 * time.Millisecond

// maxReviews bounds the reviews of one call of [Ledger.Advance], so that a leader which takes over jobs
// received hours ago is not held up. Calls that are a second apart are not affected.
const maxReviews = 10

// A Ledger answers the load in which one team hands in many times its usual work, or jobs
// that each use many times what those of others do: it charges teams with the time that the
// whole cell takes for their work.
//
// A job is within its team's share if the team's part of the cell works off the more urgent work of
// the team within the time that the job may wait. A team without such work can thus always have
// one job, however small its part. The part is the weight among all configured teams, so that it
// does not depend on what others hand in later; what they leave unused lets the team's work
// be worked off sooner. A job over the share can come to be within it later.
//
// How long a job may wait follows from its objective, so that the ledger needs no window of its
// own: work with an objective of twenty seconds can be handed in seconds ahead of the team's part,
// urgent work can't.
//
// The zero Ledger has no teams. It is not safe for concurrent use.
type Ledger struct {
	supply   forecast.Supply
	now      time.Time
	accounts map[spoolsill.TeamID]*account
	active   []*account // those with a backlog or excess, by id
	weights  float64    // of the configured teams
	admitted []spoolsill.JobID
}

// seconds is time of the whole cell.
type seconds float64

// negligible is less than any work takes. It absorbs rounding errors.
const negligible seconds = 1e-9

// An account is the state of one team in the ideal cell.
type account struct {
	Team
	// configured means that the latest teams include it.
	configured bool
	// backlog has the jobs within the share that the ideal cell has not ended, by latest
	// start, and left the time that it takes for them.
	backlog []charge
	left    seconds
	// excess has the jobs over the share that can still begin in time, by time of receipt, and
	// excessTime what they take.
	excess     []charge
	excessTime seconds
}

// A charge is a job with the time that the ideal cell takes for it.
type charge struct {
	Job
	latestStart time.Time
	total       seconds
	left        seconds
}

// SetTeams sets the teams with their weights. Charges are kept, also those of teams that are left
// out; work over a share of a team without a weight comes to be within it.
func (l *Ledger) SetTeams(teams []Team) {
	if l.accounts == nil {
		l.accounts = map[spoolsill.TeamID]*account{}
	}
	for _, a := range l.accounts {
		a.configured = false
	}
	l.weights = 0
	for _, t := range teams {
		l.weights += t.Weight
		a := l.accounts[t.ID]
		switch {
		case t.Weight > 0 && a == nil:
			l.accounts[t.ID] = &account{
				Team:       t,
				configured: true,
			}
		case t.Weight > 0:
			a.Team = t
			a.configured = true
		case a != nil:
			for _, c := range a.excess {
				l.admitted = append(l.admitted, c.ID)
			}
			a.backlog = nil
			a.excess = nil
		}
	}
	for id, a := range l.accounts {
		if !a.configured && a.idle() {
			delete(l.accounts, id)
		}
	}
	l.active = slices.DeleteFunc(l.active, (*account).idle)
}

// idle reports whether the ideal cell has no work of the team.
func (a *account) idle() bool {
	return len(a.backlog) == 0 && len(a.excess) == 0
}

// Limits reports whether some team has a share.
func (l *Ledger) Limits() bool {
	return len(l.accounts) > 0
}

// SetSupply sets what the cell has. Work that is left takes longer if the supply falls, and
// less time if it rises. A supply that is not known has no effect.
func (l *Ledger) SetSupply(s forecast.Supply) {
	if s == l.supply || !s.Known() {
		return
	}
	l.supply = s
	for _, a := range l.active {
		l.rescale(a.backlog)
		l.rescale(a.excess)
		a.left = sumLeft(a.backlog)
		a.excessTime = sumLeft(a.excess)
	}
}

func (l *Ledger) rescale(cs []charge) {
	for i := range cs {
		c := &cs[i]
		total, ok := l.timeOf(c.Cost)
		if !ok {
			continue
		}
		c.left *= total / c.total
		c.total = total
	}
}

// timeOf returns the time of the whole cell for c. It reports false if that is zero, or if the cell
// lacks something that c needs.
func (l *Ledger) timeOf(c forecast.Cost) (seconds, bool) {
	t := l.supply.Time(c)
	return seconds(t.Seconds()), t > 0 && t < forecast.Never
}

func sumLeft(cs []charge) seconds {
	var sum seconds
	for _, c := range cs {
		sum += c.left
	}
	return sum
}

// Charge charges the team of j, or reports that j exceeds its share. Jobs are to be passed in order
// of receipt. Cost: O(active teams + charges of the team).
func (l *Ledger) Charge(j Job) (over bool) {
	l.Advance(j.Received)
	a := l.accounts[j.Team]
	total, ok := l.timeOf(j.Cost)
	if a == nil || !ok {
		return false
	}
	l.activate(a)
	c := charge{
		Job:         j,
		latestStart: j.Received.Add(j.Slack),
		total:       total,
		left:        total,
	}
	if l.within(a, c) {
		a.add(c)
		return false
	}
	a.excess = append(a.excess, c)
	a.excessTime += c.left
	return true
}

// within reports whether c is within the share of a.
func (l *Ledger) within(a *account, c charge) bool {
	ahead := a.ahead(c)
	return ahead <= negligible || ahead <= l.usable(c)*seconds(a.Weight/l.weights)
}

// slackDivisor is the part of a job's slack that waiting behind other work may take. The rest is for
// tasks that run longer than expected and capacity that no task fits: clients' estimates are
// off by half or more.
const slackDivisor = 2

// usable returns how long c may wait behind other work.
func (l *Ledger) usable(c charge) seconds {
	return seconds(max(c.latestStart.Sub(l.now), 0).Seconds()) / slackDivisor
}

// ahead returns the time for the jobs of the team that are more urgent than c.
func (a *account) ahead(c charge) seconds {
	var sum seconds
	for i := range a.backlog {
		if a.backlog[i].latestStart.After(c.latestStart) {
			break
		}
		sum += a.backlog[i].left
	}
	return sum
}

// add adds a charge within the share.
func (a *account) add(c charge) {
	i, _ := slices.BinarySearchFunc(a.backlog, c, func(e, c charge) int {
		if e.latestStart.After(c.latestStart) {
			return 1
		}
		return -1
	})
	a.backlog = slices.Insert(a.backlog, i, c)
	a.left += c.left
}

func (l *Ledger) activate(a *account) {
	i, found := slices.BinarySearchFunc(l.active, a.ID, func(e *account, id spoolsill.TeamID) int {
		return strings.Compare(string(e.ID), string(id))
	})
	if !found {
		l.active = slices.Insert(l.active, i, a)
	}
}

// Advance moves the ideal cell on to a time. Jobs over a share that have come to be within it are
// then reported by [Ledger.Admitted]. It does nothing if the time has passed.
func (l *Ledger) Advance(to time.Time) {
	interval := max(reviewInterval, to.Sub(l.now)/maxReviews)
	for l.now.Before(to) {
		next := l.now.Truncate(interval).Add(interval)
		if len(l.active) == 0 || next.After(to) {
			next = to
		}
		l.drain(seconds(next.Sub(l.now).Seconds()))
		l.now = next
		if l.now.Equal(l.now.Truncate(interval)) {
			l.review()
		}
	}
}

// drain lets the ideal cell work for a time.
func (l *Ledger) drain(d seconds) {
	for d > negligible {
		var weights float64
		for _, a := range l.active {
			if a.left > 0 {
				weights += a.Weight
			}
		}
		if weights == 0 {
			break
		}
		step := d
		for _, a := range l.active {
			if a.left > 0 {
				step = min(step, a.left*seconds(weights/a.Weight))
			}
		}
		for _, a := range l.active {
			a.work(step * seconds(a.Weight/weights))
		}
		d -= step
	}
	l.active = slices.DeleteFunc(l.active, (*account).idle)
}

// work takes d from the most urgent work of the backlog.
func (a *account) work(d seconds) {
	n := 0
	for n < len(a.backlog) && a.backlog[n].left <= d+negligible {
		d -= a.backlog[n].left
		n++
	}
	a.backlog = slices.Delete(a.backlog, 0, n)
	if len(a.backlog) > 0 {
		a.backlog[0].left -= max(d, 0)
	}
	a.left = sumLeft(a.backlog)
}

// review admits the jobs over a share that are within it now, and drops those that can't begin in
// time any more.
func (l *Ledger) review() {
	for _, a := range l.active {
		if len(a.excess) == 0 {
			continue
		}
		a.excess = slices.DeleteFunc(a.excess, func(c charge) bool {
			if c.latestStart.Before(l.now) {
				return true
			}
			if !l.within(a, c) {
				return false
			}
			a.add(c)
			l.admitted = append(l.admitted, c.ID)
			return true
		})
		a.excessTime = sumLeft(a.excess)
	}
}

// Fits reports whether the cell can do all work in time, including that over a share. What some
// teams leave unused is then lent to others.
// Cost: O(n log n) for n charges.
func (l *Ledger) Fits() bool {
	var all []charge
	for _, a := range l.active {
		all = append(all, a.backlog...)
		all = append(all, a.excess...)
	}
	slices.SortFunc(all, func(a, b charge) int { return a.latestStart.Compare(b.latestStart) })
	var ahead seconds
	for i := range all {
		if u := l.usable(all[i]); u > 0 && ahead > u {
			return false
		}
		ahead += all[i].left
	}
	return true
}

// Admitted returns the jobs that have come to be within their team's share since the last call.
func (l *Ledger) Admitted() []spoolsill.JobID {
	ids := l.admitted
	l.admitted = nil
	return ids
}

// Release returns the part of the charge of a job that has ended which the job has not used. It has no
// effect if used is the whole cost and the job was within its team's share.
// Cost: O(charges of the team).
func (l *Ledger) Release(t spoolsill.TeamID, id spoolsill.JobID, used forecast.Cost) {
	a := l.accounts[t]
	if a == nil {
		return
	}
	isJob := func(c charge) bool { return c.ID == id }
	if i := slices.IndexFunc(a.excess, isJob); i >= 0 {
		a.excess = slices.Delete(a.excess, i, i+1)
		a.excessTime = sumLeft(a.excess)
	}
	i := slices.IndexFunc(a.backlog, isJob)
	if i < 0 {
		return
	}
	c := &a.backlog[i]
	u, _ := l.timeOf(used)
	worked := c.total - c.left
	c.left = min(c.left, max(u-worked, 0))
	if c.left == 0 {
		a.backlog = slices.Delete(a.backlog, i, i+1)
	}
	a.left = sumLeft(a.backlog)
}

// A Usage is the state of a team for operators.
type Usage struct {
	Team spoolsill.TeamID
	// Part is the part of the cell that the team has by its weight.
	Part float64
	// Charged is the time of the whole cell for the work of the team within its share that
	// the ideal cell has not ended, Excess for the work over it that can still begin in time.
	Charged time.Duration
	Excess  time.Duration
}

// Largest returns the usage of the team with the most work over its share. It reports false if
// there is none.
func (l *Ledger) Largest() (Usage, bool) {
	if len(l.active) == 0 {
		return Usage{}, false
	}
	a := slices.MaxFunc(l.active, func(a, b *account) int { return cmp.Compare(a.excessTime, b.excessTime) })
	return Usage{
		Team:    a.ID,
		Part:    a.Weight / l.weights,
		Charged: time.Duration(a.left * seconds(time.Second)),
		Excess:  time.Duration(a.excessTime * seconds(time.Second)),
	}, len(a.excess) > 0
}
