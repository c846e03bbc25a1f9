package sched

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// trialPeriod is how long after its start a run of a suspect task is on trial, which
	// is the time within which a task that crashes its workers does so.
	trialPeriod = maxRuntimePerCrash
	// besideTrialCost is the cost of starting an unsuspected task at a worker with runs on
	// trial, which may crash the worker: a fraction of the task's run time for each of them.
	besideTrialCost = 0.5
	// runsAtRiskCost weighs the share of a worker that is in use, and that a crash would
	// take down, against a trial there, as a factor on the run time. For strong
	// suspicion it outweighs data locality.
	runsAtRiskCost       = 1.0
	strongRunsAtRiskCost = 10.0
	// recentCrashCost is the cost of a trial on a machine that crashed within
	// recentCrashWindow: machines that restart repeatedly are the least loaded ones, and
	// another crash there would prove nothing about the task.
	recentCrashCost   = 10.0
	recentCrashWindow = time.Minute
	// maxLoggedRuns bounds the runs that a log line about a lost worker names.
	maxLoggedRuns = 8
)

// machineKey identifies the machine of a worker. Where the platform names no machine it
// is the address, which successive incarnations of a machine share.
func (w *worker) machineKey() string {
	return cmp.Or(w.Machine, w.Address)
}

// leftAsAnnounced reports whether a worker whose incarnation has ended was draining and did
// not end before the time that it had announced.
func (w *worker) leftAsAnnounced() bool {
	return w.Draining && !w.answeredAt.Add(maxAnswerAge).Before(w.earliestExit)
}

// mayBeDecommissioned reports whether a worker that is gone may have been removed by the
// platform without notice: it still answered after its entry was deleted.
func (w *worker) mayBeDecommissioned() bool {
	return !w.listed && w.graceUntil.IsZero() && w.answeredAt.After(w.unlistedAt)
}

// recordLoss counts the loss of a worker against the tasks of its runs. The argument crashed is
// true if the worker's incarnation is known to have ended, in which case nothing is counted for a
// worker that left as announced. It is false if the worker has only been unreachable for longer
// than its lease, or may have been decommissioned.
func (s *State) recordLoss(w *worker, rs []*run, crashed bool, reason string) {
	if crashed && w.leftAsAnnounced() {
		return
	}
	if crashed {
		s.recordCrash(w)
	}
	s.addLosses(w, rs, crashed, reason)
}

// addLosses counts the loss of a worker against the tasks of its runs. Each loss names
// the incarnation that the run was ordered for.
func (s *State) addLosses(w *worker, rs []*run, crashed bool, reason string) {
	var affected []*run
	for _, r := range rs {
		if r.phase == phasePlanned || r.phase == phaseRecorded || r.task.stage.job.state.Final() {
			continue // no order was sent, or the run would not be repeated
		}
		r.task.evidence.add(Loss{
			Worker: w.id,
			Born:   r.workerStartTime,
			Begun:  r.phase == phaseConfirmed,
			Over:   crashed,
		})
		r.task.stage.failuresSeen = true
		affected = append(affected, r)
		if !slices.Contains(s.suspects, r.task) {
			s.suspects = append(s.suspects, r.task)
		}
		s.markDirty(r.task.stage.job)
	}
	if len(affected) > 0 {
		s.noteSuspects(w, affected, reason)
	}
}

// recordCrash records when the machine of a worker crashed.
func (s *State) recordCrash(w *worker) {
	if w.machineKey() != "" {
		s.crashedAt[w.machineKey()] = s.now
	}
}

// noteSuspects logs which tasks are now suspect, those with the most losses first.
func (s *State) noteSuspects(w *worker, rs []*run, reason string) {
	slices.SortStableFunc(rs, func(a, b *run) int {
		return cmp.Compare(len(b.task.evidence.losses), len(a.task.evidence.losses))
	})
	var named []string
	for _, r := range rs[:min(len(rs), maxLoggedRuns)] {
		named = append(named, fmt.Sprintf("%s (%d)", r.id.Task, len(r.task.evidence.losses)))
	}
	s.note(Note{
		Kind:   NoteWorkerLost,
		Worker: w.id,
		Reason: fmt.Sprintf("%s; %d runs lost with it; tasks with the most lost workers: %s", reason, len(rs), strings.Join(named, ", ")),
		Age:    s.now.Sub(w.answeredAt),
	})
}

// retractLosses drops the losses that were recorded while a worker did not respond. It is called
// when the worker answers again.
func (s *State) retractLosses(w *worker) {
	for _, t := range s.suspects {
		if t.evidence.retract(w.incarnation()) {
			s.markDirty(t.stage.job)
		}
	}
}

