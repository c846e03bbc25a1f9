// Package remote is an HTTP client for the platform's services: the
// transactional table, the object store and the list of members.
//
// A [Client] limits the rate of its calls to this host's share of the cell's
// budget. Commits take precedence: they wait for the write budget, while reads
// beyond the read budget fail at once. Identical concurrent reads share one
// call. After several consecutive failures a [CircuitBreaker] makes calls fail
// at once with [table.ErrUnavailable] for a while, so that a slow platform does
// not delay callers that can continue without it.
//
// Bodies are JSON; cmd/standin serves the same interface. Errors distinguish
// calls that certainly had no effect ([table.ErrUnavailable]) from calls that
// may have taken effect ([table.ErrUnknownOutcome]).
package remote
