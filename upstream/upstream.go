// Package upstream sends requests to runners over HTTP and tells what became
// of each: answered, certainly not run, or not known.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill"
)

// HeaderOutcome is the header in which a runner, or an entry host, says what
// became of a request.
const HeaderOutcome = "Spoolsill-Outcome"

// HeaderLeaving is the header in which a runner says that it is leaving.
const HeaderLeaving = "Spoolsill-Leaving"

// HeaderKey is the header that carries the request key.
const HeaderKey = "Spoolsill-Key"

// DefaultAnswer is the length in bytes of the longest answer by default.
const DefaultAnswer = 16 << 20

// ErrRefused is returned when the request certainly did not run.
var ErrRefused = errors.New("upstream: refused")

// ErrBroken is returned when the request may have run, and may run still.
var ErrBroken = errors.New("upstream: connection broke")

// A Config describes a [Client].
type Config struct {
	// Connections bounds the connections to one runner.
	Connections int
	// Answer bounds the length in bytes of an answer.
	Answer int64
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
}

// A Call is one request as it goes to a runner.
type Call struct {
	Address string
	Path    string
	Key     spoolsill.RequestKey
	Type    string // the content type
	Body    []byte
	// Until is when the call must have been sent, else it is not.
	Until time.Time
}

// An Answer is a whole answer.
type Answer struct {
	Status int
	Type   string
	Body   []byte
	// Leaving says that the runner wants no further requests.
	Leaving bool
}

// A Client sends requests to runners. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	if c.Answer == 0 {
		c.Answer = DefaultAnswer
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = time.Second
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{}).DialContext
	}
	return &Client{
		config: c,
		http: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
			Transport: &http.Transport{
				DialContext:         c.dial,
				MaxConnsPerHost:     c.Connections,
				MaxIdleConnsPerHost: c.Connections,
				IdleConnTimeout:     90 * time.Second,
				DisableCompression:  true,
			},
		},
	}
}

type untilKey struct{}

// dial opens a connection before the request that it is for must be sent.
func (c Config) dial(ctx context.Context, network, address string) (net.Conn, error) {
	end := time.Now().Add(c.DialTimeout)
	if u, ok := ctx.Value(untilKey{}).(time.Time); ok && !u.IsZero() && u.Before(end) {
		end = u
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	return c.Dial(ctx, network, address)
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a call and waits for its whole answer. It fails with [ErrRefused]
// or [ErrBroken]. It never sends the call twice.
func (c *Client) Do(ctx context.Context, x Call) (Answer, error) {
	var sent atomic.Bool
	ctx = context.WithValue(ctx, untilKey{}, x.Until)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			sent.Store(true)
		},
	})
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Address+x.Path, bytes.NewReader(x.Body))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	// Without GetBody the transport can't send the body a second time.
	q.GetBody = nil
	q.Header.Set("Content-Type", x.Type)
	q.Header.Set(HeaderKey, string(x.Key))
	if !x.Until.IsZero() && !time.Now().Before(x.Until) {
		return Answer{}, fmt.Errorf("%w: the slot may not be used any more", ErrRefused)
	}
	r, err := c.http.Do(q)
	if err != nil {
		return Answer{}, classify(err, sent.Load())
	}
	defer func() { _ = r.Body.Close() }()
	return c.read(r)
}

func (c *Client) read(r *http.Response) (Answer, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, c.config.Answer+1))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if int64(len(b)) > c.config.Answer {
		return Answer{}, fmt.Errorf("%w: answer is longer than %d bytes", ErrBroken, c.config.Answer)
	}
	if r.Header.Get(HeaderOutcome) == string(spoolsill.OutcomeNotRun) {
		return Answer{}, fmt.Errorf("%w: by the runner: status %d", ErrRefused, r.StatusCode)
	}
	return Answer{
		Status:  r.StatusCode,
		Type:    r.Header.Get("Content-Type"),
		Body:    b,
		Leaving: r.Header.Get(HeaderLeaving) == "true",
	}, nil
}

func classify(err error, sent bool) error {
	if !sent {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
