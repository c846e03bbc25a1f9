package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// HedgePolicy says how a transaction is sent again while its answer is overdue.
type HedgePolicy struct {
	// First is how long the first try is waited for before another one is sent;
	// the pause doubles from then on, up to Most.
	First time.Duration
	Max   time.Duration
	// Attempts is how many are sent in all.
	Attempts int
}

// An attempt is one try of a transaction that has ended.
type attempt struct {
	result Result
	took   time.Duration
	err    error
}

// CommitHedged applies a transaction. While the answer is overdue it is sent
// again, and the earlier tries are still waited for: of a store that is slow the
// first one is answered first, and to give it up would only make the store do it
// once more; of a store that loses answers a later one is, which therefore goes
// over a connection of its own, see [WantsNewConnection]. The first answer is
// returned, with how long its own try took.
//
// The tries are the same transaction, and the store may apply each of them, so
// that its conditions must let only one be applied. When none is answered the
// error is [ErrRefused] if certainly nothing was done, else [ErrUnknownOutcome].
func CommitHedged(ctx context.Context, s Store, t Transaction, p HedgePolicy) (Result, time.Duration, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan attempt, max(p.Attempts, 1))
	send := func(ctx context.Context) {
		begun := time.Now() //nolint:forbidigo // how long a try takes, of which a suspension is no part
		r, err := s.Commit(ctx, t)
		ended <- attempt{
			result: r,
			took:   time.Since(begun), //nolint:forbidigo // see begun
			err:    err,
		}
	}
	go send(ctx)
	underWay := 1
	sent := 1
	wait := p.First
	overdue := time.NewTimer(wait)
	defer overdue.Stop()
	var failure error
	for underWay > 0 {
		select {
		case a := <-ended:
			underWay--
			if a.err == nil {
				return a.result, a.took, nil
			}
			failure = worse(failure, a.err)
		case <-overdue.C:
			if sent >= p.Attempts {
				continue
			}
			go send(withNewConnection(ctx))
			underWay++
			sent++
			wait = min(2*wait, p.Max)
			overdue.Reset(wait)
		}
	}
	return Result{}, 0, failure
}

// worse returns which of two failures tells less: one that leaves open what was
// done, if there is one.
func worse(a, b error) error {
	switch {
	case a == nil:
		return b
	case errors.Is(a, ErrRefused) && !errors.Is(b, ErrRefused):
		return b
	case errors.Is(b, ErrRefused) && !errors.Is(a, ErrRefused):
		return fmt.Errorf("%w; another try: %s", a, b.Error())
	default:
		return a
	}
}
