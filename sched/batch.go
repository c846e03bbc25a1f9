package sched

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
)

// MaxBatchRows is the maximum number of job rows in a batch. The store accepts 100
// entries per transaction; one of them is the leader's.
const MaxBatchRows = 90

// maxBatchBytes is the size at which a batch takes no more rows, unless
// Config.BatchBytes is lower. The store accepts 1 MB, of which base64 encoding costs a
// quarter, and the last row may add 64 KB.
const maxBatchBytes = 600 << 10

// Batch returns the next rows to write and what depends on them. It reports false if
// there is nothing to write.
func (s *State) Batch(now time.Time) (Batch, bool, error) {
	s.now = now
	var b Batch
	limit := maxBatchBytes
	if s.config.BatchBytes > 0 {
		limit = min(limit, s.config.BatchBytes)
	}
	n, size := 0, 0
	for _, j := range s.dirty {
		if n == MaxBatchRows || size > limit {
			break
		}
		n++
		v, err := s.encodeRow(j)
		if err != nil {
			return Batch{}, false, err
		}
		size += len(v)
		j.dirty = false
		b.Rows = append(b.Rows, JobRow{
			ID:    j.ID,
			Value: v,
		})
		b.Starts = append(b.Starts, j.starts...)
		j.starts = nil
		b.Statuses = append(b.Statuses, j.status())
		if j.state.Final() && j.activeRuns == 0 && j.stages != nil {
			b.Ended = append(b.Ended, j.ID)
		}
		s.dropDetails(j)
	}
	s.dirty = slices.Delete(s.dirty, 0, n)
	if len(s.dirty) == 0 {
		b.Acks = s.collectAcks()
	}
	if s.config.KeepEnded > 0 {
		b.Forgotten = s.expireEnded(MaxBatchRows - n)
	}
	return b, n > 0 || len(b.Acks) > 0 || len(b.Forgotten) > 0, nil
}

// dropDetails frees the parts of a job that are not needed once it has ended and has no
// runs left.
func (s *State) dropDetails(j *job) {
	if !j.state.Final() || j.activeRuns > 0 {
		return
	}
	j.Spec = ""
	j.Steps = nil
	j.stages = nil
	s.retainEnded(j.ID)
}

// An endedJob is a finished job and the time of its end.
type endedJob struct {
	id spoolsill.JobID
	at time.Time
}

func (s *State) retainEnded(id spoolsill.JobID) {
	s.endedJobs = append(s.endedJobs, endedJob{
		id: id,
		at: s.now,
	})
}

// expireEnded deletes up to n jobs whose retention time after their end has passed. It
// returns their ids, whose stored progress can be deleted too.
func (s *State) expireEnded(n int) []spoolsill.JobID {
	var ids []spoolsill.JobID
	for len(s.endedJobs) > 0 && len(ids) < n && s.now.Sub(s.endedJobs[0].at) > s.config.KeepEnded {
		ids = append(ids, s.endedJobs[0].id)
		delete(s.jobs, s.endedJobs[0].id)
		s.endedJobs = s.endedJobs[1:]
	}
	return ids
}

