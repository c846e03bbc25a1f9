package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// trialTime is for how long after its start a suspect's run is on trial: a crash
	// within that time is held against it.
	trialTime = livedMost
	// besideTrial counts a run on trial at a worker against starting something
	// unsuspected there, as half of its run time: what is there may go with it.
	besideTrial = 0.5
	// stakeCost counts what a worker has to lose against a trial there, as a factor on
	// the run time for a whole worker; for a strong suspect it outweighs distance.
	stakeCost       = 1.0
	strongStakeCost = 10.0
	// crashedCost counts a machine's crash in the last crashedLately against a trial
	// there: machines that go down by turns are the emptiest ones, and a trial there
	// tells nothing.
	crashedCost   = 10.0
	crashedLately = time.Minute
	// namedMost bounds the runs that a line on a crash names.
	namedMost = 8
)

// place names the machine of a worker; where machines are not told, a life has the
// address of the one before.
func (w *worker) place() string {
	return cmp.Or(w.Machine, w.Address)
}

// leftAsAnnounced reports whether a worker whose life is over ended no sooner than it
// had said that it would.
func (w *worker) leftAsAnnounced() bool {
	return w.Draining && !w.answeredAt.Add(silentAfter).Before(w.leaves)
}

// takenAway reports whether a worker that is gone may have been taken away without a
// word: it answered on after its entry had gone.
func (w *worker) takenAway() bool {
	return !w.listed && w.lapsed.IsZero() && w.answeredAt.After(w.unlistedAt)
}

// suspectRuns takes in that a worker has gone with its runs: its life is over, or it
// has been out of reach for so long that its lease is.
func (s *State) suspectRuns(w *worker, rs []*run, over bool, reason string) {
	if over && w.leftAsAnnounced() {
		return
	}
	if over {
		s.noteCrashed(w)
	}
	s.suspect(w, rs, over, reason)
}

// suspect holds it against runs of one account that the lives went that they were for.
func (s *State) suspect(w *worker, rs []*run, over bool, reason string) {
	var under []*run
	for _, r := range rs {
		if r.phase == phasePlanned || r.phase == phaseRecorded || r.task.stage.job.state.Final() {
			continue // no order has left, or nothing is repeated
		}
		r.task.evidence.add(Loss{
			Worker: w.id,
			Born:   r.born,
			Begun:  r.phase == phaseConfirmed,
			Over:   over,
		})
		under = append(under, r)
		if !slices.Contains(s.suspects, r.task) {
			s.suspects = append(s.suspects, r.task)
		}
		s.markDirty(r.task.stage.job)
	}
	if len(under) > 0 {
		s.noteCrash(w, under, reason)
	}
}

// noteCrashed keeps in mind that a machine has crashed just now.
func (s *State) noteCrashed(w *worker) {
	if w.place() != "" {
		s.crashedAt[w.place()] = s.now
	}
}

// noteCrash tells which runs are under suspicion, the most suspicious first.
func (s *State) noteCrash(w *worker, rs []*run, reason string) {
	slices.SortStableFunc(rs, func(a, b *run) int {
		return cmp.Compare(len(b.task.evidence.losses), len(a.task.evidence.losses))
	})
	var named []string
	for _, r := range rs[:min(len(rs), namedMost)] {
		named = append(named, fmt.Sprintf("%s (%d)", r.id.Task, len(r.task.evidence.losses)))
	}
	s.note(Note{
		Kind:   NoteWorkerLost,
		Worker: w.id,
		Reason: fmt.Sprintf("%s; %d runs under suspicion, by how many workers went under their tasks: %s", reason, len(rs), strings.Join(named, ", ")),
		Age:    s.now.Sub(w.answeredAt),
	})
}

// loseSuspicion takes back what a worker's silence was held against: it answers.
func (s *State) loseSuspicion(w *worker) {
	for _, t := range s.suspects {
		if t.evidence.acquit(w.life()) {
			s.markDirty(t.stage.job)
		}
	}
}

// confirmSuspicion takes in that a worker that could not be reached has crashed.
func (s *State) confirmSuspicion(w *worker) {
	for _, t := range slices.Clone(s.suspects) {
		if t.evidence.confirm(w.life()) {
			s.markDirty(t.stage.job)
			s.failCrashing(t.stage)
		}
	}
}

