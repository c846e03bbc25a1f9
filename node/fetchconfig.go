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
	// feedGracePeriod is how long a host waits for the feed to deliver a configuration
	// larger than a piece before it fetches the configuration from another host. The
	// feed takes less than a second unless the link is saturated, and fetching the same
	// document a second time would use half of the link.
	feedGracePeriod = time.Second
	// pieceTimeout limits one piece request: several times what a link of 2 Mbit/s
	// needs.
	pieceTimeout = 500 * time.Millisecond
	// minFetchDelay and maxFetchDelay limit the delay after a failed piece request.
	minFetchDelay = 50 * time.Millisecond
	maxFetchDelay = 500 * time.Millisecond
)

// A configSummary describes a host's configuration to other hosts. It is part of
// heartbeats, unlike the document, which may occupy a link of 10 Mbit/s for a second while
// heartbeats time out after a tenth of that.
type configSummary struct {
	Version spoolsill.Version
	// Size is the size of the document in bytes.
	Size int
	// Heard is set if the store, or a host that reaches it, confirmed that Version was
	// the newest one Age ago.
	Heard bool
	Age   time.Duration
}

// summary returns the summary that is sent to other hosts.
func (c *configTracker) summary(now time.Time) configSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(now)
	return configSummary{
		Version: c.latest.version,
		Size:    len(c.latest.raw),
		Heard:   !c.confirmedAt.IsZero(),
		Age:     now.Sub(c.confirmedAt),
	}
}

// confirmFromHost records a host's reply to a call sent at the given time. If that host
// has no newer version than this one, all changes before sent minus s.Age are known.
func (c *configTracker) confirmFromHost(s configSummary, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Heard && s.Version <= c.latest.version {
		c.confirmLocked(sent.Add(-s.Age))
	}
}

// An offer is a configuration that another host has.
type offer struct {
	host    spoolsill.HostID
	version spoolsill.Version
	size    int // bytes
}

// recordOffer records the configuration of another host. If several are newer than this
// host's own, the newest one is kept.
func (c *configTracker) recordOffer(h spoolsill.HostID, s configSummary, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version <= c.latest.version || s.Version <= c.rejected {
		return
	}
	if c.newestKnown <= c.latest.version {
		c.behindSince = now
	}
	c.newestKnown = max(c.newestKnown, s.Version)
	if s.Version < c.offer.version {
		return
	}
	c.offer = offer{
		host:    h,
		version: s.Version,
		size:    s.Size,
	}
	select {
	case c.offerSignal <- struct{}{}:
	default:
	}
}

// withdrawOffer removes an offer whose host failed to deliver it, so that offers of other
// hosts are accepted even if their versions are older.
func (c *configTracker) withdrawOffer(o offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offer == o {
		c.offer = offer{}
	}
}

// reject records that a fetched version could not be decoded.
func (c *configTracker) reject(v spoolsill.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected = max(c.rejected, v)
}

// nextFetch returns the offer of a newer configuration, if there is one, and whether it
// should be fetched now.
func (c *configTracker) nextFetch(now time.Time) (o offer, due, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o = c.offer
	if o.version <= c.latest.version || o.version <= c.rejected {
		return offer{}, false, false
	}
	due = c.feedFailed || o.size <= pieceBytes || now.Sub(c.behindSince) >= feedGracePeriod
	return o, due, true
}

// A partialConfig is the part of a configuration received so far. It is kept while
// hosts cannot be reached: if each fetch started over, a long document might never be
// completed.
type partialConfig struct {
	version spoolsill.Version
	size    int
	data    []byte
}

// add appends a piece and reports whether it made progress.
func (p *partialConfig) add(r pieceReply) bool {
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

func (p *partialConfig) complete() bool {
	return len(p.data) >= p.size
}

// A configFetcher fetches configurations from other hosts when the store does not
// deliver them in time.
type configFetcher struct {
	node    *Node
	partial partialConfig
	delay   time.Duration // after the next failed request
}

// run fetches until ctx is done.
func (f *configFetcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-f.node.configs.offerSignal:
			f.fetch(ctx)
		case <-ctx.Done():
		}
	}
}

// fetch requests pieces until no newer configuration is on offer.
func (f *configFetcher) fetch(ctx context.Context) {
	for ctx.Err() == nil {
		f.dropStale()
		o, due, ok := f.node.configs.nextFetch(f.node.clock.Now())
		switch {
		case !ok:
			return
		case !due:
			pause.For(ctx, minFetchDelay)
		default:
			f.fetchPiece(ctx, o)
		}
	}
}

// dropStale discards the partial configuration if the same or a newer version has
// arrived otherwise.
func (f *configFetcher) dropStale() {
	if f.partial.version <= f.node.configs.get().version {
		f.partial = partialConfig{}
	}
}

// fetchPiece requests a piece from a host and backs off exponentially on consecutive
// failures.
func (f *configFetcher) fetchPiece(ctx context.Context, o offer) {
	err := f.requestPiece(ctx, o)
	if err == nil {
		f.delay = 0
		f.applyComplete(o)
		return
	}
	if !isBusy(err) {
		f.node.configs.withdrawOffer(o)
		f.node.log.WithError(err).WithField("from", string(o.host)).WithField("version", uint64(o.version)).WithField("bytes", len(f.partial.data)).Info("configuration not fetched yet")
	}
	f.delay = min(max(2*f.delay, minFetchDelay), maxFetchDelay)
	if f.delay == maxFetchDelay && o.version < f.partial.version {
		f.partial = partialConfig{} // no host offers the remaining pieces, so accept an older version
	}
	pause.For(ctx, f.delay/2+rand.N(f.delay))
}

// requestPiece requests the next piece from a host and appends it.
func (f *configFetcher) requestPiece(ctx context.Context, o offer) error {
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
		return fmt.Errorf("host no longer has a version newer than %d", r.Version)
	}
	if !f.partial.add(r) {
		return fmt.Errorf("version %d from byte %d does not go on from version %d, %d bytes", r.Version, r.Offset, f.partial.version, len(f.partial.data))
	}
	return nil
}

// applyComplete puts the partial configuration in force once it is complete.
func (f *configFetcher) applyComplete(o offer) {
	if !f.partial.complete() {
		return
	}
	if !f.node.applyConfig(f.partial.data, string(o.host)) {
		f.node.configs.reject(f.partial.version)
	}
	f.partial = partialConfig{}
}

// isBusy reports whether a host replied that it is temporarily unable to serve a call.
func isBusy(err error) bool {
	var r *peer.RemoteError
	return errors.As(err, &r) && r.Code == peer.CodeBusy
}
