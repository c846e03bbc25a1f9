package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
)

// A link makes the calls to one host over a single connection, which is dialed on
// demand.
type link struct {
	node    *Node
	host    spoolsill.HostID
	address string

	dialMu   ctxMutex // held while dialing
	mu       sync.Mutex
	conn     *linkConn
	lastUsed time.Time // last use of conn
	pending  map[uint64]pendingCall
}

// A pendingCall is a call in flight. reply is closed when the connection is lost.
type pendingCall struct {
	method string
	reply  chan *message
}

// A linkConn is a connection of a link, with the detection of a silent remote side.
type linkConn struct {
	*connWriter
	silence silenceDetector
}

func (l *link) call(ctx context.Context, method string, body []byte) (*message, error) {
	w, err := l.open(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, l.host, err)
	}
	started := time.Now()
	shortTimeout := hasShortTimeout(ctx)
	id := l.node.lastID.Add(1)
	reply := l.register(w, id, method)
	if reply == nil {
		return nil, fmt.Errorf("%w: %s: connection closed", ErrUnreachable, l.host)
	}
	defer l.unregister(id)
	err = w.send(ctx, &message{
		Kind:   messageCall,
		ID:     id,
		Method: method,
		Body:   body,
	}, func(err error) { l.writeFinished(w, err) })
	switch {
	case errors.Is(err, errNotWritten):
		if shortTimeout {
			l.dropIfSilent(w, started)
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, l.host, err)
	case errors.Is(err, errWritePending):
		return nil, fmt.Errorf("%w: %s: %w: %w", ErrReplyLost, l.host, err, context.DeadlineExceeded)
	case err != nil:
		l.drop(w)
		return nil, fmt.Errorf("%w: %s: %w", ErrReplyLost, l.host, err)
	}
	written := time.Now()
	select {
	case m, ok := <-reply:
		if !ok {
			return nil, fmt.Errorf("%w: %s: connection closed", ErrReplyLost, l.host)
		}
		return m, nil
	case <-ctx.Done():
		if shortTimeout {
			l.dropIfSilent(w, written)
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrReplyLost, l.host, ctx.Err())
	}
}

// dropIfSilent records that a call sent at since timed out, and drops the connection if
// it has been silent for silenceTimeout.
func (l *link) dropIfSilent(w *linkConn, since time.Time) {
	if !w.silence.callTimedOut(since, time.Now()) {
		return
	}
	l.node.report(w.conn, errSilent)
	l.drop(w)
}

// writeFinished handles the result of a write that continued after its caller's deadline: an
// error drops the connection.
func (l *link) writeFinished(w *linkConn, err error) {
	if err != nil {
		l.node.report(w.conn, err)
		l.drop(w)
	}
}

// open returns the current connection, dialing one if necessary.
func (l *link) open(ctx context.Context) (*linkConn, error) {
	if w := l.current(); w != nil {
		return w, nil
	}
	if err := l.dialMu.lock(ctx); err != nil {
		return nil, err
	}
	defer l.dialMu.unlock()
	if w := l.current(); w != nil {
		return w, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultDialTimeout)
	defer cancel()
	c, err := l.node.config.Dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	w := &linkConn{
		connWriter: newConnWriter(l.node, c),
	}
	l.mu.Lock()
	l.conn = w
	l.pending = map[uint64]pendingCall{}
	l.mu.Unlock()
	go l.read(w)
	return w, nil
}

// current returns the connection for a call that is about to be made, or nil if there is
// none. It closes a connection that has been idle for so long that the remote side may be
// closing it.
func (l *link) current() *linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.conn != nil && len(l.pending) == 0 && now.Sub(l.lastUsed) >= linkIdleTimeout {
		_ = l.conn.conn.Close()
		l.node.compressors.release(l.conn.connWriter)
		l.conn = nil
	}
	l.lastUsed = now
	return l.conn
}

// register registers a call and returns the channel for its reply, or nil if w is no
// longer the current connection.
func (l *link) register(w *linkConn, id uint64, method string) chan *message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != w {
		return nil
	}
	c := make(chan *message, 1)
	l.pending[id] = pendingCall{
		method: method,
		reply:  c,
	}
	return c
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

func (l *link) read(w *linkConn) {
	r := bufio.NewReader(&countingReader{
		node: l.node,
		from: &silenceReader{
			from:    w.conn,
			silence: &w.silence,
		},
	})
	frames := frameReader{
		from: r,
	}
	for {
		m, err := frames.read()
		if err != nil {
			l.node.report(w.conn, err)
			l.drop(w)
			return
		}
		l.node.config.Clock.Observe(m.Timestamp)
		w.received(m)
		l.deliver(w, m)
	}
}

func (l *link) deliver(w *linkConn, m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != w {
		return
	}
	p, ok := l.pending[m.ID]
	l.node.config.OnMessage(p.method, 0, m.length)
	if !ok {
		return
	}
	delete(l.pending, m.ID)
	p.reply <- m
}

// drop closes w and fails the calls in flight on it.
func (l *link) drop(w *linkConn) {
	_ = w.conn.Close()
	l.node.compressors.release(w.connWriter)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != w {
		return
	}
	l.conn = nil
	for _, p := range l.pending {
		close(p.reply)
	}
	l.pending = nil
}

func (l *link) close() {
	w := l.current()
	if w == nil {
		return
	}
	l.drop(w)
}
