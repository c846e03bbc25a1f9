// Package timeline records what the processes of a cell did, in an order that
// puts causes before effects.
//
// Every process has one [Clock], a hybrid logical clock: its stamps follow the
// wall clock, never go back, and pass every stamp that was received from
// another process. Every process has one [Ring] of typed events, bounded in
// number, from which the oldest fall out. An operator's command reads the
// rings of all hosts and merges them with [Merge].
//
// The clock is after Kulkarni et al., "Logical Physical Clocks" (2014).
package timeline
