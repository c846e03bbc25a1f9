package route

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A runner is what a host knows of one upstream process.
type runner struct {
	id      spoolsill.RunnerID
	leaving bool
	gone    bool
	home    int // slots that have their home here
	busy    int // own slots with a request in flight
	lent    int // own slots lent to other hosts
	inLoan  int // borrowed slots with a request in flight
	fails   int // in a row
	until   time.Time
	ejects  int
	probe   bool // after an ejection, until the first answer
	warm    int  // answers since it is known or came back, up to warmAt
}

// warmAt is the number of answers after which a runner gets all its slots;
// until then it gets one more for each answer.
const warmAt = 8

// freeOwn returns the own slots of r that may take a request now.
func (r *runner) freeOwn() int {
	return max(0, r.home-r.lent-r.busy)
}

// freeHome returns the own slots of r that may take a request at now: none
// while an earlier life of the host may still have requests in them.
func (s *State) freeHome(r *runner, now time.Time) int {
	if now.Before(s.homeFrom) {
		return 0
	}
	return r.freeOwn()
}

// EnableOwnSlots says from when on the host may use the slots that have their home
// on it. A host that does not know that its earlier life stopped cleanly waits
// for the lifetime of a slot; until then it can borrow.
func (s *State) EnableOwnSlots(now, from time.Time) []Action {
	s.homeFrom = from
	s.dispatch(now)
	return s.take()
}

// takes reports whether r may get one more request at time now.
func (r *runner) takes(now time.Time) bool {
	if r.leaving || r.gone || now.Before(r.until) {
		return false
	}
	if r.probe {
		return r.busy+r.inLoan == 0
	}
	return r.warm >= warmAt || r.busy+r.inLoan <= r.warm
}

// SetRunners takes the list of the service's runners in the hall. One that is
// not listed any more gets no new requests.
func (s *State) SetRunners(now time.Time, list []spoolsill.Runner) []Action {
	for _, r := range s.runners {
		r.gone = true
	}
	for _, l := range list {
		s.setRunner(l)
	}
	s.order = s.order[:0]
	for id, r := range s.runners {
		if r.gone && r.busy+r.lent+r.inLoan == 0 {
			delete(s.runners, id)
			continue
		}
		s.order = append(s.order, r)
	}
	sort.Slice(s.order, func(i, j int) bool {
		return s.order[i].id < s.order[j].id
	})
	s.dispatch(now)
	return s.take()
}

func (s *State) setRunner(l spoolsill.Runner) {
	r, ok := s.runners[l.ID]
	if !ok {
		r = &runner{
			id:   l.ID,
			home: s.config.home(l.ID),
		}
		s.runners[l.ID] = r
	}
	r.gone = false
	r.leaving = l.Leaving
}

// note learns from the end of one dispatch.
func (s *State) note(r *runner, res Result, now time.Time) {
	switch res {
	case NotSent:
	case Answered:
		r.fails = 0
		r.ejects = 0
		r.probe = false
		r.warm = min(r.warm+1, warmAt)
	default:
		r.fails++
		if r.probe || r.fails >= s.config.EjectAfter {
			s.eject(r, now)
		}
	}
}

const maxDoublings = 16

// eject keeps a failing runner from new requests for a while. No more than a
// stated share is ejected at once: beyond it the failing look like all.
func (s *State) eject(r *runner, now time.Time) {
	if s.config.NoEject || now.Before(r.until) {
		return
	}
	n := 0
	for _, x := range s.order {
		if now.Before(x.until) {
			n++
		}
	}
	if n >= max(1, len(s.order)*s.config.EjectedPerMille/1000) {
		return
	}
	d := min(s.config.Eject<<min(r.ejects, maxDoublings), s.config.MaxEject)
	r.until = now.Add(d)
	r.ejects++
	r.probe = true
	r.warm = 0
	r.fails = 0
}

// A RunnerView is what operators see of a runner.
type RunnerView struct {
	ID           spoolsill.RunnerID `json:"id"       msgpack:"i"`
	Leaving      bool               `json:"leaving"  msgpack:"l"`
	OwnSlots     int                `json:"home"     msgpack:"h"`
	InFlight     int                `json:"in_flight" msgpack:"f"`
	Lent         int                `json:"lent"     msgpack:"n"`
	EjectedUntil time.Time          `json:"ejected"  msgpack:"e"`
}

// Runners returns all runners, by id.
func (s *State) Runners() []RunnerView {
	out := make([]RunnerView, 0, len(s.order))
	for _, r := range s.order {
		out = append(out, RunnerView{
			ID:           r.id,
			Leaving:      r.leaving || r.gone,
			OwnSlots:     r.home,
			InFlight:     r.busy + r.inLoan,
			Lent:         r.lent,
			EjectedUntil: r.until,
		})
	}
	return out
}

// FreeSlots returns how many own slots are free now, none while requests wait.
func (s *State) FreeSlots(now time.Time) int {
	if s.Waiting() > 0 || s.stop {
		return 0
	}
	return s.ownFree(now)
}
