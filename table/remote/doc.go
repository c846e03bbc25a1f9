// Package remote reaches the platform's services over HTTP: the
// transactional table, the object store and the list of members.
//
// A [Client] keeps the cell's budget of calls: commits go first, reads beyond
// the budget fail at once, and equal reads under way at the same time are made
// once. After several failures in a row a breaker answers [table.ErrUnavailable] at
// once for a while, so that a slow platform slows nobody who can do without
// it.
//
// The wire is JSON; cmd/standin serves the same. Errors keep apart what the
// table certainly did not take ([table.ErrUnavailable]) and what may have taken
// effect ([table.ErrUnknownOutcome]).
package remote
