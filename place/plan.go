package place

import (
	"fmt"
	"time"

	"github.com/spoolsill/spoolsill"
)

// Verb is what a [Change] does to a task or job.
type Verb string

// The verbs of changes.
const (
	VerbStart   Verb = "start"
	VerbQueue   Verb = "queue"
	VerbPreempt Verb = "preempt"
	VerbStop    Verb = "stop"
	VerbCancel  Verb = "cancel"
	VerbMove    Verb = "move"
)

// A Change is one effect of a [Plan], as shown to operators.
type Change struct {
	Verb   Verb               `json:"verb"             msgpack:"v"`
	Task   string             `json:"task"             msgpack:"t"`
	Worker spoolsill.WorkerID `json:"worker,omitempty" msgpack:"w"`
	Reason string             `json:"why,omitempty"    msgpack:"y"`
}

// Totals are the aggregate amounts before or after a plan.
type Totals struct {
	Capacity  spoolsill.Resources `json:"capacity"   msgpack:"c"`
	Free      spoolsill.Resources `json:"free"       msgpack:"f"`
	TeamUsed  spoolsill.Resources `json:"team_used"  msgpack:"u"`
	TeamQuota spoolsill.Resources `json:"team_quota" msgpack:"q"`
	Queued    int                 `json:"queued"     msgpack:"n"`
}

// A Plan is the exact effect of an operation that has not been confirmed.
type Plan struct {
	Changes []Change
	Before  Totals
	After   Totals
	// Records are applied, with new times, when the plan is confirmed.
	Records []Record
}

// A StaleError reports why a plan can't be confirmed any more.
type StaleError struct {
	Text string
}

// Error implements error.
func (e *StaleError) Error() string {
	return "plan is stale: " + e.Text
}

func newStaleError(format string, args ...any) *StaleError {
	return &StaleError{
		Text: fmt.Sprintf(format, args...),
	}
}

// PlanSubmit returns the effect of submitting a job without changing the state.
// It schedules the job on a clone. Cost: O(tasks + waiting jobs).
func (s *State) PlanSubmit(now time.Time, j spoolsill.Job) (Plan, error) {
	if _, ok := s.jobs[j.ID]; ok {
		return Plan{}, newStaleError("job %s is known already", j.ID)
	}
	c := s.Clone()
	p := Plan{
		Before: c.totals(j.Team),
	}
	r := Record{
		Kind: JobAdded,
		At:   now.UnixMicro(),
		Job:  &j,
	}
	mustApply(c, r)
	p.Records = append(p.Records, r)
	p.Records = append(p.Records, c.decideJob(j.ID, now)...)
	p.After = c.totals(j.Team)
	p.Changes = c.changes(p.Records, j.ID)
	return p, nil
}

// decideJob places tasks of one job, ignoring the other waiting jobs, until no
// more can be placed.
func (s *State) decideJob(id spoolsill.JobID, now time.Time) []Record {
	d := decider{
		state: s,
		now:   now,
	}
	j := s.jobs[id]
	for j.queued && d.startJob(j) {
	}
	return d.records
}

// PlanCancel returns the effect of cancelling jobs without changing the state.
func (s *State) PlanCancel(now time.Time, ids []spoolsill.JobID) (Plan, error) {
	for _, id := range ids {
		if _, ok := s.jobs[id]; !ok {
			return Plan{}, newStaleError("job %s is not known in this hall", id)
		}
	}
	c := s.Clone()
	var t spoolsill.TeamID
	if len(ids) > 0 {
		t = s.jobs[ids[0]].spec.Team
	}
	p := Plan{
		Before: c.totals(t),
	}
	p.Records = c.Cancel(now, ids)
	p.After = c.totals(t)
	p.Changes = c.changes(p.Records, "")
	return p, nil
}

// PlanDrain returns the effect of draining a worker without changing the state.
func (s *State) PlanDrain(now time.Time, id spoolsill.WorkerID) (Plan, error) {
	if _, ok := s.workers[id]; !ok {
		return Plan{}, newStaleError("worker %s is not known in this hall", id)
	}
	c := s.Clone()
	p := Plan{
		Before: c.totals(""),
	}
	p.Records = c.DrainWorker(now, id)
	p.After = c.totals("")
	p.Changes = c.changes(p.Records, "")
	return p, nil
}

// Confirm applies a plan exactly as it was shown. If that is not possible any
// more, it changes nothing and returns a [*StaleError]. Confirming a plan again
// has no effect.
func (s *State) Confirm(now time.Time, id spoolsill.PlanID, p Plan) ([]Record, error) {
	if s.confirmedPlans.has(id) {
		return nil, nil
	}
	if err := s.verifyPlan(now, p); err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(p.Records)+1)
	for _, r := range p.Records {
		r.At = now.UnixMicro()
		mustApply(s, r)
		records = append(records, r)
	}
	r := Record{
		Kind: PlanApplied,
		At:   now.UnixMicro(),
		Plan: id,
	}
	mustApply(s, r)
	return append(records, r), nil
}

// Confirmed reports whether a plan was confirmed. Only the last maxConfirmedPlans
// are retained.
func (s *State) Confirmed(id spoolsill.PlanID) bool {
	return s.confirmedPlans.has(id)
}

