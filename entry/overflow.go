package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/route"
	"github.com/spoolsill/spoolsill/router"
	"github.com/spoolsill/spoolsill/upstream"
)

// Limits of the overflow of requests to other halls.
const (
	offerTimeout = 20 * time.Millisecond
	maxOffers    = 3 // hosts queried per request
	// minTimeLeft is the minimum time until a request expires for it to be
	// forwarded. With less, trying another hall is not worthwhile.
	minTimeLeft = 50 * time.Millisecond
)

// routeRequest routes a call in the host's own hall. If the request was not run
// there for a cause that mayOverflow accepts, the call is forwarded to a host of
// another hall that has a free slot.
func (h *Host) routeRequest(ctx context.Context, s *service, c router.Call) router.Reply {
	p := s.router.Do(ctx, c)
	if p.Outcome != spoolsill.OutcomeNotRun || !mayOverflow(p.Cause) {
		return p
	}
	if time.Until(c.Request.Expires()) < minTimeLeft {
		return p
	}
	if x, ok := h.findOverflowHost(ctx, s.settings.ID); ok {
		return h.relay(ctx, x, c, p)
	}
	return p
}

// mayOverflow reports whether a request that was not run in its own hall for
// cause c may be forwarded to another hall.
func mayOverflow(c route.Cause) bool {
	return c == route.CauseOverload || c == route.CauseNoRunner || c == route.CauseRefused
}

type offerRequest struct {
	Service spoolsill.ServiceID `msgpack:"s"`
}

// findOverflowHost queries randomly chosen hosts of other halls for a free slot,
// one after another, and returns the first that has one.
func (h *Host) findOverflowHost(ctx context.Context, s spoolsill.ServiceID) (spoolsill.HostID, bool) {
	var hosts []spoolsill.HostID
	for _, x := range h.settings.Halls {
		if x.ID != h.hall.ID {
			hosts = append(hosts, x.HostIDs()...)
		}
	}
	rand.Shuffle(len(hosts), func(i, j int) {
		hosts[i], hosts[j] = hosts[j], hosts[i]
	})
	for _, x := range hosts[:min(len(hosts), maxOffers)] {
		ctx, cancel := context.WithTimeout(ctx, offerTimeout)
		r, err := peer.Call[acceptReply](ctx, h.node, x, methodOffer, offerRequest{
			Service: s,
		})
		cancel()
		if err == nil && r.Accepted {
			return x, true
		}
	}
	return "", false
}

func (h *Host) handleOffer(_ context.Context, _ peer.Caller, q offerRequest) (acceptReply, error) {
	s, ok := h.services[q.Service]
	return acceptReply{
		Accepted: ok && !h.stopping.Load() && s.router.FreeSlots() > 0,
	}, nil
}

type relayRequest struct {
	Request  spoolsill.Request `msgpack:"r"`
	TimeLeft time.Duration     `msgpack:"l"` // until the deadline
	Path     string            `msgpack:"p"`
	Type     string            `msgpack:"t"`
	Body     []byte            `msgpack:"b"`
}

type relayReply struct {
	Outcome    spoolsill.Outcome  `msgpack:"o"`
	Cause      route.Cause        `msgpack:"c"`
	RetryAfter time.Duration      `msgpack:"a"`
	Runner     spoolsill.RunnerID `msgpack:"r"`
	Status     int                `msgpack:"s"`
	Type       string             `msgpack:"t"`
	Body       []byte             `msgpack:"b"`
}

// relay forwards a call to a host of another hall. If that host cannot be reached
// or rejects the call, relay returns p, the reply of the own hall. If the host's
// reply is lost, the outcome is unknown, since the request may have run.
func (h *Host) relay(ctx context.Context, to spoolsill.HostID, c router.Call, p router.Reply) router.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Request.Expires())
	defer cancel()
	r, err := peer.Call[relayReply](ctx, h.node, to, methodRelay, relayRequest{
		Request:  c.Request,
		TimeLeft: time.Until(c.Request.Deadline),
		Path:     c.Path,
		Type:     c.Type,
		Body:     c.Body,
	})
	var refused *peer.RemoteError
	if errors.Is(err, peer.ErrUnreachable) || errors.As(err, &refused) {
		return p
	}
	if err != nil {
		return router.Reply{
			Outcome: spoolsill.OutcomeUnknown,
			Cause:   route.CauseFailed,
		}
	}
	return router.Reply{
		Outcome:    r.Outcome,
		Cause:      r.Cause,
		RetryAfter: r.RetryAfter,
		Runner:     r.Runner,
		Answer: upstream.Answer{
			Status: r.Status,
			Type:   r.Type,
			Body:   r.Body,
		},
	}
}

// handleRelay routes a request from another hall. It does not forward it to a
// third one.
func (h *Host) handleRelay(ctx context.Context, _ peer.Caller, q relayRequest) (relayReply, error) {
	s, ok := h.services[q.Request.Service]
	if !ok || h.stopping.Load() {
		return relayReply{
			Outcome: spoolsill.OutcomeNotRun,
			Cause:   route.CauseStopping,
		}, nil
	}
	q.Request.Deadline = time.Now().Add(q.TimeLeft)
	p := s.router.Do(ctx, router.Call{
		Request: q.Request,
		Path:    q.Path,
		Type:    q.Type,
		Body:    q.Body,
	})
	return relayReply{
		Outcome:    p.Outcome,
		Cause:      p.Cause,
		RetryAfter: p.RetryAfter,
		Runner:     p.Runner,
		Status:     p.Answer.Status,
		Type:       p.Answer.Type,
		Body:       p.Answer.Body,
	}, nil
}
