package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// A HedgePolicy determines when a transaction is sent again because its response is
// overdue.
type HedgePolicy struct {
	// First is the delay between the first and the second attempt. The delay doubles
	// with each further attempt, up to Max.
	First time.Duration
	Max   time.Duration
	// Tries is the maximum number of attempts, including the first.
	Tries int
}

// An attempt is the result of one attempt to apply a transaction.
type attempt struct {
	result   Result
	duration time.Duration
	err      error
}

// CommitHedged applies a transaction. While the response is overdue, it sends the
// transaction again and keeps waiting for the earlier attempts. A slow store answers
// the first attempt first, and cancelling it would only make the store repeat the work.
// If responses are lost, a later attempt is answered; it uses a new connection for this
// reason (see [WantsNewConnection]). CommitHedged returns the first response and the
// duration of the attempt that it belongs to.
//
// All attempts send the same transaction, and the store may process each of them, so
// its conditions must ensure that at most one is applied. If no attempt gets a
// response, the error is [ErrRefused] if certainly none had an effect, and otherwise
// [ErrUnknownOutcome].
func CommitHedged(ctx context.Context, s Store, t Transaction, p HedgePolicy) (Result, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan attempt, max(p.Tries, 1))
	send := func(ctx context.Context) {
		start := time.Now() //nolint:forbidigo // the duration of an attempt excludes time during which the machine is suspended
		r, err := s.Commit(ctx, t)
		done <- attempt{
			result:   r,
			duration: time.Since(start), //nolint:forbidigo // see start
			err:      err,
		}
	}
	go send(ctx)
	pending := 1
	sent := 1
	delay := p.First
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var leastCertain error
	for pending > 0 {
		select {
		case a := <-done:
			pending--
			if a.err == nil {
				return a.result, a.duration, nil
			}
			leastCertain = lessCertain(leastCertain, a.err)
		case <-timer.C:
			if sent >= p.Tries {
				continue
			}
			go send(withNewConnection(ctx))
			pending++
			sent++
			delay = min(2*delay, p.Max)
			timer.Reset(delay)
		}
	}
	return Result{}, 0, leastCertain
}

// lessCertain returns the less certain of two errors: an error that leaves the outcome
// open takes precedence over [ErrRefused].
func lessCertain(a, b error) error {
	switch {
	case a == nil:
		return b
	case errors.Is(a, ErrRefused) && !errors.Is(b, ErrRefused):
		return b
	case errors.Is(b, ErrRefused) && !errors.Is(a, ErrRefused):
		return fmt.Errorf("%w; another attempt: %s", a, b.Error())
	default:
		return a
	}
}
