package route

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A LoanID identifies a lent slot.
type LoanID struct {
	From   spoolsill.HostID `msgpack:"f"`
	Number uint64           `msgpack:"n"`
}

// A Loan is a slot of a runner that one host has lent to another. The borrower
// may send requests in it for ValidFor, counted from the time at which it asked
// for the slot.
type Loan struct {
	ID       LoanID             `msgpack:"i"`
	Runner   spoolsill.RunnerID `msgpack:"r"`
	ValidFor time.Duration      `msgpack:"l"`
}

// reclaimMargin is added to the latest end of a request in a lent slot to allow
// for clock drift between the hosts.
const reclaimMargin = 500 * time.Millisecond

// Bounds of the delay after a request for slots that yielded none, and of the
// request.
const (
	minBorrowBackoff = time.Millisecond
	maxBorrowBackoff = 4 * time.Millisecond
	maxBorrow        = 64 // slots per request
)

// A lentSlot is an own slot that is lent to another host.
type lentSlot struct {
	runner    *runner
	reclaimAt time.Time // no request of the borrower can occupy it from then on
}

// A borrowedSlot is a slot that is borrowed from another host.
type borrowedSlot struct {
	id          LoanID
	runner      *runner
	usableUntil time.Time
	busy        bool
}

// loans holds the slots that a host has lent and borrowed.
type loans struct {
	lastNumber uint64 // of the last slot lent
	lent       map[LoanID]lentSlot
	borrowed   map[LoanID]*borrowedSlot
	idle       []*borrowedSlot // borrowed slots without a request
	borrowing  bool            // a Borrow action has no result yet
	backoff    time.Duration   // after the next request for slots that yields none
	nextBorrow time.Time       // no Borrow action before then
}

func newLoans(first uint64) loans {
	return loans{
		lastNumber: first,
		lent:       map[LoanID]lentSlot{},
		borrowed:   map[LoanID]*borrowedSlot{},
		backoff:    minBorrowBackoff,
	}
}

// Lend handles a request of another host for n slots. It lends at most half of
// the usable own slots, rounded up, and none while requests are queued here.
func (s *State) Lend(now time.Time, n int) []Loan {
	if s.draining || s.Waiting() > 0 || s.config.NoLoans {
		return nil
	}
	free := s.totalUsableOwnSlots(now)
	n = min(n, (free+1)/2)
	var out []Loan
	for i := 0; i < len(s.runnerList) && len(out) < n; i++ {
		r := s.runnerList[(s.firstRunner+i)%len(s.runnerList)]
		for s.usableOwnSlots(r, now) > 0 && r.available(now) && len(out) < n {
			out = append(out, s.lendSlot(r, now))
		}
	}
	return out
}

func (s *State) lendSlot(r *runner, now time.Time) Loan {
	s.loans.lastNumber++
	id := LoanID{
		From:   s.config.Host,
		Number: s.loans.lastNumber,
	}
	r.lent++
	s.loans.lent[id] = lentSlot{
		runner:    r,
		reclaimAt: now.Add(s.config.LoanDuration + s.config.SlotLifetime + reclaimMargin),
	}
	return Loan{
		ID:       id,
		Runner:   r.id,
		ValidFor: s.config.LoanDuration,
	}
}

// LoansReturned handles the return of lent slots.
func (s *State) LoansReturned(now time.Time, ids []LoanID) []Action {
	for _, id := range ids {
		s.reclaim(id)
	}
	s.dispatch(now)
	return s.takeActions()
}

// reclaim makes a lent slot usable here again.
func (s *State) reclaim(id LoanID) {
	l, ok := s.loans.lent[id]
	if !ok {
		return
	}
	delete(s.loans.lent, id)
	l.runner.lent--
}

func (s *State) reclaimExpired(now time.Time) {
	for id, l := range s.loans.lent {
		if !now.Before(l.reclaimAt) {
			s.reclaim(id)
		}
	}
}

// LoansGranted handles the loans that a [Borrow] action yielded, if any. The
// lender must have been asked after the time asked. Loans of runners that are
// not known here are returned.
func (s *State) LoansGranted(now, asked time.Time, list []Loan) []Action {
	l := &s.loans
	l.borrowing = false
	if len(list) == 0 {
		l.nextBorrow = now.Add(l.backoff)
		l.backoff = min(2*l.backoff, maxBorrowBackoff)
	} else {
		l.backoff = minBorrowBackoff
		l.nextBorrow = now
	}
	for _, x := range list {
		s.addBorrowed(x, asked)
	}
	s.dispatch(now)
	return s.takeActions()
}

func (s *State) addBorrowed(x Loan, asked time.Time) {
	r, ok := s.runners[x.Runner]
	if !ok {
		s.emit(Action{
			Kind:  Return,
			To:    x.ID.From,
			Loans: []LoanID{x.ID},
		})
		return
	}
	b := &borrowedSlot{
		id:          x.ID,
		runner:      r,
		usableUntil: asked.Add(x.ValidFor),
	}
	s.loans.borrowed[x.ID] = b
	s.loans.idle = append(s.loans.idle, b)
}

// borrow asks for slots if requests are queued for which there is none.
func (s *State) borrow(now time.Time) {
	l := &s.loans
	if s.config.NoLoans || len(s.config.Hosts) < 2 || l.borrowing || s.Waiting() == 0 || now.Before(l.nextBorrow) {
		return
	}
	l.borrowing = true
	s.emit(Action{
		Kind:  Borrow,
		Count: min(s.Waiting(), maxBorrow),
	})
}

// returnIdle returns idle borrowed slots that are not needed or whose loan has
// ended.
func (s *State) returnIdle(now time.Time) {
	l := &s.loans
	if len(l.idle) == 0 {
		return
	}
	back := map[spoolsill.HostID][]LoanID{}
	kept := l.idle[:0]
	for _, b := range l.idle {
		if s.Waiting() > 0 && now.Before(b.usableUntil) {
			kept = append(kept, b)
			continue
		}
		delete(l.borrowed, b.id)
		back[b.id.From] = append(back[b.id.From], b.id)
	}
	l.idle = kept
	for _, h := range s.config.Hosts {
		if len(back[h]) == 0 {
			continue
		}
		s.emit(Action{
			Kind:  Return,
			To:    h,
			Loans: back[h],
		})
	}
}

// takeBorrowed marks an idle borrowed slot that x may use as busy and returns
// it, or nil if there is none.
func (s *State) takeBorrowed(x *activeRequest, now time.Time) *borrowedSlot {
	l := &s.loans
	for i, b := range l.idle {
		if !now.Before(b.usableUntil) || !b.runner.available(now) || x.avoids(b.runner) {
			continue
		}
		l.idle = append(l.idle[:i], l.idle[i+1:]...)
		b.busy = true
		return b
	}
	return nil
}
