package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// startGang places all tasks of a gang or none. It places none before all
// unfinished tasks wait.
func (d *decider) startGang(j *job) bool {
	s := d.state
	if len(j.pending) < j.unfinished {
		j.reason = Reason{
			Code: ReasonGangNoCapacity,
		}
		return false
	}
	workers, fitReason := s.gangWorkers(j, d.now)
	j.reason = fitReason
	if workers == nil {
		d.preemptForGang(j)
		return false
	}
	for i, t := range j.waitingTasks() {
		d.add(s.placementRecord(t, workers[i], d.now, CauseFits))
	}
	return true
}

func (j *job) waitingTasks() []*task {
	out := make([]*task, 0, len(j.pending))
	for _, i := range j.pending {
		out = append(out, &j.tasks[i])
	}
	return out
}

// gangWorkers returns a worker for each pending task of a gang, or nil if they
// don't all fit. Workers are filled in the order of their cost.
// Cost: O(workers log workers).
func (s *State) gangWorkers(j *job, now time.Time) ([]*worker, Reason) {
	tasks := j.waitingTasks()
	var counts [exclusionCount]int
	var eligible []*worker
	for _, w := range s.workerList {
		e := s.exclusion(tasks[0], w, now)
		if e == exclusionNone && anyAvoids(tasks, w) {
			e = exclusionAvoided
		}
		counts[e]++
		if e == exclusionNone {
			eligible = append(eligible, w)
		}
	}
	sort.SliceStable(eligible, func(a, b int) bool {
		return j.cost(eligible[a]) < j.cost(eligible[b])
	})
	var assigned []*worker
	for _, w := range eligible {
		n := copiesThatFit(j.spec.Shape, s.availableFor(tasks[0], w))
		for range min(n, len(tasks)-len(assigned)) {
			assigned = append(assigned, w)
		}
		if len(assigned) == len(tasks) {
			return assigned, Reason{
				Code:   ReasonFits,
				Worker: w.ID,
			}
		}
	}
	reason := s.exclusionReason(tasks[0], &counts)
	reason.Code = ReasonGangNoCapacity
	if s.reservation.job == j {
		reason.At = s.reservation.expectedStart
	}
	return nil, reason
}

func anyAvoids(tasks []*task, w *worker) bool {
	for _, t := range tasks {
		if t.avoids(w) {
			return true
		}
	}
	return false
}

// A reservation keeps capacity for the oldest blocked gang. On the chosen
// workers it covers all capacity that becomes free, so that fragments add up to
// the shape of a task; on the others it covers only capacity that a task of the
// gang would fit into. Other tasks may backfill: they are placed there if they
// are expected to end before expectedStart.
type reservation struct {
	job           *job
	expectedStart time.Time
	workers       map[*worker]bool
	// plannedFor is the gang of the last planning attempt, made at plannedAt. It
	// is set even if no start time could be estimated and job is nil.
	plannedFor *job
	plannedAt  time.Time
}

// reservationInterval is the minimum time between two planning attempts for the
// same gang.
const reservationInterval = time.Second

// blocks reports whether the reservation prevents placing a task of j on w. It
// never blocks jobs of class Urgent. Services may not backfill, since they have no
// expected end.
func (r *reservation) blocks(j *job, w *worker, now time.Time, stats runtimeStats) bool {
	if r.job == nil || r.job == j || j.spec.Class == spoolsill.ClassUrgent {
		return false
	}
	shape := r.job.spec.Shape
	if !r.workers[w] && copiesThatFit(shape, w.free.Sub(j.spec.Shape)) == copiesThatFit(shape, w.free) {
		return false
	}
	return j.spec.Kind == spoolsill.KindService || now.Add(stats.runtimeQuantile(&j.spec, highPerMille)).After(r.expectedStart)
}

// dropReservation ends the reservation if it is for j.
func (s *State) dropReservation(j *job) {
	if s.reservation.job == j {
		s.reservation = reservation{}
		s.capacityVersion++
	}
}

