package store

import (
	"context"
	"sync"
)

const (
	// minBytesPerCall is the approximate minimum size of the response to one call. With
	// smaller responses the round trip would take longer than the transfer.
	minBytesPerCall = 16 << 10
	// initialRowBytes is the assumed size of a row before any row has been read.
	initialRowBytes = 1 << 10
	// rowOverheadBytes is the size of a row in a response in addition to its name and
	// value, and base64GroupBytes the encoded size of three bytes of a value.
	rowOverheadBytes = 60
	base64GroupBytes = 4
)

// A ReadLimiter bounds the data that concurrent listings have in flight. When a host
// reads thousands of rows over a slow link, urgent traffic queues behind them: eight
// concurrent pages saturated a 2 Mbit/s link for 1.5 s. A nil ReadLimiter sets no limit.
// It is safe for concurrent use.
type ReadLimiter struct {
	slots        chan struct{}
	bytesPerCall int // approximate size of a response

	mu    sync.Mutex
	rows  int // rows read so far
	bytes int // total size of these rows in responses
}

// NewReadLimiter returns a limiter that allows approximately the given number of bytes in
// flight. It returns nil if bytes is not positive.
func NewReadLimiter(bytes int) *ReadLimiter {
	if bytes <= 0 {
		return nil
	}
	n := min(max(bytes/minBytesPerCall, 1), maxConcurrentLists)
	return &ReadLimiter{
		slots:        make(chan struct{}, n),
		bytesPerCall: bytes / n,
	}
}

// acquire waits for a free slot for a call and returns the number of rows to request; 0
// leaves the number to the store. The caller must call release after the call.
func (l *ReadLimiter) acquire(ctx context.Context) (limit int, err error) {
	if l == nil {
		return 0, nil
	}
	select {
	case l.slots <- struct{}{}:
		return l.limit(), nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (l *ReadLimiter) limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := initialRowBytes
	if l.rows > 0 {
		row = l.bytes / l.rows
	}
	return max(1, l.bytesPerCall/row)
}

// release frees the slot of a completed call and records the size of its rows.
func (l *ReadLimiter) release(rows []Row) {
	if l == nil {
		return
	}
	<-l.slots
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range rows {
		l.rows++
		l.bytes += rowOverheadBytes + len(r.Key.Name) + len(r.Value)*base64GroupBytes/3
	}
}
