package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/spoolsill/spoolsill"
)

// ErrNotExecuted is returned when the agent certainly did not do what was asked.
var ErrNotExecuted = errors.New("agent: refused")

// ErrUnknownOutcome is returned when the agent may have done what was asked.
var ErrUnknownOutcome = errors.New("agent: answer lost")

// DefaultTimeout bounds each call.
const DefaultTimeout = time.Second

const maxAnswer = 8 << 20

// A StartRequest asks for one start of a task.
type StartRequest struct {
	Task    spoolsill.TaskID    `json:"task"`
	Attempt spoolsill.Attempt   `json:"attempt"`
	Epoch   spoolsill.Epoch     `json:"epoch"`
	Shape   spoolsill.Resources `json:"shape"`
	Command string              `json:"command"`
	Runtime time.Duration       `json:"runtime_ns"`
	// LeaseEnd is Unix time in milliseconds.
	LeaseEnd int64 `json:"lease_end_ms"`
}

// A TaskAttempt names one start of a task.
type TaskAttempt struct {
	Task    spoolsill.TaskID  `json:"task"`
	Attempt spoolsill.Attempt `json:"attempt"`
}

// A RenewRequest extends the leases of tasks, and lets the agent forget ended ones.
type RenewRequest struct {
	Epoch    spoolsill.Epoch `json:"epoch"`
	LeaseEnd int64           `json:"lease_end_ms"`
	Tasks    []TaskAttempt   `json:"tasks"`
	Forget   []TaskAttempt   `json:"forget"`
}

// State says how a task is on its worker.
type State string

// The states of a task on its worker.
const (
	Running      State = "running"
	Exited       State = "exited"
	Failed       State = "failed"
	Checkpointed State = "checkpointed"
	Stopped      State = "stopped"
	Expired      State = "expired" // its lease ended, and so did it
)

// A Status is what an agent reports of one start of a task.
type Status struct {
	TaskAttempt
	State State               `json:"state"`
	Used  spoolsill.Resources `json:"used"`
}

// Verb is what a signal asks for.
type Verb string

// The verbs of signals.
const (
	Stop       Verb = "stop"
	Checkpoint Verb = "checkpoint"
	Throttle   Verb = "throttle"
)

// A Signal asks something of a running task.
type Signal struct {
	TaskAttempt
	Verb Verb `json:"verb"`
}

// A Config describes a [Client].
type Config struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// A Client reaches agents. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	return &Client{
		config: c,
		http: &http.Client{
			Transport: &http.Transport{
				DialContext:         c.Dial,
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     time.Minute,
			},
		},
	}
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Start starts a task at the agent with an address.
func (c *Client) Start(ctx context.Context, address string, s StartRequest) error {
	return c.call(ctx, address, "/v1/start", s, nil)
}

// Renew extends leases and returns the status of every task that the agent
// knows.
func (c *Client) Renew(ctx context.Context, address string, r RenewRequest) ([]Status, error) {
	var out []Status
	err := c.call(ctx, address, "/v1/renew", r, &out)
	return out, err
}

// Signal asks something of a running task.
func (c *Client) Signal(ctx context.Context, address string, s Signal) error {
	return c.call(ctx, address, "/v1/signal", s, nil)
}

func (c *Client) call(ctx context.Context, address, path string, q, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	body, err := json.Marshal(q)
	if err != nil {
		return err
	}
	p, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	p.Header.Set("Content-Type", "application/json")
	r, err := c.http.Do(p)
	if err != nil {
		return classify(err)
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if r.StatusCode == http.StatusConflict {
		return fmt.Errorf("%w: %.200s", ErrNotExecuted, b)
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnknownOutcome, r.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(b, into); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotExecuted, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}
