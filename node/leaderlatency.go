package node

import (
	"sync"
	"time"
)

const (
	// latencyFactor times the average latency is the time after which a response was
	// most likely lost or the leader is gone.
	latencyFactor = 4
	// maxLatencyAllowance limits the extra time that hosts wait for a slow leader to
	// half of the time that clients wait.
	maxLatencyAllowance = 1500 * time.Millisecond
)

// A leaderLatency tracks the latency of the leader's heartbeat responses, so that
// timeouts adapt to a slow leader. When a leader's link is saturated, its responses and
// writes are late. With fixed timeouts another host would take over and read all jobs
// again over a link that is equally saturated. Increasing latency extends the timeouts; a
// leader that stops responding does not. It is safe for concurrent use.
type leaderLatency struct {
	mu      sync.Mutex
	average time.Duration // a moving average
}

// observe records the latency of a response. Increases are weighted more than
// decreases.
func (l *leaderLatency) observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	divisor := time.Duration(8)
	if d > l.average {
		divisor = 2
	}
	l.average += (d - l.average) / divisor
}

// reset discards the average when another leader takes over, which is assumed to be
// fast.
func (l *leaderLatency) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.average = 0
}

// timeout returns the timeout for a response that a fast leader would send within base.
func (l *leaderLatency) timeout(base time.Duration) time.Duration {
	return max(base, l.allowance())
}

// allowance returns the extra time to wait for a slow leader.
func (l *leaderLatency) allowance() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(latencyFactor*l.average, maxLatencyAllowance)
}
