package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// linkStream is the random stream of a seed for links and added routes. It is separate
	// from that of the faults, so that their plan does not depend on it.
	linkStream = 12
	// slowLinkShare is the share of the hosts with slow links.
	slowLinkShare = 0.6
	// minAddedRoutes and maxAddedRoutes bound how many routes are added at once, and
	// maxRoutes how many are added in total. That many take 1 MB in the store's encoding,
	// and 0.8 s on a slow link.
	minAddedRoutes = 1000
	maxAddedRoutes = 1400
	maxRoutes      = 4200
	// minAddGap and maxAddGap bound the time between two additions.
	minAddGap = 2 * time.Second
	maxAddGap = 5 * time.Second
	// maxFollowUpGap is the longest time between an addition and the small change that may
	// follow it.
	maxFollowUpGap = 500 * time.Millisecond
	// finalAddTime bounds the operator's work after the last fault: a few additions, and the
	// wait until the hosts have the last one in force.
	finalAddTime = 30 * time.Second
	// routeNumberWidth is the number of digits in the prefix of an added route. With it a
	// route takes 180 bytes, and 240 in base64.
	routeNumberWidth = 42
)

// planLinks decides whether the hosts have links, and chooses their rates.
func (x *run) planLinks() {
	x.operatorRandom = rand.New(rand.NewPCG(x.config.Seed, linkStream)) //nolint:gosec // a seed has to give the same plan each time
	if x.operatorRandom.IntN(2) != 0 {
		return
	}
	for i := range x.config.Hosts {
		bits := fastLink
		if x.operatorRandom.Float64() < slowLinkShare {
			bits = slowLink
		}
		x.logEvent("host%d has a link of %.0f Mbit/s", i, bits/1e6)
		x.links = append(x.links, NewLink(bits))
	}
}

// addsRoutes reports whether the operator adds many routes in this run.
func (x *run) addsRoutes() bool {
	return x.links != nil
}

// randomDuration returns a random duration in [low, high).
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// addRoutes repeatedly adds many routes, sometimes with a small change soon after, until
// maxRoutes are added or ctx ends.
func (x *run) addRoutes(ctx context.Context) {
	for x.routesAdded() < maxRoutes {
		if !wait(ctx, randomDuration(x.operatorRandom, minAddGap, maxAddGap)) {
			return
		}
		x.changeConfig(minAddedRoutes + x.operatorRandom.IntN(maxAddedRoutes-minAddedRoutes))
		if x.operatorRandom.IntN(2) == 0 {
			wait(ctx, randomDuration(x.operatorRandom, 0, maxFollowUpGap))
			x.changeConfig(0)
		}
	}
}

func (x *run) routesAdded() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.addedRoutes
}

func (x *run) newestVersion() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.version
}

// changeConfig writes the next configuration to the store, with the route that marks its
// version and the given number of further routes.
func (x *run) changeConfig(routes int) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
	x.mu.Lock()
	version := x.version + 1
	x.addedRoutes = min(x.addedRoutes+routes, maxRoutes)
	added := x.addedRoutes
	x.mu.Unlock()
	if err := x.putConfig(version, added); err != nil {
		x.checker.RecordError(err)
		return
	}
	x.checker.ConfigAcked(version, time.Now())
	x.mu.Lock()
	x.version = version
	x.mu.Unlock()
	x.logEvent("configuration %d has %d more routes", version, added)
}

// putConfig writes a configuration with the routes of the queues, the given number of added
// routes, and a route for each version up to its own.
func (x *run) putConfig(version, added int) error {
	routes := []wire.Route{
		{
			Queue:   "urgent",
			Prefix:  "/urgent/",
			Advised: true,
		},
		{
			Queue:    "patient",
			Prefix:   "/patient/",
			Priority: 1,
		},
	}
	for i := range added {
		routes = append(routes, wire.Route{
			Queue:    sched.QueueID(fmt.Sprint("added", i)),
			Prefix:   fmt.Sprintf("/added/%0*d/", routeNumberWidth, i),
			Priority: 1,
		})
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, wire.Route{
			Queue:    sched.QueueID(fmt.Sprint("version", v)),
			Prefix:   versionPath(v),
			Priority: 1,
		})
	}
	return wire.PutConfigWithTeams(x.store, version, routes, teamsOf(version))
}

