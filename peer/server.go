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
	"sync/atomic"
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
	defer n.compressors.release(w)
	slots := make(chan struct{}, n.config.Handlers)
	r := bufio.NewReader(&countingReader{
		node: n,
		from: &idleReader{
			conn: c,
			busy: func() bool { return len(slots) > 0 },
		},
	})
	frames := frameReader{
		from: r,
	}
	for {
		m, err := frames.read()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			n.report(c, err)
			return
		}
		n.config.Clock.Observe(m.Timestamp)
		w.received(m)
		if m.Kind != messageCall {
			continue
		}
		n.config.OnMessage(n.registeredMethod(m.Method), 0, m.length)
		select {
		case slots <- struct{}{}:
		default:
			n.rejectCall(ctx, w, m)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			n.serveCall(ctx, w, m)
		}()
	}
}

// registeredMethod returns method if a handler is registered for it, and "" otherwise, so
// that remote hosts can't create arbitrary metric labels.
func (n *Node) registeredMethod(method string) string {
	if _, ok := n.methods.Load(method); ok {
		return method
	}
	return ""
}

// serveCall handles a call until the caller's timeout expires. The timeout includes the
// time the reply waits for other replies to be written: otherwise a connection that is
// too slow for all replies would carry only those to abandoned calls, while the rest
// pile up in memory.
func (n *Node) serveCall(ctx context.Context, w *connWriter, m *message) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	ctx, cancel := withCallTimeout(ctx, m.Timeout)
	defer cancel()
	v, err := n.dispatch(ctx, m)
	w.reply(ctx, m, v, err)
}

func (n *Node) rejectCall(ctx context.Context, w *connWriter, m *message) {
	ctx, cancel := withCallTimeout(ctx, m.Timeout)
	defer cancel()
	w.reply(ctx, m, nil, &RemoteError{
		Code: CodeBusy,
		Text: "too many calls at once",
	})
}

// withCallTimeout returns a context that expires after a caller's remaining timeout. The timeout
// starts on receipt, so that no clocks of different hosts are compared; it therefore ends
// later than the caller's own by the transmission time of the call.
func withCallTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, timeout)
}

func (n *Node) dispatch(ctx context.Context, m *message) (any, error) {
	f, ok := n.methods.Load(m.Method)
	if !ok {
		return nil, &RemoteError{
			Code: CodeNoSuchMethod,
			Text: m.Method,
		}
	}
	c := Caller{
		Host:        m.From,
		Incarnation: m.Incarnation,
	}
	return f.(handler)(ctx, c, m.Body)
}

// report reports why a connection failed, unless it was closed normally.
func (n *Node) report(c net.Conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	n.config.Report(c.RemoteAddr().String(), err)
}

var (
	// errNotWritten is returned when no byte of a message was written.
	errNotWritten = errors.New("peer: nothing written")
	// errWritePending is returned when part of a message was written before the deadline
	// and the rest is being written in the background.
	errWritePending = errors.New("peer: write still in progress")
)

// writeChunkSize is the number of bytes written under one deadline. A deadline for each chunk
// rather than for the whole message gives a slow connection the time that a long message
// needs.
const writeChunkSize = 64 << 10

// A connWriter writes messages to a connection, one at a time.
type connWriter struct {
	node *Node
	mu   ctxMutex
	conn net.Conn
	// inflates is set once the remote side has said that it reads compressed frames.
	inflates atomic.Bool
	// uncompressed counts the bytes sent before deflater was created. Both are guarded
	// by mu.
	uncompressed int
	deflater     *deflater
	// compresses and closed are guarded by the node's compressorBudget.
	compresses bool
	closed     bool
}

// received records what the remote side has said about itself in a message.
func (w *connWriter) received(m *message) {
	if m.Inflates && w.node.config.Compressors > 0 {
		w.inflates.Store(true)
	}
}

