package sched

import "time"

// A Wait tells why a stage has not been placed, for operators.
type Wait struct {
	Stage StageID
	// Waited is since its turn had come.
	Waited time.Duration
	// For is what it waits for: advice, room, quota or nothing known.
	For string
	// Usable counts the workers that it may use as far as is known, Ready those of them
	// that take something now, Fitting those of these that have room for a task, and Kept
	// those that are kept for other stages.
	Usable  int
	Ready   int
	Fitting int
	Kept    int
	// Asked counts the workers that the advisor was asked about, Questions the questions
	// about others that are under way.
	Asked     int
	Questions int
}

var waitNames = [...]string{
	waitNothing: "nothing known",
	waitAdvice:  "advice",
	waitRoom:    "room",
	waitQuota:   "quota",
}

// LongestWait returns the stage that has waited longest to be placed; false when none
// waits. Cost: O(stages + workers).
func (s *State) LongestWait(now time.Time) (Wait, bool) {
	var first *stage
	for _, g := range s.open {
		if g.placeable() && !g.job.state.Final() && (first == nil || g.openedAt.Before(first.openedAt)) {
			first = g
		}
	}
	if first == nil {
		return Wait{}, false
	}
	w := Wait{
		Stage:     first.id,
		Waited:    now.Sub(first.openedAt),
		For:       waitNames[first.waits],
		Asked:     len(first.advice.asked),
		Questions: first.advice.learning,
	}
	kept := s.keptFromOthers(first)
	for _, x := range s.mayUse(first) {
		w.count(first, x, kept[x])
	}
	return w, true
}

// count takes in a worker that a stage may use.
func (w *Wait) count(g *stage, x *worker, kept bool) {
	w.Usable++
	if x.ready {
		w.Ready++
	}
	if x.ready && g.step.room().FitsIn(x.free()) {
		w.Fitting++
	}
	if kept {
		w.Kept++
	}
}

// advisedOnce reports whether it is known for any worker whether a stage may use it.
func (s *State) advisedOnce(g *stage) bool {
	return s.queue(g.job).Advisor == nil || g.advice.asked != nil
}

// mayUse returns the workers that a stage may use as far as is known.
func (s *State) mayUse(g *stage) []*worker {
	q := s.queue(g.job)
	if q.Advisor != nil {
		return g.advice.good
	}
	var ws []*worker
	for _, w := range s.order {
		if !w.dead && w.Service == q.Service && g.allows(w) {
			ws = append(ws, w)
		}
	}
	return ws
}

// keptFromOthers returns the workers that stages but g keep while they wait.
func (s *State) keptFromOthers(g *stage) map[*worker]bool {
	kept := map[*worker]bool{}
	for _, o := range s.open {
		if o == g {
			continue
		}
		for _, w := range o.gathered {
			kept[w] = true
		}
	}
	return kept
}
