// Package agent reaches the agents of workers over HTTP: they start, renew,
// checkpoint, throttle, stop and list tasks.
//
// Every start and renewal carries the end of the task's lease as a time of
// day; the agent ends a task whose lease is over, and does not start one whose
// lease is over already. It may have no other guards: it does not refuse a
// task for want of room or because it was started elsewhere.
package agent
