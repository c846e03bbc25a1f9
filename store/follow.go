package store

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill/internal/pause"
)

const (
	// DefaultPause is between two calls of a feed that has much to tell: it
	// lets changes gather, which costs fewer calls.
	DefaultPause = 8 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 50 * time.Millisecond
	retryMost  = 250 * time.Millisecond
	// listsAtOnce bounds the partitions that are read side by side.
	listsAtOnce = 8
)

// A Follower keeps up with a table: it lists its partitions and then takes in
// the changes, anew whenever the store has forgotten the history.
type Follower struct {
	Store Store
	Table string
	// Wait is how long one call of the feed waits for a change; a feed that
	// is silently cut is noticed after it.
	Wait time.Duration
	// Pause is between two calls that tell of changes; 0 means DefaultPause.
	Pause time.Duration
	// Listed takes in all rows of the partitions.
	Listed func(rows []Row)
	// Changed takes in one changed row. A row may come more than once.
	Changed func(r Row)
	// Heard is told of each answer, with the time when the call was sent: what
	// was written before has been taken in. May be nil.
	Heard func(sent time.Time)
	// Failed takes in a failed call, and nil when calls work again; may be nil.
	Failed func(err error)
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	delay := retryFirst
	var at Version
	listed := false
	failing := false
	for ctx.Err() == nil {
		sent := time.Now()
		var err error
		if listed {
			w := f.Wait
			if failing {
				w = 0 // to learn at once that calls work again
			}
			at, err = f.step(ctx, at, w)
		} else {
			at, err = f.list(ctx)
			listed = err == nil
		}
		switch {
		case err == nil:
			delay = retryFirst
			if f.Heard != nil {
				f.Heard(sent)
			}
			if failing {
				f.report(nil)
			}
			failing = false
		case errors.Is(err, ErrHistoryGone):
			listed = false
		case ctx.Err() == nil:
			if !failing {
				f.report(err)
			}
			failing = true
			pause.For(ctx, delay)
			delay = min(2*delay, retryMost)
		}
	}
}

func (f *Follower) report(err error) {
	if f.Failed != nil {
		f.Failed(err)
	}
}

// list reads the whole table. The version to go on from is read first, so that
// no change is missed, also of partitions that are made meanwhile.
func (f *Follower) list(ctx context.Context) (Version, error) {
	p, err := f.Store.List(ctx, f.Table, "", "", 1)
	if err != nil {
		return 0, err
	}
	parts, err := f.Store.Partitions(ctx, f.Table)
	if err != nil {
		return 0, err
	}
	pages := make([][]Row, len(parts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(listsAtOnce)
	for i, part := range parts {
		g.Go(func() error {
			rows, _, err := ListAll(ctx, f.Store, f.Table, part)
			pages[i] = rows
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return 0, err
	}
	f.Listed(slices.Concat(pages...))
	return p.Version, nil
}

func (f *Follower) step(ctx context.Context, at Version, wait time.Duration) (Version, error) {
	c, err := f.Store.Feed(ctx, f.Table, at, wait)
	if err != nil {
		return at, err
	}
	for _, r := range c.Rows {
		f.Changed(r)
	}
	if len(c.Rows) > 0 {
		pause.For(ctx, cmp.Or(f.Pause, DefaultPause))
	}
	return max(c.Version, at), nil
}
