package peer

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// serverIdleTimeout is how long the accepting side keeps a connection on which it receives
	// nothing. The remote end may have disappeared without closing the connection,
	// which would otherwise leak a socket, a goroutine and a partly read message.
	serverIdleTimeout = time.Minute
	// linkIdleTimeout is how long the calling side keeps an unused connection. It is much
	// shorter than the server's timeout, so that no call is sent over a connection
	// that the server is closing.
	linkIdleTimeout = 20 * time.Second
)

// An idleReader reads from a connection and fails with os.ErrDeadlineExceeded when
// nothing has arrived for serverIdleTimeout and no call is in progress.
type idleReader struct {
	conn net.Conn
	// busy reports whether calls are in progress.
	busy func() bool
}

// Read implements io.Reader.
func (r *idleReader) Read(b []byte) (int, error) {
	for {
		_ = r.conn.SetReadDeadline(time.Now().Add(serverIdleTimeout))
		n, err := r.conn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.busy() {
			continue
		}
		return n, err
	}
}
