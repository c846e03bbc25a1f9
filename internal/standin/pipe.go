package standin

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// A pipe is one end of an in-memory connection. Each direction is buffered like
// that of a socket: a write returns before the other end reads, and data written
// before a close can still be read.
type pipe struct {
	address memoryAddr
	in, out *stream
	read    deadline
	write   deadline
}

func newPipe(address string) (near, far net.Conn) {
	a, b := newStream(), newStream()
	return &pipe{
			address: memoryAddr(address),
			in:      a,
			out:     b,
		}, &pipe{
			address: memoryAddr(address),
			in:      b,
			out:     a,
		}
}

// pipeBuffer is the buffer size of each direction in bytes.
const pipeBuffer = 256 << 10

// A stream is one direction of a pipe.
type stream struct {
	mu     sync.Mutex
	data   []byte
	closed bool
	change chan struct{} // closed by the next notifyAll
}

func newStream() *stream {
	return &stream{
		change: make(chan struct{}),
	}
}

// notifyAll wakes all waiting readers and writers. s.mu must be held.
func (s *stream) notifyAll() {
	close(s.change)
	s.change = make(chan struct{})
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.notifyAll()
}

// Read implements net.Conn.
func (p *pipe) Read(b []byte) (int, error) {
	for {
		expired := p.read.wait()
		p.in.mu.Lock()
		if len(p.in.data) > 0 {
			k := copy(b, p.in.data)
			p.in.data = p.in.data[k:]
			p.in.notifyAll()
			p.in.mu.Unlock()
			return k, nil
		}
		closed, change := p.in.closed, p.in.change
		p.in.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		select {
		case <-change:
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) {
	done := 0
	for {
		expired := p.write.wait()
		p.out.mu.Lock()
		if p.out.closed {
			p.out.mu.Unlock()
			return done, io.ErrClosedPipe
		}
		k := min(len(b)-done, pipeBuffer-len(p.out.data))
		if k > 0 {
			p.out.data = append(p.out.data, b[done:done+k]...)
			done += k
			p.out.notifyAll()
		}
		change := p.out.change
		p.out.mu.Unlock()
		if done == len(b) {
			return done, nil
		}
		select {
		case <-change:
		case <-expired:
			return done, os.ErrDeadlineExceeded
		}
	}
}

// Close implements net.Conn.
func (p *pipe) Close() error {
	p.in.close()
	p.out.close()
	return nil
}

// LocalAddr implements net.Conn.
func (p *pipe) LocalAddr() net.Addr { return p.address }

// RemoteAddr implements net.Conn.
func (p *pipe) RemoteAddr() net.Addr { return p.address }

// SetDeadline implements net.Conn.
func (p *pipe) SetDeadline(t time.Time) error {
	p.read.set(t)
	p.write.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (p *pipe) SetReadDeadline(t time.Time) error {
	p.read.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (p *pipe) SetWriteDeadline(t time.Time) error {
	p.write.set(t)
	return nil
}

// A deadline closes a channel at a time that can be changed. A change also
// applies to goroutines that already wait on the channel.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

// wait returns a channel that is closed when the deadline expires.
func (d *deadline) wait() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	return d.expired
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired // the timer has fired; wait until its function has closed the channel
	}
	d.timer = nil
	closed := isClosed(d.expired)
	wait := time.Until(t)
	if !t.IsZero() && wait <= 0 {
		if !closed {
			close(d.expired)
		}
		return
	}
	if closed {
		d.expired = make(chan struct{})
	}
	if !t.IsZero() {
		expired := d.expired
		d.timer = time.AfterFunc(wait, func() { close(expired) })
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
