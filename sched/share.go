package sched

import "time"

// shareWindow is the length of the sliding window over which a team's submission rate is
// compared with its share. A team that sends half of its share, at random times, exceeds
// it with one job in twenty over five seconds, and with one in four over one second.
const shareWindow = 5 * time.Second

// A shareTracker finds the jobs of a team that exceed its share. If one team submits many
// times its usual load, it would otherwise take, up to its quota, the capacity that other
// teams with their usual load wait for. Jobs over the share are ranked behind the jobs of
// all teams within theirs.
type shareTracker struct {
	// received has the submission times within the window of the jobs within the share.
	received []time.Time
}

// observe records a job submitted at a time and reports whether it exceeds a share of
// weight jobs per second. Such jobs don't count against the share, so that a team that
// sends too much still gets its share.
func (a *shareTracker) observe(at time.Time, weight float64) (overShare bool) {
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
