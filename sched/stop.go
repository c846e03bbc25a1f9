package sched

import (
	"slices"
	"time"
)

const (
	// stopAttemptWindow bounds the time for all attempts of one stop order when none is
	// answered. After it the next order is due.
	stopAttemptWindow = 1500 * time.Millisecond
	// stopRetryDelay is the delay between stop orders that the worker has not accepted: a
	// fifth of the shortest time within which a cancelled task must be gone.
	stopRetryDelay = 150 * time.Millisecond
	// stopMargin is the time, in addition to that for the stop itself, for a worker to
	// report the end of the run: the end is received with the next heartbeat.
	stopMargin = 500 * time.Millisecond
)

// stop orders a run to be stopped. The order is repeated for as long as the run is
// counted at its worker.
func (s *State) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	if r.lasts() {
		r.worker.usedForGood = r.worker.usedForGood.Sub(r.need)
	}
	r.stopping = true
	s.stoppingRuns = append(s.stoppingRuns, r)
	s.orderStop(r, reason)
}

// orderStop queues a stop order for a run. Without the worker's address it does nothing;
// the order is then given once the address is known.
func (s *State) orderStop(r *run, reason string) {
	if r.worker.Address == "" {
		return
	}
	r.nextStopAt = s.nextStopAfterOrder()
	s.stops = append(s.stops, StopOrder{
		WorkerIncarnation: r.worker.incarnation(),
		Run:               r.id,
	})
	s.note(Note{
		Kind:   NoteStopOrdered,
		Job:    r.task.stage.job.ID,
		Run:    r.id,
		Worker: r.worker.id,
		Reason: reason,
		Age:    s.now.Sub(r.startedAt),
	})
}

// nextStopAfterOrder returns when a stop order that is given now is to be repeated.
func (s *State) nextStopAfterOrder() time.Time {
	return s.now.Add(stopAttemptWindow + s.config.StopTime + stopMargin)
}

// nextStopAfterAnswer returns when a stop order that is answered now is to be repeated.
func (s *State) nextStopAfterAnswer(a StopAnswer) time.Time {
	if !a.Taken {
		return s.now.Add(stopRetryDelay)
	}
	return s.now.Add(s.config.StopTime + stopMargin)
}

// stopUnknownRun orders a worker to stop a run that it lists and of which there is no record, if
// such an order is due. A worker with many short tasks answers fifty times a second and lists a
// run until it is stopped: one order for each answer would be 150 in 3 s; with the delay it is 5
// (TestStopsOfUnknownRunsArePaced).
func (s *State) stopUnknownRun(w *worker, id RunID) {
	if s.now.Before(w.unknownRuns[id]) {
		return
	}
	w.unknownRuns[id] = s.nextStopAfterOrder()
	s.stops = append(s.stops, StopOrder{
		WorkerIncarnation: w.incarnation(),
		Run:               id,
	})
	s.note(Note{
		Kind:   NoteUnknownRun,
		Job:    id.Task.Stage.Job,
		Run:    id,
		Worker: w.id,
		Reason: "the run is in no record",
	})
}

// repeatStops repeats the stop orders that are due and have had no effect. A worker that
// was unreachable when its run was cancelled would otherwise run it to completion. Cost:
// O(runs being stopped).
func (s *State) repeatStops() {
	s.stoppingRuns = slices.DeleteFunc(s.stoppingRuns, func(r *run) bool { return r.worker.runs[r.id] != r })
	for _, r := range s.stoppingRuns {
		if !s.now.Before(r.nextStopAt) {
			s.orderStop(r, "the run may still be there")
		}
	}
}

// StopAnswered handles the result of a stop order.
func (s *State) StopAnswered(now time.Time, a StopAnswer) {
	s.now = now
	w := s.workerOf(a.Order.WorkerIncarnation)
	if w == nil {
		return
	}
	if _, ok := w.unknownRuns[a.Order.Run]; ok {
		w.unknownRuns[a.Order.Run] = s.nextStopAfterAnswer(a)
		return
	}
	r := w.runs[a.Order.Run]
	if r == nil {
		return
	}
	r.nextStopAt = s.nextStopAfterAnswer(a)
	if !a.Taken {
		s.note(Note{
			Kind:   NoteStopNotAccepted,
			Job:    r.task.stage.job.ID,
			Run:    r.id,
			Worker: w.id,
			Reason: a.Reason,
			Age:    now.Sub(w.answeredAt),
		})
		return
	}
	if r.stopAcceptedAt.IsZero() {
		r.stopAcceptedAt = now
	}
}

// Stops returns the stop orders since the last call.
func (s *State) Stops() []StopOrder {
	o := s.stops
	s.stops = nil
	return o
}
