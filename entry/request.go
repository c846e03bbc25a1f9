package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/claim"
	"github.com/spoolsill/spoolsill/route"
	"github.com/spoolsill/spoolsill/router"
	"github.com/spoolsill/spoolsill/timeline"
	"github.com/spoolsill/spoolsill/upstream"
)

// failureBody is the body of the response to a request that did not run or whose
// outcome is unknown.
type failureBody struct {
	Outcome      spoolsill.Outcome `json:"outcome"`
	Cause        route.Cause       `json:"cause"`
	Text         string            `json:"text"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
}

var causeTexts = map[route.Cause]string{
	route.CauseDeadline:     "its time passed before it could be sent to a runner",
	route.CauseOverload:     "there is more work than can be done, and it is worth the least",
	route.CauseNoRunner:     "no runner of the service is known in this hall",
	route.CauseRefused:      "the runners refused it",
	route.CauseFailed:       "the runner failed after it got the request",
	route.CauseTimeout:      "no answer came in time",
	route.CauseCancelled:    "the caller left",
	route.CauseStopping:     "this host is stopping: ask again at once",
	route.CauseRateLimit:    "the caller sends more than its rate",
	route.CauseDuplicateKey: "a request with the same key was sent before",
	route.CauseNotRecorded:  "it could not be recorded that the request runs",
	route.CauseBadInput:     "the request can't be accepted",
}

// postCall handles a caller's request to a service.
func (h *Host) postCall(w http.ResponseWriter, q *http.Request) {
	now := time.Now()
	id := spoolsill.ServiceID(chi.URLParam(q, "service"))
	s, ok := h.services[id]
	if !ok {
		h.rejectRequest(w, http.StatusNotFound, fmt.Sprintf("service %q is not known", id))
		return
	}
	r, err := ParseRequest(now, id, q.Header)
	if err != nil {
		h.rejectRequest(w, http.StatusBadRequest, err.Error())
		return
	}
	c, ok := h.readCall(w, q, s, r)
	if !ok {
		return
	}
	p := h.serve(q.Context(), s, c)
	h.metrics.recordRequest(id, p, time.Since(now))
	h.recordOutcome(c.Request, p)
	writeReply(w, p)
}

// rejectRequest responds to an invalid request, which is not run.
func (h *Host) rejectRequest(w http.ResponseWriter, status int, text string) {
	h.metrics.recordRejection(status)
	h.recordFault("request refused: " + text)
	writeFailure(w, status, failureBody{
		Outcome: spoolsill.OutcomeNotRun,
		Cause:   route.CauseBadInput,
		Text:    text,
	})
}

// readCall reads the body of a request, before the request occupies a slot. A
// request without a key gets a random one. If the body is too long or incomplete,
// readCall rejects the request and returns false.
func (h *Host) readCall(w http.ResponseWriter, q *http.Request, s *service, r spoolsill.Request) (router.Call, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, s.settings.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		h.rejectRequest(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body is longer than %d bytes", s.settings.MaxBodyBytes))
		return router.Call{}, false
	}
	if err != nil {
		h.rejectRequest(w, http.StatusBadRequest, "the body did not come whole")
		return router.Call{}, false
	}
	if r.Key == "" {
		r.Key = spoolsill.RequestKey(fmt.Sprintf("%s/%016x", h.hall.ID, rand.Uint64()))
	}
	return router.Call{
		Request: r,
		Path:    "/" + chi.URLParam(q, "*"),
		Type:    q.Header.Get("Content-Type"),
		Body:    body,
	}, true
}

// A reply is the result of a request that is returned to the caller.
type reply struct {
	router.Reply
	replayed bool // Answer is that of an earlier request with the same key
}

// serve applies the caller's rate limit, claims the key if the request is
// unrepeatable, and routes the call.
func (h *Host) serve(ctx context.Context, s *service, c router.Call) reply {
	if wait, ok := h.limits.allow(time.Now(), c.Request.Caller); !ok {
		return notRun(route.CauseRateLimit, wait)
	}
	if !c.Request.Unrepeatable {
		return reply{
			Reply: h.routeRequest(ctx, s, c),
		}
	}
	return h.serveOnce(ctx, s, c)
}

// serveOnce runs an unrepeatable request at most once. It continues if the caller
// disconnects.
func (h *Host) serveOnce(ctx context.Context, s *service, c router.Call) reply {
	ctx = context.WithoutCancel(ctx)
	claimed, decision, first := h.claimKey(ctx, c.Request)
	switch decision {
	case claim.Dispatch:
	case claim.KeyUsed:
		return replayAnswer(first)
	case claim.NotRecorded:
		return notRun(route.CauseNotRecorded, time.Second)
	default:
		return unknownOutcome(route.CauseDuplicateKey)
	}
	p := h.routeRequest(ctx, s, c)
	if p.Outcome == spoolsill.OutcomeNotRun {
		h.releaseClaim(ctx, claimed)
	} else {
		go h.recordClaimResult(ctx, claimed, claim.Result{
			Outcome: p.Outcome,
			Status:  p.Answer.Status,
			Type:    p.Answer.Type,
			Body:    p.Answer.Body,
		})
	}
	return reply{
		Reply: p,
	}
}

// replayAnswer returns the recorded answer to the first request with the same
// key, or an unknown outcome if there is none.
func replayAnswer(first claim.Result) reply {
	if first.Outcome != spoolsill.OutcomeDone || first.Body == nil {
		return unknownOutcome(route.CauseDuplicateKey)
	}
	return reply{
		replayed: true,
		Reply: router.Reply{
			Outcome: spoolsill.OutcomeDone,
			Answer: upstream.Answer{
				Status: first.Status,
				Type:   first.Type,
				Body:   first.Body,
			},
		},
	}
}

func notRun(c route.Cause, retryAfter time.Duration) reply {
	return reply{
		Reply: router.Reply{
			Outcome:    spoolsill.OutcomeNotRun,
			Cause:      c,
			RetryAfter: retryAfter,
		},
	}
}

func unknownOutcome(c route.Cause) reply {
	return reply{
		Reply: router.Reply{
			Outcome:    spoolsill.OutcomeUnknown,
			Cause:      c,
			RetryAfter: time.Second,
		},
	}
}

func (h *Host) recordOutcome(r spoolsill.Request, p reply) {
	text := string(p.Outcome)
	if p.Cause != "" {
		text += ": " + string(p.Cause)
	}
	h.ring.Add(timeline.Event{
		Kind:    timeline.KindOutcome,
		Request: r.Key,
		Runner:  p.Runner,
		Text:    text,
	})
}

var causeStatuses = map[route.Cause]int{
	route.CauseDeadline:     http.StatusGatewayTimeout,
	route.CauseTimeout:      http.StatusGatewayTimeout,
	route.CauseFailed:       http.StatusBadGateway,
	route.CauseRefused:      http.StatusServiceUnavailable,
	route.CauseRateLimit:    http.StatusTooManyRequests,
	route.CauseDuplicateKey: http.StatusConflict,
	route.CauseBadInput:     http.StatusBadRequest,
}

func writeReply(w http.ResponseWriter, p reply) {
	if p.Outcome != spoolsill.OutcomeDone {
		status, ok := causeStatuses[p.Cause]
		if !ok {
			status = http.StatusServiceUnavailable
		}
		writeFailure(w, status, failureBody{
			Outcome:      p.Outcome,
			Cause:        p.Cause,
			Text:         causeTexts[p.Cause],
			RetryAfterMS: p.RetryAfter.Milliseconds(),
		})
		return
	}
	head := w.Header()
	head.Set(HeaderOutcome, string(spoolsill.OutcomeDone))
	head.Set("Content-Type", p.Answer.Type)
	head.Set("Content-Length", strconv.Itoa(len(p.Answer.Body)))
	if p.Runner != "" {
		head.Set(HeaderRunner, string(p.Runner))
	}
	if p.replayed {
		head.Set(HeaderReplayed, "true")
	}
	w.WriteHeader(p.Answer.Status)
	_, _ = w.Write(p.Answer.Body)
}

func writeFailure(w http.ResponseWriter, status int, f failureBody) {
	head := w.Header()
	head.Set(HeaderOutcome, string(f.Outcome))
	head.Set(HeaderCause, string(f.Cause))
	head.Set("Content-Type", "application/json")
	if f.RetryAfterMS > 0 {
		head.Set("Retry-After", strconv.FormatInt((f.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
}
