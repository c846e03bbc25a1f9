package sched

import "time"

// A StageWait describes for operators why a stage has not been placed.
type StageWait struct {
	Stage StageID
	// Waited is the time since the stage was opened.
	Waited time.Duration
	// For is the cause: "advice" (no answer of the advisor yet), "room" (no free capacity),
	// "quota" or "nothing known".
	For string
	// Usable counts the workers that the stage may use as far as is known, Ready those of
	// them that accept new tasks, Fitting those of the ready ones with capacity for a
	// task, and Kept those of the usable ones that are reserved for other stages.
	Usable  int
	Ready   int
	Fitting int
	Kept    int
	// Asked counts the workers that the advisor's answers cover, Questions the queries about
	// further workers that are in flight.
	Asked     int
	Questions int
}

var waitNames = [...]string{
	waitUnknown:  "nothing known",
	waitAdvice:   "advice",
	waitCapacity: "room",
	waitQuota:    "quota",
}

// LongestWait describes the stage that has waited longest to be placed. It reports false
// if none waits. Cost: O(stages + workers).
func (s *State) LongestWait(now time.Time) (StageWait, bool) {
	var longest *stage
	for _, g := range s.openStages {
		if g.placeable() && !g.job.state.Final() && (longest == nil || g.openedAt.Before(longest.openedAt)) {
			longest = g
		}
	}
	if longest == nil {
		return StageWait{}, false
	}
	w := StageWait{
		Stage:     longest.id,
		Waited:    now.Sub(longest.openedAt),
		For:       waitNames[longest.waitingFor],
		Asked:     len(longest.advice.asked),
		Questions: longest.advice.learnQueriesInFlight,
	}
	reserved := s.reservedByOthers(longest)
	for _, x := range s.usableWorkers(longest) {
		w.count(longest, x, reserved[x])
	}
	return w, true
}

// count adds a worker that g may use to the counts.
func (w *StageWait) count(g *stage, x *worker, reserved bool) {
	w.Usable++
	if x.ready {
		w.Ready++
	}
	if x.ready && g.step.demand().FitsIn(x.free()) {
		w.Fitting++
	}
	if reserved {
		w.Kept++
	}
}

// hasAdvice reports whether g needs no advisor or has had an answer from it.
func (s *State) hasAdvice(g *stage) bool {
	return s.queue(g.job).Advisor == nil || g.advice.asked != nil
}

// usableWorkers returns the workers that g may use as far as is known.
func (s *State) usableWorkers(g *stage) []*worker {
	q := s.queue(g.job)
	if q.Advisor != nil {
		return g.advice.allowed
	}
	var ws []*worker
	for _, w := range s.workerList {
		if !w.dead && w.Service == q.Service && g.labelMatches(w) {
			ws = append(ws, w)
		}
	}
	return ws
}

// reservedByOthers returns the workers that are reserved for other stages than g.
func (s *State) reservedByOthers(g *stage) map[*worker]bool {
	workers := map[*worker]bool{}
	for _, o := range s.openStages {
		if o == g {
			continue
		}
		for _, w := range o.reserved {
			workers[w] = true
		}
	}
	return workers
}
