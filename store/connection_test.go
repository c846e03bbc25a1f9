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

// A pooledStore calls over a pool of open connections, which may all have gone
// silent; a call that wants a new one has the others closed.
type pooledStore struct {
	store.Store
	limit time.Duration // of reads over a connection that is silent
	mu    sync.Mutex
	// silent is how many open connections are.
	silent int
	opened int
}

// open reports whether the call goes over a connection that answers.
func (s *pooledStore) open(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if store.WantsNewConnection(ctx) {
		s.silent = 0
		s.opened++
	}
	if s.silent > 0 {
		s.silent--
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
		pause.For(ctx, s.limit)
		return store.Changes{}, store.ErrUnknownOutcome
	}
	return s.Store.Feed(ctx, table, after, wait)
}

// A write whose connection is silent goes over a new one once it is overdue, and
// one that is answered in time never does.
func TestPatienceWithSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pooledStore{
			Store: cellfake.NewStore(),
		}
		_, _, err := store.CommitHedged(t.Context(), s, put("a"), patience)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.opened, qt.Equals, 0)
		s.silent = 8
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		begun := time.Now()
		r, _, err := store.CommitHedged(ctx, s, put("b"), patience)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Applied, qt.IsTrue)
		qt.Check(t, time.Since(begun) < 2*patience.First, qt.IsTrue, qt.Commentf("written after %s", time.Since(begun)))
		qt.Check(t, s.opened, qt.Equals, 1)
	})
}

// A feed whose connection is silent loses one call, however many others are. One
// that is refused has no reason for a new connection.
func TestFollowerWithSilentConnections(t *testing.T) {
	const (
		wait  = time.Second
		limit = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		s := &pooledStore{
			Store: inner,
			limit: limit,
		}
		var oldest time.Duration
		f := store.Watcher{
			Store:   s,
			Table:   table,
			Wait:    wait,
			Listed:  func([]store.Row) {},
			Changed: func(store.Row) {},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		pause.For(ctx, 5*time.Second)
		inner.TurnAway(true)
		pause.For(ctx, 3*time.Second)
		inner.TurnAway(false)
		pause.For(ctx, 3*time.Second)
		qt.Check(t, s.opened, qt.Equals, 0)
		s.mu.Lock()
		s.silent = 8
		s.mu.Unlock()
		for range 300 {
			pause.For(ctx, 100*time.Millisecond)
			oldest = max(oldest, f.Age(time.Now()))
		}
		qt.Check(t, oldest < 2*wait+limit, qt.IsTrue, qt.Commentf("what was told was %s old", oldest))
		qt.Check(t, s.opened, qt.Equals, 1)
		cancel()
		<-done
	})
}
