package route

import (
	"time"

	"github.com/spoolsill/spoolsill"
)

// maxDispatches bounds how often one request is dispatched.
const maxDispatches = 4

// maxRetryBudget bounds the retries that can accumulate.
const maxRetryBudget = 50

// maxSkipped bounds the requests that one call to dispatch skips because they
// have failed at all runners that are free.
const maxSkipped = 64

// Arrive handles a new request.
func (s *State) Arrive(now time.Time, a Arrival) []Action {
	x := &activeRequest{
		ticket:  a.Ticket,
		request: a.Request,
	}
	s.requests[x.ticket] = x
	switch {
	case s.draining:
		s.fail(x, spoolsill.OutcomeNotRun, CauseStopping)
	case !now.Before(x.request.Expires()):
		s.fail(x, spoolsill.OutcomeNotRun, CauseDeadline)
	case len(s.runnerList) == 0:
		s.fail(x, spoolsill.OutcomeNotRun, CauseNoRunner)
	default:
		s.admit(x, now)
	}
	return s.takeActions()
}

// admit queues x, dispatches what it can and sheds requests if too many are left.
func (s *State) admit(x *activeRequest, now time.Time) {
	s.load.observeSlack(x.request.Expires().Sub(now))
	s.retryBudget = min(s.retryBudget+float64(s.config.RetriesPerMille)/1000, maxRetryBudget)
	s.seq++
	x.seq = s.seq
	x.startTag = s.nextStartTag(x.request.Caller)
	s.enqueue(x)
	s.dispatch(now)
	s.shed(now)
}

// nextStartTag returns the start tag of the next request of a caller, as in
// start-time fair queueing: many requests of one caller do not delay the few of
// another.
func (s *State) nextStartTag(c spoolsill.CallerID) float64 {
	t := max(s.finishTags[c], s.virtualTime)
	s.finishTags[c] = t + 1
	return t
}

// pruneCallers removes the finish tags that the virtual time has reached.
func (s *State) pruneCallers() {
	for c, t := range s.finishTags {
		if t <= s.virtualTime {
			delete(s.finishTags, c)
		}
	}
}

// shed fails the requests of the least worth while too many are queued.
func (s *State) shed(now time.Time) {
	limit := min(s.config.MaxQueued, s.load.queueLimit(s.Running()))
	for s.Waiting() > limit {
		s.load.lastShed = now
		s.fail(s.heaps[byLeastWorth].first(), spoolsill.OutcomeNotRun, CauseOverload)
	}
}

// dispatch dispatches queued requests to free slots, and borrows or returns
// slots as needed.
func (s *State) dispatch(now time.Time) {
	s.expire(now)
	var skipped []*activeRequest
	for s.Waiting() > 0 && len(skipped) < maxSkipped {
		x := s.nextRequest(now)
		s.dequeue(x)
		if !s.dispatchRequest(x, now) {
			skipped = append(skipped, x)
			if len(x.failedOn) == 0 {
				break
			}
		}
	}
	for _, x := range skipped {
		s.enqueue(x)
	}
	s.borrow(now)
	s.returnIdle(now)
}

// nextRequest returns the request to dispatch next: by class and fair order or,
// under overload, by worth.
func (s *State) nextRequest(now time.Time) *activeRequest {
	if s.load.overloaded(now) {
		return s.heaps[byMostWorth].first()
	}
	return s.heaps[byFairness].first()
}

// expire fails the queued requests that have expired.
func (s *State) expire(now time.Time) {
	for {
		x := s.heaps[byExpiry].first()
		if x == nil || now.Before(x.request.Expires()) {
			return
		}
		s.fail(x, spoolsill.OutcomeNotRun, CauseDeadline)
	}
}

// dispatchRequest dispatches x to a free own or borrowed slot and reports whether
// there was one.
func (s *State) dispatchRequest(x *activeRequest, now time.Time) bool {
	r := s.pickRunner(x, now)
	if r != nil {
		r.ownBusy++
		s.recordDispatch(x, r, now, Action{
			Until: now.Add(s.config.LoanDuration),
		})
		return true
	}
	b := s.takeBorrowed(x, now)
	if b == nil {
		return false
	}
	b.runner.borrowedBusy++
	x.loan = b.id
	s.recordDispatch(x, b.runner, now, Action{
		Loan:  b.id,
		Until: b.usableUntil,
	})
	return true
}

// recordDispatch marks x as sent to r and emits a with its remaining fields set.
func (s *State) recordDispatch(x *activeRequest, r *runner, now time.Time, a Action) {
	x.runner = r
	x.sentAt = now
	x.dispatches++
	s.virtualTime = max(s.virtualTime, x.startTag)
	a.Kind = Dispatch
	a.Ticket = x.ticket
	a.Runner = r.id
	s.emit(a)
}

func (x *activeRequest) avoids(r *runner) bool {
	for _, id := range x.failedOn {
		if id == r.id {
			return true
		}
	}
	return false
}

