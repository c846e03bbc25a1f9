package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A queue holds the waiting jobs of one team and class, oldest first.
type queue struct {
	jobs           []*job
	blockedVersion uint64 // State.capacityVersion at which no job of the queue fitted
	skip           int    // number of jobs at the front that do not fit in this round
	round          uint64
}

// classify queues j, or marks it as unschedulable if it would not fit into the
// empty hall.
func (s *State) classify(j *job) {
	if j.cancelled {
		return
	}
	if len(s.workerList) > 0 && !s.fitsSomeWorker(j) {
		s.markUnschedulable(j)
		return
	}
	if j.unschedulable {
		s.markSchedulable(j)
	}
	s.refreshQueue(j)
}

// classifyAll classifies all waiting jobs again after the workers have changed.
func (s *State) classifyAll() {
	waiting := append([]*job(nil), s.unschedulableJobs...)
	for _, t := range s.activeTeams {
		for c := range t.queues {
			waiting = append(waiting, t.queues[c].jobs...)
		}
	}
	for _, j := range waiting {
		s.classify(j)
	}
}

func (s *State) markUnschedulable(j *job) {
	j.reason = s.unschedulableReason(j)
	if j.unschedulable {
		return
	}
	s.dequeue(j)
	j.unschedulable = true
	s.unschedulableJobs = append(s.unschedulableJobs, j)
	s.replaceTaskState(j, spoolsill.TaskQueued, spoolsill.TaskUnschedulable)
}

func (s *State) markSchedulable(j *job) {
	j.unschedulable = false
	s.unschedulableJobs = removeJob(s.unschedulableJobs, j)
	s.replaceTaskState(j, spoolsill.TaskUnschedulable, spoolsill.TaskQueued)
}

// replaceTaskState sets the state of all tasks of j in state from to state to.
func (s *State) replaceTaskState(j *job, from, to spoolsill.TaskState) {
	for i := range j.tasks {
		if j.tasks[i].state == from {
			j.tasks[i].state = to
		}
	}
}

// refreshQueue adds j to its queue or removes it: it is queued while it has
// pending tasks and is neither cancelled nor unschedulable.
func (s *State) refreshQueue(j *job) {
	want := len(j.pending) > 0 && !j.cancelled && !j.unschedulable
	if want == j.queued {
		return
	}
	if !want {
		s.dequeue(j)
		return
	}
	j.queued = true
	j.blockedVersion = 0
	q := &j.team.queues[j.spec.Class]
	at := sort.Search(len(q.jobs), func(i int) bool {
		return q.jobs[i].seq > j.seq
	})
	q.jobs = append(q.jobs, nil)
	copy(q.jobs[at+1:], q.jobs[at:])
	q.jobs[at] = j
	q.blockedVersion = 0
	q.round = 0
	j.team.waitingJobs++
	s.activateTeam(j.team)
	if j.spec.Kind == spoolsill.KindGang {
		s.waitingGangs = append(s.waitingGangs, j)
	}
}

func (s *State) dequeue(j *job) {
	if j.unschedulable {
		j.unschedulable = false
		s.unschedulableJobs = removeJob(s.unschedulableJobs, j)
	}
	if !j.queued {
		return
	}
	j.queued = false
	q := &j.team.queues[j.spec.Class]
	q.jobs = removeJob(q.jobs, j)
	q.round = 0
	j.team.waitingJobs--
	if j.spec.Kind == spoolsill.KindGang {
		s.waitingGangs = removeJob(s.waitingGangs, j)
		s.dropReservation(j)
	}
}

// removeJob returns list without j. Removing the first takes constant time.
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

// activateTeam adds t to the active teams.
func (s *State) activateTeam(t *team) {
	if t.isActive {
		return
	}
	t.isActive = true
	at := sort.Search(len(s.activeTeams), func(i int) bool {
		return s.activeTeams[i].id > t.id
	})
	s.activeTeams = append(s.activeTeams, nil)
	copy(s.activeTeams[at+1:], s.activeTeams[at:])
	s.activeTeams[at] = t
}

