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

// book puts a run into its worker's account.
func (s *State) book(r *run) {
	r.worker.runs[r.id] = r
	r.worker.used = r.worker.used.Add(r.need)
	r.task.run = r
	r.worker.beginTrial(r)
	j := r.task.stage.job
	j.runs++
	j.team.used = j.team.used.Add(r.need)
}

// unbook takes a run out of its worker's account, and out of its team's.
func (s *State) unbook(r *run) {
	w := r.worker
	delete(w.runs, r.id)
	w.used = w.used.Sub(r.need)
	w.endTrial(r)
	j := r.task.stage.job
	j.runs--
	j.team.used = j.team.used.Sub(r.need)
}

// release takes a run out of its worker's account: it is certainly not there.
func (s *State) release(r *run) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	s.unbook(r)
	if r.task.run == r {
		r.task.run = nil
	}
	s.touch(r.task.stage.job)
}

// lose takes a run that is certainly gone out of its worker's account; its task is open
// again.
func (s *State) lose(r *run, reason string) {
	s.release(r)
	s.note(Note{
		Kind:   NoteGone,
		Job:    r.task.stage.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: reason,
		Age:    s.now.Sub(r.begun),
		Gone:   len(r.task.evidence.losses),
	})
	s.breakGang(r, reason)
}

// breakGang stops the other members of a gang of which one is gone.
func (s *State) breakGang(r *run, reason string) {
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
		s.stop(t.run, "gang is broken: "+reason)
	}
}

// withdraw takes back a run whose order has not left yet.
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

// StartAnswered takes in what became of a start order.
func (s *State) StartAnswered(now time.Time, a StartAnswer) {
	s.now = now
	w := s.workers[a.Worker]
	if w == nil {
		return
	}
	r := w.runs[a.Run]
	if a.Outcome == StartOtherLife {
		if r != nil && !a.Doubt {
			// It surely never began there: what ended that life is something else.
			s.lose(r, "start: "+a.Outcome.String())
		}
		s.WorkerDied(now, a.Life)
		return
	}
	if r == nil {
		return
	}
	s.noteStart(r, a)
	switch {
	case a.Outcome == StartTaken:
		s.confirm(r)
	case a.Outcome == StartUnknown || a.Doubt:
		r.phase = phaseDoubt
		r.deadline = a.Deadline
	default:
		s.reject(r, a.Outcome)
	}
	if (a.Outcome == StartUnhealthy || a.Outcome == StartUnknown) && w.life().Matches(a.Born) {
		w.unwell = now.Add(unwellFor)
		w.health.reject(now)
	}
}

func (s *State) noteStart(r *run, a StartAnswer) {
	k := NoteStarted
	if a.Outcome != StartTaken {
		k = NoteNotStarted
	}
	s.note(Note{
		Kind:   k,
		Job:    r.task.stage.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: a.Outcome.String(),
		Age:    s.now.Sub(r.begun),
	})
}

func (s *State) confirm(r *run) {
	if r.phase == phaseConfirmed {
		return
	}
	r.phase = phaseConfirmed
	r.resolved = s.now
	s.begins(r.task.stage.job)
}

// begins takes in that a task of a job has begun. That is not written for its own
// sake: the recorded start implies it, as far as the store tells.
func (s *State) begins(j *job) {
	if j.state == Pending {
		s.setState(j, Running)
		s.told = append(s.told, j.status())
	}
}

// reject drops a run that the worker certainly did not start.
func (s *State) reject(r *run, o StartOutcome) {
	g := r.task.stage
	if o == StartNoTicket {
		g.advice.expire(r.worker)
	}
	g.retryAt = s.now.Add(rejectedPause)
	s.lose(r, "start: "+o.String())
}

// rejectedPause keeps a stage whose start was turned away from being tried
// again in the same moment; about one round trip and one write.
const rejectedPause = 50 * time.Millisecond

// Heartbeat takes in a worker's answer to a lease renewal.
func (s *State) Heartbeat(now time.Time, h Heartbeat) {
	s.now = now
	if s.workers[h.Worker] == nil {
		return
	}
	w := s.meet(h.Life, "its answer")
	if w == nil || w.dead {
		return
	}
	if w.answered.IsZero() {
		s.endInheritance(w)
	}
	if s.answeredFirst.IsZero() {
		s.answeredFirst = now
	}
	if w.missed || w.answered.IsZero() {
		w.missed = false
		s.loseSuspicion(w)
	}
	if now.Sub(w.answered) > silentAfter {
		s.noteWorker(w, "answers", now.Sub(w.answered))
	}
	w.answered = now
	w.silent = false
	for _, e := range h.Ended {
		s.takeEnd(w, e)
	}
	listed := make(map[RunID]bool, len(h.Running))
	for _, x := range h.Running {
		listed[x.Run] = true
		s.seeRunning(w, x)
	}
	maps.DeleteFunc(w.strays, func(id RunID, _ time.Time) bool { return !listed[id] })
	if h.Partial {
		s.takeUpStrays(w, h)
		return
	}
	var absent []*run
	for _, r := range sortedRuns(w) {
		if !listed[r.id] && r.absent(h) {
			absent = append(absent, r)
		}
	}
	s.loseAbsent(w, absent)
	s.takeUpStrays(w, h)
}

