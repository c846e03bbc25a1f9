package sched

// reconcileUnknownRuns handles the runs that a worker lists and of which there is no record: their
// orders were carried out after they had been given up. If the task of such a run waits to be
// started again, the run is adopted, since it would otherwise run concurrently with the next one
// until it is stopped. The others are ordered to stop.
func (s *State) reconcileUnknownRuns(w *worker, h Heartbeat) {
	for _, x := range h.Running {
		if w.runs[x.Run] != nil {
			continue
		}
		if t := s.waitingTask(x.Run); t != nil {
			s.adoptRun(w, t, x)
			continue
		}
		s.stopUnknownRun(w, x.Run)
	}
}

// waitingTask returns the task of a run that was ordered, if the task waits to be
// started again. Members of gangs are excluded, since a single member is of no use.
func (s *State) waitingTask(id RunID) *task {
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

// adoptRun makes a run that a worker lists the current run of its task.
func (s *State) adoptRun(w *worker, t *task, x RunningTask) {
	r := &run{
		id:              x.Run,
		task:            t,
		worker:          w,
		workerStartTime: w.startTime,
		need:            t.stage.step.demand(),
		phase:           phaseSent,
	}
	delete(w.unknownRuns, x.Run)
	s.addRun(r)
	s.markDirty(t.stage.job)
	s.updateRunning(w, x)
	s.note(Note{
		Kind:   NoteUnknownRun,
		Job:    t.stage.job.ID,
		Run:    r.id,
		Worker: w.id,
		Reason: "adopted as the current run of its task",
	})
}
