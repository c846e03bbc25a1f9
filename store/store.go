// Package store defines the interface of the platform's versioned store and
// operations that are built on it. The store holds rows in tables, each table is
// divided into partitions, and transactions are atomic.
//
// The package makes no network calls. It declares what a client of the store
// implements ([Store]) and what its errors mean. Callers must distinguish
// [ErrRefused], after which a call certainly had no effect, from
// [ErrUnknownOutcome], after which it may have taken effect, or may still do so
// seconds later if its conditions hold then.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of calls to the store.
var (
	// ErrRefused is returned when the call certainly had no effect.
	ErrRefused = errors.New("store: request refused")
	// ErrInvalid is an [ErrRefused] for a call that is refused each time it is made, since it is
	// malformed or too large.
	ErrInvalid = fmt.Errorf("%w for good", ErrRefused)
	// ErrUnknownOutcome is returned when there was no usable response: the call may
	// have taken effect, or may do so later.
	ErrUnknownOutcome = errors.New("store: outcome unknown")
	// ErrHistoryGone is returned by a feed whose position is older than the history
	// that the store keeps. The caller must list the rows again.
	ErrHistoryGone = errors.New("store: history no longer available")
)

// A Version is the sequence number of a transaction in the store. A row has the version
// of the transaction that wrote it last. Version 0 means that the row does not exist.
type Version uint64

// A Key identifies a row.
type Key struct {
	Table string
	// Partition is the scope of transactions: each is limited to the rows of one
	// partition.
	Partition string
	Name      string
}

// A Row is a key with its value.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	// Deleted is set in feeds for a row that was deleted.
	Deleted bool
}

// A Condition requires that a row has a version.
type Condition struct {
	Key     Key
	Version Version
}

// A Put writes a row.
type Put struct {
	Key   Key
	Value []byte
}

// A Transaction writes and deletes rows if all its conditions hold. All its keys must
// be in the same partition.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []Key
}

// A Result is the result of a transaction. If it was not applied, Current has the
// current rows of its conditions.
type Result struct {
	Applied bool
	Version Version
	Current []Row
}

// A Page is a part of a partition's rows as of one version, ordered by name. More means
// that further rows follow.
type Page struct {
	Rows    []Row
	More    bool
	Version Version
}

// Changes are the changed rows of a table, in order, and the version to continue the
// feed from.
type Changes struct {
	Rows    []Row
	Version Version
}

// A Store is a client of the platform's store. It is safe for concurrent use.
type Store interface {
	// Commit applies a transaction.
	Commit(ctx context.Context, t Transaction) (Result, error)
	// List returns at most limit rows of a partition, beginning with the first whose
	// name is not less than from. With limit 0 the store chooses the number.
	List(ctx context.Context, table, partition, from string, limit int) (Page, error)
	// Partitions returns the names of a table's partitions.
	Partitions(ctx context.Context, table string) ([]string, error)
	// Feed returns the changes of a table after a version. It waits at most wait for
	// the first one.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}

// Get returns a row, with version 0 if it does not exist.
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
