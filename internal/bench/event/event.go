// Package event is the virtual time of the measurements: a queue of things
// that happen at set times, in order.
package event

import (
	"container/heap"
	"time"
)

// A Loop runs events in the order of their times; events of the same time run
// in the order in which they were added. The zero value is at time 0.
type Loop struct {
	now   time.Duration
	queue queue
	count uint64
}

type entry struct {
	at    time.Duration
	order uint64
	run   func()
}

type queue []entry

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(entry)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Now returns the virtual time.
func (l *Loop) Now() time.Duration {
	return l.now
}

// Time returns the virtual time as a time of day.
func (l *Loop) Time() time.Time {
	return time.UnixMicro(1_000_000_000_000).Add(l.now)
}

// After has f run when d has passed.
func (l *Loop) After(d time.Duration, f func()) {
	l.count++
	heap.Push(&l.queue, entry{
		at:    l.now + max(d, 0),
		order: l.count,
		run:   f,
	})
}

// Run runs events until none is left or the time has passed end.
func (l *Loop) Run(end time.Duration) {
	for len(l.queue) > 0 && l.queue[0].at <= end {
		x := heap.Pop(&l.queue).(entry)
		l.now = x.at
		x.run()
	}
	l.now = max(l.now, end)
}
