package standin

import (
	"context"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
)

// packet is how many bytes a link carries for one connection before it is
// another one's turn.
const packet = 8 << 10

// A link is what all connections of a node share, either way.
type link struct {
	in, out direction
}

// A direction of a link carries so many bytes a second.
type direction struct {
	rate int // bytes a second

	mu   sync.Mutex
	free time.Time // when all that was sent so far has passed
}

// carry returns when n bytes have passed, behind those of others.
func (d *direction) carry(n int) {
	d.mu.Lock()
	now := time.Now()
	if d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(time.Duration(n) * time.Second / time.Duration(d.rate))
	end := d.free
	d.mu.Unlock()
	pause.For(context.Background(), time.Until(end))
}

// SetRate bounds how many bytes a second all connections of a node carry
// together, each way.
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

func (n *Network) link(name string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name]
}
