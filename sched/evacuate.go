package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// SetEvacuated sets the halls that the operators evacuate. Nothing is started there, nor is an
// order sent that was decided before; what runs there goes on.
func (s *State) SetEvacuated(now time.Time, halls []spoolsill.HallID) {
	s.now = now
	evacuated := map[spoolsill.HallID]bool{}
	for _, h := range halls {
		evacuated[h] = true
	}
	if maps.Equal(evacuated, s.evacuated) {
		return
	}
	s.evacuated = evacuated
	s.note(Note{
		Kind:   NoteEvacuated,
		Reason: listOf(slices.Sorted(maps.Keys(evacuated))),
	})
}

func listOf(halls []spoolsill.HallID) string {
	if len(halls) == 0 {
		return "no hall"
	}
	list := string(halls[0])
	for _, h := range halls[1:] {
		list += ", " + string(h)
	}
	return list
}

// acceptsStarts reports whether something new may be started at w now.
func (s *State) acceptsStarts(w *worker) bool {
	return w.acceptsStarts(s.now) && !s.evacuated[w.Hall]
}
