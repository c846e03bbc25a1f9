// Package fault is a fault-injection test of the entry hosts. It runs the real
// hosts in memory on virtual time, injects random failures that overlap, and
// checks the system's invariants against the records of the simulated runners
// and workers.
//
// A seed determines a [Schedule]: the kind, target, start and duration of each
// failure. Callers, operators, runners and workers use separate random sources
// that are derived from the seed. Runs of the same seed can still differ in the
// order in which runnable goroutines execute, in map iteration order, in which
// host first acquires a hall's lease, and in the random choices of the hosts
// (retry delays, polls, heartbeats, order of peers). The result of a run that
// violated an invariant therefore contains the schedule, so that it can be run
// again until the violation recurs.
package fault
