package naive

import (
	"fmt"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
)

// A Ledger applies the records of package place in order and checks each of them
// against the invariants of placement. It recomputes all sums at every check.
type Ledger struct {
	workers   map[spoolsill.WorkerID]spoolsill.Worker
	jobs      map[spoolsill.JobID]spoolsill.Job
	tasks     map[spoolsill.TaskID]*Task
	cancelled map[spoolsill.JobID]bool
}

// A Task is the state of one task in a [Ledger].
type Task struct {
	State   spoolsill.TaskState
	Worker  spoolsill.WorkerID
	Attempt spoolsill.Attempt
	Ran     bool                        // a worker confirmed a start
	Ready   int64                       // Unix time in microseconds from which a requeued task may be placed
	Avoid   map[spoolsill.WorkerID]bool // workers on which it failed or that refused it
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		workers:   map[spoolsill.WorkerID]spoolsill.Worker{},
		jobs:      map[spoolsill.JobID]spoolsill.Job{},
		tasks:     map[spoolsill.TaskID]*Task{},
		cancelled: map[spoolsill.JobID]bool{},
	}
}

// SetWorkers replaces the list of workers.
func (l *Ledger) SetWorkers(list []spoolsill.Worker) {
	l.workers = map[spoolsill.WorkerID]spoolsill.Worker{}
	for _, w := range list {
		l.workers[w.ID] = w
	}
}

// Task returns the state of a task, which must exist.
func (l *Ledger) Task(id spoolsill.TaskID) Task {
	return *l.tasks[id]
}

// Tasks returns all tasks.
func (l *Ledger) Tasks() map[spoolsill.TaskID]*Task {
	return l.tasks
}

// Used returns the resources allocated to tasks on a worker.
func (l *Ledger) Used(w spoolsill.WorkerID) spoolsill.Resources {
	var sum spoolsill.Resources
	for id, t := range l.tasks {
		if t.State.HoldsCapacity() && t.Worker == w {
			sum = sum.Add(l.jobs[id.Job].Shape)
		}
	}
	return sum
}

// TeamUsed returns the resources allocated to tasks of a team.
func (l *Ledger) TeamUsed(team spoolsill.TeamID) spoolsill.Resources {
	var sum spoolsill.Resources
	for id, t := range l.tasks {
		if t.State.HoldsCapacity() && l.jobs[id.Job].Team == team {
			sum = sum.Add(l.jobs[id.Job].Shape)
		}
	}
	return sum
}

