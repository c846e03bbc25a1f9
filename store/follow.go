package store

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

const (
	// DefaultPause is between two calls of a feed that has much to tell: it
	// lets changes gather, which costs fewer calls.
	DefaultPause = 8 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	retryFirst = 50 * time.Millisecond
	retryMost  = 250 * time.Millisecond
	// listEvery is how far apart listings begin at least: one costs a call for
	// each partition, and a store that keeps no history would be listed without
	// an end. It adds an eighth to the two seconds in which most changes must be
	// heard of.
	listEvery = 250 * time.Millisecond
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
	// was written before has been taken in. A listing that has a page from
	// before its first answer is no such answer. May be nil.
	Heard func(sent time.Time)
	// Failed takes in a failed call, and nil when calls work again; may be nil.
	// Of a call that does not end it tells nothing, see Age.
	Failed func(err error)

	answered atomic.Pointer[time.Time] // when the call was sent that was answered last
}

// Age returns how old what has been taken in is: how long ago the call was sent
// that was answered last, or Run was called when none has been. It is safe for
// concurrent use; before Run it is zero.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.answered.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	begun := time.Now()
	f.answered.Store(&begun)
	delay := retryFirst
	var at Version
	list := newTableListing(f.Store, f.Table)
	var listed time.Time // when the latest listing began
	failing := false
	silent := false // the latest call had no answer
	for ctx.Err() == nil {
		callCtx := ctx
		if silent {
			callCtx = withNewConnection(ctx)
		}
		sent := time.Now()
		heard := true
		var err error
		if list == nil {
			w := f.Wait
			if failing {
				w = 0 // to learn at once that calls work again
			}
			at, err = f.step(callCtx, at, w)
		} else {
			at, err = f.list(callCtx, list)
			listed = list.began
			sent = list.began // what came since then is for the feed to tell
			heard = at >= list.first
			if err == nil {
				list = nil
			}
		}
		silent = errors.Is(err, ErrUnknown)
		switch {
		case err == nil:
			delay = retryFirst
			f.answered.Store(&sent)
			if heard && f.Heard != nil {
				f.Heard(sent)
			}
			if failing {
				f.report(nil)
			}
			failing = false
		case errors.Is(err, ErrHistoryGone):
			pause.For(ctx, time.Until(listed.Add(listEvery)))
			list = newTableListing(f.Store, f.Table)
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

// list reads the whole table, or what of it an earlier call could not.
func (f *Follower) list(ctx context.Context, t *tableListing) (Version, error) {
	rows, at, err := t.readAll(ctx)
	if err != nil {
		return 0, err
	}
	f.Listed(rows)
	return at, nil
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
