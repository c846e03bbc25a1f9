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

// A largeReply counts how often it is encoded.
type largeReply struct {
	body    []byte
	encoded *atomic.Int64
}

// EncodeMsgpack implements [msgpack.CustomEncoder].
func (r largeReply) EncodeMsgpack(e *msgpack.Encoder) error {
	r.encoded.Add(1)
	return e.EncodeBytes(r.body)
}

// Replies whose callers have given up are neither kept nor sent: over a line that
// is too slow for them a later call is answered at once, and not behind them.
func TestAbandonedCallsDoNotFillASlowLine(t *testing.T) {
	const (
		every = 150 * time.Millisecond
		limit = 300 * time.Millisecond
		calls = 70
		reply = 1 << 20 // takes 0.84 s on the line
		// handledMost is how many calls are waited for at once, and the reply
		// that is on its way.
		handledMost = int(limit/every) + 2
	)
	synctest.Test(t, func(t *testing.T) {
		a, b := overLine(t, newLine(slowLink), peer.Config{})
		var encoded atomic.Int64
		large := largeReply{
			body:    make([]byte, reply),
			encoded: &encoded,
		}
		peer.Handle(b, "large", func(context.Context, peer.Caller, question) (largeReply, error) {
			return large, nil
		})
		peer.Handle(b, "echo", echo)
		var wg sync.WaitGroup
		most := 0
		for range calls {
			wg.Go(func() {
				_, _ = callWithin[[]byte](t, a, limit, "large", question{})
			})
			pause.For(t.Context(), every)
			most = max(most, b.Handling())
		}
		wg.Wait()
		qt.Check(t, most <= handledMost, qt.IsTrue, qt.Commentf("%d calls in hand, want %d at most", most, handledMost))
		begun := time.Now()
		r, err := callWithin[answer](t, a, 2*time.Minute, "echo", question{
			Number: 3,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.Number, qt.Equals, 3)
		qt.Check(t, time.Since(begun) < time.Second, qt.IsTrue, qt.Commentf("answered after %s", time.Since(begun)))
		sent, _ := b.Traffic()
		pause.For(t.Context(), 5*time.Second)
		later, _ := b.Traffic()
		qt.Check(t, uint64(encoded.Load()), qt.Equals, later/reply)
		qt.Check(t, later, qt.Equals, sent)
		qt.Check(t, b.Handling(), qt.Equals, 0)
	})
}

// The context of a handler ends when its caller has given up, so that calls that
// nobody waits for do not hold up others.
func TestHandlerEndsWithItsCaller(t *testing.T) {
	const (
		handlers = 4
		limit    = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		a, b := overLine(t, newLine(0), peer.Config{
			Handlers: handlers,
		})
		var lasted atomic.Int64
		peer.Handle(b, "hang", func(ctx context.Context, _ peer.Caller, _ question) (answer, error) {
			begun := time.Now()
			<-ctx.Done()
			lasted.Store(int64(time.Since(begun)))
			return answer{}, ctx.Err()
		})
		peer.Handle(b, "echo", echo)
		var wg sync.WaitGroup
		for range handlers {
			wg.Go(func() {
				_, err := callWithin[answer](t, a, limit, "hang", question{})
				qt.Check(t, errors.Is(err, peer.ErrLost), qt.IsTrue)
			})
		}
		wg.Wait()
		pause.For(t.Context(), time.Millisecond)
		_, err := callWithin[answer](t, a, limit, "echo", question{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, time.Duration(lasted.Load()), qt.Equals, limit)
	})
}

// A call ends when its caller says so, also while the other side takes nothing,
// and the connection is replaced by one on which it does.
func TestCallEndsThoughTheOtherSideTakesNothing(t *testing.T) {
	const limit = 300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		l := newLine(0)
		a, b := overLine(t, l, peer.Config{})
		peer.Handle(b, "echo", echo)
		l.deaf.Store(true)
		begun := time.Now()
		// Nothing of any of them is written, so none was received for certain.
		for i := range 4 {
			_, err := callWithin[answer](t, a, limit, "echo", question{})
			qt.Check(t, errors.Is(err, peer.ErrUnreachable), qt.IsTrue)
			qt.Check(t, time.Since(begun), qt.Equals, time.Duration(i+1)*limit)
		}
		l.deaf.Store(false)
		_, err := callWithin[answer](t, a, limit, "echo", question{})
		qt.Check(t, err, qt.IsNil)
	})
}

// A side that takes no reply loses the connection, and its handlers end.
func TestReplyEndsThoughTheCallerTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine(0)
		_, b := overLine(t, l, peer.Config{})
		peer.Handle(b, "echo", echo)
		c, err := l.dial(t.Context(), "b")
		qt.Assert(t, err, qt.IsNil)
		for i := range 3 {
			_, err = c.Write(frame(t, formerCall{
				Kind:   1,
				ID:     uint64(i),
				Method: "echo",
				Body:   encoded(t, question{}),
			}))
			qt.Assert(t, err, qt.IsNil)
		}
		pause.For(t.Context(), peer.DefaultWriteLimit+time.Millisecond)
		qt.Check(t, b.Handling(), qt.Equals, 0)
		_, err = c.Write([]byte{0})
		qt.Check(t, errors.Is(err, io.ErrClosedPipe), qt.IsTrue)
	})
}

