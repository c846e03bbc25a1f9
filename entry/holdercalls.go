package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/intent"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/settings"
	"github.com/spoolsill/spoolsill/table"
)

// A holderOp is an operation that is performed by a hall's holder.
type holderOp string

const (
	opPlan    holderOp = "plan"
	opConfirm holderOp = "confirm"
	opJobs    holderOp = "jobs"
	opJob     holderOp = "job"
	opWorkers holderOp = "workers"
)

// Error codes of calls between hosts.
const (
	codeStale          peer.Code = "stale"
	codeInvalidIntent  peer.Code = "intent"
	codeNotHolder      peer.Code = "not-holder"
	codeUnknownOutcome peer.Code = "not-lasting"
	codeJobNotFound    peer.Code = "no-job"
)

// maxHops bounds the number of times a call is forwarded: to a host of the hall,
// and from there to the holder.
const maxHops = 2

type holderRequest struct {
	Hall spoolsill.HallID   `msgpack:"h"`
	Op   holderOp           `msgpack:"o"`
	Hops int                `msgpack:"n"`
	Body msgpack.RawMessage `msgpack:"b"`
}

type holderReply struct {
	Body msgpack.RawMessage `msgpack:"b"`
}

// callHolder calls the holder of a hall, which may be any host of the cell,
// including this one.
func callHolder[R any](ctx context.Context, h *Host, hall spoolsill.HallID, o holderOp, q any) (R, error) {
	var r R
	b, err := msgpack.Marshal(q)
	if err != nil {
		return r, err
	}
	a, err := h.routeHolderCall(ctx, holderRequest{
		Hall: hall,
		Op:   o,
		Body: b,
	})
	if err != nil {
		return r, err
	}
	return r, msgpack.Unmarshal(a.Body, &r)
}

func (h *Host) handleHolderCall(ctx context.Context, _ peer.Caller, q holderRequest) (holderReply, error) {
	return h.routeHolderCall(ctx, q)
}

// routeHolderCall answers a call if this host is the holder of its hall, and
// otherwise forwards it.
func (h *Host) routeHolderCall(ctx context.Context, q holderRequest) (holderReply, error) {
	if q.Hall != h.hall.ID {
		return h.forwardToHall(ctx, q)
	}
	if h.holder.Holds() {
		v, err := h.serveHolderCall(ctx, q)
		if err != nil {
			return holderReply{}, remoteError(err)
		}
		b, err := msgpack.Marshal(v)
		return holderReply{
			Body: b,
		}, err
	}
	to, _, ok := h.holder.LeaseHolder()
	if !ok || to == h.settings.Host.ID || q.Hops >= maxHops {
		return holderReply{}, remoteError(holder.ErrNotHolder)
	}
	q.Hops++
	return peer.Call[holderReply](ctx, h.node, to, methodHolderCall, q)
}

// forwardToHall forwards a call to the hosts of another hall in turn. It continues
// with the next host if one cannot be reached or reports [holder.ErrNotHolder].
func (h *Host) forwardToHall(ctx context.Context, q holderRequest) (holderReply, error) {
	x, ok := h.findHall(q.Hall)
	if !ok || q.Hops >= maxHops {
		return holderReply{}, badInput(fmt.Errorf("hall %q is not known", q.Hall))
	}
	q.Hops++
	var err = peer.ErrUnreachable
	for _, p := range x.HostIDs() {
		var a holderReply
		a, err = peer.Call[holderReply](ctx, h.node, p, methodHolderCall, q)
		if !errors.Is(err, peer.ErrUnreachable) && !peer.IsCode(err, codeNotHolder) {
			return a, err
		}
	}
	return holderReply{}, err
}

func (h *Host) findHall(id spoolsill.HallID) (settings.Hall, bool) {
	for _, x := range h.settings.Halls {
		if x.ID == id {
			return x, true
		}
	}
	return settings.Hall{}, false
}

// serveHolderCall answers a call as the hall's holder.
func (h *Host) serveHolderCall(ctx context.Context, q holderRequest) (any, error) {
	switch q.Op {
	case opPlan:
		return decodeAndCall(q.Body, h.holder.Plan)
	case opConfirm:
		return decodeAndCall(q.Body, func(id spoolsill.PlanID) (empty, error) {
			return empty{}, h.holder.Confirm(ctx, id)
		})
	case opJobs:
		return h.holder.Jobs()
	case opJob:
		return decodeAndCall(q.Body, h.holder.Job)
	case opWorkers:
		return h.holder.Workers()
	default:
		return nil, badInput(fmt.Errorf("%q is not known", q.Op))
	}
}

func decodeAndCall[Q, R any](body []byte, f func(Q) (R, error)) (R, error) {
	var q Q
	if err := msgpack.Unmarshal(body, &q); err != nil {
		var r R
		return r, badInput(err)
	}
	return f(q)
}

// remoteError converts err to an error that is sent to the calling host with a
// code.
func remoteError(err error) error {
	var r *peer.RemoteError
	if errors.As(err, &r) {
		return err
	}
	return &peer.RemoteError{
		Code: errorCode(err),
		Text: err.Error(),
	}
}

func errorCode(err error) peer.Code {
	var stale *place.StaleError
	switch {
	case errors.As(err, &stale):
		return codeStale
	case errors.Is(err, intent.ErrInvalidIntent):
		return codeInvalidIntent
	case errors.Is(err, holder.ErrNotHolder):
		return codeNotHolder
	case errors.Is(err, holder.ErrUnknownOutcome):
		return codeUnknownOutcome
	case errors.Is(err, holder.ErrJobNotFound):
		return codeJobNotFound
	default:
		return peer.CodeInternal
	}
}

// jobKeyPrefix is the prefix of the row keys that map a job to its hall.
const jobKeyPrefix = "job/"

// registerJob reserves the id of the job that plan p adds to the hall. It is
// idempotent for the same plan.
func (h *Host) registerJob(ctx context.Context, id spoolsill.JobID, p spoolsill.PlanID) error {
	key := jobKeyPrefix + string(id)
	value := string(h.hall.ID) + " " + string(p)
	r, err := h.platform.Commit(ctx, table.Txn{
		Conditions: []table.Condition{{
			Key: key,
		}},
		Puts: []table.Put{{
			Key:   key,
			Value: []byte(value),
		}},
	})
	if err != nil {
		return h.registerOffline(id, err)
	}
	if r.Applied || (len(r.Conflicts) > 0 && string(r.Conflicts[0].Value) == value) {
		return nil
	}
	hall, _, _ := strings.Cut(string(r.Conflicts[0].Value), " ")
	return &place.StaleError{
		Text: fmt.Sprintf("job %s is known already, in hall %s", id, hall),
	}
}

// registerOffline handles a reservation that could not be written to the table
// because of err. It accepts only ids that start with the hall's name and a
// hyphen. This relies on other halls adding no jobs with such ids.
func (h *Host) registerOffline(id spoolsill.JobID, err error) error {
	if strings.HasPrefix(string(id), string(h.hall.ID)+"-") {
		return nil
	}
	return fmt.Errorf("%w: the table is silent, so that only jobs named %s-... can be added: %w", holder.ErrUnknownOutcome, h.hall.ID, err)
}
