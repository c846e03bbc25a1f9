package place

import (
	"fmt"

	"github.com/spoolsill/spoolsill"
)

// Check verifies what must hold at all times over the whole state and returns
// the first thing that does not. Cost: O(tasks + workers).
func (s *State) Check() error {
	held := map[*worker]spoolsill.Resources{}
	used := map[*team]spoolsill.Resources{}
	for _, j := range s.jobs {
		if err := j.check(held, used); err != nil {
			return err
		}
	}
	for _, w := range s.workers {
		if got := w.Capacity.Sub(w.free); got != held[w] {
			return fmt.Errorf("worker %s: %s is taken, its tasks hold %s", w.ID, got, held[w])
		}
		if w.known && w.free.Negative() {
			return fmt.Errorf("worker %s: over its capacity: %s free", w.ID, w.free)
		}
		if w.promised.Negative() {
			return fmt.Errorf("worker %s: %s promised", w.ID, w.promised)
		}
	}
	for _, t := range s.teams {
		if t.used != used[t] {
			return fmt.Errorf("team %s: %s counted, its tasks hold %s", t.id, t.used, used[t])
		}
	}
	return nil
}

func (j *job) check(held map[*worker]spoolsill.Resources, used map[*team]spoolsill.Resources) error {
	live, holding := 0, 0
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.state.Final() {
			live++
		}
		if t.state.HoldsCapacity() != (t.worker != nil) {
			return fmt.Errorf("task %s: %s with worker %v", t.id, t.state, t.worker != nil)
		}
		if t.worker == nil {
			continue
		}
		holding++
		if t.worker.tasks[t.id] != t {
			return fmt.Errorf("task %s: worker %s does not list it", t.id, t.worker.ID)
		}
		held[t.worker] = held[t.worker].Add(j.spec.Shape)
		used[j.team] = used[j.team].Add(j.spec.Shape)
	}
	if live != j.live || holding != j.held {
		return fmt.Errorf("job %s: %d live and %d holding, counted %d and %d", j.spec.ID, live, holding, j.live, j.held)
	}
	return nil
}
