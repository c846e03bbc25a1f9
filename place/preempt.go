package place

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// nominationTTL is how long capacity on the nominated worker is held for a
// task.
const nominationTTL = 15 * time.Second

// A preemption is a set of tasks to checkpoint on one worker so that another
// task fits.
type preemption struct {
	onWorker  *worker
	victims   []*task
	lostWorth int
	lostTime  time.Duration
}

// less orders preemptions by the worth of the victims, then by the run time
// that is lost.
func (p preemption) less(o preemption) bool {
	if p.lostWorth != o.lostWorth {
		return p.lostWorth < o.lostWorth
	}
	return p.lostTime < o.lostTime
}

// preemptFor preempts tasks of class Patient for tasks of one job that do not
// fit, and nominates a worker for each. Urgent jobs may preempt any such task,
// others only those of teams that are over their quota. Either all tasks get a
// nominated worker or none.
func (d *decider) preemptFor(tasks []*task) {
	s := d.state
	j := tasks[0].job
	if s.config.NoPreemption || j.spec.Class == spoolsill.ClassPatient {
		return
	}
	var preemptions []preemption
	var nominated []*task
	taken := map[*task]bool{}
	for _, t := range tasks {
		if t.nominatedWorker != nil {
			continue
		}
		p, ok := d.findPreemption(t, taken)
		if !ok {
			d.withdrawNominations(nominated)
			return
		}
		for _, v := range p.victims {
			taken[v] = true
		}
		d.nominate(t, p.onWorker)
		nominated = append(nominated, t)
		preemptions = append(preemptions, p)
	}
	for _, p := range preemptions {
		d.checkpoint(p)
	}
	if len(preemptions) > 0 {
		j.reason.Code = ReasonPreempting
		j.reason.Worker = preemptions[0].onWorker.ID
	}
}

// gangPreemptionInterval is the minimum time between two searches for tasks to
// preempt for the same gang.
const gangPreemptionInterval = 250 * time.Millisecond

// preemptForGang preempts tasks for all tasks of a gang at once: immediately for
// class Urgent, after Config.GangPatience for class Normal. The reservation alone
// gathers capacity slowly in a full hall, and delays other jobs meanwhile.
func (d *decider) preemptForGang(j *job) {
	if d.state.config.NoPreemption || (j.spec.Class != spoolsill.ClassUrgent && !d.gangPatienceOver(j)) {
		return
	}
	if j.hasNomination() || d.now.Sub(j.preemptionTriedAt) < gangPreemptionInterval {
		return
	}
	j.preemptionTriedAt = d.now
	var preemptions []preemption
	for _, w := range d.state.workerList {
		preemptions = append(preemptions, d.gangPreemptions(j, w)...)
	}
	sort.SliceStable(preemptions, func(a, b int) bool { return preemptions[a].less(preemptions[b]) })
	tasks := j.waitingTasks()
	if len(preemptions) < len(tasks) {
		return
	}
	for i, t := range tasks {
		d.nominate(t, preemptions[i].onWorker)
		d.checkpoint(preemptions[i])
	}
	j.reason.Code = ReasonPreempting
	j.reason.Worker = preemptions[0].onWorker.ID
}

// hasNomination reports whether a task of j has a nominated worker.
func (j *job) hasNomination() bool {
	for _, i := range j.pending {
		if j.tasks[i].nominatedWorker != nil {
			return true
		}
	}
	return false
}

// gangPreemptions returns a preemption for each task of a gang that could be
// placed on w, with the victims that it needs, cheapest first.
func (d *decider) gangPreemptions(j *job, w *worker) []preemption {
	t := j.waitingTasks()[0]
	if !d.mayPreemptOn(t, w) || anyAvoids(j.waitingTasks(), w) {
		return nil
	}
	free := d.state.availableFor(t, w).Add(releasingCapacity(w))
	victims := d.victims(t, w, nil)
	var out []preemption
	for range j.pending {
		p := preemption{
			onWorker: w,
		}
		for !j.spec.Shape.FitsIn(free) {
			if len(victims) == 0 {
				return out
			}
			v := victims[0]
			victims = victims[1:]
			free = free.Add(v.job.spec.Shape)
			p.add(v, d.now)
		}
		free = free.Sub(j.spec.Shape)
		out = append(out, p)
	}
	return out
}

// releasingCapacity returns the capacity held by tasks of w that are being
// checkpointed or stopped.
func releasingCapacity(w *worker) spoolsill.Resources {
	var sum spoolsill.Resources
	for _, v := range w.tasks {
		if v.state == spoolsill.TaskCheckpointing || v.state == spoolsill.TaskStopping {
			sum = sum.Add(v.job.spec.Shape)
		}
	}
	return sum
}

