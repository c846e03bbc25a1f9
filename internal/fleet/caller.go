package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
)

// A Balancer simulates the platform's load balancer. It probes the readiness of
// the hosts periodically and chooses a random ready host for each request.
type Balancer struct {
	fleet *Fleet
	http  *http.Client
	mu    sync.Mutex
	ready []string
}

// NewBalancer returns a balancer that considers no host ready until Run is called.
func NewBalancer(f *Fleet) *Balancer {
	return &Balancer{
		fleet: f,
		http:  f.HTTPClient(),
	}
}

// probeInterval is the time between two readiness probes of a host.
const probeInterval = 100 * time.Millisecond

// Run probes the readiness of all hosts until ctx ends. Each host is probed by a
// goroutine of its own, so that an unresponsive host does not delay the probes
// of the others.
func (b *Balancer) Run(ctx context.Context) {
	defer b.http.CloseIdleConnections()
	all, _ := b.fleet.States()
	var probes sync.WaitGroup
	for _, a := range all {
		probes.Go(func() {
			for ctx.Err() == nil {
				b.setReady(a, b.probe(ctx, a))
				pause.For(ctx, probeInterval)
			}
		})
	}
	probes.Wait()
}

// setReady records the result of a probe.
func (b *Balancer) setReady(address string, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = slices.DeleteFunc(b.ready, func(a string) bool { return a == address })
	if ready {
		b.ready = append(b.ready, address)
	}
}

// pickReady returns the address of a random ready host, or false if there is none.
func (b *Balancer) pickReady() (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", false
	}
	return b.ready[rand.IntN(len(b.ready))], true
}

// probe reports whether a host answers a readiness probe with status 200.
func (b *Balancer) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.http.Do(httpReq)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Callers send requests and verify the responses. They are safe for concurrent
// use.
type Callers struct {
	balancer *Balancer
	truth    *standin.Truth
	fleet    *Fleet
	client   *http.Client
	random   func() uint64

	// Done, NotRun and Unknown count the finished requests by outcome, Attempts
	// all attempts and Started all requests.
	Done     atomic.Int64
	NotRun   atomic.Int64
	Unknown  atomic.Int64
	Attempts atomic.Int64
	Started  atomic.Int64
}

// NewCallers returns callers that derive each request from a value of random.
func NewCallers(f *Fleet, b *Balancer, random func() uint64) *Callers {
	return &Callers{
		balancer: b,
		truth:    f.config.Cell.Truth,
		fleet:    f,
		client:   f.HTTPClient(),
		random:   random,
	}
}

// Close closes the callers' idle connections.
func (c *Callers) Close() {
	c.client.CloseIdleConnections()
}

// maxAttempts bounds the number of attempts of a request.
const maxAttempts = 4

// Request sends one request and retries it with the same key if it did not run or
// if its outcome is unknown.
func (c *Callers) Request(ctx context.Context) {
	n := c.Started.Add(1)
	r := c.random()
	key := spoolsill.RequestKey(fmt.Sprintf("%s/q%d", c.halls()[n%int64(len(c.halls()))], n))
	if n%5 == 0 {
		key = spoolsill.RequestKey(fmt.Sprintf("q%d", n))
	}
	req := request{
		key:          key,
		unrepeatable: r%3 == 0,
		body:         bytes.Repeat([]byte{byte('a' + n%26)}, int(r>>8%2000)+1),
		issued:       time.Now(),
		class:        spoolsill.Class(r >> 20 % 3),
		worth:        int(r>>24%100) + 1,
		caller:       fmt.Sprintf("team-%d", r>>32%40),
	}
	last := spoolsill.OutcomeNotRun
	mayHaveRun := false
	for range maxAttempts {
		last = c.attempt(ctx, req)
		mayHaveRun = mayHaveRun || last == spoolsill.OutcomeUnknown
		if last == spoolsill.OutcomeDone || ctx.Err() != nil {
			break
		}
		pause.For(ctx, 60*time.Millisecond)
	}
	c.recordOutcome(req, last, mayHaveRun)
}

