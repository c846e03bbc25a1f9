package store

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill/internal/clock"
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

// A Watcher keeps up with a table: it lists its partitions and then takes in
// the changes, anew whenever the store has forgotten the history.
type Watcher struct {
	Store Store
	Table string
	// Wait is how long one call of the feed waits for a change; a feed that
	// is silently cut is noticed after it.
	Wait time.Duration
	// Pause is between two calls that tell of changes; 0 means DefaultPause.
	Pause time.Duration
	// Pace bounds what a listing reads at once; nil bounds nothing.
	Pace *ReadLimiter
	// Listed takes in all rows of the partitions.
	Listed func(rows []Row)
	// Changed takes in one changed row. A row may come more than once.
	Changed func(r Row)
	// Synced is told of each answer, with the time when the call was sent: what
	// was written before has been taken in. A listing that has a page from
	// before its first answer is no such answer. May be nil.
	Synced func(sent time.Time)
	// Failed takes in a failed call, and nil when calls work again; may be nil.
	// Of a call that does not end it tells nothing, see Age.
	Failed func(err error)

	// Clock tells the time; nil means the system's.
	Clock *clock.Clock

	answered atomic.Pointer[time.Time] // when the call was sent that was answered last
}

// Age returns how old what has been taken in is: how long ago the call was sent
// that was answered last, or Run was called when none has been. It is safe for
// concurrent use; before Run it is zero.
func (f *Watcher) Age(now time.Time) time.Duration {
	at := f.answered.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// A pursuit is how far a follower has come.
type pursuit struct {
	at      Version       // to go on from
	listing *tableListing // under way; nil while changes are followed
	listed  time.Time     // when the latest listing began
	// failing tells that the latest call failed, silent that it had no answer.
	failing bool
	silent  bool
	delay   time.Duration // after the next call that fails
}

// An outcome is what a call has brought.
type outcome struct {
	// sent is as of when all changes are known, if complete is set.
	sent     time.Time
	complete bool
}

// Run follows the table until ctx ends.
func (f *Watcher) Run(ctx context.Context) {
	begun := f.Clock.Now()
	f.answered.Store(&begun)
	p := &pursuit{
		listing: newTableListing(f.Store, f.Table, f.Clock, f.Pace),
		delay:   retryFirst,
	}
	for ctx.Err() == nil {
		o, err := f.call(ctx, p)
		p.silent = errors.Is(err, ErrUnknownOutcome)
		switch {
		case err == nil:
			f.succeed(p, o)
		case errors.Is(err, ErrHistoryGone):
			pause.For(ctx, listEvery-f.Clock.Since(p.listed))
			p.listing = newTableListing(f.Store, f.Table, f.Clock, f.Pace)
		case ctx.Err() == nil:
			f.fail(ctx, p, err)
		}
	}
}

// call makes the next call, or goes on with a listing.
func (f *Watcher) call(ctx context.Context, p *pursuit) (outcome, error) {
	if p.silent {
		ctx = withNewConnection(ctx)
	}
	if p.listing != nil {
		return f.list(ctx, p)
	}
	return f.step(ctx, p)
}

func (f *Watcher) succeed(p *pursuit, o outcome) {
	f.answered.Store(&o.sent)
	if o.complete && f.Synced != nil {
		f.Synced(o.sent)
	}
	if p.failing {
		f.report(nil)
	}
	p.failing = false
	p.delay = retryFirst
}

func (f *Watcher) fail(ctx context.Context, p *pursuit, err error) {
	if !p.failing {
		f.report(err)
	}
	p.failing = true
	pause.For(ctx, p.delay)
	p.delay = min(2*p.delay, retryMost)
}

func (f *Watcher) report(err error) {
	if f.Failed != nil {
		f.Failed(err)
	}
}

// list reads the whole table, or what of it an earlier call could not. What came
// since it began is for the feed to tell.
func (f *Watcher) list(ctx context.Context, p *pursuit) (outcome, error) {
	t := p.listing
	rows, at, err := t.readAll(ctx)
	p.listed = t.began
	if err != nil {
		return outcome{}, err
	}
	f.Listed(rows)
	p.at = at
	p.listing = nil
	return outcome{
		sent:     t.began,
		complete: at >= t.first,
	}, nil
}

// step takes in what has changed.
func (f *Watcher) step(ctx context.Context, p *pursuit) (outcome, error) {
	wait := f.Wait
	if p.failing {
		wait = 0 // to learn at once that calls work again
	}
	sent := f.Clock.Now()
	c, err := f.Store.Feed(ctx, f.Table, p.at, wait)
	if err != nil {
		return outcome{}, err
	}
	for _, r := range c.Rows {
		f.Changed(r)
	}
	p.at = max(c.Version, p.at)
	if len(c.Rows) > 0 {
		pause.For(ctx, cmp.Or(f.Pause, DefaultPause))
	}
	return outcome{
		sent:     sent,
		complete: true,
	}, nil
}
