// Package jobstore keeps jobs in the platform's store: the jobs as clients
// handed them in, the marks of those that were cancelled, and the progress that
// the cell's leader writes.
//
// Any host accepts and cancels jobs by itself, with writes to a partition of
// its own; the leader learns of both by following the table. So a job that is
// accepted lasts before its client is told, whoever leads the cell, and also
// when nobody does. A job whose client came back to another host may lie in two
// partitions; it is one job, and the row with the lower version counts.
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

// The tables.
const (
	JobsTable     = "jobs"
	ProgressTable = "progress"
	// CellPartition holds what the leader writes: its own row and the
	// progress of all jobs, so that one transaction can condition on the
	// first and change the second.
	CellPartition = "cell"
)

// cancelSuffix marks the row that says that a job was cancelled.
const cancelSuffix = "/cancel"

// jobKey returns the key of a job that a host keeps in its partition.
func jobKey(partition string, id spoolsill.JobID) store.Key {
	return store.Key{
		Table:     JobsTable,
		Partition: partition,
		Name:      string(id),
	}
}

// JobRow returns the row that a host keeps a job in.
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

// CancelledJob returns the job that a row of the jobs table marks as cancelled.
func CancelledJob(name string) (spoolsill.JobID, bool) {
	id, ok := strings.CutSuffix(name, cancelSuffix)
	return spoolsill.JobID(id), ok
}

// EncodeJob returns a job as it is kept.
func EncodeJob(j sched.Job) ([]byte, error) {
	return packed.Encode(&j)
}

// DecodeJob reads what [EncodeJob] returned. The error says why it is no job that a
// host has accepted.
func DecodeJob(b []byte) (sched.Job, error) {
	var j sched.Job
	if _, err := packed.Decode(b, &j); err != nil {
		return sched.Job{}, err
	}
	if err := j.Check(); err != nil {
		return sched.Job{}, err
	}
	return j, nil
}

// An Outcome tells what became of a job that was handed in.
type Outcome uint8

// The outcomes.
const (
	Accepted  Outcome = iota // it is kept
	Duplicate                // the same job was accepted before
	Conflict                 // another job has its id
	Refused                  // certainly nothing was written this time
	Unknown                  // it may be kept
	TooLarge                 // the store can't keep it or its progress
)

var outcomeNames = [...]string{"accepted", "known", "conflict", "refused", "unknown", "too large"}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// compareStored tells whether a kept job is the one that was handed in again; when
// it was handed in does not matter, nor whose it is where either does not say: hosts of
// the release before teams keep and hand on jobs of nobody.
func compareStored(j sched.Job, kept []byte) (Outcome, error) {
	o, err := DecodeJob(kept)
	if err != nil {
		return Conflict, err
	}
	j.Received = o.Received
	if j.Team == "" || o.Team == "" {
		j.Team = o.Team
	}
	v, err := EncodeJob(j)
	if err != nil {
		return Conflict, err
	}
	// The row may have been written by another release, in other bytes.
	if kept, err = EncodeJob(o); err != nil {
		return Conflict, err
	}
	if !bytes.Equal(v, kept) {
		return Conflict, nil
	}
	return Duplicate, nil
}

// Cancel marks a job as cancelled, in a host's own partition. The caller knows
// that there is such a job.
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

// ReadState reads a job's state from the store. It returns false when there is no
// such job. A job that has begun costs one read, others one for each
// partition.
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
	f, err := findJob(ctx, s, id)
	if err != nil || f.job.Version == 0 {
		return st, false, err
	}
	j, err := DecodeJob(f.job.Value)
	st.Team = j.Team
	if f.cancelled {
		st.State = sched.Cancelled
	}
	return st, true, err
}

// ErrNoJob is returned when a partition does not have a job.
var ErrNoJob = errors.New("jobstore: no such job")

// ReadJob returns the job that a partition keeps.
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

// storedJob is what the partitions have of a job: the row that counts, of version 0 if
// there is none, and whether any marks it as cancelled.
type storedJob struct {
	job       store.Row
	cancelled bool
}

func (f *storedJob) add(r store.Row, id spoolsill.JobID) {
	if r.Key.Name == string(id) && (f.job.Version == 0 || r.Version < f.job.Version) {
		f.job = r
	}
	f.cancelled = f.cancelled || r.Key.Name == string(id)+cancelSuffix
}

// findJob looks for a job and its mark in all partitions.
func findJob(ctx context.Context, s store.Store, id spoolsill.JobID) (storedJob, error) {
	var f storedJob
	parts, err := s.Partitions(ctx, JobsTable)
	if err != nil {
		return f, err
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
				f.add(r, id)
			}
			return nil
		})
	}
	err = g.Wait()
	return f, err
}

// maxConcurrentReads bounds the reads that one look-up has under way.
const maxConcurrentReads = 8
