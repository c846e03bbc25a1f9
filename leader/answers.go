package leader

import (
	"sync"
	"time"
)

const (
	// answerLeast and answerMost bound how long an answer of a worker is waited
	// for before the order is sent again, or its silence counts: they answer in
	// two milliseconds, from hosts that are slowed in some twenty.
	answerLeast = 60 * time.Millisecond
	answerMost  = 250 * time.Millisecond
	// answerFactor times the usual time, an answer has most likely been lost.
	answerFactor = 4
)

// answers follows how long workers take to answer. It is safe for concurrent
// use. The zero value knows of none.
type answers struct {
	mu    sync.Mutex
	usual time.Duration // a moving average
}

// take takes in how long an answer took.
func (a *answers) take(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	weight := time.Duration(16)
	if d > a.usual {
		weight = 4 // workers or a host that have become slow are believed soon
	}
	a.usual += (d - a.usual) / weight
}

// timeout returns how long an answer is waited for.
func (a *answers) timeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(answerFactor*a.usual, answerLeast), answerMost)
}
