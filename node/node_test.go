package node_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/clock"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/node"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/store"
	"github.com/spoolsill/spoolsill/telemetry"
)

const (
	testLease      = 6 * time.Second
	storeAddress   = "10.9.0.1:80"
	advisorAddress = "10.9.0.2:80"
	body           = `{"spec":"s","steps":[{"count":2,"cpu":1000,"estMs":900}]}`
)

// platformNode is the network node of the store and the advisor.
var platformNode = standin.Node{
	Name:  "platform",
	Place: "platform",
}

// A cell is a set of hosts on an in-memory network, with fakes of the store, the advisor
// and the workers.
type cell struct {
	c       *qt.C
	ctx     context.Context
	network *standin.Network
	store   *cellfake.Store
	workers *cellfake.Workers
	hosts   []*host
	cores   map[int]float64 // of hosts that differ from the usual size
	link    spoolsill.Bytes // of the hosts started next, in bytes a second; 0 means smallLink
	// advisorOf returns the advisor's address for a host; nil means advisorAddress.
	advisorOf func(host int) string
	capacity  spoolsill.Resources // of the workers added next
	hall      spoolsill.HallID    // of the workers whose entries are written next
	cancel    context.CancelFunc
	running   sync.WaitGroup // hosts
	serving   sync.WaitGroup // fakes
	client    *http.Client
}

type host struct {
	node.Config
	logged *test.Hook
	stop   context.CancelFunc
	err    chan error
	// suspended is how long its machine has been suspended, in nanoseconds.
	suspended atomic.Int64
}

// simulateSuspension simulates that the host's machine was suspended. The monotonic
// clock, like that of the test, does not count the suspension.
func (h *host) simulateSuspension(d time.Duration) {
	h.suspended.Add(int64(d))
}

func newCell(t *testing.T, hosts, workers int) *cell {
	ctx, cancel := context.WithCancel(t.Context())
	x := &cell{
		c:       qt.New(t),
		ctx:     ctx,
		cancel:  cancel,
		network: standin.NewNetwork(true),
		store:   cellfake.NewStore(),
		workers: cellfake.NewWorkers(testLease),
	}
	x.client = x.newClient()
	x.serve(platformNode, storeAddress, wire.StoreHandler(x.store))
	x.serve(platformNode, advisorAddress, wire.AdvisorHandler(&cellfake.Advisor{}))
	for i := range workers {
		x.addWorker(i)
	}
	x.configure(1, true)
	for i := range hosts {
		x.start(i)
	}
	return x
}

// newClient returns a client with its own connections.
func (x *cell) newClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: x.network.Dialer(standin.Node{
				Name:  "client",
				Place: "clients",
			}),
		},
		Timeout: 3 * time.Second,
	}
}

func (x *cell) serve(at standin.Node, address string, h http.Handler) {
	l, err := x.network.Listen(at, address)
	x.c.Assert(err, qt.IsNil)
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	x.serving.Go(func() { _ = s.Serve(l) })
	context.AfterFunc(x.ctx, func() { _ = s.Close() })
}

func workerAddress(i int) string {
	return fmt.Sprintf("10.8.0.%d:80", i+1)
}

func (x *cell) addWorker(i int) {
	id := spoolsill.WorkerID(workerName(i))
	a := workerAddress(i)
	x.workers.Add(id)
	x.serve(standin.Node{
		Name:  string(id),
		Place: "workers",
	}, a, wire.WorkerHandler(x.workers, id))
	x.writeWorkerEntry(i)
}

// writeWorkerEntry writes a worker's entry.
func (x *cell) writeWorkerEntry(i int) {
	id := spoolsill.WorkerID(workerName(i))
	x.c.Assert(wire.PutWorker(x.store, wire.WorkerEntry{
		ID:      id,
		Born:    x.workers.CurrentIncarnation(id).StartTime,
		Address: workerAddress(i),
		Hall:    x.hall,
		Machine: "m" + string(id),
		Rack:    "r1-1",
		Capacity: cmp.Or(x.capacity, spoolsill.Resources{
			Processors: 8 * spoolsill.Core,
			Memory:     8000 * spoolsill.MiB,
		}),
	}), qt.IsNil)
}

