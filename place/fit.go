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

// exclusion is the reason for which a task can't be placed on a worker.
type exclusion int

const (
	exclusionNone exclusion = iota
	exclusionUnlisted
	exclusionLeaving
	exclusionUnresponsive
	exclusionQuarantine
	exclusionAvoided
	exclusionReserved
	exclusionCapacity
	exclusionCount
)

// exclusion returns the reason for which t can't be placed on w at time now.
func (s *State) exclusion(t *task, w *worker, now time.Time) exclusion {
	switch {
	case !w.listed:
		return exclusionUnlisted
	case !t.job.spec.Shape.FitsIn(s.availableFor(t, w)):
		return exclusionCapacity
	case w.Leaving:
		return exclusionLeaving
	case w.unresponsive:
		return exclusionUnresponsive
	case !w.health.available(w, now):
		return exclusionQuarantine
	case t.avoids(w):
		return exclusionAvoided
	case s.reservation.blocks(t.job, w, now, s.runtimes):
		return exclusionReserved
	default:
		return exclusionNone
	}
}

// availableFor returns the free capacity of w that t may use. Capacity held for
// other nominated tasks is excluded, unless they belong to the same gang.
func (s *State) availableFor(t *task, w *worker) spoolsill.Resources {
	if w.nominatedCapacity.IsZero() {
		return w.free
	}
	f := w.free.Sub(w.nominatedCapacity)
	for _, x := range s.nominatedTasks {
		if x.nominatedWorker == w && (x == t || t.job.spec.Kind == spoolsill.KindGang && x.job == t.job) {
			f = f.Add(x.job.spec.Shape)
		}
	}
	return f
}

func (t *task) avoids(w *worker) bool {
	for _, a := range t.avoided {
		if a == w.ID {
			return true
		}
	}
	return false
}

// pickWorker returns the worker with the least cost for t, or nil and the
// reason why there is none. Cost: O(workers in the state).
func (s *State) pickWorker(t *task, now time.Time) (*worker, Reason) {
	var best *worker
	var bestCost float64
	var counts [exclusionCount]int
	for _, w := range s.workerList {
		e := s.exclusion(t, w, now)
		counts[e]++
		if e != exclusionNone {
			continue
		}
		c := t.job.cost(w)
		if best == nil || c < bestCost {
			best = w
			bestCost = c
		}
	}
	if best != nil {
		return best, Reason{
			Code:   ReasonFits,
			Worker: best.ID,
		}
	}
	return nil, s.exclusionReason(t, &counts)
}

// Weights in the cost of a worker. One unit is one fully free resource,
// processors or memory, of a worker.
const (
	costSameRack    = 100.0
	costSameWorker  = 10.0
	costAccelerator = 5.0
)

// cost ranks the workers that a task of j fits on; the worker with the least
// cost is chosen. Services are spread over racks and workers. Otherwise it is
// best fit: the worker with the least capacity left over, so that large shapes
// still fit elsewhere.
func (j *job) cost(w *worker) float64 {
	c := leftoverShare(w, j.spec.Shape)
	if w.Capacity.Accelerators > 0 && j.spec.Shape.Accelerators == 0 {
		c += costAccelerator
	}
	if j.spread != nil {
		c += costSameRack*float64(j.spread.racks[w.rack]) + costSameWorker*float64(j.spread.workers[w])
	}
	return c
}

// leftoverShare returns the share of w that would be free after placing a task
// of the shape, summed over processors and memory.
func leftoverShare(w *worker, shape spoolsill.Resources) float64 {
	f := w.free.Sub(shape)
	return float64(f.Processors)/float64(max(w.Capacity.Processors, 1)) +
		float64(f.Memory)/float64(max(w.Capacity.Memory, 1))
}

// fitsSomeWorker reports whether a task of j fits on some listed worker if it is
// empty and, for a gang, whether all its tasks fit into the empty hall.
func (s *State) fitsSomeWorker(j *job) bool {
	for _, w := range s.workerList {
		if w.listed && j.spec.Shape.FitsIn(w.Capacity) {
			return s.gangFitsHall(j)
		}
	}
	return false
}

// gangFitsHall reports whether all tasks of a gang fit into the empty hall at
// once. It is true for jobs of other kinds, whose tasks may run one by one.
func (s *State) gangFitsHall(j *job) bool {
	if j.spec.Kind != spoolsill.KindGang {
		return true
	}
	n := 0
	for _, w := range s.workerList {
		if !w.listed {
			continue
		}
		n += copiesThatFit(j.spec.Shape, w.Capacity)
		if n >= j.spec.Tasks {
			return true
		}
	}
	return false
}

// copiesThatFit returns how many times shape fits into free, at most
// [spoolsill.MaxTasks].
func copiesThatFit(shape, free spoolsill.Resources) int {
	if free.Negative() {
		return 0
	}
	n := int64(spoolsill.MaxTasks)
	n = min(n, fitCount(int64(free.Processors), int64(shape.Processors)))
	n = min(n, fitCount(int64(free.Memory), int64(shape.Memory)))
	n = min(n, fitCount(int64(free.Accelerators), int64(shape.Accelerators)))
	return int(n)
}

// fitCount returns how many times need fits into free. A need of 0 sets no limit.
func fitCount(free, need int64) int64 {
	if need <= 0 {
		return spoolsill.MaxTasks
	}
	return free / need
}
