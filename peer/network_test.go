package peer_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
)

// slowLinkRate is the rate of a slow link in bytes per second: 10 Mbit/s.
const slowLinkRate = 1_250_000

// maxRead is the maximum size of a read in bytes.
const maxRead = 8 << 10

// A network is an in-memory network between a calling and a serving node, with faults.
type network struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	// rate limits the calling side's reads in bytes per second; 0 means no limit.
	rate int
	// stalled makes dial succeed with connections that are never accepted or read.
	stalled atomic.Bool
	mu      sync.Mutex
	conns   []*callerConn
}

func newNetwork(rate int) *network {
	return &network{
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
		rate:     rate,
	}
}

func (n *network) dial(ctx context.Context, _ string) (net.Conn, error) {
	local, remote := net.Pipe()
	c := &callerConn{
		Conn: local,
		rate: n.rate,
	}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	if n.stalled.Load() {
		return c, nil
	}
	select {
	case n.accepted <- remote:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence makes all current connections deliver nothing more to the calling side.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.conns {
		e.silent.Store(true)
	}
}

// dials returns the number of connections opened.
func (n *network) dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Accept implements [net.Listener].
func (n *network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accepted:
		return c, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (n *network) Close() error {
	n.once.Do(func() { close(n.closed) })
	return nil
}

// Addr implements [net.Listener].
func (n *network) Addr() net.Addr {
	return &net.TCPAddr{}
}

// A callerConn is the calling side's end of a connection.
type callerConn struct {
	net.Conn
	rate   int
	silent atomic.Bool
}

// Read implements [net.Conn]. A silent connection loses the data it receives, like one
// whose remote end has disappeared behind a middlebox that still accepts bytes.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b[:min(len(b), maxRead)])
		if c.rate > 0 {
			pause.For(context.Background(), time.Duration(n)*time.Second/time.Duration(c.rate))
		}
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// nodesOver returns a calling node and a node that serves as host "b", connected by n.
func nodesOver(t *testing.T, n *network, c peer.Config) (a, b *peer.Node) {
	c.Host = "b"
	b = peer.NewNode(c)
	a = peer.NewNode(peer.Config{
		Host: "a",
		Addresses: map[spoolsill.HostID]string{
			"b": "b",
		},
		Dial: n.dial,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := b.Serve(ctx, n); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		a.Close()
		cancel()
		<-done
	})
	return a, b
}

// echo is a handler that returns the number of the request.
func echo(_ context.Context, _ peer.Caller, q request) (reply, error) {
	return reply(q), nil
}

// callWithin calls a method of host "b" with a timeout.
func callWithin[R, Q any](t *testing.T, n *peer.Node, timeout time.Duration, method string, q Q) (R, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return peer.Call[R](ctx, n, "b", method, q)
}
