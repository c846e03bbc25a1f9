package naive

import (
	"github.com/spoolsill/spoolsill"
)

// A Policy determines how a [Scheduler] selects workers.
type Policy int

// The policies.
const (
	// FirstFit selects the first worker with enough free resources. Jobs start
	// strictly in the order of submission: one that does not fit blocks all
	// later ones.
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

// A Start is the start of a task on a worker.
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
	w := &queueEntry{
		job: j,
	}
	for i := range j.Tasks {
		w.tasks = append(w.tasks, i)
	}
	s.queue = append(s.queue, w)
}

// Cancel removes the first entry of a job from the queue.
func (s *Scheduler) Cancel(id spoolsill.JobID) {
	for i, w := range s.queue {
		if w.job.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// TaskEnded frees the resources of a task. If requeue is set, the task is
// appended to the queue.
func (s *Scheduler) TaskEnded(id spoolsill.TaskID, requeue bool) {
	n, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	j := s.jobs[id.Job]
	n.free = n.free.Add(j.Shape)
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
	for _, w := range s.queue {
		if !blocked {
			out = append(out, s.startJob(w)...)
		}
		if len(w.tasks) > 0 {
			kept = append(kept, w)
			blocked = blocked || s.policy == FirstFit
		}
	}
	s.queue = kept
	return out
}

// startJob starts the tasks of a job that fit; for a gang, all or none.
func (s *Scheduler) startJob(w *queueEntry) []Start {
	var out []Start
	for len(out) < len(w.tasks) {
		n := s.find(w.job.Shape)
		if n == nil {
			break
		}
		id := spoolsill.TaskID{
			Job:   w.job.ID,
			Index: w.tasks[len(out)],
		}
		n.free = n.free.Sub(w.job.Shape)
		s.running[id] = n
		s.attempts[id]++
		out = append(out, Start{
			Task:    id,
			Attempt: s.attempts[id],
			Worker:  n.id,
		})
	}
	if w.job.Kind == spoolsill.KindGang && len(out) < len(w.tasks) {
		for _, x := range out {
			s.running[x.Task].free = s.running[x.Task].free.Add(w.job.Shape)
			delete(s.running, x.Task)
			s.attempts[x.Task]--
		}
		return nil
	}
	w.tasks = w.tasks[len(out):]
	return out
}

func (s *Scheduler) find(shape spoolsill.Resources) *worker {
	var best *worker
	for _, n := range s.workers {
		if !shape.FitsIn(n.free) {
			continue
		}
		if s.policy == FirstFit {
			return n
		}
		if best == nil || n.free.Processors > best.free.Processors {
			best = n
		}
	}
	return best
}
