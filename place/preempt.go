package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// promiseTime is how long room that was made is kept for the task that it was
// made for.
const promiseTime = 15 * time.Second

// A room is what makes space for a task on one worker.
type room struct {
	w       *worker
	victims []*task
	worth   int
	lost    time.Duration
}

// less orders rooms: the least worth is lost first, then the least work.
func (r room) less(o room) bool {
	if r.worth != o.worth {
		return r.worth < o.worth
	}
	return r.lost < o.lost
}

// makeRoom has patient work checkpointed for tasks of one job that do not
// fit. Urgent work may take the room of any patient task, other work only the
// room of patient tasks that pass their team's quota. Each task gets a
// promise of its room. Either all tasks get one or none.
func (d *decider) makeRoom(tasks []*task) {
	s := d.state
	j := tasks[0].job
	if s.config.NoPreemption || j.spec.Class == spoolsill.ClassPatient {
		return
	}
	var rooms []room
	var promised []*task
	taken := map[*task]bool{}
	for _, t := range tasks {
		if t.target != nil {
			continue
		}
		r, ok := d.findRoom(t, taken)
		if !ok {
			d.withdraw(promised)
			return
		}
		for _, v := range r.victims {
			taken[v] = true
		}
		d.promise(t, r.w)
		promised = append(promised, t)
		rooms = append(rooms, r)
	}
	for _, r := range rooms {
		d.checkpoint(r)
	}
	if len(rooms) > 0 {
		j.why.Code = WhyMakingRoom
		j.why.Worker = rooms[0].w.ID
	}
}

// roomEvery is the least time between two searches for room for one gang.
const roomEvery = 250 * time.Millisecond

// roomForGang makes room for a gang: at once for an urgent one, for another
// after it has waited for a while. Room that is gathered piece by piece comes
// slowly when the hall is full, and holds up others meanwhile.
func (d *decider) roomForGang(j *job) {
	if d.state.config.NoPreemption || (j.spec.Class != spoolsill.ClassUrgent && !d.patienceOver(j)) {
		return
	}
	if j.promised() || d.now.Sub(j.roomSought) < roomEvery {
		return
	}
	j.roomSought = d.now
	var seats []room
	for _, w := range d.state.order {
		seats = append(seats, d.gangSeats(j, w)...)
	}
	sort.SliceStable(seats, func(a, b int) bool { return seats[a].less(seats[b]) })
	tasks := j.waiting()
	if len(seats) < len(tasks) {
		return
	}
	for i, t := range tasks {
		d.promise(t, seats[i].w)
		d.checkpoint(seats[i])
	}
	j.why.Code = WhyMakingRoom
	j.why.Worker = seats[0].w.ID
}

// promised reports whether room is being made for j.
func (j *job) promised() bool {
	for _, i := range j.pending {
		if j.tasks[i].target != nil {
			return true
		}
	}
	return false
}

// gangSeats returns the room for each further task of a gang on w, with the
// victims that each costs, the cheapest first.
func (d *decider) gangSeats(j *job, w *worker) []room {
	t := j.waiting()[0]
	if !d.mayMakeRoom(t, w) || anyAvoids(j.waiting(), w) {
		return nil
	}
	free := d.state.room(t, w).Add(leavingRoom(w))
	victims := d.victims(t, w, nil)
	var out []room
	for range j.pending {
		r := room{
			w: w,
		}
		for !j.spec.Shape.FitsIn(free) {
			if len(victims) == 0 {
				return out
			}
			v := victims[0]
			victims = victims[1:]
			free = free.Add(v.job.spec.Shape)
			r.add(v, d.now)
		}
		free = free.Sub(j.spec.Shape)
		out = append(out, r)
	}
	return out
}

// leavingRoom returns what the tasks that are leaving w hold.
func leavingRoom(w *worker) spoolsill.Resources {
	var sum spoolsill.Resources
	for _, v := range w.tasks {
		if v.state == spoolsill.TaskCheckpointing || v.state == spoolsill.TaskStopping {
			sum = sum.Add(v.job.spec.Shape)
		}
	}
	return sum
}

// add counts one more victim.
func (r *room) add(v *task, now time.Time) {
	r.victims = append(r.victims, v)
	r.worth += v.job.spec.Worth
	r.lost += now.Sub(v.since)
}

