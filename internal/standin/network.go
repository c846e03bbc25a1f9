package standin

import (
	"context"
	"errors"
	"net"
	"sync"
)

// ErrCut is returned when a connection is refused since the way is cut.
var ErrCut = errors.New("standin: the way is cut")

// A Network opens connections between named places and can cut the way
// between any two. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	place map[string]string // address -> place
	cut   map[[2]string]bool
	conns map[*cutConn]bool
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{
		place: map[string]string{},
		cut:   map[[2]string]bool{},
		conns: map[*cutConn]bool{},
	}
}

// Place says where an address is.
func (n *Network) Place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place[address] = place
}

// SetCut cuts the way between two places, or mends it. Open connections
// between them break.
func (n *Network) SetCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
			_ = c.Conn.Close()
		}
	}
}

// Dialer returns a function that opens connections from a place.
func (n *Network) Dialer(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.place[address]
		cut := n.cut[[2]string{from, to}]
		n.mu.Unlock()
		if cut {
			return nil, &net.OpError{
				Op:  "dial",
				Net: network,
				Err: ErrCut,
			}
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.track(c, from, to), nil
	}
}

func (n *Network) track(c net.Conn, from, to string) net.Conn {
	x := &cutConn{
		Conn:    c,
		network: n,
		from:    from,
		to:      to,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[x] = true
	return x
}

type cutConn struct {
	net.Conn
	network *Network
	from    string
	to      string
}

// Close implements net.Conn.
func (c *cutConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
