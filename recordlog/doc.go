// Package recordlog implements the journal that makes the decisions of a hall's holder
// durable.
//
// Decisions are grouped into entries. An entry is one row of the platform's table, keyed
// by its sequence number. It is written on the condition that the row does not exist yet
// and that the hall's epoch row is unchanged, so an entry is written at most once, and
// never by a former holder. When the reply to a write is lost, the same entry is written
// again: whichever of the two writes is applied, the row then holds the entry.
//
// While the table is unavailable, an entry counts as durable once every other host of
// the hall holds a copy. The entries are written to the table when it is available again.
// A [Writer] decides what to write and copy next; a [Copies] holds the entries that a host
// has received from others.
//
// Encoded entries contain a format version and a checksum. Decoding a damaged entry fails
// with [ErrDamaged], and decoding one with a newer format with [ErrNewerFormat].
//
// The package performs no I/O, reads no clock, and uses no locks or goroutines.
package recordlog
