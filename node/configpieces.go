package node

import (
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/peer"
)

const (
	// pieceBytes is the size of the pieces in which configurations are transferred: 13
	// ms on a link of 10 Mbit/s and 66 ms on one of 2 Mbit/s, so that a heartbeat
	// queued behind one on the same connection does not exceed its timeout of 80 ms.
	pieceBytes = 16 << 10
	// pieceLinkFraction is the fraction of its link that a host spends on sending
	// pieces to other hosts. Requests from 40 hosts would otherwise saturate the
	// leader's link.
	pieceLinkFraction = 0.5
	// maxPieceWait is how long a piece request may wait for the rate limiter.
	maxPieceWait = 200 * time.Millisecond
	// defaultLinkRate is assumed for a host whose settings do not specify its link: 2
	// Mbit/s, in bytes a second.
	defaultLinkRate = 250_000
	// previousConfigTTL is how long a replaced configuration is kept after its last
	// piece request: several retry delays of the hosts that fetch it.
	previousConfigTTL = 2 * time.Second
	// maxPreviousBytes limits the size of all retained configurations. A host has at
	// least 184 MB of memory.
	maxPreviousBytes = 8 << 20
)

// A pieceRequest requests the piece at Offset of a version that the caller has received
// up to there.
type pieceRequest struct {
	Version spoolsill.Version
	Offset  int
}

// A pieceReply holds a piece of the requested version, or the first piece of the newest
// one if the requested one is not available.
type pieceReply struct {
	Version spoolsill.Version
	Size    int // of the whole document, in bytes
	Offset  int
	Data    []byte
}

// newPieceLimiter returns the rate limiter for sending pieces over a link of the given
// capacity in bytes a second.
func newPieceLimiter(link spoolsill.Bytes) *rate.Limiter {
	if link <= 0 {
		link = defaultLinkRate
	}
	return rate.NewLimiter(rate.Limit(pieceLinkFraction*float64(link)/pieceBytes), 1)
}

var errPieceBusy = &peer.RemoteError{
	Code: peer.CodeBusy,
	Text: "too many pieces of the configuration are asked for",
}

func (n *Node) handlePiece(ctx context.Context, _ peer.Caller, q pieceRequest) (pieceReply, error) {
	k := n.configs.document(q.Version, n.clock.Now())
	ctx, cancel := context.WithTimeout(ctx, maxPieceWait)
	defer cancel()
	if n.pieceLimiter.Wait(ctx) != nil {
		return pieceReply{}, errPieceBusy
	}
	r := pieceReply{
		Version: k.version,
		Size:    len(k.raw),
	}
	if q.Version == k.version && q.Offset >= 0 && q.Offset <= len(k.raw) {
		r.Offset = q.Offset
	}
	r.Data = k.raw[r.Offset:min(r.Offset+pieceBytes, len(k.raw))]
	return r, nil
}

// A previousConfig is a configuration that has been replaced. It is kept while other
// hosts are fetching it. If configurations are replaced faster than they can be fetched,
// those hosts would otherwise never receive a complete one.
type previousConfig struct {
	knownConfig
	requestedAt time.Time // when a piece was last requested
}

// document returns the configuration of the given version if it is still available, and
// the newest one otherwise.
func (c *configTracker) document(v spoolsill.Version, now time.Time) knownConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.previous {
		if p := &c.previous[i]; p.version == v {
			p.requestedAt = now
			return p.knownConfig
		}
	}
	c.requestedAt = now
	return c.latest
}

// retainPrevious keeps the configuration that is about to be replaced if other hosts
// are fetching it, and drops the oldest ones that exceed the memory limit.
func (c *configTracker) retainPrevious(now time.Time) {
	c.previous = append(c.previous, previousConfig{
		knownConfig: c.latest,
		requestedAt: c.requestedAt,
	})
	c.dropExpired(now)
	size := 0
	for _, p := range c.previous {
		size += len(p.raw)
	}
	for size > maxPreviousBytes {
		size -= len(c.previous[0].raw)
		c.previous = slices.Delete(c.previous, 0, 1)
	}
}

// dropExpired drops the configurations that no host is fetching any longer.
func (c *configTracker) dropExpired(now time.Time) {
	c.previous = slices.DeleteFunc(c.previous, func(p previousConfig) bool { return now.Sub(p.requestedAt) > previousConfigTTL })
}
