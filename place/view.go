package place

import (
	"fmt"
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A TaskView describes a task to operators.
type TaskView struct {
	ID      string              `json:"id"                msgpack:"i"`
	State   spoolsill.TaskState `json:"state"             msgpack:"s"`
	Worker  spoolsill.WorkerID  `json:"worker,omitempty"  msgpack:"w"`
	Attempt spoolsill.Attempt   `json:"attempt"           msgpack:"a"`
	Since   time.Time           `json:"since"             msgpack:"t"`
	Reason  string              `json:"reason,omitempty"  msgpack:"r"`
	Avoids  []string            `json:"avoids,omitempty"  msgpack:"v"`
}

// A JobView describes a job to operators.
type JobView struct {
	ID        spoolsill.JobID             `json:"id"        msgpack:"i"`
	Team      spoolsill.TeamID            `json:"team"      msgpack:"t"`
	Kind      spoolsill.Kind              `json:"kind"      msgpack:"k"`
	Class     spoolsill.Class             `json:"class"     msgpack:"c"`
	Shape     spoolsill.Resources         `json:"shape"     msgpack:"s"`
	Added     time.Time                   `json:"added"     msgpack:"a"`
	States    map[spoolsill.TaskState]int `json:"states"    msgpack:"n"`
	Cancelled bool                        `json:"cancelled" msgpack:"x"`
	Reason    string                      `json:"reason"    msgpack:"r"`
}

// A WorkerView describes a worker to operators.
type WorkerView struct {
	ID               spoolsill.WorkerID  `json:"id"          msgpack:"i"`
	Rack             spoolsill.RackID    `json:"rack"        msgpack:"k"`
	Capacity         spoolsill.Resources `json:"capacity"    msgpack:"c"`
	Free             spoolsill.Resources `json:"free"        msgpack:"f"`
	Tasks            int                 `json:"tasks"       msgpack:"n"`
	Leaving          bool                `json:"leaving"     msgpack:"l"`
	Unresponsive     bool                `json:"silent"      msgpack:"s"`
	Listed           bool                `json:"listed"      msgpack:"p"`
	QuarantinedUntil time.Time           `json:"quarantined" msgpack:"q"`
}

// Jobs returns all known jobs, oldest first.
func (s *State) Jobs() []JobView {
	list := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool {
		return list[a].seq < list[b].seq
	})
	out := make([]JobView, 0, len(list))
	for _, j := range list {
		out = append(out, j.view())
	}
	return out
}

// Job returns one job and its tasks.
func (s *State) Job(id spoolsill.JobID) (JobView, []TaskView, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return JobView{}, nil, false
	}
	tasks := make([]TaskView, 0, len(j.tasks))
	for i := range j.tasks {
		tasks = append(tasks, j.tasks[i].view())
	}
	return j.view(), tasks, true
}

// Workers returns all workers, sorted by ID.
func (s *State) Workers() []WorkerView {
	out := make([]WorkerView, 0, len(s.workerList))
	for _, w := range s.workerList {
		out = append(out, WorkerView{
			ID:               w.ID,
			Rack:             w.Rack,
			Capacity:         w.Capacity,
			Free:             w.free,
			Tasks:            len(w.tasks),
			Leaving:          w.Leaving,
			Unresponsive:     w.unresponsive,
			Listed:           w.listed,
			QuarantinedUntil: w.health.quarantinedUntil,
		})
	}
	return out
}

// An Allocation is a task that holds capacity of a worker.
type Allocation struct {
	Task    spoolsill.TaskID
	Attempt spoolsill.Attempt
	State   spoolsill.TaskState
	Shape   spoolsill.Resources
	Since   time.Time
	Service bool
}

// Allocations returns the tasks that hold capacity of a worker, sorted by ID.
func (s *State) Allocations(id spoolsill.WorkerID) []Allocation {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	out := make([]Allocation, 0, len(w.tasks))
	for _, t := range w.sortedTasks() {
		out = append(out, Allocation{
			Task:    t.id,
			Attempt: t.attempt,
			State:   t.state,
			Shape:   t.job.spec.Shape,
			Since:   t.stateSince,
			Service: t.job.spec.Kind == spoolsill.KindService,
		})
	}
	return out
}

// JobSpec returns the specification of a job.
func (s *State) JobSpec(id spoolsill.JobID) (spoolsill.Job, bool) {
	j, ok := s.jobs[id]
	if !ok {
		return spoolsill.Job{}, false
	}
	return j.spec, true
}

func (w *worker) sortedTasks() []*task {
	out := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].id.Job != out[b].id.Job {
			return out[a].id.Job < out[b].id.Job
		}
		return out[a].id.Index < out[b].id.Index
	})
	return out
}

func (j *job) view() JobView {
	v := JobView{
		ID:        j.spec.ID,
		Team:      j.spec.Team,
		Kind:      j.spec.Kind,
		Class:     j.spec.Class,
		Shape:     j.spec.Shape,
		Added:     j.added,
		States:    map[spoolsill.TaskState]int{},
		Cancelled: j.cancelled,
	}
	for i := range j.tasks {
		v.States[j.tasks[i].state]++
	}
	v.Reason = j.explain()
	return v
}

func (j *job) explain() string {
	switch {
	case j.cancelled:
		return "an operator cancelled it"
	case !j.finishedAt.IsZero():
		return "all its tasks have ended"
	case len(j.pending) > 0 || j.unschedulable:
		return j.reason.text(j.spec)
	default:
		return fmt.Sprintf("all its %d open tasks have workers or wait for their next try", j.unfinished)
	}
}

func (t *task) view() TaskView {
	v := TaskView{
		ID:      t.id.String(),
		State:   t.state,
		Attempt: t.attempt,
		Since:   t.stateSince,
		Reason:  t.explain(),
	}
	if t.worker != nil {
		v.Worker = t.worker.ID
	}
	for _, a := range t.avoided {
		v.Avoids = append(v.Avoids, string(a))
	}
	return v
}

func (t *task) explain() string {
	switch t.state {
	case spoolsill.TaskUnschedulable:
		return t.job.reason.text(t.job.spec)
	case spoolsill.TaskQueued:
		r := t.job.reason.text(t.job.spec)
		if t.attempt == 0 {
			return r
		}
		return fmt.Sprintf("queued again since %s; %s", t.cause, r)
	default:
		return t.cause.String()
	}
}
