package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A worker struct is the state of one life of a worker: the ends, the clock, the tickets
// and the health of a life do not apply to the next one. The id, the machine and the
// address may be the same, and orders for the former life may still arrive: the next life
// does not know of their stops, and its clock may be hours behind their deadlines.
// Therefore calls for the next life carry a higher fence, and a worker that has received
// one refuses orders for its former lives. Runs that were ordered for a former life are
// moved to the next life's state, until its answer to such a call shows that it does not
// have them.

// maxFormerLives bounds the births of former lives that are kept for a worker. A report
// of an older life would have been delayed for as long as that many lives lasted.
const maxFormerLives = 16

func (w *worker) life() spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker: w.id,
		Born:   w.born,
	}
}

// workerOf returns the state of a life, or nil when its worker has another life now. An
// unknown birth matches the latest life: platforms that report no births give each life
// its own id.
func (s *State) workerOf(l spoolsill.WorkerIncarnation) *worker {
	w := s.workers[l.Worker]
	if w == nil || !w.life().Matches(l.Born) {
		return nil
	}
	return w
}

// observeLife returns the state of the life that a report of a worker is from, or nil
// when that is a former life. A life that is not known becomes the worker's latest.
// Births are only compared for equality, since the clock of the next life may be behind.
// The source of the report is for the log.
func (s *State) observeLife(l spoolsill.WorkerIncarnation, source string) *worker {
	w := s.worker(l.Worker)
	switch {
	case l.Born == 0 || l.Born == w.born:
		return w
	case slices.Contains(w.former, l.Born):
		return nil
	case w.born == 0 && !w.dead:
		w.born = l.Born
		w.renewedUntil = w.answeredAt // renewals start over with the new life
		return w
	default:
		// Also when the former life is known to have ended: otherwise the capacity of
		// a worker that reuses its id would be lost to the cell.
		return s.beginNextLife(w, l.Born, source)
	}
}

// beginNextLife creates the state of a worker's next life, which replaces that of the
// former one. Until its entry is seen, its properties are taken to be those of the
// former life.
func (s *State) beginNextLife(old *worker, b spoolsill.StartTime, source string) *worker {
	w := newWorker(old.id)
	w.born = b
	w.restarts = old.restarts + 1
	known := slices.Concat(old.former, []spoolsill.StartTime{old.born})
	w.former = known[max(len(known)-maxFormerLives, 0):]
	w.Worker = old.Worker
	w.Draining = false
	w.unlistedAt = s.now
	w.earliestExit = s.now.Add(s.config.DrainTime)
	w.leaseUntil = LeaseEnd(s.now, s.config.Lease)
	s.workers[w.id] = w
	i := slices.Index(s.workerList, old)
	if i < 0 {
		s.workerList = append(s.workerList, w)
	} else {
		s.workerList[i] = w
	}
	w.crashed = !old.dead && !old.mayBeDecommissioned() && !old.leftAsAnnounced()
	if w.crashed {
		s.recordCrash(old)
		s.confirmLosses(old)
	}
	s.noteNextLife(old, w, source)
	s.markFormerDead(old)
	for _, r := range sortedRuns(old) {
		s.moveRun(r, w)
	}
	return w
}

func (s *State) noteNextLife(old, w *worker, source string) {
	ended := "crashed"
	if !w.crashed {
		ended = "had ended before, or left as announced"
	}
	s.note(Note{
		Kind:   NoteWorkerRestarted,
		Worker: w.id,
		Reason: fmt.Sprintf("%s is of a life born %d; the one born %d %s, with %d runs, %d of them in doubt, and ends received up to %d",
			source, w.born, old.born, ended, len(old.runs), old.doubtful(), old.lastEndSeen),
		Age: s.now.Sub(old.answeredAt),
	})
}

// doubtful counts the runs of which it is not known whether w has them.
func (w *worker) doubtful() int {
	n := 0
	for _, r := range w.runs {
		if r.phase == phaseUncertain || r.phase == phaseInherited {
			n++
		}
	}
	return n
}

// markFormerDead records that a life has ended because the next one has begun.
func (s *State) markFormerDead(old *worker) {
	old.dead = true
	old.listed = false
	old.ready = false
	s.removeLife(old)
}

// moveRun moves a run to the state of its worker's next life, where its order may still
// arrive. A run whose order was not sent is dropped.
func (s *State) moveRun(r *run, w *worker) {
	switch r.phase {
	case phasePlanned:
		s.cancelPlanned(r)
	case phaseRecorded:
		s.dropRun(r, "its worker started again before the order was sent")
	default:
		s.removeRun(r)
		r.worker = w
		s.addRun(r)
		// A stop that the former life accepted does not apply to the next one.
		r.stopTakenAt = time.Time{}
		r.nextStopAt = s.now
	}
}

// Restarts returns how many lives of a worker are known to have ended before its latest.
func (s *State) Restarts(id spoolsill.WorkerID) int {
	if w := s.workers[id]; w != nil {
		return w.restarts
	}
	return 0
}

// forFormerLife reports whether a run was ordered for a former life of its worker and
// has not been reported by the latest one.
func (r *run) forFormerLife() bool {
	return !r.worker.life().Matches(r.born)
}

// dropAbsent drops runs that a worker's answer proves to be absent. Runs of a former
// life were lost with it, which counts against their tasks as any crash does: a task
// that crashes its workers would otherwise be restarted each time they come back.
func (s *State) dropAbsent(w *worker, rs []*run) {
	former := slices.DeleteFunc(slices.Clone(rs), func(r *run) bool { return !r.forFormerLife() })
	if w.crashed || w.restarts == 0 {
		// It is not known how a life ended that only a former leader has seen.
		s.addLosses(w, former, w.crashed, "it started again")
	}
	for _, r := range rs {
		if r.forFormerLife() {
			r.task.stage.job.account.Lost++
			s.dropRun(r, "its worker started again")
			continue
		}
		s.dropRun(r, "worker does not have it")
	}
	for _, r := range former {
		s.failCrashing(r.task.stage)
	}
}

// noteUncounted logs an end that is taken for a duplicate although its run is still
// counted at the worker.
func (s *State) noteUncounted(w *worker, e End) {
	if w.runs[e.Run] == nil {
		return
	}
	s.note(Note{
		Kind:   NoteUncounted,
		Job:    e.Run.Task.Stage.Job,
		Run:    e.Run,
		Worker: w.id,
		Reason: fmt.Sprintf("%s, sequence %d, from a worker whose ends are received up to %d", e.Kind, e.Sequence, w.lastEndSeen),
	})
}
