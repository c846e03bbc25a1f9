package node_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/store"
)

// Hosts cut off from the store must eventually receive a newer configuration, even if
// each version is replaced before it can be transferred completely.
func TestFrequentConfigurationsReachHostsWithoutStore(t *testing.T) {
	run(t, 4, 1, func(x *cell) {
		first := x.leader()
		for i := range x.hosts {
			x.network.SetRate(hostName(i), smallLink)
			x.network.SetPartitioned(hostName(i), platformNode.Name, i != first)
		}
		// The first takes about 5 s to reach all three hosts.
		for i := range 10 {
			x.configureMany(2+i, manyRoutes+i)
			pause.For(x.ctx, 3*time.Second)
		}
		c := x.newClient()
		for i := range x.hosts {
			r := x.callBy(c, i, http.MethodGet, routePrefix(0), "")
			x.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("host %d: %v", i, r))
		}
	})
}

// A host that reaches the store must never report that its configuration may be out of
// date, even if no other host confirms it.
func TestHostWithWorkingFeedIsCurrent(t *testing.T) {
	run(t, 1, 1, func(x *cell) {
		x.network.SetRate(hostName(0), 50_000) // a call takes some milliseconds
		n, bad := 0, 0
		for begun := time.Now(); time.Since(begun) < 20*time.Second; n++ {
			if x.call(0, http.MethodGet, "/none/", "").status != http.StatusNotFound {
				bad++
			}
			pause.For(x.ctx, 3*time.Millisecond)
		}
		x.c.Check(bad, qt.Equals, 0, qt.Commentf("of %d calls", n))
	})
}

type fakeConfigSummary struct {
	Version spoolsill.Version
	Size    int
	Heard   bool
	Age     time.Duration
}

type fakeHeartbeat struct {
	Address string
	Held    fakeConfigSummary
	Cores   float64
}

type fakePieceRequest struct {
	Version spoolsill.Version
	Offset  int
}

type fakePieceReply struct {
	Version spoolsill.Version
	Size    int
	Offset  int
	Data    []byte
}

// An oldHeartbeatRequest holds the fields of a heartbeat that a host of the previous
// release decodes. Such a host replies with the whole configuration if it has a newer
// one than Version.
type oldHeartbeatRequest struct {
	Address string
	Version spoolsill.Version
	Cores   float64
}

// During a rolling upgrade a leader of the previous release must never reply to a
// heartbeat with the whole configuration, even if the sender is behind.
func TestPreviousReleaseLeaderSendsNoDocument(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		at := standin.Node{
			Name:  "former",
			Place: "hall9",
		}
		const address = "10.1.0.99:7000"
		p := peer.NewNode(peer.Config{
			Host: "former",
		})
		versions := make(chan spoolsill.Version, 100)
		peer.Handle(p, "greet", func(_ context.Context, _ peer.Caller, q oldHeartbeatRequest) (struct{ Leads bool }, error) {
			select {
			case versions <- q.Version:
			default:
			}
			return struct{ Leads bool }{}, nil
		})
		l, err := x.network.Listen(at, address)
		x.c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(x.ctx)
		defer cancel()
		x.serving.Go(func() { _ = p.Serve(ctx, l) })
		head, _, err := leader.ReadHead(ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		head.Host = "former"
		head.Address = address
		head.Epoch++
		head.WriteCount++
		v, err := msgpack.Marshal(head)
		x.c.Assert(err, qt.IsNil)
		x.store.Put(store.Put{
			Key:   leader.HeadKey,
			Value: v,
		})
		pause.For(x.ctx, time.Second)
		const held = 2 // by the leader; the host has 1
		x.c.Assert(<-versions >= held, qt.IsTrue)
	})
}

