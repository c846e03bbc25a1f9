package standin

import (
	"context"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// packetSize is the maximum number of bytes that a connection sends or receives
// over a rate-limited link at once. It makes connections share the link fairly.
const packetSize = 8 << 10

// A link limits the total rate of all connections of a node, separately for each
// direction.
type link struct {
	in, out direction
}

// A direction is the rate limiter of one direction of a link.
type direction struct {
	rate int // bytes per second

	mu          sync.Mutex
	idleAt      time.Time // when all bytes accepted so far have been transmitted
	transmitted int       // total number of bytes accepted
}

// transmit blocks until n bytes have been transmitted after those already queued,
// or until ctx is done.
func (d *direction) transmit(ctx context.Context, n int) {
	d.mu.Lock()
	now := time.Now()
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	d.idleAt = d.idleAt.Add(time.Duration(n) * time.Second / time.Duration(d.rate))
	d.transmitted += n
	done := d.idleAt
	d.mu.Unlock()
	pause.For(ctx, time.Until(done))
}

// SetRate limits the total rate of all connections of a node to rate bytes per
// second in each direction.
func (n *Network) SetRate(name string, rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[name] = &link{
		in: direction{
			rate: rate,
		},
		out: direction{
			rate: rate,
		},
	}
}

// BytesReceived returns how many bytes a node has received. The node must have a
// rate limit; see [Network.SetRate].
func (n *Network) BytesReceived(name string) int {
	d := &n.link(name).in
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.transmitted
}

func (n *Network) link(name string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name]
}
