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
	// sweepEvery is how often rows of ended jobs are deleted: seldom enough to
	// cost few calls, often enough that a take-over reads few.
	sweepEvery = 1500 * time.Millisecond
	// sweepMost is how many rows one transaction deletes; the store takes 100.
	sweepMost = 90
	// sweepTimeout bounds one transaction.
	sweepTimeout = 2 * time.Second
)

// A sweeper deletes the rows of jobs that have ended: of those the progress is
// enough, and a later leader has less to load.
type sweeper struct {
	leader *Leader
	keys   map[spoolsill.JobID][]store.Key
	// ended has the rows to delete by partition.
	ended map[string][]store.Key
	busy  map[string]bool
	freed chan string
	last  time.Time
}

func newSweeper(l *Leader) *sweeper {
	return &sweeper{
		leader: l,
		keys:   map[spoolsill.JobID][]store.Key{},
		ended:  map[string][]store.Key{},
		busy:   map[string]bool{},
		freed:  make(chan string, eventBuffer),
	}
}

// locate takes in where a row of a job lies.
func (s *sweeper) locate(id spoolsill.JobID, k store.Key) {
	if slices.Contains(s.keys[id], k) {
		return
	}
	s.keys[id] = append(s.keys[id], k)
}

// keeper returns the partition that keeps a job; empty when none is known.
func (s *sweeper) keeper(id spoolsill.JobID) string {
	for _, k := range s.keys[id] {
		if _, mark := jobstore.CancelledJob(k.Name); !mark {
			return k.Partition
		}
	}
	return ""
}

// add has the rows of jobs deleted.
func (s *sweeper) add(ids []spoolsill.JobID) {
	for _, id := range ids {
		for _, k := range s.keys[id] {
			s.ended[k.Partition] = append(s.ended[k.Partition], k)
		}
		delete(s.keys, id)
	}
}

// sweep deletes rows, one transaction at a time in each partition.
func (s *sweeper) sweep(ctx context.Context, now time.Time) {
	if now.Sub(s.last) < sweepEvery {
		return
	}
	s.last = now
	s.collect()
	for p, keys := range s.ended {
		if s.busy[p] {
			continue
		}
		n := min(len(keys), sweepMost)
		s.delete(ctx, p, keys[:n])
		s.ended[p] = keys[n:]
		if n == len(keys) {
			delete(s.ended, p)
		}
	}
}

func (s *sweeper) collect() {
	for {
		select {
		case p := <-s.freed:
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
			// They are left for a later leader, which finds them ended.
			l.config.Log.WithError(err).WithField("table", jobstore.JobsTable).WithField("rows", len(keys)).Warn("rows of ended jobs were not deleted")
		}
		s.freed <- partition
	})
}
