// Package member maintains a process's view of the workers and runners of its
// hall. It merges the platform's list, which may be stale or missing, with
// local observations.
//
// A [View] combines the lists as they arrive, the results of calls to the
// machines, and reports that a machine is leaving. A machine counts as leaving
// from the first report, whatever its source. The state ends with the first list
// that arrives after neither a list nor another report has confirmed it for
// [Config.HoldLeaving].
//
// The package performs no I/O, does not read the clock, takes no locks and
// starts no goroutines.
package member

import (
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
)

// State is the state of a machine as observed by one process.
type State string

// Machine states.
const (
	Live    State = "live"
	Suspect State = "suspect" // calls to it fail
	Leaving State = "leaving"
	Gone    State = "gone" // not in the platform's list
)

// Defaults of [Config].
const (
	DefaultSuspectAfter = 3
	DefaultHoldLeaving  = 30 * time.Second
)

// A Config describes a [View]. The zero value is usable.
type Config struct {
	// SuspectAfter is the number of consecutive failed calls after which a
	// machine is suspect.
	SuspectAfter int
	// HoldLeaving is how long a machine counts as leaving after the last
	// report, while the platform's lists do not show it as leaving.
	HoldLeaving time.Duration
}

// A List is the platform's list of machines.
type List struct {
	Workers []spoolsill.Worker `json:"workers"`
	Runners []spoolsill.Runner `json:"runners"`
}

// A View is one process's view of the machines of its hall. It is not safe for
// concurrent use.
type View struct {
	config   Config
	list     List
	listedAt time.Time
	hasList  bool
	leaving  map[string]time.Time // by id, time of the last report
	drained  map[string]bool      // by id, set if an operator drains the machine
	failures map[string]int       // by id, consecutive failed calls
}

// NewView returns an empty view.
func NewView(c Config) *View {
	if c.SuspectAfter == 0 {
		c.SuspectAfter = DefaultSuspectAfter
	}
	if c.HoldLeaving == 0 {
		c.HoldLeaving = DefaultHoldLeaving
	}
	return &View{
		config:   c,
		leaving:  map[string]time.Time{},
		drained:  map[string]bool{},
		failures: map[string]int{},
	}
}

// SetList replaces the platform's list.
func (v *View) SetList(now time.Time, l List) {
	v.list = l
	v.listedAt = now
	v.hasList = true
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

// ListTime returns when the last list arrived and reports whether any has.
func (v *View) ListTime() (time.Time, bool) {
	return v.listedAt, v.hasList
}

// List returns the last list set with [View.SetList].
func (v *View) List() List {
	return v.list
}

// SetDrained replaces the set of machines that operators drain.
func (v *View) SetDrained(ids []string) {
	v.drained = map[string]bool{}
	for _, id := range ids {
		v.drained[id] = true
	}
}

// SetLeaving records a report, from any source, that a machine is leaving. It
// reports whether the machine was not known to be leaving.
func (v *View) SetLeaving(now time.Time, id string) bool {
	_, known := v.leaving[id]
	v.leaving[id] = now
	return !known
}

// Leaving returns the sorted ids of the machines reported as leaving. Machines
// that are only drained by operators are not included.
func (v *View) Leaving() []string {
	out := make([]string, 0, len(v.leaving))
	for id := range v.leaving {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// RecordCall records whether a call to a machine was answered.
func (v *View) RecordCall(id string, answered bool) {
	if answered {
		delete(v.failures, id)
		return
	}
	v.failures[id]++
}

// State returns the state of a machine.
func (v *View) State(id string) State {
	switch {
	case !v.isListed(id):
		return Gone
	case v.isLeaving(id):
		return Leaving
	case v.failures[id] >= v.config.SuspectAfter:
		return Suspect
	default:
		return Live
	}
}

// Workers returns the workers of a hall, with Leaving set for those that are
// reported as leaving or drained.
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

// Runners returns the runners of a hall, with Leaving set for those that are
// reported as leaving or drained.
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

func (v *View) isListed(id string) bool {
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
