package cellfake

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill/store"
)

// A StoreFault tells what becomes of one transaction.
type StoreFault uint8

// The faults of a transaction.
const (
	StoreWell   StoreFault = iota
	StoreRefuse            // nothing is done
	StoreLose              // done, without an answer
	StoreLate              // done later if its conditions still hold, without an answer
	StoreBreak             // not done; the connection breaks at once
)

// lateBy is how much later than sent a late transaction is done.
const lateBy = 3 * time.Second

// callTime is how long a call takes.
const callTime = 5 * time.Millisecond

// listLimit is the longest page.
const listLimit = 500

// A Store keeps rows in memory. It implements [store.Store].
type Store struct {
	mu      sync.Mutex
	fault   func(t store.Transaction) StoreFault
	version store.Version
	rows    map[store.Key]store.Row
	changes []store.Row
	since   store.Version // changes up to it are forgotten
	changed chan struct{}
	slow    map[string]time.Duration // added to each listing of a table
	pace    time.Duration            // added to each call, see Slow
	turns   map[string]time.Time     // until when each partition's transactions take
	away    bool
	deaf    bool
}

// SetFault has f choose the fate of each transaction; nil means that all is
// well. f is called by many goroutines.
func (s *Store) SetFault(f func(t store.Transaction) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// fate returns what becomes of a transaction.
func (s *Store) fate(t store.Transaction) StoreFault {
	s.mu.Lock()
	f, away := s.fault, s.away
	s.mu.Unlock()
	switch {
	case away:
		return StoreRefuse
	case f == nil:
		return StoreWell
	default:
		return f(t)
	}
}

// Deafen has feeds hear nothing, as the platform's may for a second; what they
// missed they tell afterwards.
func (s *Store) Deafen(deaf bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deaf = deaf
}

// TurnAway has the store refuse all calls, or none any more.
func (s *Store) TurnAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// turnsAway reports whether calls are refused.
func (s *Store) turnsAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:    map[store.Key]store.Row{},
		changed: make(chan struct{}),
		slow:    map[string]time.Duration{},
		turns:   map[string]time.Time{},
	}
}

// Slow makes each call take longer; the transactions of a partition are done one
// after the other, also those whose callers have given up. 0 ends it.
func (s *Store) Slow(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace = by
}

// turn returns how long a transaction takes that is sent now.
func (s *Store) turn(t store.Transaction) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pace == 0 {
		return callTime
	}
	now := time.Now()
	part := partitionOf(t)
	end := now
	if s.turns[part].After(now) {
		end = s.turns[part]
	}
	end = end.Add(callTime + s.pace)
	s.turns[part] = end
	return end.Sub(now)
}

func partitionOf(t store.Transaction) string {
	switch {
	case len(t.Puts) > 0:
		return t.Puts[0].Key.Partition
	case len(t.Deletes) > 0:
		return t.Deletes[0].Partition
	default:
		return ""
	}
}

// SlowLists makes each listing of a table take longer.
func (s *Store) SlowLists(table string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow[table] = by
}

func (s *Store) listDelay(table string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow[table] + s.pace
}

// Forget drops the history, as the platform may at any time.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.since = s.version
	s.wakeLocked()
}

// Put writes rows as the platform itself does.
func (s *Store) Put(puts ...store.Put) {
	s.apply(store.Transaction{
		Puts: puts,
	})
}

// Delete removes a row as the platform itself does.
func (s *Store) Delete(k store.Key) {
	s.apply(store.Transaction{
		Deletes: []store.Key{k},
	})
}

// Commit implements [store.Store].
func (s *Store) Commit(ctx context.Context, t store.Transaction) (store.Result, error) {
	begun := time.Now()
	took := s.turn(t)
	if err := spend(ctx, took); err != nil {
		// A call that its caller gave up is on its way all the same.
		time.AfterFunc(took-time.Since(begun), func() { s.apply(t) })
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	switch s.fate(t) {
	case StoreRefuse:
		return store.Result{}, store.ErrRefused
	case StoreBreak:
		return store.Result{}, fmt.Errorf("%w: connection reset", store.ErrUnknownOutcome)
	case StoreLose:
		s.apply(t)
		<-ctx.Done()
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
	case StoreLate:
		time.AfterFunc(lateBy, func() { s.apply(t) })
		<-ctx.Done()
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
	default:
		return s.apply(t), nil
	}
}

func (s *Store) apply(t store.Transaction) store.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []store.Row
	holds := true
	for _, c := range t.Conditions {
		r := s.rows[c.Key]
		r.Key = c.Key
		current = append(current, r)
		holds = holds && r.Version == c.Version
	}
	if !holds {
		return store.Result{
			Version: s.version,
			Current: current,
		}
	}
	s.version++
	for _, p := range t.Puts {
		r := store.Row{
			Key:     p.Key,
			Value:   p.Value,
			Version: s.version,
		}
		s.rows[p.Key] = r
		s.changes = append(s.changes, r)
	}
	for _, k := range t.Deletes {
		delete(s.rows, k)
		s.changes = append(s.changes, store.Row{
			Key:     k,
			Version: s.version,
			Deleted: true,
		})
	}
	s.wakeLocked()
	return store.Result{
		Applied: true,
		Version: s.version,
	}
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List implements [store.Store].
func (s *Store) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	if err := spend(ctx, callTime+s.listDelay(table)); err != nil {
		return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	if s.turnsAway() {
		return store.Page{}, store.ErrRefused
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{
		Version: s.version,
	}
	for k, r := range s.rows {
		if k.Table == table && k.Partition == partition && k.Name >= from {
			p.Rows = append(p.Rows, r)
		}
	}
	slices.SortFunc(p.Rows, func(a, b store.Row) int { return cmp.Compare(a.Key.Name, b.Key.Name) })
	if limit <= 0 || limit > listLimit {
		limit = listLimit
	}
	if len(p.Rows) > limit {
		p.Rows = p.Rows[:limit]
		p.More = true
	}
	return p, nil
}

// Partitions implements [store.Store].
func (s *Store) Partitions(ctx context.Context, table string) ([]string, error) {
	if err := spend(ctx, callTime); err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	var parts []string
	for k := range s.rows {
		if k.Table == table && !seen[k.Partition] {
			seen[k.Partition] = true
			parts = append(parts, k.Partition)
		}
	}
	slices.Sort(parts)
	return parts, nil
}

// Feed implements [store.Store].
func (s *Store) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	end := time.Now().Add(wait)
	if err := spend(ctx, callTime); err != nil {
		return store.Changes{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	for {
		if s.turnsAway() {
			return store.Changes{}, store.ErrRefused
		}
		c, changed, err := s.changesAfter(table, after)
		if err != nil || len(c.Rows) > 0 || !time.Now().Before(end) {
			return c, err
		}
		t := time.NewTimer(time.Until(end))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return store.Changes{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
		}
		t.Stop()
	}
}

func (s *Store) changesAfter(table string, after store.Version) (store.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.since {
		return store.Changes{}, nil, store.ErrHistoryGone
	}
	if s.deaf {
		return store.Changes{
			Version: after,
		}, s.changed, nil
	}
	c := store.Changes{
		Version: s.version,
	}
	for _, r := range s.changes {
		if r.Key.Table == table && r.Version > after {
			c.Rows = append(c.Rows, r)
		}
	}
	return c, s.changed, nil
}

// spend lets time pass.
func spend(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
