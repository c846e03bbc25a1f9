package sched

import (
	"time"
)

const (
	// runTimeWeight is the weight of the newest observation; ten or so carry most
	// of an average, which follows a change within a second or two.
	runTimeWeight = 0.1
	// slownessWeight is the same for a worker's speed: guesses are off by half and
	// more either way, so that some twenty runs tell a slow worker.
	slownessWeight = 0.05
	// slowLimits bound what a worker's speed is believed to be.
	minSlowness = 0.5
	maxSlowness = 10.0
)

// A runTimeEstimate is what is known of the run times of a queue's tasks.
type runTimeEstimate struct {
	ratio float64 // run time over the client's guess
	known bool
}

// expected returns how long a task of a step is expected to run.
func (s *State) expected(q *Queue, p *Step) time.Duration {
	e := s.runTimes[q.ID]
	if e == nil || !e.known {
		return p.Estimate
	}
	return time.Duration(e.ratio * float64(p.Estimate))
}

// observeEnd takes in how a run ended.
func (s *State) observeEnd(r *run, k EndKind) {
	switch k {
	case EndDone:
		s.observeRunTime(r)
	case EndFailed:
		r.worker.health.recordFailure(s.now)
	default:
	}
}

func (s *State) observeRunTime(r *run) {
	p := r.task.stage.step
	if p.Estimate <= 0 || r.startedAt.IsZero() || r.task.saved != "" {
		r.worker.health.recordSuccess(0)
		return
	}
	took := float64(max(s.now.Sub(r.startedAt), time.Millisecond))
	q := r.task.stage.job.Queue
	e := s.runTimes[q]
	if e == nil {
		e = &runTimeEstimate{}
		s.runTimes[q] = e
	}
	ratio := took / float64(p.Estimate)
	if !e.known {
		e.ratio = ratio
		e.known = true
	}
	r.worker.health.recordSuccess(ratio / e.ratio)
	e.ratio += runTimeWeight * (ratio/r.worker.health.slowness() - e.ratio)
}

// health is what is known of a worker from the runs that ended there.
type health struct {
	slowEstimate float64 // 0 means not known
	failures     int     // in a row
	backoffUntil time.Time
}

const (
	// maxFailuresInRow in a row are taken as the worker's fault: at failure rates of
	// a few percent, two in a row by chance are rare.
	maxFailuresInRow = 2
	// minBackoff doubles with each further failure up to maxBackoff.
	minBackoff = 2 * time.Second
	maxBackoff = 8 * time.Second
)

func (h *health) available(now time.Time) bool {
	return !now.Before(h.backoffUntil)
}

func (h *health) recordFailure(now time.Time) {
	h.failures++
	if h.failures < maxFailuresInRow {
		return
	}
	h.backoffUntil = now.Add(min(minBackoff<<min(h.failures-maxFailuresInRow, 8), maxBackoff))
}

func (h *health) recordRejection(now time.Time) {
	h.recordFailure(now)
}

func (h *health) recordSuccess(ratio float64) {
	h.failures = 0
	if ratio <= 0 {
		return
	}
	ratio = min(max(ratio, minSlowness), maxSlowness)
	if h.slowEstimate == 0 {
		h.slowEstimate = 1
	}
	h.slowEstimate += slownessWeight * (ratio - h.slowEstimate)
}

// slowness returns how many times longer than elsewhere tasks take.
func (h *health) slowness() float64 {
	if h.slowEstimate == 0 {
		return 1
	}
	return h.slowEstimate
}
