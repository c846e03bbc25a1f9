package place

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// Outcome is the state of an attempt to run a task, as reported by its worker
// or concluded from the worker's silence.
type Outcome int

// The outcomes of an attempt.
const (
	Started      Outcome = iota // the worker confirmed the start
	Exited                      // it ended by itself, without a failure
	Failed                      // it ran and failed
	Checkpointed                // it was checkpointed and stopped
	Stopped                     // it was stopped
	Refused                     // the worker refused the start: it did not run
	NotFound                    // the worker does not know it
	Lost                        // all leases on it have expired: it does not run any more
	Expired                     // its lease expired and the worker ended it
)

// A Report is the outcome of one attempt to run a task.
type Report struct {
	Task    spoolsill.TaskID
	Attempt spoolsill.Attempt
	Outcome Outcome
}

// Report handles the outcome of an attempt and returns the resulting records,
// already applied. It ignores reports on earlier attempts and on tasks that hold
// no capacity.
func (s *State) Report(now time.Time, p Report) []Record {
	t := s.task(p.Task)
	if t == nil || !t.state.HoldsCapacity() || t.attempt != p.Attempt {
		return nil
	}
	r := s.outcomeRecord(t, p.Outcome, now)
	if r.Kind == 0 {
		return nil
	}
	mustApply(s, r)
	records := []Record{r}
	if t.job.spec.Kind == spoolsill.KindGang && r.Kind == TaskRequeued {
		records = append(records, s.stopGangMembers(t, now)...)
	}
	return records
}

// outcomeRecord returns the record that results from an outcome, or one of kind
// 0 if the outcome changes nothing.
func (s *State) outcomeRecord(t *task, outcome Outcome, now time.Time) Record {
	switch outcome {
	case Started:
		if t.state != spoolsill.TaskPlaced {
			return Record{}
		}
		return s.taskRecord(TaskRunning, t, now, CauseNone)
	case Exited:
		return s.exitedRecord(t, now)
	case Failed:
		return s.failedRecord(t, now, CauseFailed)
	case Refused:
		return s.failedRecord(t, now, CauseRefused)
	case Checkpointed, Stopped:
		return s.stoppedRecord(t, now)
	case NotFound:
		return s.lostRecord(t, now, CauseTaskNotFound)
	case Expired:
		return s.lostRecord(t, now, CauseExpired)
	default:
		return s.lostRecord(t, now, CauseWorkerLost)
	}
}

