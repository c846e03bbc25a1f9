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
	// batchMost is how many jobs one transaction keeps: each is a condition
	// and a row, and the store takes 100 of both together.
	batchMost = 48
	// batchBytes bounds the rows of a transaction; the store takes 1 MB, and
	// base64 adds a third.
	batchBytes = 600 << 10
	// queueMost bounds the jobs that wait for their write.
	queueMost = 2048
	// pauseFirst is between tries that the store refused, or whose connection
	// broke: some usual writes. It doubles up to pauseMost while they go on
	// failing, which is how much later than the store a host is back.
	pauseFirst = 40 * time.Millisecond
	pauseMost  = 250 * time.Millisecond
	// triesAtOnce is how many tries of a write are waited for side by side, and
	// writeWithin for how long: two thirds of what clients wait in all.
	triesAtOnce = 3
	writeWithin = 2 * time.Second
)

// A Writer keeps jobs in a host's own partition, so that hosts do not wait for
// each other, and several at once while a write is under way, so that a slow
// store keeps as many as a fast one.
type Writer struct {
	// Store is written to, in Partition.
	Store     store.Store
	Partition string
	// MaxRow is the longest row that the store takes, in bytes; 0 means any.
	MaxRow int
	// Timeout returns how long one try of a write is waited for now before
	// another one is sent.
	Timeout func() time.Duration

	queue chan *entry
	delay time.Duration // before the next try after one that failed
}

// An entry is a job that is to be kept.
type entry struct {
	ctx   context.Context //nolint:containedctx // of the client's call, which the write outlives
	job   sched.Job
	value []byte
	tried bool
	done  chan result
}

type result struct {
	outcome Outcome
	err     error
}

// NewWriter returns a writer; Run must be called.
func NewWriter(w Writer) *Writer {
	w.queue = make(chan *entry, queueMost)
	return &w
}

// Accept keeps a job. When ctx ends before the store has answered, the outcome
// is Unknown if a write was tried, else Refused.
func (w *Writer) Accept(ctx context.Context, j sched.Job) (Outcome, error) {
	v, err := EncodeJob(j)
	if err != nil {
		return Refused, err
	}
	if w.MaxRow > 0 && max(len(v), sched.MaxProgressBytes(j)) > w.MaxRow {
		// It would be refused, and with it all that share its write.
		return TooLarge, nil
	}
	e := &entry{
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
		// The writer may have begun with it in this moment.
		return Unknown, ctx.Err()
	}
}

// Run writes until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	var batch []*entry
	for {
		if len(batch) == 0 {
			select {
			case e := <-w.queue:
				batch = append(batch, e)
			case <-ctx.Done():
				return
			}
		}
		batch = dropLeft(w.fill(batch))
		if len(batch) == 0 {
			continue
		}
		batch = w.write(ctx, batch)
		if ctx.Err() != nil {
			return
		}
	}
}

// fill adds what waits to a batch.
func (w *Writer) fill(batch []*entry) []*entry {
	size := 0
	for _, e := range batch {
		size += len(e.value)
	}
	for len(batch) < batchMost && size < batchBytes {
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

// dropLeft drops the jobs whose clients no longer wait for an answer.
func dropLeft(batch []*entry) []*entry {
	kept := batch[:0]
	for _, e := range batch {
		if e.ctx.Err() == nil {
			kept = append(kept, e)
		}
	}
	return kept
}

// write tries to keep a batch, and returns the jobs that are still to be kept.
func (w *Writer) write(ctx context.Context, batch []*entry) []*entry {
	batch = unique(batch)
	t := w.transaction(batch)
	c, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	r, _, err := store.CommitPatiently(c, w.Store, t, store.Patience{
		First: w.Timeout(),
		Most:  writeWithin,
		Tries: triesAtOnce,
	})
	switch {
	case errors.Is(err, store.ErrRefused):
		return w.refused(ctx, batch, err)
	case err != nil:
		for _, e := range batch {
			e.tried = true
		}
		if !errors.Is(err, context.DeadlineExceeded) {
			w.rest(ctx) // else it has been waited for long enough
		}
		return batch
	case r.Applied:
		w.delay = 0
		for _, e := range batch {
			e.settle(Accepted, nil)
		}
		return nil
	default:
		w.delay = 0
		return w.settleKnown(batch, r.Current)
	}
}

// refused gives the jobs back at once: others may be able to keep them. Those
// that an earlier write has tried may be kept already and are tried on.
func (w *Writer) refused(ctx context.Context, batch []*entry, err error) []*entry {
	var rest []*entry
	for _, e := range batch {
		if !e.tried {
			e.settle(Refused, err)
			continue
		}
		rest = append(rest, e)
	}
	w.rest(ctx)
	return rest
}

// rest pauses after a try that failed, for longer each time.
func (w *Writer) rest(ctx context.Context) {
	w.delay = min(max(2*w.delay, pauseFirst), pauseMost)
	pause.For(ctx, w.delay)
}

// unique answers the second of two equal entries like a retry: later.
func unique(batch []*entry) []*entry {
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

func (w *Writer) transaction(batch []*entry) store.Transaction {
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

// settleKnown answers the jobs whose rows are there already.
func (w *Writer) settleKnown(batch []*entry, current []store.Row) []*entry {
	there := map[string]store.Row{}
	for _, r := range current {
		if r.Version > 0 {
			there[r.Key.Name] = r
		}
	}
	var rest []*entry
	for _, e := range batch {
		r, ok := there[string(e.job.ID)]
		if !ok {
			rest = append(rest, e)
			continue
		}
		if bytes.Equal(r.Value, e.value) {
			e.settle(Accepted, nil)
			continue
		}
		e.settle(compare(e.job, r.Value))
	}
	return rest
}

func (e *entry) settle(o Outcome, err error) {
	e.done <- result{
		outcome: o,
		err:     err,
	}
}
