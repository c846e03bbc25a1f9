package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
)

const (
	// feedFirst is for how long a configuration that is larger than a piece is left
	// to the feed, which has it from the store within a second unless the link is
	// full: the same document a second time would take half of it.
	feedFirst = time.Second
	// pieceTimeout is for one piece: some times what a link of 2 Mbit/s needs.
	pieceTimeout = 500 * time.Millisecond
	// fetchFirst and fetchMost bound the pause after a piece that was not had.
	fetchFirst = 50 * time.Millisecond
	fetchMost  = 500 * time.Millisecond
)

// A heldConfig is what a host tells another one about its configuration. It is
// small, and so part of heartbeats, which the document itself must not be: that
// takes a link of 10 Mbit/s a second, and a heartbeat is waited for a tenth of one.
type heldConfig struct {
	Version spoolsill.Version
	// Size is that of the document, in bytes.
	Size int
	// Heard tells that the store, or a host that it reaches, has told that Version
	// was the newest one Age ago.
	Heard bool
	Age   time.Duration
}

// held returns what to tell other hosts.
func (c *configs) held(now time.Time) heldConfig {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropFormer(now)
	return heldConfig{
		Version: c.now.version,
		Size:    len(c.now.raw),
		Heard:   !c.heard.IsZero(),
		Age:     now.Sub(c.heard),
	}
}

// vouchedBy takes in what a host answered to a call that was sent at some time:
// not before then, it knew of no newer configuration than it has.
func (c *configs) vouchedBy(x heldConfig, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.Heard && x.Version <= c.now.version {
		c.hearLocked(sent.Add(-x.Age))
	}
}

// An offer is a configuration that another host has.
type offer struct {
	host    spoolsill.HostID
	version spoolsill.Version
	size    int // bytes
}

// offeredBy takes in which configuration another host has. Of several that are
// newer than this host's own, the newest one is remembered.
func (c *configs) offeredBy(h spoolsill.HostID, x heldConfig, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x.Version <= c.now.version || x.Version <= c.refused {
		return
	}
	if c.told <= c.now.version {
		c.toldSince = now
	}
	c.told = max(c.told, x.Version)
	if x.Version < c.offer.version {
		return
	}
	c.offer = offer{
		host:    h,
		version: x.Version,
		size:    x.Size,
	}
	select {
	case c.offered <- struct{}{}:
	default:
	}
}

// withdraw forgets an offer whose host does not keep it: another one is to be
// asked, even if what that has is older.
func (c *configs) withdraw(o offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offer == o {
		c.offer = offer{}
	}
}

// refuse takes in that a version was fetched that can't be read.
func (c *configs) refuse(v spoolsill.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = max(c.refused, v)
}

// wanted returns where a newer configuration is to be had, if anywhere, and
// whether it should be fetched from there now.
func (c *configs) wanted(now time.Time) (o offer, due, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o = c.offer
	if o.version <= c.now.version || o.version <= c.refused {
		return offer{}, false, false
	}
	due = c.deaf || o.size <= pieceBytes || now.Sub(c.toldSince) >= feedFirst
	return o, due, true
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
	if r.Version > p.version && r.Offset == 0 {
		*p = partialConfig{
			version: r.Version,
			size:    r.Size,
		}
	}
	if r.Version != p.version || r.Offset != len(p.data) || len(r.Data) == 0 {
		return false
	}
	p.data = append(p.data, r.Data...)
	return true
}

func (p *partialConfig) whole() bool {
	return len(p.data) >= p.size
}

// A configFetcher fetches the configurations that the store does not tell a host of
// in time from hosts that have them.
type configFetcher struct {
	node    *Node
	partial partialConfig
	delay   time.Duration // after the next piece that is not had
}

// run fetches until ctx ends.
func (f *configFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-f.node.configs.offered:
			f.fetch(ctx)
		case <-ctx.Done():
		}
	}
}

// fetch asks for piece after piece until no newer configuration is on offer.
func (f *configFetcher) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		f.forgetOld()
		o, due, ok := f.node.configs.wanted(f.node.clock.Now())
		switch {
		case !ok:
			return
		case !due:
			pause.For(ctx, fetchFirst)
		default:
			f.fetchPiece(ctx, o)
		}
	}
}

// forgetOld drops what has come of a configuration that has come otherwise.
func (f *configFetcher) forgetOld() {
	if f.partial.version <= f.node.configs.get().version {
		f.partial = partialConfig{}
	}
}

// fetchPiece asks a host for a piece, and waits for longer each time in a row that
// it does not get one.
func (f *configFetcher) fetchPiece(ctx context.Context, o offer) {
	err := f.ask(ctx, o)
	if err == nil {
		f.delay = 0
		f.finish(o)
		return
	}
	if !busy(err) {
		f.node.configs.withdraw(o)
		f.node.log.WithError(err).WithField("from", string(o.host)).WithField("version", uint64(o.version)).WithField("bytes", len(f.partial.data)).Info("configuration not fetched yet")
	}
	f.delay = min(max(2*f.delay, fetchFirst), fetchMost)
	if f.delay == fetchMost && o.version < f.partial.version {
		f.partial = partialConfig{} // nobody offers the rest: an older version will do
	}
	pause.For(ctx, f.delay/2+rand.N(f.delay))
}

// ask asks a host for the next piece and takes it in.
func (f *configFetcher) ask(ctx context.Context, o offer) error {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	r, err := peer.Call[pieceReply](ctx, f.node.peers, o.host, methodPiece, pieceRequest{
		Version: f.partial.version,
		Offset:  len(f.partial.data),
	})
	if err != nil {
		return err
	}
	if r.Version <= f.node.configs.get().version {
		return fmt.Errorf("the host has no newer version than %d any more", r.Version)
	}
	if !f.partial.take(r) {
		return fmt.Errorf("version %d from byte %d does not go on from version %d, %d bytes", r.Version, r.Offset, f.partial.version, len(f.partial.data))
	}
	return nil
}

// finish puts a configuration in force that has come whole.
func (f *configFetcher) finish(o offer) {
	if !f.partial.whole() {
		return
	}
	if !f.node.takeConfig(f.partial.data, string(o.host)) {
		f.node.configs.refuse(f.partial.version)
	}
	f.partial = partialConfig{}
}

// busy reports whether a host answered that it can't do something just now.
func busy(err error) bool {
	var r *peer.RemoteError
	return errors.As(err, &r) && r.Code == peer.CodeBusy
}
