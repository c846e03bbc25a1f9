package sched

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

const (
	// startHeadroomDivisor is the part of a row that starts leave free, since the progress of a
	// job goes on growing while its tasks run.
	startHeadroomDivisor = 16
	// rowFullRetryDelay is the delay before the tasks of a job whose row is full are placed again.
	rowFullRetryDelay = 500 * time.Millisecond
)

// rowLimit returns the maximum size of the row of j; 0 means no limit.
func (s *State) rowLimit(j *job) int {
	if j.rowLimit > 0 {
		return j.rowLimit
	}
	return s.config.MaxRowBytes
}

// encodeRow returns the row of a dirty job, within its limit. What does not fit is given up, in
// the order of what that costs: saved texts, evidence of crashes, and starts that have not been sent. The
// job fails if that is not enough.
func (s *State) encodeRow(j *job) ([]byte, error) {
	limit := s.rowLimit(j)
	if limit == 0 {
		return EncodeProgress(j.progress())
	}
	room := limit - limit/startHeadroomDivisor
	v, err := encodeWithin(j.progress(), room)
	for err == nil && len(v) > room && len(j.starts) > 0 {
		s.withdrawStarts(j)
		v, err = encodeWithin(j.progress(), room)
	}
	if err != nil || len(v) <= limit {
		return v, err
	}
	if !j.state.Final() {
		s.endJob(j, Failed, fmt.Sprintf("its progress has %d bytes, the store can keep %d", len(v), limit))
	}
	// Runs that are left are in no record then, so that the next leader has their workers stop them.
	return EncodeProgress(Progress{
		State: j.state,
		Team:  j.Team,
	})
}

// withdrawStarts withdraws half of the starts of j that have not been sent, and with each of a gang
// those of all its members.
func (s *State) withdrawStarts(j *job) {
	gangs := map[StageID]bool{}
	half := len(j.starts) / 2
	for _, o := range j.starts[half:] {
		g := j.stage(o.Run.Task.Stage.Round, o.Run.Task.Stage.Step)
		gangs[g.id] = g.step.Gang
	}
	for i, o := range slices.Clone(j.starts) {
		if i < half && !gangs[o.Run.Task.Stage] {
			continue
		}
		if r := s.recordedRun(o); r != nil {
			r.task.stage.retryAt = s.now.Add(rowFullRetryDelay)
			s.withdraw(r)
		}
	}
	j.starts = j.starts[:min(half, len(j.starts))]
}

// encodeWithin encodes p. If the result would exceed the limit, it gives up saved texts and then the
// evidence of crashes, as far as needed. The result exceeds the limit if that is not enough.
func encodeWithin(p Progress, limit int) ([]byte, error) {
	v, err := EncodeProgress(p)
	if err != nil || len(v) <= limit {
		return v, err
	}
	excess := len(v) - limit
	for _, t := range p.savedTexts() {
		if excess <= 0 {
			break
		}
		excess -= len(t.Saved)
		t.Saved = ""
	}
	if excess > 0 {
		p.Crashes = nil
	}
	return EncodeProgress(p)
}

// savedTexts returns the tasks with a saved text, those first whose text is the least loss. A
// task that runs loses it only if both its worker and this leader fail: the worker reports it again to the
// next one. Long texts go before short ones, so that few are lost.
func (p *Progress) savedTexts() []*TaskProgress {
	var ts []*TaskProgress
	for i := range p.Stages {
		for j := range p.Stages[i].Tasks {
			if t := &p.Stages[i].Tasks[j]; t.Saved != "" {
				ts = append(ts, t)
			}
		}
	}
	slices.SortStableFunc(ts, func(a, b *TaskProgress) int {
		if (a.Worker != "") != (b.Worker != "") {
			if a.Worker != "" {
				return -1
			}
			return 1
		}
		return cmp.Compare(len(b.Saved), len(a.Saved))
	})
	return ts
}

// rejectedRowDivisor reduces the limit of a row that the store has rejected for good.
const rejectedRowDivisor = 2

// RowsRejected records that the store rejects the rows of some jobs of a batch for good, while the
// rest of the batch has been written, and returns that rest. The rows are written again, smaller each time, until
// the jobs have failed. Ends of runs are acknowledged once the rows are stored.
func (s *State) RowsRejected(now time.Time, b Batch, jobs []spoolsill.JobID) Batch {
	if len(jobs) == 0 {
		return b
	}
	s.now = now
	for _, r := range b.Rows {
		if slices.Contains(jobs, r.ID) {
			s.rowRejected(r)
		}
	}
	rest := b
	rest.Starts = nil
	for _, o := range b.Starts {
		if !slices.Contains(jobs, o.Run.Task.Stage.Job) {
			rest.Starts = append(rest.Starts, o)
		} else if r := s.recordedRun(o); r != nil {
			s.dropRun(r, "the store rejects its record")
		}
	}
	for _, a := range b.Acks {
		s.acks[a.WorkerIncarnation] = max(s.acks[a.WorkerIncarnation], a.Sequence)
	}
	rest.Acks = nil
	rest.Statuses = slices.DeleteFunc(slices.Clone(b.Statuses), func(t JobStatus) bool { return slices.Contains(jobs, t.ID) })
	rest.Ended = slices.DeleteFunc(slices.Clone(b.Ended), func(id spoolsill.JobID) bool { return slices.Contains(jobs, id) })
	return rest
}

// rowRejected has the row of a job written again, with a smaller limit. A job that has ended has the
// smallest row already.
func (s *State) rowRejected(r JobRow) {
	s.note(Note{
		Kind:   NoteRowRejected,
		Job:    r.ID,
		Reason: fmt.Sprintf("the store rejects a row of %d bytes", len(r.Value)),
	})
	j := s.jobs[r.ID]
	if j == nil || j.stages == nil {
		return
	}
	j.rowLimit = max(len(r.Value)/rejectedRowDivisor, 1)
	s.markDirty(j)
}
