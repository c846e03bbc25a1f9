package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A Team is the part of the configuration that concerns one team.
type Team struct {
	ID spoolsill.TeamID
	// Weight is its share once all is full, in jobs a second; 0 means none.
	Weight float64
	// Most bounds what its runs may need together, over all workers; an entry of 0
	// means no bound.
	Most spoolsill.Resources
}

// A teamState is what a team's runs need. What may have begun counts, until it has
// surely ended: an order that is not answered may be carried out, and a run that is
// being stopped is still there.
type teamState struct {
	Team
	share shareAccount
	// named tells that a configuration has told of the team.
	named bool
	// used is what the runs in the workers' accounts need; strays is the same of runs
	// that no record names, as of the pass under way.
	used   spoolsill.Resources
	strays spoolsill.Resources
}

// takes reports whether a team may have runs besides what it has that need so much.
func (t *teamState) takes(need spoolsill.Resources) bool {
	after := t.used.Add(t.strays).Add(need)
	return within(int64(after.Processors), int64(t.Most.Processors)) &&
		within(int64(after.Memory), int64(t.Most.Memory)) &&
		within(int64(after.Accelerators), int64(t.Most.Accelerators))
}

func within(n, most int64) bool {
	return most <= 0 || n <= most
}

// overQuota reports whether a team has more than it may, since its quota was lowered.
func (t *teamState) overQuota() bool {
	return !t.takes(spoolsill.Resources{})
}

// SetTeams takes in the teams of the newest configuration. One that it lacks keeps the
// quota that it had, for the jobs that it has.
func (s *State) SetTeams(now time.Time, teams []Team) {
	s.now = now
	named := map[spoolsill.TeamID]bool{}
	for _, t := range teams {
		if named[t.ID] {
			continue // of two teams of one name the first one counts
		}
		named[t.ID] = true
		a := s.team(t.ID)
		a.Team = t
		a.named = true
	}
}

// team returns the account of a team, and opens it when there is none.
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

// quotaIsKnown reports whether it is known how much the team of a job may have. A host
// may have accepted the job under a newer configuration than this one, so that nothing
// of a team without a quota starts until that must be in force here as well.
func (s *State) quotaIsKnown(j *job) bool {
	return j.Team == "" || j.team.named || s.wall().Sub(j.Received) > s.config.ConfigInForce
}

// underQuota reports whether the team of g may have what is started of it at once: a
// task, or a whole gang.
func (s *State) underQuota(g *stage) bool {
	need := g.step.demand()
	if g.step.Gang {
		need = need.Times(len(g.tasks))
	}
	return s.quotaIsKnown(g.job) && g.job.team.takes(need)
}

// countStrays adds up what runs need that no record names, of jobs that are known.
// They are ordered to stop and are still there.
// Cost: O(workers) where there are none.
func (s *State) countStrays() {
	for _, t := range s.teams {
		t.strays = spoolsill.Resources{}
	}
	for _, w := range s.workerList {
		for id := range w.unknownRuns {
			j := s.jobs[id.Task.Stage.Job]
			if j == nil {
				continue
			}
			if g := j.stage(id.Task.Stage.Round, id.Task.Stage.Step); g != nil {
				j.team.strays = j.team.strays.Add(g.step.demand())
			}
		}
	}
}

// stopDoubtful stops the runs in doubt of teams that have more than they may: an order
// that was not answered may be carried out seconds later, when the lower quota is in
// force. A run that is known to go on is left alone.
func (s *State) stopDoubtful() {
	any := false
	for _, t := range s.teams {
		any = any || t.overQuota()
	}
	if !any {
		return
	}
	for _, w := range s.workerList {
		for _, r := range sortedRuns(w) {
			if r.phase == phaseUncertain && r.task.stage.job.team.overQuota() {
				s.stop(r, "its team has more than its quota")
			}
		}
	}
}
