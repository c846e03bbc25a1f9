package place

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Decide starts all waiting work that it can at time now, urgent work first,
// and makes room for urgent work that does not fit. It returns the records of
// what it decided, already applied. At most Config.Decisions records come
// from one call; full tells that there may be more.
func (s *State) Decide(now time.Time) (records []Record, full bool) {
	s.round++
	s.wake(now)
	s.dropOldTargets(now)
	s.refreshReserve(now)
	d := decider{
		state: s,
		now:   now,
	}
	for c := spoolsill.ClassUrgent; c <= spoolsill.ClassPatient; c++ {
		d.class(c)
	}
	s.trimTeams()
	return d.records, d.full()
}

// A decider collects the records of one call of [State.Decide].
type decider struct {
	state   *State
	now     time.Time
	records []Record
	rooms   int // searches for room made
}

// maxRooms bounds the searches for room in one Decide call: each looks at all
// tasks of the hall.
const maxRooms = 16

func (d *decider) full() bool {
	return len(d.records) >= d.state.config.Decisions
}

func (d *decider) class(c spoolsill.Class) {
	for !d.full() {
		j := d.state.nextJob(c, d.now)
		if j == nil {
			return
		}
		if d.start(j) {
			continue
		}
		j.blocked = d.state.freed
	}
}

// start places the next task of j, or all tasks of a gang. It reports whether
// it placed any.
func (d *decider) start(j *job) bool {
	if y, ok := d.state.quotaAllows(j); !ok {
		j.why = y
		return false
	}
	if j.spec.Kind == spoolsill.KindGang {
		return d.startGang(j)
	}
	if d.startPromised(j) {
		return true
	}
	if d.startOne(j) {
		return true
	}
	for _, i := range j.pending[:min(len(j.pending), maxRooms)] {
		d.makeRoom([]*task{&j.tasks[i]})
	}
	return false
}

// startOne places the first waiting task of j that fits. Tasks of a job differ
// only in the workers that they avoid: when one that avoids none does not fit,
// no other does.
func (d *decider) startOne(j *job) bool {
	for _, i := range j.pending[:min(len(j.pending), maxRooms)] {
		t := &j.tasks[i]
		w, y := d.state.pick(t, d.now)
		j.why = y
		if w != nil {
			d.add(d.state.placed(t, w, d.now, CauseFits))
			return true
		}
		if len(t.avoid) == 0 {
			return false
		}
	}
	return false
}

// startPromised places a task of j whose room has been made.
func (d *decider) startPromised(j *job) bool {
	for _, t := range d.state.promised {
		if t.job != j || d.state.obstacle(t, t.target, d.now) != obstacleNone {
			continue
		}
		j.why = Why{
			Code:   WhyFits,
			Worker: t.target.ID,
		}
		d.add(d.state.placed(t, t.target, d.now, CauseFits))
		return true
	}
	return false
}

func (d *decider) add(r Record) {
	mustApply(d.state, r)
	d.records = append(d.records, r)
}

// mustApply applies a record that this package made itself from the state.
// That it does not fit is a broken invariant.
func mustApply(s *State, r Record) {
	if err := s.Apply(r); err != nil {
		panic(err)
	}
}

func (s *State) placed(t *task, w *worker, now time.Time, c Cause) Record {
	return Record{
		Kind:    TaskPlaced,
		At:      now.UnixMicro(),
		Task:    t.id,
		Worker:  w.ID,
		Attempt: t.attempt + 1,
		Cause:   c,
	}
}

// quotaAllows reports whether the team's quota has room for the next task of
// j, or for all of a gang. Patient work may pass the quota while the hall has
// room; recall takes it back.
func (s *State) quotaAllows(j *job) (Why, bool) {
	q := j.team.quota
	if !j.team.limited || j.spec.Class == spoolsill.ClassPatient {
		return Why{}, true
	}
	need := j.spec.Shape
	if j.spec.Kind == spoolsill.KindGang {
		need = need.Times(len(j.pending))
	}
	left := q.Sub(j.team.used)
	if need.FitsIn(left) {
		return Why{}, true
	}
	return Why{
		Code: WhyQuota,
		Have: left,
	}, false
}

func (t *team) overQuota() bool {
	return t.limited && !t.used.FitsIn(t.quota)
}
