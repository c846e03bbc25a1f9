//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
)

const (
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
	retryDelay  = 300 * time.Millisecond
	maxAttempts = 8
)

// A client submits jobs and asks for their states. It may be used concurrently.
type client struct {
	fronts []string
	http   *http.Client
	record *record
}

func newClient(fronts []string, r *record) *client {
	return &client{
		fronts: fronts,
		record: r,
		http: &http.Client{
			Timeout: callTimeout,
		},
	}
}

func newJobID() spoolsill.JobID {
	return spoolsill.JobID(fmt.Sprintf("%016x", rand.Uint64()))
}

// ready reports whether all hosts answer a request for the count of waiting jobs.
func (c *client) ready() bool {
	for i := range c.fronts {
		if status, _, _ := c.call(i, http.MethodGet, queuePrefix, ""); status != http.StatusOK {
			return false
		}
	}
	return true
}

// submit submits a job, at another host after each attempt without success, and reports
// whether it was accepted.
func (c *client) submit(ctx context.Context, id spoolsill.JobID, body string) bool {
	first := rand.N(len(c.fronts))
	for i := range maxAttempts {
		status, _, err := c.call(first+i, http.MethodPost, queuePrefix+string(id), body)
		c.record.add("client: POST %s at host %d: %s", id, (first+i)%len(c.fronts)+1, outcome(status, err))
		if status == http.StatusOK {
			return true
		}
		if !wait(ctx, retryDelay) {
			return false
		}
	}
	return false
}

// state returns the state of a job as the first host that knows it tells, or "" if none does.
func (c *client) state(id spoolsill.JobID) string {
	first := rand.N(len(c.fronts))
	for i := range c.fronts {
		status, body, err := c.call(first+i, http.MethodGet, queuePrefix+string(id), "")
		if status == http.StatusOK {
			var w struct {
				State string `json:"state"`
			}
			if json.Unmarshal(body, &w) == nil {
				return w.State
			}
		}
		c.record.add("client: GET %s at host %d: %s", id, (first+i)%len(c.fronts)+1, outcome(status, err))
	}
	return ""
}

func (c *client) call(front int, method, path, body string) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+c.fronts[front%len(c.fronts)]+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = wire.Domain
	r.Header.Set("X-Spoolsill-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

func outcome(status int, err error) string {
	if err != nil {
		return "no answer"
	}
	return fmt.Sprint(status)
}
