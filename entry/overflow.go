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

// Overflow to other halls.
const (
	offerTimeout  = 20 * time.Millisecond
	maxOffers     = 3                     // hosts asked for one request
	leastTimeLeft = 50 * time.Millisecond // else it does not pay to go elsewhere
)

// route routes a call in the own hall. When that gives it up, another hall
// that has free slots and agrees may take it.
func (h *Host) route(ctx context.Context, s *service, c router.Call) router.Reply {
	p := s.router.Do(ctx, c)
	if p.Outcome != spoolsill.NotRun || !overflows(p.Cause) {
		return p
	}
	if time.Until(c.Request.Expires()) < leastTimeLeft {
		return p
	}
	if x, ok := h.findTaker(ctx, s.settings.ID); ok {
		return h.relay(ctx, x, c, p)
	}
	return p
}

func overflows(c route.Cause) bool {
	return c == route.CauseOverload || c == route.CauseNoRunner || c == route.CauseRefused
}

type wireOffer struct {
	Service spoolsill.ServiceID `msgpack:"s"`
}

// findTaker returns a host of another hall that agrees to take a request.
func (h *Host) findTaker(ctx context.Context, s spoolsill.ServiceID) (spoolsill.HostID, bool) {
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
		r, err := peer.Call[wireYes](ctx, h.node, x, methodOffer, wireOffer{
			Service: s,
		})
		cancel()
		if err == nil && r.Yes {
			return x, true
		}
	}
	return "", false
}

func (h *Host) takeOffer(_ context.Context, _ peer.Caller, q wireOffer) (wireYes, error) {
	s, ok := h.services[q.Service]
	return wireYes{
		Yes: ok && !h.stopping.Load() && s.router.Spare() > 0,
	}, nil
}

type wireRelay struct {
	Request spoolsill.Request `msgpack:"r"`
	Left    time.Duration     `msgpack:"l"` // to the deadline
	Path    string            `msgpack:"p"`
	Type    string            `msgpack:"t"`
	Body    []byte            `msgpack:"b"`
}

type wireRelayed struct {
	Outcome    spoolsill.Outcome  `msgpack:"o"`
	Cause      route.Cause        `msgpack:"c"`
	RetryAfter time.Duration      `msgpack:"a"`
	Runner     spoolsill.RunnerID `msgpack:"r"`
	Status     int                `msgpack:"s"`
	Type       string             `msgpack:"t"`
	Body       []byte             `msgpack:"b"`
}

// relay has a host of another hall route a call. When its answer is lost the
// request may have run.
func (h *Host) relay(ctx context.Context, to spoolsill.HostID, c router.Call, p router.Reply) router.Reply {
	ctx, cancel := context.WithDeadline(ctx, c.Request.Expires())
	defer cancel()
	r, err := peer.Call[wireRelayed](ctx, h.node, to, methodRelay, wireRelay{
		Request: c.Request,
		Left:    time.Until(c.Request.Deadline),
		Path:    c.Path,
		Type:    c.Type,
		Body:    c.Body,
	})
	var refused *peer.RemoteError
	if errors.Is(err, peer.ErrUnreachable) || errors.As(err, &refused) {
		return p
	}
	if err != nil {
		return router.Reply{
			Outcome: spoolsill.Unknown,
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

// takeRelay routes a request of another hall, here and nowhere else.
func (h *Host) takeRelay(ctx context.Context, _ peer.Caller, q wireRelay) (wireRelayed, error) {
	s, ok := h.services[q.Request.Service]
	if !ok || h.stopping.Load() {
		return wireRelayed{
			Outcome: spoolsill.NotRun,
			Cause:   route.CauseStopping,
		}, nil
	}
	q.Request.Deadline = time.Now().Add(q.Left)
	p := s.router.Do(ctx, router.Call{
		Request: q.Request,
		Path:    q.Path,
		Type:    q.Type,
		Body:    q.Body,
	})
	return wireRelayed{
		Outcome:    p.Outcome,
		Cause:      p.Cause,
		RetryAfter: p.RetryAfter,
		Runner:     p.Runner,
		Status:     p.Answer.Status,
		Type:       p.Answer.Type,
		Body:       p.Answer.Body,
	}, nil
}
