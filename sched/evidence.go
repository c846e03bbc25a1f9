package sched

import (
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// What follows answers a load in which a few tasks crash each worker that starts
// them, within milliseconds, while workers also go for other causes: racks that are
// lost, machines that go down and up by turns, halls that are cut off. A worker has
// dozens of runs when it goes, and each of them comes under suspicion once; what
// tells the guilty from the others is that it goes again, soon after its next start.
const (
	// crashesEnough is how many workers must have crashed under a task for it to be
	// given up early: two would do by the platform's word, but two of a series of
	// machines that go down by turns meet one task now and then.
	crashesEnough = 3
	// livedMost is for how long a task's runs may have gone on, for each worker that
	// crashed, to be given up early: a task that crashes its workers does so at its
	// start, one that has bad luck is met at any moment of its run.
	livedMost = time.Second
	// lossesMost is how many runs of a task may go with their workers at all, whatever
	// is known of these: after three crashes the platform allows two starts more.
	lossesMost = 5
	// A run clears its task by going on for twice as long as the others together, for
	// outlivedLeast at least; outlivedMost is enough in any case, since a task that lasts
	// loses a worker now and then for as long as it lives.
	outlivedLeast = 10 * time.Second
	outlivedMost  = time.Minute
)

// A Loss is a worker that went while it had a run of a task, or may have had one.
type Loss struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Worker spoolsill.WorkerID
	// Born is of the worker's life that went. It is kept in [Progress.Births].
	Born spoolsill.Birth `msgpack:"-"`
	// Begun tells that the worker surely had the run.
	Begun bool
	// Over tells that the worker's life is surely over and was not ended as planned;
	// else it may only be out of reach, or may have been taken away.
	Over bool
}

// of reports whether it was a life that went.
func (l Loss) of(x spoolsill.Life) bool {
	return l.Worker == x.Worker && x.Matches(l.Born)
}

// crash reports whether the worker surely crashed under a run.
func (l Loss) crash() bool {
	return l.Begun && l.Over
}

// A suspicion tells how likely a task is to crash the workers that start it.
type suspicion uint8

const (
	noSuspicion   suspicion = iota
	suspect                 // one worker went under it, as under all that ran there
	strongSuspect           // several did
	guilty                  // it is to be given up
)

// evidence is what speaks for a task crashing the workers that start it.
type evidence struct {
	losses []Loss
	// lived is for how long runs have gone on that count, as far as their workers told.
	lived time.Duration
}

// suspicion weighs the evidence.
func (e *evidence) suspicion() suspicion {
	n := e.crashes()
	switch {
	case len(e.losses) >= lossesMost, n >= crashesEnough && e.lived <= time.Duration(n)*livedMost:
		return guilty
	case len(e.losses) > 1:
		return strongSuspect
	case len(e.losses) > 0:
		return suspect
	default:
		return noSuspicion
	}
}

// crashes returns how many workers surely crashed.
func (e *evidence) crashes() int {
	n := 0
	for _, l := range e.losses {
		if l.crash() {
			n++
		}
	}
	return n
}

// add takes in a worker that went.
func (e *evidence) add(l Loss) {
	e.losses = append(e.losses, l)
}

// clearedBy reports whether a run that has gone on for a time, and goes on, shows that
// the task does not crash its workers.
func (e *evidence) clearedBy(age time.Duration) bool {
	return len(e.losses) > 0 && age > min(max(2*e.lived, outlivedLeast), outlivedMost)
}

// acquit takes back that a life went: it has answered since. The next life under its id
// acquits nobody. It reports whether that changes anything.
func (e *evidence) acquit(x spoolsill.Life) bool {
	n := len(e.losses)
	e.losses = slices.DeleteFunc(e.losses, func(l Loss) bool { return l.of(x) && !l.Over })
	if len(e.losses) == 0 {
		e.lived = 0
	}
	return len(e.losses) != n
}

// confirm takes in that a life that could not be reached has crashed. It reports whether
// that changes anything.
func (e *evidence) confirm(x spoolsill.Life) bool {
	changed := false
	for i, l := range e.losses {
		if l.of(x) && !l.Over {
			e.losses[i].Over = true
			changed = true
		}
	}
	return changed
}

// workers returns the workers that went, for people.
func (e *evidence) workers() []spoolsill.WorkerID {
	ids := make([]spoolsill.WorkerID, len(e.losses))
	for i, l := range e.losses {
		ids[i] = l.Worker
	}
	return ids
}
