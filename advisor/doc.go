// Package advisor decides what the advisor service is asked while its time is short.
//
// The service answers one query of a host at a time, and a query about wide work takes it most
// of a second, nearly all of it independent of the number of workers. When wide work arrives faster
// than hosts can ask, a query is worth its time only if its answer seats tasks while its tickets
// are valid. A [Meter] tells from the queries in flight and those wanted whether time is short. While
// it is, a [Budget] grants a query to a stage if hosts can make it soon and workers have room for
// the stage, and [Draw] chooses the workers with the most room, different ones for different
// stages where room is equal. The cost of a query returns to the budget with its answer, also
// if that is lost.
//
// While time is not short, callers ask as early as they can: a ticket that is there before the
// room is saves the time of the query.
//
// The package has no clock, does no I/O and takes no locks.
package advisor
