package soak

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// A Mode is how a proxy treats its connections.
type Mode uint8

// The modes of a proxy.
const (
	Pass    Mode = iota
	Delay        // data is delayed
	Reset        // open and new connections are reset
	Silence      // data is held back in both directions
	OneWay       // answers are held back
)

var modeNames = [...]string{"pass", "delay", "reset", "silence", "one-way"}

// String returns the mode's name.
func (m Mode) String() string {
	return modeNames[m]
}

const (
	// addedDelay is the delay of each chunk in mode Delay.
	addedDelay = 300 * time.Millisecond
	// chunkBytes is the largest amount of data that is forwarded at once.
	chunkBytes = 16 << 10
	// modePollInterval is the interval at which the mode is checked while data is held back.
	modePollInterval = 20 * time.Millisecond
)

// A Proxy forwards TCP connections to a target and injects network faults. It is safe for
// concurrent use.
type Proxy struct {
	target string
	path   Path

	mu    sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]bool
}

// NewProxy returns a proxy that forwards the connections of a listener, at the rate of the
// path, until ctx ends.
func NewProxy(ctx context.Context, l net.Listener, target string, path Path) *Proxy {
	p := &Proxy{
		target: target,
		path:   path,
		conns:  map[*net.TCPConn]bool{},
	}
	context.AfterFunc(ctx, func() {
		_ = l.Close()
		p.Set(Reset)
	})
	go p.accept(ctx, l)
	return p
}

// Set changes the mode, also for open connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != Reset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) accept(ctx context.Context, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in, ok := c.(*net.TCPConn)
		if !ok {
			_ = c.Close()
			continue
		}
		go p.serve(ctx, in)
	}
}

// track registers a connection for later resets. In mode Reset it resets the connection at
// once and returns false.
func (p *Proxy) track(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Reset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) untrack(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) serve(ctx context.Context, in *net.TCPConn) {
	if !p.track(in) {
		return
	}
	defer p.untrack(in)
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	out, ok := c.(*net.TCPConn)
	if !ok || !p.track(out) {
		return
	}
	defer p.untrack(out)
	if p.path.limited() {
		_ = in.SetReadBuffer(readBufferBytes)
		_ = out.SetReadBuffer(readBufferBytes)
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(ctx, in, out, false) })
	wg.Go(func() { p.forward(ctx, out, in, true) })
	wg.Wait()
}

// forward forwards one direction of a connection until either side ends.
func (p *Proxy) forward(ctx context.Context, from, to *net.TCPConn, toCaller bool) {
	defer func() { _ = to.CloseWrite() }()
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.forwardChunk(ctx, b[:n], to, toCaller) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forwardChunk forwards one chunk according to the mode, and returns false if the connection
// can't be used any more. Data that is held back is forwarded once the mode allows it, as
// after a network partition.
func (p *Proxy) forwardChunk(ctx context.Context, b []byte, to *net.TCPConn, toCaller bool) bool {
	if !p.path.transfer(ctx, len(b), toCaller) {
		return false
	}
	if p.currentMode() == Delay {
		wait(ctx, addedDelay)
	}
	for m := p.currentMode(); m == Silence || m == OneWay && toCaller; m = p.currentMode() {
		if !wait(ctx, modePollInterval) {
			return false
		}
	}
	_, err := to.Write(b)
	return err == nil || errors.Is(err, context.Canceled)
}

// wait waits for d, and returns false if ctx ends first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
