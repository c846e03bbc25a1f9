// Package agent is an HTTP client for the agents of workers, which start,
// checkpoint, throttle, stop and list tasks and extend their leases.
//
// Every start and renewal carries the end of the task's lease as wall-clock
// time. The agent ends a task whose lease has expired and rejects a start whose
// lease has already expired. Callers must not rely on any other safeguard: an
// agent may accept a task for which the worker lacks capacity or that was
// started elsewhere.
package agent
