// Package leader runs the decisions of package sched for the whole cell, from
// the one host that leads it.
//
// A [Chain] is the leadership: a row of the store that every write of the
// leader has as its condition and replaces. Whoever writes it next leads, with
// a higher epoch; the former leader's next write fails, and its orders are
// refused by every worker that has heard of the new epoch. No clocks are
// compared. A write without an answer is made again to the letter until its
// fate is known: its condition lets at most one of the tries through.
//
// A [Leader] loads what the store keeps, follows its changes, keeps each
// worker's lease renewed, and has each decision last before it acts on it.
package leader