// configure writes a configuration with the queue at /q/ and, if extra is set, one at
// /extra/.
func (x *cell) configure(version int, extra bool) {
	routes := []wire.Route{
		{
			Queue:   "q",
			Prefix:  "/q/",
			Advised: true,
		},
	}
	if extra {
		routes = append(routes, wire.Route{
			Queue:   "extra",
			Prefix:  "/extra/",
			Advised: true,
		})
	}
	x.c.Assert(wire.PutConfig(x.store, version, routes), qt.IsNil)
}

func hostName(i int) string {
	return fmt.Sprintf("host%d", i)
}

// start starts a host without any state of an earlier incarnation.
func (x *cell) start(i int) {
	at := standin.Node{
		Name:  hostName(i),
		Place: fmt.Sprintf("hall%d", i),
	}
	log, logged := test.NewNullLogger()
	ip := fmt.Sprintf("10.1.0.%d", i+1)
	var peers []string
	for j := range i {
		peers = append(peers, fmt.Sprintf("10.1.0.%d:7000", j+1))
	}
	advisor := advisorAddress
	if x.advisorOf != nil {
		advisor = x.advisorOf(i)
	}
	h := &host{
		Config: node.Config{
			Settings: platform.Settings{
				Host:           spoolsill.HostID(at.Name),
				Hall:           spoolsill.HallID(at.Place),
				IP:             ip,
				FirstPort:      7000,
				LastPort:       7010,
				ClientAddress:  ip + ":80",
				ReadyAddress:   ip + ":81",
				StoreAddress:   storeAddress,
				AdvisorAddress: advisor,
				Peers:          peers,
				Cores:          cmp.Or(x.cores[i], 0.4),
				Memory:         256 * spoolsill.MiB,
				LinkRate:       cmp.Or(x.link, smallLink),
				MaxRow:         64 << 10,
				Bounds: platform.Bounds{
					Lease:      testLease,
					StopGrace:  6 * time.Second,
					FarFactor:  1,
					StatusKept: 2 * time.Minute,
				},
			},
			Log:     log,
			Metrics: telemetry.New(),
			Dial:    x.network.Dialer(at),
			Listen:  func(a string) (net.Listener, error) { return x.network.Listen(at, a) },
		},
		logged: logged,
		err:    make(chan error, 1),
	}
	h.Clock = &clock.Clock{
		Suspended: func() time.Duration { return time.Duration(h.suspended.Load()) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	for len(x.hosts) <= i {
		x.hosts = append(x.hosts, nil)
	}
	x.hosts[i] = h
	n := node.New(h.Config)
	x.running.Go(func() { h.err <- n.Run(ctx) })
}

// end stops all hosts and fakes.
func (x *cell) end() {
	x.client.CloseIdleConnections()
	for _, h := range x.hosts {
		h.stop()
	}
	x.running.Wait()
	x.cancel()
	x.serving.Wait()
}

type result struct {
	status int
	body   string
}

func (x *cell) call(host int, method, path, body string) result {
	return x.callBy(x.client, host, method, path, body)
}

func (x *cell) callBy(c *http.Client, host int, method, path, body string) result {
	return x.callAs(c, "", host, method, path, body)
}

// callAs makes a call with a key, or without one if it is empty.
func (x *cell) callAs(c *http.Client, key string, host int, method, path, body string) result {
	r, err := http.NewRequestWithContext(x.ctx, method, "http://"+x.hosts[host].Settings.ClientAddress+path, strings.NewReader(body))
	x.c.Assert(err, qt.IsNil)
	r.Host = wire.Domain
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	p, err := c.Do(r)
	if err != nil {
		return result{
			body: err.Error(),
		}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	x.c.Assert(err, qt.IsNil)
	return result{
		status: p.StatusCode,
		body:   string(b),
	}
}

func (x *cell) state(host int, id string) string {
	return x.call(host, http.MethodGet, "/q/"+id, "").body
}

func (x *cell) leader() int {
	h, _, err := leader.ReadHead(x.ctx, x.store)
	x.c.Assert(err, qt.IsNil)
	for i := range x.hosts {
		if string(h.Host) == hostName(i) {
			return i
		}
	}
	return -1
}

func jobID(i int) string {
	return fmt.Sprintf("%016x", i)
}

// run runs f with a new cell on virtual time.
func run(t *testing.T, hosts, workers int, f func(x *cell)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t, hosts, workers)
		defer x.end()
		pause.For(x.ctx, 2*time.Second)
		f(x)
	})
}

const completed = `{"state":"completed"}`

