package place

import (
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// Apply applies one record. If the record contradicts the state, it returns
// [ErrInvalidRecord] and changes nothing.
func (s *State) Apply(r Record) error {
	switch r.Kind {
	case JobAdded:
		return s.addJob(r)
	case JobCancelled:
		return s.cancelJob(r)
	case PlanApplied:
		s.confirmedPlans.add(r.Plan)
		return nil
	case RuntimesLearned:
		s.runtimes.set(r.Team, r.JobKind, r.Ratios)
		return nil
	default:
		return s.applyTask(r)
	}
}

func (s *State) applyTask(r Record) error {
	t := s.task(r.Task)
	if t == nil {
		return invalidRecord(r, "no such task")
	}
	if t.state.Final() {
		return invalidRecord(r, "it is %s", t.state)
	}
	switch r.Kind {
	case TaskPlaced:
		return s.placeTask(t, r)
	case TaskRunning:
		return s.runTask(t, r)
	case TaskCheckpointing:
		return s.setLeavingState(t, r, spoolsill.TaskCheckpointing)
	case TaskStopping:
		return s.setLeavingState(t, r, spoolsill.TaskStopping)
	case TaskRequeued:
		return s.requeueTask(t, r)
	case TaskEnded:
		return s.endTask(t, r)
	default:
		return invalidRecord(r, "unknown kind")
	}
}

func (s *State) addJob(r Record) error {
	if r.Job == nil {
		return invalidRecord(r, "no job")
	}
	if _, ok := s.jobs[r.Job.ID]; ok {
		return invalidRecord(r, "job %s is known", r.Job.ID)
	}
	s.jobsAdded++
	j := &job{
		spec:       *r.Job,
		team:       s.team(r.Job.Team),
		seq:        s.jobsAdded,
		added:      r.Time(),
		unfinished: r.Job.Tasks,
		tasks:      make([]task, r.Job.Tasks),
		pending:    make([]int, r.Job.Tasks),
	}
	if j.spec.Kind == spoolsill.KindService {
		j.spread = newSpread()
	}
	for i := range j.tasks {
		j.tasks[i] = task{
			id: spoolsill.TaskID{
				Job:   j.spec.ID,
				Index: i,
			},
			job:        j,
			state:      spoolsill.TaskQueued,
			stateSince: r.Time(),
		}
		j.pending[i] = i
	}
	s.jobs[j.spec.ID] = j
	s.classify(j)
	return nil
}

func (s *State) cancelJob(r Record) error {
	j, ok := s.jobs[r.Task.Job]
	if !ok {
		return invalidRecord(r, "no such job")
	}
	if j.cancelled {
		return nil
	}
	j.cancelled = true
	s.dequeue(j)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state.Final() || t.state.HoldsCapacity() {
			continue
		}
		s.setState(t, spoolsill.TaskCancelled, r.Time(), CauseCancelled)
	}
	j.pending = nil
	s.finishJob(j, r.Time())
	return nil
}

func (s *State) placeTask(t *task, r Record) error {
	if t.state.HoldsCapacity() {
		return invalidRecord(r, "it holds worker %s", t.worker.ID)
	}
	if t.job.cancelled {
		return invalidRecord(r, "its job is cancelled")
	}
	if r.State == stateSnapshot {
		t.attempt = r.Attempt - 1
	}
	if r.Attempt != t.attempt+1 {
		return invalidRecord(r, "attempt %d, want %d", r.Attempt, t.attempt+1)
	}
	w := s.worker(r.Worker)
	if w.listed && !t.job.spec.Shape.FitsIn(w.free) {
		return invalidRecord(r, "worker %s has %s free, it needs %s", w.ID, w.free, t.job.spec.Shape)
	}
	s.removeWaiting(t)
	s.clearNomination(t)
	t.attempt = r.Attempt
	t.worker = w
	w.free = w.free.Sub(t.job.spec.Shape)
	w.tasks[t.id] = t
	t.job.spread.add(w, 1)
	t.job.allocated++
	t.job.team.used = t.job.team.used.Add(t.job.spec.Shape)
	s.setState(t, spoolsill.TaskPlaced, r.Time(), r.Cause)
	s.refreshQueue(t.job)
	return nil
}

