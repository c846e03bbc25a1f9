package route

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// maxTries bounds the dispatches of one request.
const maxTries = 4

// maxCredit bounds the retries that can be saved up.
const maxCredit = 50

// maxAside bounds the requests that are passed over in one search because
// they failed at the only free runners.
const maxAside = 64

// Arrive takes in a request.
func (s *State) Arrive(now time.Time, a Ask) []Action {
	x := &item{
		ticket:  a.Ticket,
		request: a.Request,
	}
	s.items[x.ticket] = x
	switch {
	case s.stop:
		s.settle(x, spoolsill.OutcomeNotRun, CauseStopping)
	case !now.Before(x.request.Expires()):
		s.settle(x, spoolsill.OutcomeNotRun, CauseDeadline)
	case len(s.order) == 0:
		s.settle(x, spoolsill.OutcomeNotRun, CauseNoRunner)
	default:
		s.enqueue(x, now)
	}
	return s.take()
}

func (s *State) enqueue(x *item, now time.Time) {
	s.load.arrive(x.request.Expires().Sub(now))
	s.credit = min(s.credit+float64(s.config.RetriesPerMille)/1000, maxCredit)
	s.arrived++
	x.arrived = s.arrived
	x.turn = s.takeTurn(x.request.Caller)
	s.push(x)
	s.dispatch(now)
	s.shed(now)
}

// takeTurn returns the place of the next request of a caller: callers take
// turns, so that many requests of one do not delay the few of another.
func (s *State) takeTurn(c spoolsill.CallerID) float64 {
	t := max(s.callers[c], s.turn)
	s.callers[c] = t + 1
	return t
}

// forgetCallers drops the callers whose turn has come.
func (s *State) forgetCallers() {
	for c, t := range s.callers {
		if t <= s.turn {
			delete(s.callers, c)
		}
	}
}

// shed settles the least worth while too many requests wait.
func (s *State) shed(now time.Time) {
	limit := min(s.config.Queue, s.load.limit(s.Running()))
	for s.Waiting() > limit {
		s.load.shed = now
		s.settle(s.heaps[byWorth].first(), spoolsill.OutcomeNotRun, CauseOverload)
	}
}

// dispatch sends waiting requests into free slots.
func (s *State) dispatch(now time.Time) {
	s.expire(now)
	var aside []*item
	for s.Waiting() > 0 && len(aside) < maxAside {
		x := s.choose(now)
		s.pull(x)
		if !s.send(x, now) {
			aside = append(aside, x)
			if len(x.failed) == 0 {
				break
			}
		}
	}
	for _, x := range aside {
		s.push(x)
	}
	s.borrow(now)
	s.returnIdle(now)
}

// choose returns the request to dispatch next: by turn and deadline, and by
// worth while there is more than can be done.
func (s *State) choose(now time.Time) *item {
	if s.load.overloaded(now) {
		return s.heaps[byValue].first()
	}
	return s.heaps[byTurn].first()
}

// expire settles the requests whose time has passed while they waited.
func (s *State) expire(now time.Time) {
	for {
		x := s.heaps[byExpiry].first()
		if x == nil || now.Before(x.request.Expires()) {
			return
		}
		s.settle(x, spoolsill.OutcomeNotRun, CauseDeadline)
	}
}

// send dispatches x into a free slot, if there is one.
func (s *State) send(x *item, now time.Time) bool {
	r := s.pick(x, now)
	if r != nil {
		r.busy++
		s.sent(x, r, now, Action{
			Until: now.Add(s.config.Loan),
		})
		return true
	}
	b := s.takeIdle(x, now)
	if b == nil {
		return false
	}
	b.runner.inLoan++
	x.loan = b.id
	s.sent(x, b.runner, now, Action{
		Loan:  b.id,
		Until: b.until,
	})
	return true
}

func (s *State) sent(x *item, r *runner, now time.Time, a Action) {
	x.runner = r
	x.sent = now
	x.tries++
	s.turn = max(s.turn, x.turn)
	a.Kind = Dispatch
	a.Ticket = x.ticket
	a.Runner = r.id
	s.emit(a)
}

func (x *item) avoids(r *runner) bool {
	for _, id := range x.failed {
		if id == r.id {
			return true
		}
	}
	return false
}