// A long reply over a slow line comes through: what bounds its writing is that the
// line takes something.
func TestLongReplyOverASlowLine(t *testing.T) {
	const reply = 7_500_000 // takes 6 s on the line, longer than peer.DefaultWriteLimit
	synctest.Test(t, func(t *testing.T) {
		a, b := overLine(t, newLine(slowLink), peer.Config{})
		peer.Handle(b, "large", func(context.Context, peer.Caller, question) ([]byte, error) {
			return make([]byte, reply), nil
		})
		r, err := callWithin[[]byte](t, a, 10*time.Second, "large", question{})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(r), qt.Equals, reply)
	})
}

// A reply that is longer than a frame may be is told of to its caller and ends
// nothing else.
func TestReplyThatIsTooLongEndsNothingElse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine(0)
		a, b := overLine(t, l, peer.Config{})
		peer.Handle(b, "large", func(context.Context, peer.Caller, question) ([]byte, error) {
			return make([]byte, peer.MaxFrame), nil
		})
		_, err := callWithin[[]byte](t, a, time.Second, "large", question{})
		qt.Check(t, peer.IsCode(err, peer.CodeInternal), qt.IsTrue, qt.Commentf("%v", err))
		_, err = callWithin[answer](t, a, time.Second, "large", make([]byte, peer.MaxFrame))
		qt.Check(t, errors.Is(err, peer.ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, l.dials(), qt.Equals, 1)
	})
}

// A connection that goes silent without an end is given up after calls have been
// waited for in vain for a while, and one that is only slow is not.
func TestSilentConnectionIsReplaced(t *testing.T) {
	const (
		every = 150 * time.Millisecond
		limit = 300 * time.Millisecond
		// backWithin is peer's limit on silence and the calls around it.
		backWithin = time.Second + 2*(limit+every)
	)
	synctest.Test(t, func(t *testing.T) {
		l := newLine(0)
		a, b := overLine(t, l, peer.Config{})
		peer.Handle(b, "echo", echo)
		peer.Handle(b, "slow", func(ctx context.Context, _ peer.Caller, q question) (answer, error) {
			pause.For(context.WithoutCancel(ctx), 5*limit)
			return answer(q), nil
		})
		for range 20 {
			_, err := callWithin[answer](t, a, limit, "slow", question{})
			qt.Assert(t, errors.Is(err, peer.ErrLost), qt.IsTrue)
			_, err = callWithin[answer](t, a, limit, "echo", question{})
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, l.dials(), qt.Equals, 1)
		l.silence()
		begun := time.Now()
		for time.Since(begun) < time.Minute {
			if _, err := callWithin[answer](t, a, limit, "echo", question{}); err == nil {
				break
			}
			pause.For(t.Context(), every)
		}
		qt.Check(t, time.Since(begun) < backWithin, qt.IsTrue, qt.Commentf("answered after %s", time.Since(begun)))
		qt.Check(t, l.dials(), qt.Equals, 2)
	})
}

// formerCall is a call as hosts send it that do not tell how long they wait.
type formerCall struct {
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

// Hosts of the former version do not tell how long they wait: their calls have no
// limit, and they understand calls that have one.
func TestHostsOfTheFormerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine(0)
		_, b := overLine(t, l, peer.Config{})
		limited := true
		peer.Handle(b, "wait", func(ctx context.Context, _ peer.Caller, q question) (answer, error) {
			_, limited = ctx.Deadline()
			pause.For(ctx, time.Minute)
			return answer(q), ctx.Err()
		})
		c, err := l.dial(t.Context(), "b")
		qt.Assert(t, err, qt.IsNil)
		_, err = c.Write(frame(t, formerCall{
			Kind:   1,
			ID:     7,
			Method: "wait",
			From:   "former",
			Body: encoded(t, question{
				Number: 5,
			}),
		}))
		qt.Assert(t, err, qt.IsNil)
		var r formerCall
		readFrame(t, c, &r)
		qt.Check(t, r.ID, qt.Equals, uint64(7))
		qt.Check(t, r.Kind, qt.Equals, uint8(2))
		qt.Check(t, limited, qt.IsFalse)

		near, far := net.Pipe()
		caller := peer.NewNode(peer.Config{
			Host: "c",
			Addresses: map[spoolsill.HostID]string{
				"b": "b",
			},
			Dial: func(context.Context, string) (net.Conn, error) { return near, nil },
		})
		defer caller.Close()
		go func() { _, _ = callWithin[answer](t, caller, time.Second, "wait", question{}) }()
		var q formerCall
		readFrame(t, far, &q)
		qt.Check(t, q.Method, qt.Equals, "wait")
		qt.Check(t, q.Kind, qt.Equals, uint8(1))
		_ = far.Close()
	})
}