// add adds a victim.
func (p *preemption) add(v *task, now time.Time) {
	p.victims = append(p.victims, v)
	p.lostWorth += v.job.spec.Worth
	p.lostTime += now.Sub(v.stateSince)
}

func (d *decider) checkpoint(p preemption) {
	for _, v := range p.victims {
		d.add(Record{
			Kind:    TaskCheckpointing,
			At:      d.now.UnixMicro(),
			Task:    v.id,
			Worker:  p.onWorker.ID,
			Attempt: v.attempt,
			Cause:   CausePreempted,
		})
	}
}

func (d *decider) gangPatienceOver(j *job) bool {
	p := d.state.config.GangPatience
	return p > 0 && j.spec.Kind == spoolsill.KindGang && j.spec.Class == spoolsill.ClassNormal && d.now.Sub(j.added) >= p
}

func (d *decider) nominate(t *task, w *worker) {
	t.nominatedWorker = w
	t.nominationExpiry = d.now.Add(nominationTTL)
	w.nominatedCapacity = w.nominatedCapacity.Add(t.job.spec.Shape)
	d.state.nominatedTasks = append(d.state.nominatedTasks, t)
}

func (d *decider) withdrawNominations(tasks []*task) {
	for _, t := range tasks {
		d.state.clearNomination(t)
	}
}

// clearNomination releases the capacity held for t on its nominated worker.
func (s *State) clearNomination(t *task) {
	if t.nominatedWorker == nil {
		return
	}
	t.nominatedWorker.nominatedCapacity = t.nominatedWorker.nominatedCapacity.Sub(t.job.spec.Shape)
	t.nominatedWorker = nil
	for i, x := range s.nominatedTasks {
		if x == t {
			s.nominatedTasks = append(s.nominatedTasks[:i], s.nominatedTasks[i+1:]...)
			break
		}
	}
	s.capacityVersion++
}

func (s *State) expireNominations(now time.Time) {
	for i := len(s.nominatedTasks) - 1; i >= 0; i-- {
		t := s.nominatedTasks[i]
		if now.After(t.nominationExpiry) {
			s.clearNomination(t)
		}
	}
}

// findPreemption returns the cheapest preemption that makes t fit on a worker.
func (d *decider) findPreemption(t *task, taken map[*task]bool) (preemption, bool) {
	if d.preemptionSearches >= maxPreemptionSearches {
		return preemption{}, false
	}
	d.preemptionSearches++
	var best preemption
	found := false
	for _, w := range d.state.workerList {
		if !d.mayPreemptOn(t, w) {
			continue
		}
		p, ok := d.preemptionOn(t, w, taken)
		if ok && (!found || p.less(best)) {
			best = p
			found = true
		}
	}
	return best, found
}

// mayPreemptOn reports whether t could be placed on w if enough tasks left it.
func (d *decider) mayPreemptOn(t *task, w *worker) bool {
	return w.listed && !w.Leaving && !w.unresponsive &&
		w.health.available(w, d.now) &&
		!t.avoids(w) &&
		!d.state.reservation.blocks(t.job, w, d.now, d.state.runtimes) &&
		t.job.spec.Shape.FitsIn(w.Capacity)
}

// preemptionOn returns the preemption on w that makes t fit, and whether there
// is one. Tasks in taken are victims of an earlier preemption.
func (d *decider) preemptionOn(t *task, w *worker, taken map[*task]bool) (preemption, bool) {
	p := preemption{
		onWorker: w,
	}
	free := d.state.availableFor(t, w)
	for v := range taken {
		if v.worker == w {
			free = free.Add(v.job.spec.Shape)
		}
	}
	free = free.Add(releasingCapacity(w))
	for _, v := range d.victims(t, w, taken) {
		if t.job.spec.Shape.FitsIn(free) {
			break
		}
		free = free.Add(v.job.spec.Shape)
		p.add(v, d.now)
	}
	return p, t.job.spec.Shape.FitsIn(free)
}

// victims returns the tasks of w that may be preempted for t, except those in
// taken, ordered by worth and then by run time, least first.
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
		if !x.stateSince.Equal(y.stateSince) {
			return x.stateSince.After(y.stateSince)
		}
		return x.id.String() < y.id.String()
	})
	return out
}

// preemptible reports whether v may be checkpointed for a task of j. It must be a
// running, repeatable task of class Patient that is not part of a gang. Jobs of
// class Urgent, and gangs of class Normal after Config.GangPatience, may preempt
// any such task; other jobs only those of teams that are over their quota.
func (d *decider) preemptible(j *job, v *task) bool {
	p := &v.job.spec
	if v.state != spoolsill.TaskRunning || p.Class != spoolsill.ClassPatient || p.Unrepeatable || p.Kind == spoolsill.KindGang {
		return false
	}
	return j.spec.Class == spoolsill.ClassUrgent || d.gangPatienceOver(j) || v.job.team.overQuota()
}
