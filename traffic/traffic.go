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

// The purposes of connections. Calls between hosts are counted by method; see [Peer].
const (
	Callers Purpose = "callers"
	Workers Purpose = "workers"
	Store   Purpose = "store"
	Advisor Purpose = "advisor"
)

// Peer returns the purpose of calls between hosts to the given method. The empty method
// stands for replies to abandoned calls and for calls to unknown methods.
func Peer(method string) Purpose {
	return Purpose("peer " + method)
}

// A Count is the number of bytes sent and received.
type Count struct {
	Sent     uint64
	Received uint64
}

// An Account counts bytes by purpose. The zero value is ready to use. It is safe for
// concurrent use.
type Account struct {
	mu     sync.Mutex
	counts map[Purpose]Count
}

// Add adds to the count of a purpose.
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

// Counts returns a copy of the counts.
func (a *Account) Counts() map[Purpose]Count {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.counts)
}

// A Dialer opens connections, like the method [net.Dialer.DialContext].
type Dialer = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dialer that counts the bytes of the connections opened by d.
func (a *Account) Dialer(p Purpose, d Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return a.conn(p, c), nil
	}
}

// Listener returns a listener that counts the bytes of the connections accepted by l.
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