// recordOutcome counts the outcome of a request and checks it against the records
// of the simulated runners.
func (c *Callers) recordOutcome(req request, last spoolsill.Outcome, mayHaveRun bool) {
	runs := c.truth.RequestStarts(req.key)
	if req.unrepeatable && runs > 1 {
		c.truth.RecordViolation(standin.InvariantAtMostOnce, "unrepeatable request %s ran %d times", req.key, runs)
	}
	switch {
	case last == spoolsill.OutcomeDone:
		c.Done.Add(1)
		if runs == 0 {
			c.truth.RecordViolation(standin.InvariantWholeAnswer, "request %s was reported as done but never ran", req.key)
		}
	case mayHaveRun:
		c.Unknown.Add(1)
	default:
		c.NotRun.Add(1)
		if runs > 0 {
			c.truth.RecordViolation(standin.InvariantNotRun, "request %s was reported as not run but ran %d times", req.key, runs)
		}
	}
}

// A request is sent by one caller and keeps its key over all attempts.
type request struct {
	key          spoolsill.RequestKey
	unrepeatable bool
	body         []byte
	issued       time.Time
	class        spoolsill.Class
	worth        int
	caller       string
}

// attempt sends a request once and returns its outcome.
func (c *Callers) attempt(ctx context.Context, req request) spoolsill.Outcome {
	address, ok := c.balancer.pickReady()
	if !ok {
		return spoolsill.OutcomeNotRun
	}
	c.Attempts.Add(1)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/call/"+string(c.fleet.config.Service.ID)+"/mark", bytes.NewReader(req.body))
	if err != nil {
		return spoolsill.OutcomeNotRun
	}
	httpReq.Header.Set(entry.HeaderKey, string(req.key))
	httpReq.Header.Set(entry.HeaderCaller, req.caller)
	httpReq.Header.Set(entry.HeaderDeadline, "3s")
	httpReq.Header.Set(entry.HeaderClass, req.class.String())
	httpReq.Header.Set(entry.HeaderWorth, strconv.Itoa(req.worth))
	if req.unrepeatable {
		httpReq.Header.Set(entry.HeaderUnrepeatable, "true")
		httpReq.Header.Set(entry.HeaderIssued, strconv.FormatInt(req.issued.UnixMilli(), 10))
	}
	resp, err := c.client.Do(httpReq)
	if err != nil {
		return c.classifyError(ctx, address, req, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.classifyError(ctx, address, req, err)
	}
	return c.checkResponse(req, resp, body)
}

// classifyError returns the outcome of a request that failed with a transport
// error. If the connection could not be established, the request did not run. It
// reports a violation if a planned stop of the host cut the request off.
func (c *Callers) classifyError(ctx context.Context, address string, req request, err error) spoolsill.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return spoolsill.OutcomeNotRun
	}
	if ctx.Err() == nil && c.stoppedAsPlanned(address) {
		c.truth.RecordViolation(standin.InvariantPlannedStop, "request %s was cut off by a planned stop: %s", req.key, err)
	}
	return spoolsill.OutcomeUnknown
}

// stoppedAsPlanned reports whether a planned stop of the host at an address has begun.
func (c *Callers) stoppedAsPlanned(address string) bool {
	all, states := c.fleet.States()
	for i, a := range all {
		if a == address {
			return states[i] == Stopped
		}
	}
	return false
}

// checkResponse returns the outcome of a request according to the response, and
// reports a violation if it has a wrong body or no outcome.
func (c *Callers) checkResponse(req request, resp *http.Response, body []byte) spoolsill.Outcome {
	outcome := spoolsill.Outcome(resp.Header.Get(entry.HeaderOutcome))
	switch outcome {
	case spoolsill.OutcomeDone:
		if want := standin.ResponseBody(req.key, req.body); string(body) != want {
			c.truth.RecordViolation(standin.InvariantWholeAnswer, "request %s got %q, want %q", req.key, body, want)
		}
	case spoolsill.OutcomeNotRun, spoolsill.OutcomeUnknown:
	default:
		c.truth.RecordViolation(standin.InvariantWholeAnswer, "request %s got an answer without an outcome: status %d", req.key, resp.StatusCode)
		return spoolsill.OutcomeUnknown
	}
	return outcome
}

func (c *Callers) halls() []spoolsill.HallID {
	return c.fleet.config.Halls
}
