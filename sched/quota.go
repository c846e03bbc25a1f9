package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A Team is the configuration of one team.
type Team struct {
	ID spoolsill.TeamID
	// Weight is the team's part of a full cell, relative to the weights of all teams; 0 means
	// unlimited.
	Weight float64
	// Most is the quota: the maximum of the resources of all its runs in the cell. A zero
	// entry means no limit.
	Most spoolsill.Resources
}

// A teamState is the configuration and resource usage of a team. A run counts from
// the decision to start it until it has certainly ended: an unanswered start may still be
// carried out, and a run that is being stopped still uses its resources.
type teamState struct {
	Team
	// configured means that a configuration has named the team.
	configured bool
	// used is the total of the recorded runs, unknownUsage that of unknown runs, as of the
	// current pass.
	used         spoolsill.Resources
	unknownUsage spoolsill.Resources
}

// allows reports whether the team may use need in addition to its current usage.
func (t *teamState) allows(need spoolsill.Resources) bool {
	after := t.used.Add(t.unknownUsage).Add(need)
	return withinLimit(int64(after.Processors), int64(t.Most.Processors)) &&
		withinLimit(int64(after.Memory), int64(t.Most.Memory)) &&
		withinLimit(int64(after.Accelerators), int64(t.Most.Accelerators))
}

// withinLimit reports whether n does not exceed limit, where 0 means no limit.
func withinLimit(n, limit int64) bool {
	return limit <= 0 || n <= limit
}

// overQuota reports whether the usage exceeds the quota, which may have been lowered.
func (t *teamState) overQuota() bool {
	return !t.allows(spoolsill.Resources{})
}

// SetTeams applies the teams of the latest configuration. A team that it lacks keeps its
// quota for its remaining jobs.
func (s *State) SetTeams(now time.Time, teams []Team) {
	s.now = now
	named := map[spoolsill.TeamID]bool{}
	var first []Team
	for _, t := range teams {
		if named[t.ID] {
			continue // of several teams with one id, the first counts
		}
		named[t.ID] = true
		first = append(first, t)
		a := s.team(t.ID)
		a.Team = t
		a.configured = true
	}
	s.setShares(first)
}

// team returns the state of a team and creates it if necessary.
func (s *State) team(id spoolsill.TeamID) *teamState {
	t := s.teams[id]
	if t == nil {
		t = &teamState{
			Team: Team{
				ID: id,
			},
		}
		s.teams[id] = t
	}
	return t
}

// quotaKnown reports whether the quota of a job's team is known. Another host may have
// accepted the job under a newer configuration than the one applied here. Jobs of an
// unconfigured team therefore wait until that configuration must have arrived.
func (s *State) quotaKnown(j *job) bool {
	return j.Team == "" || j.team.configured || s.wallClock().Sub(j.Received) > s.config.ConfigInForce
}

// fitsQuota reports whether the team's quota is known and allows the start of g: of one
// task, or of all tasks of a gang.
func (s *State) fitsQuota(g *stage) bool {
	need := g.step.demand()
	if g.step.Gang {
		need = need.Times(len(g.tasks))
	}
	return s.quotaKnown(g.job) && g.job.team.allows(need)
}

// sumUnknownUsage updates the usage of the unknown runs that belong to known jobs. They
// have been ordered to stop and still use resources.
// Cost: O(workers) if there are none.
func (s *State) sumUnknownUsage() {
	for _, t := range s.teams {
		t.unknownUsage = spoolsill.Resources{}
	}
	for _, w := range s.workerList {
		for id := range w.unknownRuns {
			j := s.jobs[id.Task.Stage.Job]
			if j == nil {
				continue
			}
			if g := j.stage(id.Task.Stage.Round, id.Task.Stage.Step); g != nil {
				j.team.unknownUsage = j.team.unknownUsage.Add(g.step.demand())
			}
		}
	}
}

// stopUncertainOverQuota stops the runs with an unknown start outcome of teams over their
// quota: an unanswered order may be carried out seconds later, when the lower quota is in
// force. Runs that are known to be running are not stopped.
func (s *State) stopUncertainOverQuota() {
	exceeded := false
	for _, t := range s.teams {
		exceeded = exceeded || t.overQuota()
	}
	if !exceeded {
		return
	}
	for _, w := range s.workerList {
		for _, r := range sortedRuns(w) {
			if r.phase == phaseUncertain && r.task.stage.job.team.overQuota() {
				s.stop(r, "team over quota")
			}
		}
	}
}
