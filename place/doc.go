// Package place decides which worker of a hall runs which task.
//
// A [State] holds the workers, jobs and tasks of one hall. It is changed only
// by [State.Apply], which takes one [Record], and by [State.SetWorkers], which
// takes the platform's list. [State.Decide] looks for work that can start and
// returns the records of what it decided, already applied; the caller makes
// them last before it acts on them. A state rebuilt from its records equals
// the one that wrote them.
//
// What can never happen: the free capacity of a worker below zero, a task on
// two workers, a gang in part. Apply refuses a record that would bring it
// about, and [State.CheckInvariants] verifies it over the whole state.
//
// The package has no clock, I/O, lock or goroutine; the time is passed in. A
// State is not safe for concurrent use.
package place
