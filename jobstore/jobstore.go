// Package jobstore stores jobs in the platform's store: the jobs as submitted,
// markers for cancelled jobs, and the progress that the cell's leader writes.
//
// Every host accepts and cancels jobs on its own, with writes to its own
// partition, and the leader learns of both by watching the table. An accepted
// job is therefore durable before its client gets the response, whichever host
// leads the cell, and even if none does. A job that its client has submitted to
// two hosts may be in two partitions. It is one job, and the row with the lower
// version takes precedence.
package jobstore

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/packed"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// Tables and partitions.
const (
	JobsTable     = "jobs"
	ProgressTable = "progress"
	// CellPartition holds the rows that the leader writes: its own row and the
	// progress of all jobs, so that a transaction can change the progress on the
	// condition that the leader's row is unchanged.
	CellPartition = "cell"
)

// cancelSuffix is added to a job's id in the name of the row that marks it as cancelled.
const cancelSuffix = "/cancel"

// jobKey returns the key of a job in a host's partition.
func jobKey(partition string, id spoolsill.JobID) store.Key {
	return store.Key{
		Table:     JobsTable,
		Partition: partition,
		Name:      string(id),
	}
}

// JobRow returns the row of a job in a host's partition.
func JobRow(partition string, j sched.Job) (store.Row, error) {
	v, err := EncodeJob(j)
	return store.Row{
		Key:   jobKey(partition, j.ID),
		Value: v,
	}, err
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(id spoolsill.JobID) store.Key {
	return store.Key{
		Table:     ProgressTable,
		Partition: CellPartition,
		Name:      string(id),
	}
}

// CancelledJob returns the id of the job that the row with the given name marks as
// cancelled. It returns false if the row is not such a marker.
func CancelledJob(name string) (spoolsill.JobID, bool) {
	id, ok := strings.CutSuffix(name, cancelSuffix)
	return spoolsill.JobID(id), ok
}

// EncodeJob returns the stored form of a job.
func EncodeJob(j sched.Job) ([]byte, error) {
	return packed.Encode(&j)
}

// DecodeJob decodes and validates a job that [EncodeJob] has encoded.
func DecodeJob(b []byte) (sched.Job, error) {
	var j sched.Job
	if _, err := packed.Decode(b, &j); err != nil {
		return sched.Job{}, err
	}
	j.Normalize()
	if err := j.Check(); err != nil {
		return sched.Job{}, err
	}
	return j, nil
}

// An Outcome is the result of submitting a job.
type Outcome uint8

// The outcomes of submitting a job. Hosts send them to each other as numbers.
const (
	Accepted  Outcome = iota // stored
	Duplicate                // the same job was accepted before
	Conflict                 // another job has the id
	Refused                  // certainly not written by this call
	Unknown                  // may be stored
	TooLarge                 // larger than the store accepts, or rejected by it for good
)

var outcomeNames = [...]string{"accepted", "known", "conflict", "refused", "unknown", "too large"}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// compareStored returns Duplicate if a stored job is the same as a submitted one, and
// Conflict otherwise. The time of submission is ignored, and so is the team if either
// job has none: hosts of the release before teams store and forward jobs without one.
func compareStored(j sched.Job, stored []byte) (Outcome, error) {
	existing, err := DecodeJob(stored)
	if err != nil {
		return Conflict, err
	}
	j.Received = existing.Received
	if j.Team == "" || existing.Team == "" {
		j.Team = existing.Team
	}
	v, err := EncodeJob(j)
	if err != nil {
		return Conflict, err
	}
	// Encode the stored job again, since another release may have encoded it differently.
	if stored, err = EncodeJob(existing); err != nil {
		return Conflict, err
	}
	if !bytes.Equal(v, stored) {
		return Conflict, nil
	}
	return Duplicate, nil
}

// Cancel marks a job as cancelled in a host's own partition. The caller must make sure
// that the job exists.
func Cancel(ctx context.Context, s store.Store, partition string, id spoolsill.JobID) error {
	r := CancelRow(partition, id)
	_, err := s.Commit(ctx, store.Transaction{
		Puts: []store.Put{
			{
				Key:   r.Key,
				Value: r.Value,
			},
		},
	})
	return err
}

// CancelRow returns the row that marks a job as cancelled.
func CancelRow(partition string, id spoolsill.JobID) store.Row {
	k := jobKey(partition, id)
	k.Name += cancelSuffix
	return store.Row{
		Key:   k,
		Value: []byte{1},
	}
}

// ReadState reads a job's state and team from the store. It returns false if there is no
// such job. This takes one read for a job with progress. For other jobs it also lists the
// partitions and reads each of them.
func ReadState(ctx context.Context, s store.Store, id spoolsill.JobID) (sched.JobStatus, bool, error) {
	st := sched.JobStatus{
		ID: id,
	}
	row, err := store.Get(ctx, s, ProgressKey(id))
	if err != nil {
		return st, false, err
	}
	if row.Version > 0 {
		p, err := sched.DecodeProgress(row.Value)
		st.State = p.State
		st.Team = p.Team
		return st, true, err
	}
	stored, err := findJob(ctx, s, id)
	if err != nil || stored.job.Version == 0 {
		return st, false, err
	}
	j, err := DecodeJob(stored.job.Value)
	st.Team = j.Team
	if stored.cancelled {
		st.State = sched.Cancelled
	}
	return st, true, err
}

// ErrNoJob is returned by [ReadJob] if the partition does not have the job.
var ErrNoJob = errors.New("jobstore: no such job")

// ReadJob reads a job from a partition.
func ReadJob(ctx context.Context, s store.Store, partition string, id spoolsill.JobID) (sched.Job, error) {
	r, err := store.Get(ctx, s, jobKey(partition, id))
	if err != nil {
		return sched.Job{}, err
	}
	if r.Version == 0 {
		return sched.Job{}, ErrNoJob
	}
	return DecodeJob(r.Value)
}

// A storedJob is the state of a job in all partitions: its row with the lowest version, or
// version 0 if there is none, and whether any partition marks the job as cancelled.
type storedJob struct {
	job       store.Row
	cancelled bool
}

func (s *storedJob) add(r store.Row, id spoolsill.JobID) {
	if r.Key.Name == string(id) && (s.job.Version == 0 || r.Version < s.job.Version) {
		s.job = r
	}
	s.cancelled = s.cancelled || r.Key.Name == string(id)+cancelSuffix
}

// findJob looks up a job and its cancellation marker in all partitions.
func findJob(ctx context.Context, s store.Store, id spoolsill.JobID) (storedJob, error) {
	var found storedJob
	parts, err := s.Partitions(ctx, JobsTable)
	if err != nil {
		return found, err
	}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for _, part := range parts {
		g.Go(func() error {
			p, err := s.List(ctx, JobsTable, part, string(id), 2)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range p.Rows {
				found.add(r, id)
			}
			return nil
		})
	}
	err = g.Wait()
	return found, err
}

// maxConcurrentReads bounds the concurrent reads of one lookup.
const maxConcurrentReads = 8
