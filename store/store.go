// Package store is the vocabulary of the platform's versioned store: rows in
// tables, each table divided into partitions, and transactions that apply
// whole or not at all.
//
// The package moves no data. It declares what a client of the store offers
// ([Store]) and what its failures mean. The difference that callers live by is
// between [ErrRefused], a call that certainly had no effect, and [ErrUnknownOutcome],
// a call that may have taken effect or may still do so seconds later if its
// conditions still hold then.
package store

import (
	"context"
	"errors"
	"time"
)

// The failures of a call.
var (
	// ErrRefused is returned when the call certainly had no effect.
	ErrRefused = errors.New("store: call refused")
	// ErrUnknownOutcome is returned when no answer came: the call may have taken
	// effect, or may do so later.
	ErrUnknownOutcome = errors.New("store: no answer")
	// ErrHistoryGone is returned by a feed whose position the store no longer
	// remembers. The caller lists the rows anew.
	ErrHistoryGone = errors.New("store: history is gone")
)

// A Version counts the transactions of the whole store. Each transaction gives
// its own version to the rows that it writes. 0 means that there is no row.
type Version uint64

// A Key names a row.
type Key struct {
	Table string
	// Partition holds the rows that one transaction may touch together.
	Partition string
	Name      string
}

// A Row is a key with its value.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	// Deleted is set in feeds for a row that was removed.
	Deleted bool
}

// A Condition holds while a row has a version.
type Condition struct {
	Key     Key
	Version Version
}

// A Put writes a row.
type Put struct {
	Key   Key
	Value []byte
}

// A Transaction writes and deletes rows if all its conditions hold. All its
// keys share one partition.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// A Result answers a transaction. When it was not applied, Current has the
// rows of its conditions as they stand.
type Result struct {
	Applied bool
	Version Version
	Current []Row
}

// A Page is a part of a partition's rows as of one version, in the order of
// their names.
type Page struct {
	Rows    []Row
	More    bool
	Version Version
}

// Changes are the rows of a table that changed, in order, and the version to
// go on from.
type Changes struct {
	Rows    []Row
	Version Version
}

// A Store is a client of the platform's store. It is safe for concurrent use.
type Store interface {
	// Commit applies a transaction.
	Commit(ctx context.Context, t Transaction) (Result, error)
	// List returns at most limit rows of a partition whose names are from or
	// later; limit 0 leaves the number to the store.
	List(ctx context.Context, table, partition, from string, limit int) (Page, error)
	// Partitions returns the names of a table's partitions.
	Partitions(ctx context.Context, table string) ([]string, error)
	// Feed waits at most wait for changes of a table after a version.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}

// Get returns one row; its version is 0 when there is none.
func Get(ctx context.Context, s Store, k Key) (Row, error) {
	p, err := s.List(ctx, k.Table, k.Partition, k.Name, 1)
	if err != nil {
		return Row{}, err
	}
	for _, r := range p.Rows {
		if r.Key.Name == k.Name {
			return r, nil
		}
	}
	return Row{
		Key: k,
	}, nil
}
