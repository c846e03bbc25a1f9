package place

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Fate is what became of a task on its worker.
type Fate int

// The fates of a task.
const (
	Started      Fate = iota // the worker confirmed the start
	Exited                   // it ran to its end
	Failed                   // it ran and failed
	Checkpointed             // it was checkpointed and stopped
	Stopped                  // it was stopped
	Refused                  // the worker did not take the start: it did not run
	Missing                  // the worker knows nothing of it
	Lost                     // every lease on it has lapsed: it runs no longer
	Expired                  // its lease ended, and so did it
)

// A Report says what became of one start of a task.
type Report struct {
	Task    spoolsill.TaskID
	Attempt spoolsill.Attempt
	Fate    Fate
}

// Report takes in what became of a task and returns the records of it,
// already applied. A report on an earlier attempt, or on a task that holds no
// worker, gives none.
func (s *State) Report(now time.Time, p Report) []Record {
	t := s.task(p.Task)
	if t == nil || !t.state.HoldsCapacity() || t.attempt != p.Attempt {
		return nil
	}
	r := s.settle(t, p.Fate, now)
	if r.Kind == 0 {
		return nil
	}
	mustApply(s, r)
	records := []Record{r}
	if t.job.spec.Kind == spoolsill.KindGang && r.Kind == TaskRequeued {
		records = append(records, s.stopPartners(t, now)...)
	}
	return records
}

// settle returns the record that follows from a fate, or one of kind 0 when
// nothing follows.
func (s *State) settle(t *task, f Fate, now time.Time) Record {
	switch f {
	case Started:
		if t.state != spoolsill.TaskPlaced {
			return Record{}
		}
		return s.record(TaskRunning, t, now, CauseNone)
	case Exited:
		return s.exited(t, now)
	case Failed:
		return s.failed(t, now, CauseFailed)
	case Refused:
		return s.failed(t, now, CauseRefused)
	case Checkpointed, Stopped:
		return s.stopped(t, now)
	case Missing:
		return s.vanished(t, now, CauseNotThere)
	case Expired:
		return s.vanished(t, now, CauseExpired)
	default:
		return s.vanished(t, now, CauseWorkerLost)
	}
}

func (s *State) record(k RecordKind, t *task, now time.Time, c Cause) Record {
	r := Record{
		Kind:    k,
		At:      now.UnixMicro(),
		Task:    t.id,
		Attempt: t.attempt,
		Cause:   c,
	}
	if t.worker != nil {
		r.Worker = t.worker.ID
	}
	return r
}

func (s *State) ended(t *task, now time.Time, state spoolsill.TaskState, c Cause) Record {
	r := s.record(TaskEnded, t, now, c)
	r.State = state
	return r
}

func (s *State) requeued(t *task, now time.Time, wait time.Duration, c Cause) Record {
	r := s.record(TaskRequeued, t, now, c)
	r.Ready = now.Add(wait).UnixMicro()
	return r
}

func (s *State) exited(t *task, now time.Time) Record {
	switch {
	case t.job.cancelled:
		return s.ended(t, now, spoolsill.TaskCancelled, CauseExited)
	case t.job.spec.Kind == spoolsill.KindService:
		return s.requeued(t, now, s.backoff(t), CauseExited)
	default:
		return s.ended(t, now, spoolsill.TaskDone, CauseExited)
	}
}

func (s *State) failed(t *task, now time.Time, c Cause) Record {
	spec := &t.job.spec
	switch {
	case t.job.cancelled:
		return s.ended(t, now, spoolsill.TaskCancelled, c)
	case spec.Unrepeatable && c == CauseFailed:
		return s.ended(t, now, spoolsill.TaskFailed, c)
	case spec.Kind == spoolsill.KindService || t.fails+1 < s.config.Tries:
		return s.requeued(t, now, s.backoff(t), c)
	default:
		return s.ended(t, now, spoolsill.TaskFailed, CauseBudget)
	}
}

func (s *State) stopped(t *task, now time.Time) Record {
	if t.job.cancelled {
		return s.ended(t, now, spoolsill.TaskCancelled, CauseCancelled)
	}
	if t.job.spec.Unrepeatable {
		return s.ended(t, now, spoolsill.TaskLost, t.cause)
	}
	return s.requeued(t, now, 0, t.cause)
}

