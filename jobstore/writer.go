package jobstore

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
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
	// connection failed. It is the duration of a few typical writes and doubles with
	// each further failure, up to maxRetryDelay. After a store outage the host may
	// recover later than the store by up to maxRetryDelay.
	minRetryDelay = 40 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// maxAttempts bounds the concurrent attempts of a write. writeTimeout bounds its
	// duration to two thirds of the time that clients wait in total.
	maxAttempts  = 3
	writeTimeout = 2 * time.Second
)

// A Writer stores jobs in the host's own partition, so that hosts do not contend with
// each other. Jobs that arrive during a write are batched into the next one, so that a
// slow store accepts as many jobs as a fast one.
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
	ctx       context.Context //nolint:containedctx // the context of the client's request, which may end before the write
	job       sched.Job
	value     []byte
	attempted bool
	done      chan result
	claim     atomic.Uint32 // claimedByWriter or claimedByCaller, or 0
}

// A job is claimed once: by the writer, before it first writes the job, or by a caller that
// gives up before that. Only the former can be stored.
const (
	claimedByWriter = iota + 1
	claimedByCaller
)

// claimFor claims the job, unless it is claimed, and reports whether the claimant has it.
func (p *pendingJob) claimFor(claimant uint32) bool {
	p.claim.CompareAndSwap(0, claimant)
	return p.claim.Load() == claimant
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
// answered, the outcome is Unknown if a write of the job was begun, and Refused otherwise.
func (w *Writer) Accept(ctx context.Context, j sched.Job) (Outcome, error) {
	v, err := EncodeJob(j)
	if err != nil {
		return Refused, err
	}
	if w.MaxRow > 0 && max(len(v), sched.MaxProgressBytes(j)) > w.MaxRow {
		// The store would refuse the whole batch that contains the job.
		return TooLarge, nil
	}
	p := &pendingJob{
		ctx:   ctx,
		job:   j,
		value: v,
		done:  make(chan result, 1),
	}
	select {
	case w.queue <- p:
	default:
		return Refused, errors.New("jobstore: too many jobs wait to be written")
	}
	select {
	case r := <-p.done:
		return r.outcome, r.err
	case <-ctx.Done():
		if p.claimFor(claimedByCaller) {
			return Refused, ctx.Err()
		}
		return Unknown, ctx.Err()
	}
}

// Run writes jobs until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	var batch []*pendingJob
	for {
		if len(batch) == 0 {
			select {
			case p := <-w.queue:
				batch = append(batch, p)
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
	for _, p := range batch {
		size += len(p.value)
	}
	for len(batch) < maxBatchJobs && size < maxBatchBytes {
		select {
		case p := <-w.queue:
			batch = append(batch, p)
			size += len(p.value)
		default:
			return batch
		}
	}
	return batch
}

// dropAbandoned removes the jobs whose clients no longer wait for a response, and claims the
// others for the writer.
func dropAbandoned(batch []*pendingJob) []*pendingJob {
	kept := batch[:0]
	for _, p := range batch {
		if p.ctx.Err() == nil && p.claimFor(claimedByWriter) {
			kept = append(kept, p)
		}
	}
	return kept
}

// write attempts to store a batch and returns the jobs that must be attempted again.
func (w *Writer) write(ctx context.Context, batch []*pendingJob) []*pendingJob {
	batch = dropDuplicates(batch)
	t := w.transaction(batch)
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r, _, err := store.CommitHedged(writeCtx, w.Store, t, store.HedgePolicy{
		First: w.Timeout(),
		Max:   writeTimeout,
		Tries: maxAttempts,
	})
	switch {
	case errors.Is(err, store.ErrInvalid) && len(batch) > 1:
		half := len(batch) / 2
		return append(w.write(ctx, batch[:half:half]), w.write(ctx, batch[half:])...)
	case errors.Is(err, store.ErrInvalid):
		w.backOff(ctx)
		batch[0].complete(TooLarge, err)
		return nil
	case errors.Is(err, store.ErrRefused):
		return w.rejectBatch(ctx, batch, err)
	case err != nil:
		for _, p := range batch {
			p.attempted = true
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			w.backOff(ctx) // not needed after a timeout, which is a delay in itself
		}
		return batch
	case r.Applied:
		w.retryDelay = 0
		for _, p := range batch {
			p.complete(Accepted, nil)
		}
		return nil
	default:
		w.retryDelay = 0
		return w.completeExisting(batch, r.Current)
	}
}

// rejectBatch completes jobs with Refused immediately, since another host may be able to
// store them. It returns the jobs of an earlier write with an unknown outcome: they may be
// stored already and must be attempted again.
func (w *Writer) rejectBatch(ctx context.Context, batch []*pendingJob, err error) []*pendingJob {
	var remaining []*pendingJob
	for _, p := range batch {
		if !p.attempted {
			p.complete(Refused, err)
			continue
		}
		remaining = append(remaining, p)
	}
	w.backOff(ctx)
	return remaining
}

// backOff waits after a failed write, with exponential delay.
func (w *Writer) backOff(ctx context.Context) {
	w.retryDelay = min(max(2*w.retryDelay, minRetryDelay), maxRetryDelay)
	pause.For(ctx, w.retryDelay)
}

// dropDuplicates removes jobs whose id occurs earlier in the batch and completes them with
// Refused. A retry after the write finds the stored job.
func dropDuplicates(batch []*pendingJob) []*pendingJob {
	seen := map[spoolsill.JobID]bool{}
	kept := batch[:0]
	for _, p := range batch {
		if seen[p.job.ID] {
			p.complete(Refused, nil)
			continue
		}
		seen[p.job.ID] = true
		kept = append(kept, p)
	}
	return kept
}

func (w *Writer) transaction(batch []*pendingJob) store.Transaction {
	var t store.Transaction
	for _, p := range batch {
		k := jobKey(w.Partition, p.job.ID)
		t.Conditions = append(t.Conditions, store.Condition{
			Key: k,
		})
		t.Puts = append(t.Puts, store.Put{
			Key:   k,
			Value: p.value,
		})
	}
	return t
}

// completeExisting completes the jobs whose rows exist already and returns the others.
func (w *Writer) completeExisting(batch []*pendingJob, current []store.Row) []*pendingJob {
	existing := map[string]store.Row{}
	for _, r := range current {
		if r.Version > 0 {
			existing[r.Key.Name] = r
		}
	}
	var remaining []*pendingJob
	for _, p := range batch {
		r, ok := existing[string(p.job.ID)]
		if !ok {
			remaining = append(remaining, p)
			continue
		}
		if bytes.Equal(r.Value, p.value) {
			p.complete(Accepted, nil)
			continue
		}
		p.complete(compareStored(p.job, r.Value))
	}
	return remaining
}

// complete passes the outcome to the call of Accept that waits for it.
func (p *pendingJob) complete(o Outcome, err error) {
	p.done <- result{
		outcome: o,
		err:     err,
	}
}
