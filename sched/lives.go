package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// An account is that of one life of a worker: what is believed of a life, its ends, its
// clock, its tickets and its health, does not hold for the next one. The id, the machine
// and the address may stay, and so may orders that are on their way: the next life knows
// of no stop, and its clock may be hours behind the deadlines. So its calls have a higher
// fence than those for the lives before, whose orders it refuses once it has heard one;
// and what was ordered for a life before is moved to the new account, until an answer to
// such a call tells that it is not there.

// formerKept bounds how many births of former lives are known. A word of an older one
// would have to have been on its way for as long as so many lives lasted.
const formerKept = 16

// life returns the life that an account is of.
func (w *worker) life() spoolsill.Life {
	return spoolsill.Life{
		Worker: w.id,
		Born:   w.born,
	}
}

// account returns the account of a life, or nil when its worker has another one now. A
// birth that is not told is taken for the latest: platforms that tell none give each life
// an id of its own.
func (s *State) account(l spoolsill.Life) *worker {
	w := s.workers[l.Worker]
	if w == nil || !w.life().Matches(l.Born) {
		return nil
	}
	return w
}

// meet returns the account of the life that a worker's own word is of, or nil when that
// is a former one. Of a life that is not known it begins the account: births are compared
// for being equal only, since the next life's time of day may be behind.
func (s *State) meet(l spoolsill.Life, word string) *worker {
	w := s.worker(l.Worker)
	switch {
	case l.Born == 0 || l.Born == w.born:
		return w
	case slices.Contains(w.former, l.Born):
		return nil
	case w.born == 0 && !w.dead:
		w.born = l.Born
		w.renewed = w.answered // whoever renews its lease begins anew
		return w
	default:
		// Also after proof that the former life is over: its id is not, and a worker that
		// is never used again is missed by the whole cell.
		return s.startAgain(w, l.Born, word)
	}
}

// startAgain begins the account of a worker's next life, which has the place of the one
// before. Until its entry tells more it is taken to be where that one was.
func (s *State) startAgain(old *worker, b spoolsill.Birth, word string) *worker {
	w := newWorker(old.id)
	w.born = b
	w.restarts = old.restarts + 1
	known := slices.Concat(old.former, []spoolsill.Birth{old.born})
	w.former = known[max(len(known)-formerKept, 0):]
	w.Worker = old.Worker
	w.Draining = false
	w.unlisted = s.now
	w.leaves = s.now.Add(s.config.DrainTime)
	w.leased = LeaseEnd(s.now, s.config.Lease)
	s.workers[w.id] = w
	i := slices.Index(s.order, old)
	if i < 0 {
		s.order = append(s.order, w)
	} else {
		s.order[i] = w
	}
	w.crashed = !old.dead && !old.takenAway() && !old.leftAsAnnounced()
	if w.crashed {
		s.noteCrashed(old)
		s.confirmSuspicion(old)
	}
	s.noteStartedAgain(old, w, word)
	s.endFormer(old)
	for _, r := range sortedRuns(old) {
		s.move(r, w)
	}
	return w
}

func (s *State) noteStartedAgain(old, w *worker, word string) {
	ended := "crashed"
	if !w.crashed {
		ended = "was over, or ended as announced"
	}
	s.note(Note{
		Kind:   NoteLife,
		Worker: w.id,
		Reason: fmt.Sprintf("%s names a life born %d; the one born %d %s, with %d runs, %d of them in doubt, and its ends seen up to %d",
			word, w.born, old.born, ended, len(old.runs), old.doubtful(), old.seen),
		Age: s.now.Sub(old.answered),
	})
}

// doubtful counts the runs that may or may not be at w.
func (w *worker) doubtful() int {
	n := 0
	for _, r := range w.runs {
		if r.phase == phaseDoubt || r.phase == phaseInherited {
			n++
		}
	}
	return n
}

// endFormer takes in that a life is over since the next one has begun.
func (s *State) endFormer(old *worker) {
	old.dead = true
	old.listed = false
	old.ready = false
	s.endLife(old)
}

// move moves a run to the account of its worker's next life, where its order may arrive
// yet. One whose order has not left never will.
func (s *State) move(r *run, w *worker) {
	switch r.phase {
	case phasePlanned:
		s.unplan(r)
	case phaseRecorded:
		s.lose(r, "its worker started again before the order left")
	default:
		s.unbook(r)
		r.worker = w
		s.book(r)
		// A stop that the former life took means nothing here.
		r.stopped = time.Time{}
		r.stopDue = s.now
	}
}

// Restarts returns how many lives of a worker are known that are over.
func (s *State) Restarts(id spoolsill.WorkerID) int {
	if w := s.workers[id]; w != nil {
		return w.restarts
	}
	return 0
}

// former reports whether a run was ordered for a former life of its worker, and is not
// known to be there now.
func (r *run) former() bool {
	return !r.worker.life().Matches(r.born)
}

// loseAbsent takes in that a worker's answer proves that it has not got some runs. Those of
// a former life went with it, which counts against their tasks as any crash does: a task
// that crashes its workers would else be started again for as long as they come back.
func (s *State) loseAbsent(w *worker, rs []*run) {
	former := slices.DeleteFunc(slices.Clone(rs), func(r *run) bool { return !r.former() })
	if w.crashed || w.restarts == 0 {
		// Of a life that a former leader knew it is not known how it ended.
		s.suspect(w, former, w.crashed, "it started again")
	}
	for _, r := range rs {
		if r.former() {
			r.task.stage.job.account.Lost++
			s.lose(r, "its worker started again")
			continue
		}
		s.lose(r, "worker does not have it")
	}
	for _, r := range former {
		s.giveUp(r.task.stage)
	}
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
