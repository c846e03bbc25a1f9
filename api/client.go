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

// DefaultTimeout bounds each call of a [Client].
const DefaultTimeout = 10 * time.Second

const maxAnswer = 256 << 20

// A StatusError is an answer that is not a success.
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

// A Client calls the operators' interface of the first of several entry hosts
// that can be reached. It is safe for concurrent use.
type Client struct {
	// Hosts are IPs and ports of entry hosts.
	Hosts []string
	// HTTPClient makes the calls; nil means http.DefaultClient.
	HTTPClient *http.Client
}

// Plan asks what an intent would change.
func (c *Client) Plan(ctx context.Context, i PlanRequest) (holder.Plan, error) {
	var p holder.Plan
	return p, c.do(ctx, http.MethodPost, "/v1/plans", i, &p)
}

// Confirm has a plan of a hall applied. After a lost answer it may be called
// again.
func (c *Client) Confirm(ctx context.Context, h spoolsill.HallID, id spoolsill.PlanID) error {
	path := "/v1/plans/" + url.PathEscape(string(id)) + "/confirm?hall=" + url.QueryEscape(string(h))
	return c.do(ctx, http.MethodPost, path, nil, nil)
}

// Jobs returns the jobs of a hall, or of all.
func (c *Client) Jobs(ctx context.Context, h spoolsill.HallID) (Jobs, error) {
	var out Jobs
	return out, c.do(ctx, http.MethodGet, "/v1/jobs"+hallQuery(h), nil, &out)
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id spoolsill.JobID) (JobDetail, error) {
	var out JobDetail
	return out, c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(string(id)), nil, &out)
}

// Workers returns the workers of a hall, or of all.
func (c *Client) Workers(ctx context.Context, h spoolsill.HallID) (Workers, error) {
	var out Workers
	return out, c.do(ctx, http.MethodGet, "/v1/workers"+hallQuery(h), nil, &out)
}

// ListHosts returns all entry hosts of the cell.
func (c *Client) ListHosts(ctx context.Context) (Hosts, error) {
	var out Hosts
	return out, c.do(ctx, http.MethodGet, "/v1/hosts", nil, &out)
}

// Config returns the configuration in force at the host that answers.
func (c *Client) Config(ctx context.Context) (ConfigRevision, error) {
	var out ConfigRevision
	return out, c.do(ctx, http.MethodGet, "/v1/config", nil, &out)
}

// PutConfig has a configuration accepted.
func (c *Client) PutConfig(ctx context.Context, p PutConfigRequest) (PutConfigResponse, error) {
	var out PutConfigResponse
	return out, c.do(ctx, http.MethodPut, "/v1/config", p, &out)
}

// ConfigHistory returns the accepted configurations.
func (c *Client) ConfigHistory(ctx context.Context) (ConfigHistory, error) {
	var out ConfigHistory
	return out, c.do(ctx, http.MethodGet, "/v1/config/history", nil, &out)
}

// Timeline returns the events of all hosts that a filter selects.
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
	if f.After != (timeline.Stamp{}) {
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

// do makes a call at the first host that a connection can be opened to.
func (c *Client) do(ctx context.Context, method, path string, q, into any) error {
	var body []byte
	if q != nil {
		var err error
		body, err = json.Marshal(q)
		if err != nil {
			return err
		}
	}
	var err error
	for _, h := range c.Hosts {
		err = c.try(ctx, method, "http://"+h+path, body, into)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			continue
		}
		return err
	}
	return fmt.Errorf("%w: %w", ErrNoHostReachable, err)
}

func (c *Client) try(ctx context.Context, method, to string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, to, bytes.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Content-Type", "application/json")
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	r, err := client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return err
	}
	if r.StatusCode >= http.StatusBadRequest {
		return refused(r.StatusCode, b)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(b, into)
}

func refused(status int, b []byte) error {
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
