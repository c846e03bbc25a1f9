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
	// windowBytes bounds what the system holds of a connection before it meets
	// the link: the usual window of TCP before it grows. On loopback it would
	// grow to megabytes, and a link would hardly hold its senders up.
	windowBytes = 64 << 10
)

// A Link is what connects a host to the network. All connections of the host
// share its rate, each direction for itself. It is safe for concurrent use.
type Link struct {
	up   *rate.Limiter
	down *rate.Limiter
}

// NewLink returns a link of so many bits per second.
func NewLink(bitsPerSecond float64) *Link {
	bytesPerSecond := rate.Limit(bitsPerSecond / bitsPerByte)
	return &Link{
		up:   rate.NewLimiter(bytesPerSecond, pieceBytes),
		down: rate.NewLimiter(bytesPerSecond, pieceBytes),
	}
}

// A Path is the links between a caller and its target; nil is a link without a
// rate.
type Path struct {
	Caller *Link
	Target *Link
}

// limited reports whether any part of the path has a rate.
func (p Path) limited() bool {
	return p.Caller != nil || p.Target != nil
}

// carry waits until the path has carried so many bytes, at most pieceBytes, from
// the caller to the target or back. It returns false when ctx ends first.
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