func versionPath(v int) string {
	return fmt.Sprintf("/version%d/", v)
}

// finishAddingRoutes adds the remaining routes after the last fault. It then waits until all
// hosts have the last configuration in force, for a little longer than they may take.
func (x *run) finishAddingRoutes(ctx context.Context) {
	x.addRoutes(ctx)
	x.changeConfig(0)
	ctx, cancel := context.WithTimeout(ctx, configTime+callTimeout)
	defer cancel()
	c := newClient(0, 0, nil, x.checker)
	defer c.httpClient.CloseIdleConnections()
	for _, p := range x.hosts {
		for wait(ctx, pollInterval) {
			if v, ok := activeVersion(ctx, c, p); ok && v >= x.newestVersion() {
				break
			}
		}
	}
}

// watchForReverts polls a host for the version in force, and for the route of the highest
// version that its current process has had in force. It reports a host that reverts to an
// older configuration.
func (x *run) watchForReverts(ctx context.Context, p *Process) {
	c := newClient(0, 0, nil, x.checker)
	defer c.httpClient.CloseIdleConnections()
	starts, highest := 0, 0
	for wait(ctx, pollInterval) {
		if n := p.StartCount(); n != starts {
			starts, highest = n, 0
		}
		v, ok := activeVersion(ctx, c, p)
		if !ok || p.StartCount() != starts {
			continue
		}
		if v < highest {
			x.checker.ConfigReverted(p.Settings.Host, highest, v)
		}
		highest = max(highest, v)
		if highest > 0 && x.lacksRoute(ctx, c, p, highest) && p.StartCount() == starts {
			x.checker.ConfigReverted(p.Settings.Host, highest, highest-1)
		}
	}
}

// watchForMissing polls a host for whether the newest configuration is in force, judged by
// its version metric, a route and keys, and reports a host where it is not. A host that
// knows that its configuration is outdated tells clients to retry, so that only the metric
// shows the fault.
func (x *run) watchForMissing(ctx context.Context, p *Process) {
	c := newClient(0, 0, nil, x.checker)
	defer c.httpClient.CloseIdleConnections()
	for wait(ctx, pollInterval) {
		newest := x.newestVersion()
		sent := time.Now()
		if v, ok := activeVersion(ctx, c, p); ok && v < newest || x.lacksRoute(ctx, c, p, newest) || x.keysOutdated(ctx, c, p, newest) {
			x.checker.ConfigMissing(p.Settings.Host, newest, sent)
		}
	}
}

// versionMetric is the text before the version in force in the metrics.
const versionMetric = "spoolsill_config_version "

// activeVersion returns the version in force according to a host's metrics. It returns false
// if the host does not answer.
func activeVersion(ctx context.Context, c *client, p *Process) (int, bool) {
	status, body := c.callAt(ctx, net.JoinHostPort(p.Settings.IP, strconv.Itoa(metricsPort)), http.MethodGet, "/metrics", "")
	if status != http.StatusOK {
		return 0, false
	}
	for line := range strings.Lines(body) {
		if text, ok := strings.CutPrefix(line, versionMetric); ok {
			v, err := strconv.Atoi(strings.TrimSpace(text))
			return v, err == nil
		}
	}
	return 0, false
}

// lacksRoute reports whether a host answers that the route of a version does not exist.
func (x *run) lacksRoute(ctx context.Context, c *client, p *Process, version int) bool {
	status, _ := c.callAt(ctx, p.Settings.ClientAddress, http.MethodGet, versionPath(version), "")
	return status == http.StatusNotFound
}
