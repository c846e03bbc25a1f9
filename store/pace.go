package store

import (
	"context"
	"sync"
)

const (
	// paceCall is about how much one call of a paced listing brings at least:
	// with less, its way there and back takes longer than its answer.
	paceCall = 16 << 10
	// paceRow is how large a row is taken for before any has been read.
	paceRow = 1 << 10
	// rowFrame is what an answer adds to the value and the name of a row, and
	// wireBytes how many bytes three bytes of a row take there as base64, times
	// three.
	rowFrame  = 60
	wireBytes = 4
)

// A ReadLimiter bounds how much listings have under way together. The load that it
// answers: a host reads thousands of rows over a small link, and what is urgent
// on it waits behind them; eight pages of a partition each kept a link of 2
// Mbit/s busy for a second and a half. It is safe for concurrent use; nil bounds
// nothing.
type ReadLimiter struct {
	calls chan struct{}
	call  int // bytes that a call brings, about

	mu    sync.Mutex
	rows  int // that were read
	bytes int // that they took
}

// NewReadLimiter returns a pace at which about so many bytes are under way at a time;
// nil for 0 or less.
func NewReadLimiter(bytes int) *ReadLimiter {
	if bytes <= 0 {
		return nil
	}
	n := min(max(bytes/paceCall, 1), listsAtOnce)
	return &ReadLimiter{
		calls: make(chan struct{}, n),
		call:  bytes / n,
	}
}

// enter waits for the turn of a call, and returns how many rows it may ask for;
// 0 leaves that to the store. leave ends the call.
func (p *ReadLimiter) enter(ctx context.Context) (limit int, err error) {
	if p == nil {
		return 0, nil
	}
	select {
	case p.calls <- struct{}{}:
		return p.limit(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (p *ReadLimiter) limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := paceRow
	if p.rows > 0 {
		row = p.bytes / p.rows
	}
	return max(1, p.call/row)
}

// leave ends a call that has brought rows.
func (p *ReadLimiter) leave(rows []Row) {
	if p == nil {
		return
	}
	<-p.calls
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range rows {
		p.rows++
		p.bytes += rowFrame + len(r.Key.Name) + len(r.Value)*wireBytes/3
	}
}