// absent reports whether a heartbeat that does not list r proves that the
// worker neither has it nor may still start it.
func (r *run) absent(h Heartbeat) bool {
	if r.former() {
		// Its order, and its deadline, are of a life before: the fence settles it.
		return h.Asked == r.worker.life()
	}
	if !r.stopped.IsZero() && h.Sent.After(r.stopped) {
		return true
	}
	switch r.phase {
	case phaseConfirmed:
		return h.Sent.After(r.resolved)
	case phaseInherited:
		return true
	case phaseDoubt:
		return h.Clock > r.deadline
	default:
		return false
	}
}

func (s *State) seeRunning(w *worker, x RunningTask) {
	r := w.runs[x.Run]
	if r == nil {
		return // a stray, see takeUpStrays
	}
	if r.phase != phaseRecorded && r.phase != phasePlanned {
		s.confirm(r)
	}
	if r.begun.IsZero() || r.former() {
		r.begun = s.now
	}
	r.born = w.born
	if x.Saved != "" {
		r.task.saved = x.Saved
	}
	s.clearOutlived(r)
	if r.moved.IsZero() || x.Percent != r.percent {
		r.percent = x.Percent
		r.moved = s.now
	}
	if r.task.stage.job.state.Final() {
		s.stop(r, "job has ended")
	}
}

// takeEnd takes in one end of a run.
func (s *State) takeEnd(w *worker, e End) {
	if e.Sequence <= w.seen {
		// The worker still lists it, so it has not heard the acknowledgement.
		s.acks[w.life()] = w.seen
		s.noteUncounted(w, e)
		return
	}
	w.seen = e.Sequence
	s.acks[w.life()] = e.Sequence
	r := w.runs[e.Run]
	s.note(Note{
		Kind:   NoteEnded,
		Job:    e.Run.Task.Stage.Job,
		Run:    e.Run,
		Worker: w.id,
		Reason: e.Kind.String(),
		Age:    age(s.now, r),
	})
	if r == nil {
		s.lateEnd(e)
		return
	}
	t := r.task
	s.begins(t.stage.job)
	if e.Saved != "" {
		t.saved = e.Saved
	}
	s.release(r)
	s.learn(r, e.Kind)
	switch e.Kind {
	case EndDone:
		s.taskDone(t, e.Run.Number)
	case EndFailed:
		s.taskFailed(t, r)
	default:
		s.breakGang(r, e.Kind.String())
	}
}

func age(now time.Time, r *run) time.Duration {
	if r == nil || r.begun.IsZero() {
		return 0
	}
	return now.Sub(r.begun)
}

// lateEnd takes in an end of a run that is not counted any more: only
// work that is done changes anything.
func (s *State) lateEnd(e End) {
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

// taskDone marks a task done. One member's end stands for its whole gang.
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
	s.touch(g.job)
	if g.done() {
		s.stageDone(g)
	}
}

func (s *State) markDone(t *task, n RunNumber) {
	if t.done {
		return
	}
	t.done = true
	t.stage.left--
	if t.run == nil || t.run.id.Number == n {
		return
	}
	if t.run.phase == phaseRecorded {
		s.withdraw(t.run)
		return
	}
	s.stop(t.run, "an earlier run was done")
}

func (s *State) taskFailed(t *task, r *run) {
	g := t.stage
	if t.done || g.step.Lasting || g.job.state.Final() {
		return
	}
	s.touch(g.job)
	g.job.account.Failed++
	t.failedAt = append(t.failedAt, r.worker.life())
	switch {
	case !g.step.Gang:
		t.fails++
	case g.failedRun == r.id.Number:
		return // another member's failure of this run was counted
	default:
		g.failedRun = r.id.Number
		g.fails++
	}
	if !s.failExhausted(g) {
		s.breakGang(r, "a member failed")
	}
}

// failExhausted ends the job of a stage of which a task, or the gang, has failed
// as often as its queue allows, and reports whether it did.
func (s *State) failExhausted(g *stage) bool {
	most := s.queue(g.job).MaxAttempts
	if most <= 0 {
		return false
	}
	exhausted := g.fails >= most
	for _, t := range g.tasks {
		exhausted = exhausted || !t.done && t.fails >= most
	}
	if exhausted {
		s.endJob(g.job, Failed, "a task failed as often as its queue allows")
	}
	return exhausted
}
