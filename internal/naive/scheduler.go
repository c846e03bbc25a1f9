package naive

import (
	"github.com/spoolsill/spoolsill"
)

// Order says which worker a [Scheduler] takes.
type Order int

// The orders of workers.
const (
	// FirstFit takes the first worker that has room, and starts jobs strictly
	// in the order in which they came: one that does not fit holds up all
	// behind it.
	FirstFit Order = iota
	// LeastLoaded takes the worker with the most free processors, and passes
	// over jobs that do not fit.
	LeastLoaded
)

// A Scheduler is the plain scheduler that others are measured against. It
// knows no classes, preempts nothing and learns nothing.
type Scheduler struct {
	order   Order
	workers []*node
	queue   []*waiting
	running map[spoolsill.TaskID]*node
	shapes  map[spoolsill.JobID]spoolsill.Job
	tries   map[spoolsill.TaskID]spoolsill.Attempt
}

type node struct {
	id   spoolsill.WorkerID
	free spoolsill.Resources
}

type waiting struct {
	job   spoolsill.Job
	tasks []int
}

// A Start is one task that starts on a worker.
type Start struct {
	Task    spoolsill.TaskID
	Attempt spoolsill.Attempt
	Worker  spoolsill.WorkerID
}

// NewScheduler returns a scheduler of some workers.
func NewScheduler(o Order, workers []spoolsill.Worker) *Scheduler {
	s := &Scheduler{
		order:   o,
		running: map[spoolsill.TaskID]*node{},
		shapes:  map[spoolsill.JobID]spoolsill.Job{},
		tries:   map[spoolsill.TaskID]spoolsill.Attempt{},
	}
	for _, w := range workers {
		s.workers = append(s.workers, &node{
			id:   w.ID,
			free: w.Capacity,
		})
	}
	return s
}

// Submit adds a job at the end of the queue.
func (s *Scheduler) Submit(j spoolsill.Job) {
	s.shapes[j.ID] = j
	w := &waiting{
		job: j,
	}
	for i := range j.Tasks {
		w.tasks = append(w.tasks, i)
	}
	s.queue = append(s.queue, w)
}

// Cancel drops what waits of a job.
func (s *Scheduler) Cancel(id spoolsill.JobID) {
	for i, w := range s.queue {
		if w.job.ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// End frees what a task held; one that failed waits again at the end.
func (s *Scheduler) End(id spoolsill.TaskID, again bool) {
	n, ok := s.running[id]
	if !ok {
		return
	}
	delete(s.running, id)
	j := s.shapes[id.Job]
	n.free = n.free.Add(j.Shape)
	if again {
		s.queue = append(s.queue, &waiting{
			job:   j,
			tasks: []int{id.Index},
		})
	}
}

// Decide starts what it can.
func (s *Scheduler) Decide() []Start {
	var out []Start
	kept := s.queue[:0]
	blocked := false
	for _, w := range s.queue {
		if !blocked {
			out = append(out, s.startJob(w)...)
		}
		if len(w.tasks) > 0 {
			kept = append(kept, w)
			blocked = blocked || s.order == FirstFit
		}
	}
	s.queue = kept
	return out
}

// startJob starts the tasks of a job that fit, of a gang all or none.
func (s *Scheduler) startJob(w *waiting) []Start {
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
		s.tries[id]++
		out = append(out, Start{
			Task:    id,
			Attempt: s.tries[id],
			Worker:  n.id,
		})
	}
	if w.job.Kind == spoolsill.KindGang && len(out) < len(w.tasks) {
		for _, x := range out {
			s.running[x.Task].free = s.running[x.Task].free.Add(w.job.Shape)
			delete(s.running, x.Task)
			s.tries[x.Task]--
		}
		return nil
	}
	w.tasks = w.tasks[len(out):]
	return out
}

func (s *Scheduler) find(shape spoolsill.Resources) *node {
	var best *node
	for _, n := range s.workers {
		if !shape.FitsIn(n.free) {
			continue
		}
		if s.order == FirstFit {
			return n
		}
		if best == nil || n.free.Processors > best.free.Processors {
			best = n
		}
	}
	return best
}
