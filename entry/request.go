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

// wireFailure is the body of an answer that is not a runner's.
type wireFailure struct {
	Outcome      spoolsill.Outcome `json:"outcome"`
	Cause        route.Cause       `json:"cause"`
	Text         string            `json:"text"`
	RetryAfterMS int64             `json:"retry_after_ms,omitempty"`
}

var causeTexts = map[route.Cause]string{
	route.CauseDeadline:  "its time passed before it could be sent to a runner",
	route.CauseOverload:  "there is more work than can be done, and it is worth the least",
	route.CauseNoRunner:  "no runner of the service is known in this hall",
	route.CauseRefused:   "the runners refused it",
	route.CauseFailed:    "the runner failed after it got the request",
	route.CauseTimeout:   "no answer came in time",
	route.CauseCancelled: "the caller left",
	route.CauseStopping:  "this host is stopping: ask again at once",
	route.CauseLimit:     "the caller sends more than its rate",
	route.CauseClaimed:   "a request with the same key was sent before",
	route.CauseNoRecord:  "it could not be recorded that the request runs",
	route.CauseBadInput:  "the request can't be accepted",
}

// call serves one request of a caller.
func (h *Host) call(w http.ResponseWriter, q *http.Request) {
	now := time.Now()
	id := spoolsill.ServiceID(chi.URLParam(q, "service"))
	s, ok := h.services[id]
	if !ok {
		h.refuse(w, http.StatusNotFound, fmt.Sprintf("service %q is not known", id))
		return
	}
	r, err := ParseRequest(now, id, q.Header)
	if err != nil {
		h.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	c, ok := h.readCall(w, q, s, r)
	if !ok {
		return
	}
	p := h.serve(q.Context(), s, c)
	h.metrics.request(id, p, time.Since(now))
	h.outcome(c.Request, p)
	writeReply(w, p)
}

// refuse answers a request that can't be accepted. It did not run.
func (h *Host) refuse(w http.ResponseWriter, status int, text string) {
	h.metrics.refused(status)
	h.fault("request refused: " + text)
	writeFailure(w, status, wireFailure{
		Outcome: spoolsill.NotRun,
		Cause:   route.CauseBadInput,
		Text:    text,
	})
}

// readCall reads the whole body before the request takes a slot.
func (h *Host) readCall(w http.ResponseWriter, q *http.Request, s *service, r spoolsill.Request) (router.Call, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, s.settings.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		h.refuse(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body is longer than %d bytes", s.settings.MaxBodyBytes))
		return router.Call{}, false
	}
	if err != nil {
		h.refuse(w, http.StatusBadRequest, "the body did not come whole")
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

// A reply is what a caller gets.
type reply struct {
	router.Reply
	replayed bool
}

// serve admits, claims and routes a call.
func (h *Host) serve(ctx context.Context, s *service, c router.Call) reply {
	if wait, ok := h.limits.allow(time.Now(), c.Request.Caller); !ok {
		return notRun(route.CauseLimit, wait)
	}
	if !c.Request.Unrepeatable {
		return reply{
			Reply: h.route(ctx, s, c),
		}
	}
	return h.serveOnce(ctx, s, c)
}

// serveOnce serves an unrepeatable request.
func (h *Host) serveOnce(ctx context.Context, s *service, c router.Call) reply {
	ctx = context.WithoutCancel(ctx)
	k, j, a := h.take(ctx, c.Request)
	switch j {
	case claim.Dispatch:
	case claim.Used:
		return replay(a)
	case claim.NoHost:
		return notRun(route.CauseNoRecord, time.Second)
	default:
		return unknown(route.CauseClaimed)
	}
	p := h.route(ctx, s, c)
	if p.Outcome == spoolsill.NotRun {
		h.giveUp(ctx, k)
	} else {
		go h.tell(ctx, k, claim.Answer{
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

// replay answers with what became of the first request with a key.
func replay(a claim.Answer) reply {
	if a.Outcome != spoolsill.Done || a.Body == nil {
		return unknown(route.CauseClaimed)
	}
	return reply{
		replayed: true,
		Reply: router.Reply{
			Outcome: spoolsill.Done,
			Answer: upstream.Answer{
				Status: a.Status,
				Type:   a.Type,
				Body:   a.Body,
			},
		},
	}
}

func notRun(c route.Cause, retry time.Duration) reply {
	return reply{
		Reply: router.Reply{
			Outcome:    spoolsill.NotRun,
			Cause:      c,
			RetryAfter: retry,
		},
	}
}

func unknown(c route.Cause) reply {
	return reply{
		Reply: router.Reply{
			Outcome:    spoolsill.Unknown,
			Cause:      c,
			RetryAfter: time.Second,
		},
	}
}

func (h *Host) outcome(r spoolsill.Request, p reply) {
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

var causeStatus = map[route.Cause]int{
	route.CauseDeadline: http.StatusGatewayTimeout,
	route.CauseTimeout:  http.StatusGatewayTimeout,
	route.CauseFailed:   http.StatusBadGateway,
	route.CauseRefused:  http.StatusServiceUnavailable,
	route.CauseLimit:    http.StatusTooManyRequests,
	route.CauseClaimed:  http.StatusConflict,
	route.CauseBadInput: http.StatusBadRequest,
}

func writeReply(w http.ResponseWriter, p reply) {
	if p.Outcome != spoolsill.Done {
		status, ok := causeStatus[p.Cause]
		if !ok {
			status = http.StatusServiceUnavailable
		}
		writeFailure(w, status, wireFailure{
			Outcome:      p.Outcome,
			Cause:        p.Cause,
			Text:         causeTexts[p.Cause],
			RetryAfterMS: p.RetryAfter.Milliseconds(),
		})
		return
	}
	head := w.Header()
	head.Set(HeaderOutcome, string(spoolsill.Done))
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

func writeFailure(w http.ResponseWriter, status int, f wireFailure) {
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
