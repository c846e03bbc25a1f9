package route

import (
	"time"
)

// A heldSlot is taken by a request that was settled while it may still
// occupy its runner.
type heldSlot struct {
	ticket Ticket
	runner *runner
	loan   LoanID
	end    time.Time
}

// hold keeps the slot of x taken until [State.Release] or until the lifetime
// of the slot has passed.
func (s *State) hold(x *item) {
	s.held = append(s.held, heldSlot{
		ticket: x.ticket,
		runner: x.runner,
		loan:   x.loan,
		end:    x.sent.Add(s.config.SlotLifetime),
	})
}

// Release frees the slot of a request that was settled before its runner was
// done with it.
func (s *State) Release(now time.Time, t Ticket) []Action {
	for i, h := range s.held {
		if h.ticket != t {
			continue
		}
		s.held = append(s.held[:i], s.held[i+1:]...)
		s.freeSlot(h.runner, h.loan)
		break
	}
	s.dispatch(now)
	return s.take()
}

func (s *State) releaseOld(now time.Time) {
	kept := s.held[:0]
	for _, h := range s.held {
		if now.Before(h.end) {
			kept = append(kept, h)
			continue
		}
		s.freeSlot(h.runner, h.loan)
	}
	s.held = kept
}

func (s *State) freeSlot(r *runner, id LoanID) {
	if id == (LoanID{}) {
		r.busy--
		return
	}
	r.inLoan--
	if b, ok := s.loans.borrowed[id]; ok {
		b.busy = false
		s.loans.idle = append(s.loans.idle, b)
	}
}
