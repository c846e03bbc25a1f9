// Package traffic counts the bytes that a host exchanges over its link, by purpose and
// direction: a link that is full says nothing of what fills it.
package traffic

import (
	"context"
	"maps"
	"net"
	"sync"
)

// A Purpose is what bytes are exchanged for.
type Purpose string

// The purposes of connections. Calls between hosts are counted by method, see [Peer].
const (
	Callers Purpose = "callers"
	Workers Purpose = "workers"
	Store   Purpose = "store"
	Advisor Purpose = "advisor"
)

// Peer returns the purpose of the calls between hosts of a method. The empty one is of
// replies that nobody waits for any more, and of calls that no host answers.
func Peer(method string) Purpose {
	return Purpose("peer " + method)
}

// A Count is how many bytes were sent and received.
type Count struct {
	Sent     uint64
	Received uint64
}

// An Account keeps a count for each purpose. It is safe for concurrent use.
type Account struct {
	mu     sync.Mutex
	counts map[Purpose]Count
}

// Add counts bytes.
func (a *Account) Add(p Purpose, sent, received int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.counts == nil {
		a.counts = map[Purpose]Count{}
	}
	c := a.counts[p]
	c.Sent += uint64(sent)
	c.Received += uint64(received)
	a.counts[p] = c
}

// Counts returns the counts up to now.
func (a *Account) Counts() map[Purpose]Count {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.counts)
}

// A Dialer opens connections.
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer whose connections are counted.
func (a *Account) Dialer(p Purpose, d Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return a.conn(p, c), nil
	}
}

// Listener returns a listener whose connections are counted.
func (a *Account) Listener(p Purpose, l net.Listener) net.Listener {
	return &listener{
		Listener: l,
		account:  a,
		purpose:  p,
	}
}

type listener struct {
	net.Listener
	account *Account
	purpose Purpose
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.account.conn(l.purpose, c), nil
}

func (a *Account) conn(p Purpose, c net.Conn) net.Conn {
	return &conn{
		Conn:    c,
		account: a,
		purpose: p,
	}
}

type conn struct {
	net.Conn
	account *Account
	purpose Purpose
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.account.Add(c.purpose, 0, n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.account.Add(c.purpose, n, 0)
	return n, err
}
