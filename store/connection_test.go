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

// A pooledStore simulates a client with a pool of open connections, some of which may be
// stalled. A call that needs a new connection closes the others.
type pooledStore struct {
	store.Store
	readTimeout time.Duration // timeout of reads over a stalled connection
	mu          sync.Mutex
	// stalled is the number of open connections that are stalled, opened the number of
	// calls that needed a new connection.
	stalled int
	opened  int
}

// open reports whether the call uses a connection that works.
func (s *pooledStore) open(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if store.WantsNewConnection(ctx) {
		s.stalled = 0
		s.opened++
	}
	if s.stalled > 0 {
		s.stalled--
		return false
	}
	return true
}

func (s *pooledStore) Commit(ctx context.Context, t store.Transaction) (store.Result, error) {
	if !s.open(ctx) {
		<-ctx.Done()
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
	}
	return s.Store.Commit(ctx, t)
}

func (s *pooledStore) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if !s.open(ctx) {
		pause.For(ctx, s.readTimeout)
		return store.Changes{}, store.ErrUnknownOutcome
	}
	return s.Store.Feed(ctx, table, after, wait)
}

// A write on a stalled connection is repeated on a new one when the response is overdue. A
// write that is answered in time opens no new connection.
func TestCommitHedgedStalledConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pooledStore{
			Store: cellfake.NewStore(),
		}
		_, _, err := store.CommitHedged(t.Context(), s, insertRow("a"), hedgePolicy)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.opened, qt.Equals, 0)
		s.stalled = 8
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		start := time.Now()
		r, _, err := store.CommitHedged(ctx, s, insertRow("b"), hedgePolicy)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Applied, qt.IsTrue)
		qt.Check(t, time.Since(start) < 2*hedgePolicy.First, qt.IsTrue, qt.Commentf("written after %s", time.Since(start)))
		qt.Check(t, s.opened, qt.Equals, 1)
	})
}

// A feed loses only one call to stalled connections, regardless of their number. A refused
// call opens no new connection.
func TestWatcherStalledConnections(t *testing.T) {
	const (
		wait        = time.Second
		readTimeout = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		s := &pooledStore{
			Store:       inner,
			readTimeout: readTimeout,
		}
		var maxAge time.Duration
		w := store.Watcher{
			Store:   s,
			Table:   table,
			Wait:    wait,
			Listed:  func([]store.Row) {},
			Changed: func(store.Row) {},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		pause.For(ctx, 5*time.Second)
		inner.SetUnavailable(true)
		pause.For(ctx, 3*time.Second)
		inner.SetUnavailable(false)
		pause.For(ctx, 3*time.Second)
		qt.Check(t, s.opened, qt.Equals, 0)
		s.mu.Lock()
		s.stalled = 8
		s.mu.Unlock()
		for range 300 {
			pause.For(ctx, 100*time.Millisecond)
			maxAge = max(maxAge, w.Age(time.Now()))
		}
		qt.Check(t, maxAge < 2*wait+readTimeout, qt.IsTrue, qt.Commentf("the state was %s old", maxAge))
		qt.Check(t, s.opened, qt.Equals, 1)
		cancel()
		<-done
	})
}
