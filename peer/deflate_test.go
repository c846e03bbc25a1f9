package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/peer"
)

// A payload is a request with a body of any size, which is returned.
type payload struct {
	Body []byte
}

// A stallingConn can stop accepting writes without an error, like a connection whose
// remote side does not read.
type stallingConn struct {
	net.Conn
	stalled  atomic.Bool
	deadline atomic.Int64 // of writes, in nanoseconds since 1970
}

// SetWriteDeadline implements [net.Conn].
func (c *stallingConn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(t.UnixNano())
	return c.Conn.SetWriteDeadline(t)
}

// Write implements [net.Conn].
func (c *stallingConn) Write(b []byte) (int, error) {
	if !c.stalled.Load() {
		return c.Conn.Write(b)
	}
	pause.For(context.Background(), time.Until(time.Unix(0, c.deadline.Load())))
	return 0, os.ErrDeadlineExceeded
}

// compressingPair returns a calling node and a node that serves as host "b" and returns
// payloads, and the connection between them. The arguments are their numbers of compressors.
func compressingPair(t *testing.T, a, b int) (*peer.Node, *stallingConn) {
	local, remote := net.Pipe()
	conn := &stallingConn{
		Conn: local,
	}
	l := newNetwork(0)
	server := peer.NewNode(peer.Config{
		Host:        "b",
		Compressors: b,
		Report: func(_ string, err error) {
			if !errors.Is(err, io.ErrClosedPipe) {
				t.Error(err)
			}
		},
	})
	peer.Handle(server, "echo", func(_ context.Context, _ peer.Caller, q payload) (payload, error) { return q, nil })
	peer.Handle(server, "renew", func(_ context.Context, _ peer.Caller, q renewal) (renewal, error) { return q, nil })
	var dials atomic.Int64
	client := peer.NewNode(peer.Config{
		Host:        "a",
		Compressors: a,
		Addresses: map[spoolsill.HostID]string{
			"b": "b",
		},
		Dial: func(context.Context, string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return nil, errors.New("only one connection is expected")
			}
			l.accepted <- remote
			return conn, nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- server.Serve(ctx, l) }()
	t.Cleanup(func() {
		client.Close()
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return client, conn
}

// renewAll makes n renewals for a dozen workers, one after the other, and returns the mean
// number of bytes sent and received for each.
func renewAll(t *testing.T, a *peer.Node, n int) (sent, received int) {
	sentBefore, receivedBefore := a.Traffic()
	for i := range n {
		q := typicalRenewal()
		q.Worker = fmt.Sprintf("i-%010x", (i%12+1)*0x9e3779b9)
		q.Address = fmt.Sprintf("10.3.64.%d:8302", i%12)
		q.Deadline += int64(40 * i)
		q.LastSeen += uint64(i / 12)
		r, err := callWithin[renewal](t, a, time.Second, "renew", q)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r, qt.Equals, q)
	}
	sentAfter, receivedAfter := a.Traffic()
	return int(sentAfter-sentBefore) / n, int(receivedAfter-receivedBefore) / n
}

// Guards against a link of 2 Mbit/s that is saturated by frames that repeat each other.
// Both sides must agree, since hosts of earlier releases don't read compressed frames.
func TestFramesAreCompressedIfBothSidesDo(t *testing.T) {
	for _, compressors := range []int{0, 2} {
		t.Run(fmt.Sprint(compressors), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _ := compressingPair(t, 2, compressors)
				renewAll(t, a, 400)
				sent, received := renewAll(t, a, 1000)
				if compressors == 0 {
					qt.Check(t, sent > 80 && received > 70, qt.IsTrue, qt.Commentf("%d and %d bytes", sent, received))
					return
				}
				// Less than half of the bytes of an uncompressed renewal.
				qt.Check(t, sent < 45 && received < 40, qt.IsTrue, qt.Commentf("%d and %d bytes", sent, received))
			})
		})
	}
}

