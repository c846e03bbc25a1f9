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
	table      = "jobs"
	partitions = 40
	rowsEach   = 3
)

// A crowdedStore refuses one listing in a few, as a store does that takes more
// calls than it can answer.
type crowdedStore struct {
	store.Store
	mu    sync.Mutex
	calls int
	// refuses is one in how many listings.
	refuses int
}

func (s *crowdedStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	s.mu.Lock()
	s.calls++
	refused := s.calls%s.refuses == 0
	s.mu.Unlock()
	if refused {
		return store.Page{}, store.ErrRefused
	}
	return s.Store.List(ctx, table, partition, from, limit)
}

func fill(s *cellfake.Store) {
	for p := range partitions {
		for r := range rowsEach {
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

// A table of many partitions is read to its end though many a listing is refused,
// and what changes meanwhile is not missed.
func TestFollowerListsATableThatIsCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		fill(inner)
		s := &crowdedStore{
			Store:   inner,
			refuses: 5,
		}
		seen := map[string]bool{}
		listings := 0
		f := store.Watcher{
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
			f.Run(ctx)
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
		qt.Assert(t, seen, qt.HasLen, partitions*rowsEach+1)
		// Each page is asked for again only when it was refused.
		qt.Assert(t, s.calls < 2*partitions, qt.IsTrue)
	})
}

// What a listing that had to go on says it has heard is no more than what its first
// pages show: a row that came between two calls is told of by the feed only.
func TestCrowdedListingDoesNotClaimWhatCameMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		fill(inner)
		var mu sync.Mutex
		written := map[string]time.Time{}
		seen := map[string]bool{}
		var missed []string
		f := store.Watcher{
			Store: &crowdedStore{
				Store:   inner,
				refuses: 5,
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
			f.Run(ctx)
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
		qt.Assert(t, seen, qt.HasLen, partitions*rowsEach+100)
	})
}

// A listing that failed goes on where it was.
func TestListingGoesOnAfterAFailure(t *testing.T) {
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
		s := &crowdedStore{
			Store:   inner,
			refuses: 2,
		}
		l := store.PartitionReader{
			Store:     s,
			Table:     table,
			Partition: "cell",
		}
		failures := 0
		var got []store.Row
		for range 10 {
			var err error
			got, _, err = l.ReadAll(t.Context())
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

// A behindStore answers the first listing of a whole partition with a page that
// was read earlier, as a store does whose reads may be behind its newest state.
type behindStore struct {
	store.Store
	mu sync.Mutex
	// old has such pages by partition.
	old map[string]store.Page
}

func (s *behindStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
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

// A page that is older than the first answer of a listing does not hide what
// changed between the two: the feed tells of it, and until then nobody is told
// that it has been heard.
func TestFollowerTakesAPageThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		fill(inner)
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
		early := 0
		f := store.Watcher{
			Store: &behindStore{
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
					early++
				}
			},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		pause.For(ctx, 10*time.Second)
		cancel()
		<-done
		qt.Check(t, len(seen), qt.Equals, partitions*rowsEach+1)
		qt.Check(t, early, qt.Equals, 0)
	})
}

// A listing names the least version of its pages, since a feed that goes on from
// it has to tell of what changed after each of them.
func TestListingNamesTheLeastVersion(t *testing.T) {
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
	l := store.PartitionReader{
		Store:     &s,
		Table:     table,
		Partition: "cell",
	}
	rows, v, err := l.ReadAll(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, rows, qt.HasLen, 4)
	qt.Assert(t, v, qt.Equals, store.Version(7))
}

// A pagesStore answers listings with its pages, one after the other.
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

// A hangingStore answers nothing about partitions while it hangs.
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

// The age of a feed grows while it hears nothing, also when no call of it ends and
// none fails.
func TestFollowerTellsItsAge(t *testing.T) {
	const wait = time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		fill(inner)
		s := &hangingStore{
			Store: inner,
		}
		failed := 0
		f := store.Watcher{
			Store:   s,
			Table:   table,
			Wait:    wait,
			Listed:  func([]store.Row) {},
			Changed: func(store.Row) {},
			Failed:  func(error) { failed++ },
		}
		qt.Check(t, f.Age(time.Now()), qt.Equals, time.Duration(0))
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		for range 100 {
			pause.For(ctx, 77*time.Millisecond)
			age := f.Age(time.Now())
			qt.Check(t, age <= 2*wait, qt.IsTrue, qt.Commentf("age %s of a feed that hears", age))
		}
		s.hangs.Store(true)
		inner.Put(store.Put{
			Key: store.Key{
				Table: table,
				Name:  "forgotten",
			},
		})
		inner.Forget() // so that the table is listed anew
		pause.For(ctx, 20*time.Second)
		age := f.Age(time.Now())
		qt.Check(t, age > 18*time.Second, qt.IsTrue, qt.Commentf("age %s of a feed that hangs", age))
		qt.Check(t, failed, qt.Equals, 0)
		cancel()
		<-done
	})
}

// A forgetfulStore has no history at all.
type forgetfulStore struct {
	store.Store
	lists atomic.Int64
}

func (s *forgetfulStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	s.lists.Add(1)
	return s.Store.List(ctx, table, partition, from, limit)
}

func (s *forgetfulStore) Feed(ctx context.Context, _ string, _ store.Version, _ time.Duration) (store.Changes, error) {
	pause.For(ctx, time.Millisecond)
	return store.Changes{}, store.ErrHistoryGone
}

// A store that has forgotten its history whenever it is asked is listed now and
// then, and not without a pause.
func TestFollowerOfAStoreWithoutHistory(t *testing.T) {
	const (
		lasts    = 10 * time.Second
		listings = 50 // at most
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inner := cellfake.NewStore()
		fill(inner)
		s := &forgetfulStore{
			Store: inner,
		}
		var last time.Time
		longest := time.Duration(0)
		f := store.Watcher{
			Store: s,
			Table: table,
			Wait:  time.Second,
			Listed: func([]store.Row) {
				if !last.IsZero() {
					longest = max(longest, time.Since(last))
				}
				last = time.Now()
			},
			Changed: func(store.Row) {},
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		pause.For(ctx, lasts)
		cancel()
		<-done
		calls := int(s.lists.Load())
		qt.Check(t, calls < listings*(partitions+1), qt.IsTrue, qt.Commentf("%d calls", calls))
		qt.Check(t, longest < 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s between listings", longest))
	})
}
