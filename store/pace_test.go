package store_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/store"
)

// A queuedStore answers over a link that carries one byte after the other.
type queuedStore struct {
	store.Store
	rate int // bytes a second

	mu   sync.Mutex
	free time.Time
}

// carry returns when n bytes have come, behind all that were sent before.
func (s *queuedStore) carry(ctx context.Context, n int) {
	s.mu.Lock()
	if s.free.Before(time.Now()) {
		s.free = time.Now()
	}
	s.free = s.free.Add(time.Duration(n) * time.Second / time.Duration(s.rate))
	end := s.free
	s.mu.Unlock()
	pause.For(ctx, time.Until(end))
}

// List implements store.Store.
func (s *queuedStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	p, err := s.Store.List(ctx, table, partition, from, limit)
	n := 0
	for _, r := range p.Rows {
		n += 60 + len(r.Key.Name) + len(r.Value)*4/3
	}
	s.carry(ctx, n)
	return p, err
}

// Commit implements store.Store.
func (s *queuedStore) Commit(ctx context.Context, t store.Transaction) (store.Result, error) {
	r, err := s.Store.Commit(ctx, t)
	s.carry(ctx, 200)
	return r, err
}

// slowestWrite lists, at a pace of so many bytes, a table of 1,400 rows of a kilobyte over a link of 2 Mbit/s, and
// returns how long the slowest answer to a write took meanwhile, and the listing.
func slowestWrite(t *testing.T, pace int) (write, listing time.Duration) {
	const partitions = 12
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		inner := cellfake.NewStore()
		for i := range 1400 {
			inner.Put(store.Put{
				Key: store.Key{
					Table:     "jobs",
					Partition: fmt.Sprintf("host%d", i%partitions),
					Name:      fmt.Sprintf("job%d", i),
				},
				Value: make([]byte, 1000),
			})
		}
		s := &queuedStore{
			Store: inner,
			rate:  250_000,
		}
		listed := make(chan int, 1)
		f := &store.Watcher{
			Store:  s,
			Table:  "jobs",
			Wait:   time.Second,
			Pace:   store.NewReadLimiter(pace),
			Listed: func(rows []store.Row) { listed <- len(rows) },
		}
		var running sync.WaitGroup
		began := time.Now()
		running.Go(func() { f.Run(ctx) })
		for len(listed) == 0 {
			sent := time.Now()
			_, err := s.Commit(ctx, store.Transaction{
				Puts: []store.Put{{
					Key: store.Key{
						Table: "head",
						Name:  "leader",
					},
				}},
			})
			qt.Assert(t, err, qt.IsNil)
			write = max(write, time.Since(sent))
			pause.For(ctx, 150*time.Millisecond)
		}
		listing = time.Since(began)
		qt.Assert(t, <-listed, qt.Equals, 1400)
		cancel()
		running.Wait()
	})
	return write, listing
}

// What happened: a leader that had just taken over read all jobs over a link of 2
// Mbit/s, eight whole pages at once. The answers to its own writes came behind them,
// each write waits for the one before, and a leader's row that has not changed for
// 0.35 s has others take over: they did, read all jobs anew, and so on. Of four
// leaders in 8.4 s none had read all but the last, which took 10.3 s. At a pace of
// 0.15 s of the link a write is answered well within what others wait, and the
// listing takes no longer, since it is the link that it waits for.
func TestAPacedListingLeavesRoomForWrites(t *testing.T) {
	c := qt.New(t)
	unpaced, whole := slowestWrite(t, 0)
	t.Logf("unpaced: a write takes %v at most, the listing %v", unpaced, whole)
	c.Check(unpaced > time.Second, qt.IsTrue)
	paced, listing := slowestWrite(t, 37_500)
	t.Logf("paced: a write takes %v at most, the listing %v", paced, listing)
	c.Check(paced < 300*time.Millisecond, qt.IsTrue)
	c.Check(listing < whole*11/10, qt.IsTrue)
}

func TestAPaceOfNothingBoundsNothing(t *testing.T) {
	qt.Assert(t, store.NewReadLimiter(0), qt.IsNil)
}
