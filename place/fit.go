package place

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A spread counts the tasks of a service by worker and rack. A nil spread
// counts nothing.
type spread struct {
	workers map[*worker]int
	racks   map[*rack]int
}

func newSpread() *spread {
	return &spread{
		workers: map[*worker]int{},
		racks:   map[*rack]int{},
	}
}

func (s *spread) add(w *worker, n int) {
	if s == nil {
		return
	}
	s.workers[w] += n
	s.racks[w.rack] += n
}

// obstacle says what keeps a task off a worker.
type obstacle int

const (
	obstacleNone obstacle = iota
	obstacleGone
	obstacleLeaving
	obstacleSilent
	obstacleQuarantine
	obstacleAvoided
	obstacleReserved
	obstacleRoom
	obstacles
)

// obstacle returns what keeps t off w at time now.
func (s *State) obstacle(t *task, w *worker, now time.Time) obstacle {
	switch {
	case !w.known:
		return obstacleGone
	case !t.job.spec.Shape.FitsIn(s.room(t, w)):
		return obstacleRoom
	case w.Leaving:
		return obstacleLeaving
	case w.silent:
		return obstacleSilent
	case !w.health.takes(w, now):
		return obstacleQuarantine
	case t.avoids(w):
		return obstacleAvoided
	case s.reserve.bars(t.job, w, now, s.learnt):
		return obstacleReserved
	default:
		return obstacleNone
	}
}

// room returns the capacity of w that t may take: what is promised to other
// tasks is left out, but not to tasks of its own gang.
func (s *State) room(t *task, w *worker) spoolsill.Resources {
	if w.promised.IsZero() {
		return w.free
	}
	f := w.free.Sub(w.promised)
	for _, x := range s.promised {
		if x.target == w && (x == t || t.job.spec.Kind == spoolsill.KindGang && x.job == t.job) {
			f = f.Add(x.job.spec.Shape)
		}
	}
	return f
}

func (t *task) avoids(w *worker) bool {
	for _, a := range t.avoid {
		if a == w.ID {
			return true
		}
	}
	return false
}

// pick returns the best worker for t, or nil and why there is none.
// Cost: O(workers in the state).
func (s *State) pick(t *task, now time.Time) (*worker, Why) {
	var best *worker
	var bestCost float64
	var counts [obstacles]int
	for _, w := range s.order {
		o := s.obstacle(t, w, now)
		counts[o]++
		if o != obstacleNone {
			continue
		}
		c := t.job.cost(w)
		if best == nil || c < bestCost {
			best = w
			bestCost = c
		}
	}
	if best != nil {
		return best, Why{
			Code:   WhyFits,
			Worker: best.ID,
		}
	}
	return nil, s.whyNot(t, &counts)
}

// Weights of the cost of a worker, in units of one wholly free worker.
const (
	costSameRack    = 100.0
	costSameWorker  = 10.0
	costAccelerator = 5.0
)

// cost orders the workers that a task of j fits on; the least is taken.
// Services go where few of their own stand; everything goes where it leaves
// the least behind, so that large shapes still fit elsewhere.
func (j *job) cost(w *worker) float64 {
	c := leftover(w, j.spec.Shape)
	if w.Capacity.Accelerators > 0 && j.spec.Shape.Accelerators == 0 {
		c += costAccelerator
	}
	if j.spread != nil {
		c += costSameRack*float64(j.spread.racks[w.rack]) + costSameWorker*float64(j.spread.workers[w])
	}
	return c
}

// leftover returns the share of w that is free after a task of the shape is
// placed, summed over processors and memory.
func leftover(w *worker, shape spoolsill.Resources) float64 {
	f := w.free.Sub(shape)
	return float64(f.Processors)/float64(max(w.Capacity.Processors, 1)) +
		float64(f.Memory)/float64(max(w.Capacity.Memory, 1))
}

// fitsSomeWorker reports whether a task of j fits on some listed worker while
// that is empty.
func (s *State) fitsSomeWorker(j *job) bool {
	for _, w := range s.order {
		if w.known && j.spec.Shape.FitsIn(w.Capacity) {
			return s.gangFitsHall(j)
		}
	}
	return false
}

// gangFitsHall reports whether the hall would hold all tasks of a gang at
// once while it is empty. Other kinds need not.
func (s *State) gangFitsHall(j *job) bool {
	if j.spec.Kind != spoolsill.KindGang {
		return true
	}
	n := 0
	for _, w := range s.order {
		if !w.known {
			continue
		}
		n += times(j.spec.Shape, w.Capacity)
		if n >= j.spec.Tasks {
			return true
		}
	}
	return false
}

// times returns how often shape fits into free.
func times(shape, free spoolsill.Resources) int {
	if free.Negative() {
		return 0
	}
	n := int64(spoolsill.MaxTasks)
	n = min(n, quotient(int64(free.Processors), int64(shape.Processors)))
	n = min(n, quotient(int64(free.Memory), int64(shape.Memory)))
	n = min(n, quotient(int64(free.Accelerators), int64(shape.Accelerators)))
	return int(n)
}

func quotient(a, b int64) int64 {
	if b <= 0 {
		return spoolsill.MaxTasks
	}
	return a / b
}
