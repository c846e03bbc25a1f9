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
	s.stoppingRuns = append(s.stoppingRuns, r)
	s.orderStop(r, reason)
}

// orderStop orders a run to be stopped, or has that wait until it is known where
// its worker is reached.
func (s *State) orderStop(r *run, reason string) {
	if r.worker.Address == "" {
		return
	}
	r.nextStopAt = s.dueAfterStop()
	s.stops = append(s.stops, StopOrder{
		Life: r.worker.life(),
		Run:  r.id,
	})
	s.note(Note{
		Kind:   NoteStop,
		Job:    r.task.stage.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: reason,
		Age:    s.now.Sub(r.startedAt),
	})
}

// dueAfterStop returns when the next order is due of a stop that is ordered now.
func (s *State) dueAfterStop() time.Time {
	return s.now.Add(stopTries + s.config.StopTime + stopMargin)
}

// dueAfterAnswer returns the same of a stop that is answered now.
func (s *State) dueAfterAnswer(a StopAnswer) time.Time {
	if !a.Taken {
		return s.now.Add(stopPause)
	}
	return s.now.Add(s.config.StopTime + stopMargin)
}

// seeStray takes in that a worker has a run that no record names, and orders it to
// be stopped if that is due. A worker of many short tasks answers fifty times a
// second and goes on listing a run while it stops it: an order for each answer makes
// 150 in 3 s, paced they are 5 (TestStopsOfUnknownRunsArePaced).
func (s *State) seeStray(w *worker, id RunID) {
	if s.now.Before(w.unknownRuns[id]) {
		return
	}
	w.unknownRuns[id] = s.dueAfterStop()
	s.stops = append(s.stops, StopOrder{
		Life: w.life(),
		Run:  id,
	})
	s.note(Note{
		Kind:   NoteUnknownRun,
		Job:    id.Task.Stage.Job,
		Run:    id,
		Worker: w.id,
		Reason: "no record names it",
	})
}

// repeatStops gives the stop orders again that are due and have had no effect: a
// worker that was out of reach when its run was cancelled would else run it to
// its end. Cost: O(runs wanted gone).
func (s *State) repeatStops() {
	s.stoppingRuns = slices.DeleteFunc(s.stoppingRuns, func(r *run) bool { return r.worker.runs[r.id] != r })
	for _, r := range s.stoppingRuns {
		if !s.now.Before(r.nextStopAt) {
			s.orderStop(r, "it may still be there")
		}
	}
}

// StopAnswered takes in what became of a stop order.
func (s *State) StopAnswered(now time.Time, a StopAnswer) {
	s.now = now
	w := s.workerOf(a.Order.Life)
	if w == nil {
		return
	}
	if _, ok := w.unknownRuns[a.Order.Run]; ok {
		w.unknownRuns[a.Order.Run] = s.dueAfterAnswer(a)
		return
	}
	r := w.runs[a.Order.Run]
	if r == nil {
		return
	}
	r.nextStopAt = s.dueAfterAnswer(a)
	if !a.Taken {
		s.note(Note{
			Kind:   NoteNotStopped,
			Job:    r.task.stage.job.ID,
			Run:    r.id,
			Worker: w.id,
			Reason: a.Reason,
			Age:    now.Sub(w.answeredAt),
		})
		return
	}
	if r.stopTakenAt.IsZero() {
		r.stopTakenAt = now
	}
}

// Stops returns the stop orders since the last call.
func (s *State) Stops() []StopOrder {
	o := s.stops
	s.stops = nil
	return o
}
