package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/entry"
)

type callCommand struct {
	Service      spoolsill.ServiceID  `arg:"" help:"Service to call."`
	Path         string               `help:"Path at the runner." default:"/"`
	Body         string               `help:"Body of the request, or @FILE." default:""`
	Key          spoolsill.RequestKey `help:"Request key; made up when empty. HALL/NAME has the hall keep the claim."`
	Caller       string               `help:"Who calls." default:"cli"`
	Deadline     time.Duration        `help:"Time until the answer is wanted." default:"10s"`
	Fade         time.Duration        `help:"Time after the deadline in which the worth falls to nothing."`
	Class        string               `help:"Class of the request." enum:"urgent,normal,patient" default:"normal"`
	Worth        int                  `help:"Worth of the answer." default:"1"`
	Unrepeatable bool                 `help:"Run at most once."`
	Issued       int64                `help:"When the key was made, in Unix milliseconds; for a call that is asked again."`
}

type callResult struct {
	Outcome    spoolsill.Outcome    `json:"outcome"`
	Key        spoolsill.RequestKey `json:"key"`
	Status     int                  `json:"status"`
	Runner     string               `json:"runner,omitempty"`
	Replayed   bool                 `json:"replayed,omitempty"`
	Cause      string               `json:"cause,omitempty"`
	RetryAfter string               `json:"retry_after_s,omitempty"`
	Body       string               `json:"body"`
	TookMS     float64              `json:"took_ms"`
}

// maxResponseBytes is the maximum number of bytes read of a response body.
const maxResponseBytes = 64 << 20

// Run sends one request and prints its outcome.
func (c *callCommand) Run(s *session) error {
	if c.Key == "" {
		c.Key = spoolsill.RequestKey(fmt.Sprintf("cli-%016x", rand.Uint64()))
	}
	if c.Issued == 0 {
		c.Issued = time.Now().UnixMilli()
	}
	body, err := c.readBody()
	if err != nil {
		return err
	}
	start := time.Now()
	r, err := c.send(s, body)
	if err != nil {
		return err
	}
	r.TookMS = float64(time.Since(start).Microseconds()) / 1000
	if err := s.print(r, func(w io.Writer) { r.print(w) }); err != nil {
		return err
	}
	switch r.Outcome {
	case spoolsill.OutcomeDone:
		return nil
	case spoolsill.OutcomeNotRun:
		return exitErrorf(ExitNotRun, "request %s did not run", c.Key)
	default:
		return exitErrorf(ExitUnknown, "request %s may have run; repeat it with --key %s --issued %d", c.Key, c.Key, c.Issued)
	}
}

// readBody returns the request body. It reads it from a file if the flag has the form
// @FILE.
func (c *callCommand) readBody() ([]byte, error) {
	if len(c.Body) == 0 || c.Body[0] != '@' {
		return []byte(c.Body), nil
	}
	b, err := os.ReadFile(c.Body[1:])
	if err != nil {
		return nil, exitErrorf(ExitUsage, "%w", err)
	}
	return b, nil
}

// send sends the request to the first host that accepts a connection. It tries the next
// host only after a dial error. After any other error the request may have run, so the
// outcome is unknown.
func (c *callCommand) send(s *session, body []byte) (callResult, error) {
	var err error
	for _, h := range s.client.Hosts {
		var req *http.Request
		req, err = http.NewRequestWithContext(s.ctx(), http.MethodPost, "http://"+h+"/v1/call/"+string(c.Service)+c.Path, bytes.NewReader(body))
		if err != nil {
			return callResult{}, exitErrorf(ExitUsage, "%w", err)
		}
		c.setHeaders(req.Header)
		var result callResult
		result, err = c.do(req)
		if err == nil {
			return result, nil
		}
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return callResult{
				Outcome: spoolsill.OutcomeUnknown,
				Key:     c.Key,
				Cause:   err.Error(),
			}, nil
		}
	}
	return callResult{}, exitErrorf(ExitUnreachable, "no entry host can be reached: %w", err)
}

// do sends a request. It returns an error only if no response was received.
func (c *callCommand) do(req *http.Request) (callResult, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return c.parseResponse(resp), nil
}

func (c *callCommand) setHeaders(h http.Header) {
	h.Set(entry.HeaderKey, string(c.Key))
	h.Set(entry.HeaderCaller, c.Caller)
	h.Set(entry.HeaderDeadline, c.Deadline.String())
	h.Set(entry.HeaderFade, c.Fade.String())
	h.Set(entry.HeaderClass, c.Class)
	h.Set(entry.HeaderWorth, strconv.Itoa(c.Worth))
	h.Set(entry.HeaderIssued, strconv.FormatInt(c.Issued, 10))
	h.Set(entry.HeaderUnrepeatable, strconv.FormatBool(c.Unrepeatable))
}

// parseResponse converts a response into a result. The outcome is unknown if the body is
// incomplete or the outcome header is missing.
func (c *callCommand) parseResponse(resp *http.Response) callResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	result := callResult{
		Outcome:    spoolsill.Outcome(resp.Header.Get(entry.HeaderOutcome)),
		Key:        c.Key,
		Status:     resp.StatusCode,
		Runner:     resp.Header.Get(entry.HeaderRunner),
		Replayed:   resp.Header.Get(entry.HeaderReplayed) == "true",
		Cause:      resp.Header.Get(entry.HeaderCause),
		RetryAfter: resp.Header.Get("Retry-After"),
		Body:       string(body),
	}
	if err != nil || result.Outcome == "" {
		result.Outcome = spoolsill.OutcomeUnknown
		result.Cause = "the answer did not come whole"
	}
	return result
}

func (r callResult) print(w io.Writer) {
	fmt.Fprintf(w, "%s (status %d, %.1f ms)", r.Outcome, r.Status, r.TookMS)
	if r.Runner != "" {
		fmt.Fprintf(w, " by runner %s", r.Runner)
	}
	if r.Replayed {
		fmt.Fprint(w, ", replayed from the first request with this key")
	}
	fmt.Fprintln(w)
	if r.Outcome != spoolsill.OutcomeDone {
		var f struct {
			Text string `json:"text"`
		}
		if json.Unmarshal([]byte(r.Body), &f) == nil && f.Text != "" {
			r.Body = f.Text
		}
		fmt.Fprintf(w, "%s: %s\n", r.Cause, r.Body)
		if r.RetryAfter != "" {
			fmt.Fprintf(w, "retry after %s s\n", r.RetryAfter)
		}
		return
	}
	fmt.Fprintln(w, r.Body)
}
