package leader

import (
	"context"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// write begins the next write when none is under way.
func (l *Leader) write(ctx context.Context, now time.Time) error {
	if l.writing || now.Sub(l.lastWrite) < writeEvery {
		return nil
	}
	b, any, err := l.state.Batch(now)
	if err != nil {
		return err
	}
	if !any && now.Sub(l.lastWrite) < keepAlive {
		return nil
	}
	l.writing = true
	if l.loaded {
		l.config.Chain.MarkLoaded()
	}
	// The write goes on when the leadership is being given up: its fate must
	// be known before the row can be written again.
	ctx = l.writeCtx
	l.written.Add(1)
	go func() {
		defer l.written.Done()
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
		if err := l.config.Chain.Write(ctx, puts, deletes); err != nil {
			l.send(leadershipEnded{
				err: err,
			})
			return
		}
		l.send(batchWritten{
			batch: b,
			begun: now,
		})
	}()
	return nil
}

// outage is how long a write must have taken for the store to have been away,
// and not just slow: longer than one try may take.
const outage = 2 * tryMost

func (l *Leader) takeWritten(now time.Time, e batchWritten) {
	l.writing = false
	if now.Sub(e.begun) > outage {
		l.config.Log.WithField("took_ms", now.Sub(e.begun).Milliseconds()).Info("store is back")
		l.state.StoreBack(now)
	}
	l.lastWrite = e.begun
	l.countWrites()
	l.publish(e.begun, e.batch.Statuses)
	for _, o := range l.state.Written(now, e.batch) {
		l.sendStart(o)
	}
	l.sweeper.add(e.batch.Ended)
	l.forget(e.batch.Forgotten)
	for _, a := range e.batch.Acks {
		if h := l.renewers[a.Life]; h != nil {
			h.ack(a.Sequence)
		}
	}
}

// countWrites takes in how many writes last; none is under way.
func (l *Leader) countWrites() {
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
	w := l.state.Waiting()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fresh = begun
	l.waiting = w
	l.known = l.loaded
	for _, s := range statuses {
		if !l.statuses[s.ID].State.Final() {
			l.statuses[s.ID] = s
		}
	}
}
