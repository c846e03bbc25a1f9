package sched

import (
	"slices"
	"time"
)

const (
	// stopTries is how long the tries of one stop order take at most, when none
	// is answered; what follows it is the next order's.
	stopTries = 1500 * time.Millisecond
	// stopPause is between stop orders of which the worker certainly took
	// none: a fifth of the least time within which a cancelled task must be gone.
	stopPause = 150 * time.Millisecond
	// stopMargin is how much longer than it needs a worker has to list the end
	// of a run that it stops: the end is heard of with the next heartbeat.
	stopMargin = 500 * time.Millisecond
)

// stop orders a run to be stopped. From then on the run is wanted gone: the
// order is given again for as long as the run is in its worker's account.
func (s *State) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping = true
	s.unwanted = append(s.unwanted, r)
	s.orderStop(r, reason)
}

// orderStop orders a run to be stopped, or has that wait until it is known where
// its worker is reached.
func (s *State) orderStop(r *run, reason string) {
	if r.worker.Address == "" {
		return
	}
	r.stopDue = s.now.Add(stopTries + s.config.StopTime + stopMargin)
	s.stops = append(s.stops, StopOrder{
		Worker: r.worker.id,
		Run:    r.id,
	})
	s.note(Note{
		Kind:   NoteStop,
		Job:    r.task.stage.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: reason,
		Age:    s.now.Sub(r.begun),
	})
}

// stopAgain gives the stop orders again that are due and have had no effect: a
// worker that was out of reach when its run was cancelled would else run it to
// its end. Cost: O(runs wanted gone).
func (s *State) stopAgain() {
	s.unwanted = slices.DeleteFunc(s.unwanted, func(r *run) bool { return r.worker.runs[r.id] != r })
	for _, r := range s.unwanted {
		if !s.now.Before(r.stopDue) {
			s.orderStop(r, "it may still be there")
		}
	}
}

// StopAnswered takes in what became of a stop order.
func (s *State) StopAnswered(now time.Time, a StopAnswer) {
	s.now = now
	w := s.workers[a.Order.Worker]
	if w == nil {
		return
	}
	r := w.runs[a.Order.Run]
	if r == nil {
		return
	}
	if !a.Taken {
		r.stopDue = now.Add(stopPause)
		s.note(Note{
			Kind:   NoteNotStopped,
			Job:    r.task.stage.job.ID,
			Run:    r.id,
			Worker: w.id,
			Reason: a.Reason,
			Age:    now.Sub(w.answered),
		})
		return
	}
	r.stopDue = now.Add(s.config.StopTime + stopMargin)
	if r.stopped.IsZero() {
		r.stopped = now
	}
}

// Stops returns the stop orders since the last call.
func (s *State) Stops() []StopOrder {
	o := s.stops
	s.stops = nil
	return o
}
