package store

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill/internal/clock"
)

// maxConcurrentLists bounds the partitions that are read concurrently.
const maxConcurrentLists = 8

// A PartitionReader reads a partition page by page. After a failed call it resumes at
// the same page: a partition could otherwise never be read completely from a store that
// refuses some calls.
type PartitionReader struct {
	Store     Store
	Table     string
	Partition string
	// Pace limits concurrent reads; nil means no limit.
	Pace *ReadLimiter

	rows       []Row
	minVersion Version // of the pages read so far
	next       string
	started    bool
	done       bool
}

// ReadAll returns all rows of the partition and the lowest version of its pages. A feed
// from that version misses no change, even if the store answered a later call from an
// older state. ReadAll may be called again after an error. It is not safe for concurrent
// use.
func (r *PartitionReader) ReadAll(ctx context.Context) ([]Row, Version, error) {
	for !r.done {
		p, err := r.readPage(ctx)
		if err != nil {
			return nil, 0, err
		}
		r.add(p)
	}
	return r.rows, r.minVersion, nil
}

// readPage reads the next page.
func (r *PartitionReader) readPage(ctx context.Context) (Page, error) {
	limit, err := r.Pace.acquire(ctx)
	if err != nil {
		return Page{}, err
	}
	p, err := r.Store.List(ctx, r.Table, r.Partition, r.next, limit)
	r.Pace.release(p.Rows)
	return p, err
}

func (r *PartitionReader) add(p Page) {
	if !r.started {
		r.started = true
		r.minVersion = p.Version
	}
	r.minVersion = min(r.minVersion, p.Version)
	r.rows = append(r.rows, p.Rows...)
	if !p.More || len(p.Rows) == 0 {
		r.done = true
		return
	}
	r.next = p.Rows[len(p.Rows)-1].Key.Name + "\x00"
}

// A tableReader reads all partitions of a table. Like a [PartitionReader] it resumes
// after an error.
type tableReader struct {
	store   Store
	table   string
	clock   *clock.Clock
	limiter *ReadLimiter
	// firstVersion was read before any partition, so that a feed from it also has the
	// changes in partitions that are created during the reading.
	firstVersion Version
	started      bool
	startTime    time.Time // when the first call was sent
	readers      map[string]*PartitionReader
}

func newTableReader(s Store, table string, c *clock.Clock, l *ReadLimiter) *tableReader {
	return &tableReader{
		store:   s,
		table:   table,
		clock:   c,
		limiter: l,
		readers: map[string]*PartitionReader{},
	}
}

// readAll returns all rows of the table and the version to continue from, which is the
// lowest of all responses. If it is less than firstVersion, some page was read from an
// older state than the first response.
func (t *tableReader) readAll(ctx context.Context) ([]Row, Version, error) {
	if t.startTime.IsZero() {
		t.startTime = t.clock.Now()
	}
	if !t.started {
		p, err := t.store.List(ctx, t.table, "", "", 1)
		if err != nil {
			return nil, 0, err
		}
		t.started = true
		t.firstVersion = p.Version
	}
	names, err := t.store.Partitions(ctx, t.table)
	if err != nil {
		return nil, 0, err
	}
	ctx = withAnyConnection(ctx)
	pages := make([][]Row, len(names))
	versions := make([]Version, len(names))
	errs := make([]error, len(names))
	var g errgroup.Group
	g.SetLimit(maxConcurrentLists)
	for i, name := range names {
		r := t.reader(name)
		g.Go(func() error {
			// An error does not cancel the other readers, which keep what they
			// have read.
			pages[i], versions[i], errs[i] = r.ReadAll(ctx)
			return nil
		})
	}
	_ = g.Wait() // always nil
	if err := errors.Join(errs...); err != nil {
		return nil, 0, err
	}
	version := t.firstVersion
	for _, v := range versions {
		version = min(version, v)
	}
	return slices.Concat(pages...), version, nil
}

func (t *tableReader) reader(name string) *PartitionReader {
	r := t.readers[name]
	if r == nil {
		r = &PartitionReader{
			Store:     t.store,
			Table:     t.table,
			Partition: name,
			Pace:      t.limiter,
		}
		t.readers[name] = r
	}
	return r
}
