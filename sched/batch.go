package sched

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
)

// MaxBatchRows is how many jobs' rows a batch has at most; the store takes 100
// entries in a transaction, and one is the leader's.
const MaxBatchRows = 90

// maxBytes is from where on a batch takes no more rows, if the configuration does not
// say less: the store takes 1 MB, of which base64 takes a quarter, and one more row has
// 64 KB.
const maxBytes = 600 << 10

// Batch returns what is to be written next, and whether there is anything.
func (s *State) Batch(now time.Time) (Batch, bool, error) {
	s.now = now
	var b Batch
	most := maxBytes
	if s.config.BatchBytes > 0 {
		most = min(most, s.config.BatchBytes)
	}
	n, size := 0, 0
	for _, j := range s.dirty {
		if n == MaxBatchRows || size > most {
			break
		}
		n++
		v, err := EncodeProgress(j.progress())
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
		s.slim(j)
	}
	s.dirty = slices.Delete(s.dirty, 0, n)
	if len(s.dirty) == 0 {
		b.Acks = s.takeAcks()
	}
	if s.config.KeepEnded > 0 {
		b.Forgotten = s.forgetEnded(MaxBatchRows - n)
	}
	return b, n > 0 || len(b.Acks) > 0 || len(b.Forgotten) > 0, nil
}

// slim drops what is not needed of a job that has ended for good.
func (s *State) slim(j *job) {
	if !j.state.Final() || j.activeRuns > 0 {
		return
	}
	j.Spec = ""
	j.Steps = nil
	j.stages = nil
	s.keepEnded(j.ID)
}

// An endedJob is to be forgotten some time after its end.
type endedJob struct {
	id spoolsill.JobID
	at time.Time
}

func (s *State) keepEnded(id spoolsill.JobID) {
	s.ended = append(s.ended, endedJob{
		id: id,
		at: s.now,
	})
}

// forgetEnded forgets the jobs that ended long ago, and returns at most n of
// them: their progress need not be kept either.
func (s *State) forgetEnded(n int) []spoolsill.JobID {
	var ids []spoolsill.JobID
	for len(s.ended) > 0 && len(ids) < n && s.now.Sub(s.ended[0].at) > s.config.KeepEnded {
		ids = append(ids, s.ended[0].id)
		delete(s.jobs, s.ended[0].id)
		s.ended = s.ended[1:]
	}
	return ids
}

// takeAcks returns the ends whose rows are all in this batch or earlier ones.
func (s *State) takeAcks() []Ack {
	var acks []Ack
	for l, n := range s.acks {
		acks = append(acks, Ack{
			Life:     l,
			Sequence: n,
		})
	}
	slices.SortFunc(acks, func(a, b Ack) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	clear(s.acks)
	return acks
}

// BatchWritten takes in that a batch lasts, and returns the starts that may leave
// now: those that nothing has overtaken meanwhile.
func (s *State) BatchWritten(now time.Time, b Batch) []StartOrder {
	s.now = now
	var out, overdue []StartOrder
	for _, o := range b.Starts {
		r := s.recorded(o)
		if r == nil {
			continue
		}
		if !s.mayLeave(r) {
			s.dropRun(r, "overtaken before the order left")
			continue
		}
		if s.ticketIsOver(r) {
			overdue = append(overdue, o)
			continue
		}
		out = append(out, s.leave(o, r))
	}
	s.renewOverdue(overdue)
	return out
}

// recorded returns the run of an order that has not left, or nil.
func (s *State) recorded(o StartOrder) *run {
	w := s.workerOf(o.Life)
	if w == nil {
		return nil
	}
	r := w.runs[o.Run]
	if r == nil || r.phase != phaseRecorded {
		return nil
	}
	return r
}

// leave takes in that an order leaves now, with the newest ticket that there is.
func (s *State) leave(o StartOrder, r *run) StartOrder {
	r.phase = phaseSent
	r.startedAt = s.now
	// A start renews the lease as well.
	s.LeaseRequested(o.Life, LeaseEnd(s.now, s.config.StartLease))
	o.Ticket = r.task.stage.advice.tickets[r.worker].text
	return o
}

// mayLeave reports whether an order that is recorded still makes sense.
func (s *State) mayLeave(r *run) bool {
	g := r.task.stage
	return !r.task.done && !g.job.state.Final() && !r.stopping &&
		s.entriesFresh() && r.worker.hasRoom() && !g.job.team.overQuota() &&
		r.worker.present(s.now) && !r.worker.entryInvalid && !r.worker.Draining
}

// HeartbeatTargets returns the lives of the workers that are to be kept in touch with:
// those that are listed, and those that may have runs, known or not. A start without
// an answer may be carried out at a worker whose entry has gone: with a lease of 6 s
// it went on there for 5.6 s, and for 0.12 s if the worker is looked at.
func (s *State) HeartbeatTargets() []spoolsill.Life {
	lives := make([]spoolsill.Life, 0, len(s.workerList))
	for _, w := range s.workerList {
		if w.dead || w.Address == "" || !s.concerns(w) {
			continue
		}
		if w.present(s.now) || len(w.runs) > 0 || s.now.Sub(w.unlistedAt) < lateStartWindow {
			lives = append(lives, w.life())
		}
	}
	return lives
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

// concerns reports whether a worker may have something to do with the cell: a queue has
// its service, or it has runs. Entries of other services are not called. Before queues
// are known all of them are.
func (s *State) concerns(w *worker) bool {
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

// Address returns where a worker is reached.
func (s *State) Address(id spoolsill.WorkerID) string {
	if w := s.workers[id]; w != nil {
		return w.Address
	}
	return ""
}

// Hall returns where a worker stands.
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

// Jobs returns the states of all jobs, in the order of their ids.
func (s *State) Jobs() []JobStatus {
	out := make([]JobStatus, 0, len(s.jobs))
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		out = append(out, s.jobs[id].status())
	}
	return out
}
