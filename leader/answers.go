package leader

import (
	"sync"
	"time"
)

const (
	// answerLeast is the shortest time for which an answer of a worker is waited for
	// before the order is sent again, or its silence counts: they answer in two
	// milliseconds, from hosts that are slowed in some twenty.
	answerLeast = 60 * time.Millisecond
	// orderMost is the longest time for which the answer to an order is waited for:
	// a start has time for a second try.
	orderMost = startTime / 2
	// heartbeatMost is the same for a heartbeat: as long as a connection may
	// acknowledge nothing before it is given up.
	heartbeatMost = 2 * time.Second
	// answerFactor times the usual time, an answer has most likely been lost.
	answerFactor = 4
)

// answers follows how long answers of workers are under way. What it answers is a
// link or a processor that is full: all answers are late then, and limits that stay
// as they are have each one given up with its connection, asked for again, and be
// late again. Heartbeats tell the time, since they are waited for longer than it;
// orders that are given up after it would tell of the quick answers only. It is safe
// for concurrent use. The zero value knows of none.
type answers struct {
	mu    sync.Mutex
	usual time.Duration // a moving average
}

// observe records the latency of an answer. Rises are weighted more than falls.
func (a *answers) observe(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	weight := time.Duration(16)
	if d > a.usual {
		weight = 4
	}
	a.usual += (d - a.usual) / weight
}

// order returns how long the answer to an order is waited for.
func (a *answers) order() time.Duration {
	return min(a.limit(), orderMost)
}

// heartbeat returns how long the beginning of the answer to a heartbeat is waited
// for, of a worker that has left the latest ones unanswered: each time for twice as
// long, so that answers that have become slow are heard at last.
func (a *answers) heartbeat(unanswered int) time.Duration {
	return min(a.limit()<<min(unanswered, backoffMost), heartbeatMost)
}

// backoffMost is how often the limit is doubled at most: answerLeast is
// heartbeatMost then.
const backoffMost = 5

func (a *answers) limit() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(answerFactor*a.usual, answerLeast)
}

// latency returns a moving average of the latency of answers.
func (a *answers) latency() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usual
}

// AnswerLatency returns a moving average of the latency of workers' answers.
func (l *Leader) AnswerLatency() time.Duration {
	return l.answers.latency()
}
