package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill/internal/clock"
	"github.com/spoolsill/spoolsill/store"
	"github.com/spoolsill/spoolsill/telemetry"
)

const (
	// awayAfter is how long the store may fail all calls before this host
	// says that it can't serve. The feed alone calls it each second.
	awayAfter = 700 * time.Millisecond
	// tryEvery is how often a store that is away is tried by a client's call.
	tryEvery = 250 * time.Millisecond
	// writeLeast and writeMost bound how long a write is waited for before it is
	// sent again. The store needs some 10 ms for one, more than a second when it
	// is slow, and clients wait three seconds in all.
	writeLeast = 350 * time.Millisecond
	writeMost  = 1200 * time.Millisecond
	// losingBy is how much longer writes are waited for on average than answered
	// ones take, while answers get lost: one that is lost adds a quarter of
	// writeLeast at least, and a few good ones take it away again.
	losingBy = 30 * time.Millisecond
	// writeFactor times its usual time, a write has most likely been lost.
	writeFactor = 4
)

// storeHealth tells from all calls whether the store can be reached. It is
// safe for concurrent use. The zero value takes it as reachable.
type storeHealth struct {
	mu      sync.Mutex
	failing time.Time // since when every call has failed; zero if the last one did not
	tried   time.Time
	heard   time.Time // when a call last succeeded
	away    bool      // as last told
	// usual is a moving average of how long writes take or are waited for in
	// vain, answered of how long those take that are answered.
	usual    time.Duration
	answered time.Duration
	// pending has when the writes were sent that are not answered yet.
	pending map[uint64]time.Time
	writes  uint64
	// refusing is since when the store has turned all writes away; zero if it
	// did not do so with the latest one.
	refusing time.Time
}

// wrote takes in whether a write that was begun at some time was turned away,
// with nothing done.
func (h *storeHealth) wrote(begun time.Time, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !refused {
		h.refusing = time.Time{}
	} else if h.refusing.IsZero() {
		h.refusing = begun
	}
}

// refusedFor returns for how long all writes have been turned away.
func (h *storeHealth) refusedFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusing.IsZero() {
		return 0
	}
	return now.Sub(h.refusing)
}

// sent takes in that a write is sent, and returns its number for ended.
func (h *storeHealth) sent(now time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == nil {
		h.pending = map[uint64]time.Time{}
	}
	h.writes++
	h.pending[h.writes] = now
	return h.writes
}

func (h *storeHealth) ended(write uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, write)
}

// took takes in how long a write took, or how long it was waited for in vain.
func (h *storeHealth) took(d time.Duration, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	weight := time.Duration(4)
	if answered && d > h.usual {
		weight = 2 // a store that has become slow is believed at once
	}
	h.usual += (d - h.usual) / weight
	if answered {
		h.answered += (d - h.answered) / weight
	}
}

// usualWrite returns how long writes take that are answered.
func (h *storeHealth) usualWrite() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered
}

// losing reports whether answers to writes have been lost lately, or one is
// overdue.
func (h *storeHealth) losing(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.pending {
		if now.Sub(at) > writeLeast {
			return true
		}
	}
	return h.usual-h.answered > losingBy
}

// writeTimeout returns how long a write may take.
func (h *storeHealth) writeTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(writeFactor*h.usual, writeLeast), writeMost)
}

// heardWithin reports whether a call has succeeded within a time.
func (h *storeHealth) heardWithin(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.heard.IsZero() && now.Sub(h.heard) <= d
}

// take takes in the end of a call, and reports whether the store's being
// reachable has changed.
func (h *storeHealth) take(now time.Time, ok bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.heard = now
	}
	was := h.away
	if ok {
		h.failing = time.Time{}
	} else if h.failing.IsZero() {
		h.failing = now
	}
	h.away = !h.failing.IsZero() && now.Sub(h.failing) >= awayAfter
	return h.away != was
}

// reachable reports whether the store has answered lately.
func (h *storeHealth) reachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failing.IsZero() || now.Sub(h.failing) < awayAfter
}

// failingFor returns for how long every call has failed.
func (h *storeHealth) failingFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing.IsZero() {
		return 0
	}
	return now.Sub(h.failing)
}

// tryable reports whether a client's call should try the store: always while
// it is reachable, and now and then while it is away.
func (h *storeHealth) tryable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failing.IsZero() || now.Sub(h.failing) < awayAfter {
		return true
	}
	if now.Sub(h.tried) < tryEvery {
		return false
	}
	h.tried = now
	return true
}

// A watchedStore tells a storeHealth how the calls go.
type watchedStore struct {
	store.Store
	health  *storeHealth
	metrics *telemetry.Metrics
	log     *logrus.Entry
	clock   *clock.Clock
}

func (s *watchedStore) took(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	ok := err == nil || errors.Is(err, store.ErrHistoryGone)
	if !s.health.take(s.clock.Now(), ok) {
		return
	}
	if ok {
		s.log.Info("store reachable")
		return
	}
	s.log.WithError(err).Warn("store not reachable")
}

// Commit implements [store.Store].
func (s *watchedStore) Commit(ctx context.Context, t store.Transaction) (store.Result, error) {
	begun := s.clock.Now()
	write := s.health.sent(begun)
	r, err := s.Store.Commit(ctx, t)
	s.health.ended(write)
	if errors.Is(err, context.Canceled) {
		return r, err // another try was answered, which says nothing of this one
	}
	if err == nil || errors.Is(err, store.ErrUnknown) {
		s.health.took(s.clock.Since(begun), err == nil)
	}
	s.health.wrote(begun, errors.Is(err, store.ErrRefused))
	s.took(err)
	s.metrics.RecordStoreWrite(writeOutcome(r, err), s.clock.Since(begun))
	return r, err
}

func writeOutcome(r store.Result, err error) string {
	switch {
	case errors.Is(err, store.ErrRefused):
		return "refused"
	case err != nil:
		return "unknown"
	case r.Applied:
		return "applied"
	default:
		return "conflict"
	}
}

// List implements [store.Store].
func (s *watchedStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	p, err := s.Store.List(ctx, table, partition, from, limit)
	s.took(err)
	return p, err
}

// Feed implements [store.Store].
func (s *watchedStore) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	c, err := s.Store.Feed(ctx, table, after, wait)
	s.took(err)
	return c, err
}
