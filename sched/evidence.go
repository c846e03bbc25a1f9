package sched

import (
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// Detection of tasks that crash their workers. A few such tasks may crash every worker
// that starts them within milliseconds, while workers are also lost for other reasons:
// failed racks, machines that restart repeatedly, halls that are cut off. A worker has
// dozens of runs when it is lost, and each of their tasks becomes suspect. A crashing
// task differs from the others in that its next worker is lost too, soon after the start.
const (
	// crashLimit is how many workers must have crashed with a run of a task for its job
	// to fail early. Two would be enough for the platform, but a harmless task may now
	// and then run on two machines of a series that restarts repeatedly.
	crashLimit = 3
	// maxRuntimePerCrash bounds the time that a task's runs have lasted, per crashed
	// worker, for its job to fail early. A task that crashes its workers does so at its
	// start, whereas unrelated crashes occur at any time during a run.
	maxRuntimePerCrash = time.Second
	// lossLimit is how many runs of a task may be lost with their workers, whatever the
	// cause: after three crashes the platform allows two more starts.
	lossLimit = 5
	// A run clears its task of suspicion when it lasts twice as long as the task's
	// earlier runs together, but at least minClearTime. maxClearTime is enough in any
	// case, since a lasting task occasionally loses a worker for as long as it runs.
	minClearTime = 10 * time.Second
	maxClearTime = time.Minute
)

// A Loss records a worker that was lost while it had, or may have had, a run of a task.
type Loss struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec reads it

	Worker spoolsill.WorkerID
	// Born identifies the incarnation of the worker that was lost. It is stored in
	// [Progress.StartTimes].
	Born spoolsill.StartTime `msgpack:"-"`
	// Begun is set when the worker is known to have had the run.
	Begun bool
	// Over is set when the worker's incarnation is known to have ended without an
	// announcement; otherwise the worker may only be unreachable, or may have been
	// decommissioned.
	Over bool
}

// matches reports whether the loss is of the incarnation x.
func (l Loss) matches(x spoolsill.WorkerIncarnation) bool {
	return l.Worker == x.Worker && x.Matches(l.Born)
}

// isCrash reports whether the worker is known to have crashed with the run.
func (l Loss) isCrash() bool {
	return l.Begun && l.Over
}

// A suspicion is the likelihood that a task crashes the workers that start it.
type suspicion uint8

const (
	noSuspicion     suspicion = iota
	weakSuspicion             // one worker was lost with it, as with all other runs there
	strongSuspicion           // several workers were lost with it
	proven                    // the job of the task is failed
)

// evidence is what suggests that a task crashes the workers that start it.
type evidence struct {
	losses []Loss
	// runTime is the total run time of the task since it became suspect, as far as its workers
	// have reported.
	runTime time.Duration
}

func (e *evidence) suspicion() suspicion {
	n := e.crashes()
	switch {
	case len(e.losses) >= lossLimit, n >= crashLimit && e.runTime <= time.Duration(n)*maxRuntimePerCrash:
		return proven
	case len(e.losses) > 1:
		return strongSuspicion
	case len(e.losses) > 0:
		return weakSuspicion
	default:
		return noSuspicion
	}
}

// crashes returns how many workers are known to have crashed.
func (e *evidence) crashes() int {
	n := 0
	for _, l := range e.losses {
		if l.isCrash() {
			n++
		}
	}
	return n
}

func (e *evidence) add(l Loss) {
	e.losses = append(e.losses, l)
}

// clearedBy reports whether a run that has lasted for age and still goes on shows that
// the task does not crash its workers.
func (e *evidence) clearedBy(age time.Duration) bool {
	return len(e.losses) > 0 && age > min(max(2*e.runTime, minClearTime), maxClearTime)
}

// retract drops the losses of an incarnation that has answered since, and reports whether
// there were any. An answer of a later incarnation of the same worker retracts nothing.
func (e *evidence) retract(x spoolsill.WorkerIncarnation) bool {
	n := len(e.losses)
	e.losses = slices.DeleteFunc(e.losses, func(l Loss) bool { return l.matches(x) && !l.Over })
	if len(e.losses) == 0 {
		e.runTime = 0
	}
	return len(e.losses) != n
}

// confirm records that an incarnation that was unreachable has crashed, and reports whether
// that changes anything.
func (e *evidence) confirm(x spoolsill.WorkerIncarnation) bool {
	changed := false
	for i, l := range e.losses {
		if l.matches(x) && !l.Over {
			e.losses[i].Over = true
			changed = true
		}
	}
	return changed
}

// workers returns the workers that were lost, for messages.
func (e *evidence) workers() []spoolsill.WorkerID {
	ids := make([]spoolsill.WorkerID, len(e.losses))
	for i, l := range e.losses {
		ids[i] = l.Worker
	}
	return ids
}
