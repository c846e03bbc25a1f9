package route

import (
	"time"
)

// Weights and bounds of what is learnt of the load.
const (
	loadWeight   = 0.02 // of one request in the running means
	shareOfSlack = 0.5  // of the time to the deadline may be spent waiting
	minPerSlot   = 0.25 // waiting requests for each running one
	maxPerSlot   = 16.0
	minQueue     = 16
	calmAfter    = 200 * time.Millisecond // without shedding
	minRetry     = 50 * time.Millisecond
	maxRetry     = 10 * time.Second
)

// load is what a host learns of the requests of a service.
type load struct {
	service float64   // mean time at a runner, seconds
	slack   float64   // mean time from arrival to expiry, seconds
	shed    time.Time // the last time that the queue was too long
}

func (l *load) arrive(slack time.Duration) {
	l.slack = mean(l.slack, slack.Seconds())
}

func (l *load) finish(took time.Duration) {
	l.service = mean(l.service, took.Seconds())
}

func mean(old, x float64) float64 {
	if old == 0 {
		return x
	}
	return old + loadWeight*(x-old)
}

// limit returns how many requests may wait while running ones occupy all
// slots: so many that the last one still has a good part of its time left.
func (l *load) limit(running int) int {
	if l.service == 0 || l.slack == 0 {
		return int(maxPerSlot) * max(running, minQueue)
	}
	per := min(max(shareOfSlack*l.slack/l.service, minPerSlot), maxPerSlot)
	return max(minQueue, int(per*float64(running)))
}

func (l *load) overloaded(now time.Time) bool {
	return now.Sub(l.shed) < calmAfter
}

// retryAfter returns when a caller should ask again.
func (s *State) retryAfter(c Cause) time.Duration {
	switch c {
	case CauseOverload, CauseDeadline, CauseRateLimit:
		return min(max(s.drainTime(), minRetry), maxRetry)
	case CauseNoRunner, CauseRefused, CauseNotRecorded:
		return time.Second
	case CauseStopping:
		return minRetry
	default:
		return 0
	}
}

// drainTime is how long the waiting requests will take.
func (s *State) drainTime() time.Duration {
	n := max(s.Running(), 1)
	return time.Duration(s.load.service * float64(s.Waiting()+n) / float64(n) * float64(time.Second))
}
