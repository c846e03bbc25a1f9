// Package leader carries out the scheduling decisions of package sched for the whole cell,
// on the one host that leads it.
//
// A [Chain] is the leadership of one host. Every write of the leader is conditional on the
// version of one row in the store, the leader row, and replaces that row. A host becomes the
// leader by replacing the row with a higher epoch. The next write of the former leader then
// fails, and every worker that has seen the new epoch rejects its orders. No clocks are
// compared. A write without a response is retried unchanged until its outcome is known: its
// condition lets at most one of the attempts apply.
//
// A [Leader] loads the state of the cell from the store, follows its changes, keeps the
// lease of each worker renewed, and acts on a decision only once it is stored.
package leader
