package place

import (
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// Apply changes the state by one record. It returns [ErrRecord], and changes
// nothing, when the record does not fit.
func (s *State) Apply(r Record) error {
	switch r.Kind {
	case JobAdded:
		return s.addJob(r)
	case JobCancelled:
		return s.cancelJob(r)
	case PlanApplied:
		s.plans.add(r.Plan)
		return nil
	case Learned:
		s.learnt.set(r.Team, r.Kinds, r.Ratio)
		return nil
	default:
		return s.applyTask(r)
	}
}

func (s *State) applyTask(r Record) error {
	t := s.task(r.Task)
	if t == nil {
		return refuse(r, "no such task")
	}
	if t.state.Final() {
		return refuse(r, "it is %s", t.state)
	}
	switch r.Kind {
	case TaskPlaced:
		return s.placeTask(t, r)
	case TaskRunning:
		return s.runTask(t, r)
	case TaskCheckpointing:
		return s.leaveWorker(t, r, spoolsill.TaskCheckpointing)
	case TaskStopping:
		return s.leaveWorker(t, r, spoolsill.TaskStopping)
	case TaskRequeued:
		return s.requeueTask(t, r)
	case TaskEnded:
		return s.endTask(t, r)
	default:
		return refuse(r, "unknown kind")
	}
}

func (s *State) addJob(r Record) error {
	if r.Job == nil {
		return refuse(r, "no job")
	}
	if _, ok := s.jobs[r.Job.ID]; ok {
		return refuse(r, "job %s is known", r.Job.ID)
	}
	s.added++
	j := &job{
		spec:    *r.Job,
		team:    s.team(r.Job.Team),
		number:  s.added,
		added:   r.Time(),
		live:    r.Job.Tasks,
		tasks:   make([]task, r.Job.Tasks),
		pending: make([]int, r.Job.Tasks),
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
			job:   j,
			state: spoolsill.TaskQueued,
			since: r.Time(),
		}
		j.pending[i] = i
	}
	s.jobs[j.spec.ID] = j
	s.judge(j)
	return nil
}

func (s *State) cancelJob(r Record) error {
	j, ok := s.jobs[r.Task.Job]
	if !ok {
		return refuse(r, "no such job")
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
	s.settleJob(j, r.Time())
	return nil
}

func (s *State) placeTask(t *task, r Record) error {
	if t.state.HoldsCapacity() {
		return refuse(r, "it holds worker %s", t.worker.ID)
	}
	if t.job.cancelled {
		return refuse(r, "its job is cancelled")
	}
	if r.State == stateSnapshot {
		t.attempt = r.Attempt - 1
	}
	if r.Attempt != t.attempt+1 {
		return refuse(r, "attempt %d, want %d", r.Attempt, t.attempt+1)
	}
	w := s.worker(r.Worker)
	if w.known && !t.job.spec.Shape.FitsIn(w.free) {
		return refuse(r, "worker %s has %s free, it needs %s", w.ID, w.free, t.job.spec.Shape)
	}
	s.unpend(t)
	s.dropTarget(t)
	t.attempt = r.Attempt
	t.worker = w
	w.free = w.free.Sub(t.job.spec.Shape)
	w.tasks[t.id] = t
	t.job.spread.add(w, 1)
	t.job.held++
	t.job.team.used = t.job.team.used.Add(t.job.spec.Shape)
	s.setState(t, spoolsill.TaskPlaced, r.Time(), r.Cause)
	s.refreshQueue(t.job)
	return nil
}

func (s *State) runTask(t *task, r Record) error {
	if !t.state.HoldsCapacity() {
		return refuse(r, "it is %s", t.state)
	}
	if t.state != spoolsill.TaskPlaced {
		return nil
	}
	t.started = r.Time()
	s.setState(t, spoolsill.TaskRunning, r.Time(), t.cause)
	return nil
}

func (s *State) leaveWorker(t *task, r Record, state spoolsill.TaskState) error {
	if !t.state.HoldsCapacity() {
		return refuse(r, "it is %s", t.state)
	}
	s.setState(t, state, r.Time(), r.Cause)
	return nil
}

func (s *State) requeueTask(t *task, r Record) error {
	if t.job.cancelled {
		return refuse(r, "its job is cancelled")
	}
	s.note(t, r)
	s.release(t)
	t.ready = time.UnixMicro(r.Ready)
	s.setState(t, spoolsill.TaskQueued, r.Time(), r.Cause)
	s.delayed = append(s.delayed, t)
	s.refreshQueue(t.job)
	return nil
}

func (s *State) endTask(t *task, r Record) error {
	if !r.State.Final() {
		return refuse(r, "%s is not final", r.State)
	}
	s.note(t, r)
	s.unpend(t)
	s.release(t)
	s.setState(t, r.State, r.Time(), r.Cause)
	s.settleJob(t.job, r.Time())
	return nil
}

// release gives the capacity that t holds back to its worker.
func (s *State) release(t *task) {
	s.dropTarget(t)
	w := t.worker
	if w == nil {
		return
	}
	w.free = w.free.Add(t.job.spec.Shape)
	delete(w.tasks, t.id)
	t.job.spread.add(w, -1)
	t.worker = nil
	t.over = 0
	t.job.held--
	t.job.team.used = t.job.team.used.Sub(t.job.spec.Shape)
	s.freed++
}

func (s *State) setState(t *task, state spoolsill.TaskState, at time.Time, c Cause) {
	if state.Final() && !t.state.Final() {
		t.job.live--
	}
	t.state = state
	t.since = at
	t.cause = c
}

// settleJob moves a job whose tasks are all final to the past, and forgets
// the oldest of the past when there are too many.
func (s *State) settleJob(j *job, at time.Time) {
	if j.live > 0 || !j.finished.IsZero() {
		return
	}
	s.dequeue(j)
	j.finished = at
	s.past = append(s.past, j)
	for len(s.past) > s.config.FinishedJobs {
		delete(s.jobs, s.past[0].spec.ID)
		s.past = s.past[1:]
	}
}

func (s *State) task(id spoolsill.TaskID) *task {
	j, ok := s.jobs[id.Job]
	if !ok || id.Index < 0 || id.Index >= len(j.tasks) {
		return nil
	}
	return &j.tasks[id.Index]
}

// unpend takes t off its job's list of waiting tasks.
func (s *State) unpend(t *task) {
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
	s.undelay(t)
}

func (s *State) undelay(t *task) {
	for i, x := range s.delayed {
		if x == t {
			s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
			return
		}
	}
}
