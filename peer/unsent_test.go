package peer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
)

// Guards against a call that is sent after it failed with ErrUnreachable, which means that
// it was certainly not received.
func TestUnsentCallIsNotSentLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer remote.Close()
		n := peer.NewNode(peer.Config{
			Host: "a",
			Addresses: map[spoolsill.HostID]string{
				"b": "b",
			},
			Dial: func(context.Context, string) (net.Conn, error) { return local, nil },
		})
		defer n.Close()
		_, err := callWithin[reply](t, n, 100*time.Millisecond, "echo", request{
			Number: 1,
		})
		qt.Check(t, errors.Is(err, peer.ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
		got := make(chan int, 1)
		go func() {
			k, _ := remote.Read(make([]byte, 1<<10))
			got <- k
		}()
		pause.For(t.Context(), time.Second)
		select {
		case k := <-got:
			qt.Check(t, k, qt.Equals, 0, qt.Commentf("bytes sent after the caller gave up"))
		default:
		}
	})
}
