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
	// pieceBytes is how much of a configuration one call carries: 13 ms on a link
	// of 10 Mbit/s and 66 ms on one of 2, so that a heartbeat on the same
	// connection, whose answer is waited for 80 ms, does not fail behind it.
	pieceBytes = 16 << 10
	// pieceShare is how much of its link a host spends on telling others of the
	// configuration: with 40 that ask a leader, all of it would be gone.
	pieceShare = 0.5
	// pieceWait is how long a call for a piece may wait for its turn.
	pieceWait = 200 * time.Millisecond
	// smallestLink is that of a host whose settings do not tell it: 2 Mbit/s, in
	// bytes a second.
	smallestLink = 250_000
	// formerKept is for how long after a piece of it was asked for a configuration
	// that has been replaced is kept: some of the pauses of those that fetch it.
	formerKept = 2 * time.Second
	// formerBytes bounds the memory that they take: a host has 184 MB at least.
	formerBytes = 8 << 20
)

// A pieceRequest asks for a part of a configuration, of the version that the
// caller has the beginning of.
type pieceRequest struct {
	Version spoolsill.Version
	Offset  int
}

// A pieceReply has a part of that version, or the beginning of the newest one when
// the host does not have that version any more.
type pieceReply struct {
	Version spoolsill.Version
	Size    int // of the whole, in bytes
	Offset  int
	Data    []byte
}

// newPieceLimiter returns what bounds the pieces that a host with a link of so
// many bytes a second tells.
func newPieceLimiter(link spoolsill.Bytes) *rate.Limiter {
	if link <= 0 {
		link = smallestLink
	}
	return rate.NewLimiter(rate.Limit(pieceShare*float64(link)/pieceBytes), 1)
}

var errPieceLater = &peer.RemoteError{
	Code: peer.CodeBusy,
	Text: "too many pieces of the configuration are asked for",
}

func (n *Node) pieceAsked(ctx context.Context, _ peer.Caller, q pieceRequest) (pieceReply, error) {
	k := n.configs.document(q.Version, n.clock.Now())
	ctx, cancel := context.WithTimeout(ctx, pieceWait)
	defer cancel()
	if n.pieces.Wait(ctx) != nil {
		return pieceReply{}, errPieceLater
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

// A formerConfig is a configuration that has been replaced. It is kept for as long
// as other hosts fetch it: of a document that is replaced sooner than it is fetched,
// they would never have the whole.
type formerConfig struct {
	knownConfig
	asked time.Time // when a piece of it was asked for last
}

// document returns the configuration of a version if it is still there, else the
// newest one.
func (c *configs) document(v spoolsill.Version, now time.Time) knownConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.former {
		if f := &c.former[i]; f.version == v {
			f.asked = now
			return f.knownConfig
		}
	}
	c.asked = now
	return c.now
}

// keepFormer keeps the configuration that is about to be replaced if hosts fetch
// it, and drops others so that they do not take too much memory.
func (c *configs) keepFormer(now time.Time) {
	c.former = append(c.former, formerConfig{
		knownConfig: c.now,
		asked:       c.asked,
	})
	c.dropFormer(now)
	size := 0
	for _, f := range c.former {
		size += len(f.raw)
	}
	for size > formerBytes {
		size -= len(c.former[0].raw)
		c.former = slices.Delete(c.former, 0, 1)
	}
}

// dropFormer drops the configurations that nobody fetches any more.
func (c *configs) dropFormer(now time.Time) {
	c.former = slices.DeleteFunc(c.former, func(f formerConfig) bool { return now.Sub(f.asked) > formerKept })
}
