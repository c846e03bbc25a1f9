package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
)

const (
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
	// maxSubmits is how often a client submits the same job.
	maxSubmits = 5
	// maxThinkTime is the longest pause of a client between two calls.
	maxThinkTime = 300 * time.Millisecond
)

// queues are the path prefixes of the queues that clients submit jobs to.
var queues = []string{"/urgent/", "/patient/"}

// A client submits jobs, polls their states and cancels some, over persistent connections.
type client struct {
	number     int
	random     *rand.Rand
	hosts      []string // addresses
	checker    *Checker
	httpClient *http.Client
	jobCount   int
	open       []submission

	randomMu sync.Mutex // guards random where several goroutines choose a host
}

// A submission is the id of a submitted job and the path of the calls about it.
type submission struct {
	id   spoolsill.JobID
	path string
}

func newClient(number int, seed uint64, hosts []string, c *Checker) *client {
	return &client{
		number:  number,
		random:  rand.New(rand.NewPCG(seed, uint64(number))), //nolint:gosec // a seed has to give the same plan each time
		hosts:   hosts,
		checker: c,
		httpClient: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
			},
			Timeout: callTimeout,
		},
	}
}

func (c *client) run(ctx context.Context) {
	defer c.httpClient.CloseIdleConnections()
	for ctx.Err() == nil {
		switch n := c.random.IntN(10); {
		case n < 5:
			c.submit(ctx)
		case n == 5:
			c.cancel(ctx)
		default:
			c.poll(ctx)
		}
		wait(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
}

// call makes one call to a random host. Status 0 means that there was no complete answer.
func (c *client) call(ctx context.Context, method, path, body string) (int, string) {
	return c.callAt(ctx, c.randomHost(), method, path, body)
}

// randomHost returns a random host. It is safe for concurrent use.
func (c *client) randomHost() string {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return c.hosts[c.random.IntN(len(c.hosts))]
}

// callAt makes one call to a host, like call.
func (c *client) callAt(ctx context.Context, host, method, path, body string) (int, string) {
	return c.callWithKey(ctx, clientKey, host, method, path, body)
}

// callWithKey makes one call to a host with a key, like call.
func (c *client) callWithKey(ctx context.Context, key, host, method, path, body string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = wire.Domain
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// A step is a step of a job in the encoding that clients use.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	EstMS       int   `json:"estMs"`
	AfterRev    []int `json:"afterRev,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	Checkpoint  bool  `json:"checkpoint,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
}

const (
	// On average, one of longRunningEvery jobs runs until it is cancelled.
	longRunningEvery = 50
	// longRunningPrefix is the prefix of the ids of such jobs.
	longRunningPrefix = "f"
)

func isLongRunning(id spoolsill.JobID) bool {
	return strings.HasPrefix(string(id), longRunningPrefix)
}

// newJob returns a random job of one or two steps, with its encoding and its steps.
func (c *client) newJob() (submission, string, []step) {
	c.jobCount++
	sub := submission{
		id: spoolsill.JobID(fmt.Sprintf("%08x%08x", c.number, c.jobCount)),
	}
	steps := []step{c.newStep()}
	if c.random.IntN(longRunningEvery) == 0 {
		sub.id = spoolsill.JobID(fmt.Sprintf("%s%07x%08x", longRunningPrefix, c.number, c.jobCount))
		steps = []step{
			{
				Count:       1,
				CPU:         1000,
				LongRunning: true,
			},
		}
	} else if c.random.IntN(3) == 0 {
		second := c.newStep()
		second.AfterRev = []int{0}
		steps = append(steps, second)
	}
	sub.path = queues[c.random.IntN(len(queues))] + string(sub.id)
	b, err := json.Marshal(map[string]any{
		"spec":  "work of " + string(sub.id),
		"steps": steps,
	})
	if err != nil {
		panic(err) // cannot happen: the map has only values that can be encoded
	}
	return sub, string(b), steps
}

func (c *client) newStep() step {
	return step{
		Count: 1 + c.random.IntN(3),
		CPU:   1000,
		EstMS: 400,
		Gang:  c.random.IntN(4) == 0,
	}
}

func (c *client) submit(ctx context.Context) {
	sub, body, steps := c.newJob()
	c.open = append(c.open, sub)
	for range maxSubmits {
		c.checker.SubmitSent(sub.id, steps)
		status, _ := c.call(ctx, http.MethodPost, sub.path, body)
		c.checker.SubmitAnswered(sub.id, status)
		if status == http.StatusOK || isRefusal(status) {
			return
		}
		if !wait(ctx, time.Duration(c.random.Int64N(int64(2*maxThinkTime)))) {
			return
		}
	}
}

func (c *client) poll(ctx context.Context) {
	if len(c.open) == 0 {
		return
	}
	i := c.random.IntN(len(c.open))
	if isFinal(c.stateOf(ctx, c.open[i])) && c.random.IntN(2) == 0 {
		c.open = append(c.open[:i], c.open[i+1:]...)
	}
}

// stateOf queries the state of a job; it is empty if the query fails or there is no such
// job.
func (c *client) stateOf(ctx context.Context, sub submission) string {
	status, body := c.call(ctx, http.MethodGet, sub.path, "")
	switch status {
	case http.StatusOK:
		var s struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(body), &s); err != nil {
			return ""
		}
		c.checker.StateReported(sub.id, s.State)
		return s.State
	case http.StatusGone:
		c.checker.StateReported(sub.id, "gone")
	}
	return ""
}

func (c *client) cancel(ctx context.Context) {
	if len(c.open) == 0 {
		return
	}
	c.cancelJob(ctx, c.open[c.random.IntN(len(c.open))])
}

// cancelJob cancels a job and reports whether that was acknowledged or the job is unknown.
func (c *client) cancelJob(ctx context.Context, sub submission) bool {
	c.checker.CancelSent(sub.id)
	status, _ := c.call(ctx, http.MethodDelete, sub.path, "")
	if status == http.StatusOK {
		c.checker.CancelAcked(sub.id)
	}
	return status == http.StatusOK || status == http.StatusGone
}