// verifyPlan returns a [*StaleError] if the records of a plan can't all be
// applied as shown.
func (s *State) verifyPlan(now time.Time, p Plan) error {
	var job *spoolsill.Job
	need := map[spoolsill.WorkerID]spoolsill.Resources{}
	for _, r := range p.Records {
		switch r.Kind {
		case JobAdded:
			job = r.Job
			if _, ok := s.jobs[job.ID]; ok {
				return newStaleError("job %s was added by another plan", job.ID)
			}
		case TaskPlaced:
			need[r.Worker] = need[r.Worker].Add(job.Shape)
		case JobCancelled:
			if j := s.jobs[r.Task.Job]; j == nil || j.cancelled || !j.finishedAt.IsZero() {
				return newStaleError("job %s has ended", r.Task.Job)
			}
		case TaskStopping, TaskCheckpointing:
			if err := s.verifyAllocated(r); err != nil {
				return err
			}
		}
	}
	if err := s.verifyNoNewTasks(p); err != nil {
		return err
	}
	return s.verifyCapacity(now, job, need)
}

// verifyNoNewTasks returns a [*StaleError] if a job to be cancelled has a task
// that was started after the plan was made: the plan did not show that the task
// would be stopped.
func (s *State) verifyNoNewTasks(p Plan) error {
	shown := map[spoolsill.TaskID]bool{}
	for _, r := range p.Records {
		if r.Kind != JobCancelled {
			shown[r.Task] = true
		}
	}
	for _, r := range p.Records {
		if r.Kind != JobCancelled {
			continue
		}
		for i := range s.jobs[r.Task.Job].tasks {
			t := &s.jobs[r.Task.Job].tasks[i]
			if t.state.HoldsCapacity() && t.state != spoolsill.TaskStopping && !shown[t.id] {
				return newStaleError("task %s has started since", t.id)
			}
		}
	}
	return nil
}

// verifyAllocated returns a [*StaleError] if the attempt that r stops is no longer
// on its worker or is being stopped already.
func (s *State) verifyAllocated(r Record) error {
	t := s.task(r.Task)
	if t == nil || t.worker == nil || t.worker.ID != r.Worker || t.attempt != r.Attempt {
		return newStaleError("task %s is no longer on worker %s", r.Task, r.Worker)
	}
	if t.state == spoolsill.TaskStopping {
		return newStaleError("task %s is being stopped already", r.Task)
	}
	return nil
}

// verifyCapacity returns a [*StaleError] if the workers can't take what a plan
// places on them, or if that exceeds the quota of the team of j.
func (s *State) verifyCapacity(now time.Time, j *spoolsill.Job, need map[spoolsill.WorkerID]spoolsill.Resources) error {
	var sum spoolsill.Resources
	for id, n := range need {
		sum = sum.Add(n)
		w, ok := s.workers[id]
		if !ok || !w.listed || w.Leaving || w.unresponsive || !w.health.available(w, now) {
			return newStaleError("worker %s takes no new work any more", id)
		}
		if !n.FitsIn(w.free.Sub(w.nominatedCapacity)) {
			return newStaleError("worker %s has no room for %s any more", id, n)
		}
	}
	if j == nil || sum.IsZero() || j.Class == spoolsill.ClassPatient {
		return nil
	}
	t := s.team(j.Team)
	if t.limited && !sum.FitsIn(t.quota.Sub(t.used)) {
		return newStaleError("the quota of team %s has only %s left", j.Team, t.quota.Sub(t.used))
	}
	return nil
}

func (s *State) totals(id spoolsill.TeamID) Totals {
	t := Totals{
		Capacity: s.total,
		Free:     s.Free(),
	}
	if x, ok := s.teams[id]; ok {
		t.TeamUsed = x.used
		t.TeamQuota = x.quota
	}
	for _, x := range s.activeTeams {
		for c := range x.queues {
			for _, j := range x.queues[c].jobs {
				t.Queued += len(j.pending)
			}
		}
	}
	return t
}

var verbs = map[RecordKind]Verb{
	TaskPlaced:        VerbStart,
	TaskStopping:      VerbStop,
	TaskCheckpointing: VerbPreempt,
	JobCancelled:      VerbCancel,
}

// changes converts records to changes. Tasks of job id that stay queued come
// last.
func (s *State) changes(records []Record, id spoolsill.JobID) []Change {
	out := []Change{}
	for _, r := range records {
		v, ok := verbs[r.Kind]
		if !ok {
			continue
		}
		c := Change{
			Verb:   v,
			Task:   r.Task.String(),
			Worker: r.Worker,
			Reason: r.Cause.String(),
		}
		if r.Kind == JobCancelled {
			c.Task = string(r.Task.Job)
		}
		if r.Cause == CauseDrained {
			c.Verb = VerbMove
		}
		out = append(out, c)
	}
	j, ok := s.jobs[id]
	if !ok {
		return out
	}
	for i := range j.tasks {
		if j.tasks[i].state.HoldsCapacity() {
			continue
		}
		out = append(out, Change{
			Verb:   VerbQueue,
			Task:   j.tasks[i].id.String(),
			Reason: j.reason.text(j.spec),
		})
	}
	return out
}

// planLog holds the IDs of the last maxConfirmedPlans confirmed plans.
type planLog struct {
	ids   map[spoolsill.PlanID]bool
	order []spoolsill.PlanID
}

const maxConfirmedPlans = 4096

func (p *planLog) add(id spoolsill.PlanID) {
	if p.ids == nil {
		p.ids = map[spoolsill.PlanID]bool{}
	}
	if p.ids[id] {
		return
	}
	p.ids[id] = true
	p.order = append(p.order, id)
	if len(p.order) > maxConfirmedPlans {
		delete(p.ids, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *planLog) has(id spoolsill.PlanID) bool {
	return p.ids[id]
}
