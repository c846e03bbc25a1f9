package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
)

// A largeReply is a reply that counts how often it is encoded.
type largeReply struct {
	body    []byte
	encoded *atomic.Int64
}

// EncodeMsgpack implements [msgpack.CustomEncoder].
func (r largeReply) EncodeMsgpack(e *msgpack.Encoder) error {
	r.encoded.Add(1)
	return e.EncodeBytes(r.body)
}

// Guards against replies to abandoned calls that stay in memory or are still sent: over a
// link too slow for them, a later call would wait behind them instead of being answered at
// once.
func TestAbandonedCallsDoNotFillASlowLink(t *testing.T) {
	const (
		interval  = 150 * time.Millisecond
		timeout   = 300 * time.Millisecond
		calls     = 70
		replySize = 1 << 20 // takes 0.84 s on the link
		// maxInFlight is the number of calls in flight at once, plus the one whose reply is
		// being sent.
		maxInFlight = int(timeout/interval) + 2
	)
	synctest.Test(t, func(t *testing.T) {
		a, b := nodesOver(t, newNetwork(slowLinkRate), peer.Config{})
		var encoded atomic.Int64
		large := largeReply{
			body:    make([]byte, replySize),
			encoded: &encoded,
		}
		peer.Handle(b, "large", func(context.Context, peer.Caller, request) (largeReply, error) {
			return large, nil
		})
		peer.Handle(b, "echo", echo)
		var wg sync.WaitGroup
		peak := 0
		for range calls {
			wg.Go(func() {
				_, _ = callWithin[[]byte](t, a, timeout, "large", request{})
			})
			pause.For(t.Context(), interval)
			peak = max(peak, b.InFlight())
		}
		wg.Wait()
		qt.Check(t, peak <= maxInFlight, qt.IsTrue, qt.Commentf("%d calls being handled, want at most %d", peak, maxInFlight))
		start := time.Now()
		r, err := callWithin[reply](t, a, 2*time.Minute, "echo", request{
			Number: 3,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Number, qt.Equals, 3)
		qt.Check(t, time.Since(start) < time.Second, qt.IsTrue, qt.Commentf("answered after %s", time.Since(start)))
		sent, _ := b.Traffic()
		pause.For(t.Context(), 5*time.Second)
		later, _ := b.Traffic()
		qt.Check(t, uint64(encoded.Load()), qt.Equals, later/replySize)
		qt.Check(t, later, qt.Equals, sent)
		qt.Check(t, b.InFlight(), qt.Equals, 0)
	})
}

// Guards against abandoned calls that occupy handlers: a handler's context must be done
// when its caller's timeout expires.
func TestHandlerContextEndsWithCallerTimeout(t *testing.T) {
	const (
		handlers = 4
		timeout  = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		a, b := nodesOver(t, newNetwork(0), peer.Config{
			Handlers: handlers,
		})
		var handlerDuration atomic.Int64
		peer.Handle(b, "hang", func(ctx context.Context, _ peer.Caller, _ request) (reply, error) {
			start := time.Now()
			<-ctx.Done()
			handlerDuration.Store(int64(time.Since(start)))
			return reply{}, ctx.Err()
		})
		peer.Handle(b, "echo", echo)
		var wg sync.WaitGroup
		for range handlers {
			wg.Go(func() {
				_, err := callWithin[reply](t, a, timeout, "hang", request{})
				qt.Check(t, errors.Is(err, peer.ErrReplyLost), qt.IsTrue)
			})
		}
		wg.Wait()
		pause.For(t.Context(), time.Millisecond)
		_, err := callWithin[reply](t, a, timeout, "echo", request{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, time.Duration(handlerDuration.Load()), qt.Equals, timeout)
	})
}

// Guards against calls that outlast their deadline while the remote side does not read,
// and against a connection that is kept although its writes are stuck.
func TestCallTimesOutWhenServerDoesNotRead(t *testing.T) {
	const timeout = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		a, b := nodesOver(t, n, peer.Config{})
		peer.Handle(b, "echo", echo)
		n.stalled.Store(true)
		start := time.Now()
		// No byte of these calls is written, so they were certainly not received.
		for i := range 4 {
			_, err := callWithin[reply](t, a, timeout, "echo", request{})
			qt.Check(t, errors.Is(err, peer.ErrUnreachable), qt.IsTrue)
			qt.Check(t, time.Since(start), qt.Equals, time.Duration(i+1)*timeout)
		}
		n.stalled.Store(false)
		_, err := callWithin[reply](t, a, timeout, "echo", request{})
		qt.Check(t, err, qt.IsNil)
	})
}