func TestJobIsServedByEveryHost(t *testing.T) {
	run(t, 3, 2, func(x *cell) {
		for i := range 3 {
			r := x.call(i, http.MethodPost, "/q/"+jobID(i), body)
			x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
		}
		// Submitting the same job at another host has no effect.
		x.c.Assert(x.call(1, http.MethodPost, "/q/"+jobID(0), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 3*time.Second)
		for i := range 3 {
			x.c.Assert(x.state((i+1)%3, jobID(i)), qt.Equals, completed)
		}
		x.c.Assert(x.workers.StartCount(), qt.Equals, 6)
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
	})
}

func TestInvalidRequestsHaveNoEffect(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		for _, c := range []struct {
			method, path, body string
			status             int
		}{
			{http.MethodPost, "/q/" + jobID(1), "{", http.StatusBadRequest},
			{http.MethodPost, "/q/" + jobID(1), `{"steps":[]}`, http.StatusBadRequest},
			{http.MethodPost, "/q/" + jobID(1), `{"steps":[{"count":0}]}`, http.StatusBadRequest},
			{http.MethodPost, "/q/" + jobID(1), `{"steps":[{"count":1,"afterRev":[0]}]}`, http.StatusBadRequest},
			{http.MethodPost, "/q/nothex", body, http.StatusBadRequest},
			{http.MethodPost, "/q/" + jobID(1), strings.Repeat("x", 20_000), http.StatusRequestEntityTooLarge},
			{http.MethodPost, "/q/" + jobID(1), `{"steps":[{"count":5000}]}`, http.StatusRequestEntityTooLarge},
			{http.MethodPost, "/none/" + jobID(1), body, http.StatusNotFound},
			{http.MethodPut, "/q/" + jobID(1), body, http.StatusMethodNotAllowed},
			{http.MethodGet, "/q/" + jobID(1), "", http.StatusGone},
			{http.MethodDelete, "/q/" + jobID(1), "", http.StatusGone},
			{http.MethodGet, "/q/", "", http.StatusOK},
		} {
			r := x.call(0, c.method, c.path, c.body)
			x.c.Assert(r.status, qt.Equals, c.status, qt.Commentf("%v: %v", c, r))
		}
		x.c.Assert(x.call(1, http.MethodPost, "/q/"+jobID(2), body).status, qt.Equals, http.StatusOK)
		// A different job with the same id must be rejected without affecting the first
		// one.
		other := strings.Replace(body, `"s"`, `"t"`, 1)
		x.c.Assert(x.call(1, http.MethodPost, "/q/"+jobID(2), other).status, qt.Equals, http.StatusConflict)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.state(0, jobID(2)), qt.Equals, completed)
	})
}

func TestCancelledJobEnds(t *testing.T) {
	run(t, 2, 0, func(x *cell) {
		x.c.Assert(x.call(0, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.call(0, http.MethodGet, "/q/", "").body, qt.Equals, `{"waiting":1}`)
		x.c.Assert(x.call(1, http.MethodDelete, "/q/"+jobID(1), "").status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.state(0, jobID(1)), qt.Equals, `{"state":"cancelled"}`)
		x.c.Assert(x.call(0, http.MethodGet, "/q/", "").body, qt.Equals, `{"waiting":0}`)
	})
}

func TestConfigurationReachesAllHosts(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.c.Assert(x.call(2, http.MethodGet, "/extra/", "").status, qt.Equals, http.StatusOK)
		// One host is cut off from the store and learns of the change from the leader.
		cut := (x.leader() + 1) % 3
		x.network.SetPartitioned(hostName(cut), platformNode.Name, true)
		x.configure(2, false)
		x.store.DropHistory()
		pause.For(x.ctx, 1900*time.Millisecond)
		for i := range 3 {
			x.c.Assert(x.call(i, http.MethodGet, "/extra/", "").status, qt.Equals, http.StatusNotFound, qt.Commentf("host %d", i))
		}
		// An older version must have no effect.
		x.configure(1, true)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.call(0, http.MethodGet, "/extra/", "").status, qt.Equals, http.StatusNotFound)
	})
}

// A host that is cut off from the store must forward jobs to the leader, and report
// that it is not ready for new connections.
func TestHostWithoutStoreForwardsJobs(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		cut := (x.leader() + 1) % 3
		x.network.SetPartitioned(hostName(cut), platformNode.Name, true)
		pause.For(x.ctx, 4*time.Second)
		r := x.call(cut, http.MethodPost, "/q/"+jobID(1), body)
		x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
		x.c.Assert(x.ready(cut), qt.Equals, http.StatusServiceUnavailable)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.state(cut, jobID(1)), qt.Equals, completed)
		x.network.SetPartitioned(hostName(cut), platformNode.Name, false)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.ready(cut), qt.Equals, http.StatusOK)
	})
}

