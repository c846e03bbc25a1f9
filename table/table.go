// Package table is the vocabulary of the platform's transactional table: rows
// with versions, and transactions that apply whole or not at all.
//
// The package moves no data. Users declare the calls that they need as a small
// interface over these types; package remote has the adapter.
package table

import "errors"

// ErrUnavailable is returned when the table did not take a call: it certainly had no
// effect.
var ErrUnavailable = errors.New("table: down")

// ErrUnknownOutcome is returned when the answer to a call did not come: it may have
// taken effect.
var ErrUnknownOutcome = errors.New("table: answer lost")

// A Row is one key with its value. Version is 1 when the row is made and
// grows by one with each write.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// A Condition holds while a row has a version; 0 means that there is no such
// row.
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

// A Result answers a transaction. When it was not applied, Conflicts has the
// rows whose conditions did not hold, as they are.
type Result struct {
	Applied   bool
	Conflicts []Row
}
