// Package timeline records the events of a cell's processes in causal order: an event
// that caused another is ordered before it.
//
// Every process has one [Clock], a hybrid logical clock. Its timestamps follow the wall
// clock, increase monotonically, and are later than every timestamp received from another
// process. Every process also has one [Ring], which holds a bounded number of events and
// discards the oldest. The events of all hosts are collected on request and merged with
// [Merge].
//
// The clock follows Kulkarni et al., "Logical Physical Clocks" (2014).
package timeline
