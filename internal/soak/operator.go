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
	// linkStream is the stream of random numbers, for each seed, that decides on
	// links and growing configurations, apart from the plan of harms.
	linkStream = 12
	// slowShare is the part of the hosts with the slower links.
	slowShare = 0.6
	// growLeast and growMost bound how many routes are added at once, and
	// routesMost how many there are in the end: they take 1 MB as the store tells
	// them, 0.8 s on a slow link.
	growLeast  = 1000
	growMost   = 1400
	routesMost = 4200
	// growGapLeast and growGapMost are between two additions.
	growGapLeast = 2 * time.Second
	growGapMost  = 5 * time.Second
	// quickGap is the most between an addition and a small change right after it.
	quickGap = 500 * time.Millisecond
	// operateTime bounds how long the operator goes on after the last harm: a few
	// additions, and the last of them taken in.
	operateTime = 30 * time.Second
	// numberWidth is how long the number in an added route's prefix is, so that a
	// route takes 180 bytes, and 240 in base64.
	numberWidth = 42
)

// planLinks decides whether hosts have links with a rate, and with which.
func (x *run) planLinks() {
	x.operator = rand.New(rand.NewPCG(x.config.Seed, linkStream)) //nolint:gosec // a seed is to give the same plan each time
	if x.operator.IntN(2) != 0 {
		return
	}
	for i := range x.config.Hosts {
		bits := fastLink
		if x.operator.Float64() < slowShare {
			bits = slowLink
		}
		x.note("host%d has a link of %.0f Mbit/s", i, bits/1e6)
		x.links = append(x.links, NewLink(bits))
	}
}

// grows reports whether the operator adds many routes.
func (x *run) grows() bool {
	return x.links != nil
}

// between returns a random duration.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// operate adds many routes again and again, at times followed at once by a small
// change, until there are routesMost of them or ctx ends.
func (x *run) operate(ctx context.Context) {
	for x.routesAdded() < routesMost {
		if !wait(ctx, between(x.operator, growGapLeast, growGapMost)) {
			return
		}
		x.change(growLeast + x.operator.IntN(growMost-growLeast))
		if x.operator.IntN(2) == 0 {
			wait(ctx, between(x.operator, 0, quickGap))
			x.change(0)
		}
	}
}

func (x *run) routesAdded() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.added
}

func (x *run) newestVersion() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.version
}

// change puts the next configuration into the store: it has one more route that
// shows its version, and so many others more.
func (x *run) change(routes int) {
	x.writing.Lock()
	defer x.writing.Unlock()
	x.mu.Lock()
	version := x.version + 1
	x.added = min(x.added+routes, routesMost)
	added := x.added
	x.mu.Unlock()
	if err := x.putConfig(version, added); err != nil {
		x.judge.Ended(err)
		return
	}
	x.judge.Configured(version, time.Now())
	x.mu.Lock()
	x.version = version
	x.mu.Unlock()
	x.note("configuration %d has %d more routes", version, added)
}

// putConfig writes a configuration with a route for each version up to its own,
// and others.
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

// finishOperating has the operator go on once nothing is harmed any more, and
// waits until each host shows the last configuration or is late.
func (x *run) finishOperating(ctx context.Context) {
	x.operate(ctx)
	x.change(0)
	ctx, cancel := context.WithTimeout(ctx, configTime+callTimeout)
	defer cancel()
	c := newClient(0, 0, nil, x.judge)
	defer c.http.CloseIdleConnections()
	for _, p := range x.hosts {
		for wait(ctx, settleStep) {
			if v, ok := inForce(ctx, c, p); ok && v >= x.newestVersion() {
				break
			}
		}
	}
}

// watchConfig asks a host again and again which configuration is in force, and for
// the route of the newest version that this life of it has had in force.
func (x *run) watchConfig(ctx context.Context, p *Process) {
	c := newClient(0, 0, nil, x.judge)
	defer c.http.CloseIdleConnections()
	life, seen := 0, 0
	for wait(ctx, settleStep) {
		if n := p.Lives(); n != life {
			life, seen = n, 0
		}
		v, ok := inForce(ctx, c, p)
		if !ok || p.Lives() != life {
			continue
		}
		if v < seen {
			x.judge.WentBack(p.Settings.Host, seen, v)
		}
		seen = max(seen, v)
		if seen > 0 && x.refuses(ctx, c, p, seen) && p.Lives() == life {
			x.judge.WentBack(p.Settings.Host, seen, seen-1)
		}
	}
}

// watchNewest asks a host again and again whether the newest configuration is in
// force. Its word is taken, and not its answers to calls: a host that knows that it
// is behind has callers come back, who are served no better for it.
func (x *run) watchNewest(ctx context.Context, p *Process) {
	c := newClient(0, 0, nil, x.judge)
	defer c.http.CloseIdleConnections()
	for wait(ctx, settleStep) {
		newest := x.newestVersion()
		sent := time.Now()
		if v, ok := inForce(ctx, c, p); ok && v < newest || x.refuses(ctx, c, p, newest) || x.errsOnKeys(ctx, c, p, newest) {
			x.judge.Misses(p.Settings.Host, newest, sent)
		}
	}
}

// versionMetric is the metric of the configuration in force.
const versionMetric = "spoolsill_config_version "

// inForce returns the version that a host says is in force, if it answers.
func inForce(ctx context.Context, c *client, p *Process) (int, bool) {
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

// refuses reports whether a host tells callers for good that there is no route of
// a version.
func (x *run) refuses(ctx context.Context, c *client, p *Process, version int) bool {
	status, _ := c.callAt(ctx, p.Settings.ClientAddress, http.MethodGet, versionPath(version), "")
	return status == http.StatusNotFound
}
