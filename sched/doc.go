// Package sched decides which worker runs which task of the submitted jobs. Jobs
// consist of steps with dependencies, and may have gangs, long-running tasks and timed
// rounds.
//
// A [State] belongs to the host that leads the cell. Its inputs are the time and typed
// events: a job was accepted, a worker answered a heartbeat, a start order was
// answered. Its outputs are typed orders. Nothing becomes visible to others before it
// is durable: [State.Batch] returns the rows to write together with the starts and
// acknowledgements that may be sent only after that write.
//
// A run occupies capacity at its worker from the decision to start it until the worker
// reports its end, or a later answer of the worker proves that the run is not there, or
// the worker's lease has expired so that it can't be running any more. A task gets its
// next run only then, which ensures that no task runs twice at the same time.
//
// The package has no clock, I/O, locks or goroutines; the time is passed in. A State is
// not safe for concurrent use.
package sched
