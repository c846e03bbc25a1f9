package sched

import (
	"fmt"

	"github.com/spoolsill/spoolsill"
)

// noteLife notes when a worker's word is of another life than its last one.
func (s *State) noteLife(w *worker, b spoolsill.Birth, word string) {
	if b == 0 || b == w.born {
		return
	}
	if w.born != 0 {
		s.noteWorker(w, fmt.Sprintf("%s names another life, born %d, before that %d; %d runs are believed there, ends are seen up to %d",
			word, b, w.born, len(w.runs), w.seen), s.now.Sub(w.answered))
	}
	w.born = b
}

// noteUncounted notes an end that is taken for one that was seen, though its run is
// believed to be there.
func (s *State) noteUncounted(w *worker, e End) {
	if w.runs[e.Run] == nil {
		return
	}
	s.note(Note{
		Kind:   NoteUncounted,
		Job:    e.Run.Task.Stage.Job,
		Run:    e.Run,
		Worker: w.id,
		Reason: fmt.Sprintf("%s, number %d, of a worker whose ends are seen up to %d", e.Kind, e.Sequence, w.seen),
	})
}
