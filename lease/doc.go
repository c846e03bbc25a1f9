// Package lease implements the leader lease of a hall, a zone that fails or loses its
// network as a whole. The entry host that holds the lease may place tasks in the hall.
// Each time the lease is acquired, a new epoch with a higher number begins.
//
// The lease is a row of the platform's table. On each host of the hall, a [Keeper] is the
// state machine that determines when to read or write the row, and whether its host
// currently holds the lease. Clocks are never compared between hosts: the holder measures
// the lease from before it sent the write that acquired or renewed it, and another host
// from when it first read the row in its current state. Another host takes over only when
// the row has not changed for longer than the duration of the lease.
//
// While the table is unreachable for the holder, it may still be reachable for other hosts.
// The holder therefore uses the lease past its expiry only while every host that may
// succeed it has promised, for a limited time, not to take over. Promises are kept in
// memory: before a restarted host takes over, it waits for the end of the longest promise
// that it may have made before the restart.
//
// Two hosts never hold the lease of a hall at the same time, provided that their clocks
// run at about the same rate. In addition, the table rejects decisions written under an
// older epoch (see package recordlog).
//
// The package reads no clock, performs no I/O, and uses no locks or goroutines. A Keeper
// is not safe for concurrent use.
package lease