// An offer from a host that is gone must not prevent fetching an older configuration
// that others have.
func TestOfferOfStoppedHostDoesNotHideOthers(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		cut := (x.leader() + 1) % 3
		p := peer.NewNode(peer.Config{
			Host: "gone",
			Dial: func(ctx context.Context, a string) (net.Conn, error) {
				return x.network.Dialer(standin.Node{
					Name:  "gone",
					Place: "hall9",
				})(ctx, "tcp", a)
			},
		})
		p.SetAddress("host", x.hosts[cut].Settings.IP+":7000")
		_, err := peer.Call[struct{}](x.ctx, p, "host", "greet", fakeHeartbeat{
			Address: "10.1.0.99:7000",
			Held: fakeConfigSummary{
				Version: 99,
				Size:    1,
			},
		})
		x.c.Assert(err, qt.IsNil)
		p.Close()
		x.network.SetPartitioned(hostName(cut), platformNode.Name, true)
		x.configureMany(2, 1)
		pause.For(x.ctx, 10*time.Second)
		r := x.call(cut, http.MethodGet, routePrefix(0), "")
		x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
	})
}

// A configuration that cannot be decoded must not be fetched repeatedly.
func TestInvalidConfigurationIsNotFetchedRepeatedly(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		at := standin.Node{
			Name:  "fake",
			Place: "hall9",
		}
		const address = "10.1.0.99:7000"
		d := x.network.Dialer(at)
		p := peer.NewNode(peer.Config{
			Host: "fake",
			Dial: func(ctx context.Context, a string) (net.Conn, error) { return d(ctx, "tcp", a) },
		})
		const piece = 16 << 10
		const size = 3 * piece
		var requests atomic.Int64
		peer.Handle(p, "piece", func(ctx context.Context, _ peer.Caller, q fakePieceRequest) (fakePieceReply, error) {
			requests.Add(1)
			pause.For(ctx, 10*time.Millisecond)
			r := fakePieceReply{
				Version: 99,
				Size:    size,
				Data:    make([]byte, piece),
			}
			if q.Version == 99 {
				r.Offset = q.Offset
			}
			return r, nil
		})
		l, err := x.network.Listen(at, address)
		x.c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(x.ctx)
		defer cancel()
		x.serving.Go(func() { _ = p.Serve(ctx, l) })
		defer p.Close()
		to := x.leader()
		p.SetAddress("leader", x.hosts[to].Settings.IP+":7000")
		_, err = peer.Call[struct{}](ctx, p, "leader", "greet", fakeHeartbeat{
			Address: address,
			Held: fakeConfigSummary{
				Version: 99,
				Size:    size,
			},
		})
		x.c.Assert(err, qt.IsNil)
		pause.For(x.ctx, 10*time.Second)
		// Once a second would already be frequent.
		x.c.Assert(requests.Load() <= 10*size/piece, qt.IsTrue, qt.Commentf("%d pieces of a document of three in 10 s", requests.Load()))
	})
}

// A host that receives many piece requests must spend only half of its link on them.
func TestPiecesUseHalfOfTheLink(t *testing.T) {
	run(t, 1, 1, func(x *cell) {
		d := x.network.Dialer(standin.Node{
			Name:  "many",
			Place: "hall9",
		})
		p := peer.NewNode(peer.Config{
			Host: "many",
			Dial: func(ctx context.Context, a string) (net.Conn, error) { return d(ctx, "tcp", a) },
		})
		defer p.Close()
		p.SetAddress("host", x.hosts[0].Settings.IP+":7000")
		x.configureMany(2, manyRoutes)
		pause.For(x.ctx, inForce)
		received := 0
		for begun := time.Now(); time.Since(begun) < 4*time.Second; pause.For(x.ctx, time.Millisecond) {
			r, err := peer.Call[fakePieceReply](x.ctx, p, "host", "piece", fakePieceRequest{})
			if err == nil {
				received += len(r.Data)
			}
		}
		const burst = 4 * 16 << 10
		x.c.Assert(received > 4*smallLink*4/10, qt.IsTrue, qt.Commentf("%d bytes", received))
		x.c.Assert(received <= 4*smallLink/2+burst, qt.IsTrue, qt.Commentf("%d bytes", received))
	})
}
