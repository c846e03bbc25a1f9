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

// op names what is asked of a hall's holder.
type op string

const (
	opPlan    op = "plan"
	opConfirm op = "confirm"
	opJobs    op = "jobs"
	opJob     op = "job"
	opWorkers op = "workers"
)

// The codes of refusals between hosts.
const (
	codeStale      peer.Code = "stale"
	codeIntent     peer.Code = "intent"
	codeNotHolder  peer.Code = "not-holder"
	codeNotLasting peer.Code = "not-lasting"
	codeNoJob      peer.Code = "no-job"
)

// maxHops bounds how often a call is handed on: to a host of the hall, and
// from there to the holder.
const maxHops = 2

type wireCell struct {
	Hall spoolsill.HallID   `msgpack:"h"`
	Op   op                 `msgpack:"o"`
	Hops int                `msgpack:"n"`
	Body msgpack.RawMessage `msgpack:"b"`
}

type wireAnswer struct {
	Body msgpack.RawMessage `msgpack:"b"`
}

// askHall asks the holder of a hall, wherever it is.
func askHall[R any](ctx context.Context, h *Host, hall spoolsill.HallID, o op, q any) (R, error) {
	var r R
	b, err := msgpack.Marshal(q)
	if err != nil {
		return r, err
	}
	a, err := h.cell(ctx, wireCell{
		Hall: hall,
		Op:   o,
		Body: b,
	})
	if err != nil {
		return r, err
	}
	return r, msgpack.Unmarshal(a.Body, &r)
}

func (h *Host) takeCell(ctx context.Context, _ peer.Caller, q wireCell) (wireAnswer, error) {
	return h.cell(ctx, q)
}

// cell answers a call for a hall's holder here, or hands it on.
func (h *Host) cell(ctx context.Context, q wireCell) (wireAnswer, error) {
	if q.Hall != h.hall.ID {
		return h.cellElsewhere(ctx, q)
	}
	if h.holder.Holds() {
		v, err := h.cellHere(ctx, q)
		if err != nil {
			return wireAnswer{}, refusal(err)
		}
		b, err := msgpack.Marshal(v)
		return wireAnswer{
			Body: b,
		}, err
	}
	to, _, ok := h.holder.Seen()
	if !ok || to == h.settings.Host.ID || q.Hops >= maxHops {
		return wireAnswer{}, refusal(holder.ErrNotHolder)
	}
	q.Hops++
	return peer.Call[wireAnswer](ctx, h.node, to, methodCell, q)
}

// cellElsewhere asks the hosts of another hall until one has an answer.
func (h *Host) cellElsewhere(ctx context.Context, q wireCell) (wireAnswer, error) {
	x, ok := h.findHall(q.Hall)
	if !ok || q.Hops >= maxHops {
		return wireAnswer{}, badInput(fmt.Errorf("hall %q is not known", q.Hall))
	}
	q.Hops++
	var err = peer.ErrUnreachable
	for _, p := range x.HostIDs() {
		var a wireAnswer
		a, err = peer.Call[wireAnswer](ctx, h.node, p, methodCell, q)
		if !errors.Is(err, peer.ErrUnreachable) && !peer.IsCode(err, codeNotHolder) {
			return a, err
		}
	}
	return wireAnswer{}, err
}

func (h *Host) findHall(id spoolsill.HallID) (settings.Hall, bool) {
	for _, x := range h.settings.Halls {
		if x.ID == id {
			return x, true
		}
	}
	return settings.Hall{}, false
}

// cellHere answers a call as the hall's holder.
func (h *Host) cellHere(ctx context.Context, q wireCell) (any, error) {
	switch q.Op {
	case opPlan:
		return with(q.Body, h.holder.Plan)
	case opConfirm:
		return with(q.Body, func(id spoolsill.PlanID) (empty, error) {
			return empty{}, h.holder.Confirm(ctx, id)
		})
	case opJobs:
		return h.holder.Jobs()
	case opJob:
		return with(q.Body, h.holder.Job)
	case opWorkers:
		return h.holder.Workers()
	default:
		return nil, badInput(fmt.Errorf("%q is not known", q.Op))
	}
}

func with[Q, R any](body []byte, f func(Q) (R, error)) (R, error) {
	var q Q
	if err := msgpack.Unmarshal(body, &q); err != nil {
		var r R
		return r, badInput(err)
	}
	return f(q)
}

// refusal gives an error the code under which the asking host knows it.
func refusal(err error) error {
	var r *peer.RemoteError
	if errors.As(err, &r) {
		return err
	}
	return &peer.RemoteError{
		Code: codeOf(err),
		Text: err.Error(),
	}
}

func codeOf(err error) peer.Code {
	var stale *place.StaleError
	switch {
	case errors.As(err, &stale):
		return codeStale
	case errors.Is(err, intent.ErrInvalidIntent):
		return codeIntent
	case errors.Is(err, holder.ErrNotHolder):
		return codeNotHolder
	case errors.Is(err, holder.ErrNotLasting):
		return codeNotLasting
	case errors.Is(err, holder.ErrNoJob):
		return codeNoJob
	default:
		return peer.CodeInternal
	}
}

// jobPrefix starts the keys of the rows that say which hall a job belongs to.
const jobPrefix = "job/"

// register makes a job's id the hall's own. While the table is silent only
// ids that start with the hall's name can be registered, since no other hall
// gives those out.
func (h *Host) register(ctx context.Context, id spoolsill.JobID, p spoolsill.PlanID) error {
	key := jobPrefix + string(id)
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
		return h.registerAlone(id, err)
	}
	if r.Applied || (len(r.Conflicts) > 0 && string(r.Conflicts[0].Value) == value) {
		return nil
	}
	hall, _, _ := strings.Cut(string(r.Conflicts[0].Value), " ")
	return &place.StaleError{
		Text: fmt.Sprintf("job %s is known already, in hall %s", id, hall),
	}
}

func (h *Host) registerAlone(id spoolsill.JobID, err error) error {
	if strings.HasPrefix(string(id), string(h.hall.ID)+"-") {
		return nil
	}
	return fmt.Errorf("%w: the table is silent, so that only jobs named %s-... can be added: %w", holder.ErrNotLasting, h.hall.ID, err)
}
