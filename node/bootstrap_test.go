package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
)

// A host that starts while it is cut off from the store must learn the configuration
// from other hosts, so that it does not permanently refuse clients.
func TestHostStartsWithoutStore(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.network.SetPartitioned(hostName(2), platformNode.Name, true)
		x.start(2)
		pause.For(x.ctx, time.Second)
		r := x.call(2, http.MethodPost, "/q/"+jobID(1), body)
		x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
		x.c.Assert(x.call(2, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.state(0, jobID(1)), qt.Equals, completed)
	})
}

// A host without a configuration could start no tasks and must let a smaller one lead.
func TestHostWithoutConfigurationLetsOthersLead(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		old := x.leader()
		small := 1 - old
		x.hosts[small].stop()
		pause.For(x.ctx, 7*time.Second)
		x.cores = map[int]float64{
			small: 0.2,
		}
		x.start(small)
		pause.For(x.ctx, time.Second)
		x.store.SetListLatency(platform.OperatorTable, 2*time.Second)
		x.network.SetPartitioned(hostName(2), hostName(0), true)
		x.network.SetPartitioned(hostName(2), hostName(1), true)
		x.start(2)
		x.network.SetPaused(hostName(old), true)
		pause.For(x.ctx, 1900*time.Millisecond)
		x.c.Assert(x.leader(), qt.Equals, small)
		x.network.SetPaused(hostName(old), false)
	})
}

// A host that starts while it is cut off from the store must learn a large configuration
// from other hosts over small links.
func TestHostStartsWithoutStoreAndLargeConfiguration(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.configureMany(2, manyRoutes)
		pause.For(x.ctx, inForce)
		x.network.SetRate(hostName(2), smallLink)
		x.network.SetPartitioned(hostName(2), platformNode.Name, true)
		x.start(2)
		// The host knows that the store cannot deliver the configuration and fetches it
		// from other hosts at once: 0.1 s until the first query, and 0.9 s over the link,
		// half of which is available for pieces.
		pause.For(x.ctx, 2200*time.Millisecond)
		x.c.Assert(x.call(2, http.MethodGet, routePrefix(manyRoutes-1), "").status, qt.Equals, http.StatusOK)
	})
}

// A host that cannot know whether its configuration is the newest must not permanently
// deny that a queue exists.
func TestIsolatedHostDoesNotDenyRoutes(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		cut := (x.leader() + 1) % 3
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
		x.network.SetPartitioned(hostName(cut), platformNode.Name, true)
		pause.For(x.ctx, 3*time.Second)
		// The leader still confirms the configuration.
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
		for i := range x.hosts {
			x.network.SetPartitioned(hostName(cut), hostName(i), i != cut)
		}
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusBadGateway)
		x.network.SetPartitioned(hostName(cut), platformNode.Name, false)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
	})
}

// While the store is unreachable, no host knows whether there is a newer configuration,
// and their mutual confirmations must not count.
func TestNoHostDeniesRoutesWhileStoreIsUnreachable(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.store.SetUnavailable(true)
		pause.For(x.ctx, 4*time.Second)
		for i := range x.hosts {
			x.c.Check(x.call(i, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusBadGateway)
		}
	})
}

// A host that cannot decode the configuration in the store keeps the previous one, but
// must not deny that a route exists.
func TestInvalidConfigurationDoesNotDenyRoutes(t *testing.T) {
	run(t, 1, 1, func(x *cell) {
		x.store.Put(store.Put{
			Key: store.Key{
				Table: platform.OperatorTable,
				Name:  platform.ConfigRow,
			},
			Value: []byte("{"),
		})
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.call(0, http.MethodGet, "/q/", "").status, qt.Equals, http.StatusOK)
		x.c.Assert(x.call(0, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusBadGateway)
		x.configure(2, false)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.call(0, http.MethodGet, "/extra/", "").status, qt.Equals, http.StatusNotFound)
	})
}
