package soak

import (
	"context"

	"golang.org/x/time/rate"
)

// Rates of links, in bits per second: those of the smallest and the largest
// machines that hosts are known to run on.
const (
	slowLink = 10e6
	fastLink = 200e6
)

const (
	bitsPerByte = 8
	// windowBytes is the read buffer of connections over a link: the initial window of
	// TCP. On loopback it would grow to megabytes, and a link would hardly slow its
	// senders.
	windowBytes = 64 << 10
)

// A Link is the network link of a host. All connections of the host share its rate, which
// applies to each direction separately. It is safe for concurrent use.
type Link struct {
	up   *rate.Limiter
	down *rate.Limiter
}

// NewLink returns a link with a rate.
func NewLink(bitsPerSecond float64) *Link {
	bytesPerSecond := rate.Limit(bitsPerSecond / bitsPerByte)
	return &Link{
		up:   rate.NewLimiter(bytesPerSecond, pieceBytes),
		down: rate.NewLimiter(bytesPerSecond, pieceBytes),
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

// carry waits for the transfer of at most pieceBytes from the caller to the target, or
// back. It returns false if ctx ends first.
func (p Path) carry(ctx context.Context, bytes int, back bool) bool {
	from, to := p.Caller, p.Target
	if back {
		from, to = to, from
	}
	if from != nil && from.up.WaitN(ctx, bytes) != nil {
		return false
	}
	return to == nil || to.down.WaitN(ctx, bytes) == nil
}
