// Package event provides an event loop with a virtual clock for discrete-event
// simulations, and quantiles of the durations that they collect.
package event

import (
	"container/heap"
	"time"
)

// A Loop runs events in order of time. Events scheduled for the same time run in the
// order in which they were added. The zero value is an empty loop at time 0.
type Loop struct {
	now     time.Duration
	queue   queue
	lastSeq uint64
}

type entry struct {
	at  time.Duration
	seq uint64
	run func()
}

// queue implements heap.Interface.
type queue []entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(entry)) }

func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Now returns the virtual time since the start of the loop.
func (l *Loop) Now() time.Duration {
	return l.now
}

// Time returns the virtual time as a [time.Time]. Time 0 is a fixed date.
func (l *Loop) Time() time.Time {
	return time.UnixMicro(1_000_000_000_000).Add(l.now)
}

// After schedules f to run after d. A negative d counts as zero.
func (l *Loop) After(d time.Duration, f func()) {
	l.lastSeq++
	heap.Push(&l.queue, entry{
		at:  l.now + max(d, 0),
		seq: l.lastSeq,
		run: f,
	})
}

// Run runs all events that are due at end or earlier, and advances the clock to end.
func (l *Loop) Run(end time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= end {
		x := heap.Pop(&l.queue).(entry)
		l.now = x.at
		x.run()
	}
	l.now = max(l.now, end)
}
