package sched

// takeUpStrays takes in the runs that a worker lists and that no record names: orders that
// were carried out after they had been given up. One whose task would else be started once
// more goes on in its place, so that it does not run beside the new one for as long as a
// stop takes; the others are ordered to stop.
func (s *State) takeUpStrays(w *worker, h Heartbeat) {
	for _, x := range h.Running {
		if w.runs[x.Run] != nil {
			continue
		}
		if t := s.openTask(x.Run); t != nil {
			s.takeUp(w, t, x)
			continue
		}
		s.seeStray(w, x.Run)
	}
}

// openTask returns the task of a run that was ordered, if it waits to be started again. Of
// a gang one member alone is of no use.
func (s *State) openTask(id RunID) *task {
	j := s.jobs[id.Task.Stage.Job]
	if j == nil || j.state.Final() {
		return nil
	}
	g := j.stage(id.Task.Stage.Round, id.Task.Stage.Step)
	if g == nil || !g.open || g.step.Gang || id.Task.Index >= len(g.tasks) {
		return nil
	}
	t := g.tasks[id.Task.Index]
	if t.done || t.run != nil || id.Number > t.lastRun {
		return nil
	}
	return t
}

// takeUp has a run that a worker lists count as its task's.
func (s *State) takeUp(w *worker, t *task, x RunningTask) {
	r := &run{
		id:     x.Run,
		task:   t,
		worker: w,
		born:   w.born,
		need:   t.stage.step.demand(),
		phase:  phaseSent,
	}
	delete(w.unknownRuns, x.Run)
	s.addRun(r)
	s.markDirty(t.stage.job)
	s.seeRunning(w, x)
	s.note(Note{
		Kind:   NoteUnknownRun,
		Job:    t.stage.job.ID,
		Run:    r.id,
		Worker: w.id,
		Reason: "it goes on as its task's run",
	})
}
