package peer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/peer"
)

type request struct {
	Number int
}

type reply struct {
	Number int
}

// pair returns a calling node and a node that serves as host "b" over TCP, with the address
// and the reported errors of the latter.
func pair(t *testing.T) (a, b *peer.Node, address string, reports chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	reports = make(chan error, 16)
	b = peer.NewNode(peer.Config{
		Host:   "b",
		Report: func(_ string, err error) { reports <- err },
	})
	a = peer.NewNode(peer.Config{
		Host: "a",
		Addresses: map[spoolsill.HostID]string{
			"b":    l.Addr().String(),
			"none": "127.0.0.1:1",
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := b.Serve(ctx, l); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		a.Close()
		cancel()
		<-done
	})
	return a, b, l.Addr().String(), reports
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	c := qt.New(t)
	a, b, _, _ := pair(t)
	peer.Handle(b, "double", func(_ context.Context, from peer.Caller, q request) (reply, error) {
		if from.Host != "a" {
			return reply{}, errors.New("wrong caller")
		}
		return reply{
			Number: 2 * q.Number,
		}, nil
	})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r, err := peer.Call[reply](context.Background(), a, "b", "double", request{
				Number: i,
			})
			c.Check(err, qt.IsNil)
			c.Check(r.Number, qt.Equals, 2*i)
		}()
	}
	wg.Wait()
}

func TestErrorsTellWhetherCallMayHaveBeenReceived(t *testing.T) {
	c := qt.New(t)
	a, b, _, _ := pair(t)
	_, err := peer.Call[reply](context.Background(), a, "none", "m", request{})
	c.Assert(errors.Is(err, peer.ErrUnreachable), qt.IsTrue)
	_, err = peer.Call[reply](context.Background(), a, "nobody", "m", request{})
	c.Assert(errors.Is(err, peer.ErrUnreachable), qt.IsTrue)
	_, err = peer.Call[reply](context.Background(), a, "b", "m", request{})
	c.Assert(peer.IsCode(err, peer.CodeNoSuchMethod), qt.IsTrue)
	peer.Handle(b, "refuse", func(context.Context, peer.Caller, request) (reply, error) {
		return reply{}, &peer.RemoteError{
			Code: "stale",
			Text: "too late",
		}
	})
	_, err = peer.Call[reply](context.Background(), a, "b", "refuse", request{})
	c.Assert(peer.IsCode(err, "stale"), qt.IsTrue)
	entered := make(chan struct{})
	peer.Handle(b, "hang", func(ctx context.Context, _ peer.Caller, _ request) (reply, error) {
		close(entered)
		<-ctx.Done()
		return reply{}, ctx.Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-entered
		cancel()
	}()
	_, err = peer.Call[reply](ctx, a, "b", "hang", request{})
	c.Assert(errors.Is(err, peer.ErrReplyLost), qt.IsTrue)
}

func TestBadFrameClosesOnlyItsConnection(t *testing.T) {
	c := qt.New(t)
	a, b, address, reports := pair(t)
	peer.Handle(b, "echo", func(_ context.Context, _ peer.Caller, q request) (reply, error) {
		return reply(q), nil
	})
	long := make([]byte, 4)
	binary.BigEndian.PutUint32(long, peer.MaxFrame+1)
	for _, frame := range [][]byte{
		long,
		{0, 0, 0, 0},
		{0, 0, 0, 3, 0xff, 0xff, 0xff},
		{0, 0, 0, 9, 1},
	} {
		x, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		_, err = x.Write(frame)
		c.Assert(err, qt.IsNil)
		c.Assert(x.(*net.TCPConn).CloseWrite(), qt.IsNil)
		c.Assert(<-reports, qt.IsNotNil)
		c.Assert(x.Close(), qt.IsNil)
	}
	r, err := peer.Call[reply](context.Background(), a, "b", "echo", request{
		Number: 4,
	})
	c.Assert(err, qt.IsNil)
	c.Assert(r.Number, qt.Equals, 4)
}

func ExampleCall() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := peer.NewNode(peer.Config{
		Host: "vake-2",
	})
	peer.Handle(server, "greet", func(_ context.Context, c peer.Caller, name string) (string, error) {
		return fmt.Sprintf("%s greets %s", c.Host, name), nil
	})
	go func() { _ = server.Serve(ctx, l) }()
	client := peer.NewNode(peer.Config{
		Host: "vake-1",
		Addresses: map[spoolsill.HostID]string{
			"vake-2": l.Addr().String(),
		},
	})
	defer client.Close()
	r, err := peer.Call[string](ctx, client, "vake-2", "greet", "vake-2")
	fmt.Println(r, err)
	// Output: vake-1 greets vake-2 <nil>
}

// BenchmarkCall measures a small call between two nodes over loopback, including both
// sides.
func BenchmarkCall(b *testing.B) {
	benchmarkCall(b, func(ctx context.Context) (context.Context, context.CancelFunc) {
		return ctx, func() {}
	})
}

// BenchmarkCallWithTimeout measures the same call with a timeout.
func BenchmarkCallWithTimeout(b *testing.B) {
	benchmarkCall(b, func(ctx context.Context) (context.Context, context.CancelFunc) {
		return context.WithTimeout(ctx, 300*time.Millisecond)
	})
}

func benchmarkCall(b *testing.B, limit func(context.Context) (context.Context, context.CancelFunc)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	to := peer.NewNode(peer.Config{
		Host: "b",
	})
	from := peer.NewNode(peer.Config{
		Host: "a",
		Addresses: map[spoolsill.HostID]string{
			"b": l.Addr().String(),
		},
	})
	defer from.Close()
	peer.Handle(to, "double", func(_ context.Context, _ peer.Caller, q request) (reply, error) {
		return reply{
			Number: 2 * q.Number,
		}, nil
	})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = to.Serve(ctx, l) }()
	b.ReportAllocs()
	for b.Loop() {
		c, done := limit(ctx)
		_, err := peer.Call[reply](c, from, "b", "double", request{
			Number: 1,
		})
		done()
		if err != nil {
			b.Fatal(err)
		}
	}
}
