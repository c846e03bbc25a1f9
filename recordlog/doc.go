// Package recordlog makes the decisions of a hall's holder last.
//
// Decisions are grouped into entries. An entry is one row of the platform's
// table, keyed by its sequence number, written on the condition that the row
// does not exist yet and that the hall's epoch row has not changed hands. So
// an entry is written once or not at all, and never by a former holder. When
// the answer to a write is lost, the same entry is written again: whichever
// write took effect, the row then holds it.
//
// While the table is silent, an entry counts as lasting when every other host
// of the hall holds a copy; the copies are written to the table when it
// answers again. A [Writer] says what to do next; a [Copies] keeps what other
// hosts have handed over.
//
// Entries carry a format version and a check sum. One that is damaged or of a
// later format is refused with an error that names it.
//
// The package has no clock, I/O, lock or goroutine.
package recordlog
