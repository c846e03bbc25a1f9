package sched

import (
	"time"

	"github.com/spoolsill/spoolsill/internal/saturate"
)

const (
	// runTimeWeight is the weight of the newest observation in the moving average of run
	// times. About ten observations carry most of the average, so that it follows a
	// change within a second or two.
	runTimeWeight = 0.1
	// slownessWeight is the same for the slowness of a worker. Client estimates are off
	// by half or more in both directions, so that it takes about twenty runs to tell a
	// slow worker.
	slownessWeight = 0.05
	// minSlowness and maxSlowness bound the slowness of a worker.
	minSlowness = 0.5
	maxSlowness = 10.0
	// maxRunTimeRatio bounds what an estimate that is off by orders of magnitude adds to the
	// average of its queue.
	maxRunTimeRatio = 1000.0
)

// A runTimeEstimate is the observed run time of the tasks of a queue.
type runTimeEstimate struct {
	ratio float64 // moving average of run time divided by the client's estimate
	known bool
}

// expected returns the expected run time of a task of a step.
func (s *State) expected(q *Queue, p *Step) time.Duration {
	e := s.runTimes[q.ID]
	if e == nil || !e.known {
		return p.Estimate
	}
	return min(saturate.FromFloat[time.Duration](e.ratio*float64(p.Estimate)), maxEstimate)
}

// adviceWeight is the weight of the newest stage in the moving average of what stages cost the
// advisor. That depends on how full the cell is, which changes within seconds.
const adviceWeight = 0.1

// adviceCost returns how long the advisor is expected to take for all queries about a stage of a
// queue: as long as for the former ones, or for one query if none has ended yet.
func (s *State) adviceCost(q *Queue) time.Duration {
	if q.Advisor == nil {
		return 0
	}
	if c, known := s.adviceCosts[q.ID]; known {
		return c
	}
	return q.Advisor.queryTime(q.Advisor.querySize())
}

// observeAdvice updates adviceCost from a stage that is done. Stages that were asked about by a
// former leader may have cost more than is known.
func (s *State) observeAdvice(g *stage) {
	q := s.queue(g.job)
	if q.Advisor == nil || g.advice.spent == 0 {
		return
	}
	c := s.adviceCost(q)
	s.adviceCosts[q.ID] = c + time.Duration(adviceWeight*float64(g.advice.spent-c))
}

// observeEnd updates the run time and worker estimates from the end of a run.
func (s *State) observeEnd(r *run, k EndKind) {
	switch k {
	case EndDone:
		s.observeRunTime(r)
	case EndFailed:
		s.recordFailure(r)
	default:
	}
}

// observeRunTime updates the estimates from the run time of a completed run. Runs that
// were resumed or have no client estimate only count as a success of their worker.
func (s *State) observeRunTime(r *run) {
	p := r.task.stage.step
	if p.Estimate <= 0 || r.startedAt.IsZero() || r.task.saved != "" {
		r.worker.health.recordSuccess(0)
		return
	}
	runTime := float64(max(s.now.Sub(r.startedAt), time.Millisecond))
	q := r.task.stage.job.Queue
	e := s.runTimes[q]
	if e == nil {
		e = &runTimeEstimate{}
		s.runTimes[q] = e
	}
	ratio := min(max(runTime/float64(p.Estimate), 1/maxRunTimeRatio), maxRunTimeRatio)
	if !e.known {
		e.ratio = ratio
		e.known = true
	}
	r.worker.health.recordSuccess(ratio / e.ratio)
	e.ratio += runTimeWeight * (ratio/r.worker.health.slowness() - e.ratio)
}