// confirmLosses records that a worker that was unreachable has crashed.
func (s *State) confirmLosses(w *worker) {
	for _, t := range slices.Clone(s.suspects) {
		if t.evidence.confirm(w.incarnation()) {
			s.markDirty(t.stage.job)
			s.failCrashing(t.stage)
		}
	}
}

// clearIfSurvived clears the task of a run that has lasted for long enough.
func (s *State) clearIfSurvived(r *run) {
	if r.task.evidence.clearedBy(s.now.Sub(r.startedAt)) {
		r.task.evidence = evidence{}
		s.markDirty(r.task.stage.job)
	}
}

// failCrashing fails the job of a stage if one of its tasks is proven to crash its workers,
// and reports whether it did.
func (s *State) failCrashing(g *stage) bool {
	if g.job.state.Final() {
		return false
	}
	for _, t := range g.tasks {
		if t.done || t.evidence.suspicion() < proven {
			continue
		}
		reason := fmt.Sprintf("task %s is given up, under which workers went: %v", t.id(), t.evidence.workers())
		s.note(Note{
			Kind:   NoteTaskGivenUp,
			Job:    g.job.ID,
			Reason: reason,
		})
		s.endJob(g.job, Failed, reason)
		return true
	}
	return false
}

// pruneSuspects removes tasks that are cleared, done or of finished jobs, and crashes
// that are no longer recent.
func (s *State) pruneSuspects() {
	s.suspects = slices.DeleteFunc(s.suspects, func(t *task) bool {
		return len(t.evidence.losses) == 0 || t.done || t.stage.job.state.Final()
	})
	for m, at := range s.crashedAt {
		if s.now.Sub(at) > recentCrashWindow {
			delete(s.crashedAt, m)
		}
	}
}

// beginTrial puts a run on trial at its worker if its task is suspect.
func (w *worker) beginTrial(r *run) {
	if len(r.task.evidence.losses) > 0 {
		w.trials = append(w.trials, r)
	}
}

// endTrial removes a run from its worker's trials, if it is one, and adds the time that
// it lasted to the evidence of its task.
func (w *worker) endTrial(r *run) {
	w.trials = slices.DeleteFunc(w.trials, func(o *run) bool { return o == r })
	if len(r.task.evidence.losses) == 0 {
		return
	}
	if r.phase == phaseConfirmed && !r.forFormerIncarnation() && w.answeredAt.After(r.startedAt) {
		r.task.evidence.runTime += w.answeredAt.Sub(r.startedAt)
	}
}

// onTrial reports whether a run is within its trial period, in which it may still crash its
// worker.
func (r *run) onTrial(now time.Time) bool {
	return r.startedAt.IsZero() || now.Sub(r.startedAt) < trialPeriod
}

// otherTrials counts the runs on trial at a worker that belong to other jobs than j, and
// how many of them are of strongly suspect tasks.
func (w *worker) otherTrials(j *job, now time.Time) (all, strong int) {
	for _, r := range w.trials {
		if r.task.stage.job == j || !r.onTrial(now) {
			continue
		}
		all++
		if r.task.evidence.suspicion() > weakSuspicion {
			strong++
		}
	}
	return all, strong
}

// blockedByTrial reports whether a strongly suspect task of another job is on trial at a worker.
// Nothing is started there for the trial period, so that a crash can be attributed.
func (d *decider) blockedByTrial(g *stage, w *worker) bool {
	_, strong := w.otherTrials(g.job, d.now)
	return strong > 0
}

// trialCost returns the cost of starting a task at a worker that results from the risk
// of crashes, as a factor on the run time. Suspect tasks are started on different workers, so
// that a second crash shows which of them caused it, and where a crash ends few other runs.
func (d *decider) trialCost(t *task, w *worker) float64 {
	level := t.evidence.suspicion()
	if level == noSuspicion && len(w.trials) == 0 {
		return 0
	}
	beside, _ := w.otherTrials(t.stage.job, d.now)
	if level == noSuspicion {
		return besideTrialCost * float64(beside)
	}
	riskCost := runsAtRiskCost
	if level > weakSuspicion {
		riskCost = strongRunsAtRiskCost
	}
	c := failedWorkerCost*float64(beside) + riskCost*w.used.DominantShare(w.Capacity)
	if _, crashed := d.crashedAt[w.machineKey()]; crashed {
		c += recentCrashCost
	}
	return c
}

// gangTrialCost returns the trialCost of the most suspect member of a gang.
func (d *decider) gangTrialCost(g *stage, w *worker) float64 {
	mostSuspect := g.tasks[0]
	for _, t := range g.tasks {
		if len(t.evidence.losses) > len(mostSuspect.evidence.losses) {
			mostSuspect = t
		}
	}
	return d.trialCost(mostSuspect, w)
}
