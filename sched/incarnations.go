package sched

import (
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A worker struct is the state of one incarnation of a worker: the ends, the clock, the
// tickets and the health of an incarnation do not apply to the next one. The id, the machine
// and the address may be the same, and orders for the former incarnation may still arrive:
// the next incarnation does not know of their stops, and its clock may be hours behind their
// deadlines. Therefore calls for the next incarnation carry a higher fence, and a worker
// that has received one refuses orders for its former incarnations. Runs that were ordered
// for a former incarnation are moved to the next incarnation's state, until its answer to
// such a call shows that it does not have them.

// maxFormerIncarnations bounds the start times of former incarnations that are kept for a
// worker. A report of an older incarnation would have been delayed for as long as that many
// incarnations lasted.
const maxFormerIncarnations = 16

func (w *worker) incarnation() spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker:    w.id,
		StartTime: w.startTime,
	}
}

// workerOf returns the state of an incarnation, or nil when its worker has another
// incarnation now. An unknown start time matches the latest incarnation: platforms that
// report no start times give each incarnation its own id.
func (s *State) workerOf(l spoolsill.WorkerIncarnation) *worker {
	w := s.workers[l.Worker]
	if w == nil || !w.incarnation().Matches(l.StartTime) {
		return nil
	}
	return w
}

// observeIncarnation returns the state of the incarnation that a report of a worker is from,
// or nil when that is a former incarnation. An incarnation that is not known becomes the
// worker's latest. Start times are only compared for equality, since the clock of the next
// incarnation may be behind. The source of the report is for the log.
func (s *State) observeIncarnation(l spoolsill.WorkerIncarnation, source string) *worker {
	w := s.worker(l.Worker)
	switch {
	case l.StartTime == 0 || l.StartTime == w.startTime:
		return w
	case slices.Contains(w.former, l.StartTime):
		return nil
	case w.startTime == 0 && !w.dead:
		w.startTime = l.StartTime
		w.renewedUntil = w.answeredAt // renewals start over with the new incarnation
		return w
	default:
		// This applies even if the former incarnation is known to have ended: otherwise the
		// capacity of a worker that reuses its id would be lost to the cell.
		return s.beginNextIncarnation(w, l.StartTime, source)
	}
}

// reinstateIfDisproved makes a former incarnation the latest again if it has answered a call that was
// made for the latest one: it can't have ended before that one began. Something other than the
// worker has written the entry then, whose start time is ignored from now on.
func (s *State) reinstateIfDisproved(h Heartbeat) {
	w := s.workers[h.Worker]
	if w == nil || h.StartTime == 0 || h.Asked != w.incarnation() || !slices.Contains(w.former, h.StartTime) {
		return
	}
	w.former = slices.DeleteFunc(w.former, func(t spoolsill.StartTime) bool { return t == h.StartTime })
	w.disproved = true
	s.beginNextIncarnation(w, h.StartTime, "its answer to a call for the latest")
}

// beginNextIncarnation creates the state of a worker's next incarnation, which replaces that
// of the former one. Until its entry is seen, its properties are taken to be those of the
// former incarnation.
func (s *State) beginNextIncarnation(old *worker, b spoolsill.StartTime, source string) *worker {
	w := newWorker(old.id)
	w.startTime = b
	w.restarts = old.restarts + 1
	known := slices.Concat(old.former, []spoolsill.StartTime{old.startTime})
	w.former = known[max(len(known)-maxFormerIncarnations, 0):]
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
	w.crashed = !old.dead && !old.disproved && !old.mayBeDecommissioned() && !old.leftAsAnnounced()
	if w.crashed {
		s.recordCrash(old)
		s.confirmLosses(old)
	}
	s.noteNextIncarnation(old, w, source)
	s.markFormerDead(old)
	for _, r := range sortedRuns(old) {
		s.moveRun(r, w)
	}
	return w
}

func (s *State) noteNextIncarnation(old, w *worker, source string) {
	ended := "crashed"
	if !w.crashed {
		ended = "had ended before, or left as announced"
	}
	s.note(Note{
		Kind:   NoteWorkerRestarted,
		Worker: w.id,
		Reason: fmt.Sprintf("%s is from the incarnation started at %d; the incarnation started at %d %s; it had %d runs, %d of them in doubt, and the last end received from it is number %d",
			source, w.startTime, old.startTime, ended, len(old.runs), old.uncertainRuns(), old.lastEndSeen),
		Age: s.now.Sub(old.answeredAt),
	})
}

// uncertainRuns returns the number of runs that w may or may not have.
func (w *worker) uncertainRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.phase == phaseUncertain || r.phase == phaseInherited {
			n++
		}
	}
	return n
}

// markFormerDead records that an incarnation has ended because the next one has begun.
func (s *State) markFormerDead(old *worker) {
	old.dead = true
	old.listed = false
	old.ready = false
	s.removeIncarnation(old)
}

// moveRun moves a run to the state of its worker's next incarnation, where its order may still
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
		// A stop that the former incarnation accepted does not apply to the next one.
		r.stopAcceptedAt = time.Time{}
		r.nextStopAt = s.now
	}
}

// Restarts returns how many incarnations of a worker are known to have ended before its
// latest.
func (s *State) Restarts(id spoolsill.WorkerID) int {
	if w := s.workers[id]; w != nil {
		return w.restarts
	}
	return 0
}

// forFormerIncarnation reports whether a run was ordered for a former incarnation of its
// worker and has not been reported by the latest one.
func (r *run) forFormerIncarnation() bool {
	return !r.worker.incarnation().Matches(r.workerStartTime)
}

// dropAbsent drops runs that a worker's answer proves to be absent. Runs of a former
// incarnation were lost with it, which counts against their tasks as any crash does: a task
// that crashes its workers would otherwise be restarted each time they come back.
func (s *State) dropAbsent(w *worker, rs []*run) {
	former := slices.DeleteFunc(slices.Clone(rs), func(r *run) bool { return !r.forFormerIncarnation() })
	if w.crashed || w.restarts == 0 {
		// If only a former leader has seen the incarnation, it is not known how it ended.
		s.addLosses(w, former, w.crashed, "it started again")
	}
	for _, r := range rs {
		if r.forFormerIncarnation() {
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

// noteEndNotCounted logs an end that is ignored as a duplicate although its run is still
// counted at the worker.
func (s *State) noteEndNotCounted(w *worker, e End) {
	if w.runs[e.Run] == nil {
		return
	}
	s.note(Note{
		Kind:   NoteEndNotCounted,
		Job:    e.Run.Task.Stage.Job,
		Run:    e.Run,
		Worker: w.id,
		Reason: fmt.Sprintf("%s, number %d, although the last end received from the worker is number %d", e.Kind, e.Sequence, w.lastEndSeen),
	})
}
