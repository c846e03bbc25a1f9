package sched

import (
	"cmp"
	"maps"
	"strings"
	"time"
)

func compareRuns(a, b RunID) int {
	return cmp.Or(
		strings.Compare(string(a.Task.Stage.Job), string(b.Task.Stage.Job)),
		cmp.Compare(a.Task.Stage.Round, b.Task.Stage.Round),
		cmp.Compare(a.Task.Stage.Step, b.Task.Stage.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}

// addRun counts a run at its worker and for its team.
func (s *State) addRun(r *run) {
	r.worker.runs[r.id] = r
	r.worker.used = r.worker.used.Add(r.need)
	if r.lasts() {
		r.worker.usedForGood = r.worker.usedForGood.Add(r.need)
	}
	r.task.setRun(r)
	r.worker.beginTrial(r)
	j := r.task.stage.job
	j.activeRuns++
	j.team.used = j.team.used.Add(r.need)
}

// lasts reports whether r goes on until its job is cancelled.
func (r *run) lasts() bool {
	return r.task.stage.step.Lasting && !r.stopping
}

// removeRun undoes addRun.
func (s *State) removeRun(r *run) {
	w := r.worker
	delete(w.runs, r.id)
	w.used = w.used.Sub(r.need)
	if r.lasts() {
		w.usedForGood = w.usedForGood.Sub(r.need)
	}
	if r.beside {
		w.usedBeside = w.usedBeside.Sub(r.need)
	}
	w.endTrial(r)
	j := r.task.stage.job
	j.activeRuns--
	j.team.used = j.team.used.Sub(r.need)
}

// release removes a run that is certainly not at its worker.
func (s *State) release(r *run) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	s.removeRun(r)
	if r.task.run == r {
		r.task.setRun(nil)
	}
	s.markDirty(r.task.stage.job)
}

// dropRun removes a run that is certainly gone. Its task can be started again.
func (s *State) dropRun(r *run, reason string) {
	s.release(r)
	s.note(Note{
		Kind:   NoteRunGone,
		Job:    r.task.stage.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: reason,
		Age:    s.now.Sub(r.startedAt),
		Gone:   len(r.task.evidence.losses),
	})
	s.stopGangMembers(r, reason)
}

// stopGangMembers stops the other members of a gang after one of its runs is gone.
func (s *State) stopGangMembers(r *run, reason string) {
	g := r.task.stage
	if !g.step.Gang || g.done() {
		return
	}
	for _, t := range g.tasks {
		if t.run == nil || t.run == r || t.run.id.Number != r.id.Number {
			continue
		}
		if t.run.phase == phaseRecorded {
			s.withdraw(t.run)
			continue
		}
		s.stop(t.run, "another member of the gang is gone: "+reason)
	}
}

// withdraw cancels a run whose order has not been sent.
func (s *State) withdraw(r *run) {
	j := r.task.stage.job
	kept := j.starts[:0]
	for _, o := range j.starts {
		if o.Run != r.id {
			kept = append(kept, o)
		}
	}
	j.starts = kept
	s.release(r)
}

// StartAnswered handles the result of a start order.
func (s *State) StartAnswered(now time.Time, a StartAnswer) {
	s.now = now
	w := s.workers[a.Worker]
	if w == nil {
		return
	}
	r := w.runs[a.Run]
	if a.Outcome == StartOtherIncarnation {
		if r != nil && !a.Doubt {
			// The run never began there, so it can't have caused the end of that incarnation.
			s.dropRun(r, "start order: "+a.Outcome.String())
		}
		s.WorkerDied(now, a.WorkerIncarnation)
		return
	}
	if r == nil {
		return
	}
	s.noteStart(r, a)
	switch {
	case a.Outcome == StartAccepted:
		s.confirm(r)
	case a.Outcome == StartUnknown || a.Doubt:
		r.phase = phaseUncertain
		r.deadline = a.Deadline
	default:
		s.dropRejected(r, a.Outcome)
	}
	if (a.Outcome == StartUnhealthy || a.Outcome == StartUnknown) && w.incarnation().Matches(a.StartTime) {
		w.backoffUntil = now.Add(rejectBackoff)
		w.health.recordRejection(now)
	}
}

func (s *State) noteStart(r *run, a StartAnswer) {
	k := NoteStarted
	if a.Outcome != StartAccepted {
		k = NoteNotStarted
	}
	s.note(Note{
		Kind:   k,
		Job:    r.task.stage.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: a.Outcome.String(),
		Age:    s.now.Sub(r.startedAt),
	})
}

func (s *State) confirm(r *run) {
	if r.phase == phaseConfirmed {
		return
	}
	r.phase = phaseConfirmed
	r.confirmedAt = s.now
	s.markStarted(r.task.stage.job)
}

// markStarted records that a task of a job has started. No row is written for that, since
// the stored progress shows a job as running from its first recorded start on.
func (s *State) markStarted(j *job) {
	if j.state == Pending {
		s.setState(j, Running)
		s.statusUpdates = append(s.statusUpdates, j.status())
	}
}

// dropRejected drops a run that the worker certainly did not start.
func (s *State) dropRejected(r *run, o StartOutcome) {
	g := r.task.stage
	g.retryAt = s.now.Add(rejectedRetryDelay)
	if o == StartNoTicket {
		g.advice.expire(r.worker)
		if s.queue(g.job).Advisor == nil {
			g.retryAt = s.now.Add(unknownAdvisorRetryDelay)
		}
	}
	s.dropRun(r, "start order: "+o.String())
}

// rejectedRetryDelay is the delay before a stage is tried again after a rejected start,
// about one round trip and one write.
const rejectedRetryDelay = 50 * time.Millisecond

// unknownAdvisorRetryDelay is the delay after a start that was rejected for want of a ticket although
// the queue has no advisor as far as is known. Until its new configuration arrives, which ends the
// delay, each start is rejected.
const unknownAdvisorRetryDelay = 500 * time.Millisecond

// Heartbeat handles a worker's answer to a lease renewal.
func (s *State) Heartbeat(now time.Time, h Heartbeat) {
	s.now = now
	if s.workers[h.Worker] == nil {
		return
	}
	s.reinstateIfDisproved(h)
	w := s.observeIncarnation(h.WorkerIncarnation, "its answer")
	if w == nil || w.dead {
		return
	}
	if w.answeredAt.IsZero() {
		s.capInheritedLease(w)
	}
	if s.firstAnswerAt.IsZero() {
		s.firstAnswerAt = now
	}
	if w.leaseExpired || w.answeredAt.IsZero() {
		w.leaseExpired = false
		s.retractLosses(w)
	}
	if !w.answeredAt.IsZero() && now.Sub(w.answeredAt) > maxAnswerAge {
		s.noteWorker(w, "answers", now.Sub(w.answeredAt))
	}
	w.answeredAt = now
	w.unresponsive = false
	for _, e := range h.Ended {
		s.handleEnd(w, e)
	}
	listed := make(map[RunID]bool, len(h.Running))
	for _, x := range h.Running {
		listed[x.Run] = true
		s.updateRunning(w, x)
	}
	maps.DeleteFunc(w.unknownRuns, func(id RunID, _ time.Time) bool { return !listed[id] })
	if h.Partial {
		s.reconcileUnknownRuns(w, h)
		return
	}
	var absent []*run
	for _, r := range sortedRuns(w) {
		if !listed[r.id] && r.provenAbsent(h) {
			absent = append(absent, r)
		}
	}
	s.dropAbsent(w, absent)
	s.reconcileUnknownRuns(w, h)
}

// provenAbsent reports whether a heartbeat that does not list r proves that the worker
// neither has it nor may still start it.
func (r *run) provenAbsent(h Heartbeat) bool {
	if r.forFormerIncarnation() {
		// The order and its deadline are for a former incarnation. An incarnation that has
		// answered a call of its own refuses them, as its fence is higher.
		return h.Asked == r.worker.incarnation()
	}
	if !r.stopAcceptedAt.IsZero() && h.Sent.After(r.stopAcceptedAt) {
		return true
	}
	switch r.phase {
	case phaseConfirmed:
		return h.Sent.After(r.confirmedAt)
	case phaseInherited:
		return true
	case phaseUncertain:
		return h.Clock > r.deadline
	default:
		return false
	}
}

func (s *State) updateRunning(w *worker, x RunningTask) {
	r := w.runs[x.Run]
	if r == nil {
		return // there is no record of it; see reconcileUnknownRuns
	}
	if r.phase != phaseRecorded && r.phase != phasePlanned {
		s.confirm(r)
	}
	if r.startedAt.IsZero() || r.forFormerIncarnation() {
		r.startedAt = s.now
	}
	r.workerStartTime = w.startTime
	if x.Saved != "" {
		r.task.saved = x.Saved
	}
	s.clearIfSurvived(r)
	if r.progressedAt.IsZero() || x.Percent != r.percent {
		r.percent = x.Percent
		r.progressedAt = s.now
	}
	if r.task.stage.job.state.Final() {
		s.stop(r, "job has ended")
	}
}

// handleEnd handles a worker's report that a run has ended.
func (s *State) handleEnd(w *worker, e End) {
	if e.Sequence <= w.lastEndSeen {
		// The worker still lists it, so it has not received the acknowledgement.
		s.acks[w.incarnation()] = w.lastEndSeen
		s.noteEndNotCounted(w, e)
		return
	}
	w.lastEndSeen = e.Sequence
	s.acks[w.incarnation()] = e.Sequence
	r := w.runs[e.Run]
	s.note(Note{
		Kind:   NoteEnded,
		Job:    e.Run.Task.Stage.Job,
		Run:    e.Run,
		Worker: w.id,
		Reason: e.Kind.String(),
		Age:    runAge(s.now, r),
	})
	if r == nil {
		s.handleLateEnd(e)
		return
	}
	t := r.task
	s.markStarted(t.stage.job)
	if e.Saved != "" {
		t.saved = e.Saved
	}
	s.release(r)
	s.observeEnd(r, e.Kind)
	switch e.Kind {
	case EndDone:
		s.taskDone(t, e.Run.Number)
	case EndFailed:
		s.taskFailed(t, r)
	default:
		s.stopGangMembers(r, e.Kind.String())
	}
}

func runAge(now time.Time, r *run) time.Duration {
	if r == nil || r.startedAt.IsZero() {
		return 0
	}
	return now.Sub(r.startedAt)
}

// handleLateEnd handles the end of a run that is no longer counted. Only completed work
// is of interest.
func (s *State) handleLateEnd(e End) {
	if e.Kind != EndDone {
		return
	}
	j := s.jobs[e.Run.Task.Stage.Job]
	if j == nil || j.state.Final() {
		return
	}
	g := j.stage(e.Run.Task.Stage.Round, e.Run.Task.Stage.Step)
	if g == nil || e.Run.Task.Index >= len(g.tasks) {
		return
	}
	t := g.tasks[e.Run.Task.Index]
	if e.Run.Number > t.lastRun {
		return
	}
	s.taskDone(t, e.Run.Number)
}

// taskDone marks a task done. In a gang, the completion of one member completes all.
func (s *State) taskDone(t *task, n RunNumber) {
	g := t.stage
	if g.step.Lasting || g.job.state.Final() || t.done {
		return
	}
	members := []*task{t}
	if g.step.Gang {
		members = g.tasks
	}
	for _, m := range members {
		s.markDone(m, n)
	}
	s.markDirty(g.job)
	if g.done() {
		s.completeStage(g)
	}
}

func (s *State) markDone(t *task, n RunNumber) {
	if t.done {
		return
	}
	t.setDone()
	t.saved = ""
	t.stage.tasksLeft--
	if t.run == nil || t.run.id.Number == n {
		return
	}
	if t.run.phase == phaseRecorded {
		s.withdraw(t.run)
		return
	}
	s.stop(t.run, "an earlier run of its task is done")
}

func (s *State) taskFailed(t *task, r *run) {
	g := t.stage
	if t.done || g.step.Lasting || g.job.state.Final() {
		return
	}
	s.markDirty(g.job)
	g.job.account.Failed++
	g.failuresSeen = true
	t.failedOn = append(t.failedOn, r.worker.incarnation())
	switch {
	case !g.step.Gang:
		t.failures++
	case g.lastFailedRun == r.id.Number:
		return // already counted for another member of this run
	default:
		g.lastFailedRun = r.id.Number
		g.gangFailures++
	}
	if !s.failExhausted(g) {
		s.stopGangMembers(r, "a member failed")
	}
}

// failExhausted fails the job of a stage if a task, or the gang as a whole, has failed
// as often as the queue allows, and reports whether it did.
func (s *State) failExhausted(g *stage) bool {
	maxAttempts := s.queue(g.job).MaxAttempts
	if maxAttempts <= 0 {
		return false
	}
	exhausted := g.gangFailures >= maxAttempts
	for _, t := range g.tasks {
		exhausted = exhausted || !t.done && t.failures >= maxAttempts
	}
	if exhausted {
		s.endJob(g.job, Failed, "a task failed as often as its queue allows")
	}
	return exhausted
}
