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

// A slowLinkStore sends all responses over one link with a limited rate.
type slowLinkStore struct {
	store.Store
	rate int // bytes per second

	mu     sync.Mutex
	freeAt time.Time // when the link has sent everything that is queued
}

// transfer waits until size bytes have been sent after everything that is queued already.
func (s *slowLinkStore) transfer(ctx context.Context, size int) {
	s.mu.Lock()
	if s.freeAt.Before(time.Now()) {
		s.freeAt = time.Now()
	}
	s.freeAt = s.freeAt.Add(time.Duration(size) * time.Second / time.Duration(s.rate))
	end := s.freeAt
	s.mu.Unlock()
	pause.For(ctx, time.Until(end))
}

// List implements store.Store.
func (s *slowLinkStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	p, err := s.Store.List(ctx, table, partition, from, limit)
	n := 0
	for _, r := range p.Rows {
		n += 60 + len(r.Key.Name) + len(r.Value)*4/3
	}
	s.transfer(ctx, n)
	return p, err
}

// Commit implements store.Store.
func (s *slowLinkStore) Commit(ctx context.Context, t store.Transaction) (store.Result, error) {
	r, err := s.Store.Commit(ctx, t)
	s.transfer(ctx, 200)
	return r, err
}

// slowestWrite lists a table of 1,400 rows of 1 KB over a 2 Mbit/s link, with at most
// inFlight bytes in flight. It returns the longest duration of a concurrent write and the
// duration of the listing.
func slowestWrite(t *testing.T, inFlight int) (write, listing time.Duration) {
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
		s := &slowLinkStore{
			Store: inner,
			rate:  250_000,
		}
		listed := make(chan int, 1)
		w := &store.Watcher{
			Store:  s,
			Table:  "jobs",
			Wait:   time.Second,
			Pace:   store.NewReadLimiter(inFlight),
			Listed: func(rows []store.Row) { listed <- len(rows) },
		}
		var running sync.WaitGroup
		start := time.Now()
		running.Go(func() { w.Run(ctx) })
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
		listing = time.Since(start)
		qt.Assert(t, <-listed, qt.Equals, 1400)
		cancel()
		running.Wait()
	})
	return write, listing
}

// Guards against listings that delay the leader's writes until another host replaces it. A
// new leader read all jobs over a 2 Mbit/s link with eight concurrent full pages, and the
// responses to its own writes queued behind them. Each write waits for the previous one,
// and another host takes over when the leader's row is unchanged for 0.35 s. Four leaders
// within 8.4 s each started to read all jobs again, and only the last one finished, after
// 10.3 s. With 0.15 s of the link's capacity in flight, writes are answered in time, and
// the listing takes no longer since its duration is determined by the link.
func TestReadLimiterLeavesBandwidthForWrites(t *testing.T) {
	c := qt.New(t)
	unlimited, whole := slowestWrite(t, 0)
	t.Logf("without limit: a write takes at most %v, the listing %v", unlimited, whole)
	c.Check(unlimited > time.Second, qt.IsTrue)
	limited, listing := slowestWrite(t, 37_500)
	t.Logf("with limit: a write takes at most %v, the listing %v", limited, listing)
	c.Check(limited < 300*time.Millisecond, qt.IsTrue)
	c.Check(listing < whole*11/10, qt.IsTrue)
}

func TestNewReadLimiterOfZero(t *testing.T) {
	qt.Assert(t, store.NewReadLimiter(0), qt.IsNil)
}
