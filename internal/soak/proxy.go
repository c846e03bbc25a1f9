package soak

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// A Mode is what a proxy does to its connections.
type Mode uint8

// The modes of a proxy.
const (
	Pass    Mode = iota
	Delay        // everything comes later
	Reset        // connections are reset, new ones at once
	Silence      // nothing comes through, and nobody is told
	OneWay       // calls come through, answers don't
)

var modeNames = [...]string{"pass", "delay", "reset", "silence", "one-way"}

// String returns the mode's name.
func (m Mode) String() string {
	return modeNames[m]
}

const (
	// delayed is how much later each piece of data comes in mode Delay.
	delayed = 300 * time.Millisecond
	// pieceBytes is how much is passed on at once.
	pieceBytes = 16 << 10
	// silentStep is how often a silent connection looks whether it still is.
	silentStep = 20 * time.Millisecond
)

// A Proxy passes TCP connections on to a target and does harm to them. It is
// safe for concurrent use.
type Proxy struct {
	target string
	path   Path

	mu    sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]bool
}

// NewProxy passes on what comes to a listener, as fast as the path allows, until
// ctx ends.
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

// Set changes what the proxy does, also to open connections.
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

func (p *Proxy) now() Mode {
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

// keep has a connection reset with the others; it reports false when it is to
// be reset at once.
func (p *Proxy) keep(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == Reset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) drop(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) serve(ctx context.Context, in *net.TCPConn) {
	if !p.keep(in) {
		return
	}
	defer p.drop(in)
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	out, ok := c.(*net.TCPConn)
	if !ok || !p.keep(out) {
		return
	}
	defer p.drop(out)
	if p.path.limited() {
		_ = in.SetReadBuffer(windowBytes)
		_ = out.SetReadBuffer(windowBytes)
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(ctx, in, out, false) })
	wg.Go(func() { p.pump(ctx, out, in, true) })
	wg.Wait()
}

// pump passes one direction on until either side ends.
func (p *Proxy) pump(ctx context.Context, from, to *net.TCPConn, answers bool) {
	defer func() { _ = to.CloseWrite() }()
	b := make([]byte, pieceBytes)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.pass(ctx, b[:n], to, answers) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes one piece as the mode says. What a silent connection holds back
// comes through once it is no longer silent, as after a cut.
func (p *Proxy) pass(ctx context.Context, b []byte, to *net.TCPConn, answers bool) bool {
	if !p.path.carry(ctx, len(b), answers) {
		return false
	}
	if p.now() == Delay {
		wait(ctx, delayed)
	}
	for m := p.now(); m == Silence || m == OneWay && answers; m = p.now() {
		if !wait(ctx, silentStep) {
			return false
		}
	}
	_, err := to.Write(b)
	return err == nil || errors.Is(err, context.Canceled)
}

// wait returns false when ctx ends before d has passed.
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
