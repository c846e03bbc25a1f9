package naive

import (
	"github.com/spoolsill/spoolsill"
)

// A Policy determines how a [Scheduler] orders jobs and selects workers.
type Policy int

// The policies.
const (
	// FirstFit selects the first worker with enough free resources. Jobs start
	// strictly in order of submission: a job that does not fit blocks all later
	// jobs.
	FirstFit Policy = iota
	// LeastLoaded selects the worker with the most free processors. Jobs that
	// do not fit are skipped.
	LeastLoaded
)

// A Scheduler is the baseline scheduler of benchmarks. It has no classes, no
// preemption and no estimates of run times.
type Scheduler struct {
	policy   Policy
	workers  []*worker
	queue    []*queueEntry
	running  map[spoolsill.TaskID]*worker
	jobs     map[spoolsill.JobID]spoolsill.Job
	attempts map[spoolsill.TaskID]spoolsill.Attempt
}

type worker struct {
	id   spoolsill.WorkerID
	free spoolsill.Resources
}

type queueEntry struct {
	job   spoolsill.Job
	tasks []int
}

// A Start is one attempt of a task on a worker.
type Start struct {
	Task    spoolsill.TaskID
	Attempt spoolsill.Attempt
	Worker  spoolsill.WorkerID
}

// NewScheduler returns a scheduler with an empty queue.
func NewScheduler(p Policy, workers []spoolsill.Worker) *Scheduler {
	s := &Scheduler{
		policy:   p,
		running:  map[spoolsill.TaskID]*worker{},
		jobs:     map[spoolsill.JobID]spoolsill.Job{},
		attempts: map[spoolsill.TaskID]spoolsill.Attempt{},
	}
	for _, w := range workers {
		s.workers = append(s.workers, &worker{
			id:   w.ID,
			free: w.Capacity,
		})
	}
	return s
}

// Submit appends a job to the queue.
func (s *Scheduler) Submit(j spoolsill.Job) {
	s.jobs[j.ID] = j
	e := &queueEntry{
		job: j,
	}
	for i := range j.Tasks {
		e.tasks = append(e.tasks, i)
	}
	s.queue = append(s.queue, e)
}

// Cancel removes the first queue entry of a job. Running tasks continue.
func (s *Scheduler) Cancel(id spoolsill.JobID) {
	for i, e := range s.queue {
		if e.job.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// TaskEnded frees the resources of a task. If requeue is set, the task is
// appended to the queue.
func (s *Scheduler) TaskEnded(id spoolsill.TaskID, requeue bool) {
	w, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	j := s.jobs[id.Job]
	w.free = w.free.Add(j.Shape)
	if requeue {
		s.queue = append(s.queue, &queueEntry{
			job:   j,
			tasks: []int{id.Index},
		})
	}
}

// Schedule starts the queued tasks that the policy selects and that fit, and
// returns them.
func (s *Scheduler) Schedule() []Start {
	var out []Start
	kept := s.queue[:0]
	blocked := false
	for _, e := range s.queue {
		if !blocked {
			out = append(out, s.startJob(e)...)
		}
		if len(e.tasks) > 0 {
			kept = append(kept, e)
			blocked = blocked || s.policy == FirstFit
		}
	}
	s.queue = kept
	return out
}

// startJob starts the tasks of a job that fit; for a gang, all or none.
func (s *Scheduler) startJob(e *queueEntry) []Start {
	var out []Start
	for len(out) < len(e.tasks) {
		w := s.selectWorker(e.job.Shape)
		if w == nil {
			break
		}
		id := spoolsill.TaskID{
			Job:   e.job.ID,
			Index: e.tasks[len(out)],
		}
		w.free = w.free.Sub(e.job.Shape)
		s.running[id] = w
		s.attempts[id]++
		out = append(out, Start{
			Task:    id,
			Attempt: s.attempts[id],
			Worker:  w.id,
		})
	}
	if e.job.Kind == spoolsill.KindGang && len(out) < len(e.tasks) {
		for _, started := range out {
			s.running[started.Task].free = s.running[started.Task].free.Add(e.job.Shape)
			delete(s.running, started.Task)
			s.attempts[started.Task]--
		}
		return nil
	}
	e.tasks = e.tasks[len(out):]
	return out
}

// selectWorker returns a worker with enough free resources, or nil if there is
// none.
func (s *Scheduler) selectWorker(shape spoolsill.Resources) *worker {
	var best *worker
	for _, w := range s.workers {
		if !shape.FitsIn(w.free) {
			continue
		}
		if s.policy == FirstFit {
			return w
		}
		if best == nil || w.free.Processors > best.free.Processors {
			best = w
		}
	}
	return best
}
