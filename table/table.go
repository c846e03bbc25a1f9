// Package table defines the data types of the platform's transactional table:
// rows with versions, and atomic transactions.
//
// The package does no I/O. Packages that use the table declare small interfaces
// with the calls that they need; package remote implements them.
package table

import "errors"

// ErrUnavailable is returned when the table did not accept a call. The call
// certainly had no effect.
var ErrUnavailable = errors.New("table: down")

// ErrUnknownOutcome is returned when the response to a call was lost. The call
// may have taken effect.
var ErrUnknownOutcome = errors.New("table: answer lost")

// A Row is a key with its value. Version is 1 when the row is created and
// increases by one with each write.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// A Condition holds if the row with key Key has version Version; version 0
// means that there is no such row.
type Condition struct {
	Key     string
	Version uint64
}

// A Put writes a row.
type Put struct {
	Key   string
	Value []byte
}

// A Txn writes and deletes rows if all its conditions hold.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// A Result is the result of a transaction. If the transaction was not applied,
// Conflicts has the current row of each condition that did not hold; its version
// is 0 if there is no such row.
type Result struct {
	Applied   bool
	Conflicts []Row
}
