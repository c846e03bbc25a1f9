package holder

import (
	"context"
	"encoding/hex"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/intent"
	"github.com/spoolsill/spoolsill/place"
)

// A Plan is what an operator may confirm.
type Plan struct {
	ID      spoolsill.PlanID `json:"id"      msgpack:"i"`
	Hall    spoolsill.HallID `json:"hall"    msgpack:"h"`
	Expires time.Time        `json:"expires" msgpack:"e"`
	Changes []place.Change   `json:"changes" msgpack:"c"`
	Before  place.Totals     `json:"before"  msgpack:"b"`
	After   place.Totals     `json:"after"   msgpack:"a"`
}

// A Detail is a job with its tasks.
type Detail struct {
	Job   place.JobView    `json:"job"   msgpack:"j"`
	Tasks []place.TaskView `json:"tasks" msgpack:"t"`
}

// ErrNoJob is returned for a job that is not known in the hall.
var ErrNoJob = errors.New("holder: no such job in this hall")

// Plan returns what an intent would change. It changes nothing. It fails with
// [intent.ErrInvalidIntent], a [*place.StaleError] or [ErrNotHolder].
func (h *Holder) Plan(i intent.Intent) (Plan, error) {
	if err := i.Validate(); err != nil {
		return Plan{}, err
	}
	t, err := h.current()
	if err != nil {
		return Plan{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return Plan{}, ErrNotHolder
	}
	now := time.Now()
	t.state.SetQuotas(h.config.Quotas())
	p, err := i.Plan(t.state, now)
	if err != nil {
		return Plan{}, err
	}
	id := newPlanID()
	return Plan{
		ID:      id,
		Hall:    h.config.Hall,
		Expires: t.book.Add(now, id, p),
		Changes: p.Changes,
		Before:  p.Before,
		After:   p.After,
	}, nil
}

func newPlanID() spoolsill.PlanID {
	var b [8]byte
	s := strconv.AppendUint(nil, rand.Uint64(), 16)
	copy(b[:], s)
	return spoolsill.PlanID("p-" + hex.EncodeToString(b[:]))
}

// Confirm applies a plan as it was shown, and returns once that lasts. It
// fails with a [*place.StaleError], [ErrNotHolder] or [ErrNotLasting]; after
// the last, confirming again is safe.
func (h *Holder) Confirm(ctx context.Context, id spoolsill.PlanID) error {
	t, err := h.current()
	if err != nil {
		return err
	}
	if err := t.register(ctx, id); err != nil {
		return err
	}
	w, err := t.confirm(id)
	if err != nil {
		return err
	}
	select {
	case <-w:
		return nil
	case <-ctx.Done():
		return ErrNotLasting
	case <-t.ctx.Done():
		return ErrNotLasting
	}
}

// register makes the id of a job that a plan adds the hall's own.
func (t *tenure) register(ctx context.Context, id spoolsill.PlanID) error {
	if t.h.config.Register == nil {
		return nil
	}
	t.mu.Lock()
	if !t.ready {
		t.mu.Unlock()
		return ErrNotHolder
	}
	p, err := t.book.Get(time.Now(), id)
	known := t.state.Confirmed(id)
	t.mu.Unlock()
	if known {
		return nil
	}
	if err != nil {
		return err
	}
	for _, r := range p.Records {
		if r.Kind == place.JobAdded {
			return t.h.config.Register(ctx, r.Job.ID, id)
		}
	}
	return nil
}

func (t *tenure) confirm(id spoolsill.PlanID) (<-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return nil, ErrNotHolder
	}
	now := time.Now()
	var records []place.Record
	if !t.state.Confirmed(id) {
		p, err := t.book.Get(now, id)
		if err != nil {
			return nil, err
		}
		records, err = t.state.Confirm(now, id, p)
		if err != nil {
			return nil, err
		}
	}
	s := t.record(records)
	w := waiter{
		sequence: s,
		lasting:  make(chan struct{}),
	}
	t.waiters = append(t.waiters, w)
	t.release()
	t.wake()
	return w.lasting, nil
}

// Jobs returns all jobs of the hall.
func (h *Holder) Jobs() ([]place.JobView, error) {
	return ask(h, func(s *place.State) ([]place.JobView, error) {
		return s.Jobs(), nil
	})
}

// Job returns one job with its tasks, or [ErrNoJob].
func (h *Holder) Job(id spoolsill.JobID) (Detail, error) {
	return ask(h, func(s *place.State) (Detail, error) {
		j, tasks, ok := s.Job(id)
		if !ok {
			return Detail{}, ErrNoJob
		}
		return Detail{
			Job:   j,
			Tasks: tasks,
		}, nil
	})
}

// Workers returns all workers of the hall.
func (h *Holder) Workers() ([]place.WorkerView, error) {
	return ask(h, func(s *place.State) ([]place.WorkerView, error) {
		return s.Workers(), nil
	})
}

// Check verifies what must hold at all times over the hall's state.
func (h *Holder) Check() error {
	_, err := ask(h, func(s *place.State) (struct{}, error) {
		return struct{}{}, s.Check()
	})
	return err
}

func ask[R any](h *Holder, f func(*place.State) (R, error)) (R, error) {
	var zero R
	t, err := h.current()
	if err != nil {
		return zero, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return zero, ErrNotHolder
	}
	return f(t.state)
}