// vanished settles a task of which it is not known whether it ran.
func (s *State) vanished(t *task, now time.Time, c Cause) Record {
	switch {
	case t.job.cancelled:
		return s.ended(t, now, spoolsill.TaskCancelled, c)
	case t.job.spec.Unrepeatable:
		return s.ended(t, now, spoolsill.TaskLost, c)
	default:
		return s.requeued(t, now, 0, c)
	}
}

func (s *State) backoff(t *task) time.Duration {
	return min(s.config.Backoff<<min(t.fails, 16), s.config.MaxBackoff)
}

// stopPartners has the other tasks of a gang stopped, so that it can start
// again as a whole.
func (s *State) stopPartners(t *task, now time.Time) []Record {
	var out []Record
	for i := range t.job.tasks {
		p := &t.job.tasks[i]
		if p.state != spoolsill.TaskPlaced && p.state != spoolsill.TaskRunning {
			continue
		}
		r := s.record(TaskStopping, p, now, CauseGangPartner)
		mustApply(s, r)
		out = append(out, r)
	}
	return out
}

// Cancel cancels jobs and returns the records, already applied. Unknown and
// finished jobs are passed over. The cost per task is constant.
func (s *State) Cancel(now time.Time, ids []spoolsill.JobID) []Record {
	var out []Record
	for _, id := range ids {
		j, ok := s.jobs[id]
		if !ok || j.cancelled || !j.finished.IsZero() {
			continue
		}
		r := Record{
			Kind:  JobCancelled,
			At:    now.UnixMicro(),
			Cause: CauseOperator,
			Task: spoolsill.TaskID{
				Job: id,
			},
		}
		mustApply(s, r)
		out = append(out, r)
		out = append(out, s.stopHeld(j, now)...)
	}
	return out
}

func (s *State) stopHeld(j *job, now time.Time) []Record {
	if j.held == 0 {
		return nil
	}
	var out []Record
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.state.HoldsCapacity() || t.state == spoolsill.TaskStopping {
			continue
		}
		r := s.record(TaskStopping, t, now, CauseCancelled)
		mustApply(s, r)
		out = append(out, r)
	}
	return out
}

// DrainWorker has the tasks of a worker that is leaving checkpointed, and
// returns the records, already applied. Work that can't be repeated is left
// to run to its end.
func (s *State) DrainWorker(now time.Time, id spoolsill.WorkerID) []Record {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	var out []Record
	for _, t := range w.sorted() {
		if t.state != spoolsill.TaskRunning || t.job.spec.Unrepeatable {
			continue
		}
		r := s.record(TaskCheckpointing, t, now, CauseDrained)
		mustApply(s, r)
		out = append(out, r)
	}
	return out
}

// A Measure is what is to be done about a task that uses more than declared.
type Measure int

// The measures, in the order in which they are taken.
const (
	MeasureNone Measure = iota
	MeasureThrottle
	MeasureCheckpoint
	MeasureStop
)

// Reports in a row of use above the declared size, and the margin in
// thousandths that is let pass.
const (
	overThrottle   = 1
	overCheckpoint = 3
	overStop       = 6
	overMargin     = 1100
)

// Use takes in what a task was seen to use and returns what is to be done:
// it is throttled, then checkpointed, then stopped, before its neighbours
// suffer. Records come with the last two, already applied. Work that can't be
// repeated is only throttled.
func (s *State) Use(now time.Time, id spoolsill.TaskID, used spoolsill.Resources) (Measure, []Record) {
	t := s.task(id)
	if t == nil || !t.state.HoldsCapacity() {
		return MeasureNone, nil
	}
	limit := t.job.spec.Shape
	if used.Processors*1000 <= limit.Processors*overMargin && used.Memory*1000 <= limit.Memory*overMargin {
		t.over = 0
		return MeasureNone, nil
	}
	t.over++
	switch {
	case t.over < overThrottle:
		return MeasureNone, nil
	case t.over < overCheckpoint || t.job.spec.Unrepeatable:
		return MeasureThrottle, nil
	case t.over < overStop:
		return MeasureCheckpoint, s.leave(t, now, TaskCheckpointing, spoolsill.TaskRunning)
	default:
		return MeasureStop, s.leave(t, now, TaskStopping, spoolsill.TaskCheckpointing)
	}
}

func (s *State) leave(t *task, now time.Time, k RecordKind, from spoolsill.TaskState) []Record {
	if t.state != from {
		return nil
	}
	r := s.record(k, t, now, CauseOversize)
	mustApply(s, r)
	return []Record{r}
}
