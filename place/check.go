package place

import (
	"fmt"

	"github.com/spoolsill/spoolsill"
)

// CheckInvariants verifies the invariants of the whole state and returns an
// error for the first that is violated. Cost: O(tasks + workers).
func (s *State) CheckInvariants() error {
	allocations := map[*worker]spoolsill.Resources{}
	used := map[*team]spoolsill.Resources{}
	for _, j := range s.jobs {
		if err := j.check(allocations, used); err != nil {
			return err
		}
	}
	for _, w := range s.workers {
		if got := w.Capacity.Sub(w.free); got != allocations[w] {
			return fmt.Errorf("worker %s: %s is taken, its tasks hold %s", w.ID, got, allocations[w])
		}
		if w.listed && w.free.Negative() {
			return fmt.Errorf("worker %s: over its capacity: %s free", w.ID, w.free)
		}
		if w.nominatedCapacity.Negative() {
			return fmt.Errorf("worker %s: %s held for nominated tasks", w.ID, w.nominatedCapacity)
		}
	}
	for _, t := range s.teams {
		if t.used != used[t] {
			return fmt.Errorf("team %s: %s counted, its tasks hold %s", t.id, t.used, used[t])
		}
	}
	return nil
}

// check verifies the tasks of j, and adds what they hold to allocations and used.
func (j *job) check(allocations map[*worker]spoolsill.Resources, used map[*team]spoolsill.Resources) error {
	unfinishedTasks, allocatedTasks := 0, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.state.Final() {
			unfinishedTasks++
		}
		if t.state.HoldsCapacity() != (t.worker != nil) {
			return fmt.Errorf("task %s: %s with worker %v", t.id, t.state, t.worker != nil)
		}
		if t.worker == nil {
			continue
		}
		allocatedTasks++
		if t.worker.tasks[t.id] != t {
			return fmt.Errorf("task %s: worker %s does not list it", t.id, t.worker.ID)
		}
		allocations[t.worker] = allocations[t.worker].Add(j.spec.Shape)
		used[j.team] = used[j.team].Add(j.spec.Shape)
	}
	if unfinishedTasks != j.unfinished || allocatedTasks != j.allocated {
		return fmt.Errorf("job %s: %d live and %d holding, counted %d and %d", j.spec.ID, unfinishedTasks, allocatedTasks, j.unfinished, j.allocated)
	}
	return nil
}
