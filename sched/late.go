package sched

import (
	"maps"
	"slices"
	"time"
)

// What follows answers orders that arrive late. A call that got no answer may be carried
// out up to 12 s later. Within a life its deadline bounds that. The next life under the id
// has a clock of its own, by which the deadline may be hours ahead, and has seen no stop:
// there only a stop that it has taken itself bars the run. A task whose start may arrive
// yet runs nowhere else before that; to wait for the deadline by the wrong clock would
// keep it waiting for as long as the worker lives.

// A bar is a run that a worker's life is to refuse, if its order arrives.
type bar struct {
	until time.Time // later its order does not arrive
	due   time.Time // when the next order to refuse it is due
	taken bool      // by this life
}

// rememberLate keeps in mind that a start had no answer, for the life that it was for and
// for those after it.
func (s *State) rememberLate(w *worker, a StartAnswer) {
	until := s.now.Add(lateMost)
	if !w.life().MayBe(a.Born) {
		w.bars[a.Run] = &bar{
			until: until,
		}
		return
	}
	for id, t := range w.late {
		if s.now.After(t) {
			delete(w.late, id)
		}
	}
	w.late[a.Run] = until
}

// inheritLate has a life refuse what may still be on its way to those before it.
func (s *State) inheritLate(w, old *worker) {
	for id, t := range old.late {
		w.bars[id] = &bar{
			until: t,
		}
	}
	for id, b := range old.bars {
		w.bars[id] = &bar{
			until: b.until,
		}
	}
}

// mayArrive reports whether the order of a run for a former life may reach this one yet.
func (w *worker) mayArrive(id RunID, now time.Time) bool {
	b := w.bars[id]
	return b != nil && now.Before(b.until)
}

// barLate orders a worker that answers to refuse what may still be on its way.
func (s *State) barLate(w *worker) {
	for _, id := range slices.SortedFunc(maps.Keys(w.bars), compareRuns) {
		b := w.bars[id]
		if !s.now.Before(b.until) {
			delete(w.bars, id)
			continue
		}
		if r := w.runs[id]; r != nil {
			if r.former() && r.phase != phaseSent {
				s.stop(r, "its worker started again, and its order may arrive yet")
			}
			continue
		}
		if b.taken || s.now.Before(b.due) {
			continue
		}
		b.due = s.dueAfterStop()
		s.stops = append(s.stops, StopOrder{
			Life: w.life(),
			Run:  id,
		})
	}
}

// barAnswered takes in what became of an order to refuse a run.
func (s *State) barAnswered(w *worker, a StopAnswer) {
	b := w.bars[a.Order.Run]
	if b == nil {
		return
	}
	b.taken = a.Taken
	b.due = s.dueAfterAnswer(a)
}
