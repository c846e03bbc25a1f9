package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// smallLink is the capacity of a link of 10 Mbit/s in bytes a second.
	smallLink = 1_250_000
	// manyRoutes is the number of routes of a configuration that takes 1.4 MB in the
	// encoding of the store. Its transfer over smallLink takes 1.2 s, which is more than
	// most calls of the feed have left.
	manyRoutes      = 6000
	manyRoutesBytes = 1_470_000
	// inForce is how soon after its acknowledgement a configuration must be in force on
	// all hosts.
	inForce = 3 * time.Second
)

// configureMany writes a configuration with the given number of routes in addition to
// /q/.
func (x *cell) configureMany(version, routes int) {
	list := []wire.Route{
		{
			Queue:   "q",
			Prefix:  "/q/",
			Advised: true,
		},
	}
	for i := range routes {
		list = append(list, wire.Route{
			Queue:   sched.QueueID(fmt.Sprintf("queue-%05d", i)),
			Prefix:  routePrefix(i),
			Advised: true,
		})
	}
	x.c.Assert(wire.PutConfig(x.store, version, list), qt.IsNil)
}

func routePrefix(i int) string {
	return fmt.Sprintf("/r%05d/", i)
}

// Guards against a large configuration that is never completely received over small
// links. With 4,245 routes (1,026 KB, 0.8 s over 10 Mbit/s), all 37 hosts on such links,
// and none of the 6 others, lost the configuration feed after 1.0 s and did not regain it.
// They still answered 404 for the routes more than 3 s after the configuration was
// confirmed, and had not received it completely after 45 s.
//
// Replies to heartbeats, sent every 0.15 s, contained the whole configuration, 0.8 MB. A
// host gave up on a reply after 0.08 s and sent another heartbeat, but the replies still
// arrived and saturated its link: each such host received 1,150 KB a second, and the
// leader sent 23 MB a second instead of 0.8 MB. The feed's call was limited to a total of
// 1 s regardless of progress, and each retry discarded the part already received.
func TestLargeConfigurationOverSmallLinks(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		for i := range x.hosts {
			if i != x.leader() {
				x.network.SetRate(hostName(i), smallLink)
			}
		}
		// Each round adds one route and starts at a different moment of the feed's
		// calls.
		for i := range 5 {
			x.configureMany(2+i, manyRoutes+i)
			pause.For(x.ctx, inForce)
			x.servesOnAll(routePrefix(manyRoutes + i - 1))
			pause.For(x.ctx, 230*time.Millisecond)
		}
		// Hosts must receive each configuration from the store, and hardly any of it
		// twice, which would use half of a link.
		for i, h := range x.hosts {
			if i == x.leader() {
				continue
			}
			x.c.Check(h.configSources(), qt.DeepEquals, map[string]bool{
				"store": true,
			}, qt.Commentf("host %d", i))
			carried := x.network.BytesReceived(hostName(i))
			x.c.Check(carried < 5*manyRoutesBytes*5/4, qt.IsTrue, qt.Commentf("host %d has received %d bytes", i, carried))
		}
	})
}

// configSources returns the sources of the host's configurations.
func (h *host) configSources() map[string]bool {
	from := map[string]bool{}
	for _, e := range h.logged.AllEntries() {
		if e.Message == "configuration in force" {
			from[e.Data["from"].(string)] = true
		}
	}
	return from
}

// servesOnAll checks that all hosts serve a route.
func (x *cell) servesOnAll(prefix string) {
	for i := range x.hosts {
		r := x.call(i, http.MethodGet, prefix, "")
		x.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("host %d, %s: %v", i, prefix, r))
	}
}

// Hosts that are cut off from the store must receive a large configuration from the
// leader over small links, and keep both the leader and the part already received when
// connections break.
func TestLargeConfigurationReachesHostsWithoutTheStore(t *testing.T) {
	run(t, 4, 1, func(x *cell) {
		first := x.leader()
		for i := range x.hosts {
			x.network.SetRate(hostName(i), smallLink)
			x.network.SetPartitioned(hostName(i), platformNode.Name, i != first)
		}
		x.configureMany(2, manyRoutes)
		for range 10 {
			pause.For(x.ctx, 400*time.Millisecond)
			for i := range x.hosts {
				x.network.SetPartitioned(hostName(i), hostName(first), i != first)
				x.network.SetPartitioned(hostName(i), hostName(first), false)
			}
		}
		pause.For(x.ctx, 4*time.Second)
		x.c.Assert(x.leader(), qt.Equals, first)
		x.servesOnAll(routePrefix(manyRoutes - 1))
	})
}

// A leader whose feed delivers nothing must receive the configuration from the other
// hosts.
func TestLeaderWithSilentFeedLearnsConfiguration(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.store.SetFeedStalled(true)
		current := x.leader()
		x.network.SetRate(hostName(current), smallLink)
		x.configureMany(2, manyRoutes)
		// A restarting host lists the table, which still works.
		restarted := (current + 1) % 3
		x.hosts[restarted].stop()
		x.c.Assert(<-x.hosts[restarted].err, qt.IsNil)
		x.start(restarted)
		pause.For(x.ctx, 400*time.Millisecond)
		// The leader knows that there is a newer version, and so does not claim to know
		// all routes.
		r := x.call(current, http.MethodGet, routePrefix(0), "")
		x.c.Assert(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%v", r))
		// It receives the configuration from the restarted host, and the third host
		// receives it from the leader.
		pause.For(x.ctx, 8*time.Second)
		x.c.Assert(x.leader(), qt.Equals, current)
		x.servesOnAll(routePrefix(manyRoutes - 1))
	})
}

// Guards against a fetch that starts over after the sending host has been slow for some
// seconds: it was never completed from an intermittently slow host.
func TestLargeConfigurationFromIntermittentlySlowHost(t *testing.T) {
	const slowRate = 25_000 // bytes a second, too slow for a piece to arrive before its timeout
	run(t, 2, 1, func(x *cell) {
		first := x.leader()
		behind := (first + 1) % 2
		x.network.SetRate(hostName(behind), smallLink)
		x.network.SetPartitioned(hostName(behind), platformNode.Name, true)
		pause.For(x.ctx, time.Second)
		x.configureMany(2, manyRoutes)
		// At most half of the document arrives in each fast period.
		const fastPeriod = 1200 * time.Millisecond
		pause.For(x.ctx, fastPeriod)
		for range 4 {
			x.network.SetRate(hostName(first), slowRate)
			pause.For(x.ctx, 6*time.Second)
			x.network.SetRate(hostName(first), smallLink)
			pause.For(x.ctx, fastPeriod)
		}
		r := x.call(behind, http.MethodGet, routePrefix(manyRoutes-1), "")
		x.c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
	})
}
