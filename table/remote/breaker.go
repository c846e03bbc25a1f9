package remote

import (
	"sync"
	"time"
)

// Defaults of [CircuitBreaker].
const (
	DefaultFailureThreshold = 4
	DefaultOpenDuration     = 250 * time.Millisecond
	maxRest                 = time.Second
)

// A CircuitBreaker refuses calls for a while after several have failed in a row, and
// then lets one through to try. It is safe for concurrent use; the zero value
// is usable.
type CircuitBreaker struct {
	// Trip is the number of failures in a row that open it.
	Trip int
	// Rest is how long it stays open the first time; it doubles.
	Rest time.Duration

	mu    sync.Mutex
	fails int
	opens int
	until time.Time
	trial bool
}

// Allow reports whether a call may be made at now. The caller of an allowed
// call must call Done.
func (b *CircuitBreaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until.IsZero() {
		return true
	}
	if now.Before(b.until) || b.trial {
		return false
	}
	b.trial = true
	return true
}

// RecordResult takes in whether a call was answered.
func (b *CircuitBreaker) RecordResult(now time.Time, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
	if answered {
		b.fails = 0
		b.opens = 0
		b.until = time.Time{}
		return
	}
	b.fails++
	if b.fails < b.trip() {
		return
	}
	b.until = now.Add(min(b.rest()<<min(b.opens, 16), maxRest))
	b.opens++
}

// Open reports whether calls are refused, or the next one is only a trial.
func (b *CircuitBreaker) Open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.until.IsZero()
}

func (b *CircuitBreaker) trip() int {
	if b.Trip == 0 {
		return DefaultFailureThreshold
	}
	return b.Trip
}

func (b *CircuitBreaker) rest() time.Duration {
	if b.Rest == 0 {
		return DefaultOpenDuration
	}
	return b.Rest
}
