package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

func (n *Node) serveConn(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	w := newConnWriter(n, c)
	slots := make(chan struct{}, n.config.Handlers)
	r := bufio.NewReader(&countingReader{
		node: n,
		from: &idleReader{
			conn: c,
			busy: func() bool { return len(slots) > 0 },
		},
	})
	for {
		m, err := readMessage(r)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			n.report(c, err)
			return
		}
		n.config.Clock.Observe(m.Stamp)
		if m.Kind != messageCall {
			continue
		}
		n.config.Observe(n.known(m.Method), 0, m.length)
		select {
		case slots <- struct{}{}:
		default:
			n.refuse(ctx, w, m)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			n.answer(ctx, w, m)
		}()
	}
}

// known returns a method if the node answers it, else the empty one: others may name any.
func (n *Node) known(method string) string {
	if _, ok := n.methods.Load(method); ok {
		return method
	}
	return ""
}

// answer handles a call for as long as its caller waits, the wait for other
// replies to be written included: a line that is too slow for them all would else
// carry only those that nobody waits for any more, and memory hold the others.
func (n *Node) answer(ctx context.Context, w *connWriter, m *message) {
	n.handling.Add(1)
	defer n.handling.Add(-1)
	ctx, cancel := within(ctx, m.Wait)
	defer cancel()
	v, err := n.handle(ctx, m)
	w.reply(ctx, m, v, err)
}

func (n *Node) refuse(ctx context.Context, w *connWriter, m *message) {
	ctx, cancel := within(ctx, m.Wait)
	defer cancel()
	w.reply(ctx, m, nil, &RemoteError{
		Code: CodeBusy,
		Text: "too many calls at once",
	})
}

// within returns a context that ends after a caller's wait. It is counted from
// here, so that no clocks are compared; the call's way is added to it.
func within(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	if wait <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, wait)
}

func (n *Node) handle(ctx context.Context, m *message) (any, error) {
	f, ok := n.methods.Load(m.Method)
	if !ok {
		return nil, &RemoteError{
			Code: CodeMethod,
			Text: m.Method,
		}
	}
	c := Caller{
		Host:        m.From,
		Incarnation: m.Incarnation,
	}
	return f.(handler)(ctx, c, m.Body)
}

// report tells why a connection ended, unless that was to be.
func (n *Node) report(c net.Conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	n.config.Report(c.RemoteAddr().String(), err)
}

var (
	// errNotWritten is returned when nothing of a message was written.
	errNotWritten = errors.New("peer: not written")
	// errUnderWay is returned when a message is still being written.
	errUnderWay = errors.New("peer: still being written")
)

// writePiece is how many bytes are written under one time limit: a line that takes
// any is left the time that a long message needs.
const writePiece = 64 << 10

// A connWriter writes whole messages to a connection, one at a time.
type connWriter struct {
	node *Node
	gate gate
	conn net.Conn
}

func newConnWriter(n *Node, c net.Conn) *connWriter {
	return &connWriter{
		node: n,
		gate: newGate(),
		conn: c,
	}
}

// send writes a call. It fails with errNotWritten when nothing was written, and
// with errUnderWay when the caller's wait ends with a part of it written: the
// rest follows, as long as the other side takes something, and later is told how
// that ended.
func (w *connWriter) send(ctx context.Context, m *message, later func(error)) error {
	if err := w.gate.enter(ctx); err != nil {
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	end, limited := ctx.Deadline()
	if limited {
		m.Wait = max(time.Until(end), 1)
	}
	frame, err := w.encode(m)
	if err != nil {
		w.gate.leave()
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	w.node.config.Observe(m.Method, len(frame), 0)
	rest, err := w.write(frame, end)
	gaveUp := limited && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(end)
	if gaveUp && len(rest) == len(frame) {
		w.gate.leave()
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	if gaveUp {
		go func() {
			defer w.gate.leave()
			_, err := w.write(rest, time.Time{})
			later(err)
		}()
		return errUnderWay
	}
	w.gate.leave()
	return err
}

// reply answers a call, unless ctx ends before its turn comes. Only then the
// reply is encoded, so that those that wait take no memory.
func (w *connWriter) reply(ctx context.Context, call *message, v any, err error) {
	if w.gate.enter(ctx) != nil {
		return
	}
	defer w.gate.leave()
	frame, failed := w.encode(replyMessage(call.ID, v, err))
	if failed != nil {
		frame, failed = w.encode(replyMessage(call.ID, nil, failed))
	}
	if failed == nil {
		w.node.config.Observe(w.node.known(call.Method), len(frame), 0)
		_, failed = w.write(frame, time.Time{})
	}
	if failed != nil {
		_ = w.conn.Close()
	}
}

// encode returns the frame of a message that is written next.
func (w *connWriter) encode(m *message) ([]byte, error) {
	w.node.stamp(m)
	return encodeMessage(m)
}

// write writes a frame until end, zero being never, and returns what of it is left
// when it fails. The gate is held.
func (w *connWriter) write(frame []byte, end time.Time) ([]byte, error) {
	to := countingWriter{
		node: w.node,
		to:   w.conn,
	}
	for len(frame) > 0 {
		limit := time.Now().Add(DefaultWriteLimit)
		if !end.IsZero() && end.Before(limit) {
			limit = end
		}
		_ = w.conn.SetWriteDeadline(limit)
		n, err := to.Write(frame[:min(len(frame), writePiece)])
		frame = frame[n:]
		if err != nil {
			return frame, err
		}
	}
	return nil, nil
}

func replyMessage(id uint64, v any, err error) *message {
	if err == nil {
		var body []byte
		body, err = encodeBody(v)
		if err == nil {
			return &message{
				Kind: messageReply,
				ID:   id,
				Body: body,
			}
		}
	}
	m := &message{
		Kind: messageError,
		ID:   id,
		Code: CodeInternal,
		Text: err.Error(),
	}
	var r *RemoteError
	if errors.As(err, &r) {
		m.Code = r.Code
		m.Text = r.Text
	}
	return m
}

type countingReader struct {
	node *Node
	from io.Reader
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	k, err := r.from.Read(b)
	r.node.read.Add(uint64(k))
	return k, err
}

type countingWriter struct {
	node *Node
	to   io.Writer
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	k, err := w.to.Write(b)
	w.node.sent.Add(uint64(k))
	return k, err
}
