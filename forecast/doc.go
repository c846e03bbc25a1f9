// Package forecast computes when work on a shared cell will end.
//
// It has the types that decisions about overload share: what work costs, how fast the cell
// works it off, and what waits ahead of new work. Package sched reports them; the order of work
// and the shares of teams are decided from them, so that both agree on what the cell can still
// do in time.
//
// The package has no clock and does no I/O.
package forecast
