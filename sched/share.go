package sched

import "time"

// shareWindow is over how long a team's jobs are compared with its share: a team that
// sends half of it, at random times, is over it for one job in twenty with five seconds,
// for one in four with one.
const shareWindow = 5 * time.Second

// A shareTracker tells which jobs of a team are beyond its share. The load that it
// answers: one team hands in many times its usual. Up to its quota it would take what
// others wait for, whose own load is as usual. What is beyond its share waits behind what
// all teams have within theirs, and is served from what is left.
type shareTracker struct {
	// received has when the jobs within the share were handed in, in the window.
	received []time.Time
}

// observe takes in a job that was handed in at a time, and reports whether it is beyond a
// share of weight jobs a second. Jobs beyond it do not count: a team that sends too much
// still has its share.
func (a *shareTracker) observe(at time.Time, weight float64) (beyond bool) {
	n := 0
	for n < len(a.received) && at.Sub(a.received[n]) >= shareWindow {
		n++
	}
	a.received = a.received[n:]
	if weight > 0 && float64(len(a.received)) >= weight*shareWindow.Seconds() {
		return true
	}
	a.received = append(a.received, at)
	return false
}
