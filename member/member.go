// Package member joins the platform's lagging list of workers and runners
// with the evidence of the own hall into one view.
//
// The list can be late or absent, so each process adds what it sees itself: a
// [View] takes the lists as they come, the results of calls, and the signs of
// leaving that other hosts of the hall report. A sign of leaving holds, from
// wherever it came first, until the platform's list has shown the machine as
// staying for a while, or not at all.
//
// The package has no clock, I/O, lock or goroutine.
package member

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// State says how a machine is seen.
type State string

// The states of a machine.
const (
	Live    State = "live"
	Suspect State = "suspect" // calls to it fail
	Leaving State = "leaving"
	Gone    State = "gone" // the platform lists it no longer
)

// Defaults of [Config].
const (
	DefaultSuspectAfter = 3
	DefaultHoldLeaving  = 30 * time.Second
)

// A Config describes a [View]. The zero value is usable.
type Config struct {
	// SuspectAfter is the number of failed calls in a row that make a machine
	// suspect.
	SuspectAfter int
	// HoldLeaving is how long a sign of leaving outlives a platform list that
	// does not show it.
	HoldLeaving time.Duration
}

// A List is what the platform says.
type List struct {
	Workers []spoolsill.Worker `json:"workers"`
	Runners []spoolsill.Runner `json:"runners"`
}

// A View is what one process holds for true of the machines of its hall. It
// is not safe for concurrent use.
type View struct {
	config  Config
	list    List
	listed  time.Time
	known   bool
	leaving map[string]time.Time // id -> when the last sign came
	drained map[string]bool      // id -> an operator drains it
	fails   map[string]int
}

// NewView returns a view of nothing.
func NewView(c Config) *View {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = DefaultSuspectAfter
	}
	if c.HoldLeaving == 0 {
		c.HoldLeaving = DefaultHoldLeaving
	}
	return &View{
		config:  c,
		leaving: map[string]time.Time{},
		drained: map[string]bool{},
		fails:   map[string]int{},
	}
}

// SetList takes in the platform's list.
func (v *View) SetList(now time.Time, l List) {
	v.list = l
	v.listed = now
	v.known = true
	for _, w := range l.Workers {
		if w.Leaving {
			v.leaving[string(w.ID)] = now
		}
	}
	for _, r := range l.Runners {
		if r.Leaving {
			v.leaving[string(r.ID)] = now
		}
	}
	for id, t := range v.leaving {
		if now.Sub(t) > v.config.HoldLeaving {
			delete(v.leaving, id)
		}
	}
}

// Known reports whether a list has ever come, and when the last one did.
func (v *View) Known() (time.Time, bool) {
	return v.listed, v.known
}

// List returns the last list that came.
func (v *View) List() List {
	return v.list
}

// SetDrained takes in which machines the operators drain.
func (v *View) SetDrained(ids []string) {
	v.drained = map[string]bool{}
	for _, id := range ids {
		v.drained[id] = true
	}
}

// SetLeaving takes in a sign, from whomever, that a machine is leaving. It
// reports whether that is news.
func (v *View) SetLeaving(now time.Time, id string) bool {
	_, known := v.leaving[id]
	v.leaving[id] = now
	return !known
}

// Leaving returns the ids of all machines that are leaving, in order.
func (v *View) Leaving() []string {
	out := make([]string, 0, len(v.leaving))
	for id := range v.leaving {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Saw takes in whether a call to a machine was answered.
func (v *View) Saw(id string, answered bool) {
	if answered {
		delete(v.fails, id)
		return
	}
	v.fails[id]++
}

// State returns how a machine is seen.
func (v *View) State(id string) State {
	switch {
	case !v.lists(id):
		return Gone
	case v.isLeaving(id):
		return Leaving
	case v.fails[id] >= v.config.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}

// Workers returns the workers of a hall, with the signs of leaving joined in.
func (v *View) Workers(h spoolsill.HallID) []spoolsill.Worker {
	var out []spoolsill.Worker
	for _, w := range v.list.Workers {
		if w.Hall != h {
			continue
		}
		w.Leaving = v.isLeaving(string(w.ID))
		out = append(out, w)
	}
	return out
}

// Runners returns the runners of a hall, with the signs of leaving joined in.
func (v *View) Runners(h spoolsill.HallID) []spoolsill.Runner {
	var out []spoolsill.Runner
	for _, r := range v.list.Runners {
		if r.Hall != h {
			continue
		}
		r.Leaving = v.isLeaving(string(r.ID))
		out = append(out, r)
	}
	return out
}

func (v *View) isLeaving(id string) bool {
	_, ok := v.leaving[id]
	return ok || v.drained[id]
}

func (v *View) lists(id string) bool {
	for _, w := range v.list.Workers {
		if string(w.ID) == id {
			return true
		}
	}
	for _, r := range v.list.Runners {
		if string(r.ID) == id {
			return true
		}
	}
	return false
}