// refreshReservation plans the reservation for the oldest blocked gang.
func (s *State) refreshReservation(now time.Time) {
	if s.config.NoReservation || len(s.waitingGangs) == 0 {
		return
	}
	j := s.oldestBlockedGang()
	if j == nil {
		return
	}
	old := s.reservation
	if old.plannedFor == j && now.Sub(old.plannedAt) < reservationInterval {
		return
	}
	s.reservation = reservation{
		plannedFor: j,
		plannedAt:  now,
	}
	expectedStart, ok := s.estimateGangStart(j, now)
	if !ok {
		return
	}
	if old.job == j && old.expectedStart.Before(expectedStart) {
		expectedStart = old.expectedStart
	}
	s.reservation.job = j
	s.reservation.expectedStart = expectedStart
	s.reservation.workers = s.workersToReserve(j, now)
	s.capacityVersion++
}

// workersToReserve returns the workers whose capacity is reserved for a gang:
// those with the most free capacity, as many as hold the gang if each gains
// capacity for one more task.
func (s *State) workersToReserve(j *job, now time.Time) map[*worker]bool {
	var list []*worker
	for _, w := range s.workerList {
		if w.listed && !w.Leaving && !w.unresponsive && w.health.available(w, now) && j.spec.Shape.FitsIn(w.Capacity) {
			list = append(list, w)
		}
	}
	sort.SliceStable(list, func(a, b int) bool {
		return leftoverShare(list[a], j.spec.Shape) > leftoverShare(list[b], j.spec.Shape)
	})
	out := map[*worker]bool{}
	copies := 0
	for _, w := range list {
		if copies >= len(j.pending) {
			break
		}
		out[w] = true
		copies += copiesThatFit(j.spec.Shape, w.free) + 1
	}
	return out
}

// oldestBlockedGang returns the oldest gang that has been tried and does not fit,
// or nil.
func (s *State) oldestBlockedGang() *job {
	var oldest *job
	for _, j := range s.waitingGangs {
		if j.blockedVersion == 0 || len(j.pending) < j.unfinished || j.reason.Code != ReasonGangNoCapacity {
			continue
		}
		if oldest == nil || j.seq < oldest.seq {
			oldest = j
		}
	}
	return oldest
}

// An expectedEnd is the capacity that a task is expected to release, and when.
type expectedEnd struct {
	at       time.Time
	onWorker *worker
	shape    spoolsill.Resources
}

// estimateGangStart returns the earliest time at which all tasks of a gang are
// expected to fit. The caller never moves a reservation to a later time: if run
// times are declared too short, each later estimate would admit further
// backfill and the gang would starve. Cost: O(tasks log tasks).
func (s *State) estimateGangStart(j *job, now time.Time) (time.Time, bool) {
	t := j.waitingTasks()[0]
	free := map[*worker]spoolsill.Resources{}
	copies := 0
	for _, w := range s.workerList {
		if !w.listed || w.Leaving || w.unresponsive || !w.health.available(w, now) || !j.spec.Shape.FitsIn(w.Capacity) {
			continue
		}
		free[w] = s.availableFor(t, w)
		copies += copiesThatFit(j.spec.Shape, free[w])
	}
	at := now
	for _, end := range s.expectedEnds(free, now) {
		if copies >= len(j.pending) {
			break
		}
		before := copiesThatFit(j.spec.Shape, free[end.onWorker])
		free[end.onWorker] = free[end.onWorker].Add(end.shape)
		copies += copiesThatFit(j.spec.Shape, free[end.onWorker]) - before
		at = end.at
	}
	return at, copies >= len(j.pending)
}

// expectedEnds returns the expected ends of the tasks on the workers in free, in
// order of time. A task that has outlived its estimate is expected to run as
// long again as it has so far. Services are left out.
func (s *State) expectedEnds(free map[*worker]spoolsill.Resources, now time.Time) []expectedEnd {
	var out []expectedEnd
	for _, w := range s.workerList {
		if _, ok := free[w]; !ok {
			continue
		}
		for _, t := range w.tasks {
			if t.job.spec.Kind == spoolsill.KindService {
				continue
			}
			end := t.stateSince.Add(s.runtimes.runtimeQuantile(&t.job.spec, medianPerMille))
			if end.Before(now) {
				end = now.Add(now.Sub(t.stateSince))
			}
			out = append(out, expectedEnd{
				at:       end,
				onWorker: w,
				shape:    t.job.spec.Shape,
			})
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if !out[a].at.Equal(out[b].at) {
			return out[a].at.Before(out[b].at)
		}
		return out[a].onWorker.index < out[b].onWorker.index
	})
	return out
}