func (s *State) taskRecord(k RecordKind, t *task, now time.Time, c Cause) Record {
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

func (s *State) endedRecord(t *task, now time.Time, state spoolsill.TaskState, c Cause) Record {
	r := s.taskRecord(TaskEnded, t, now, c)
	r.State = state
	return r
}

func (s *State) requeuedRecord(t *task, now time.Time, wait time.Duration, c Cause) Record {
	r := s.taskRecord(TaskRequeued, t, now, c)
	r.Ready = now.Add(wait).UnixMicro()
	return r
}

// exitedRecord returns the record for an attempt that ended by itself. Services
// are started again.
func (s *State) exitedRecord(t *task, now time.Time) Record {
	switch {
	case t.job.cancelled:
		return s.endedRecord(t, now, spoolsill.TaskCancelled, CauseExited)
	case t.job.spec.Kind == spoolsill.KindService:
		return s.requeuedRecord(t, now, s.backoff(t), CauseExited)
	default:
		return s.endedRecord(t, now, spoolsill.TaskDone, CauseExited)
	}
}

// failedRecord returns the record for an attempt that failed or that the worker
// refused. A refused task did not run, so even an unrepeatable one is retried.
func (s *State) failedRecord(t *task, now time.Time, c Cause) Record {
	spec := &t.job.spec
	switch {
	case t.job.cancelled:
		return s.endedRecord(t, now, spoolsill.TaskCancelled, c)
	case spec.Unrepeatable && c == CauseFailed:
		return s.endedRecord(t, now, spoolsill.TaskFailed, c)
	case spec.Kind == spoolsill.KindService || t.failures+1 < s.config.MaxAttempts:
		return s.requeuedRecord(t, now, s.backoff(t), c)
	default:
		return s.endedRecord(t, now, spoolsill.TaskFailed, CauseNoAttemptsLeft)
	}
}

// stoppedRecord returns the record for an attempt that was checkpointed or
// stopped. An unrepeatable task may have run and is not started again.
func (s *State) stoppedRecord(t *task, now time.Time) Record {
	if t.job.cancelled {
		return s.endedRecord(t, now, spoolsill.TaskCancelled, CauseCancelled)
	}
	if t.job.spec.Unrepeatable {
		return s.endedRecord(t, now, spoolsill.TaskLost, t.cause)
	}
	return s.requeuedRecord(t, now, 0, t.cause)
}

// lostRecord returns the record for an attempt of which it is not known whether
// it ran to its end.
func (s *State) lostRecord(t *task, now time.Time, c Cause) Record {
	switch {
	case t.job.cancelled:
		return s.endedRecord(t, now, spoolsill.TaskCancelled, c)
	case t.job.spec.Unrepeatable:
		return s.endedRecord(t, now, spoolsill.TaskLost, c)
	default:
		return s.requeuedRecord(t, now, 0, c)
	}
}

func (s *State) backoff(t *task) time.Duration {
	return min(s.config.Backoff<<min(t.failures, 16), s.config.MaxBackoff)
}

// stopGangMembers stops the other tasks of t's gang, so that the gang can be
// started again as a whole.
func (s *State) stopGangMembers(t *task, now time.Time) []Record {
	var out []Record
	for i := range t.job.tasks {
		m := &t.job.tasks[i]
		if m.state != spoolsill.TaskPlaced && m.state != spoolsill.TaskRunning {
			continue
		}
		r := s.taskRecord(TaskStopping, m, now, CauseGangMemberLost)
		mustApply(s, r)
		out = append(out, r)
	}
	return out
}

// Cancel cancels jobs and returns the records, already applied. It ignores
// unknown, cancelled and finished jobs. The cost per task is constant.
func (s *State) Cancel(now time.Time, ids []spoolsill.JobID) []Record {
	var out []Record
	for _, id := range ids {
		j, ok := s.jobs[id]
		if !ok || j.cancelled || !j.finishedAt.IsZero() {
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
		out = append(out, s.stopAllocated(j, now)...)
	}
	return out
}

func (s *State) stopAllocated(j *job, now time.Time) []Record {
	if j.allocated == 0 {
		return nil
	}
	var out []Record
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.state.HoldsCapacity() || t.state == spoolsill.TaskStopping {
			continue
		}
		r := s.taskRecord(TaskStopping, t, now, CauseCancelled)
		mustApply(s, r)
		out = append(out, r)
	}
	return out
}

// DrainWorker checkpoints the running tasks of a worker and returns the
// records, already applied. Unrepeatable tasks are left to run to their end.
func (s *State) DrainWorker(now time.Time, id spoolsill.WorkerID) []Record {
	w, ok := s.workers[id]
	if !ok {
		return nil
	}
	var out []Record
	for _, t := range w.sortedTasks() {
		if t.state != spoolsill.TaskRunning || t.job.spec.Unrepeatable {
			continue
		}
		r := s.taskRecord(TaskCheckpointing, t, now, CauseDrained)
		mustApply(s, r)
		out = append(out, r)
	}
	return out
}

// Enforcement is the action to take on a task that uses more than it declared.
type Enforcement int

// The enforcement actions, in the order of escalation.
const (
	EnforceNone Enforcement = iota
	EnforceThrottle
	EnforceCheckpoint
	EnforceStop
)

// Thresholds of enforcement: numbers of consecutive reports of usage above the
// declared shape, and the usage that is tolerated, per mille of the shape.
const (
	throttleAfter          = 1
	checkpointAfter        = 3
	stopAfter              = 6
	toleratedUsagePerMille = 1100
)

// ReportUsage handles the measured usage of a task and returns the action to
// take. To protect other tasks on the worker, a task that keeps using more than
// it declared is throttled, then checkpointed, then stopped. The last two come
// with records, already applied. Unrepeatable tasks are only throttled.
func (s *State) ReportUsage(now time.Time, id spoolsill.TaskID, used spoolsill.Resources) (Enforcement, []Record) {
	t := s.task(id)
	if t == nil || !t.state.HoldsCapacity() {
		return EnforceNone, nil
	}
	limit := t.job.spec.Shape
	if used.Processors*1000 <= limit.Processors*toleratedUsagePerMille && used.Memory*1000 <= limit.Memory*toleratedUsagePerMille {
		t.overuseReports = 0
		return EnforceNone, nil
	}
	t.overuseReports++
	switch {
	case t.overuseReports < throttleAfter:
		return EnforceNone, nil
	case t.overuseReports < checkpointAfter || t.job.spec.Unrepeatable:
		return EnforceThrottle, nil
	case t.overuseReports < stopAfter:
		return EnforceCheckpoint, s.enforce(t, now, TaskCheckpointing, spoolsill.TaskRunning)
	default:
		return EnforceStop, s.enforce(t, now, TaskStopping, spoolsill.TaskCheckpointing)
	}
}

// enforce applies a record of kind k to t if t is in state from.
func (s *State) enforce(t *task, now time.Time, k RecordKind, from spoolsill.TaskState) []Record {
	if t.state != from {
		return nil
	}
	r := s.taskRecord(k, t, now, CauseOveruse)
	mustApply(s, r)
	return []Record{r}
}
