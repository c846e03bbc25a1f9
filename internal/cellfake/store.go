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

// A StoreFault is a way in which a transaction fails.
type StoreFault uint8

// The faults of a transaction.
const (
	StoreOK        StoreFault = iota
	StoreRefuse               // refused without effect
	StoreLoseReply            // applied, but the answer is lost
	StoreLate                 // applied later if its conditions still hold; the answer is lost
	StoreReset                // not applied; the connection is reset immediately
	StoreReject               // rejected for good
)

// lateDelay is the delay after which a [StoreLate] transaction is applied.
const lateDelay = 3 * time.Second

// callLatency is the latency of a call without faults or extra latency.
const callLatency = 5 * time.Millisecond

// maxPageRows is the largest number of rows in a page of a listing.
const maxPageRows = 500

// A Store keeps rows in memory. It implements [store.Store].
type Store struct {
	mu           sync.Mutex
	fault        func(t store.Transaction) StoreFault
	version      store.Version
	rows         map[store.Key]store.Row
	changes      []store.Row
	droppedUpTo  store.Version // changes up to this version were dropped
	changed      chan struct{}
	listLatency  map[string]time.Duration // added to each listing, by table
	extraLatency time.Duration            // added to each call, see SetExtraLatency
	queueEnds    map[string]time.Time     // when the queued transactions of each partition end
	unavailable  bool
	maxRowBytes  int // of the rows that are accepted; 0 means no limit
	feedStalled  bool
}

// SetFault sets the function that chooses the fault of each transaction; nil means no
// faults. Calls of f may be concurrent.
func (s *Store) SetFault(f func(t store.Transaction) StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// faultFor returns the fault of a transaction.
func (s *Store) faultFor(t store.Transaction) StoreFault {
	s.mu.Lock()
	f, refuse, most := s.fault, s.unavailable, s.maxRowBytes
	s.mu.Unlock()
	tooLarge := func(p store.Put) bool { return most > 0 && len(p.Value) > most }
	switch {
	case refuse:
		return StoreRefuse
	case slices.ContainsFunc(t.Puts, tooLarge):
		return StoreReject
	case f == nil:
		return StoreOK
	default:
		return f(t)
	}
}

// SetMaxRowBytes sets the size of the largest row that the store accepts.
func (s *Store) SetMaxRowBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxRowBytes = n
}

// SetFeedStalled stalls or resumes the change feeds. The platform's feeds may stall for a
// second; changes of that time are delivered afterwards.
func (s *Store) SetFeedStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.feedStalled = stalled
}

// SetUnavailable sets whether the store refuses all transactions, listings and feeds.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// isUnavailable reports whether calls are refused.
func (s *Store) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:        map[store.Key]store.Row{},
		changed:     make(chan struct{}),
		listLatency: map[string]time.Duration{},
		queueEnds:   map[string]time.Time{},
	}
}

// SetExtraLatency sets an extra latency of transactions and listings. While it is not 0, the
// transactions of a partition are applied one at a time, including those whose callers have
// given up.
func (s *Store) SetExtraLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraLatency = d
}

// queueTransaction returns the latency of a transaction that is sent now and waits for
// those that are queued in its partition.
func (s *Store) queueTransaction(t store.Transaction) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.extraLatency == 0 {
		return callLatency
	}
	now := time.Now()
	partition := partitionOf(t)
	end := now
	if s.queueEnds[partition].After(now) {
		end = s.queueEnds[partition]
	}
	end = end.Add(callLatency + s.extraLatency)
	s.queueEnds[partition] = end
	return end.Sub(now)
}

// partitionOf returns the partition of the first row that a transaction writes.
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

// SetListLatency sets an extra latency of each listing of a table.
func (s *Store) SetListLatency(table string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listLatency[table] = d
}

func (s *Store) listLatencyOf(table string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listLatency[table] + s.extraLatency
}

// DropHistory drops the history of changes, as the platform may do at any time.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.droppedUpTo = s.version
	s.notifyLocked()
}

// Put writes rows as the platform itself does, without faults or latency.
func (s *Store) Put(puts ...store.Put) {
	s.apply(store.Transaction{
		Puts: puts,
	})
}

// Delete removes a row as the platform itself does, without faults or latency.
func (s *Store) Delete(k store.Key) {
	s.apply(store.Transaction{
		Deletes: []store.Key{k},
	})
}

// Commit implements [store.Store].
func (s *Store) Commit(ctx context.Context, t store.Transaction) (store.Result, error) {
	start := time.Now()
	latency := s.queueTransaction(t)
	if err := sleep(ctx, latency); err != nil {
		// A transaction is applied even if its caller has given up.
		time.AfterFunc(latency-time.Since(start), func() { s.apply(t) })
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	switch s.faultFor(t) {
	case StoreRefuse:
		return store.Result{}, store.ErrRefused
	case StoreReject:
		return store.Result{}, store.ErrInvalid
	case StoreReset:
		return store.Result{}, fmt.Errorf("%w: connection reset", store.ErrUnknownOutcome)
	case StoreLoseReply:
		s.apply(t)
		<-ctx.Done()
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
	case StoreLate:
		time.AfterFunc(lateDelay, func() { s.apply(t) })
		<-ctx.Done()
		return store.Result{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
	default:
		return s.apply(t), nil
	}
}

// apply applies a transaction if its conditions hold.
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
	s.notifyLocked()
	return store.Result{
		Applied: true,
		Version: s.version,
	}
}

// notifyLocked wakes the feeds that wait for changes. The caller holds s.mu.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List implements [store.Store].
func (s *Store) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	if err := sleep(ctx, callLatency+s.listLatencyOf(table)); err != nil {
		return store.Page{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	if s.isUnavailable() {
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
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	if len(p.Rows) > limit {
		p.Rows = p.Rows[:limit]
		p.More = true
	}
	return p, nil
}

// Partitions implements [store.Store].
func (s *Store) Partitions(ctx context.Context, table string) ([]string, error) {
	if err := sleep(ctx, callLatency); err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	var partitions []string
	for k := range s.rows {
		if k.Table == table && !seen[k.Partition] {
			seen[k.Partition] = true
			partitions = append(partitions, k.Partition)
		}
	}
	slices.Sort(partitions)
	return partitions, nil
}

// Feed implements [store.Store].
func (s *Store) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	end := time.Now().Add(wait)
	if err := sleep(ctx, callLatency); err != nil {
		return store.Changes{}, fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	for {
		if s.isUnavailable() {
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

// changesAfter returns the changes of a table after a version, and a channel that is closed
// at the next change of any table.
func (s *Store) changesAfter(table string, after store.Version) (store.Changes, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo {
		return store.Changes{}, nil, store.ErrHistoryGone
	}
	if s.feedStalled {
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

// sleep waits for d, or until ctx ends, whose error it returns then.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
