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
	// unreachableAfter is how long all calls to the store must have failed before this
	// host reports that it is not ready. The feed alone makes a call each second.
	unreachableAfter = 700 * time.Millisecond
	// confirmSilence is how long a host waits after the first failed call, however long that
	// call got no response: long enough for a retry to succeed. A host that was itself
	// stalled finds all its calls overdue.
	confirmSilence = 200 * time.Millisecond
	// storeProbeInterval is the minimum interval at which a host that has requests for an
	// unreachable store probes it.
	storeProbeInterval = 250 * time.Millisecond
	// minWriteTimeout and maxWriteTimeout limit the time after which a write is
	// retried. A write takes about 10 ms, and more than a second when the store is
	// slow; clients wait three seconds in total.
	minWriteTimeout = 350 * time.Millisecond
	maxWriteTimeout = 1200 * time.Millisecond
	// responseLossThreshold is by how much the average wait for a write must exceed the
	// average duration of answered writes for responses to count as being lost. One lost
	// response adds about a quarter of minWriteTimeout or more, and a few successful
	// writes reduce the difference again.
	responseLossThreshold = 30 * time.Millisecond
	// writeTimeoutFactor times the average wait is the time after which a write was
	// most likely lost.
	writeTimeoutFactor = 4
)

// storeHealth tracks whether the store is reachable, based on the outcomes of all calls.
// It is safe for concurrent use. The zero value reports the store as reachable.
type storeHealth struct {
	mu           sync.Mutex
	failingSince time.Time // when calls began to fail; zero if the latest one succeeded
	failedAt     time.Time // when the first of these calls failed; zero if failingSince is
	lastProbe    time.Time
	lastSuccess  time.Time // when a call last succeeded
	unreachable  bool      // as last logged
	// averageWait is a moving average of how long writes take, including those that
	// time out; averageAnswered covers only the answered ones.
	averageWait     time.Duration
	averageAnswered time.Duration
	// pending holds the start times of the writes that have not ended.
	pending map[uint64]time.Time
	writes  uint64
	// refusedSince is when the store began to refuse all writes; zero if it did not
	// refuse the latest one.
	refusedSince time.Time
}

// recordRefusal records whether a write begun at the given time was refused without
// effect.
func (h *storeHealth) recordRefusal(begun time.Time, refused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !refused {
		h.refusedSince = time.Time{}
	} else if h.refusedSince.IsZero() {
		h.refusedSince = begun
	}
}

// refusedFor returns how long the store has refused all writes, or 0 if it did not
// refuse the latest one.
func (h *storeHealth) refusedFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusedSince.IsZero() {
		return 0
	}
	return now.Sub(h.refusedSince)
}

// writeSent records the start of a write and returns its number for writeEnded.
func (h *storeHealth) writeSent(now time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == nil {
		h.pending = map[uint64]time.Time{}
	}
	h.writes++
	h.pending[h.writes] = now
	return h.writes
}

func (h *storeHealth) writeEnded(write uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, write)
}

// recordWriteTime records how long a write took, or after what time it was given up
// without a response. Increases of answered writes are weighted more than decreases.
func (h *storeHealth) recordWriteTime(d time.Duration, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	divisor := time.Duration(4)
	if answered && d > h.averageWait {
		divisor = 2 // adapt quickly to a store that has become slow
	}
	h.averageWait += (d - h.averageWait) / divisor
	if answered {
		h.averageAnswered += (d - h.averageAnswered) / divisor
	}
}

// averageWrite returns the average duration of answered writes.
func (h *storeHealth) averageWrite() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.averageAnswered
}

// losingResponses reports whether responses to writes have been lost recently, or one is
// overdue.
func (h *storeHealth) losingResponses(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range h.pending {
		if now.Sub(at) > minWriteTimeout {
			return true
		}
	}
	return h.averageWait-h.averageAnswered > responseLossThreshold
}

// writeTimeout returns the timeout for a write.
func (h *storeHealth) writeTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return min(max(writeTimeoutFactor*h.averageWait, minWriteTimeout), maxWriteTimeout)
}

