package route

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A runner is a host's view of one upstream process.
type runner struct {
	id                  spoolsill.RunnerID
	leaving             bool
	gone                bool
	ownSlots            int // slots owned by the host
	ownBusy             int // own slots with a request in flight
	lent                int // own slots lent to other hosts
	borrowedBusy        int // borrowed slots with a request in flight
	consecutiveFailures int
	ejectedUntil        time.Time
	ejections           int
	probing             bool // from an ejection until the first answer
	warmup              int  // answers since it was added or ejected, up to warmupAnswers
}

// warmupAnswers is the length of the slow start of a runner: it gets one request
// at a time at first and one more for each answer, until it has given this many.
const warmupAnswers = 8

// idleOwnSlots returns the number of own slots of r that are neither lent nor
// busy.
func (r *runner) idleOwnSlots() int {
	return max(0, r.ownSlots-r.lent-r.ownBusy)
}

// usableOwnSlots returns the number of own slots of r that a request may be sent
// to at time now. There are none as long as requests from before a restart of
// the host may occupy them.
func (s *State) usableOwnSlots(r *runner, now time.Time) int {
	if now.Before(s.ownSlotsFrom) {
		return 0
	}
	return r.idleOwnSlots()
}

// EnableOwnSlots sets the time from which the host may use its own slots. A host
// that can't tell whether it was stopped cleanly before its restart must wait for
// the lifetime of a slot; until then it can only borrow.
func (s *State) EnableOwnSlots(now, from time.Time) []Action {
	s.ownSlotsFrom = from
	s.dispatch(now)
	return s.takeActions()
}

// available reports whether r may get another request at time now.
func (r *runner) available(now time.Time) bool {
	if r.leaving || r.gone || now.Before(r.ejectedUntil) {
		return false
	}
	if r.probing {
		return r.ownBusy+r.borrowedBusy == 0
	}
	return r.warmup >= warmupAnswers || r.ownBusy+r.borrowedBusy <= r.warmup
}

// SetRunners replaces the list of the service's runners in the hall. A runner
// that is not listed any more gets no new requests.
func (s *State) SetRunners(now time.Time, list []spoolsill.Runner) []Action {
	for _, r := range s.runners {
		r.gone = true
	}
	for _, l := range list {
		s.setRunner(l)
	}
	s.runnerList = s.runnerList[:0]
	for id, r := range s.runners {
		if r.gone && r.ownBusy+r.lent+r.borrowedBusy == 0 {
			delete(s.runners, id)
			continue
		}
		s.runnerList = append(s.runnerList, r)
	}
	sort.Slice(s.runnerList, func(i, j int) bool {
		return s.runnerList[i].id < s.runnerList[j].id
	})
	s.dispatch(now)
	return s.takeActions()
}

func (s *State) setRunner(l spoolsill.Runner) {
	r, ok := s.runners[l.ID]
	if !ok {
		r = &runner{
			id:       l.ID,
			ownSlots: s.config.ownSlots(l.ID),
		}
		s.runners[l.ID] = r
	}
	r.gone = false
	r.leaving = l.Leaving
}

// recordResult updates r with the result of a dispatch.
func (s *State) recordResult(r *runner, res Result, now time.Time) {
	switch res {
	case NotSent:
	case Answered:
		r.consecutiveFailures = 0
		r.ejections = 0
		r.probing = false
		r.warmup = min(r.warmup+1, warmupAnswers)
	default:
		r.consecutiveFailures++
		if r.probing || r.consecutiveFailures >= s.config.EjectAfter {
			s.eject(r, now)
		}
	}
}

// maxDoublings bounds the exponent of the ejection time, which would overflow.
const maxDoublings = 16

// eject excludes a failing runner from new requests for a while. The share of
// runners ejected at once is bounded: if more of them fail, a failing runner
// can't be distinguished from the others.
func (s *State) eject(r *runner, now time.Time) {
	if s.config.NoEject || now.Before(r.ejectedUntil) {
		return
	}
	n := 0
	for _, x := range s.runnerList {
		if now.Before(x.ejectedUntil) {
			n++
		}
	}
	if n >= max(1, len(s.runnerList)*s.config.EjectedPerMille/1000) {
		return
	}
	d := min(s.config.Eject<<min(r.ejections, maxDoublings), s.config.MaxEject)
	r.ejectedUntil = now.Add(d)
	r.ejections++
	r.probing = true
	r.warmup = 0
	r.consecutiveFailures = 0
}

// A RunnerView describes a runner to operators.
type RunnerView struct {
	ID           spoolsill.RunnerID `json:"id"       msgpack:"i"`
	Leaving      bool               `json:"leaving"  msgpack:"l"`
	OwnSlots     int                `json:"home"     msgpack:"h"`
	InFlight     int                `json:"in_flight" msgpack:"f"`
	Lent         int                `json:"lent"     msgpack:"n"`
	EjectedUntil time.Time          `json:"ejected"  msgpack:"e"`
}

// Runners returns all runners, sorted by ID.
func (s *State) Runners() []RunnerView {
	out := make([]RunnerView, 0, len(s.runnerList))
	for _, r := range s.runnerList {
		out = append(out, RunnerView{
			ID:           r.id,
			Leaving:      r.leaving || r.gone,
			OwnSlots:     r.ownSlots,
			InFlight:     r.ownBusy + r.borrowedBusy,
			Lent:         r.lent,
			EjectedUntil: r.ejectedUntil,
		})
	}
	return out
}

// FreeSlots returns the number of own slots that a request may be sent to, or 0
// while requests are queued.
func (s *State) FreeSlots(now time.Time) int {
	if s.Waiting() > 0 || s.draining {
		return 0
	}
	return s.totalUsableOwnSlots(now)
}
