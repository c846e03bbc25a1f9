package remote

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

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/spoolsill/spoolsill/member"
	"github.com/spoolsill/spoolsill/table"
)

// Defaults of [Config], and the maximum size of a response.
const (
	DefaultTimeout   = time.Second
	DefaultReads     = 40 // calls per second
	DefaultWrites    = 20 // calls per second
	maxResponseBytes = 64 << 20
)

// ErrNotFound is returned for an object that does not exist.
var ErrNotFound = errors.New("remote: not found")

// A Config configures a [Client].
type Config struct {
	// URL is the base URL of the platform, such as "http://127.0.0.1:6000".
	URL string
	// Timeout is the timeout of each call; 0 means DefaultTimeout. PutObject has
	// ten times this timeout.
	Timeout time.Duration
	// Reads and Writes limit the calls per second of this process; 0 means
	// DefaultReads and DefaultWrites.
	Reads  int
	Writes int
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Trip and Rest configure the circuit breaker, see [CircuitBreaker].
	Trip int
	Rest time.Duration
}

// A Client calls the platform. It is safe for concurrent use.
type Client struct {
	config   Config
	http     *http.Client
	reads    *rate.Limiter
	writes   *rate.Limiter
	inflight singleflight.Group
	breaker  *CircuitBreaker
}

// NewClient returns a client. Connections are opened on first use.
func NewClient(c Config) *Client {
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.Reads == 0 {
		c.Reads = DefaultReads
	}
	if c.Writes == 0 {
		c.Writes = DefaultWrites
	}
	t := &http.Transport{
		DialContext:         c.Dial,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		config: c,
		http: &http.Client{
			Transport: t,
		},
		reads:  rate.NewLimiter(rate.Limit(c.Reads), 2*c.Reads),
		writes: rate.NewLimiter(rate.Limit(c.Writes), 2*c.Writes),
		breaker: &CircuitBreaker{
			Trip: c.Trip,
			Rest: c.Rest,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Unavailable reports whether the circuit breaker is open because recent calls to
// the platform failed.
func (c *Client) Unavailable() bool {
	return c.breaker.Open()
}

type wireRow struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

type wireCondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type wirePut struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

type wireTxn struct {
	Conditions []wireCondition `json:"conditions"`
	Puts       []wirePut       `json:"puts"`
	Deletes    []string        `json:"deletes"`
}

type wireResult struct {
	Applied   bool      `json:"applied"`
	Conflicts []wireRow `json:"conflicts"`
}

type wireRows struct {
	Rows []wireRow `json:"rows"`
}

// Commit applies a transaction. It waits for the write budget.
func (c *Client) Commit(ctx context.Context, t table.Txn) (table.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if err := c.writes.Wait(ctx); err != nil {
		return table.Result{}, fmt.Errorf("%w: write budget: %w", table.ErrUnavailable, err)
	}
	body, err := json.Marshal(encodeTxn(t))
	if err != nil {
		return table.Result{}, err
	}
	var r wireResult
	if err := c.do(ctx, http.MethodPost, "/v1/txn", body, &r); err != nil {
		return table.Result{}, err
	}
	return table.Result{
		Applied:   r.Applied,
		Conflicts: decodeRows(r.Conflicts),
	}, nil
}

func encodeTxn(t table.Txn) wireTxn {
	w := wireTxn{
		Deletes: t.Deletes,
	}
	for _, x := range t.Conditions {
		w.Conditions = append(w.Conditions, wireCondition(x))
	}
	for _, x := range t.Puts {
		w.Puts = append(w.Puts, wirePut(x))
	}
	return w
}

func decodeRows(rows []wireRow) []table.Row {
	out := make([]table.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, table.Row(r))
	}
	return out
}

// Get returns one row. Its version is 0 if the row does not exist.
func (c *Client) Get(ctx context.Context, key string) (table.Row, error) {
	rows, err := c.list(ctx, "/v1/rows?key="+url.QueryEscape(key))
	if err != nil {
		return table.Row{}, err
	}
	if len(rows) == 0 {
		return table.Row{
			Key: key,
		}, nil
	}
	return rows[0], nil
}

// List returns up to limit rows, sorted by key, whose keys start with prefix
// and are greater than after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("after", after)
	q.Set("limit", strconv.Itoa(limit))
	return c.list(ctx, "/v1/rows?"+q.Encode())
}

func (c *Client) list(ctx context.Context, path string) ([]table.Row, error) {
	var r wireRows
	if err := c.read(ctx, path, &r); err != nil {
		return nil, err
	}
	return decodeRows(r.Rows), nil
}

// Members returns the platform's list of workers and runners.
func (c *Client) Members(ctx context.Context) (member.List, error) {
	var l member.List
	err := c.read(ctx, "/v1/members", &l)
	return l, err
}

// PutObject writes an object. It waits for the write budget.
func (c *Client) PutObject(ctx context.Context, name string, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, 10*c.config.Timeout)
	defer cancel()
	if err := c.writes.Wait(ctx); err != nil {
		return fmt.Errorf("%w: write budget: %w", table.ErrUnavailable, err)
	}
	return c.do(ctx, http.MethodPut, "/v1/objects/"+name, b, nil)
}

// GetObject returns an object, or [ErrNotFound].
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var b []byte
	err := c.read(ctx, "/v1/objects/"+name, &b)
	return b, err
}

// read makes one call for all concurrent reads of the same path. It fails at once
// if the read budget is exhausted.
func (c *Client) read(ctx context.Context, path string, result any) error {
	if !c.reads.Allow() {
		return fmt.Errorf("%w: read budget is used up", table.ErrUnavailable)
	}
	v, err, _ := c.inflight.Do(path, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.Timeout)
		defer cancel()
		var b []byte
		err := c.do(ctx, http.MethodGet, path, nil, &b)
		return b, err
	})
	if err != nil {
		return err
	}
	return decode(v.([]byte), result)
}

// decode stores b itself if result is a pointer to a byte slice, and otherwise
// decodes b as JSON.
func decode(b []byte, result any) error {
	if p, ok := result.(*[]byte); ok {
		*p = b
		return nil
	}
	if err := json.Unmarshal(b, result); err != nil {
		return fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	return nil
}

// do makes a call through the circuit breaker and decodes the response.
// [ErrNotFound] does not count as a failure.
func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	if !c.breaker.Allow(time.Now()) {
		return fmt.Errorf("%w: breaker is open", table.ErrUnavailable)
	}
	b, err := c.call(ctx, method, path, body)
	c.breaker.RecordResult(time.Now(), err == nil || errors.Is(err, ErrNotFound))
	if err != nil || result == nil {
		return err
	}
	return decode(b, result)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if method == http.MethodPut {
		request.Header.Set("Content-Type", "application/octet-stream")
	} else {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classifyError(err)
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
	}
	return b, statusError(response.StatusCode, b)
}

// statusError returns the error for an HTTP status: nil for success, [ErrNotFound] for
// status 404, [table.ErrUnavailable] if the platform rejected the call, and
// [table.ErrUnknownOutcome] if the call may have taken effect.
func statusError(status int, body []byte) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusServiceUnavailable, status == http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", table.ErrUnavailable, status)
	default:
		return fmt.Errorf("%w: status %d: %.200s", table.ErrUnknownOutcome, status, body)
	}
}

// classifyError wraps err in [table.ErrUnavailable] if the connection could not be
// opened, since the call cannot have taken effect then, and otherwise in
// [table.ErrUnknownOutcome].
func classifyError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", table.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", table.ErrUnknownOutcome, err)
}
