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

// A Plan describes changes that take effect when an operator confirms them.
type Plan struct {
	ID      spoolsill.PlanID `json:"id"      msgpack:"i"`
	Hall    spoolsill.HallID `json:"hall"    msgpack:"h"`
	Expires time.Time        `json:"expires" msgpack:"e"`
	Changes []place.Change   `json:"changes" msgpack:"c"`
	Before  place.Totals     `json:"before"  msgpack:"b"`
	After   place.Totals     `json:"after"   msgpack:"a"`
}

// JobStatus is the state of a job and its tasks.
type JobStatus struct {
	Job   place.JobView    `json:"job"   msgpack:"j"`
	Tasks []place.TaskView `json:"tasks" msgpack:"t"`
}

// ErrJobNotFound is returned for a job that is not known in the hall.
var ErrJobNotFound = errors.New("holder: no such job in this hall")

// Plan returns the changes that an intent would make, without making them. Its
// error wraps [intent.ErrInvalidIntent] or [ErrNotHolder], or is a
// [*place.StaleError].
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
		Expires: t.planCache.Add(now, id, p),
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

// Confirm applies a plan exactly as [Holder.Plan] returned it, and returns once
// it is durable. Its error is a [*place.StaleError], [ErrNotHolder],
// [ErrUnknownOutcome] or an error of Config.Register. Confirming a plan is
// idempotent, so it may be retried after [ErrUnknownOutcome].
func (h *Holder) Confirm(ctx context.Context, id spoolsill.PlanID) error {
	t, err := h.current()
	if err != nil {
		return err
	}
	if err := t.registerJobID(ctx, id); err != nil {
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
		return ErrUnknownOutcome
	case <-t.ctx.Done():
		return ErrUnknownOutcome
	}
}

// registerJobID reserves the id of the job that a plan adds, if it adds one. It
// does nothing for a plan that is already confirmed.
func (t *tenure) registerJobID(ctx context.Context, id spoolsill.PlanID) error {
	if t.h.config.Register == nil {
		return nil
	}
	t.mu.Lock()
	if !t.ready {
		t.mu.Unlock()
		return ErrNotHolder
	}
	p, err := t.planCache.Get(time.Now(), id)
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

// confirm applies a plan and appends its records to the journal. The channel
// that it returns is closed once they are durable. A plan that is already
// confirmed is not applied again.
func (t *tenure) confirm(id spoolsill.PlanID) (<-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ready {
		return nil, ErrNotHolder
	}
	now := time.Now()
	var records []place.Record
	if !t.state.Confirmed(id) {
		p, err := t.planCache.Get(now, id)
		if err != nil {
			return nil, err
		}
		records, err = t.state.Confirm(now, id, p)
		if err != nil {
			return nil, err
		}
	}
	s := t.appendRecords(records)
	w := waiter{
		sequence: s,
		durable:  make(chan struct{}),
	}
	t.waiters = append(t.waiters, w)
	t.processDurable()
	t.wake()
	return w.durable, nil
}

// Jobs returns all jobs in the hall.
func (h *Holder) Jobs() ([]place.JobView, error) {
	return query(h, func(s *place.State) ([]place.JobView, error) {
		return s.Jobs(), nil
	})
}

// Job returns a job with its tasks, or [ErrJobNotFound].
func (h *Holder) Job(id spoolsill.JobID) (JobStatus, error) {
	return query(h, func(s *place.State) (JobStatus, error) {
		j, tasks, ok := s.Job(id)
		if !ok {
			return JobStatus{}, ErrJobNotFound
		}
		return JobStatus{
			Job:   j,
			Tasks: tasks,
		}, nil
	})
}

// Workers returns all workers in the hall.
func (h *Holder) Workers() ([]place.WorkerView, error) {
	return query(h, func(s *place.State) ([]place.WorkerView, error) {
		return s.Workers(), nil
	})
}

// CheckInvariants verifies the invariants of the hall's state.
func (h *Holder) CheckInvariants() error {
	_, err := query(h, func(s *place.State) (struct{}, error) {
		return struct{}{}, s.CheckInvariants()
	})
	return err
}

// query calls f with the state of the current tenure, while holding its lock.
func query[R any](h *Holder, f func(*place.State) (R, error)) (R, error) {
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
