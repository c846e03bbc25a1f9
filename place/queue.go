package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A queue holds the waiting jobs of one team and class, oldest first.
type queue struct {
	jobs    []*job
	blocked uint64 // the value of State.freed at which none of jobs fitted
	skip    int    // jobs from the front that do not fit in this round
	round   uint64
}

// judge puts j into its queue, or among the jobs that can never run.
func (s *State) judge(j *job) {
	if j.cancelled {
		return
	}
	if len(s.order) > 0 && !s.fitsSomeWorker(j) {
		s.markNever(j)
		return
	}
	if j.never {
		s.unmarkNever(j)
	}
	s.refreshQueue(j)
}

// judgeNever judges every waiting job again after the workers have changed.
func (s *State) judgeNever() {
	waiting := append([]*job(nil), s.never...)
	for _, t := range s.active {
		for c := range t.queues {
			waiting = append(waiting, t.queues[c].jobs...)
		}
	}
	for _, j := range waiting {
		s.judge(j)
	}
}

func (s *State) markNever(j *job) {
	j.why = s.largestMiss(j)
	if j.never {
		return
	}
	s.dequeue(j)
	j.never = true
	s.never = append(s.never, j)
	s.relabel(j, spoolsill.TaskQueued, spoolsill.TaskUnschedulable)
}

func (s *State) unmarkNever(j *job) {
	j.never = false
	s.never = removeJob(s.never, j)
	s.relabel(j, spoolsill.TaskUnschedulable, spoolsill.TaskQueued)
}

func (s *State) relabel(j *job, from, to spoolsill.TaskState) {
	for i := range j.tasks {
		if j.tasks[i].state == from {
			j.tasks[i].state = to
		}
	}
}

// refreshQueue makes j stand in its queue exactly while it has waiting tasks.
func (s *State) refreshQueue(j *job) {
	want := len(j.pending) > 0 && !j.cancelled && !j.never
	if want == j.inQueue {
		return
	}
	if !want {
		s.dequeue(j)
		return
	}
	j.inQueue = true
	j.blocked = 0
	q := &j.team.queues[j.spec.Class]
	at := sort.Search(len(q.jobs), func(i int) bool {
		return q.jobs[i].number > j.number
	})
	q.jobs = append(q.jobs, nil)
	copy(q.jobs[at+1:], q.jobs[at:])
	q.jobs[at] = j
	q.blocked = 0
	q.round = 0
	j.team.queued++
	s.listTeam(j.team)
	if j.spec.Kind == spoolsill.KindGang {
		s.gangs = append(s.gangs, j)
	}
}

func (s *State) dequeue(j *job) {
	if j.never {
		j.never = false
		s.never = removeJob(s.never, j)
	}
	if !j.inQueue {
		return
	}
	j.inQueue = false
	q := &j.team.queues[j.spec.Class]
	q.jobs = removeJob(q.jobs, j)
	q.round = 0
	j.team.queued--
	if j.spec.Kind == spoolsill.KindGang {
		s.gangs = removeJob(s.gangs, j)
		s.dropReserve(j)
	}
}

// removeJob returns list without j. Taking the first is cheap.
func removeJob(list []*job, j *job) []*job {
	for i, x := range list {
		if x != j {
			continue
		}
		if i == 0 {
			list[0] = nil
			return list[1:]
		}
		return append(list[:i], list[i+1:]...)
	}
	return list
}

// listTeam puts t among the active teams.
func (s *State) listTeam(t *team) {
	if t.listed {
		return
	}
	t.listed = true
	at := sort.Search(len(s.active), func(i int) bool {
		return s.active[i].id > t.id
	})
	s.active = append(s.active, nil)
	copy(s.active[at+1:], s.active[at:])
	s.active[at] = t
}

// trimTeams takes teams without waiting jobs off the list.
func (s *State) trimTeams() {
	kept := s.active[:0]
	for _, t := range s.active {
		if t.queued > 0 {
			kept = append(kept, t)
			continue
		}
		t.listed = false
	}
	s.active = kept
}

// wake moves requeued tasks that have become ready back to their jobs.
func (s *State) wake(now time.Time) {
	if len(s.delayed) == 0 {
		return
	}
	kept := s.delayed[:0]
	for _, t := range s.delayed {
		switch {
		case t.state != spoolsill.TaskQueued:
		case t.ready.After(now):
			kept = append(kept, t)
		default:
			t.job.pending = append(t.job.pending, t.id.Index)
			t.job.blocked = 0
			t.job.team.queues[t.job.spec.Class].blocked = 0
			s.refreshQueue(t.job)
		}
	}
	s.delayed = kept
}

// NextReady returns when the next requeued task becomes ready.
func (s *State) NextReady() (time.Time, bool) {
	var first time.Time
	for _, t := range s.delayed {
		if first.IsZero() || t.ready.Before(first) {
			first = t.ready
		}
	}
	return first, !first.IsZero()
}

// agePerShare is the waiting time that weighs as much as the whole hall in
// the order of teams, so that nobody waits without end.
const agePerShare = 10 * time.Minute

// nextJob returns the waiting job of class c that is to be tried next in this
// round, or nil: the oldest job that may fit, of the team that uses the least
// for its weight, with the waiting time counted in its favour.
func (s *State) nextJob(c spoolsill.Class, now time.Time) *job {
	var best *job
	var bestRank float64
	for _, t := range s.active {
		j := t.queues[c].next(s, now)
		if j == nil {
			continue
		}
		r := s.rank(t, j, now)
		if best == nil || r < bestRank {
			best = j
			bestRank = r
		}
	}
	return best
}

func (s *State) rank(t *team, j *job, now time.Time) float64 {
	used := t.used.DominantShare(s.total) / float64(t.weight)
	age := float64(now.Sub(j.added)) / float64(agePerShare)
	return used - age
}

// next returns the first job of q that has not failed to fit since capacity
// was last freed.
func (q *queue) next(s *State, now time.Time) *job {
	if len(q.jobs) == 0 || q.blocked == s.freed {
		return nil
	}
	if q.round != s.round {
		q.round = s.round
		q.skip = 0
	}
	for q.skip < len(q.jobs) && q.jobs[q.skip].blocked == s.freed {
		q.skip++
	}
	if q.skip == len(q.jobs) {
		q.blocked = s.freed
		return nil
	}
	return q.largest(s, now)
}

// lookahead is how many waiting patient jobs of a team may change places: the
// largest tasks are tried first, since what is small still fits afterwards.
const lookahead = 16

// oldestFirst is the waiting time from which a job is tried before larger ones.
const oldestFirst = 2 * time.Minute

// largest returns the job with the largest tasks among the next few patient
// jobs; of other work it returns the oldest.
func (q *queue) largest(s *State, now time.Time) *job {
	best := q.jobs[q.skip]
	if best.spec.Class != spoolsill.ClassPatient || now.Sub(best.added) > oldestFirst {
		return best
	}
	size := best.spec.Shape.DominantShare(s.total)
	for _, j := range q.jobs[q.skip:min(len(q.jobs), q.skip+lookahead)] {
		if j.blocked == s.freed {
			continue
		}
		if x := j.spec.Shape.DominantShare(s.total); x > size {
			best, size = j, x
		}
	}
	return best
}
