package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// Snapshot returns records from which [Rebuild] restores the jobs, tasks,
// confirmed plans and run time statistics of s. Workers, quotas and the health
// of workers are not included.
func (s *State) Snapshot(now time.Time) []Record {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		return jobs[a].seq < jobs[b].seq
	})
	var out []Record
	for _, j := range jobs {
		out = append(out, j.snapshot()...)
	}
	out = append(out, s.snapshotRuntimes(now)...)
	for _, p := range s.confirmedPlans.order {
		out = append(out, Record{
			Kind: PlanApplied,
			At:   now.UnixMicro(),
			Plan: p,
		})
	}
	return out
}

func (j *job) snapshot() []Record {
	spec := j.spec
	out := []Record{{
		Kind: JobAdded,
		At:   j.added.UnixMicro(),
		Job:  &spec,
	}}
	for i := range j.tasks {
		out = append(out, j.tasks[i].snapshot()...)
	}
	if j.cancelled {
		out = append(out, Record{
			Kind: JobCancelled,
			At:   j.added.UnixMicro(),
			Task: spoolsill.TaskID{
				Job: j.spec.ID,
			},
		})
	}
	return out
}

// snapshot returns the records that take a newly added task to the state of t.
func (t *task) snapshot() []Record {
	r := Record{
		At:      t.stateSince.UnixMicro(),
		Task:    t.id,
		Attempt: t.attempt,
		Cause:   t.cause,
	}
	switch {
	case t.state.Final():
		r.Kind = TaskEnded
		r.State = t.state
		return []Record{t.attemptsRecord(r), r}[t.recordsToSkip():]
	case t.state.HoldsCapacity():
		r.Worker = t.worker.ID
		return t.allocationRecords(r)
	case t.attempt > 0:
		r.Kind = TaskRequeued
		r.Ready = t.retryAt.UnixMicro()
		return []Record{t.attemptsRecord(r), r}
	default:
		return nil
	}
}

// recordsToSkip returns how many of the records of an ended task are not needed: a
// task that never started has no placement.
func (t *task) recordsToSkip() int {
	if t.attempt == 0 {
		return 1
	}
	return 0
}

// attemptsRecord returns a placement that sets the attempt number of a task.
func (t *task) attemptsRecord(r Record) Record {
	return Record{
		Kind:    TaskPlaced,
		At:      r.At,
		Task:    t.id,
		Worker:  "",
		Attempt: t.attempt,
		State:   stateSnapshot,
	}
}

// stateSnapshot marks a placement in a snapshot. It stands for all attempts of
// the task so far, so its attempt number need not be the next one.
const stateSnapshot spoolsill.TaskState = "snapshot"

// allocationRecords returns the records that take a newly added task to the state
// of t, which holds capacity.
func (t *task) allocationRecords(r Record) []Record {
	placed := t.attemptsRecord(r)
	placed.Worker = r.Worker
	placed.Cause = t.cause
	out := []Record{placed}
	if t.state == spoolsill.TaskPlaced {
		return out
	}
	running := r
	running.Kind = TaskRunning
	running.At = t.runningSince.UnixMicro()
	out = append(out, running)
	switch t.state {
	case spoolsill.TaskCheckpointing:
		r.Kind = TaskCheckpointing
		out = append(out, r)
	case spoolsill.TaskStopping:
		r.Kind = TaskStopping
		out = append(out, r)
	}
	return out
}

func (s *State) snapshotRuntimes(now time.Time) []Record {
	keys := make([]runtimeKey, 0, len(s.runtimes))
	for k := range s.runtimes {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(a, b int) bool {
		if keys[a].team != keys[b].team {
			return keys[a].team < keys[b].team
		}
		return keys[a].kind < keys[b].kind
	})
	var out []Record
	for _, k := range keys {
		r := *s.runtimes[k]
		out = append(out, Record{
			Kind:    RuntimesLearned,
			At:      now.UnixMicro(),
			Team:    k.team,
			JobKind: k.kind,
			Ratios:  &r,
		})
	}
	return out
}

// Rebuild returns the state that results from applying records to an empty one.
func Rebuild(c Config, records []Record) (*State, error) {
	s := NewState(c)
	for _, r := range records {
		if err := s.Apply(r); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Clone returns an independent copy of s. Of what is not part of a snapshot, it
// copies the quotas and the workers with their health and nominated capacity,
// but not which tasks are nominated, the reservation, and the failures of jobs
// and tasks.
func (s *State) Clone() *State {
	c, err := Rebuild(s.config, s.Snapshot(time.Time{}))
	if err != nil {
		panic(err)
	}
	for _, w := range s.workerList {
		x := c.worker(w.ID)
		x.Worker = w.Worker
		x.listed = w.listed
		x.unresponsive = w.unresponsive
		x.free = w.free
		x.nominatedCapacity = w.nominatedCapacity
		x.rack = c.rackByID(w.Rack)
		x.health = w.health
		x.health.failedJobs = append([]spoolsill.JobID(nil), w.health.failedJobs...)
	}
	for id, t := range s.teams {
		c.team(id).quota = t.quota
		c.team(id).limited = t.limited
		c.team(id).weight = t.weight
	}
	c.sortWorkers()
	c.rebuildSpread()
	c.classifyAll()
	return c
}

// rebuildSpread recounts the tasks of services by worker and rack. It is needed
// when the racks of workers have changed.
func (s *State) rebuildSpread() {
	for _, j := range s.jobs {
		if j.spread == nil {
			continue
		}
		j.spread = newSpread()
		for i := range j.tasks {
			if w := j.tasks[i].worker; w != nil {
				j.spread.add(w, 1)
			}
		}
	}
}
