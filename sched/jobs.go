package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// AddJob adds an accepted job with its stored progress, which is the zero Progress for a
// new job. It does nothing if the job is known.
func (s *State) AddJob(now time.Time, j Job, p Progress) {
	s.now = now
	if s.jobs[j.ID] != nil {
		return
	}
	x := &job{
		Job:  j,
		team: s.team(j.Team),
	}
	s.jobs[j.ID] = x
	s.setState(x, p.State)
	s.statusUpdates = append(s.statusUpdates, x.status())
	if p.State.Final() && len(p.Stages) == 0 {
		x.Spec = ""
		x.Steps = nil
		s.retainEnded(j.ID)
		return
	}
	if p.State == Pending && len(p.Stages) == 0 {
		x.account.Forecast = s.forecastEnd(x)
	}
	s.makeStages(x)
	for _, sp := range p.Stages {
		s.restoreStage(x, sp)
	}
	s.restoreCrashes(x, p.Crashes)
	if x.state.Final() {
		s.stopJob(x, "job has ended")
		return
	}
	s.chargeLater(x)
	if !x.provablyStarted() {
		// A recorded start may never have reached its worker: the job stays pending
		// until a worker reports a run of it.
		s.setState(x, Pending)
	}
	for _, g := range x.stages {
		s.openIfReady(g)
	}
}

// makeStages creates the stages of all rounds, without their tasks.
func (s *State) makeStages(j *job) {
	for k := range j.rounds() {
		for i := range j.Steps {
			g := &stage{
				id: StageID{
					Job:   j.ID,
					Round: k,
					Step:  i,
				},
				job:       j,
				step:      &j.Steps[i],
				tasksLeft: j.Steps[i].Tasks,
			}
			if j.Rounds > 0 {
				g.due = j.dueAt(k)
			}
			j.stages = append(j.stages, g)
			if g.tasksLeft > 0 {
				j.stagesLeft++
			}
		}
	}
}

// provablyStarted reports whether the stored progress proves that a task of the job has
// started: one is done, has failed or has saved progress.
func (j *job) provablyStarted() bool {
	for _, g := range j.stages {
		if g.gangFailures > 0 || g.done() {
			return true
		}
		for _, t := range g.tasks {
			if t.done || t.failures > 0 || t.saved != "" {
				return true
			}
		}
	}
	return false
}

// makeTasks creates the tasks of a stage when they are needed, since a timed job may have
// many rounds.
func (g *stage) makeTasks() {
	if g.tasks != nil {
		return
	}
	g.tasks = make([]*task, g.step.Tasks)
	g.waiting = len(g.tasks)
	for i := range g.tasks {
		g.tasks[i] = &task{
			stage: g,
			index: i,
		}
	}
}

// stage returns a stage by its position, or nil if there is none.
func (j *job) stage(round, step int) *stage {
	i := round*len(j.Steps) + step
	if round < 0 || step < 0 || step >= len(j.Steps) || i >= len(j.stages) {
		return nil
	}
	return j.stages[i]
}

// restoreStage restores the progress of one stage as stored by a former leader.
func (s *State) restoreStage(j *job, p StageProgress) {
	g := j.stage(p.Round, p.Step)
	if g == nil {
		return
	}
	g.gangFailures = p.Fails
	g.failuresSeen = p.Fails > 0
	if p.Done && len(p.Tasks) == 0 {
		g.tasksLeft = 0
		j.stagesLeft--
		return
	}
	g.makeTasks()
	for i, tp := range p.Tasks {
		if i >= len(g.tasks) {
			return
		}
		t := g.tasks[i]
		if tp.Done {
			t.setDone()
			g.tasksLeft--
		}
		t.failures = tp.Fails
		t.lastRun = tp.Run
		t.saved = tp.Saved
		g.failuresSeen = g.failuresSeen || t.failures > 0
		if tp.Worker != "" {
			s.restoreRun(t, tp)
		}
	}
	if g.tasksLeft == 0 {
		j.stagesLeft--
	}
}

// restoreCrashes restores the evidence of crashes as stored by a former leader.
func (s *State) restoreCrashes(j *job, cs []TaskCrashes) {
	for _, c := range cs {
		g := j.stage(c.Round, c.Step)
		if g == nil || c.Index < 0 || c.Index >= len(g.tasks) {
			continue
		}
		t := g.tasks[c.Index]
		t.evidence = evidence{
			losses:  c.Losses,
			runTime: c.Lived,
		}
		g.failuresSeen = true
		s.suspects = append(s.suspects, t)
		if t.run != nil {
			t.run.worker.beginTrial(t.run)
		}
	}
}

