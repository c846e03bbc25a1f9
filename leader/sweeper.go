package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// sweepInterval is how often rows of ended jobs are deleted: seldom enough to cost few
	// calls, often enough that a new leader reads few of them.
	sweepInterval = 1500 * time.Millisecond
	// maxSweepRows is how many rows one transaction deletes; the store allows 100.
	maxSweepRows = 90
	// sweepTimeout bounds one transaction.
	sweepTimeout = 2 * time.Second
)

// A sweeper deletes the rows of ended jobs from the jobs table, so that the next leader has less
// to load. The progress row of an ended job holds all that is still needed.
type sweeper struct {
	leader *Leader
	keys   map[spoolsill.JobID][]store.Key
	// pending has the rows to delete, by partition.
	pending   map[string][]store.Key
	busy      map[string]bool
	completed chan string
	lastSweep time.Time
}

func newSweeper(l *Leader) *sweeper {
	return &sweeper{
		leader:    l,
		keys:      map[spoolsill.JobID][]store.Key{},
		pending:   map[string][]store.Key{},
		busy:      map[string]bool{},
		completed: make(chan string, eventBuffer),
	}
}

// addKey records the key of a row of a job.
func (s *sweeper) addKey(id spoolsill.JobID, k store.Key) {
	if slices.Contains(s.keys[id], k) {
		return
	}
	s.keys[id] = append(s.keys[id], k)
}

// partitionOf returns the partition of a job's row; "" when it is not known.
func (s *sweeper) partitionOf(id spoolsill.JobID) string {
	for _, k := range s.keys[id] {
		if _, isCancellation := jobstore.CancelledJob(k.Name); !isCancellation {
			return k.Partition
		}
	}
	return ""
}

// enqueue schedules the rows of jobs for deletion.
func (s *sweeper) enqueue(ids []spoolsill.JobID) {
	for _, id := range ids {
		for _, k := range s.keys[id] {
			s.pending[k.Partition] = append(s.pending[k.Partition], k)
		}
		delete(s.keys, id)
	}
}

// sweep deletes rows, with one transaction at a time in each partition.
func (s *sweeper) sweep(ctx context.Context, now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	s.collectCompleted()
	for p, keys := range s.pending {
		if s.busy[p] {
			continue
		}
		n := min(len(keys), maxSweepRows)
		s.delete(ctx, p, keys[:n])
		s.pending[p] = keys[n:]
		if n == len(keys) {
			delete(s.pending, p)
		}
	}
}

func (s *sweeper) collectCompleted() {
	for {
		select {
		case p := <-s.completed:
			delete(s.busy, p)
		default:
			return
		}
	}
}

func (s *sweeper) delete(ctx context.Context, partition string, keys []store.Key) {
	s.busy[partition] = true
	l := s.leader
	l.spawn(func() {
		c, cancel := context.WithTimeout(ctx, sweepTimeout)
		defer cancel()
		_, err := l.config.Store.Commit(c, store.Transaction{
			Deletes: keys,
		})
		if err != nil && !errors.Is(err, context.Canceled) {
			// The rows are left to the next leader, which finds the jobs ended.
			l.config.Log.WithError(err).WithField("table", jobstore.JobsTable).WithField("rows", len(keys)).Warn("rows of ended jobs were not deleted")
		}
		s.completed <- partition
	})
}
