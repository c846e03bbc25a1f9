// Package place decides which worker of a hall runs which task.
//
// A [State] holds the workers, jobs and tasks of one hall. Jobs and tasks
// change only through [State.Apply], which applies one [Record]; the workers
// come from the platform's list through [State.SetWorkers]. [State.Decide]
// returns the records of its decisions, already applied; the caller must
// persist them before it acts on them. Replaying the records of a state
// yields an equal state.
//
// Invariants: the free capacity of a worker is never negative, a task is never
// on two workers, and a gang is never placed in part. Apply rejects a record
// that would violate one, and [State.CheckInvariants] verifies them over the
// whole state.
//
// The package has no clock, I/O, locks or goroutines; the time is passed in. A
// State is not safe for concurrent use.
package place
