package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// Snapshot returns records that rebuild the jobs, tasks, confirmed plans and
// learnt run times of s. The platform's list of workers is not part of it.
func (s *State) Snapshot(now time.Time) []Record {
	jobs := make([]*job, 0, len(s.jobs))
	for _, j := range s.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool {
		return jobs[a].number < jobs[b].number
	})
	var out []Record
	for _, j := range jobs {
		out = append(out, j.snapshot()...)
	}
	out = append(out, s.snapshotLearnt(now)...)
	for _, p := range s.plans.order {
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

// snapshot returns the records that bring a new task into the state of t.
func (t *task) snapshot() []Record {
	r := Record{
		At:      t.since.UnixMicro(),
		Task:    t.id,
		Attempt: t.attempt,
		Cause:   t.cause,
	}
	switch {
	case t.state.Final():
		r.Kind = TaskEnded
		r.State = t.state
		return []Record{t.tries(r), r}[t.skipTries():]
	case t.state.HoldsCapacity():
		r.Worker = t.worker.ID
		return t.held(r)
	case t.attempt > 0:
		r.Kind = TaskRequeued
		r.Ready = t.ready.UnixMicro()
		return []Record{t.tries(r), r}
	default:
		return nil
	}
}

func (t *task) skipTries() int {
	if t.attempt == 0 {
		return 1
	}
	return 0
}

// tries returns the record that counts the attempts of a task so far.
func (t *task) tries(r Record) Record {
	return Record{
		Kind:    TaskPlaced,
		At:      r.At,
		Task:    t.id,
		Worker:  "",
		Attempt: t.attempt,
		State:   stateSnapshot,
	}
}

// stateSnapshot marks a placement in a snapshot, which stands for all
// attempts of its task.
const stateSnapshot spoolsill.TaskState = "snapshot"

func (t *task) held(r Record) []Record {
	placed := t.tries(r)
	placed.Worker = r.Worker
	placed.Cause = t.cause
	out := []Record{placed}
	if t.state == spoolsill.TaskPlaced {
		return out
	}
	running := r
	running.Kind = TaskRunning
	running.At = t.started.UnixMicro()
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

func (s *State) snapshotLearnt(now time.Time) []Record {
	keys := make([]learntKey, 0, len(s.learnt))
	for k := range s.learnt {
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
		r := *s.learnt[k]
		out = append(out, Record{
			Kind:  Learned,
			At:    now.UnixMicro(),
			Team:  k.team,
			Kinds: k.kind,
			Ratio: &r,
		})
	}
	return out
}

// Rebuild returns the state that records lead to.
func Rebuild(c Config, records []Record) (*State, error) {
	s := NewState(c)
	for _, r := range records {
		if err := s.Apply(r); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Clone returns a copy of s that shares nothing with it.
func (s *State) Clone() *State {
	c, err := Rebuild(s.config, s.Snapshot(time.Time{}))
	if err != nil {
		panic(err)
	}
	for _, w := range s.order {
		x := c.worker(w.ID)
		x.Worker = w.Worker
		x.known = w.known
		x.silent = w.silent
		x.free = w.free
		x.promised = w.promised
		x.rack = c.rackOf(w.Rack)
		x.health = w.health
		x.health.jobs = append([]spoolsill.JobID(nil), w.health.jobs...)
	}
	for id, t := range s.teams {
		c.team(id).quota = t.quota
		c.team(id).limited = t.limited
		c.team(id).weight = t.weight
	}
	c.sortWorkers()
	c.rebuildSpread()
	c.judgeNever()
	return c
}

// rebuildSpread counts the tasks of services by rack again, after the racks
// of workers became known.
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