// succeededWithin reports whether a call succeeded within d before now.
func (h *storeHealth) succeededWithin(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) <= d
}

// A storeCall is the outcome of a call to the store.
type storeCall struct {
	// due is when the response could have begun: when the call was sent, and for a feed the
	// time after which it responds without changes.
	due time.Time
	ok  bool
	// silent is set if the store did not respond at all.
	silent bool
}

// recordCall records the outcome of a call and reports whether the store became
// reachable or unreachable. If no call has succeeded since a silent one was due, the store
// has been failing since then.
func (h *storeHealth) recordCall(now time.Time, c storeCall) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasUnreachable := h.unreachable
	if c.ok {
		h.lastSuccess = now
		h.failingSince = time.Time{}
		h.failedAt = time.Time{}
	} else {
		h.recordFailureLocked(now, c)
	}
	h.unreachable = h.unreachableLocked(now)
	return h.unreachable != wasUnreachable
}

func (h *storeHealth) recordFailureLocked(now time.Time, c storeCall) {
	if h.failingSince.IsZero() {
		h.failingSince = now
		h.failedAt = now
	}
	if c.silent && c.due.After(h.lastSuccess) && c.due.Before(h.failingSince) {
		h.failingSince = c.due
	}
}

func (h *storeHealth) unreachableLocked(now time.Time) bool {
	return !h.failingSince.IsZero() && now.Sub(h.failingSince) >= unreachableAfter && now.Sub(h.failedAt) >= confirmSilence
}

// reachable reports whether the store has answered recently.
func (h *storeHealth) reachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.unreachableLocked(now)
}

// failingFor returns how long all calls have failed, or 0 if the latest one succeeded.
func (h *storeHealth) failingFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince.IsZero() {
		return 0
	}
	return now.Sub(h.failingSince)
}

// probeDue reports whether the store is unreachable and should be probed now. It is true at
// most once in storeProbeInterval.
func (h *storeHealth) probeDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.unreachableLocked(now) || now.Sub(h.lastProbe) < storeProbeInterval {
		return false
	}
	h.lastProbe = now
	return true
}

// A monitoredStore records the outcomes of its calls in a storeHealth.
type monitoredStore struct {
	store.Store
	health  *storeHealth
	metrics *telemetry.Metrics
	log     *logrus.Entry
	clock   *clock.Clock
}

func (s *monitoredStore) observe(due time.Time, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	c := storeCall{
		due:    due,
		ok:     err == nil || errors.Is(err, store.ErrHistoryGone),
		silent: isTimeout(err),
	}
	if !s.health.recordCall(s.clock.Now(), c) {
		return
	}
	if c.ok {
		s.log.Info("store reachable")
		return
	}
	s.log.WithError(err).Warn("store not reachable")
}

// isTimeout reports whether a call failed because it got no response in time.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &t) && t.Timeout()
}

// Commit implements [store.Store].
func (s *monitoredStore) Commit(ctx context.Context, t store.Transaction) (store.Result, error) {
	begun := s.clock.Now()
	write := s.health.writeSent(begun)
	r, err := s.Store.Commit(ctx, t)
	s.health.writeEnded(write)
	if errors.Is(err, context.Canceled) {
		return r, err // another attempt was answered, which says nothing about this one
	}
	if err == nil || errors.Is(err, store.ErrUnknownOutcome) {
		s.health.recordWriteTime(s.clock.Since(begun), err == nil)
	}
	s.health.recordRefusal(begun, errors.Is(err, store.ErrRefused))
	s.observe(begun, err)
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
func (s *monitoredStore) List(ctx context.Context, table, partition, from string, limit int) (store.Page, error) {
	begun := s.clock.Now()
	p, err := s.Store.List(ctx, table, partition, from, limit)
	s.observe(begun, err)
	return p, err
}

// Feed implements [store.Store].
func (s *monitoredStore) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	due := s.clock.Now().Add(wait)
	c, err := s.Store.Feed(ctx, table, after, wait)
	s.observe(due, err)
	return c, err
}
