package soak

import (
	"context"

	"golang.org/x/time/rate"
)

// The rates of links in bits per second, which are those of the smallest and of the largest
// machines that hosts are known to run on.
const (
	slowLink = 10e6
	fastLink = 200e6
)

const (
	bitsPerByte = 8
	// readBufferBytes is the size of the read buffer of connections over a link, the initial
	// window of TCP. On loopback the buffer would grow to megabytes, and a link would hardly
	// slow its senders.
	readBufferBytes = 64 << 10
)

// A Link is the network link of a host. The connections of the host share its rate, which
// applies to each direction separately. It is safe for concurrent use.
type Link struct {
	up   *rate.Limiter
	down *rate.Limiter
}

// NewLink returns a link with the given rate.
func NewLink(bitsPerSecond float64) *Link {
	bytesPerSecond := rate.Limit(bitsPerSecond / bitsPerByte)
	return &Link{
		up:   rate.NewLimiter(bytesPerSecond, chunkBytes),
		down: rate.NewLimiter(bytesPerSecond, chunkBytes),
	}
}

// A Path is the links of a caller and its target; nil means a link without a rate limit.
type Path struct {
	Caller *Link
	Target *Link
}

// limited reports whether the path has a rate limit.
func (p Path) limited() bool {
	return p.Caller != nil || p.Target != nil
}

// transfer waits for as long as the links take to transfer at most chunkBytes, from the
// target to the caller if toCaller is true and from the caller to the target otherwise. It
// returns false if ctx ends first.
func (p Path) transfer(ctx context.Context, bytes int, toCaller bool) bool {
	from, to := p.Caller, p.Target
	if toCaller {
		from, to = to, from
	}
	if from != nil && from.up.WaitN(ctx, bytes) != nil {
		return false
	}
	return to == nil || to.down.WaitN(ctx, bytes) == nil
}