// Guards against handlers that stay blocked on a caller that does not read its replies:
// the connection must be closed after the write timeout.
func TestReplyTimesOutWhenCallerDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		_, b := nodesOver(t, n, peer.Config{})
		peer.Handle(b, "echo", echo)
		c, err := n.dial(t.Context(), "b")
		qt.Assert(t, err, qt.IsNil)
		for i := range 3 {
			_, err = c.Write(frame(t, legacyCall{
				Kind:   1,
				ID:     uint64(i),
				Method: "echo",
				Body:   encoded(t, request{}),
			}))
			qt.Assert(t, err, qt.IsNil)
		}
		pause.For(t.Context(), peer.DefaultWriteTimeout+time.Millisecond)
		qt.Check(t, b.InFlight(), qt.Equals, 0)
		_, err = c.Write([]byte{0})
		qt.Check(t, errors.Is(err, io.ErrClosedPipe), qt.IsTrue)
	})
}

// Guards against a write timeout that covers a whole message: a long reply over a slow
// link must arrive as long as the write makes progress.
func TestLongReplyOverSlowLink(t *testing.T) {
	const replySize = 7_500_000 // takes 6 s on the link, longer than peer.DefaultWriteTimeout
	synctest.Test(t, func(t *testing.T) {
		a, b := nodesOver(t, newNetwork(slowLinkRate), peer.Config{})
		peer.Handle(b, "large", func(context.Context, peer.Caller, request) ([]byte, error) {
			return make([]byte, replySize), nil
		})
		r, err := callWithin[[]byte](t, a, 10*time.Second, "large", request{})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(r), qt.Equals, replySize)
	})
}

// Guards against a message above MaxFrame that closes the connection: only its call must
// fail.
func TestTooLongMessageKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		a, b := nodesOver(t, n, peer.Config{})
		peer.Handle(b, "large", func(context.Context, peer.Caller, request) ([]byte, error) {
			return make([]byte, peer.MaxFrame), nil
		})
		_, err := callWithin[[]byte](t, a, time.Second, "large", request{})
		qt.Check(t, peer.IsCode(err, peer.CodeInternal), qt.IsTrue, qt.Commentf("%v", err))
		_, err = callWithin[reply](t, a, time.Second, "large", make([]byte, peer.MaxFrame))
		qt.Check(t, errors.Is(err, peer.ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, n.dials(), qt.Equals, 1)
	})
}

// Guards against a connection that died without being closed and is used indefinitely,
// and against a drop of one whose handlers are merely slow.
func TestSilentConnectionIsReplaced(t *testing.T) {
	const (
		interval = 150 * time.Millisecond
		timeout  = 300 * time.Millisecond
		// recoveryTime is peer's silence timeout and the calls before and after it.
		recoveryTime = time.Second + 2*(timeout+interval)
	)
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		a, b := nodesOver(t, n, peer.Config{})
		peer.Handle(b, "echo", echo)
		peer.Handle(b, "slow", func(ctx context.Context, _ peer.Caller, q request) (reply, error) {
			pause.For(context.WithoutCancel(ctx), 5*timeout)
			return reply(q), nil
		})
		for range 20 {
			_, err := callWithin[reply](t, a, timeout, "slow", request{})
			qt.Assert(t, errors.Is(err, peer.ErrReplyLost), qt.IsTrue)
			_, err = callWithin[reply](t, a, timeout, "echo", request{})
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, n.dials(), qt.Equals, 1)
		n.silence()
		start := time.Now()
		for time.Since(start) < time.Minute {
			if _, err := callWithin[reply](t, a, timeout, "echo", request{}); err == nil {
				break
			}
			pause.For(t.Context(), interval)
		}
		qt.Check(t, time.Since(start) < recoveryTime, qt.IsTrue, qt.Commentf("answered after %s", time.Since(start)))
		qt.Check(t, n.dials(), qt.Equals, 2)
	})
}

