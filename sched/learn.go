package sched

import (
	"time"
)

const (
	// learnRate is the weight of the newest observation; ten or so carry most
	// of an average, which follows a change within a second or two.
	learnRate = 0.1
	// slowRate is the same for a worker's speed: guesses are off by half and
	// more either way, so that some twenty runs tell a slow worker.
	slowRate = 0.05
	// slowLimits bound what a worker's speed is believed to be.
	fastest = 0.5
	slowest = 10.0
)

// An experience is what is known of the run times of a queue's tasks.
type experience struct {
	ratio float64 // run time over the client's guess
	known bool
}

// expected returns how long a task of a step is expected to run.
func (s *State) expected(q *Queue, p *Step) time.Duration {
	e := s.learnt[q.ID]
	if e == nil || !e.known {
		return p.Estimate
	}
	return time.Duration(e.ratio * float64(p.Estimate))
}

// observeEnd takes in how a run ended.
func (s *State) observeEnd(r *run, k EndKind) {
	switch k {
	case EndDone:
		s.learnTime(r)
	case EndFailed:
		r.worker.health.recordFailure(s.now)
	default:
	}
}

func (s *State) learnTime(r *run) {
	p := r.task.stage.step
	if p.Estimate <= 0 || r.startedAt.IsZero() || r.task.saved != "" {
		r.worker.health.recordSuccess(0)
		return
	}
	took := float64(max(s.now.Sub(r.startedAt), time.Millisecond))
	q := r.task.stage.job.Queue
	e := s.learnt[q]
	if e == nil {
		e = &experience{}
		s.learnt[q] = e
	}
	ratio := took / float64(p.Estimate)
	if !e.known {
		e.ratio = ratio
		e.known = true
	}
	r.worker.health.recordSuccess(ratio / e.ratio)
	e.ratio += learnRate * (ratio/r.worker.health.slowness() - e.ratio)
}

// health is what is known of a worker from the runs that ended there.
type health struct {
	slow  float64 // 0 means not known
	fails int     // in a row
	until time.Time
}

const (
	// maxFails in a row are taken as the worker's fault: at failure rates of
	// a few percent, two in a row by chance are rare.
	maxFails = 2
	// restFirst doubles with each further failure up to restMost.
	restFirst = 2 * time.Second
	restMost  = 8 * time.Second
)

func (h *health) available(now time.Time) bool {
	return !now.Before(h.until)
}

func (h *health) recordFailure(now time.Time) {
	h.fails++
	if h.fails < maxFails {
		return
	}
	h.until = now.Add(min(restFirst<<min(h.fails-maxFails, 8), restMost))
}

func (h *health) recordRejection(now time.Time) {
	h.recordFailure(now)
}

func (h *health) recordSuccess(ratio float64) {
	h.fails = 0
	if ratio <= 0 {
		return
	}
	ratio = min(max(ratio, fastest), slowest)
	if h.slow == 0 {
		h.slow = 1
	}
	h.slow += slowRate * (ratio - h.slow)
}

// slowness returns how many times longer than elsewhere tasks take.
func (h *health) slowness() float64 {
	if h.slow == 0 {
		return 1
	}
	return h.slow
}
