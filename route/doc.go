// Package route decides which runner of a hall processes which request, and
// when.
//
// A [State] holds the queue of one service on one entry host, and that host's
// view of the service's runners. Requests are queued at the host until a slot
// is free, never at a runner. The hosts of a hall share the slots of its runners
// without a central coordinator: each slot is owned by one host, and a host with
// queued requests borrows idle slots of the others for a short time (see
// [Loan]). The lender counts a lent slot as occupied until it is returned, or
// until the loan and the lifetime of any request sent in it have ended.
//
// Invariants: the number of requests in flight at a runner, over all hosts,
// never exceeds its slots; a request is never dispatched twice at the same time;
// an unrepeatable request is never dispatched again once it may have run.
//
// The package has no clock, I/O, locks or goroutines; the time is passed in. A
// State is not safe for concurrent use.
package route
