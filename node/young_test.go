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

// A host that starts while the store is away learns the configuration from the
// others: it refuses nobody for good.
func TestHostThatStartsWithoutTheStoreKnowsTheConfiguration(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.network.SetCut(hostName(2), platformPlace.Name, true)
		x.start(2)
		pause.For(x.ctx, time.Second)
		r := x.call(2, http.MethodPost, "/q/"+jobID(1), body)
		x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
		x.c.Assert(x.call(2, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.state(0, jobID(1)), qt.Equals, completed)
	})
}

// A host without a configuration could start nothing: it lets a smaller one lead.
func TestHostWithoutAConfigurationLetsOthersLead(t *testing.T) {
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
		x.store.SlowLists(platform.OperatorTable, 2*time.Second)
		x.network.SetCut(hostName(2), hostName(0), true)
		x.network.SetCut(hostName(2), hostName(1), true)
		x.start(2)
		x.network.SetPaused(hostName(old), true)
		pause.For(x.ctx, 1900*time.Millisecond)
		x.c.Assert(x.leader(), qt.Equals, small)
		x.network.SetPaused(hostName(old), false)
	})
}

// So it does when the configuration is large and links are small.
func TestHostThatStartsWithoutTheStoreLearnsALargeConfiguration(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.configureMany(2, manyRoutes)
		pause.For(x.ctx, inForce)
		x.network.SetRate(hostName(2), smallLink)
		x.network.SetCut(hostName(2), platformPlace.Name, true)
		x.start(2)
		// At once, since it knows that the store does not tell it: 0.1 s until it
		// asks, 0.9 s over the link, of which hosts spend half on telling others.
		pause.For(x.ctx, 2200*time.Millisecond)
		x.c.Assert(x.call(2, http.MethodGet, routePrefix(manyRoutes-1), "").status, qt.Equals, http.StatusOK)
	})
}

// A host that can't know whether its configuration is the newest tells nobody for
// good that there is no such queue.
func TestHostThatHearsNothingRefusesNoRouteForGood(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		cut := (x.leader() + 1) % 3
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
		x.network.SetCut(hostName(cut), platformPlace.Name, true)
		pause.For(x.ctx, 3*time.Second)
		// The leader still tells it.
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
		for i := range x.hosts {
			x.network.SetCut(hostName(cut), hostName(i), i != cut)
		}
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusBadGateway)
		x.network.SetCut(hostName(cut), platformPlace.Name, false)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.call(cut, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusNotFound)
	})
}

// While the store is away nobody knows whether there is a newer configuration, and
// hosts that tell each other so know no more.
func TestNobodyKnowsAllRoutesWhileTheStoreIsAway(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.store.TurnAway(true)
		pause.For(x.ctx, 4*time.Second)
		for i := range x.hosts {
			x.c.Check(x.call(i, http.MethodGet, "/none/", "").status, qt.Equals, http.StatusBadGateway)
		}
	})
}

// Nor does a host that can't read what the store tells. It goes on with what it has.
func TestConfigurationThatCannotBeReadIsNoProof(t *testing.T) {
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