// pickRunner returns the runner with the fewest requests among those with a
// usable own slot, or nil. Cost: O(runners).
func (s *State) pickRunner(x *activeRequest, now time.Time) *runner {
	var best *runner
	for i := range s.runnerList {
		r := s.runnerList[(s.firstRunner+i)%len(s.runnerList)]
		if s.usableOwnSlots(r, now) == 0 || !r.available(now) || x.avoids(r) {
			continue
		}
		if best == nil || r.ownBusy+r.borrowedBusy < best.ownBusy+best.borrowedBusy {
			best = r
		}
		if s.config.FillFirst || best.ownBusy+best.borrowedBusy == 0 {
			break
		}
	}
	if best != nil && !s.config.FillFirst {
		s.firstRunner = (s.firstRunner + 1) % len(s.runnerList)
	}
	return best
}

// totalUsableOwnSlots returns the number of own slots of available runners that
// a request may be sent to.
func (s *State) totalUsableOwnSlots(now time.Time) int {
	n := 0
	for _, r := range s.runnerList {
		if r.available(now) {
			n += s.usableOwnSlots(r, now)
		}
	}
	return n
}

// Finish handles the result of a dispatch.
func (s *State) Finish(now time.Time, t Ticket, res Result) []Action {
	x, ok := s.requests[t]
	if !ok || x.runner == nil || x.queued {
		return nil
	}
	s.recordResult(x.runner, res, now)
	if res == Answered || res == Failed {
		s.load.observeServiceTime(now.Sub(x.sentAt))
	}
	if res == ConnectionLost || res == TimedOut {
		s.holdSlot(x)
	} else {
		s.freeSlot(x.runner, x.loan)
	}
	r := x.runner
	x.runner = nil
	x.loan = LoanID{}
	s.concludeDispatch(x, r, res, now)
	s.dispatch(now)
	return s.takeActions()
}

// concludeDispatch removes a request after a dispatch, queues it again or fails
// it.
func (s *State) concludeDispatch(x *activeRequest, r *runner, res Result, now time.Time) {
	if res == Answered {
		delete(s.requests, x.ticket)
		return
	}
	if res != NotSent {
		x.failedOn = append(x.failedOn, r.id)
	}
	x.mayHaveRun = x.mayHaveRun || (res != NotSent && res != Refused)
	if s.mayRetry(x, res, now) {
		s.enqueue(x)
		return
	}
	switch res {
	case Refused:
		s.fail(x, spoolsill.OutcomeNotRun, CauseRefused)
	case NotSent:
		s.fail(x, spoolsill.OutcomeNotRun, CauseDeadline)
	case TimedOut:
		s.fail(x, spoolsill.OutcomeUnknown, CauseTimeout)
	default:
		s.fail(x, spoolsill.OutcomeUnknown, CauseFailed)
	}
}

// mayRetry reports whether x may be dispatched again. Requests that may have run
// are retried only if they are repeatable and the retry budget allows it.
func (s *State) mayRetry(x *activeRequest, res Result, now time.Time) bool {
	if !now.Before(x.request.Expires()) || x.dispatches >= maxDispatches || !s.hasAlternative(x) {
		return false
	}
	switch res {
	case NotSent, Refused:
		return true
	case Failed, ConnectionLost:
		return !x.request.Unrepeatable && s.spendRetry()
	default:
		return false
	}
}

// hasAlternative reports whether there is a runner at which x has not failed. If
// there is none, queueing x again would only delay other requests.
func (s *State) hasAlternative(x *activeRequest) bool {
	for _, r := range s.runnerList {
		if !r.leaving && !r.gone && !x.avoids(r) {
			return true
		}
	}
	return false
}

// spendRetry takes a retry from the budget and reports whether there was one.
func (s *State) spendRetry() bool {
	if s.retryBudget < 1 {
		return false
	}
	s.retryBudget--
	return true
}

// Cancel removes a queued request whose caller has gone away. It has no effect
// on a request that has been dispatched.
func (s *State) Cancel(now time.Time, t Ticket) []Action {
	x, ok := s.requests[t]
	if !ok || !x.queued {
		return nil
	}
	s.fail(x, spoolsill.OutcomeNotRun, CauseCancelled)
	s.dispatch(now)
	return s.takeActions()
}

// Abort fails all queued requests and makes s fail all new ones.
func (s *State) Abort() []Action {
	s.draining = true
	for x := s.heaps[byFairness].first(); x != nil; x = s.heaps[byFairness].first() {
		s.fail(x, spoolsill.OutcomeNotRun, CauseStopping)
	}
	return s.takeActions()
}

// Tick performs the operations that have become due, and returns when to call it
// again. A zero time means that nothing is due later.
func (s *State) Tick(now time.Time) ([]Action, time.Time) {
	s.pruneCallers()
	s.reclaimExpired(now)
	s.releaseExpired(now)
	s.dispatch(now)
	return s.takeActions(), s.nextDue(now)
}

// nextDue returns the next time at which a timer is due. Timers that only matter
// to queued requests are left out if there are none.
func (s *State) nextDue(now time.Time) time.Time {
	var due time.Time
	add := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if x := s.heaps[byExpiry].first(); x != nil {
		add(x.request.Expires())
		if s.loans.nextBorrow.After(now) {
			add(s.loans.nextBorrow)
		}
		if s.ownSlotsFrom.After(now) {
			add(s.ownSlotsFrom)
		}
		for _, r := range s.runnerList {
			if r.ejectedUntil.After(now) {
				add(r.ejectedUntil)
			}
		}
	}
	for _, h := range s.heldSlots {
		add(h.releaseAt)
	}
	for _, l := range s.loans.lent {
		add(l.reclaimAt)
	}
	return due
}
