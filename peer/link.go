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

// A link makes the calls to one host over one connection, which is opened
// when it is needed.
type link struct {
	node    *Node
	host    spoolsill.HostID
	address string

	dialing gate // held while a connection is opened
	mu      sync.Mutex
	conn    *linkConn
	used    time.Time // when conn was asked for last
	waiting map[uint64]pending
}

// A pending call waits for its reply.
type pending struct {
	method string
	reply  chan *message
}

// A linkConn is a connection of a link.
type linkConn struct {
	*connWriter
	silence silence
}

func (l *link) call(ctx context.Context, method string, body []byte) (*message, error) {
	w, err := l.open(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, l.host, err)
	}
	begun := time.Now()
	short := waitsBriefly(ctx)
	id := l.node.ids.Add(1)
	reply := l.expect(w, id, method)
	if reply == nil {
		return nil, fmt.Errorf("%w: %s: connection closed", ErrUnreachable, l.host)
	}
	defer l.forget(id)
	err = w.send(ctx, &message{
		Kind:   messageCall,
		ID:     id,
		Method: method,
		Body:   body,
	}, func(err error) { l.rest(w, err) })
	switch {
	case errors.Is(err, errNotWritten):
		if short {
			l.dropSilent(w, begun)
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, l.host, err)
	case errors.Is(err, errUnderWay):
		return nil, fmt.Errorf("%w: %s: %w: %w", ErrLost, l.host, err, context.DeadlineExceeded)
	case err != nil:
		l.drop(w)
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, l.host, err)
	}
	written := time.Now()
	select {
	case m, ok := <-reply:
		if !ok {
			return nil, fmt.Errorf("%w: %s: connection closed", ErrLost, l.host)
		}
		return m, nil
	case <-ctx.Done():
		if short {
			l.dropSilent(w, written)
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrLost, l.host, ctx.Err())
	}
}

// dropSilent gives a connection up on which calls have been waited for in vain for
// long, the latest since some time.
func (l *link) dropSilent(w *linkConn, since time.Time) {
	if !w.silence.inVain(since, time.Now()) {
		return
	}
	l.node.report(w.conn, errSilent)
	l.drop(w)
}

// rest takes in how the writing of a call has ended whose caller has given up.
func (l *link) rest(w *linkConn, err error) {
	if err != nil {
		l.node.report(w.conn, err)
		l.drop(w)
	}
}

// open returns the connection, and opens it first when there is none.
func (l *link) open(ctx context.Context) (*linkConn, error) {
	if w := l.current(); w != nil {
		return w, nil
	}
	if err := l.dialing.enter(ctx); err != nil {
		return nil, err
	}
	defer l.dialing.leave()
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
	l.waiting = map[uint64]pending{}
	l.mu.Unlock()
	go l.read(w)
	return w, nil
}

// current returns the connection if there is one that the other side surely keeps.
func (l *link) current() *linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.conn != nil && len(l.waiting) == 0 && now.Sub(l.used) >= linkIdle {
		_ = l.conn.conn.Close()
		l.conn = nil
	}
	l.used = now
	return l.conn
}

// expect returns the channel for the reply to a call, or nil when w is no
// longer the connection.
func (l *link) expect(w *linkConn, id uint64, method string) chan *message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != w {
		return nil
	}
	c := make(chan *message, 1)
	l.waiting[id] = pending{
		method: method,
		reply:  c,
	}
	return c
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *link) read(w *linkConn) {
	r := bufio.NewReader(&countingReader{
		node: l.node,
		from: &listeningReader{
			from:    w.conn,
			silence: &w.silence,
		},
	})
	for {
		m, err := readMessage(r)
		if err != nil {
			l.node.report(w.conn, err)
			l.drop(w)
			return
		}
		l.node.config.Clock.Observe(m.Stamp)
		l.deliver(w, m)
	}
}

func (l *link) deliver(w *linkConn, m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != w {
		return
	}
	p, ok := l.waiting[m.ID]
	l.node.config.Observe(p.method, 0, m.length)
	if !ok {
		return
	}
	delete(l.waiting, m.ID)
	p.reply <- m
}

// drop closes w and tells all who wait on it.
func (l *link) drop(w *linkConn) {
	_ = w.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != w {
		return
	}
	l.conn = nil
	for _, p := range l.waiting {
		close(p.reply)
	}
	l.waiting = nil
}

func (l *link) close() {
	w := l.current()
	if w == nil {
		return
	}
	l.drop(w)
}
