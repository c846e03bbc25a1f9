// Package fault runs the real entry hosts in memory on virtual time through
// random sequences of failures, two or three at once, and checks the promises
// against the stand-ins' own records.
//
// A seed names a [Schedule]: which failures befall whom, when and for how long
// are the same in each play. Callers, operators, runners and workers draw from
// sources of their own, which follow from the seed. What may still differ from
// play to play: the order in which goroutines of one moment run, the order of
// maps, which host first takes a hall's lease, and what the hosts draw for
// themselves (waits between tries, polls, heartbeats, order of peers). A play
// that broke a promise therefore tells its schedule, from which it is played
// again, as often as it takes.
package fault