// A connection on which nothing comes is ended by the answering side, also in the
// middle of a message, unless a call on it is still being handled; one on which
// something comes is not.
func TestConnectionThatBringsNothingIsEnded(t *testing.T) {
	const idle = time.Minute
	call := frame(t, formerCall{
		Kind:   1,
		ID:     1,
		Method: "wait",
		Body: encoded(t, question{
			Number: 5,
		}),
	})
	for name, c := range map[string]struct {
		pieces [][]byte
		every  time.Duration
		lasts  time.Duration
		answer bool
	}{
		"nothing": {
			lasts: idle,
		},
		"half a message": {
			pieces: [][]byte{call[:9]},
			lasts:  idle,
		},
		"a message in two pieces": {
			pieces: [][]byte{call[:9], call[9:]},
			every:  idle - time.Second,
			lasts:  idle - time.Second,
			answer: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLine(0)
				_, b := overLine(t, l, peer.Config{})
				peer.Handle(b, "wait", func(ctx context.Context, _ peer.Caller, q question) (answer, error) {
					pause.For(ctx, 3*idle+time.Second)
					return answer(q), ctx.Err()
				})
				x, err := l.dial(t.Context(), "b")
				qt.Assert(t, err, qt.IsNil)
				begun := time.Now()
				for i, p := range c.pieces {
					if i > 0 {
						pause.For(t.Context(), c.every)
					}
					_, err = x.Write(p)
					qt.Assert(t, err, qt.IsNil)
				}
				if c.answer {
					var r formerCall
					readFrame(t, x, &r)
					qt.Check(t, r.ID, qt.Equals, uint64(1))
				}
				// A caller that waits for nothing does not end it itself.
				qt.Assert(t, x.SetReadDeadline(time.Now().Add(time.Hour)), qt.IsNil)
				_, err = x.Read(make([]byte, 1))
				qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
				qt.Check(t, time.Since(begun) >= c.lasts, qt.IsTrue)
				qt.Check(t, time.Since(begun) < 6*idle, qt.IsTrue)
			})
		})
	}
}

// A link that has been used for nothing opens a new connection, before the other
// side would end the former one.
func TestIdleLinkOpensANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLine(0)
		a, b := overLine(t, l, peer.Config{})
		peer.Handle(b, "echo", echo)
		for range 20 {
			_, err := callWithin[answer](t, a, time.Second, "echo", question{})
			qt.Assert(t, err, qt.IsNil)
			pause.For(t.Context(), 10*time.Second)
		}
		qt.Check(t, l.dials(), qt.Equals, 1)
		pause.For(t.Context(), 50*time.Second)
		_, err := callWithin[answer](t, a, time.Second, "echo", question{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, l.dials(), qt.Equals, 2)
	})
}

// A failingListener can't accept for a while, as when too many files are open.
type failingListener struct {
	net.Listener
	fails atomic.Int64
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.fails.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// A connection that can't be accepted ends nothing else.
func TestServingGoesOnAfterAFailedAccept(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := &failingListener{
		Listener: inner,
	}
	l.fails.Store(2)
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
	_, err = peer.Call[answer](ctx, a, "b", "echo", question{})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reported.Load(), qt.Equals, int64(2))
	cancel()
	qt.Assert(t, <-served, qt.IsNil)
}

// A lateListener accepts one connection, just after it was closed.
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

// Guards against a connection that is accepted as serving ends and stays open: its caller
// went on calling a host that had died.
func TestConnectionAcceptedAsServingEndsIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		qt.Assert(t, ours.SetReadDeadline(time.Now().Add(time.Second)), qt.IsNil)
		b := peer.NewNode(peer.Config{
			Host: "b",
		})
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err := b.Serve(ctx, &lateListener{
			conn:   theirs,
			closed: make(chan struct{}),
		})
		qt.Assert(t, err, qt.IsNil)
		_, err = ours.Read(make([]byte, 1))
		qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
		_ = ours.Close()
		_ = theirs.Close()
	})
}

// Guards against a silent connection that is kept for good since its calls are waited for
// for as long as its silence may last.
func TestSilentConnectionIsReplacedByCallsOfASecond(t *testing.T) {
	const limit = time.Second
	synctest.Test(t, func(t *testing.T) {
		l := newLine(0)
		a, b := overLine(t, l, peer.Config{})
		peer.Handle(b, "echo", echo)
		_, err := callWithin[answer](t, a, limit, "echo", question{})
		qt.Assert(t, err, qt.IsNil)
		l.silence()
		begun := time.Now()
		for time.Since(begun) < time.Minute {
			if _, err := callWithin[answer](t, a, limit, "echo", question{}); err == nil {
				break
			}
		}
		qt.Check(t, time.Since(begun) <= 2*limit, qt.IsTrue, qt.Commentf("answered after %s", time.Since(begun)))
		qt.Check(t, l.dials(), qt.Equals, 2)
	})
}
