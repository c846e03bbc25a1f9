package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
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
	r := bufio.NewReader(&countingReader{
		node: n,
		from: c,
	})
	slots := make(chan struct{}, n.config.Handlers)
	for {
		m, err := readMessage(r)
		if err != nil {
			n.reportRead(c, err)
			return
		}
		n.config.Clock.Observe(m.Stamp)
		if m.Kind != messageCall {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			w.reply(ctx, m, nil, &RemoteError{
				Code: CodeBusy,
				Text: "too many calls at once",
			})
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			v, err := n.handle(ctx, m)
			w.reply(ctx, m, v, err)
		}()
	}
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

func (n *Node) reportRead(c net.Conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	n.config.Report(c.RemoteAddr().String(), err)
}

// errNotWritten is returned when nothing of a message was written.
var errNotWritten = errors.New("peer: not written")

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

func (w *connWriter) write(ctx context.Context, m *message) error {
	if err := w.gate.enter(ctx); err != nil {
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
	defer w.gate.leave()
	w.node.stamp(m)
	_ = w.conn.SetWriteDeadline(time.Now().Add(DefaultWriteLimit))
	return writeMessage(&countingWriter{
		node: w.node,
		to:   w.conn,
	}, m)
}

func (w *connWriter) reply(ctx context.Context, to *message, v any, err error) {
	m := replyMessage(to.ID, v, err)
	if err := w.write(ctx, m); err != nil {
		_ = w.conn.Close()
	}
}

func replyMessage(id uint64, v any, err error) *message {
	if err == nil {
		var body []byte
		body, err = msgpack.Marshal(v)
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
