// Package sched decides which worker runs which task of the jobs that clients
// hand in: steps that wait for each other, gangs, lasting and timed work.
//
// A [State] belongs to the one host that leads the cell. It takes in typed
// events (a job was accepted, a worker answered a heartbeat, a start was
// answered) and the time, and gives out typed orders. Nothing that others can
// see happens before it lasts: [State.Batch] returns the rows to write, and the
// starts and acknowledgements that may leave only after that write.
//
// Room at a worker is taken from the moment a start is decided until the worker
// lists the run's end, or shows by a later answer that the run is not there, or
// can't be running it any more because its lease is over. A task gets its next
// run only then; that is why no task runs twice at once.
//
// The package has no clock, I/O, lock or goroutine; the time is passed in. A
// State is not safe for concurrent use.
package sched
