// Package jobstore keeps jobs in the platform's store: the jobs as clients
// handed them in, the marks of those that were cancelled, and the progress that
// the cell's leader writes.
//
// Any host accepts and cancels jobs by itself with one conditional write; the
// leader learns of both by following the table. So a job that is accepted lasts
// before its client is told, whoever leads the cell, and also when nobody does.
package jobstore

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
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

// partitions is over how many partitions jobs are spread. A partition takes
// 150 transactions a second on the platforms of today; at the size designed
// for, 240 jobs a second are handed in.
const partitions = 8

// cancelSuffix marks the row that says that a job was cancelled.
const cancelSuffix = "/cancel"

// Partitions returns the partitions of the jobs table.
func Partitions() []string {
	p := make([]string, partitions)
	for i := range p {
		p[i] = "p" + strconv.Itoa(i)
	}
	return p
}

// JobKey returns the key of a job.
func JobKey(id spoolsill.JobID) store.Key {
	return store.Key{
		Table:     JobsTable,
		Partition: "p" + strconv.FormatUint(xxhash.Sum64String(string(id))%partitions, 10),
		Name:      string(id),
	}
}

func cancelKey(id spoolsill.JobID) store.Key {
	k := JobKey(id)
	k.Name += cancelSuffix
	return k
}

// ProgressKey returns the key of a job's progress.
func ProgressKey(id spoolsill.JobID) store.Key {
	return store.Key{
		Table:     ProgressTable,
		Partition: CellPartition,
		Name:      string(id),
	}
}

// Cancelled returns the job that a row of the jobs table marks as cancelled.
func Cancelled(name string) (spoolsill.JobID, bool) {
	id, ok := strings.CutSuffix(name, cancelSuffix)
	return spoolsill.JobID(id), ok
}

// EncodeJob returns a job as it is kept.
func EncodeJob(j sched.Job) ([]byte, error) {
	return msgpack.Marshal(&j)
}

// DecodeJob reads what [EncodeJob] returned.
func DecodeJob(b []byte) (sched.Job, error) {
	var j sched.Job
	err := msgpack.Unmarshal(b, &j)
	return j, err
}

// An Outcome tells what became of a job that was handed in.
type Outcome uint8

// The outcomes.
const (
	Accepted Outcome = iota // it is kept
	Known                   // the same job was accepted before
	Conflict                // another job has its id
	Refused                 // certainly nothing was written this time
	Unknown                 // it may be kept
)

var outcomeNames = [...]string{"accepted", "known", "conflict", "refused", "unknown"}

// String returns the outcome's name.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Accept tries once to keep a job.
func Accept(ctx context.Context, s store.Store, j sched.Job) (Outcome, error) {
	v, err := EncodeJob(j)
	if err != nil {
		return Refused, err
	}
	k := JobKey(j.ID)
	r, err := s.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			{
				Key:     k,
				Version: 0,
			},
		},
		Puts: []store.Put{
			{
				Key:   k,
				Value: v,
			},
		},
	})
	if err != nil {
		return failure(err), err
	}
	if r.Applied {
		return Accepted, nil
	}
	for _, row := range r.Current {
		if row.Key == k && row.Version > 0 {
			return compare(j, row.Value)
		}
	}
	return Refused, nil
}

func failure(err error) Outcome {
	if errors.Is(err, store.ErrRefused) {
		return Refused
	}
	return Unknown
}

// compare tells whether a kept job is the one that was handed in again; when
// it was handed in does not matter.
func compare(j sched.Job, kept []byte) (Outcome, error) {
	o, err := DecodeJob(kept)
	if err != nil {
		return Conflict, err
	}
	j.Received = o.Received
	v, err := EncodeJob(j)
	if err != nil {
		return Conflict, err
	}
	if !bytes.Equal(v, kept) {
		return Conflict, nil
	}
	return Known, nil
}

// Cancel marks a job as cancelled. It returns false when there is no such job.
func Cancel(ctx context.Context, s store.Store, id spoolsill.JobID) (bool, error) {
	row, err := store.Get(ctx, s, JobKey(id))
	if err != nil || row.Version == 0 {
		return false, err
	}
	_, err = s.Commit(ctx, store.Transaction{
		Puts: []store.Put{
			{
				Key:   cancelKey(id),
				Value: []byte{1},
			},
		},
	})
	return err == nil, err
}

// State reads a job's state from the store. It returns false when there is no
// such job.
func State(ctx context.Context, s store.Store, id spoolsill.JobID) (sched.JobStatus, bool, error) {
	k := JobKey(id)
	p, err := s.List(ctx, k.Table, k.Partition, k.Name, 2)
	if err != nil {
		return sched.JobStatus{}, false, err
	}
	var known, cancelled bool
	st := sched.JobStatus{
		ID: id,
	}
	for _, r := range p.Rows {
		switch r.Key.Name {
		case k.Name:
			known = true
			j, err := DecodeJob(r.Value)
			if err != nil {
				return st, true, err
			}
			st.Queue = j.Queue
		case cancelKey(id).Name:
			cancelled = true
		}
	}
	if !known {
		return st, false, nil
	}
	row, err := store.Get(ctx, s, ProgressKey(id))
	if err != nil {
		return st, true, err
	}
	if row.Version > 0 {
		pr, err := DecodeProgress(row.Value)
		if err != nil {
			return st, true, err
		}
		st.State = pr.State
	}
	if cancelled && !st.State.Final() {
		st.State = sched.Cancelled
	}
	return st, true, nil
}

// DecodeProgress reads a row of the progress table.
func DecodeProgress(b []byte) (sched.Progress, error) {
	return sched.DecodeProgress(b)
}
