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
		f := store.Follower{
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
		f := store.Follower{
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
			Heard: func(sent time.Time) {
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
		l := store.Listing{
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
