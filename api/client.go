package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/timeline"
)

// DefaultTimeout is the timeout of each HTTP request of a [Client].
const DefaultTimeout = 10 * time.Second

const maxResponseBytes = 256 << 20

// A StatusError is an HTTP response with an error status.
type StatusError struct {
	Status int
	Code   string
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s (%s)", e.Text, e.Code)
}

// ErrNoHostReachable is returned when none of the hosts could be reached.
var ErrNoHostReachable = errors.New("api: no entry host can be reached")

// A Client calls the HTTP interface for operators. It sends each call to the
// first of several entry hosts that accepts a connection. It is safe for
// concurrent use.
type Client struct {
	// Hosts lists the IP addresses and ports of entry hosts.
	Hosts []string
	// HTTPClient sends the calls; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// Plan requests a plan of the changes that an intent would make.
func (c *Client) Plan(ctx context.Context, r PlanRequest) (holder.Plan, error) {
	var p holder.Plan
	return p, c.do(ctx, http.MethodPost, "/v1/plans", r, &p)
}

// Confirm applies a plan of a hall. The call can be repeated if its response was
// lost.
func (c *Client) Confirm(ctx context.Context, h spoolsill.HallID, id spoolsill.PlanID) error {
	path := "/v1/plans/" + url.PathEscape(string(id)) + "/confirm?hall=" + url.QueryEscape(string(h))
	return c.do(ctx, http.MethodPost, path, nil, nil)
}

// Jobs returns the jobs of a hall, or of all halls if h is empty.
func (c *Client) Jobs(ctx context.Context, h spoolsill.HallID) (Jobs, error) {
	var out Jobs
	return out, c.do(ctx, http.MethodGet, "/v1/jobs"+hallQuery(h), nil, &out)
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id spoolsill.JobID) (JobDetail, error) {
	var out JobDetail
	return out, c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil, &out)
}

// Workers returns the workers of a hall, or of all halls if h is empty.
func (c *Client) Workers(ctx context.Context, h spoolsill.HallID) (Workers, error) {
	var out Workers
	return out, c.do(ctx, http.MethodGet, "/v1/workers"+hallQuery(h), nil, &out)
}

// ListHosts returns all entry hosts of the cell.
func (c *Client) ListHosts(ctx context.Context) (Hosts, error) {
	var out Hosts
	return out, c.do(ctx, http.MethodGet, "/v1/hosts", nil, &out)
}

// Config returns the configuration that is in force on the host that responds.
func (c *Client) Config(ctx context.Context) (ConfigRevision, error) {
	var out ConfigRevision
	return out, c.do(ctx, http.MethodGet, "/v1/config", nil, &out)
}

// PutConfig proposes a new version of the configuration.
func (c *Client) PutConfig(ctx context.Context, p PutConfigRequest) (PutConfigResponse, error) {
	var out PutConfigResponse
	return out, c.do(ctx, http.MethodPut, "/v1/config", p, &out)
}

// ConfigHistory returns the accepted versions of the configuration, newest
// first.
func (c *Client) ConfigHistory(ctx context.Context) (ConfigHistory, error) {
	var out ConfigHistory
	return out, c.do(ctx, http.MethodGet, "/v1/config/history", nil, &out)
}

// Timeline returns the events of all hosts that match a filter, at most limit
// of them.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter, limit int) (Timeline, error) {
	q := url.Values{}
	set := func(k, v string) {
		if v != "" {
			q.Set(k, v)
		}
	}
	set("job", string(f.Job))
	set("task", f.Task)
	set("request", string(f.Request))
	set("worker", string(f.Worker))
	set("hall", string(f.Hall))
	if f.After != (timeline.Timestamp{}) {
		q.Set("after", strconv.FormatInt(f.After.Wall, 10))
		q.Set("after_counter", strconv.FormatUint(uint64(f.After.Counter), 10))
	}
	q.Set("limit", strconv.Itoa(limit))
	var out Timeline
	return out, c.do(ctx, http.MethodGet, "/v1/timeline?"+q.Encode(), nil, &out)
}

func hallQuery(h spoolsill.HallID) string {
	if h == "" {
		return ""
	}
	return "?hall=" + url.QueryEscape(string(h))
}

// do sends a call to the first host that accepts a connection. It does not try
// the next host after any other error, since the call may have taken effect.
func (c *Client) do(ctx context.Context, method, path string, payload, result any) error {
	var body []byte
	if payload != nil {
		var err error
		body, err = json.Marshal(payload)
		if err != nil {
			return err
		}
	}
	var err error
	for _, h := range c.Hosts {
		err = c.doOnce(ctx, method, "http://"+h+path, body, result)
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			continue
		}
		return err
	}
	return fmt.Errorf("%w: %w", ErrNoHostReachable, err)
}

func (c *Client) doOnce(ctx context.Context, method, target string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return newStatusError(response.StatusCode, b)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(b, result)
}

func newStatusError(status int, b []byte) error {
	e := &StatusError{
		Status: status,
	}
	var x ErrorResponse
	if json.Unmarshal(b, &x) != nil {
		x.Text = string(b)
	}
	e.Code, e.Text = x.Code, x.Text
	return e
}
