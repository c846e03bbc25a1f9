package leader

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// write begins the next write, if none is in flight.
func (l *Leader) write(ctx context.Context, now time.Time) error {
	if l.writing || now.Sub(l.lastWrite) < writeInterval {
		return nil
	}
	b, nonEmpty, err := l.state.Batch(now)
	if err != nil {
		return err
	}
	if !nonEmpty && now.Sub(l.lastWrite) < keepAliveInterval {
		return nil
	}
	l.writing = true
	l.written.add(b)
	if l.loaded {
		l.config.Chain.MarkLoaded()
	}
	l.storeFormer(now)
	// The write continues while the leadership is being released: its outcome must be known
	// before the row can be written again.
	ctx = l.writeCtx
	l.pendingWrite.Add(1)
	go func() {
		defer l.pendingWrite.Done()
		puts := make([]store.Put, len(b.Rows))
		for i, r := range b.Rows {
			puts[i] = store.Put{
				Key:   jobstore.ProgressKey(r.ID),
				Value: r.Value,
			}
		}
		deletes := make([]store.Key, len(b.Forgotten))
		for i, id := range b.Forgotten {
			deletes[i] = jobstore.ProgressKey(id)
		}
		rejected, err := l.config.Chain.Write(ctx, puts, deletes)
		if err != nil {
			l.send(leadershipEnded{
				err: err,
			})
			return
		}
		e := batchWritten{
			batch: b,
			begun: now,
		}
		for _, k := range rejected {
			e.rejected = append(e.rejected, spoolsill.JobID(k.Name))
		}
		l.send(e)
	}()
	return nil
}

// outageThreshold is the duration of a write above which the store counts as having been
// unreachable and not just slow: longer than one attempt may run alone.
const outageThreshold = 2 * maxTryTimeout

func (l *Leader) handleWritten(now time.Time, e batchWritten) {
	l.writing = false
	if now.Sub(e.begun) > outageThreshold {
		l.config.Log.WithField("took_ms", now.Sub(e.begun).Milliseconds()).Info("store is back")
		l.state.StoreRecovered(now)
	}
	l.lastWrite = e.begun
	l.followers.written(e.begun)
	l.updateWriteCount()
	b := l.state.RowsRejected(now, e.batch, e.rejected)
	l.publish(e.begun, b.Statuses)
	for _, o := range l.state.BatchWritten(now, b) {
		l.sendStart(o)
	}
	l.sweeper.enqueue(b.Ended)
	l.forget(b.Forgotten)
	for _, a := range b.Acks {
		if h := l.renewers[a.WorkerIncarnation]; h != nil {
			h.ack(a.Sequence)
		}
	}
}

// updateWriteCount publishes the number of successful writes. No write may be in flight.
func (l *Leader) updateWriteCount() {
	n := l.config.Chain.Writes()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = n
}

func (l *Leader) forget(ids []spoolsill.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		delete(l.statuses, id)
	}
}

func (l *Leader) publish(begun time.Time, statuses []sched.JobStatus) {
	w := l.state.PendingJobs()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.publishedWrite = begun
	l.waiting = w
	l.jobsKnown = l.loaded
	for _, s := range statuses {
		if !l.statuses[s.ID].State.Final() {
			l.statuses[s.ID] = s
		}
	}
}