func newConnWriter(n *Node, c net.Conn) *connWriter {
	return &connWriter{
		node: n,
		mu:   newCtxMutex(),
		conn: c,
	}
}

// send writes a call. It fails with errNotWritten if nothing was written before ctx was done
// or because the call can't be encoded. It fails with errWritePending if ctx's deadline
// passes after part of the call was written; the rest is then written in the background, as
// long as the remote side accepts data, and onFinished is called with the result. After any
// other error the connection must be closed.
func (w *connWriter) send(ctx context.Context, m *message, onFinished func(error)) error {
	if err := w.mu.lock(ctx); err != nil {
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	deadline, limited := ctx.Deadline()
	if limited {
		m.Timeout = max(time.Until(deadline), 1)
	}
	frame, err := w.encode(m)
	if err != nil {
		w.mu.unlock()
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	w.node.config.OnMessage(m.Method, len(frame), 0)
	rest, err := w.write(frame, deadline)
	timedOut := limited && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(deadline)
	if timedOut && len(rest) == len(frame) {
		w.discard()
		w.mu.unlock()
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	if timedOut {
		go func() {
			defer w.mu.unlock()
			_, err := w.write(rest, time.Time{})
			onFinished(err)
		}()
		return errWritePending
	}
	w.mu.unlock()
	return err
}

// reply sends the reply to a call, unless ctx is done before the connection is free. It
// encodes the reply only once it holds the lock, so that waiting replies do not use memory
// for their frames. The connection is closed if the reply can't be sent.
func (w *connWriter) reply(ctx context.Context, call *message, v any, err error) {
	if w.mu.lock(ctx) != nil {
		return
	}
	defer w.mu.unlock()
	frame, sendErr := w.encode(replyMessage(call.ID, v, err))
	if sendErr != nil {
		frame, sendErr = w.encode(replyMessage(call.ID, nil, sendErr))
	}
	if sendErr == nil {
		w.node.config.OnMessage(w.node.registeredMethod(call.Method), len(frame), 0)
		_, sendErr = w.write(frame, time.Time{})
	}
	if sendErr != nil {
		_ = w.conn.Close()
	}
}

// encode stamps m and returns its frame, which must be written or discarded next. The
// caller holds w.mu.
func (w *connWriter) encode(m *message) ([]byte, error) {
	w.node.stamp(m)
	frame, err := encodeMessage(m)
	if err != nil {
		return nil, err
	}
	if !w.inflates.Load() || w.uncompressed < compressAfter {
		w.uncompressed += len(frame)
		return frame, nil
	}
	if w.deflater == nil && !w.node.compressors.acquire(w) {
		return frame, nil
	}
	if w.deflater == nil {
		w.deflater, err = newDeflater()
		if err != nil {
			return nil, err
		}
	}
	return w.deflater.deflate(frame)
}

// discard withdraws the frame that encode has returned, none of which was written. The
// caller holds w.mu.
func (w *connWriter) discard() {
	if w.deflater != nil {
		w.deflater.reset()
	}
}

// write writes a frame in chunks of writeChunkSize. It fails when a chunk takes longer than
// DefaultWriteTimeout, or at deadline unless that is zero, and returns the part of the frame
// that was not written. The caller holds w.mu.
func (w *connWriter) write(frame []byte, deadline time.Time) ([]byte, error) {
	to := countingWriter{
		node: w.node,
		to:   w.conn,
	}
	for len(frame) > 0 {
		limit := time.Now().Add(DefaultWriteTimeout)
		if !deadline.IsZero() && deadline.Before(limit) {
			limit = deadline
		}
		_ = w.conn.SetWriteDeadline(limit)
		n, err := to.Write(frame[:min(len(frame), writeChunkSize)])
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
	r.node.bytesReceived.Add(uint64(k))
	return k, err
}

type countingWriter struct {
	node *Node
	to   io.Writer
}

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	k, err := w.to.Write(b)
	w.node.bytesSent.Add(uint64(k))
	return k, err
}
