package remote

import (
	"sync"
	"time"
)

// Defaults of [CircuitBreaker] and the upper limit of its open duration.
const (
	DefaultFailureThreshold = 4
	DefaultOpenDuration     = 250 * time.Millisecond
	maxOpenDuration         = time.Second
)

// A CircuitBreaker opens, that is, rejects calls for a while, after several
// consecutive failures. It then admits a single trial call, whose success
// closes it. It is safe for concurrent use; the zero value is ready to use.
type CircuitBreaker struct {
	// Trip is the number of consecutive failures that opens the breaker; 0 means
	// DefaultFailureThreshold.
	Trip int
	// Rest is how long the breaker stays open the first time; 0 means
	// DefaultOpenDuration. The time doubles with each further failure, up to one
	// second.
	Rest time.Duration

	mu               sync.Mutex
	failures         int
	consecutiveOpens int
	openUntil        time.Time
	probing          bool
}

// Allow reports whether a call may be made at time now. After an allowed call,
// the caller must call RecordResult.
func (b *CircuitBreaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openUntil.IsZero() {
		return true
	}
	if now.Before(b.openUntil) || b.probing {
		return false
	}
	b.probing = true
	return true
}

// RecordResult records whether an allowed call succeeded.
func (b *CircuitBreaker) RecordResult(now time.Time, success bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if success {
		b.failures = 0
		b.consecutiveOpens = 0
		b.openUntil = time.Time{}
		return
	}
	b.failures++
	if b.failures < b.failureThreshold() {
		return
	}
	b.openUntil = now.Add(min(b.openDuration()<<min(b.consecutiveOpens, 16), maxOpenDuration))
	b.consecutiveOpens++
}

// Open reports whether the breaker rejects calls or admits only a trial call.
func (b *CircuitBreaker) Open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.openUntil.IsZero()
}

func (b *CircuitBreaker) failureThreshold() int {
	if b.Trip == 0 {
		return DefaultFailureThreshold
	}
	return b.Trip
}

func (b *CircuitBreaker) openDuration() time.Duration {
	if b.Rest == 0 {
		return DefaultOpenDuration
	}
	return b.Rest
}