// collectAcks returns the pending acknowledgements, sorted by worker. The rows of the
// acknowledged ends are in this batch or in earlier ones.
func (s *State) collectAcks() []Ack {
	var acks []Ack
	for l, n := range s.acks {
		acks = append(acks, Ack{
			WorkerIncarnation: l,
			Sequence:          n,
		})
	}
	slices.SortFunc(acks, func(a, b Ack) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	clear(s.acks)
	return acks
}

// BatchWritten records that b is durable. It returns the start orders of b that can be
// sent now: those that are still valid and whose tickets have not expired.
func (s *State) BatchWritten(now time.Time, b Batch) []StartOrder {
	s.now = now
	var out, expired []StartOrder
	for _, o := range b.Starts {
		r := s.recordedRun(o)
		if r == nil {
			continue
		}
		if !s.canDispatch(r) {
			s.dropRun(r, "start no longer valid before dispatch")
			continue
		}
		if s.ticketExpired(r) {
			expired = append(expired, o)
			continue
		}
		out = append(out, s.dispatch(o, r))
	}
	s.deferOrders(expired)
	return out
}

// recordedRun returns the run of an order that has been recorded but not sent, or nil.
func (s *State) recordedRun(o StartOrder) *run {
	w := s.workerOf(o.WorkerIncarnation)
	if w == nil {
		return nil
	}
	r := w.runs[o.Run]
	if r == nil || r.phase != phaseRecorded {
		return nil
	}
	return r
}

// dispatch marks the run of an order as sent and returns the order with its current
// ticket.
func (s *State) dispatch(o StartOrder, r *run) StartOrder {
	r.phase = phaseSent
	r.startedAt = s.now
	// A start order also renews the worker's lease.
	s.LeaseRequested(o.WorkerIncarnation, LeaseEnd(s.now, s.config.StartLease))
	o.Ticket = r.task.stage.advice.tickets[r.worker].text
	return o
}

// canDispatch reports whether a recorded start order is still valid.
func (s *State) canDispatch(r *run) bool {
	g := r.task.stage
	return !r.task.done && !g.job.state.Final() && !r.stopping &&
		s.entriesFresh() && r.worker.hasCapacity() && !g.job.team.overQuota() &&
		r.worker.present(s.now) && !r.worker.entryInvalid && !r.worker.Draining && !s.evacuated[r.worker.Hall]
}

// HeartbeatTargets returns the incarnations of the workers to send heartbeats to: the listed
// ones that are relevant, and unlisted ones that may still have runs, known or not. An
// unanswered start may be carried out at a worker whose entry has gone. With a lease of 6 s
// such a run went on for 5.6 s without heartbeats and for 0.12 s with them.
func (s *State) HeartbeatTargets() []spoolsill.WorkerIncarnation {
	incarnations := make([]spoolsill.WorkerIncarnation, 0, len(s.workerList))
	for _, w := range s.workerList {
		if w.dead || w.Address == "" || !s.isRelevant(w) {
			continue
		}
		if w.present(s.now) || len(w.runs) > 0 || s.now.Sub(w.unlistedAt) < lateStartWindow {
			incarnations = append(incarnations, w.incarnation())
		}
	}
	return incarnations
}

// ListedWorkers returns the ids of the workers that the platform lists.
func (s *State) ListedWorkers() []spoolsill.WorkerID {
	var ids []spoolsill.WorkerID
	for _, w := range s.workerList {
		if w.listed {
			ids = append(ids, w.id)
		}
	}
	return ids
}

// isRelevant reports whether a worker has runs or provides the service of a queue. Before
// any queue is known, every worker is relevant.
func (s *State) isRelevant(w *worker) bool {
	if len(s.queues) == 0 || len(w.runs) > 0 {
		return true
	}
	for _, q := range s.queues {
		if q.Service == w.Service {
			return true
		}
	}
	return false
}

// Address returns the network address of a worker, or "" if it is not known.
func (s *State) Address(id spoolsill.WorkerID) string {
	if w := s.workers[id]; w != nil {
		return w.Address
	}
	return ""
}

// Hall returns the hall of a worker, or "" if it is not known.
func (s *State) Hall(id spoolsill.WorkerID) spoolsill.HallID {
	if w := s.workers[id]; w != nil {
		return w.Hall
	}
	return ""
}

// Idle reports whether a worker has no runs.
func (s *State) Idle(id spoolsill.WorkerID) bool {
	w := s.workers[id]
	return w == nil || len(w.runs) == 0
}

// Jobs returns the status of all jobs, sorted by id.
func (s *State) Jobs() []JobStatus {
	out := make([]JobStatus, 0, len(s.jobs))
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		out = append(out, s.jobs[id].status())
	}
	return out
}
