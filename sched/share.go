package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/fairshare"
	"github.com/spoolsill/spoolsill/forecast"
)

// shareInterval is how often the supply is determined, and whether unused shares are lent. It is
// shorter than the objectives of the most urgent work.
const shareInterval = 100 * time.Millisecond

// A shareState decides which jobs exceed the share of their team. If one team hands in many times its
// usual load, it would otherwise take, up to its quota, the capacity that other teams with their
// usual load wait for. Jobs over the share are ranked behind the jobs of all teams within
// theirs.
type shareState struct {
	ledger fairshare.Ledger
	// uncharged has the jobs that have not been charged. After a take-over, they are charged when
	// all jobs have been read and the supply is known, so that the order in which
	// rows are read has no effect.
	uncharged []*job
	// excess has the unfinished jobs that exceed the share of their team.
	excess map[spoolsill.JobID]*job
	// lent means that what some teams leave unused is lent to others: no job is over a share.
	lent      bool
	updatedAt time.Time // when the supply was determined
}

// chargeLater adds a job to be charged to its team. Timed jobs are not charged: their rounds come at the
// times agreed.
func (s *State) chargeLater(j *job) {
	if j.Team != "" && j.Rounds == 0 && len(j.Steps) > 0 {
		s.shares.uncharged = append(s.shares.uncharged, j)
	}
}

// chargeTeams charges teams with the jobs added since the last call, and updates which jobs exceed
// the share of their team. It needs the ready workers of the pass.
func (s *State) chargeTeams() {
	x := &s.shares
	due := x.updatedAt.IsZero() || s.now.Sub(x.updatedAt) >= shareInterval
	if x.ledger.Limits() && due {
		supply := s.supply()
		if !supply.Known() && x.updatedAt.IsZero() {
			return
		}
		x.ledger.SetSupply(supply)
		x.updatedAt = s.now
	}
	slices.SortFunc(x.uncharged, func(a, b *job) int {
		return cmp.Or(a.Received.Compare(b.Received), cmp.Compare(a.ID, b.ID))
	})
	due = due || len(x.excess) == 0
	x.uncharged = slices.DeleteFunc(x.uncharged, s.charge)
	x.ledger.Advance(s.wallClock())
	for _, id := range x.ledger.Admitted() {
		if j := x.excess[id]; j != nil {
			j.overShare = false
			delete(x.excess, id)
		}
	}
	if len(x.excess) == 0 {
		return
	}
	if due {
		x.lent = x.ledger.Fits()
	}
	for _, j := range x.excess {
		j.overShare = !x.lent
	}
}

// charge charges the team of j. It reports false if its queue or team is not known yet.
func (s *State) charge(j *job) bool {
	if j.state.Final() {
		return true
	}
	q := s.queue(j)
	if q.Service == "" || !s.quotaKnown(j) {
		return false
	}
	received := j.Received
	if wall := s.wallClock(); received.After(wall) {
		received = wall // the clock of the host that accepted it is ahead
	}
	paths := s.criticalPathsOf(j, q)
	over := s.shares.ledger.Charge(fairshare.Job{
		ID:       j.ID,
		Team:     j.Team,
		Received: received,
		Cost:     s.cost(j, q),
		Slack:    q.objective(paths) - slices.Max(paths),
	})
	if over {
		s.shares.excess[j.ID] = j
	}
	return true
}

// cost returns the cost of a whole job, without steps that last: the team's quota limits these.
func (s *State) cost(j *job, q *Queue) forecast.Cost {
	var c forecast.Cost
	for i := range j.Steps {
		if p := &j.Steps[i]; !p.Lasting {
			c = c.Add(s.costOf(q, p))
		}
	}
	return c
}

// releaseShare returns the part of a team's charge for a job that ends which the job has not used.
func (s *State) releaseShare(j *job) {
	delete(s.shares.excess, j.ID)
	if !s.shares.ledger.Limits() || j.Team == "" {
		return
	}
	q := s.queue(j)
	used := s.cost(j, q)
	for _, g := range j.stages {
		if g.done() || g.step.Lasting {
			continue
		}
		left, _ := s.left(g, q)
		used = used.Sub(left)
	}
	s.shares.ledger.Release(j.Team, j.ID, used)
}

// setShares applies the weights of the teams of the latest configuration.
func (s *State) setShares(teams []Team) {
	weights := make([]fairshare.Team, len(teams))
	for i, t := range teams {
		weights[i] = fairshare.Team{
			ID:     t.ID,
			Weight: t.Weight,
		}
	}
	s.shares.ledger.SetTeams(weights)
}

// OverShare reports whether a job exceeds the share of its team and waits behind other work.
func (s *State) OverShare(id spoolsill.JobID) bool {
	j := s.jobs[id]
	return j != nil && j.overShare
}

// A ShareLoad describes for operators the work over the shares of teams.
type ShareLoad struct {
	// Jobs counts the jobs with stages to place that exceed the share of their team, Teams
	// their teams.
	Jobs  int
	Teams int
	// Largest is the team with the most work over its share.
	Largest spoolsill.TeamID
}

// ShareLoad returns the work over the shares of teams. Cost: O(stages).
func (s *State) ShareLoad() ShareLoad {
	jobs := map[spoolsill.JobID]bool{}
	teams := map[spoolsill.TeamID]int{}
	for _, g := range s.openStages {
		if g.job.overShare && g.placeable() && !g.job.state.Final() && !jobs[g.job.ID] {
			jobs[g.job.ID] = true
			teams[g.job.Team]++
		}
	}
	l := ShareLoad{
		Jobs:  len(jobs),
		Teams: len(teams),
	}
	if u, ok := s.shares.ledger.Largest(); ok {
		l.Largest = u.Team
	}
	return l
}
