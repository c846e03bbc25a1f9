// Package upstream sends requests to runners over HTTP. For each request it
// reports whether it was answered, certainly did not run, or may have run.
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

// HeaderOutcome is the header in which a runner or an entry host reports the
// outcome of a request.
const HeaderOutcome = "Spoolsill-Outcome"

// HeaderLeaving is the header in which a runner announces that it is leaving.
const HeaderLeaving = "Spoolsill-Leaving"

// HeaderKey is the header that carries the request key.
const HeaderKey = "Spoolsill-Key"

// DefaultMaxAnswerBytes is the default of Config.MaxAnswerBytes.
const DefaultMaxAnswerBytes = 16 << 20

// ErrNotRun is returned if the request certainly did not run.
var ErrNotRun = errors.New("upstream: refused")

// ErrUnknownOutcome is returned if the request may have run or may still be
// running.
var ErrUnknownOutcome = errors.New("upstream: connection broke")

// A Config configures a [Client].
type Config struct {
	// Connections bounds the number of connections to one runner.
	Connections int
	// MaxAnswerBytes bounds the length of the body of an answer; 0 means
	// DefaultMaxAnswerBytes.
	MaxAnswerBytes int64
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds the time to open a connection; 0 means one second.
	DialTimeout time.Duration
}

// A Call is a request to a runner.
type Call struct {
	Address string
	Path    string
	Key     spoolsill.RequestKey
	Type    string // the content type
	Body    []byte
	// Until is the time from which the call must not be sent any more; zero
	// means that it may be sent at any time.
	Until time.Time
}

// An Answer is a complete HTTP response of a runner.
type Answer struct {
	Status int
	Type   string
	Body   []byte
	// Leaving is set if the runner asks for no further requests.
	Leaving bool
}

// A Client sends requests to runners. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a client with the configuration c.
func NewClient(c Config) *Client {
	if c.MaxAnswerBytes == 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
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

type sendBeforeKey struct{}

// dial opens a connection. It gives up at the time from which the request that
// needs the connection must not be sent any more.
func (c Config) dial(ctx context.Context, network, address string) (net.Conn, error) {
	end := time.Now().Add(c.DialTimeout)
	if u, ok := ctx.Value(sendBeforeKey{}).(time.Time); ok && !u.IsZero() && u.Before(end) {
		end = u
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	return c.Dial(ctx, network, address)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a call and waits for the complete answer. Its error wraps [ErrNotRun]
// or [ErrUnknownOutcome]. It never sends the call twice.
func (c *Client) Do(ctx context.Context, x Call) (Answer, error) {
	var gotConn atomic.Bool
	ctx = context.WithValue(ctx, sendBeforeKey{}, x.Until)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			gotConn.Store(true)
		},
	})
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.Address+x.Path, bytes.NewReader(x.Body))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	// Without GetBody the transport can't send the body a second time.
	q.GetBody = nil
	q.Header.Set("Content-Type", x.Type)
	q.Header.Set(HeaderKey, string(x.Key))
	if !x.Until.IsZero() && !time.Now().Before(x.Until) {
		return Answer{}, fmt.Errorf("%w: the slot may not be used any more", ErrNotRun)
	}
	r, err := c.http.Do(q)
	if err != nil {
		return Answer{}, classifyError(err, gotConn.Load())
	}
	defer func() { _ = r.Body.Close() }()
	return c.readAnswer(r)
}

func (c *Client) readAnswer(r *http.Response) (Answer, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, c.config.MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	if int64(len(b)) > c.config.MaxAnswerBytes {
		return Answer{}, fmt.Errorf("%w: answer is longer than %d bytes", ErrUnknownOutcome, c.config.MaxAnswerBytes)
	}
	if r.Header.Get(HeaderOutcome) == string(spoolsill.OutcomeNotRun) {
		return Answer{}, fmt.Errorf("%w: by the runner: status %d", ErrNotRun, r.StatusCode)
	}
	return Answer{
		Status:  r.StatusCode,
		Type:    r.Header.Get("Content-Type"),
		Body:    b,
		Leaving: r.Header.Get(HeaderLeaving) == "true",
	}, nil
}

// classifyError wraps the error of a request. One that never got a connection
// certainly did not run.
func classifyError(err error, gotConn bool) error {
	if !gotConn {
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}
