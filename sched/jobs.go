package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// AddJob takes in an accepted job with its progress; the zero Progress is that
// of a new job. A job that is known is left as it is.
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
		s.keepEnded(j.ID)
		return
	}
	x.beyond = x.team.share.take(j.Received, x.team.Weight)
	s.makeStages(x)
	for _, sp := range p.Stages {
		s.restoreStage(x, sp)
	}
	s.restoreCrashes(x, p.Crashes)
	if x.state.Final() {
		s.stopJob(x, "job has ended")
		return
	}
	if !x.surelyBegun() {
		// A recorded start may never have reached its worker: the job waits
		// until a worker tells of it.
		s.setState(x, Pending)
	}
	for _, g := range x.stages {
		s.openIfReady(g)
	}
}

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
				g.due = j.FirstRound.Add(time.Duration(k) * j.Interval)
			}
			j.stages = append(j.stages, g)
			if g.tasksLeft > 0 {
				j.undone++
			}
		}
	}
}

// surelyBegun reports whether the progress of a job proves that a task of it has
// begun: one is done, has failed or has saved something.
func (j *job) surelyBegun() bool {
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

// makeTasks makes the stage's tasks; they are made late since a timed job may
// have many rounds.
func (g *stage) makeTasks() {
	if g.tasks != nil {
		return
	}
	g.tasks = make([]*task, g.step.Tasks)
	for i := range g.tasks {
		g.tasks[i] = &task{
			stage: g,
			index: i,
		}
	}
}

func (j *job) stage(round, step int) *stage {
	i := round*len(j.Steps) + step
	if round < 0 || step < 0 || step >= len(j.Steps) || i >= len(j.stages) {
		return nil
	}
	return j.stages[i]
}

func (s *State) restoreStage(j *job, p StageProgress) {
	g := j.stage(p.Round, p.Step)
	if g == nil {
		return
	}
	g.gangFailures = p.Fails
	if p.Done && len(p.Tasks) == 0 {
		g.tasksLeft = 0
		j.undone--
		return
	}
	g.makeTasks()
	for i, tp := range p.Tasks {
		if i >= len(g.tasks) {
			return
		}
		t := g.tasks[i]
		t.done = tp.Done
		t.failures = tp.Fails
		t.lastRun = tp.Run
		t.saved = tp.Saved
		if t.done {
			g.tasksLeft--
		}
		if tp.Worker != "" {
			s.inherit(t, tp)
		}
	}
	if g.tasksLeft == 0 {
		j.undone--
	}
}

// restoreCrashes takes in what a former leader knew of crashes.
func (s *State) restoreCrashes(j *job, cs []TaskCrashes) {
	for _, c := range cs {
		g := j.stage(c.Round, c.Step)
		if g == nil || c.Index < 0 || c.Index >= len(g.tasks) {
			continue
		}
		t := g.tasks[c.Index]
		t.evidence = evidence{
			losses: c.Losses,
			lived:  c.Lived,
		}
		s.suspects = append(s.suspects, t)
		if t.run != nil {
			t.run.worker.beginTrial(t.run)
		}
	}
}

// inherit puts a run that a former leader recorded into its worker's account.
func (s *State) inherit(t *task, p TaskProgress) {
	w := s.worker(p.Worker)
	r := &run{
		id: RunID{
			Task:   t.id(),
			Number: p.Run,
		},
		task:   t,
		worker: w,
		born:   p.Born,
		need:   t.stage.step.demand(),
		phase:  phaseInherited,
	}
	s.addRun(r)
}

func (t *task) id() TaskID {
	return TaskID{
		Stage: t.stage.id,
		Index: t.index,
	}
}

// demand returns what a task takes of a worker's capacity.
func (p *Step) demand() spoolsill.Resources {
	r := p.Need
	if p.Fills {
		r.Processors = 0
	}
	return r
}

// openIfReady puts a stage among those to place when its turn has come.
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
		s.timed = append(s.timed, g)
		return
	}
	g.makeTasks()
	s.openStages = append(s.openStages, g)
}

// openDue moves the timed stages whose time has come to those to place.
func (s *State) openDue() {
	if len(s.timed) == 0 {
		return
	}
	wall := s.wall()
	rest := s.timed[:0]
	for _, g := range s.timed {
		if wall.Before(g.due) {
			rest = append(rest, g)
			continue
		}
		g.makeTasks()
		s.openStages = append(s.openStages, g)
	}
	s.timed = rest
}

// AddEndedJob takes in a job of which only its progress is kept, which is final.
func (s *State) AddEndedJob(now time.Time, id spoolsill.JobID, p Progress) {
	s.AddJob(now, Job{
		ID:   id,
		Team: p.Team,
	}, Progress{
		State: p.State,
	})
}

// Settled reports whether a job has ended and nothing of it is left to be
// written or stopped.
func (s *State) Settled(id spoolsill.JobID) bool {
	j := s.jobs[id]
	return j != nil && j.state.Final() && j.stages == nil && !j.dirty
}

// CancelJob takes in that the client gave a job up.
func (s *State) CancelJob(now time.Time, id spoolsill.JobID) {
	s.now = now
	j := s.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	s.endJob(j, Cancelled, "cancelled by its client")
}

// endJob makes a state final and stops what still runs.
func (s *State) endJob(j *job, to JobState, reason string) {
	s.setState(j, to)
	s.stopJob(j, reason)
	s.markDirty(j)
	s.note(Note{
		Kind:   NoteJobEnded,
		Job:    j.ID,
		Reason: to.String() + ": " + reason,
		Age:    s.wall().Sub(j.Received),

		Account: s.accountOf(j),
	})
}

func (s *State) stopJob(j *job, reason string) {
	j.starts = nil
	for _, g := range j.stages {
		s.dropPlan(g)
		for _, t := range g.tasks {
			if t.run == nil || t.done {
				// A gang's members end together; those that don't are stopped
				// when their worker lists them again.
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

// completeStage is called when the last task of a stage is done.
func (s *State) completeStage(g *stage) {
	j := g.job
	j.undone--
	if j.undone == 0 {
		s.endJob(j, Completed, "all tasks are done")
		return
	}
	for _, n := range j.stages[g.id.Round*len(j.Steps) : (g.id.Round+1)*len(j.Steps)] {
		s.openIfReady(n)
	}
}