// legacyCall is a call as sent by hosts of an older version, which has no timeout.
type legacyCall struct {
	Kind   uint8              `msgpack:"k"`
	ID     uint64             `msgpack:"i"`
	Method string             `msgpack:"m,omitempty"`
	From   string             `msgpack:"f,omitempty"`
	Body   msgpack.RawMessage `msgpack:"b,omitempty"`
}

func encoded(t *testing.T, v any) []byte {
	b, err := msgpack.Marshal(v)
	qt.Assert(t, err, qt.IsNil)
	return b
}

func frame(t *testing.T, v any) []byte {
	b := encoded(t, v)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

func readFrame(t *testing.T, r io.Reader, v any) {
	var header [4]byte
	_, err := io.ReadFull(r, header[:])
	qt.Assert(t, err, qt.IsNil)
	body := make([]byte, binary.BigEndian.Uint32(header[:]))
	_, err = io.ReadFull(r, body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, msgpack.NewDecoder(bytes.NewReader(body)).Decode(v), qt.IsNil)
}

// Guards the compatibility with hosts of an older version: their calls carry no timeout
// and must be handled without one, and they must be able to decode calls that carry one.
func TestCallsWithoutTimeoutOfOlderHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		_, b := nodesOver(t, n, peer.Config{})
		hasDeadline := true
		peer.Handle(b, "wait", func(ctx context.Context, _ peer.Caller, q request) (reply, error) {
			_, hasDeadline = ctx.Deadline()
			pause.For(ctx, time.Minute)
			return reply(q), ctx.Err()
		})
		c, err := n.dial(t.Context(), "b")
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Write(frame(t, legacyCall{
			Kind:   1,
			ID:     7,
			Method: "wait",
			From:   "former",
			Body: encoded(t, request{
				Number: 5,
			}),
		}))
		qt.Assert(t, err, qt.IsNil)
		var r legacyCall
		readFrame(t, c, &r)
		qt.Check(t, r.ID, qt.Equals, uint64(7))
		qt.Check(t, r.Kind, qt.Equals, uint8(2))
		qt.Check(t, hasDeadline, qt.IsFalse)

		local, remote := net.Pipe()
		caller := peer.NewNode(peer.Config{
			Host: "c",
			Addresses: map[spoolsill.HostID]string{
				"b": "b",
			},
			Dial: func(context.Context, string) (net.Conn, error) { return local, nil },
		})
		defer caller.Close()
		go func() { _, _ = callWithin[reply](t, caller, time.Second, "wait", request{}) }()
		var q legacyCall
		readFrame(t, remote, &q)
		qt.Check(t, q.Method, qt.Equals, "wait")
		qt.Check(t, q.Kind, qt.Equals, uint8(1))
		_ = remote.Close()
	})
}

// Guards against idle connections that the accepting side keeps indefinitely, also in the
// middle of a message, and against a close of those that receive data or have a call in
// progress.
func TestIdleConnectionIsClosedByServer(t *testing.T) {
	const idle = time.Minute
	call := frame(t, legacyCall{
		Kind:   1,
		ID:     1,
		Method: "wait",
		Body: encoded(t, request{
			Number: 5,
		}),
	})
	for name, c := range map[string]struct {
		pieces      [][]byte
		interval    time.Duration
		minLifetime time.Duration
		wantReply   bool
	}{
		"nothing": {
			minLifetime: idle,
		},
		"half a message": {
			pieces:      [][]byte{call[:9]},
			minLifetime: idle,
		},
		"a message in two pieces": {
			pieces:      [][]byte{call[:9], call[9:]},
			interval:    idle - time.Second,
			minLifetime: idle - time.Second,
			wantReply:   true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(0)
				_, b := nodesOver(t, n, peer.Config{})
				peer.Handle(b, "wait", func(ctx context.Context, _ peer.Caller, q request) (reply, error) {
					pause.For(ctx, 3*idle+time.Second)
					return reply(q), ctx.Err()
				})
				x, err := n.dial(t.Context(), "b")
				qt.Assert(t, err, qt.IsNil)
				start := time.Now()
				for i, piece := range c.pieces {
					if i > 0 {
						pause.For(t.Context(), c.interval)
					}
					_, err = x.Write(piece)
					qt.Assert(t, err, qt.IsNil)
				}
				if c.wantReply {
					var r legacyCall
					readFrame(t, x, &r)
					qt.Check(t, r.ID, qt.Equals, uint64(1))
				}
				// The server, not the client, must be the one to end the wait.
				qt.Assert(t, x.SetReadDeadline(time.Now().Add(time.Hour)), qt.IsNil)
				_, err = x.Read(make([]byte, 1))
				qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(start) >= c.minLifetime, qt.IsTrue)
				qt.Check(t, time.Since(start) < 6*idle, qt.IsTrue)
			})
		})
	}
}

