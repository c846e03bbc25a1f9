package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// startGang places all waiting tasks of a gang or none.
func (d *decider) startGang(j *job) bool {
	s := d.state
	if len(j.pending) < j.live {
		j.why = Why{
			Code: WhyGangRoom,
		}
		return false
	}
	seats, y := s.seats(j, d.now)
	j.why = y
	if seats == nil {
		d.roomForGang(j)
		return false
	}
	for i, t := range j.waiting() {
		d.add(s.placed(t, seats[i], d.now, CauseFits))
	}
	return true
}

func (j *job) waiting() []*task {
	out := make([]*task, 0, len(j.pending))
	for _, i := range j.pending {
		out = append(out, &j.tasks[i])
	}
	return out
}

// seats returns a worker for each waiting task of a gang, or nil when they
// don't all fit. The fullest workers are taken first.
// Cost: O(workers log workers).
func (s *State) seats(j *job, now time.Time) ([]*worker, Why) {
	tasks := j.waiting()
	var counts [obstacles]int
	var open []*worker
	for _, w := range s.order {
		o := s.obstacle(tasks[0], w, now)
		if o == obstacleNone && anyAvoids(tasks, w) {
			o = obstacleAvoided
		}
		counts[o]++
		if o == obstacleNone {
			open = append(open, w)
		}
	}
	sort.SliceStable(open, func(a, b int) bool {
		return j.cost(open[a]) < j.cost(open[b])
	})
	var seats []*worker
	for _, w := range open {
		n := times(j.spec.Shape, s.room(tasks[0], w))
		for range min(n, len(tasks)-len(seats)) {
			seats = append(seats, w)
		}
		if len(seats) == len(tasks) {
			return seats, Why{
				Code:   WhyFits,
				Worker: w.ID,
			}
		}
	}
	y := s.whyNot(tasks[0], &counts)
	y.Code = WhyGangRoom
	if s.reserve.job == j {
		y.At = s.reserve.at
	}
	return nil, y
}

func anyAvoids(tasks []*task, w *worker) bool {
	for _, t := range tasks {
		if t.avoids(w) {
			return true
		}
	}
	return false
}

// A reserve keeps room for the oldest waiting gang: on some workers, all room
// that comes free, so that pieces add up to room for its tasks; elsewhere,
// room that would hold one. Others may take it only for work that is expected
// to end before at.
type reserve struct {
	job     *job
	at      time.Time
	workers map[*worker]bool
	// planned is the gang that was planned for last, also when the hall can't
	// be expected to hold it, and made when.
	planned *job
	made    time.Time
}

// reserveEvery is the least time between two plans for a reservation.
const reserveEvery = time.Second

// bars reports whether a reservation keeps a task of j off w.
func (r *reserve) bars(j *job, w *worker, now time.Time, l learnt) bool {
	if r.job == nil || r.job == j || j.spec.Class == spoolsill.ClassUrgent {
		return false
	}
	seat := r.job.spec.Shape
	if !r.workers[w] && times(seat, w.free.Sub(j.spec.Shape)) == times(seat, w.free) {
		return false
	}
	return j.spec.Kind == spoolsill.KindService || now.Add(l.runtime(&j.spec, mostly)).After(r.at)
}

func (s *State) dropReserve(j *job) {
	if s.reserve.job == j {
		s.reserve = reserve{}
		s.freed++
	}
}

// refreshReserve plans the reservation for the gang that has waited longest
// and that an empty hall could hold.
func (s *State) refreshReserve(now time.Time) {
	if s.config.NoReservation || len(s.gangs) == 0 {
		return
	}
	j := s.oldestBlockedGang()
	if j == nil {
		return
	}
	old := s.reserve
	if old.planned == j && now.Sub(old.made) < reserveEvery {
		return
	}
	s.reserve = reserve{
		planned: j,
		made:    now,
	}
	at, ok := s.planReserve(j, now)
	if !ok {
		return
	}
	if old.job == j && old.at.Before(at) {
		at = old.at
	}
	s.reserve.job = j
	s.reserve.at = at
	s.reserve.workers = s.gatherOn(j, now)
	s.freed++
}

// gatherOn returns the workers on which room is gathered for a gang: those
// with the most free, as many as hold it when each gets room for one task more
// than it has now.
func (s *State) gatherOn(j *job, now time.Time) map[*worker]bool {
	var list []*worker
	for _, w := range s.order {
		if w.known && !w.Leaving && !w.silent && w.health.takes(w, now) && j.spec.Shape.FitsIn(w.Capacity) {
			list = append(list, w)
		}
	}
	sort.SliceStable(list, func(a, b int) bool {
		return leftover(list[a], j.spec.Shape) > leftover(list[b], j.spec.Shape)
	})
	out := map[*worker]bool{}
	seats := 0
	for _, w := range list {
		if seats >= len(j.pending) {
			break
		}
		out[w] = true
		seats += times(j.spec.Shape, w.free) + 1
	}
	return out
}

func (s *State) oldestBlockedGang() *job {
	var oldest *job
	for _, j := range s.gangs {
		if j.blocked == 0 || len(j.pending) < j.live || j.why.Code != WhyGangRoom {
			continue
		}
		if oldest == nil || j.number < oldest.number {
			oldest = j
		}
	}
	return oldest
}

// A departure is the expected end of a task.
type departure struct {
	at    time.Time
	w     *worker
	shape spoolsill.Resources
}

// planReserve finds the earliest time at which all tasks of a gang are
// expected to fit. The time is kept until the gang starts: when run times were
// declared too short, a later one would let others in again and again.
// Cost: O(tasks log tasks).
func (s *State) planReserve(j *job, now time.Time) (time.Time, bool) {
	t := j.waiting()[0]
	free := map[*worker]spoolsill.Resources{}
	seats := 0
	for _, w := range s.order {
		if !w.known || w.Leaving || w.silent || !w.health.takes(w, now) || !j.spec.Shape.FitsIn(w.Capacity) {
			continue
		}
		free[w] = s.room(t, w)
		seats += times(j.spec.Shape, free[w])
	}
	at := now
	for _, d := range s.departures(free, now) {
		if seats >= len(j.pending) {
			break
		}
		before := times(j.spec.Shape, free[d.w])
		free[d.w] = free[d.w].Add(d.shape)
		seats += times(j.spec.Shape, free[d.w]) - before
		at = d.at
	}
	return at, seats >= len(j.pending)
}

// departures returns the expected ends of the tasks on some workers, in order.
func (s *State) departures(on map[*worker]spoolsill.Resources, now time.Time) []departure {
	var out []departure
	for _, w := range s.order {
		if _, ok := on[w]; !ok {
			continue
		}
		for _, t := range w.tasks {
			if t.job.spec.Kind == spoolsill.KindService {
				continue
			}
			end := t.since.Add(s.learnt.runtime(&t.job.spec, half))
			if end.Before(now) {
				end = now.Add(now.Sub(t.since))
			}
			out = append(out, departure{
				at:    end,
				w:     w,
				shape: t.job.spec.Shape,
			})
		}
	}
	sort.SliceStable(out, func(a, b int) bool {
		if !out[a].at.Equal(out[b].at) {
			return out[a].at.Before(out[b].at)
		}
		return out[a].w.index < out[b].w.index
	})
	return out
}
