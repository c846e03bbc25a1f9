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
	// tries is how often a client hands the same job in.
	tries = 5
	// thinking is the longest that a client rests between two calls.
	thinking = 300 * time.Millisecond
)

// queues are the path prefixes of the queues that clients hand jobs in to.
var queues = []string{"/urgent/", "/patient/"}

// A client hands in jobs, asks for their states and cancels some, on
// connections that it keeps.
type client struct {
	name   int
	random *rand.Rand
	hosts  []string // addresses
	judge  *Judge
	http   *http.Client
	made   int
	open   []handedIn

	choosing sync.Mutex // held while a host is chosen
}

type handedIn struct {
	id   spoolsill.JobID
	path string
}

func newClient(name int, seed uint64, hosts []string, j *Judge) *client {
	return &client{
		name:   name,
		random: rand.New(rand.NewPCG(seed, uint64(name))), //nolint:gosec // a seed is to give the same plan each time
		hosts:  hosts,
		judge:  j,
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
			c.handIn(ctx)
		case n == 5:
			c.cancel(ctx)
		default:
			c.ask(ctx)
		}
		wait(ctx, time.Duration(c.random.Int64N(int64(thinking))))
	}
}

// call makes one call at a random host; status 0 means that there was no
// complete answer.
func (c *client) call(ctx context.Context, method, path, body string) (int, string) {
	return c.callAt(ctx, c.anyHost(), method, path, body)
}

// anyHost returns a random host. Calls may be made by several goroutines.
func (c *client) anyHost() string {
	c.choosing.Lock()
	defer c.choosing.Unlock()
	return c.hosts[c.random.IntN(len(c.hosts))]
}

func (c *client) callAt(ctx context.Context, host, method, path, body string) (int, string) {
	return c.callAs(ctx, clientKey, host, method, path, body)
}

// callAs makes one call at a host with a key.
func (c *client) callAs(ctx context.Context, key, host, method, path, body string) (int, string) {
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

// A step of a job as clients write it.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	EstMS      int   `json:"estMs"`
	AfterRev   []int `json:"afterRev,omitempty"`
	Gang       bool  `json:"gang,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	Lasting    bool  `json:"longRunning,omitempty"`
}

const (
	// lastingPart is one in how many jobs lasts until it is cancelled.
	lastingPart = 50
	// lastingPrefix begins the ids of such jobs.
	lastingPrefix = "f"
)

func lasts(id spoolsill.JobID) bool {
	return strings.HasPrefix(string(id), lastingPrefix)
}

// newJob returns a job of one or two steps.
func (c *client) newJob() (handedIn, string, []step) {
	c.made++
	h := handedIn{
		id: spoolsill.JobID(fmt.Sprintf("%08x%08x", c.name, c.made)),
	}
	steps := []step{c.newStep()}
	if c.random.IntN(lastingPart) == 0 {
		h.id = spoolsill.JobID(fmt.Sprintf("%s%07x%08x", lastingPrefix, c.name, c.made))
		steps = []step{
			{
				Count:   1,
				CPU:     1000,
				Lasting: true,
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

func (c *client) handIn(ctx context.Context) {
	h, body, steps := c.newJob()
	c.open = append(c.open, h)
	for range tries {
		c.judge.HandIn(h.id, steps)
		status, _ := c.call(ctx, http.MethodPost, h.path, body)
		c.judge.HandedIn(h.id, status)
		if status == http.StatusOK || refuses(status) {
			return
		}
		if !wait(ctx, time.Duration(c.random.Int64N(int64(2*thinking)))) {
			return
		}
	}
}

func (c *client) ask(ctx context.Context) {
	if len(c.open) == 0 {
		return
	}
	i := c.random.IntN(len(c.open))
	if final(c.stateOf(ctx, c.open[i])) && c.random.IntN(2) == 0 {
		c.open = append(c.open[:i], c.open[i+1:]...)
	}
}

// stateOf asks for a job's state; empty means that it was not told.
func (c *client) stateOf(ctx context.Context, h handedIn) string {
	status, body := c.call(ctx, http.MethodGet, h.path, "")
	switch status {
	case http.StatusOK:
		var s struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal([]byte(body), &s); err != nil {
			return ""
		}
		c.judge.Shown(h.id, s.State)
		return s.State
	case http.StatusGone:
		c.judge.Shown(h.id, "gone")
	}
	return ""
}

func (c *client) cancel(ctx context.Context) {
	if len(c.open) == 0 {
		return
	}
	c.cancelJob(ctx, c.open[c.random.IntN(len(c.open))])
}

// cancelJob cancels a job and reports whether that was acknowledged.
func (c *client) cancelJob(ctx context.Context, h handedIn) bool {
	c.judge.CancelSent(h.id)
	status, _ := c.call(ctx, http.MethodDelete, h.path, "")
	if status == http.StatusOK {
		c.judge.Cancelled(h.id)
	}
	return status == http.StatusOK || status == http.StatusGone
}