func (d *decider) checkpoint(r room) {
	for _, v := range r.victims {
		d.add(Record{
			Kind:    TaskCheckpointing,
			At:      d.now.UnixMicro(),
			Task:    v.id,
			Worker:  r.w.ID,
			Attempt: v.attempt,
			Cause:   CausePreempted,
		})
	}
}

func (d *decider) patienceOver(j *job) bool {
	p := d.state.config.GangPatience
	return p > 0 && j.spec.Kind == spoolsill.KindGang && j.spec.Class == spoolsill.ClassNormal && d.now.Sub(j.added) >= p
}

func (d *decider) promise(t *task, w *worker) {
	t.target = w
	t.until = d.now.Add(promiseTime)
	w.promised = w.promised.Add(t.job.spec.Shape)
	d.state.promised = append(d.state.promised, t)
}

func (d *decider) withdraw(promised []*task) {
	for _, t := range promised {
		d.state.dropTarget(t)
	}
}

// dropTarget takes back the promise of room for t.
func (s *State) dropTarget(t *task) {
	if t.target == nil {
		return
	}
	t.target.promised = t.target.promised.Sub(t.job.spec.Shape)
	t.target = nil
	for i, x := range s.promised {
		if x == t {
			s.promised = append(s.promised[:i], s.promised[i+1:]...)
			break
		}
	}
	s.freed++
}

func (s *State) dropOldTargets(now time.Time) {
	for i := len(s.promised) - 1; i >= 0; i-- {
		t := s.promised[i]
		if now.After(t.until) {
			s.dropTarget(t)
		}
	}
}

// findRoom returns the room for t that costs the least.
func (d *decider) findRoom(t *task, taken map[*task]bool) (room, bool) {
	if d.rooms >= maxRooms {
		return room{}, false
	}
	d.rooms++
	var best room
	found := false
	for _, w := range d.state.order {
		if !d.mayMakeRoom(t, w) {
			continue
		}
		r, ok := d.roomOn(t, w, taken)
		if ok && (!found || r.less(best)) {
			best = r
			found = true
		}
	}
	return best, found
}

func (d *decider) mayMakeRoom(t *task, w *worker) bool {
	return w.known && !w.Leaving && !w.silent &&
		w.health.takes(w, d.now) &&
		!t.avoids(w) &&
		!d.state.reserve.bars(t.job, w, d.now, d.state.learnt) &&
		t.job.spec.Shape.FitsIn(w.Capacity)
}

// roomOn returns the least worthy tasks of w whose end makes room for t.
func (d *decider) roomOn(t *task, w *worker, taken map[*task]bool) (room, bool) {
	r := room{
		w: w,
	}
	free := d.state.room(t, w)
	for v := range taken {
		if v.worker == w {
			free = free.Add(v.job.spec.Shape)
		}
	}
	free = free.Add(leavingRoom(w))
	for _, v := range d.victims(t, w, taken) {
		if t.job.spec.Shape.FitsIn(free) {
			break
		}
		free = free.Add(v.job.spec.Shape)
		r.add(v, d.now)
	}
	return r, t.job.spec.Shape.FitsIn(free)
}

// victims returns the tasks of w that may be preempted for t, least worth
// first, then those that ran the shortest.
func (d *decider) victims(t *task, w *worker, taken map[*task]bool) []*task {
	var out []*task
	for _, v := range w.tasks {
		if !taken[v] && d.preemptible(t.job, v) {
			out = append(out, v)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		if x.job.spec.Worth != y.job.spec.Worth {
			return x.job.spec.Worth < y.job.spec.Worth
		}
		if !x.since.Equal(y.since) {
			return x.since.After(y.since)
		}
		return x.id.String() < y.id.String()
	})
	return out
}

// preemptible reports whether v may be checkpointed for work of j. Work that
// can't be repeated and the tasks of a gang never are.
func (d *decider) preemptible(j *job, v *task) bool {
	p := &v.job.spec
	if v.state != spoolsill.TaskRunning || p.Class != spoolsill.ClassPatient || p.Unrepeatable || p.Kind == spoolsill.KindGang {
		return false
	}
	return j.spec.Class == spoolsill.ClassUrgent || d.patienceOver(j) || v.job.team.overQuota()
}
