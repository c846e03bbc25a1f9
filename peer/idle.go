package peer

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// idleMost is how long the answering side keeps a connection that brings
	// nothing: its other end may be gone without a sign, and it would else keep a
	// socket, a goroutine and half a message for good.
	idleMost = time.Minute
	// linkIdle is for how long the calling side keeps one that it does not use. It
	// is much shorter, so that no call is sent over a connection that is just being
	// ended.
	linkIdle = 20 * time.Second
)

// An idleReader reads from a connection, and fails when nothing has come for
// idleMost while nobody there waits for a reply.
type idleReader struct {
	conn net.Conn
	// busy reports whether calls are being handled.
	busy func() bool
}

// Read implements io.Reader.
func (r *idleReader) Read(b []byte) (int, error) {
	for {
		_ = r.conn.SetReadDeadline(time.Now().Add(idleMost))
		n, err := r.conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.busy() {
			continue
		}
		return n, err
	}
}
