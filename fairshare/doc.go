// Package fairshare decides which work of a team exceeds its share of a cell.
//
// The [Ledger] emulates an ideal cell that divides its time among the teams with work by their
// weights, at every moment (generalized processor sharing). What a team leaves unused is thus
// lent to the others. A job is within the share of its team if the ideal cell gets to it
// in time for its objective, given what the team has handed in before. Such jobs can all be in
// time together, whatever other teams hand in. A job over the share is not charged, so
// that later jobs of its team are within the share again.
//
// The package has no clock and does no I/O.
package fairshare
