// Package lease decides which entry host of a hall holds the hall's lease, and
// with it the right to place tasks there.
//
// The lease is one row of the platform's table. A [Keeper] on each host of the
// hall says when to read or write that row, and whether its host holds the
// lease now. No clocks are compared between hosts: a holder counts from before
// it asked for the lease, another host from when it first saw the row in the
// state that it has now, and takes over only when the row has not changed for
// longer than the lease lasts.
//
// While the table does not answer, nobody can take the lease over through it,
// but the holder can't know whether it answers others. So the holder goes on
// past the end of its lease only while every host that may succeed it has
// promised, for a bounded time, not to. Promises are kept in memory: a host
// that has restarted waits out the longest promise that it may have given
// before.
//
// What can never happen, while clocks run at about the same speed: two hosts
// that hold the lease of one hall at once. Decisions written under an older
// epoch are refused by the table besides (see package recordlog).
//
// The package has no clock, I/O, lock or goroutine. A Keeper is not safe for
// concurrent use.
package lease