// Apply applies the records of one decision. It returns an error for the first
// invalid record, or if a gang was placed only partially.
func (l *Ledger) Apply(records []place.Record) error {
	gangs := map[spoolsill.JobID]bool{}
	for _, r := range records {
		if err := l.apply(r); err != nil {
			return err
		}
		if r.Kind == place.TaskPlaced && l.jobs[r.Task.Job].Kind == spoolsill.KindGang {
			gangs[r.Task.Job] = true
		}
	}
	for id := range gangs {
		if err := l.checkGang(id); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) apply(r place.Record) error {
	switch r.Kind {
	case place.JobAdded:
		l.jobs[r.Job.ID] = *r.Job
		for i := range r.Job.Tasks {
			l.tasks[spoolsill.TaskID{
				Job:   r.Job.ID,
				Index: i,
			}] = &Task{
				State: spoolsill.TaskQueued,
				Avoid: map[spoolsill.WorkerID]bool{},
			}
		}
		return nil
	case place.JobCancelled:
		l.cancelJob(r.Task.Job)
		return nil
	case place.PlanApplied, place.RuntimesLearned:
		return nil
	default:
		return l.applyTask(r)
	}
}

func (l *Ledger) cancelJob(id spoolsill.JobID) {
	l.cancelled[id] = true
	for tid, t := range l.tasks {
		if tid.Job == id && t.State == spoolsill.TaskQueued {
			t.State = spoolsill.TaskCancelled
		}
	}
}

func (l *Ledger) applyTask(r place.Record) error {
	t := l.tasks[r.Task]
	if t == nil {
		return fmt.Errorf("%s: no such task", r.Task)
	}
	if t.State.Final() {
		return fmt.Errorf("%s: changes after its final state %s", r.Task, t.State)
	}
	j := l.jobs[r.Task.Job]
	switch r.Kind {
	case place.TaskPlaced:
		return l.placeTask(r, t)
	case place.TaskRunning:
		t.State = spoolsill.TaskRunning
		t.Ran = true
	case place.TaskCheckpointing:
		if j.Unrepeatable || j.Kind == spoolsill.KindGang && r.Cause == place.CausePreempted {
			return fmt.Errorf("%s: checkpointed, but must not be preempted", r.Task)
		}
		t.State = spoolsill.TaskCheckpointing
	case place.TaskStopping:
		t.State = spoolsill.TaskStopping
	case place.TaskRequeued:
		if j.Unrepeatable && r.Cause != place.CauseRefused {
			return fmt.Errorf("%s: unrepeatable, but requeued although it may have run", r.Task)
		}
		t.State = spoolsill.TaskQueued
		t.Worker = ""
		t.Ready = r.Ready
		if r.Cause == place.CauseFailed || r.Cause == place.CauseRefused {
			t.Avoid[r.Worker] = true
		}
	case place.TaskEnded:
		t.State = r.State
		t.Worker = ""
	}
	return nil
}

func (l *Ledger) placeTask(r place.Record, t *Task) error {
	w, ok := l.workers[r.Worker]
	switch {
	case t.State.HoldsCapacity():
		return fmt.Errorf("%s: placed on %s and on %s", r.Task, t.Worker, r.Worker)
	case l.cancelled[r.Task.Job]:
		return fmt.Errorf("%s: placed after its job was cancelled", r.Task)
	case !ok:
		return fmt.Errorf("%s: placed on %s, which is not listed", r.Task, r.Worker)
	case w.Leaving:
		return fmt.Errorf("%s: placed on %s, which is leaving", r.Task, r.Worker)
	case t.Avoid[r.Worker]:
		return fmt.Errorf("%s: placed on %s, where it failed", r.Task, r.Worker)
	case r.Attempt != t.Attempt+1:
		return fmt.Errorf("%s: attempt %d follows %d", r.Task, r.Attempt, t.Attempt)
	}
	t.State = spoolsill.TaskPlaced
	t.Worker = r.Worker
	t.Attempt = r.Attempt
	if u := l.Used(r.Worker); !u.FitsIn(w.Capacity) {
		return fmt.Errorf("%s: %s is given %s of %s", r.Task, r.Worker, u, w.Capacity)
	}
	return nil
}

// checkGang returns an error if some tasks of a gang are queued while others are
// allocated to workers.
func (l *Ledger) checkGang(id spoolsill.JobID) error {
	queued, allocated := 0, 0
	for tid, t := range l.tasks {
		if tid.Job != id {
			continue
		}
		if t.State == spoolsill.TaskQueued {
			queued++
		}
		if t.State.HoldsCapacity() {
			allocated++
		}
	}
	if queued > 0 && allocated > 0 {
		return fmt.Errorf("gang %s: %d tasks have workers, %d are queued", id, allocated, queued)
	}
	return nil
}

// Startable returns the queued tasks that fit on some worker at time now, in Unix
// microseconds. Tasks of gangs are excluded. It checks every worker for every
// task.
func (l *Ledger) Startable(now int64) []spoolsill.TaskID {
	free := map[spoolsill.WorkerID]spoolsill.Resources{}
	for id, w := range l.workers {
		free[id] = w.Capacity.Sub(l.Used(id))
	}
	var out []spoolsill.TaskID
	for id, t := range l.tasks {
		if t.State != spoolsill.TaskQueued || t.Ready > now || l.cancelled[id.Job] || l.jobs[id.Job].Kind == spoolsill.KindGang {
			continue
		}
		for w, f := range free {
			if !l.workers[w].Leaving && !t.Avoid[w] && l.jobs[id.Job].Shape.FitsIn(f) {
				out = append(out, id)
				break
			}
		}
	}
	return out
}