func (s *State) runTask(t *task, r Record) error {
	if !t.state.HoldsCapacity() {
		return invalidRecord(r, "it is %s", t.state)
	}
	if t.state != spoolsill.TaskPlaced {
		return nil
	}
	t.runningSince = r.Time()
	s.setState(t, spoolsill.TaskRunning, r.Time(), t.cause)
	return nil
}

// setLeavingState moves t to a state in which its worker has been asked to stop
// it.
func (s *State) setLeavingState(t *task, r Record, state spoolsill.TaskState) error {
	if !t.state.HoldsCapacity() {
		return invalidRecord(r, "it is %s", t.state)
	}
	s.setState(t, state, r.Time(), r.Cause)
	return nil
}

func (s *State) requeueTask(t *task, r Record) error {
	if t.job.cancelled {
		return invalidRecord(r, "its job is cancelled")
	}
	s.recordOutcome(t, r)
	s.release(t)
	t.retryAt = time.UnixMicro(r.Ready)
	s.setState(t, spoolsill.TaskQueued, r.Time(), r.Cause)
	s.tasksBackingOff = append(s.tasksBackingOff, t)
	s.refreshQueue(t.job)
	return nil
}

func (s *State) endTask(t *task, r Record) error {
	if !r.State.Final() {
		return invalidRecord(r, "%s is not final", r.State)
	}
	s.recordOutcome(t, r)
	s.removeWaiting(t)
	s.release(t)
	s.setState(t, r.State, r.Time(), r.Cause)
	s.finishJob(t.job, r.Time())
	return nil
}

// release returns the capacity that t holds to its worker.
func (s *State) release(t *task) {
	s.clearNomination(t)
	w := t.worker
	if w == nil {
		return
	}
	w.free = w.free.Add(t.job.spec.Shape)
	delete(w.tasks, t.id)
	t.job.spread.add(w, -1)
	t.worker = nil
	t.overuseReports = 0
	t.job.allocated--
	t.job.team.used = t.job.team.used.Sub(t.job.spec.Shape)
	s.capacityVersion++
}

func (s *State) setState(t *task, state spoolsill.TaskState, at time.Time, c Cause) {
	if state.Final() && !t.state.Final() {
		t.job.unfinished--
	}
	t.state = state
	t.stateSince = at
	t.cause = c
}

// finishJob moves j to the finished jobs if the states of all its tasks are
// final, and drops the oldest finished jobs above the limit.
func (s *State) finishJob(j *job, at time.Time) {
	if j.unfinished > 0 || !j.finishedAt.IsZero() {
		return
	}
	s.dequeue(j)
	j.finishedAt = at
	s.finishedJobs = append(s.finishedJobs, j)
	for len(s.finishedJobs) > s.config.FinishedJobs {
		delete(s.jobs, s.finishedJobs[0].spec.ID)
		s.finishedJobs = s.finishedJobs[1:]
	}
}

func (s *State) task(id spoolsill.TaskID) *task {
	j, ok := s.jobs[id.Job]
	if !ok || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// removeWaiting removes t from the pending tasks of its job or from the tasks
// that are backing off. It does nothing if t holds capacity.
func (s *State) removeWaiting(t *task) {
	if t.state.HoldsCapacity() {
		return
	}
	p := t.job.pending
	for i, x := range p {
		if x != t.id.Index {
			continue
		}
		if i == 0 {
			t.job.pending = p[1:]
			return
		}
		t.job.pending = slices.Delete(p, i, i+1)
		return
	}
	s.removeBackingOff(t)
}

func (s *State) removeBackingOff(t *task) {
	for i, x := range s.tasksBackingOff {
		if x == t {
			s.tasksBackingOff = append(s.tasksBackingOff[:i], s.tasksBackingOff[i+1:]...)
			return
		}
	}
}
