package traffic_test

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/traffic"
)

// Guards against bytes counted for the wrong purpose or direction.
func TestBytesAreCountedByPurposeAndDirection(t *testing.T) {
	var counter traffic.Counter
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := counter.Listener(traffic.Callers, inner)
	defer l.Close()
	echoed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.CopyN(c, c, 5)
			_ = c.Close()
		}
		echoed <- err
	}()
	var d net.Dialer
	dial := counter.Dialer(traffic.Store, d.DialContext)
	c, err := dial(t.Context(), "tcp", inner.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_, err = c.Write([]byte("hello"))
	qt.Assert(t, err, qt.IsNil)
	b, err := io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(b), qt.Equals, "hello")
	qt.Assert(t, <-echoed, qt.IsNil)
	counter.Add(traffic.PeerPurpose("greet"), 3, 4)
	qt.Check(t, counter.Counts(), qt.DeepEquals, map[traffic.Purpose]traffic.Count{
		traffic.Callers: {
			Sent:     5,
			Received: 5,
		},
		traffic.Store: {
			Sent:     5,
			Received: 5,
		},
		"peer greet": {
			Sent:     3,
			Received: 4,
		},
	})
}
