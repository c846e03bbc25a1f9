package store_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/store"
)

const (
	table            = "jobs"
	partitions       = 40
	rowsPerPartition = 3
)

// An overloadedStore refuses a fixed share of the calls to List.
type overloadedStore struct {
	store.Store
	mu          sync.Mutex
	calls       int
	refuseEvery int // every call with a multiple of this number is refused
}

func (s *overloadedStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	s.mu.Lock()
	s.calls++
	refused := s.calls%s.refuseEvery == 0
	s.mu.Unlock()
	if refused {
		return store.Page{}, store.ErrRefused
	}
	return s.Store.List(ctx, table, partition, from, limit)
}

func putRows(s *cellfake.Store) {
	for p := range partitions {
		for r := range rowsPerPartition {
			s.Put(store.Put{
				Key: store.Key{
					Table:     table,
					Partition: fmt.Sprintf("host%d", p),
					Name:      fmt.Sprintf("job%d-%d", p, r),
				},
				Value: []byte("x"),
			})
		}
	}
}

// A table of many partitions is read completely although the store refuses every fifth
// call, and changes during the listing are not missed.
func TestWatcherListsFromOverloadedStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		putRows(inner)
		s := &overloadedStore{
			Store:       inner,
			refuseEvery: 5,
		}
		seen := map[string]bool{}
		listings := 0
		w := store.Watcher{
			Store: s,
			Table: table,
			Wait:  time.Second,
			Listed: func(rows []store.Row) {
				listings++
				for _, r := range rows {
					seen[r.Key.Name] = true
				}
			},
			Changed: func(r store.Row) { seen[r.Key.Name] = true },
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		pause.For(ctx, 20*time.Millisecond)
		inner.Put(store.Put{
			Key: store.Key{
				Table:     table,
				Partition: "host0",
				Name:      "came-meanwhile",
			},
			Value: []byte("x"),
		})
		pause.For(ctx, 10*time.Second)
		cancel()
		<-done
		qt.Assert(t, listings, qt.Equals, 1)
		qt.Assert(t, seen, qt.HasLen, partitions*rowsPerPartition+1)
		// Only refused pages are requested again.
		qt.Assert(t, s.calls < 2*partitions, qt.IsTrue)
	})
}

// The time passed to Synced after a listing that was resumed must not be later than its
// first call: only the feed reports rows that were written between its calls.
func TestWatcherSyncedAfterResumedListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		putRows(inner)
		var mu sync.Mutex
		written := map[string]time.Time{}
		seen := map[string]bool{}
		var missed []string
		w := store.Watcher{
			Store: &overloadedStore{
				Store:       inner,
				refuseEvery: 5,
			},
			Table: table,
			Wait:  time.Second,
			Listed: func(rows []store.Row) {
				for _, r := range rows {
					seen[r.Key.Name] = true
				}
			},
			Changed: func(r store.Row) { seen[r.Key.Name] = true },
			Synced: func(sent time.Time) {
				mu.Lock()
				defer mu.Unlock()
				for name, at := range written {
					if at.Before(sent) && !seen[name] {
						missed = append(missed, name)
					}
				}
			},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		for i := range 100 {
			name := fmt.Sprintf("new%d", i)
			inner.Put(store.Put{
				Key: store.Key{
					Table:     table,
					Partition: fmt.Sprintf("host%d", i%partitions),
					Name:      name,
				},
			})
			mu.Lock()
			written[name] = time.Now()
			mu.Unlock()
			pause.For(ctx, 7*time.Millisecond)
		}
		pause.For(ctx, 5*time.Second)
		cancel()
		<-done
		qt.Assert(t, missed, qt.HasLen, 0)
		qt.Assert(t, seen, qt.HasLen, partitions*rowsPerPartition+100)
	})
}

// ReadAll resumes at the page that failed.
func TestPartitionReaderResumesAfterError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := cellfake.NewStore()
		const rows = 1700
		for r := range rows {
			inner.Put(store.Put{
				Key: store.Key{
					Table:     table,
					Partition: "cell",
					Name:      fmt.Sprintf("job%04d", r),
				},
			})
		}
		s := &overloadedStore{
			Store:       inner,
			refuseEvery: 2,
		}
		pr := store.PartitionReader{
			Store:     s,
			Table:     table,
			Partition: "cell",
		}
		failures := 0
		var got []store.Row
		for range 10 {
			var err error
			got, _, err = pr.ReadAll(t.Context())
			if err == nil {
				break
			}
			qt.Assert(t, err, qt.ErrorIs, store.ErrRefused)
			failures++
		}
		qt.Assert(t, got, qt.HasLen, rows)
		qt.Assert(t, failures, qt.Equals, 3)
	})
}

// A staleStore answers the first listing of a partition with an older page, like a store
// with stale reads.
type staleStore struct {
	store.Store
	mu  sync.Mutex
	old map[string]store.Page // older pages by partition
}

