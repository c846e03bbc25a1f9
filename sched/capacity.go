package sched

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// EntriesSynced records that all changes of the workers' entries up to the time sent are
// known.
func (s *State) EntriesSynced(now, sent time.Time) {
	s.now = now
	if sent.After(s.entriesAsOf) {
		s.entriesAsOf = sent
	}
}

// entriesFresh reports whether the workers' entries are recent enough for a start. A
// worker that does not check its own capacity could otherwise be overcommitted.
func (s *State) entriesFresh() bool {
	return s.config.EntriesAge == 0 || s.now.Sub(s.entriesAsOf) <= s.config.EntriesAge
}

// reclaimable returns the capacity of a worker that becomes free once all of its runs have ended
// that end by themselves or are being stopped.
func (w *worker) reclaimable() spoolsill.Resources {
	return w.Capacity.Sub(w.usedForGood)
}

// hasCapacity reports whether all runs that are counted at a worker fit its capacity,
// including those being stopped and those that may still start. The capacity may have
// been reduced since they were placed.
func (w *worker) hasCapacity() bool {
	return !w.free().Negative()
}

// A largestCapacity has for each service the largest amount of each resource that one of its
// workers has.
type largestCapacity map[spoolsill.ServiceID]spoolsill.Resources

// largestCapacities returns the largest capacities of the workers that are alive.
func (s *State) largestCapacities() largestCapacity {
	l := largestCapacity{}
	for _, w := range s.workerList {
		if w.dead {
			continue
		}
		c := l[w.Service]
		l[w.Service] = spoolsill.Resources{
			Processors:   max(c.Processors, w.Capacity.Processors),
			Memory:       max(c.Memory, w.Capacity.Memory),
			Accelerators: max(c.Accelerators, w.Capacity.Accelerators),
		}
	}
	return l
}

// tooSmallFor reports whether no worker of the queue's service can hold a task of g, even an empty
// one. It is false as long as none is known.
func (l largestCapacity) tooSmallFor(g *stage, q *Queue) bool {
	c, known := l[q.Service]
	return known && !g.step.demand().FitsIn(c)
}
