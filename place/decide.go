package place

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Decide places all waiting tasks that can be placed at time now, urgent jobs
// first, and preempts tasks for jobs that do not fit and may preempt. It
// returns the records of its decisions, already applied. A call stops when it
// has Config.Decisions records; full reports that there may be more to decide.
func (s *State) Decide(now time.Time) (records []Record, full bool) {
	s.round++
	s.requeueReady(now)
	s.expireNominations(now)
	s.refreshReservation(now)
	d := decider{
		state: s,
		now:   now,
	}
	for c := spoolsill.ClassUrgent; c <= spoolsill.ClassPatient; c++ {
		d.startClass(c)
	}
	s.pruneTeams()
	return d.records, d.full()
}

// A decider collects the records of one call to [State.Decide].
type decider struct {
	state              *State
	now                time.Time
	records            []Record
	preemptionSearches int // searches made so far
}

// maxPreemptionSearches bounds the searches for tasks to preempt in one Decide
// call, since each looks at all tasks of the hall. It also bounds the pending
// tasks of a job that are tried one by one.
const maxPreemptionSearches = 16

func (d *decider) full() bool {
	return len(d.records) >= d.state.config.Decisions
}

// startClass starts jobs of class c until none that is left fits or the call has
// all the records that it may have.
func (d *decider) startClass(c spoolsill.Class) {
	for !d.full() {
		j := d.state.nextJob(c, d.now)
		if j == nil {
			return
		}
		if d.startJob(j) {
			continue
		}
		j.blockedVersion = d.state.capacityVersion
	}
}

// startJob places the next task of j, or all tasks if j is a gang. It reports
// whether it placed any.
func (d *decider) startJob(j *job) bool {
	if quotaReason, ok := d.state.quotaAllows(j); !ok {
		j.reason = quotaReason
		return false
	}
	if j.spec.Kind == spoolsill.KindGang {
		return d.startGang(j)
	}
	if d.startNominated(j) {
		return true
	}
	if d.startOne(j) {
		return true
	}
	for _, i := range j.pending[:min(len(j.pending), maxPreemptionSearches)] {
		d.preemptFor([]*task{&j.tasks[i]})
	}
	return false
}

// startOne places the first pending task of j that fits. The tasks of a job
// differ only in the workers that they avoid, so if one that avoids none does
// not fit, no other does.
func (d *decider) startOne(j *job) bool {
	for _, i := range j.pending[:min(len(j.pending), maxPreemptionSearches)] {
		t := &j.tasks[i]
		w, fitReason := d.state.pickWorker(t, d.now)
		j.reason = fitReason
		if w != nil {
			d.add(d.state.placementRecord(t, w, d.now, CauseFits))
			return true
		}
		if len(t.avoided) == 0 {
			return false
		}
	}
	return false
}

// startNominated places a task of j on its nominated worker if the preempted
// tasks have left it.
func (d *decider) startNominated(j *job) bool {
	for _, t := range d.state.nominatedTasks {
		if t.job != j || d.state.exclusion(t, t.nominatedWorker, d.now) != exclusionNone {
			continue
		}
		j.reason = Reason{
			Code:   ReasonFits,
			Worker: t.nominatedWorker.ID,
		}
		d.add(d.state.placementRecord(t, t.nominatedWorker, d.now, CauseFits))
		return true
	}
	return false
}

func (d *decider) add(r Record) {
	mustApply(d.state, r)
	d.records = append(d.records, r)
}

// mustApply applies a record that was made from the same state. It panics on an
// error, which means that an invariant is violated.
func mustApply(s *State, r Record) {
	if err := s.Apply(r); err != nil {
		panic(err)
	}
}

func (s *State) placementRecord(t *task, w *worker, now time.Time, c Cause) Record {
	return Record{
		Kind:    TaskPlaced,
		At:      now.UnixMicro(),
		Task:    t.id,
		Worker:  w.ID,
		Attempt: t.attempt + 1,
		Cause:   c,
	}
}

// quotaAllows reports whether the team's quota allows the next task of j, or
// all pending tasks if j is a gang, and the reason if it does not. Jobs of class
// Patient may exceed the quota while the hall has free capacity; see
// [decider.preemptible] for how it is reclaimed.
func (s *State) quotaAllows(j *job) (Reason, bool) {
	q := j.team.quota
	if !j.team.limited || j.spec.Class == spoolsill.ClassPatient {
		return Reason{}, true
	}
	need := j.spec.Shape
	if j.spec.Kind == spoolsill.KindGang {
		need = need.Times(len(j.pending))
	}
	left := q.Sub(j.team.used)
	if need.FitsIn(left) {
		return Reason{}, true
	}
	return Reason{
		Code: ReasonQuota,
		Have: left,
	}, false
}

func (t *team) overQuota() bool {
	return t.limited && !t.used.FitsIn(t.quota)
}
