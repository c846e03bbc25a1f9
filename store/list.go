package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill/internal/clock"
)

// listsAtOnce bounds the partitions that are read side by side.
const listsAtOnce = 8

// A PartitionReader reads a partition page by page. After a failed call it goes on where
// it was: a store that refuses some calls would else never be read to the end.
type PartitionReader struct {
	Store     Store
	Table     string
	Partition string
	// Pace bounds what is read at once; nil bounds nothing.
	Pace *ReadLimiter

	rows  []Row
	least Version // of the pages
	from  string
	begun bool
	done  bool
}

// ReadAll returns all rows of the partition and the least version as of which a
// page was read: a feed that goes on from it misses no change, also when the
// store answers a later call with an older state. It may be called again after
// an error, not by several goroutines at once.
func (l *PartitionReader) ReadAll(ctx context.Context) ([]Row, Version, error) {
	for !l.done {
		p, err := l.page(ctx)
		if err != nil {
			return nil, 0, err
		}
		l.take(p)
	}
	return l.rows, l.least, nil
}

// page reads the next page.
func (l *PartitionReader) page(ctx context.Context) (Page, error) {
	limit, err := l.Pace.enter(ctx)
	if err != nil {
		return Page{}, err
	}
	p, err := l.Store.List(ctx, l.Table, l.Partition, l.from, limit)
	l.Pace.leave(p.Rows)
	return p, err
}

func (l *PartitionReader) take(p Page) {
	if !l.begun {
		l.begun = true
		l.least = p.Version
	}
	l.least = min(l.least, p.Version)
	l.rows = append(l.rows, p.Rows...)
	if !p.More || len(p.Rows) == 0 {
		l.done = true
		return
	}
	l.from = p.Rows[len(p.Rows)-1].Key.Name + "\x00"
}

// A tableListing reads all partitions of a table. Like a [PartitionReader] it goes on
// after an error.
type tableListing struct {
	store Store
	table string
	clock *clock.Clock
	pace  *ReadLimiter
	// first was read before all rows, so that a feed that goes on from it
	// misses no change of partitions that are made meanwhile.
	first Version
	begun bool
	began time.Time // when the first call was sent
	parts map[string]*PartitionReader
}

func newTableListing(s Store, table string, c *clock.Clock, p *ReadLimiter) *tableListing {
	return &tableListing{
		store: s,
		table: table,
		clock: c,
		pace:  p,
		parts: map[string]*PartitionReader{},
	}
}

// readAll returns all rows of the table, and the version to go on from: the
// least of all answers. When it is before first, a page lacks what the first
// answer had.
func (t *tableListing) readAll(ctx context.Context) ([]Row, Version, error) {
	if t.began.IsZero() {
		t.began = t.clock.Now()
	}
	if !t.begun {
		p, err := t.store.List(ctx, t.table, "", "", 1)
		if err != nil {
			return nil, 0, err
		}
		t.begun = true
		t.first = p.Version
	}
	names, err := t.store.Partitions(ctx, t.table)
	if err != nil {
		return nil, 0, err
	}
	ctx = withAnyConnection(ctx)
	pages := make([][]Row, len(names))
	versions := make([]Version, len(names))
	failed := make([]error, len(names))
	var g errgroup.Group
	g.SetLimit(listsAtOnce)
	for i, name := range names {
		l := t.part(name)
		g.Go(func() error {
			// One that fails does not end the others: what they read is kept.
			pages[i], versions[i], failed[i] = l.ReadAll(ctx)
			return nil
		})
	}
	_ = g.Wait() // always nil
	if err := errors.Join(failed...); err != nil {
		return nil, 0, err
	}
	at := t.first
	for _, v := range versions {
		at = min(at, v)
	}
	return slices.Concat(pages...), at, nil
}

func (t *tableListing) part(name string) *PartitionReader {
	l := t.parts[name]
	if l == nil {
		l = &PartitionReader{
			Store:     t.store,
			Table:     t.table,
			Partition: name,
			Pace:      t.pace,
		}
		t.parts[name] = l
	}
	return l
}
