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
	number  int
	random  *rand.Rand
	hosts   []string // addresses
	checker *Checker
	http    *http.Client
	created int
	open    []submission

	randomMu sync.Mutex // guards random where several goroutines choose a host
}

type submission struct {
	id   spoolsill.JobID
	path string
}

func newClient(number int, seed uint64, hosts []string, j *Checker) *client {
	return &client{
		number:  number,
		random:  rand.New(rand.NewPCG(seed, uint64(number))), //nolint:gosec // a seed is to give the same plan each time
		hosts:   hosts,
		checker: j,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
			},
			Timeout: callTimeout,
		},
	}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
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

// call makes one call at a random host; status 0 means that there was no
// complete answer.
func (c *client) call(ctx context.Context, method, path, body string) (int, string) {
	return c.callAt(ctx, c.anyHost(), method, path, body)
}

// anyHost returns a random host. It is safe for concurrent use.
func (c *client) anyHost() string {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return c.hosts[c.random.IntN(len(c.hosts))]
}

func (c *client) callAt(ctx context.Context, host, method, path, body string) (int, string) {
	return c.callWithKey(ctx, clientKey, host, method, path, body)
}

// callWithKey makes one call at a host with a key.
func (c *client) callWithKey(ctx context.Context, key, host, method, path, body string) (int, string) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = wire.Domain
	r.Header.Set("Authorization", "Bearer "+key)
	p, err := c.http.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return 0, err.Error()
	}
	return p.StatusCode, string(b)
}

// A step is a step of a job, as clients encode it.
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
	// One of longRunningEvery jobs runs until it is cancelled.
	longRunningEvery = 50
	// longRunningPrefix is the prefix of the ids of such jobs.
	longRunningPrefix = "f"
)

func isLongRunning(id spoolsill.JobID) bool {
	return strings.HasPrefix(string(id), longRunningPrefix)
}

// newJob returns a job of one or two steps.
func (c *client) newJob() (submission, string, []step) {
	c.created++
	h := submission{
		id: spoolsill.JobID(fmt.Sprintf("%08x%08x", c.number, c.created)),
	}
	steps := []step{c.newStep()}
	if c.random.IntN(longRunningEvery) == 0 {
		h.id = spoolsill.JobID(fmt.Sprintf("%s%07x%08x", longRunningPrefix, c.number, c.created))
		steps = []step{
			{
				Count:       1,
				CPU:         1000,
				LongRunning: true,
			},
		}
	} else if c.random.IntN(3) == 0 {
		s := c.newStep()
		s.AfterRev = []int{0}
		steps = append(steps, s)
	}
	h.path = queues[c.random.IntN(len(queues))] + string(h.id)
	b, err := json.Marshal(map[string]any{
		"spec":  "work of " + string(h.id),
		"steps": steps,
	})
	if err != nil {
		panic(err) // the map above can be encoded
	}
	return h, string(b), steps
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
	h, body, steps := c.newJob()
	c.open = append(c.open, h)
	for range maxSubmits {
		c.checker.SubmitSent(h.id, steps)
		status, _ := c.call(ctx, http.MethodPost, h.path, body)
		c.checker.SubmitAnswered(h.id, status)
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
func (c *client) stateOf(ctx context.Context, h submission) string {
	status, body := c.call(ctx, http.MethodGet, h.path, "")
	switch status {
	case http.StatusOK:
		var s struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(body), &s); err != nil {
			return ""
		}
		c.checker.StateReported(h.id, s.State)
		return s.State
	case http.StatusGone:
		c.checker.StateReported(h.id, "gone")
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
func (c *client) cancelJob(ctx context.Context, h submission) bool {
	c.checker.CancelSent(h.id)
	status, _ := c.call(ctx, http.MethodDelete, h.path, "")
	if status == http.StatusOK {
		c.checker.CancelAcked(h.id)
	}
	return status == http.StatusOK || status == http.StatusGone
}
