// Package traffic counts the bytes that a host sends and receives over its network link, by
// purpose and direction, to show what uses the bandwidth of a saturated link.
package traffic

import (
	"context"
	"maps"
	"net"
	"sync"
)

// A Purpose classifies traffic.
type Purpose string

// The purposes of connections. Calls between hosts are counted by method; see [PeerPurpose].
const (
	Callers Purpose = "callers"
	Workers Purpose = "workers"
	Store   Purpose = "store"
	Advisor Purpose = "advisor"
)

// PeerPurpose returns the purpose of calls between hosts to the given method. The empty method
// stands for replies to abandoned calls and for calls to unknown methods.
func PeerPurpose(method string) Purpose {
	return Purpose("peer " + method)
}

// A Count is the number of bytes sent and received.
type Count struct {
	Sent     uint64
	Received uint64
}

// A Counter counts bytes by purpose. The zero value is ready to use. It is safe for
// concurrent use.
type Counter struct {
	mu     sync.Mutex
	counts map[Purpose]Count
}

// Add adds to the count of a purpose.
func (c *Counter) Add(p Purpose, sent, received int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[Purpose]Count{}
	}
	n := c.counts[p]
	n.Sent += uint64(sent)
	n.Received += uint64(received)
	c.counts[p] = n
}

// Counts returns a copy of the counts.
func (c *Counter) Counts() map[Purpose]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// A Dialer opens connections, like the method [net.Dialer.DialContext].
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer that counts the bytes of the connections opened by d.
func (c *Counter) Dialer(p Purpose, d Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.conn(p, inner), nil
	}
}

// Listener returns a listener that counts the bytes of the connections accepted by l.
func (c *Counter) Listener(p Purpose, l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		counter:  c,
		purpose:  p,
	}
}

type listener struct {
	net.Listener
	counter *Counter
	purpose Purpose
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.conn(l.purpose, c), nil
}

func (c *Counter) conn(p Purpose, inner net.Conn) net.Conn {
	return &conn{
		Conn:    inner,
		counter: c,
		purpose: p,
	}
}

type conn struct {
	net.Conn
	counter *Counter
	purpose Purpose
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Add(c.purpose, 0, n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Add(c.purpose, n, 0)
	return n, err
}
