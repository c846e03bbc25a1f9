package route

import (
	"time"
)

// Parameters of the load estimate.
const (
	ewmaWeight          = 0.02 // weight of one request in the moving averages
	maxWaitShare        = 0.5  // share of the time to expiry that may be spent queued
	minQueuedPerRunning = 0.25 // queued requests for each running one
	maxQueuedPerRunning = 16.0
	minQueueLimit       = 16
	overloadPeriod      = 200 * time.Millisecond // after the last shed request
	minRetryAfter       = 50 * time.Millisecond
	maxRetryAfter       = 10 * time.Second
)

// load estimates the load of a service on a host.
type load struct {
	meanServiceTime float64   // at a runner, in seconds
	meanSlack       float64   // from arrival to expiry, in seconds
	lastShed        time.Time // the last time that a request was shed
}

func (l *load) observeSlack(slack time.Duration) {
	l.meanSlack = ewma(l.meanSlack, slack.Seconds())
}

func (l *load) observeServiceTime(took time.Duration) {
	l.meanServiceTime = ewma(l.meanServiceTime, took.Seconds())
}

// ewma adds x to an exponentially weighted moving average. An average of 0 has no
// values yet.
func ewma(old, x float64) float64 {
	if old == 0 {
		return x
	}
	return old + ewmaWeight*(x-old)
}

// queueLimit returns how many requests may be queued while running ones occupy
// all slots. It is chosen so that the last one still has about half of its time
// left when it is dispatched.
func (l *load) queueLimit(running int) int {
	if l.meanServiceTime == 0 || l.meanSlack == 0 {
		return int(maxQueuedPerRunning) * max(running, minQueueLimit)
	}
	per := min(max(maxWaitShare*l.meanSlack/l.meanServiceTime, minQueuedPerRunning), maxQueuedPerRunning)
	return max(minQueueLimit, int(per*float64(running)))
}

// overloaded reports whether a request was shed within the last overloadPeriod.
func (l *load) overloaded(now time.Time) bool {
	return now.Sub(l.lastShed) < overloadPeriod
}

// retryAfter returns the delay after which a caller should retry, or 0 to give no
// advice.
func (s *State) retryAfter(c Cause) time.Duration {
	switch c {
	case CauseOverload, CauseDeadline, CauseRateLimit:
		return min(max(s.drainTime(), minRetryAfter), maxRetryAfter)
	case CauseNoRunner, CauseRefused, CauseNotRecorded:
		return time.Second
	case CauseStopping:
		return minRetryAfter
	default:
		return 0
	}
}

// drainTime estimates how long it takes to process the queued requests.
func (s *State) drainTime() time.Duration {
	n := max(s.Running(), 1)
	return time.Duration(s.load.meanServiceTime * float64(s.Waiting()+n) / float64(n) * float64(time.Second))
}
