package jobstore

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// maxBatchJobs is the number of jobs in one transaction. Each needs a condition
	// and a put, and the store accepts 100 of both together.
	maxBatchJobs = 48
	// maxBatchBytes bounds the values in a transaction. The store accepts 1 MB, and
	// base64 adds a third.
	maxBatchBytes = 600 << 10
	// maxQueuedJobs bounds the jobs that wait to be written.
	maxQueuedJobs = 2048
	// minRetryDelay is the delay after a write that the store refused or whose
	// connection failed: the duration of a few usual writes. It doubles with each
	// further failure up to maxRetryDelay, by which a host's recovery can lag behind
	// the store's.
	minRetryDelay = 40 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// maxAttempts bounds the concurrent attempts of a write, and writeTimeout its
	// duration: two thirds of the time that clients wait in all.
	maxAttempts  = 3
	writeTimeout = 2 * time.Second
)

// A Writer stores jobs in the host's own partition, so that hosts do not wait for each
// other. Jobs that arrive during a write are batched into the next one, so that a slow
// store accepts as many jobs as a fast one.
type Writer struct {
	// Store and Partition are where jobs are written.
	Store     store.Store
	Partition string
	// MaxRow is the largest row that the store accepts, in bytes; 0 means no limit.
	MaxRow int
	// Timeout returns the current delay before a write without a response is sent
	// again.
	Timeout func() time.Duration

	queue      chan *pendingJob
	retryDelay time.Duration // after the next failed write
}

// A pendingJob is a job that waits to be stored.
type pendingJob struct {
	ctx       context.Context //nolint:containedctx // of the client's request, which the write outlives
	job       sched.Job
	value     []byte
	attempted bool
	done      chan result
}

type result struct {
	outcome Outcome
	err     error
}

// NewWriter returns a writer with the configuration of w. It writes nothing until Run is
// called.
func NewWriter(w Writer) *Writer {
	w.queue = make(chan *pendingJob, maxQueuedJobs)
	return &w
}

// Accept stores a job and returns the outcome. If ctx is done before the store has
// answered, the outcome is Unknown.
func (w *Writer) Accept(ctx context.Context, j sched.Job) (Outcome, error) {
	v, err := EncodeJob(j)
	if err != nil {
		return Refused, err
	}
	if w.MaxRow > 0 && max(len(v), sched.MaxProgressBytes(j)) > w.MaxRow {
		// The store would refuse it together with all other jobs in its batch.
		return TooLarge, nil
	}
	e := &pendingJob{
		ctx:   ctx,
		job:   j,
		value: v,
		done:  make(chan result, 1),
	}
	select {
	case w.queue <- e:
	default:
		return Refused, errors.New("jobstore: too many jobs wait to be written")
	}
	select {
	case r := <-e.done:
		return r.outcome, r.err
	case <-ctx.Done():
		// The writer may have begun to write the job.
		return Unknown, ctx.Err()
	}
}

// Run writes jobs until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	var batch []*pendingJob
	for {
		if len(batch) == 0 {
			select {
			case e := <-w.queue:
				batch = append(batch, e)
			case <-ctx.Done():
				return
			}
		}
		batch = dropAbandoned(w.fillBatch(batch))
		if len(batch) == 0 {
			continue
		}
		batch = w.write(ctx, batch)
		if ctx.Err() != nil {
			return
		}
	}
}

// fillBatch adds queued jobs to a batch, up to its limits.
func (w *Writer) fillBatch(batch []*pendingJob) []*pendingJob {
	size := 0
	for _, e := range batch {
		size += len(e.value)
	}
	for len(batch) < maxBatchJobs && size < maxBatchBytes {
		select {
		case e := <-w.queue:
			batch = append(batch, e)
			size += len(e.value)
		default:
			return batch
		}
	}
	return batch
}

// dropAbandoned removes the jobs whose clients no longer wait for a response.
func dropAbandoned(batch []*pendingJob) []*pendingJob {
	kept := batch[:0]
	for _, e := range batch {
		if e.ctx.Err() == nil {
			kept = append(kept, e)
		}
	}
	return kept
}

// write attempts to store a batch and returns the jobs that must be attempted again.
func (w *Writer) write(ctx context.Context, batch []*pendingJob) []*pendingJob {
	batch = dropDuplicates(batch)
	t := w.transaction(batch)
	c, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r, _, err := store.CommitHedged(c, w.Store, t, store.HedgePolicy{
		First: w.Timeout(),
		Max:   writeTimeout,
		Tries: maxAttempts,
	})
	switch {
	case errors.Is(err, store.ErrRefused):
		return w.rejectBatch(ctx, batch, err)
	case err != nil:
		for _, e := range batch {
			e.attempted = true
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			w.backOff(ctx) // after a timeout there is no need for a further delay
		}
		return batch
	case r.Applied:
		w.retryDelay = 0
		for _, e := range batch {
			e.settle(Accepted, nil)
		}
		return nil
	default:
		w.retryDelay = 0
		return w.settleExisting(batch, r.Current)
	}
}

// rejectBatch settles jobs as Refused at once, since another host may be able to store
// them. It returns the jobs of an earlier write with an unknown outcome, which may be
// stored already and must be attempted again.
func (w *Writer) rejectBatch(ctx context.Context, batch []*pendingJob, err error) []*pendingJob {
	var remaining []*pendingJob
	for _, e := range batch {
		if !e.attempted {
			e.settle(Refused, err)
			continue
		}
		remaining = append(remaining, e)
	}
	w.backOff(ctx)
	return remaining
}

// backOff waits after a failed write, with exponential delay.
func (w *Writer) backOff(ctx context.Context) {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	pause.For(ctx, w.retryDelay)
}

// dropDuplicates removes jobs whose id occurs earlier in the batch and settles them as
// Refused. A retry after the write then finds the stored job.
func dropDuplicates(batch []*pendingJob) []*pendingJob {
	seen := map[spoolsill.JobID]bool{}
	kept := batch[:0]
	for _, e := range batch {
		if seen[e.job.ID] {
			e.settle(Refused, nil)
			continue
		}
		seen[e.job.ID] = true
		kept = append(kept, e)
	}
	return kept
}

func (w *Writer) transaction(batch []*pendingJob) store.Transaction {
	var t store.Transaction
	for _, e := range batch {
		k := jobKey(w.Partition, e.job.ID)
		t.Conditions = append(t.Conditions, store.Condition{
			Key: k,
		})
		t.Puts = append(t.Puts, store.Put{
			Key:   k,
			Value: e.value,
		})
	}
	return t
}

// settleExisting settles the jobs whose rows exist already and returns the others.
func (w *Writer) settleExisting(batch []*pendingJob, current []store.Row) []*pendingJob {
	existing := map[string]store.Row{}
	for _, r := range current {
		if r.Version > 0 {
			existing[r.Key.Name] = r
		}
	}
	var remaining []*pendingJob
	for _, e := range batch {
		r, ok := existing[string(e.job.ID)]
		if !ok {
			remaining = append(remaining, e)
			continue
		}
		if bytes.Equal(r.Value, e.value) {
			e.settle(Accepted, nil)
			continue
		}
		e.settle(compareStored(e.job, r.Value))
	}
	return remaining
}

func (e *pendingJob) settle(o Outcome, err error) {
	e.done <- result{
		outcome: o,
		err:     err,
	}
}
