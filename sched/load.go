package sched

import (
	"github.com/spoolsill/spoolsill"
)

// A Load tells how full the cell is, for operators.
type Load struct {
	// Workers counts those that are not known to be gone, Ready those of them
	// that take something now.
	Workers int
	Ready   int
	// Capacity and Used are of the ready ones.
	Capacity spoolsill.Resources
	Used     spoolsill.Resources
	// Runs counts the runs in all accounts, Doubtful those that may or may
	// not be at their worker.
	Runs     int
	Doubtful int
	// Stages counts those whose turn has come and that have tasks to place,
	// Late those of them that can't be in time any more.
	Stages int
	Late   int
	// Unseatable counts the gangs of them that the workers that they may use can't seat,
	// were they empty.
	Unseatable int
	// Asking counts the questions to the advisor under way.
	Asking int
	// Suspects counts the tasks under which workers went and that are not cleared,
	// Crashed the machines whose workers crashed in the last minute.
	Suspects int
	Crashed  int
}

// Load returns how full the cell is. Cost: O(workers + runs + stages).
func (s *State) Load() Load {
	var l Load
	for _, w := range s.workerList {
		if w.dead {
			continue
		}
		l.Workers++
		l.Runs += len(w.runs)
		l.Doubtful += w.doubtful()
		if !w.ready {
			continue
		}
		l.Ready++
		l.Capacity = l.Capacity.Add(w.Capacity)
		l.Used = l.Used.Add(w.used)
	}
	for _, g := range s.openStages {
		if !g.placeable() || g.job.state.Final() {
			continue
		}
		l.Stages++
		if s.rank(g).tier >= tierLate {
			l.Late++
		}
		if g.step.Gang && s.advisedOnce(g) && !s.seatable(g, s.mayUse(g)) {
			l.Unseatable++
		}
	}
	l.Asking = s.queriesInFlight
	l.Suspects, l.Crashed = s.Suspects()
	return l
}

// Suspects counts the tasks under which workers went and that are not cleared, and the
// machines whose workers crashed in the last minute.
func (s *State) Suspects() (tasks, crashed int) {
	return len(s.suspects), len(s.crashedAt)
}