// Guards against a host whose memory is used up by compressors, one for each of the other
// hosts. A connection that is closed leaves its compressor to another one.
func TestCompressorsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		networks := map[string]*network{
			"b": newNetwork(0),
			"c": newNetwork(0),
		}
		a := peer.NewNode(peer.Config{
			Host:        "a",
			Compressors: 1,
			Addresses: map[spoolsill.HostID]string{
				"b": "b",
				"c": "c",
			},
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return networks[address].dial(ctx, address)
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var servers sync.WaitGroup
		defer servers.Wait()
		defer cancel()
		defer a.Close()
		for h, l := range networks {
			s := peer.NewNode(peer.Config{
				Host:        spoolsill.HostID(h),
				Compressors: 1,
			})
			peer.Handle(s, "renew", func(_ context.Context, _ peer.Caller, q renewal) (renewal, error) { return q, nil })
			servers.Go(func() { _ = s.Serve(ctx, l) })
		}
		bytesPerCall := func(to spoolsill.HostID) int {
			const calls = 400
			before, _ := a.Traffic()
			for range calls {
				_, err := peer.Call[renewal](t.Context(), a, to, "renew", typicalRenewal())
				qt.Assert(t, err, qt.IsNil)
			}
			after, _ := a.Traffic()
			return int(after-before) / calls
		}
		for range 2 {
			bytesPerCall("b")
			bytesPerCall("c")
		}
		qt.Check(t, bytesPerCall("b") < 45, qt.IsTrue)
		qt.Check(t, bytesPerCall("c") > 80, qt.IsTrue)
		a.SetAddress("b", "elsewhere")
		bytesPerCall("c")
		qt.Check(t, bytesPerCall("c") < 45, qt.IsTrue)
	})
}

// Guards against much data after the message of a compressed frame, which would be kept for as
// long as the connection lasts.
func TestCompressedFrameWithMoreThanAMessage(t *testing.T) {
	frame, err := peer.EncodeCall("a body")
	qt.Assert(t, err, qt.IsNil)
	random := make([]byte, 256<<10)
	_, _ = rand.NewChaCha8([32]byte{}).Read(random)
	b, err := peer.CompressFrames(append(frame, random...))
	qt.Assert(t, err, qt.IsNil)
	_, err = peer.ReadBodies(bytes.NewReader(b))
	qt.Check(t, errors.Is(err, peer.ErrBadFrame), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against frames that end where the window of the stream is full: the mark of their
// end is read with the next frame.
func TestCompressedFramesThatFillTheWindow(t *testing.T) {
	const length = 1 << 10
	short, err := peer.EncodeCall(make([]byte, length/2))
	qt.Assert(t, err, qt.IsNil)
	var frames [][]byte
	for i := range 200 {
		frame, err := peer.EncodeCall(bytes.Repeat([]byte{byte(i)}, length/2+length-len(short)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, frame, qt.HasLen, length)
		frames = append(frames, frame)
	}
	b, err := peer.CompressFrames(frames...)
	qt.Assert(t, err, qt.IsNil)
	bodies, err := peer.ReadBodies(bytes.NewReader(b))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bodies, qt.HasLen, len(frames))
	for i, b := range bodies {
		qt.Assert(t, bytes.HasSuffix(frames[i], b), qt.IsTrue, qt.Commentf("frame %d", i))
	}
}

// Frames of all sizes arrive unchanged, also those that can't be made shorter.
func TestCompressedFramesOfAllSizes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := compressingPair(t, 2, 2)
		renewAll(t, a, 400)
		random := rand.NewChaCha8([32]byte{})
		sizes := []int{0, 1, 100, 1 << 10, 32 << 10, 64 << 10, 1 << 20, peer.MaxFrame - 1<<10}
		for _, n := range sizes {
			for _, b := range [][]byte{make([]byte, n), bytes.Repeat([]byte("worker "), n/7)} {
				_, _ = random.Read(b[:len(b)/2])
				r, err := callWithin[payload](t, a, time.Minute, "echo", payload{
					Body: b,
				})
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, bytes.Equal(r.Body, b), qt.IsTrue, qt.Commentf("%d bytes", n))
			}
		}
		all := make([]byte, peer.MaxFrame-1<<10)
		_, _ = random.Read(all)
		r, err := callWithin[payload](t, a, time.Minute, "echo", payload{
			Body: all,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(r.Body, all), qt.IsTrue)
	})
}

// Guards against a stream that is damaged by a call that timed out before any of its bytes
// were sent: the connection stays in use, and later frames must not refer to that call.
func TestUnsentCallDoesNotDamageCompressedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, conn := compressingPair(t, 2, 2)
		renewAll(t, a, 400)
		for range 3 {
			conn.stalled.Store(true)
			_, err := callWithin[payload](t, a, 50*time.Millisecond, "echo", payload{
				Body: []byte("a text that nothing else has, which is never received"),
			})
			qt.Assert(t, errors.Is(err, peer.ErrUnreachable), qt.IsTrue, qt.Commentf("%v", err))
			conn.stalled.Store(false)
			renewAll(t, a, 20)
			r, err := callWithin[payload](t, a, time.Second, "echo", payload{
				Body: []byte("a text that nothing else has, which is received"),
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(r.Body), qt.Equals, "a text that nothing else has, which is received")
		}
	})
}
