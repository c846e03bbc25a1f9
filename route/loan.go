package route

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// A LoanID names one lent slot.
type LoanID struct {
	From   spoolsill.HostID `msgpack:"f"`
	Number uint64           `msgpack:"n"`
}

// A Loan is one slot of a runner, lent by one host to another. The borrower
// may start requests in it for Life, counted from before it asked.
type Loan struct {
	ID       LoanID             `msgpack:"i"`
	Runner   spoolsill.RunnerID `msgpack:"r"`
	ValidFor time.Duration      `msgpack:"l"`
}

// reclaimMargin is added to the latest end of a request in a lent slot, for
// clocks that run at different speeds.
const reclaimMargin = 500 * time.Millisecond

// Bounds of the wait between two requests for loans that brought nothing.
const (
	minBorrowWait = time.Millisecond
	maxBorrowWait = 4 * time.Millisecond
	maxBorrow     = 64 // slots asked for at once
)

// A lentSlot is an own slot that another host may use.
type lentSlot struct {
	runner *runner
	end    time.Time // the latest time at which a request may occupy it
}

// A borrowed is a slot of another host that may be used here.
type borrowed struct {
	id     LoanID
	runner *runner
	until  time.Time
	busy   bool
}

type loans struct {
	number   uint64
	lent     map[LoanID]lentSlot
	borrowed map[LoanID]*borrowed
	idle     []*borrowed
	asking   bool
	wait     time.Duration
	next     time.Time
}

func newLoans(first uint64) loans {
	return loans{
		number:   first,
		lent:     map[LoanID]lentSlot{},
		borrowed: map[LoanID]*borrowed{},
		wait:     minBorrowWait,
	}
}

// Lend answers another host that asks for n slots. It lends idle own slots,
// half of them at most, and none while requests wait here.
func (s *State) Lend(now time.Time, n int) []Loan {
	if s.stop || s.Waiting() > 0 || s.config.NoLoans {
		return nil
	}
	free := s.ownFree(now)
	n = min(n, (free+1)/2)
	var out []Loan
	for i := 0; i < len(s.order) && len(out) < n; i++ {
		r := s.order[(s.next+i)%len(s.order)]
		for s.freeHome(r, now) > 0 && r.takes(now) && len(out) < n {
			out = append(out, s.lend(r, now))
		}
	}
	return out
}

func (s *State) lend(r *runner, now time.Time) Loan {
	s.loans.number++
	id := LoanID{
		From:   s.config.Host,
		Number: s.loans.number,
	}
	r.lent++
	s.loans.lent[id] = lentSlot{
		runner: r,
		end:    now.Add(s.config.LoanDuration + s.config.SlotLifetime + reclaimMargin),
	}
	return Loan{
		ID:       id,
		Runner:   r.id,
		ValidFor: s.config.LoanDuration,
	}
}

// LoansReturned takes back lent slots.
func (s *State) LoansReturned(now time.Time, ids []LoanID) []Action {
	for _, id := range ids {
		s.reclaim(id)
	}
	s.dispatch(now)
	return s.take()
}

func (s *State) reclaim(id LoanID) {
	l, ok := s.loans.lent[id]
	if !ok {
		return
	}
	delete(s.loans.lent, id)
	l.runner.lent--
}

func (s *State) reclaimOld(now time.Time) {
	for id, l := range s.loans.lent {
		if !now.Before(l.end) {
			s.reclaim(id)
		}
	}
}

// LoansGranted takes in the answer to a [Borrow] action; asked is the time from
// before asking. Loans of runners that are not known here go back.
func (s *State) LoansGranted(now, asked time.Time, list []Loan) []Action {
	l := &s.loans
	l.asking = false
	if len(list) == 0 {
		l.next = now.Add(l.wait)
		l.wait = min(2*l.wait, maxBorrowWait)
	} else {
		l.wait = minBorrowWait
		l.next = now
	}
	for _, x := range list {
		s.accept(x, asked)
	}
	s.dispatch(now)
	return s.take()
}

func (s *State) accept(x Loan, asked time.Time) {
	r, ok := s.runners[x.Runner]
	if !ok {
		s.emit(Action{
			Kind:  Return,
			To:    x.ID.From,
			Loans: []LoanID{x.ID},
		})
		return
	}
	b := &borrowed{
		id:     x.ID,
		runner: r,
		until:  asked.Add(x.ValidFor),
	}
	s.loans.borrowed[x.ID] = b
	s.loans.idle = append(s.loans.idle, b)
}

// borrow asks for slots when requests wait and none is free.
func (s *State) borrow(now time.Time) {
	l := &s.loans
	if s.config.NoLoans || len(s.config.Hosts) < 2 || l.asking || s.Waiting() == 0 || now.Before(l.next) {
		return
	}
	l.asking = true
	s.emit(Action{
		Kind:  Borrow,
		Count: min(s.Waiting(), maxBorrow),
	})
}

// returnIdle gives back borrowed slots that are not needed or may not be used
// any more.
func (s *State) returnIdle(now time.Time) {
	l := &s.loans
	if len(l.idle) == 0 {
		return
	}
	back := map[spoolsill.HostID][]LoanID{}
	kept := l.idle[:0]
	for _, b := range l.idle {
		if s.Waiting() > 0 && now.Before(b.until) {
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

// takeIdle returns a borrowed slot that x may use, or nil.
func (s *State) takeIdle(x *item, now time.Time) *borrowed {
	l := &s.loans
	for i, b := range l.idle {
		if !now.Before(b.until) || !b.runner.takes(now) || x.avoids(b.runner) {
			continue
		}
		l.idle = append(l.idle[:i], l.idle[i+1:]...)
		b.busy = true
		return b
	}
	return nil
}