func (x *cell) ready(host int) int {
	p, err := x.client.Get("http://" + x.hosts[host].Settings.ReadyAddress + "/api/ready")
	x.c.Assert(err, qt.IsNil)
	_ = p.Body.Close()
	return p.StatusCode
}

// While the store is unreachable no job can be accepted. Clients must be told at once
// to retry, and never that the job will certainly not run.
func TestUnreachableStoreIsReportedAtOnce(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.store.SetUnavailable(true)
		pause.For(x.ctx, 2*time.Second)
		begun := time.Now()
		r := x.call(0, http.MethodPost, "/q/"+jobID(1), body)
		x.c.Assert(r.status, qt.Equals, http.StatusBadGateway)
		x.c.Assert(time.Since(begun) < 500*time.Millisecond, qt.IsTrue)
		x.store.SetUnavailable(false)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.call(0, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.state(1, jobID(1)), qt.Equals, completed)
	})
}

func TestIncompleteRequestTimesOut(t *testing.T) {
	run(t, 1, 0, func(x *cell) {
		dial := x.network.Dialer(standin.Node{
			Name:  "slow",
			Place: "clients",
		})
		c, err := dial(x.ctx, "tcp", x.hosts[0].Settings.ClientAddress)
		x.c.Assert(err, qt.IsNil)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "POST /q/"+jobID(1)+" HTTP/1.1\r\nHost: cell.example\r\nContent-Length: 100\r\n\r\n{")
		x.c.Assert(err, qt.IsNil)
		begun := time.Now()
		_, err = io.ReadAll(c)
		x.c.Assert(err, qt.IsNil)
		x.c.Assert(time.Since(begun) <= 20*time.Second, qt.IsTrue)
	})
}

// A client that requests a deadline of an hour must not be kept waiting for that long.
func TestLongDeadlinesAreBounded(t *testing.T) {
	run(t, 1, 0, func(x *cell) {
		x.store.SetFault(func(store.Transaction) cellfake.StoreFault { return cellfake.StoreLoseReply })
		r, err := http.NewRequestWithContext(x.ctx, http.MethodPost, "http://"+x.hosts[0].Settings.ClientAddress+"/q/"+jobID(1), strings.NewReader(body))
		x.c.Assert(err, qt.IsNil)
		r.Host = wire.Domain
		r.Header.Set("X-Spoolsill-Deadline-Ms", "3600000")
		c := x.newClient()
		c.Timeout = time.Hour
		begun := time.Now()
		p, err := c.Do(r)
		x.c.Assert(err, qt.IsNil)
		_ = p.Body.Close()
		x.c.Assert(p.StatusCode, qt.Equals, http.StatusGatewayTimeout)
		x.c.Assert(time.Since(begun) <= 10*time.Second, qt.IsTrue)
	})
}

// Jobs must reach the leader even while its feed delivers nothing.
func TestJobsReachTheLeaderWithoutTheFeed(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.store.SetFeedStalled(true)
		for i := range 3 {
			x.c.Assert(x.call(i, http.MethodPost, "/q/"+jobID(i), body).status, qt.Equals, http.StatusOK)
		}
		pause.For(x.ctx, 3*time.Second)
		for i := range 3 {
			x.c.Assert(x.state(i, jobID(i)), qt.Equals, completed)
		}
	})
}

func TestPlannedStopDropsNoRequests(t *testing.T) {
	run(t, 2, 2, func(x *cell) {
		old := x.leader()
		x.hosts[old].stop()
		for i := range 20 {
			r := x.callBy(x.newClient(), old, http.MethodPost, "/q/"+jobID(i), body)
			x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%d: %v", i, r))
			pause.For(x.ctx, 100*time.Millisecond)
		}
		x.c.Assert(x.leader(), qt.Equals, 1-old)
		x.c.Assert(<-x.hosts[old].err, qt.IsNil)
		pause.For(x.ctx, 5*time.Second)
		for i := range 20 {
			x.c.Assert(x.state(1-old, jobID(i)), qt.Equals, completed)
		}
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
	})
}
