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

// ErrNotRun is returned when the agent certainly did not execute the request: it
// rejected it, or no connection could be opened.
var ErrNotRun = errors.New("agent: refused")

// ErrUnknownOutcome is returned when the agent may have executed the request.
var ErrUnknownOutcome = errors.New("agent: answer lost")

// DefaultTimeout is the default of [Config.Timeout].
const DefaultTimeout = time.Second

const maxResponseBytes = 8 << 20

// A StartRequest asks an agent to start a task.
type StartRequest struct {
	Task    spoolsill.TaskID    `json:"task"`
	Attempt spoolsill.Attempt   `json:"attempt"`
	Epoch   spoolsill.Epoch     `json:"epoch"`
	Shape   spoolsill.Resources `json:"shape"`
	Command string              `json:"command"`
	Runtime time.Duration       `json:"runtime_ns"`
	// LeaseEnd is the end of the task's lease as Unix time in milliseconds.
	LeaseEnd int64 `json:"lease_end_ms"`
}

// A TaskAttempt identifies one attempt to run a task.
type TaskAttempt struct {
	Task    spoolsill.TaskID  `json:"task"`
	Attempt spoolsill.Attempt `json:"attempt"`
}

// A RenewRequest extends the leases of Tasks to LeaseEnd. It also asks the agent
// to drop the status of those tasks in Forget that have ended.
type RenewRequest struct {
	Epoch    spoolsill.Epoch `json:"epoch"`
	LeaseEnd int64           `json:"lease_end_ms"`
	Tasks    []TaskAttempt   `json:"tasks"`
	Forget   []TaskAttempt   `json:"forget"`
}

// State is the state of a task on its worker.
type State string

// The states of a task on its worker.
const (
	Running      State = "running"
	Exited       State = "exited"
	Failed       State = "failed"
	Checkpointed State = "checkpointed"
	Stopped      State = "stopped"
	Expired      State = "expired" // ended by the agent because its lease expired
)

// A Status is the status of one attempt of a task, as reported by the agent.
type Status struct {
	TaskAttempt
	State State               `json:"state"`
	Used  spoolsill.Resources `json:"used"`
}

// Verb is the action that a signal requests.
type Verb string

// The verbs of signals.
const (
	Stop       Verb = "stop"
	Checkpoint Verb = "checkpoint"
	Throttle   Verb = "throttle"
)

// A Signal requests an action on a running task.
type Signal struct {
	TaskAttempt
	Verb Verb `json:"verb"`
}

// A Config configures a [Client].
type Config struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Timeout is the timeout of each call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// A Client calls agents. It is safe for concurrent use.
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

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Start asks the agent at address to start a task.
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

// Signal sends a signal to a running task.
func (c *Client) Signal(ctx context.Context, address string, s Signal) error {
	return c.call(ctx, address, "/v1/signal", s, nil)
}

// call posts payload as JSON and decodes the response into result unless that is
// nil.
func (c *Client) call(ctx context.Context, address, path string, payload, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	body, err := json.Marshal(payload)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return classifyError(err)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if response.StatusCode == http.StatusConflict {
		return fmt.Errorf("%w: %.200s", ErrNotRun, b)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrUnknownOutcome, response.StatusCode)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(b, result); err != nil {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return nil
}

// classifyError wraps err in [ErrNotRun] if the connection could not be opened, since
// the agent cannot have received the request then, and otherwise in [ErrUnknownOutcome].
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}
