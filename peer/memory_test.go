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

// slowLink is the rate of the slow line, in bytes a second: 10 Mbit/s.
const slowLink = 1_250_000

// readMost is the most that is read at once, in bytes.
const readMost = 8 << 10

// A line carries connections in memory from one node to another.
type line struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	// rate at which the calling side takes bytes, each second; 0 means any.
	rate int
	// deaf has the answering side take nothing.
	deaf atomic.Bool
	mu   sync.Mutex
	near []*nearEnd
}

func newLine(rate int) *line {
	return &line{
		accepted: make(chan net.Conn),
		closed:   make(chan struct{}),
		rate:     rate,
	}
}

func (l *line) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	e := &nearEnd{
		Conn: near,
		rate: l.rate,
	}
	l.mu.Lock()
	l.near = append(l.near, e)
	l.mu.Unlock()
	if l.deaf.Load() {
		return e, nil
	}
	select {
	case l.accepted <- far:
		return e, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence has all connections of now say nothing more, for good.
func (l *line) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.near {
		e.silent.Store(true)
	}
}

// dials returns how many connections were opened.
func (l *line) dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.near)
}

// Accept implements [net.Listener].
func (l *line) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *line) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements [net.Listener].
func (l *line) Addr() net.Addr {
	return &net.TCPAddr{}
}

// A nearEnd is the calling side's end of a connection.
type nearEnd struct {
	net.Conn
	rate   int
	silent atomic.Bool
}

// Read implements [net.Conn]. What comes on a silent connection is lost, as on
// one whose other end is gone behind something that still takes its bytes.
func (e *nearEnd) Read(b []byte) (int, error) {
	for {
		n, err := e.Conn.Read(b[:min(len(b), readMost)])
		if e.rate > 0 {
			pause.For(context.Background(), time.Duration(n)*time.Second/time.Duration(e.rate))
		}
		if err != nil || !e.silent.Load() {
			return n, err
		}
	}
}

// overLine returns a node that calls and one that answers as host "b".
func overLine(t *testing.T, l *line, c peer.Config) (a, b *peer.Node) {
	c.Host = "b"
	b = peer.NewNode(c)
	a = peer.NewNode(peer.Config{
		Host: "a",
		Addresses: map[spoolsill.HostID]string{
			"b": "b",
		},
		Dial: l.dial,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := b.Serve(ctx, l); err != nil {
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

// echo answers a question with its number.
func echo(_ context.Context, _ peer.Caller, q question) (answer, error) {
	return answer(q), nil
}

// callWithin makes a call that is given up after a while.
func callWithin[R, Q any](t *testing.T, n *peer.Node, limit time.Duration, method string, q Q) (R, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return peer.Call[R](ctx, n, "b", method, q)
}
