package route

import (
	"time"
)

// A heldSlot is a slot whose dispatch has ended without an answer, but whose
// request may still occupy the runner.
type heldSlot struct {
	ticket    Ticket
	runner    *runner
	loan      LoanID
	releaseAt time.Time
}

// holdSlot keeps the slot of x occupied until [State.Release] or until the
// lifetime of the slot has passed.
func (s *State) holdSlot(x *activeRequest) {
	s.heldSlots = append(s.heldSlots, heldSlot{
		ticket:    x.ticket,
		runner:    x.runner,
		loan:      x.loan,
		releaseAt: x.sentAt.Add(s.config.SlotLifetime),
	})
}

// Release frees the held slot of a request once its runner has finished with it.
func (s *State) Release(now time.Time, t Ticket) []Action {
	for i, h := range s.heldSlots {
		if h.ticket != t {
			continue
		}
		s.heldSlots = append(s.heldSlots[:i], s.heldSlots[i+1:]...)
		s.freeSlot(h.runner, h.loan)
		break
	}
	s.dispatch(now)
	return s.takeActions()
}

// releaseExpired frees the held slots whose lifetime has passed.
func (s *State) releaseExpired(now time.Time) {
	kept := s.heldSlots[:0]
	for _, h := range s.heldSlots {
		if now.Before(h.releaseAt) {
			kept = append(kept, h)
			continue
		}
		s.freeSlot(h.runner, h.loan)
	}
	s.heldSlots = kept
}

// freeSlot frees the own slot of r that a request occupied or, if id is set, the
// borrowed one.
func (s *State) freeSlot(r *runner, id LoanID) {
	if id == (LoanID{}) {
		r.ownBusy--
		return
	}
	r.borrowedBusy--
	if b, ok := s.loans.borrowed[id]; ok {
		b.busy = false
		s.loans.idle = append(s.loans.idle, b)
	}
}