// Guards against calls over a connection that the accepting side is about to close as
// idle: an idle link must dial a new one before that.
func TestIdleLinkDialsNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		a, b := nodesOver(t, n, peer.Config{})
		peer.Handle(b, "echo", echo)
		for range 20 {
			_, err := callWithin[reply](t, a, time.Second, "echo", request{})
			qt.Assert(t, err, qt.IsNil)
			pause.For(t.Context(), 10*time.Second)
		}
		qt.Check(t, n.dials(), qt.Equals, 1)
		pause.For(t.Context(), 50*time.Second)
		_, err := callWithin[reply](t, a, time.Second, "echo", request{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, n.dials(), qt.Equals, 2)
	})
}

// A failingListener fails its first calls of Accept, as when too many files are open.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// Guards against a Serve that returns after a temporary error of Accept.
func TestServeContinuesAfterAcceptError(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := &failingListener{
		Listener: inner,
	}
	l.failures.Store(2)
	var reported atomic.Int64
	b := peer.NewNode(peer.Config{
		Host:   "b",
		Report: func(string, error) { reported.Add(1) },
	})
	peer.Handle(b, "echo", echo)
	served := make(chan error, 1)
	go func() { served <- b.Serve(ctx, l) }()
	a := peer.NewNode(peer.Config{
		Host: "a",
		Addresses: map[spoolsill.HostID]string{
			"b": inner.Addr().String(),
		},
	})
	defer a.Close()
	_, err = peer.Call[reply](ctx, a, "b", "echo", request{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reported.Load(), qt.Equals, int64(2))
	cancel()
	qt.Assert(t, <-served, qt.IsNil)
}

// A lateListener accepts one connection, just after the listener is closed.
type lateListener struct {
	net.Listener
	conn   net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	return l.conn, nil
}

// Close implements net.Listener.
func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// Guards against a connection that is accepted during shutdown and stays open: its caller
// kept calling a host that had terminated.
func TestConnectionAcceptedDuringShutdownIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		qt.Assert(t, local.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		b := peer.NewNode(peer.Config{
			Host: "b",
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := b.Serve(ctx, &lateListener{
			conn:   remote,
			closed: make(chan struct{}),
		})
		qt.Assert(t, err, qt.IsNil)
		_, err = local.Read(make([]byte, 1))
		qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
		_ = local.Close()
		_ = remote.Close()
	})
}

// Guards against a silent connection that is kept indefinitely because the timeout of its
// calls equals the silence timeout.
func TestSilentConnectionIsReplacedWithOneSecondTimeouts(t *testing.T) {
	const timeout = time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		a, b := nodesOver(t, n, peer.Config{})
		peer.Handle(b, "echo", echo)
		_, err := callWithin[reply](t, a, timeout, "echo", request{})
		qt.Assert(t, err, qt.IsNil)
		n.silence()
		start := time.Now()
		for time.Since(start) < time.Minute {
			if _, err := callWithin[reply](t, a, timeout, "echo", request{}); err == nil {
				break
			}
		}
		qt.Check(t, time.Since(start) <= 2*timeout, qt.IsTrue, qt.Commentf("answered after %s", time.Since(start)))
		qt.Check(t, n.dials(), qt.Equals, 2)
	})
}