// pruneTeams removes the teams without waiting jobs from the active teams.
func (s *State) pruneTeams() {
	kept := s.activeTeams[:0]
	for _, t := range s.activeTeams {
		if t.waitingJobs > 0 {
			kept = append(kept, t)
			continue
		}
		t.isActive = false
	}
	s.activeTeams = kept
}

// requeueReady makes tasks pending whose retry time has come.
func (s *State) requeueReady(now time.Time) {
	if len(s.tasksBackingOff) == 0 {
		return
	}
	kept := s.tasksBackingOff[:0]
	for _, t := range s.tasksBackingOff {
		switch {
		case t.state != spoolsill.TaskQueued:
		case t.retryAt.After(now):
			kept = append(kept, t)
		default:
			t.job.pending = append(t.job.pending, t.id.Index)
			t.job.blockedVersion = 0
			t.job.team.queues[t.job.spec.Class].blockedVersion = 0
			s.refreshQueue(t.job)
		}
	}
	s.tasksBackingOff = kept
}

// NextReady returns the earliest retry time of the tasks that are backing off,
// and whether there is one.
func (s *State) NextReady() (time.Time, bool) {
	var first time.Time
	for _, t := range s.tasksBackingOff {
		if first.IsZero() || t.retryAt.Before(first) {
			first = t.retryAt
		}
	}
	return first, !first.IsZero()
}

// agingPeriod is the waiting time that counts as much as using the whole hall
// in the order of teams. It prevents starvation.
const agingPeriod = 10 * time.Minute

// nextJob returns the waiting job of class c to try next, or nil. It takes the
// first job that may fit of the team with the lowest weighted dominant share,
// less an allowance for the job's waiting time.
func (s *State) nextJob(c spoolsill.Class, now time.Time) *job {
	var best *job
	var bestRank float64
	for _, t := range s.activeTeams {
		j := t.queues[c].firstUnblocked(s, now)
		if j == nil {
			continue
		}
		r := s.teamRank(t, j, now)
		if best == nil || r < bestRank {
			best = j
			bestRank = r
		}
	}
	return best
}

// teamRank returns the rank of t, whose next job is j, in the order of teams. The
// lowest rank goes first.
func (s *State) teamRank(t *team, j *job, now time.Time) float64 {
	used := t.used.DominantShare(s.total) / float64(t.weight)
	age := float64(now.Sub(j.added)) / float64(agingPeriod)
	return used - age
}

// firstUnblocked returns the next job of q that has not failed to fit since
// capacityVersion last changed, or nil.
func (q *queue) firstUnblocked(s *State, now time.Time) *job {
	if len(q.jobs) == 0 || q.blockedVersion == s.capacityVersion {
		return nil
	}
	if q.round != s.round {
		q.round = s.round
		q.skip = 0
	}
	for q.skip < len(q.jobs) && q.jobs[q.skip].blockedVersion == s.capacityVersion {
		q.skip++
	}
	if q.skip == len(q.jobs) {
		q.blockedVersion = s.capacityVersion
		return nil
	}
	return q.largestJob(s, now)
}

// lookaheadJobs is how many waiting jobs of class Patient of a team are compared
// by size: the largest tasks are tried first, since small ones still fit
// afterwards.
const lookaheadJobs = 16

// maxReorderAge is the waiting time above which a job is tried before larger
// ones that were queued later.
const maxReorderAge = 2 * time.Minute

// largestJob returns the job with the largest tasks among the next few jobs of
// class Patient. For other classes it returns the oldest.
func (q *queue) largestJob(s *State, now time.Time) *job {
	best := q.jobs[q.skip]
	if best.spec.Class != spoolsill.ClassPatient || now.Sub(best.added) > maxReorderAge {
		return best
	}
	size := best.spec.Shape.DominantShare(s.total)
	for _, j := range q.jobs[q.skip:min(len(q.jobs), q.skip+lookaheadJobs)] {
		if j.blockedVersion == s.capacityVersion {
			continue
		}
		if x := j.spec.Shape.DominantShare(s.total); x > size {
			best, size = j, x
		}
	}
	return best
}
