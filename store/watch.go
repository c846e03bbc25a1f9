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
	// DefaultPause is the default delay between two calls of a feed that returns
	// changes. Changes that accumulate during the delay share a call.
	DefaultPause = 8 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// minListInterval is the minimum time between the starts of two listings. A
	// listing takes one call for each partition, and a table of a store that keeps no
	// history would otherwise be listed continuously. The interval adds an eighth to
	// the two seconds within which most changes must be received.
	minListInterval = 250 * time.Millisecond
)

// A Watcher follows the state of a table: it lists all partitions, then reads the feed of
// changes, and starts again whenever the store no longer has the history.
type Watcher struct {
	Store Store
	Table string
	// Wait is how long one call of the feed waits for a change. It is also how long it
	// takes to detect a feed that is cut off without an error.
	Wait time.Duration
	// LongerWait returns a wait that replaces Wait if it is longer. It is called before each
	// call and may be nil.
	LongerWait func() time.Duration
	// Pause is the delay after a call that returned changes; 0 means DefaultPause.
	Pause time.Duration
	// Pace limits the concurrent reads of a listing; nil means no limit.
	Pace *ReadLimiter
	// Listed is called with all rows of the table after each listing.
	Listed func(rows []Row)
	// Changed is called for each changed row. A change may be reported more than once.
	Changed func(r Row)
	// Synced is called after each successful call with the time at which the call was
	// sent: everything written before that time has been passed to Listed or Changed.
	// It is not called after a listing with a page that is older than the first
	// response. It may be nil.
	Synced func(sent time.Time)
	// Failed is called with the error when calls begin to fail, and with nil when they
	// succeed again. It is not called for a call that hangs (see Age). It may be nil.
	Failed func(err error)

	// Clock is the time source; nil means the system's clock.
	Clock *clock.Clock

	lastSuccess atomic.Pointer[time.Time] // when the last successful call was sent
}

// Age returns the age of the watcher's state: the time since the last successful call was
// sent, or since Run was called if there has been none. It is zero before Run. Age is
// safe for concurrent use.
func (w *Watcher) Age(now time.Time) time.Duration {
	at := w.lastSuccess.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// A watchState is the progress of a watcher.
type watchState struct {
	position  Version      // to continue the feed from
	reader    *tableReader // of the listing in progress; nil while reading the feed
	listStart time.Time    // when the last listing began
	// failing is set if the last call failed, unanswered if the last call had no response.
	failing    bool
	unanswered bool
	retryDelay time.Duration // after the next failed call
}

// A callResult is the result of a successful call.
type callResult struct {
	// sent is when the call was sent. If complete is set, all changes before that time
	// are known.
	sent     time.Time
	complete bool
}

// Run watches the table until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	start := w.Clock.Now()
	w.lastSuccess.Store(&start)
	st := &watchState{
		reader:     newTableReader(w.Store, w.Table, w.Clock, w.Pace),
		retryDelay: minRetryDelay,
	}
	for ctx.Err() == nil {
		r, err := w.call(ctx, st)
		st.unanswered = errors.Is(err, ErrUnknownOutcome)
		switch {
		case err == nil:
			w.recordSuccess(st, r)
		case errors.Is(err, ErrHistoryGone):
			pause.For(ctx, minListInterval-w.Clock.Since(st.listStart))
			st.reader = newTableReader(w.Store, w.Table, w.Clock, w.Pace)
		case ctx.Err() == nil:
			w.backOff(ctx, st, err)
		}
	}
}

// call starts or resumes a listing, or else makes the next call of the feed.
func (w *Watcher) call(ctx context.Context, st *watchState) (callResult, error) {
	if st.unanswered {
		ctx = withNewConnection(ctx)
	}
	if st.reader != nil {
		return w.list(ctx, st)
	}
	return w.poll(ctx, st)
}

func (w *Watcher) recordSuccess(st *watchState, r callResult) {
	w.lastSuccess.Store(&r.sent)
	if r.complete && w.Synced != nil {
		w.Synced(r.sent)
	}
	if st.failing {
		w.report(nil)
	}
	st.failing = false
	st.retryDelay = minRetryDelay
}

func (w *Watcher) backOff(ctx context.Context, st *watchState, err error) {
	if !st.failing {
		w.report(err)
	}
	st.failing = true
	pause.For(ctx, st.retryDelay)
	st.retryDelay = min(2*st.retryDelay, maxRetryDelay)
}

func (w *Watcher) report(err error) {
	if w.Failed != nil {
		w.Failed(err)
	}
}

// list reads the whole table, or what remains to be read after an earlier error. Changes
// since the listing began are then read from the feed.
func (w *Watcher) list(ctx context.Context, st *watchState) (callResult, error) {
	t := st.reader
	rows, version, err := t.readAll(ctx)
	st.listStart = t.startTime
	if err != nil {
		return callResult{}, err
	}
	w.Listed(rows)
	st.position = version
	st.reader = nil
	return callResult{
		sent:     t.startTime,
		complete: version >= t.firstVersion,
	}, nil
}

// poll makes one call of the feed.
func (w *Watcher) poll(ctx context.Context, st *watchState) (callResult, error) {
	wait := w.Wait
	if w.LongerWait != nil {
		wait = max(wait, w.LongerWait())
	}
	if st.failing {
		wait = 0 // so that recovery is detected without delay
	}
	sent := w.Clock.Now()
	c, err := w.Store.Feed(ctx, w.Table, st.position, wait)
	if err != nil {
		return callResult{}, err
	}
	for _, r := range c.Rows {
		w.Changed(r)
	}
	st.position = max(c.Version, st.position)
	if len(c.Rows) > 0 {
		pause.For(ctx, cmp.Or(w.Pause, DefaultPause))
	}
	return callResult{
		sent:     sent,
		complete: true,
	}, nil
}