// clearOutlived clears the task of a run that has gone on for long enough.
func (s *State) clearOutlived(r *run) {
	if r.task.evidence.clearedBy(s.now.Sub(r.startedAt)) {
		r.task.evidence = evidence{}
		s.markDirty(r.task.stage.job)
	}
}

// failCrashing ends the job of a stage of which a task crashes the workers that start it,
// and reports whether it did.
func (s *State) failCrashing(g *stage) bool {
	if g.job.state.Final() {
		return false
	}
	for _, t := range g.tasks {
		if t.done || t.evidence.suspicion() < guilty {
			continue
		}
		reason := fmt.Sprintf("task %s is given up, under which workers went: %v", t.id(), t.evidence.workers())
		s.note(Note{
			Kind:   NoteGivenUp,
			Job:    g.job.ID,
			Reason: reason,
		})
		s.endJob(g.job, Failed, reason)
		return true
	}
	return false
}

// pruneSuspects forgets the tasks that are cleared, done, or of jobs that have ended,
// and the crashes that were long ago.
func (s *State) pruneSuspects() {
	s.suspects = slices.DeleteFunc(s.suspects, func(t *task) bool {
		return len(t.evidence.losses) == 0 || t.done || t.stage.job.state.Final()
	})
	for m, at := range s.crashedAt {
		if s.now.Sub(at) > crashedLately {
			delete(s.crashedAt, m)
		}
	}
}

// beginTrial has a run of a suspect on trial at its worker.
func (w *worker) beginTrial(r *run) {
	if len(r.task.evidence.losses) > 0 {
		w.trials = append(w.trials, r)
	}
}

// endTrial takes a run off its worker's trials, if it is one, and counts how long it
// went on.
func (w *worker) endTrial(r *run) {
	w.trials = slices.DeleteFunc(w.trials, func(o *run) bool { return o == r })
	if len(r.task.evidence.losses) == 0 {
		return
	}
	if r.phase == phaseConfirmed && !r.former() && w.answeredAt.After(r.startedAt) {
		r.task.evidence.lived += w.answeredAt.Sub(r.startedAt)
	}
}

// onTrial reports whether a run may yet crash its worker.
func (r *run) onTrial(now time.Time) bool {
	return r.startedAt.IsZero() || now.Sub(r.startedAt) < trialTime
}

// trialsBeside counts the runs on trial at a worker that are not of a job, and of
// them those of strong suspects.
func (w *worker) trialsBeside(j *job, now time.Time) (all, strong int) {
	for _, r := range w.trials {
		if r.task.stage.job == j || !r.onTrial(now) {
			continue
		}
		all++
		if r.task.evidence.suspicion() > suspect {
			strong++
		}
	}
	return all, strong
}

// blockedByTrial reports whether a strong suspect of another job is on trial at a worker:
// nothing is started there for that time, so that a crash tells who did it.
func (d *decider) blockedByTrial(g *stage, w *worker) bool {
	_, strong := w.trialsBeside(g.job, d.now)
	return strong > 0
}

// trialCost is what speaks against starting a task at a worker as far as crashes go,
// on the scale of a factor on the run time. A suspect is tried where no other one is,
// so that a second crash tells which of them did it, and where little goes with it.
func (d *decider) trialCost(t *task, w *worker) float64 {
	level := t.evidence.suspicion()
	if level == noSuspicion && len(w.trials) == 0 {
		return 0
	}
	beside, _ := w.trialsBeside(t.stage.job, d.now)
	if level == noSuspicion {
		return besideTrial * float64(beside)
	}
	stake := stakeCost
	if level > suspect {
		stake = strongStakeCost
	}
	c := failedWorkerCost*float64(beside) + stake*w.used.DominantShare(w.Capacity)
	if _, crashed := d.crashedAt[w.place()]; crashed {
		c += crashedCost
	}
	return c
}

// gangTrialCost is the same for a gang, of which it takes the most suspicious member.
func (d *decider) gangTrialCost(g *stage, w *worker) float64 {
	worst := g.tasks[0]
	for _, t := range g.tasks {
		if len(t.evidence.losses) > len(worst.evidence.losses) {
			worst = t
		}
	}
	return d.trialCost(worst, w)
}