func (s *staleStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	p, err := s.Store.List(ctx, table, partition, from, limit)
	if err != nil {
		return p, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.old[partition]; ok {
		delete(s.old, partition)
		return old, nil
	}
	return p, nil
}

// If a page is older than the first response of a listing, the feed reports the changes
// between the two, and Synced is not called until it has.
func TestWatcherStalePage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		putRows(inner)
		old, err := inner.List(ctx, table, "host7", "", 0)
		qt.Assert(t, err, qt.IsNil)
		inner.Put(store.Put{
			Key: store.Key{
				Table:     table,
				Partition: "host7",
				Name:      "came-since",
			},
			Value: []byte("x"),
		})
		written := time.Now()
		pause.For(ctx, time.Millisecond)
		seen := map[string]bool{}
		earlySyncs := 0
		w := store.Watcher{
			Store: &staleStore{
				Store: inner,
				old: map[string]store.Page{
					"host7": old,
				},
			},
			Table: table,
			Wait:  time.Second,
			Listed: func(rows []store.Row) {
				for _, r := range rows {
					seen[r.Key.Name] = true
				}
			},
			Changed: func(r store.Row) { seen[r.Key.Name] = true },
			Synced: func(sent time.Time) {
				if written.Before(sent) && !seen["came-since"] {
					earlySyncs++
				}
			},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		pause.For(ctx, 10*time.Second)
		cancel()
		<-done
		qt.Check(t, len(seen), qt.Equals, partitions*rowsPerPartition+1)
		qt.Check(t, earlySyncs, qt.Equals, 0)
	})
}

// ReadAll returns the lowest version of its pages, so that a feed from it reports the
// changes since each of them.
func TestPartitionReaderLowestVersion(t *testing.T) {
	s := pagesStore{
		pages: []store.Page{
			{
				Rows:    rowsNamed("a", "b"),
				More:    true,
				Version: 9,
			},
			{
				Rows:    rowsNamed("c"),
				More:    true,
				Version: 7,
			},
			{
				Rows:    rowsNamed("d"),
				Version: 12,
			},
		},
	}
	pr := store.PartitionReader{
		Store:     &s,
		Table:     table,
		Partition: "cell",
	}
	rows, v, err := pr.ReadAll(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 4)
	qt.Assert(t, v, qt.Equals, store.Version(7))
}

// A pagesStore answers calls to List with its pages, in order.
type pagesStore struct {
	store.Store
	pages []store.Page
}

func (s *pagesStore) List(context.Context, string, string, string, int) (store.Page, error) {
	p := s.pages[0]
	s.pages = s.pages[1:]
	return p, nil
}

func rowsNamed(names ...string) []store.Row {
	var rows []store.Row
	for _, n := range names {
		rows = append(rows, store.Row{
			Key: store.Key{
				Table:     table,
				Partition: "cell",
				Name:      n,
			},
			Version: 1,
		})
	}
	return rows
}

// A hangingStore does not answer calls to Partitions while hangs is set.
type hangingStore struct {
	store.Store
	hangs atomic.Bool
}

func (s *hangingStore) Partitions(ctx context.Context, table string) ([]string, error) {
	if s.hangs.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return s.Store.Partitions(ctx, table)
}

// Age grows while there is no response, even if calls hang and none fails.
func TestWatcherAge(t *testing.T) {
	const wait = time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		putRows(inner)
		s := &hangingStore{
			Store: inner,
		}
		failed := 0
		w := store.Watcher{
			Store:   s,
			Table:   table,
			Wait:    wait,
			Listed:  func([]store.Row) {},
			Changed: func(store.Row) {},
			Failed:  func(error) { failed++ },
		}
		qt.Check(t, w.Age(time.Now()), qt.Equals, time.Duration(0))
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		for range 100 {
			pause.For(ctx, 77*time.Millisecond)
			age := w.Age(time.Now())
			qt.Check(t, age <= 2*wait, qt.IsTrue, qt.Commentf("age %s while the store answers", age))
		}
		s.hangs.Store(true)
		inner.Put(store.Put{
			Key: store.Key{
				Table: table,
				Name:  "forgotten",
			},
		})
		inner.DropHistory() // forces a new listing
		pause.For(ctx, 20*time.Second)
		age := w.Age(time.Now())
		qt.Check(t, age > 18*time.Second, qt.IsTrue, qt.Commentf("age %s while calls hang", age))
		qt.Check(t, failed, qt.Equals, 0)
		cancel()
		<-done
	})
}

// A historylessStore keeps no history: every feed fails with ErrHistoryGone.
type historylessStore struct {
	store.Store
	lists atomic.Int64
}

func (s *historylessStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, table, partition, from, limit)
}

func (s *historylessStore) Feed(ctx context.Context, _ string, _ store.Version, _ time.Duration) (store.Changes, error) {
	pause.For(ctx, time.Millisecond)
	return store.Changes{}, store.ErrHistoryGone
}

// A table of a store without history is listed repeatedly, but not continuously.
func TestWatcherStoreWithoutHistory(t *testing.T) {
	const (
		duration = 10 * time.Second
		listings = 50 // maximum
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		putRows(inner)
		s := &historylessStore{
			Store: inner,
		}
		var last time.Time
		longestInterval := time.Duration(0)
		w := store.Watcher{
			Store: s,
			Table: table,
			Wait:  time.Second,
			Listed: func([]store.Row) {
				if !last.IsZero() {
					longestInterval = max(longestInterval, time.Since(last))
				}
				last = time.Now()
			},
			Changed: func(store.Row) {},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.Run(ctx)
		}()
		pause.For(ctx, duration)
		cancel()
		<-done
		calls := int(s.lists.Load())
		qt.Check(t, calls < listings*(partitions+1), qt.IsTrue, qt.Commentf("%d calls", calls))
		qt.Check(t, longestInterval < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s between listings", longestInterval))
	})
}