// restoreRun adds a run that a former leader recorded to its worker.
func (s *State) restoreRun(t *task, p TaskProgress) {
	w := s.worker(p.Worker)
	r := &run{
		id: RunID{
			Task:   t.id(),
			Number: p.Run,
		},
		task:            t,
		worker:          w,
		workerStartTime: p.Born,
		need:            t.stage.step.demand(),
		phase:           phaseInherited,
	}
	s.addRun(r)
}

func (t *task) id() TaskID {
	return TaskID{
		Stage: t.stage.id,
		Index: t.index,
	}
}

// demand returns the resources that a task occupies at a worker.
func (p *Step) demand() spoolsill.Resources {
	r := p.Need
	if p.Fills {
		r.Processors = 0
	}
	return r
}

// openIfReady opens a stage if its dependencies are done. A timed stage is placed once it
// is due.
func (s *State) openIfReady(g *stage) {
	if g.open || g.done() || g.job.state.Final() {
		return
	}
	for _, a := range g.step.After {
		b := g.job.stage(g.id.Round, a)
		if b != nil && !b.done() {
			return
		}
	}
	g.open = true
	g.openedAt = s.now
	if !g.due.IsZero() {
		s.timedStages = append(s.timedStages, g)
		return
	}
	g.makeTasks()
	s.openStages = append(s.openStages, g)
}

// openDue opens the timed stages that are due.
func (s *State) openDue() {
	if len(s.timedStages) == 0 {
		return
	}
	wall := s.wallClock()
	rest := s.timedStages[:0]
	for _, g := range s.timedStages {
		if wall.Before(g.due) {
			rest = append(rest, g)
			continue
		}
		g.makeTasks()
		s.openStages = append(s.openStages, g)
	}
	s.timedStages = rest
}

// AddEndedJob adds a finished job of which only the progress has been kept.
func (s *State) AddEndedJob(now time.Time, id spoolsill.JobID, p Progress) {
	s.AddJob(now, Job{
		ID:   id,
		Team: p.Team,
	}, Progress{
		State: p.State,
	})
}

// Settled reports whether a job has ended, its progress has been written and none of its
// runs is left to stop.
func (s *State) Settled(id spoolsill.JobID) bool {
	j := s.jobs[id]
	return j != nil && j.state.Final() && j.stages == nil && !j.dirty
}

// CancelJob cancels a job for its client.
func (s *State) CancelJob(now time.Time, id spoolsill.JobID) {
	s.now = now
	j := s.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	s.endJob(j, Cancelled, "cancelled by its client")
}

// endJob moves a job to a final state and stops its runs.
func (s *State) endJob(j *job, to JobState, reason string) {
	s.releaseShare(j)
	s.setState(j, to)
	s.stopJob(j, reason)
	s.markDirty(j)
	s.note(Note{
		Kind:   NoteJobEnded,
		Job:    j.ID,
		Reason: to.String() + ": " + reason,
		Age:    s.wallClock().Sub(j.Received),

		Account: s.finalAccount(j),
	})
}

// stopJob drops the starts of a job that have not been sent and stops its runs.
func (s *State) stopJob(j *job, reason string) {
	j.starts = nil
	for _, g := range j.stages {
		s.dropPlan(g)
		for _, t := range g.tasks {
			if t.run == nil || t.done {
				// The members of a done gang end by themselves; one that doesn't is
				// stopped when its worker lists it again.
				continue
			}
			if t.run.phase == phaseRecorded {
				s.release(t.run)
				continue
			}
			s.stop(t.run, reason)
		}
	}
}

// completeStage ends the job, or opens the stages that depend on g. It is called when the
// last task of g is done.
func (s *State) completeStage(g *stage) {
	j := g.job
	s.observeAdvice(g)
	j.stagesLeft--
	if j.stagesLeft == 0 {
		s.observeForecast(j)
		s.endJob(j, Completed, "all tasks are done")
		return
	}
	for _, n := range j.stages[g.id.Round*len(j.Steps) : (g.id.Round+1)*len(j.Steps)] {
		s.openIfReady(n)
	}
}
