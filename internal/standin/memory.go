package standin

import (
	"context"
	"net"
	"sync"
)

// A memoryListener is a net.Listener for in-memory connections.
type memoryListener struct {
	network *Network
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddr(l.address)
}

func (l *memoryListener) dial(ctx context.Context, network string, from, to Node) (net.Conn, error) {
	a, b := newPipe(l.address)
	near := l.network.track(a, from, to, from)
	far := l.network.track(b, from, to, to)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, dialError(network, net.ErrClosed)
	case <-ctx.Done():
		return nil, dialError(network, ctx.Err())
	}
}

type memoryAddr string

// Network implements net.Addr.
func (a memoryAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a memoryAddr) String() string { return string(a) }