// pick returns the runner with a free own slot that has the fewest requests,
// or nil. Cost: O(runners).
func (s *State) pick(x *item, now time.Time) *runner {
	var best *runner
	for i := range s.order {
		r := s.order[(s.next+i)%len(s.order)]
		if s.freeHome(r, now) == 0 || !r.takes(now) || x.avoids(r) {
			continue
		}
		if best == nil || r.busy+r.inLoan < best.busy+best.inLoan {
			best = r
		}
		if s.config.FillFirst || best.busy+best.inLoan == 0 {
			break
		}
	}
	if best != nil && !s.config.FillFirst {
		s.next = (s.next + 1) % len(s.order)
	}
	return best
}

// ownFree returns the number of own slots that may take a request.
func (s *State) ownFree(now time.Time) int {
	n := 0
	for _, r := range s.order {
		if r.takes(now) {
			n += s.freeHome(r, now)
		}
	}
	return n
}

// Finish takes in what became of a dispatch.
func (s *State) Finish(now time.Time, t Ticket, res Result) []Action {
	x, ok := s.items[t]
	if !ok || x.runner == nil || x.waits {
		return nil
	}
	s.note(x.runner, res, now)
	if res == Answered || res == Failed {
		s.load.finish(now.Sub(x.sent))
	}
	if res == Broken || res == TimedOut {
		s.hold(x)
	} else {
		s.freeSlot(x.runner, x.loan)
	}
	r := x.runner
	x.runner = nil
	x.loan = LoanID{}
	s.conclude(x, r, res, now)
	s.dispatch(now)
	return s.take()
}

// conclude settles a request after a dispatch, or lets it wait again.
func (s *State) conclude(x *item, r *runner, res Result, now time.Time) {
	if res == Answered {
		delete(s.items, x.ticket)
		return
	}
	if res != Unsent {
		x.failed = append(x.failed, r.id)
	}
	x.mayHave = x.mayHave || (res != Unsent && res != Refused)
	if s.mayRetry(x, res, now) {
		s.push(x)
		return
	}
	switch res {
	case Refused:
		s.settle(x, spoolsill.OutcomeNotRun, CauseRefused)
	case Unsent:
		s.settle(x, spoolsill.OutcomeNotRun, CauseDeadline)
	case TimedOut:
		s.settle(x, spoolsill.OutcomeUnknown, CauseTimeout)
	default:
		s.settle(x, spoolsill.OutcomeUnknown, CauseFailed)
	}
}

// mayRetry reports whether x may be dispatched again: what certainly did not
// run while it has tries, what may have run only if it can be repeated, and
// within the budget.
func (s *State) mayRetry(x *item, res Result, now time.Time) bool {
	if !now.Before(x.request.Expires()) || x.tries >= maxTries || !s.hasOther(x) {
		return false
	}
	switch res {
	case Unsent, Refused:
		return true
	case Failed, Broken:
		return !x.request.Unrepeatable && s.spend()
	default:
		return false
	}
}

// hasOther reports whether there is a runner at which x has not failed. Without
// one it would only stand in the way of others.
func (s *State) hasOther(x *item) bool {
	for _, r := range s.order {
		if !r.leaving && !r.gone && !x.avoids(r) {
			return true
		}
	}
	return false
}

func (s *State) spend() bool {
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// Leave withdraws a request whose caller has gone. One that runs is left to
// its end.
func (s *State) Leave(now time.Time, t Ticket) []Action {
	x, ok := s.items[t]
	if !ok || !x.waits {
		return nil
	}
	s.settle(x, spoolsill.OutcomeNotRun, CauseCancelled)
	s.dispatch(now)
	return s.take()
}

// End refuses all new requests and withdraws all that wait.
func (s *State) End() []Action {
	s.stop = true
	for x := s.heaps[byTurn].first(); x != nil; x = s.heaps[byTurn].first() {
		s.settle(x, spoolsill.OutcomeNotRun, CauseStopping)
	}
	return s.take()
}

// Tick does what has become due, and returns when to call it again. A zero
// time says that nothing is due later.
func (s *State) Tick(now time.Time) ([]Action, time.Time) {
	s.forgetCallers()
	s.reclaimOld(now)
	s.releaseOld(now)
	s.dispatch(now)
	return s.take(), s.nextDue(now)
}

func (s *State) nextDue(now time.Time) time.Time {
	var due time.Time
	add := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if x := s.heaps[byExpiry].first(); x != nil {
		add(x.request.Expires())
		if s.loans.next.After(now) {
			add(s.loans.next)
		}
		if s.homeFrom.After(now) {
			add(s.homeFrom)
		}
		for _, r := range s.order {
			if r.until.After(now) {
				add(r.until)
			}
		}
	}
	for _, h := range s.held {
		add(h.end)
	}
	for _, l := range s.loans.lent {
		add(l.end)
	}
	return due
}
