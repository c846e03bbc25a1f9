package node

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
)

const (
	// pieceBytes is how much of a configuration one call carries: 26 ms on a link
	// of 10 Mbit/s, so that heartbeats on the same connection do not wait behind
	// it for as long as they are waited for.
	pieceBytes = 32 << 10
	// pieceTimeout is for one piece; a tenth of the smallest link carries it in
	// 0.26 s.
	pieceTimeout = 500 * time.Millisecond
	// fetchEvery is between looks at whether another host has a newer
	// configuration, and between tries.
	fetchEvery = 50 * time.Millisecond
	// feedFirst is for how long a configuration that is larger than a piece is left
	// to the feed, which has it from the store within a second unless the link is
	// full: the same document a second time would take half of it.
	feedFirst = time.Second
	// pieceShare is how much of its link a host spends on telling others of the
	// configuration: with 40 that ask a leader, all of it would be gone.
	pieceShare = 0.5
	// pieceBurst is how many pieces may go at once.
	pieceBurst = 4
	// smallestLink is that of a host whose settings do not tell it: 10 Mbit/s, in
	// bytes a second.
	smallestLink = 1_250_000
)

// A pieceRequest asks for a part of a configuration, of the version that the
// caller has the beginning of.
type pieceRequest struct {
	Version spoolsill.Version
	Offset  int
}

// A pieceReply has a part of the configuration that the host has; from its
// beginning when that is another version than was asked for.
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
	return rate.NewLimiter(rate.Limit(pieceShare*float64(link)/pieceBytes), pieceBurst)
}

var errPieceLater = &peer.RemoteError{
	Code: peer.CodeBusy,
	Text: "too many pieces of the configuration are asked for",
}

func (n *Node) pieceAsked(_ context.Context, _ peer.Caller, q pieceRequest) (pieceReply, error) {
	if !n.pieces.Allow() {
		return pieceReply{}, errPieceLater
	}
	k := n.configs.get()
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

// A partialConfig is what has come so far of a configuration. It is kept while
// hosts can't be asked: begun anew each time, a long one might never be whole.
type partialConfig struct {
	version spoolsill.Version
	size    int
	data    []byte
}

// take adds a piece, and reports whether it brought the whole nearer.
func (p *partialConfig) take(r pieceReply) bool {
	if r.Version < p.version {
		return false // of a host that is behind the one that was asked before
	}
	if r.Version > p.version {
		*p = partialConfig{
			version: r.Version,
			size:    r.Size,
		}
	}
	if r.Offset != len(p.data) || len(r.Data) == 0 {
		return false
	}
	p.data = append(p.data, r.Data...)
	return true
}

func (p *partialConfig) whole() bool {
	return p.version > 0 && len(p.data) >= p.size
}

// due reports whether a configuration that another host has should be fetched
// from there.
func (c *configs) due(now time.Time) (offer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.offer
	if o.version <= c.now.version {
		return o, false
	}
	return o, c.deaf || o.size <= pieceBytes || now.Sub(o.since) >= feedFirst
}

// fetchConfigs fetches configurations that the store does not tell this host of
// in time from hosts that have them, until ctx ends.
func (n *Node) fetchConfigs(ctx context.Context) {
	var p partialConfig
	for ctx.Err() == nil {
		select {
		case <-n.configs.offered:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && n.configs.newest() > n.configs.get().version {
			if o, ok := n.configs.due(time.Now()); ok {
				n.fetchConfig(ctx, o, &p)
			}
			pause.For(ctx, fetchEvery)
		}
	}
}

// fetchConfig asks a host for piece after piece, until the whole is in force or
// the host does not answer.
func (n *Node) fetchConfig(ctx context.Context, o offer, p *partialConfig) {
	for ctx.Err() == nil && n.configs.get().version < o.version {
		r, err := n.askForPiece(ctx, o.host, pieceRequest{
			Version: p.version,
			Offset:  len(p.data),
		})
		if err == nil && !p.take(r) {
			err = fmt.Errorf("version %d from byte %d does not go on from version %d, %d bytes", r.Version, r.Offset, p.version, len(p.data))
		}
		if err != nil {
			n.log.WithError(err).WithField("from", string(o.host)).WithField("version", uint64(o.version)).WithField("bytes", len(p.data)).Info("configuration not fetched yet")
			return
		}
		if p.whole() {
			n.takeConfig(p.data, string(o.host))
			*p = partialConfig{}
		}
	}
}

func (n *Node) askForPiece(ctx context.Context, h spoolsill.HostID, q pieceRequest) (pieceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	return peer.Call[pieceReply](ctx, n.peers, h, methodPiece, q)
}
