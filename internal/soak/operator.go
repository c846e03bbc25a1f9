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
	// from that of the faults, whose plan does not depend on it.
	linkStream = 12
	// slowLinkShare is the share of the hosts with slow links.
	slowLinkShare = 0.6
	// minAddedRoutes and maxAddedRoutes bound how many routes are added at once,
	// maxRoutes how many are added in all: these take 1 MB in the store's encoding, 0.8 s
	// on a slow link.
	minAddedRoutes = 1000
	maxAddedRoutes = 1400
	maxRoutes      = 4200
	// minAddGap and maxAddGap bound the time between two additions.
	minAddGap = 2 * time.Second
	maxAddGap = 5 * time.Second
	// maxFollowUpGap is the longest time between an addition and a small change that
	// follows it.
	maxFollowUpGap = 500 * time.Millisecond
	// finalAddTime bounds the operator's work after the last fault: a few additions, until
	// the hosts have the last one in force.
	finalAddTime = 30 * time.Second
	// numberWidth is the number of digits in an added route's prefix, with which a route
	// takes 180 bytes, and 240 in base64.
	numberWidth = 42
)

// planLinks chooses whether the hosts have links with a rate limit, and the rates.
func (x *run) planLinks() {
	x.operatorRandom = rand.New(rand.NewPCG(x.config.Seed, linkStream)) //nolint:gosec // a seed is to give the same plan each time
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

// between returns a random duration in [least, most).
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// addRoutes repeatedly adds many routes, sometimes with a small change soon after, until
// maxRoutes are added or ctx ends.
func (x *run) addRoutes(ctx context.Context) {
	for x.routesAdded() < maxRoutes {
		if !wait(ctx, between(x.operatorRandom, minAddGap, maxAddGap)) {
			return
		}
		x.changeConfig(minAddedRoutes + x.operatorRandom.IntN(maxAddedRoutes-minAddedRoutes))
		if x.operatorRandom.IntN(2) == 0 {
			wait(ctx, between(x.operatorRandom, 0, maxFollowUpGap))
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

// changeConfig writes the next configuration to the store. It adds the route that marks
// its version, and the given number of other routes.
func (x *run) changeConfig(routes int) {
	x.configMu.Lock()
	defer x.configMu.Unlock()
	x.mu.Lock()
	version := x.version + 1
	x.addedRoutes = min(x.addedRoutes+routes, maxRoutes)
	added := x.addedRoutes
	x.mu.Unlock()
	if err := x.putConfig(version, added); err != nil {
		x.checker.Failed(err)
		return
	}
	x.checker.ConfigAcked(version, time.Now())
	x.mu.Lock()
	x.version = version
	x.mu.Unlock()
	x.logEvent("configuration %d has %d more routes", version, added)
}

// putConfig writes a configuration with the routes of the queues, the added ones, and one
// for each version up to its own.
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
			Prefix:   fmt.Sprintf("/added/%0*d/", numberWidth, i),
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

// finishAddingRoutes adds the remaining routes after the last fault, and waits until each
// host has the last configuration in force or is late.
func (x *run) finishAddingRoutes(ctx context.Context) {
	x.addRoutes(ctx)
	x.changeConfig(0)
	ctx, cancel := context.WithTimeout(ctx, configTime+callTimeout)
	defer cancel()
	c := newClient(0, 0, nil, x.checker)
	defer c.http.CloseIdleConnections()
	for _, p := range x.hosts {
		for wait(ctx, pollInterval) {
			if v, ok := activeVersion(ctx, c, p); ok && v >= x.newestVersion() {
				break
			}
		}
	}
}

// watchConfig polls a host for the configuration in force, and for the route of the newest
// version that this process of the host has had in force.
func (x *run) watchConfig(ctx context.Context, p *Process) {
	c := newClient(0, 0, nil, x.checker)
	defer c.http.CloseIdleConnections()
	life, seen := 0, 0
	for wait(ctx, pollInterval) {
		if n := p.StartCount(); n != life {
			life, seen = n, 0
		}
		v, ok := activeVersion(ctx, c, p)
		if !ok || p.StartCount() != life {
			continue
		}
		if v < seen {
			x.checker.ConfigReverted(p.Settings.Host, seen, v)
		}
		seen = max(seen, v)
		if seen > 0 && x.lacksRoute(ctx, c, p, seen) && p.StartCount() == life {
			x.checker.ConfigReverted(p.Settings.Host, seen, seen-1)
		}
	}
}

// watchNewest polls a host for whether the newest configuration is in force, by its
// version metric, a route and keys. A host that knows that its configuration is old tells
// callers to retry, which hides the fault from its answers but not from the metric.
func (x *run) watchNewest(ctx context.Context, p *Process) {
	c := newClient(0, 0, nil, x.checker)
	defer c.http.CloseIdleConnections()
	for wait(ctx, pollInterval) {
		newest := x.newestVersion()
		sent := time.Now()
		if v, ok := activeVersion(ctx, c, p); ok && v < newest || x.lacksRoute(ctx, c, p, newest) || x.keysOutdated(ctx, c, p, newest) {
			x.checker.ConfigMissing(p.Settings.Host, newest, sent)
		}
	}
}

// versionMetric precedes the version of the configuration in force in the metrics.
const versionMetric = "spoolsill_config_version "

// activeVersion returns the version in force according to a host's metrics, if it answers.
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

// lacksRoute reports whether a host answers that there is no route of a version.
func (x *run) lacksRoute(ctx context.Context, c *client, p *Process, version int) bool {
	status, _ := c.callAt(ctx, p.Settings.ClientAddress, http.MethodGet, versionPath(version), "")
	return status == http.StatusNotFound
}
