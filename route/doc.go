// Package route decides which runner of a hall answers which request, and
// when.
//
// A [State] holds the queue of one service on one entry host, and what that
// host knows of the service's runners. Requests wait in the queue until a
// slot is free; none is sent to wait at a runner. The hosts of a hall share
// the slots of its runners without a central party: each slot has a home on
// one host, and a host that has waiting requests borrows idle slots of the
// others for a short time (see [Loan]). A lender counts a lent slot as taken
// until it comes back, or until the loan has ended and whatever was started
// in it must have ended too.
//
// What can never happen: more requests in flight at a runner than it has
// slots, counted over all hosts; a request dispatched twice at once; an
// unrepeatable one dispatched again after it may have run.
//
// The package has no clock, I/O, lock or goroutine; the time is passed in. A
// State is not safe for concurrent use.
package route
