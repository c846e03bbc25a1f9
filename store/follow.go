package store

import (
	"context"
	"errors"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

const (
	// followPause is between two calls of a feed that has much to tell: it
	// lets changes gather, which costs fewer calls.
	followPause = 8 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// A Follower keeps up with a table: it lists some partitions and then takes in
// the changes, anew whenever the store has forgotten the history.
type Follower struct {
	Store      Store
	Table      string
	Partitions []string
	// Wait is how long one call of the feed waits for a change; a feed that
	// is silently cut is noticed after it.
	Wait time.Duration
	// Listed takes in all rows of the partitions.
	Listed func(rows []Row)
	// Changed takes in one changed row. A row may come more than once.
	Changed func(r Row)
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
		var err error
		if listed {
			at, err = f.step(ctx, at)
		} else {
			at, err = f.list(ctx)
			listed = err == nil
		}
		switch {
		case err == nil:
			delay = retryFirst
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

func (f *Follower) list(ctx context.Context) (Version, error) {
	var all []Row
	var first Version
	for i, p := range f.Partitions {
		rows, v, err := ListAll(ctx, f.Store, f.Table, p)
		if err != nil {
			return 0, err
		}
		if i == 0 {
			first = v
		}
		all = append(all, rows...)
	}
	f.Listed(all)
	return first, nil
}

func (f *Follower) step(ctx context.Context, at Version) (Version, error) {
	c, err := f.Store.Feed(ctx, f.Table, at, f.Wait)
	if err != nil {
		return at, err
	}
	for _, r := range c.Rows {
		f.Changed(r)
	}
	if len(c.Rows) > 0 {
		pause.For(ctx, followPause)
	}
	return max(c.Version, at), nil
}
