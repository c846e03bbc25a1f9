package leader

import (
	"sync"
	"time"
)

const (
	// minResponseTimeout is the minimum time to wait for a response of a worker before the
	// call counts as unanswered: workers respond in 2 ms, and in about 20 ms if the host is
	// slowed down.
	minResponseTimeout = 60 * time.Millisecond
	// maxOrderTimeout is the maximum time to wait for the response to an order. It leaves
	// time for a second try of a start.
	maxOrderTimeout = startTimeout / 2
	// maxHeartbeatTimeout is the maximum time to wait for the response to a heartbeat. It
	// equals the time after which a connection without acknowledged data is closed.
	maxHeartbeatTimeout = 2 * time.Second
	// timeoutFactor is the multiple of the average latency after which a response is
	// taken to be lost.
	timeoutFactor = 4
)

// A latencyEstimator estimates the response latency of workers and derives the timeouts of
// calls from it. When a link or a processor is saturated, all responses are late. With fixed
// timeouts each call would then be abandoned together with its connection, retried, and be
// late again. The latency is measured on heartbeats, whose timeout exceeds it; measured on
// orders, it would include only the responses that arrive before the timeout. It is safe for
// concurrent use. The zero value has no samples.
type latencyEstimator struct {
	mu      sync.Mutex
	average time.Duration // moving average
	// measured is set once a latency has been observed.
	measured bool
}

// observe records the latency of a response. Rises are weighted more than falls.
func (e *latencyEstimator) observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	divisor := time.Duration(16)
	if d > e.average {
		divisor = 4
	}
	e.average += (d - e.average) / divisor
	e.measured = true
}

// orderTimeout returns how long to wait for the response to an order.
func (e *latencyEstimator) orderTimeout() time.Duration {
	return min(e.timeout(), maxOrderTimeout)
}

// heartbeatTimeout returns how long to wait for the first byte of the response to a
// heartbeat, for a worker that left the last heartbeats unanswered. It doubles with each of
// them, so that responses that have become slow are received eventually.
func (e *latencyEstimator) heartbeatTimeout(unanswered int) time.Duration {
	return min(e.timeout()<<min(unanswered, maxDoublings), maxHeartbeatTimeout)
}

// maxDoublings bounds how often the heartbeat timeout is doubled: minResponseTimeout then
// reaches maxHeartbeatTimeout.
const maxDoublings = 5

func (e *latencyEstimator) timeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(timeoutFactor*e.average, minResponseTimeout)
}

// latency returns a moving average of the response latency. It reports false if no latency
// has been observed.
func (e *latencyEstimator) latency() (average time.Duration, measured bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.average, e.measured
}

// ResponseLatency returns a moving average of the response latency of workers.
func (l *Leader) ResponseLatency() time.Duration {
	d, _ := l.responses.latency()
	return d
}

// AwaitsResponses reports whether the leader calls workers, none of which has responded since
// it was elected. The response latency is then unknown.
func (l *Leader) AwaitsResponses() bool {
	_, measured := l.responses.latency()
	return !measured && l.renewing.Load() > 0
}
