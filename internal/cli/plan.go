package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/place"
)

type planCommand struct {
	Submit planSubmit `cmd:"" help:"What submitting a job would change."`
	Cancel planCancel `cmd:"" help:"What cancelling jobs would change."`
	Drain  planDrain  `cmd:"" help:"What draining a worker would change."`
}

type planSubmit struct {
	File string           `arg:"" help:"Job file (TOML or JSON)." type:"existingfile"`
	Hall spoolsill.HallID `help:"Hall that is to run the job."`
}

type planCancel struct {
	Jobs []spoolsill.JobID `arg:"" help:"Jobs of one hall."`
	Hall spoolsill.HallID  `help:"Hall of the jobs."`
}

type planDrain struct {
	Worker spoolsill.WorkerID `arg:"" help:"Worker to drain."`
	Hall   spoolsill.HallID   `help:"Hall of the worker."`
}

func (c planSubmit) planRequest() (api.PlanRequest, error) {
	text, err := readFile(c.File)
	return api.PlanRequest{
		Hall:     c.Hall,
		Submit:   text,
		FileName: c.File,
	}, err
}

// Run shows the plan for submitting a job.
func (c *planSubmit) Run(s *session) error {
	req, err := c.planRequest()
	if err != nil {
		return err
	}
	return s.showPlan(req)
}

// Run shows the plan for cancelling jobs.
func (c *planCancel) Run(s *session) error {
	req, err := s.cancelRequest(c.Hall, c.Jobs)
	if err != nil {
		return err
	}
	return s.showPlan(req)
}

// Run shows the plan for draining a worker.
func (c *planDrain) Run(s *session) error {
	req, err := s.drainRequest(c.Hall, c.Worker)
	if err != nil {
		return err
	}
	return s.showPlan(req)
}

// cancelRequest returns a plan request to cancel jobs. If hall is empty, it uses the hall
// of the first job.
func (s *session) cancelRequest(hall spoolsill.HallID, jobs []spoolsill.JobID) (api.PlanRequest, error) {
	if hall == "" {
		d, err := s.client.Job(s.ctx(), jobs[0])
		if err != nil {
			return api.PlanRequest{}, err
		}
		hall = d.Hall
	}
	return api.PlanRequest{
		Hall:   hall,
		Cancel: jobs,
	}, nil
}

// drainRequest returns a plan request to drain a worker. If hall is empty, it looks up
// the worker's hall.
func (s *session) drainRequest(hall spoolsill.HallID, worker spoolsill.WorkerID) (api.PlanRequest, error) {
	req := api.PlanRequest{
		Hall:  hall,
		Drain: worker,
	}
	if hall != "" {
		return req, nil
	}
	list, err := s.client.Workers(s.ctx(), "")
	if err != nil {
		return req, err
	}
	for _, x := range list.Workers {
		if x.ID == worker {
			req.Hall = x.Hall
			return req, nil
		}
	}
	return req, exitErrorf(ExitNotFound, "worker %s is not known in any reachable hall", worker)
}

// showPlan requests a plan and prints it.
func (s *session) showPlan(req api.PlanRequest) error {
	p, err := s.client.Plan(s.ctx(), req)
	if err != nil {
		return err
	}
	return s.print(p, func(w io.Writer) { printPlan(w, p) })
}

// maxListedChanges is the maximum number of changes printed in a table.
const maxListedChanges = 40

func printPlan(w io.Writer, p holder.Plan) {
	t := newTable(w, "change", "task", "worker", "why")
	for i, c := range p.Changes {
		if i == maxListedChanges {
			break
		}
		t.addRow(string(c.Verb), c.Task, string(c.Worker), c.Reason)
	}
	t.flush()
	if n := len(p.Changes) - maxListedChanges; n > 0 {
		fmt.Fprintf(w, "... and %d more (--json lists all)\n", n)
	}
	fmt.Fprintln(w)
	t = newTable(w, "", "before", "after")
	t.addRow("free in hall", p.Before.Free.String(), p.After.Free.String())
	t.addRow("team uses", p.Before.TeamUsed.String(), p.After.TeamUsed.String())
	t.addRow("team quota in hall", formatQuota(p.Before), formatQuota(p.After))
	t.addRow("tasks queued", fmt.Sprint(p.Before.Queued), fmt.Sprint(p.After.Queued))
	t.flush()
	fmt.Fprintf(w, "\nplan %s in hall %s, valid until %s\n", p.ID, p.Hall, p.Expires.Local().Format(time.TimeOnly))
	fmt.Fprintf(w, "to apply it: spoolsill confirm --hall %s %s\n", p.Hall, p.ID)
}

func formatQuota(t place.Totals) string {
	if t.TeamQuota.IsZero() {
		return "none"
	}
	return t.TeamQuota.String()
}

type confirmCommand struct {
	Plan spoolsill.PlanID `arg:"" help:"The plan's id."`
	Hall spoolsill.HallID `help:"The plan's hall." required:""`
}

// Run confirms a plan.
func (c *confirmCommand) Run(s *session) error {
	return s.confirm(c.Hall, c.Plan)
}

func (s *session) confirm(h spoolsill.HallID, id spoolsill.PlanID) error {
	if err := s.client.Confirm(s.ctx(), h, id); err != nil {
		return err
	}
	return s.print(api.ConfirmResponse{
		ID:   id,
		Hall: h,
	}, func(w io.Writer) {
		fmt.Fprintf(w, "plan %s was applied in hall %s\n", id, h)
	})
}

// planAndConfirm requests a plan, prints it and confirms it. Unless yes is set, it first
// asks the user.
func (s *session) planAndConfirm(req api.PlanRequest, yes bool) error {
	p, err := s.client.Plan(s.ctx(), req)
	if err != nil {
		return err
	}
	if !s.json {
		printPlan(s.env.Out, p)
	}
	if !yes && !s.confirmPrompt("apply this plan?") {
		return exitErrorf(ExitFailed, "nothing was changed")
	}
	return s.confirm(p.Hall, p.ID)
}

type submitCommand struct {
	planSubmit
	Yes bool `help:"Confirm without a question." short:"y"`
}

// Run plans and confirms the submission of a job.
func (c *submitCommand) Run(s *session) error {
	req, err := c.planRequest()
	if err != nil {
		return err
	}
	return s.planAndConfirm(req, c.Yes)
}

type cancelCommand struct {
	planCancel
	Yes bool `help:"Confirm without a question." short:"y"`
}

// Run plans and confirms the cancellation of jobs.
func (c *cancelCommand) Run(s *session) error {
	req, err := s.cancelRequest(c.Hall, c.Jobs)
	if err != nil {
		return err
	}
	return s.planAndConfirm(req, c.Yes)
}

type drainCommand struct {
	ID   string           `arg:"" help:"Worker or runner."`
	Hall spoolsill.HallID `help:"Hall of the worker."`
	Undo bool             `help:"Let it take new work again."`
	Who  string           `help:"Who drains it, for the history." env:"USER" default:"operator"`
	Yes  bool             `help:"Confirm without a question." short:"y"`
}

// showDrainPlan prints the tasks that draining a worker would move. It prints nothing if
// the ID is not a known worker, since a runner has no tasks.
func (c *drainCommand) showDrainPlan(s *session) error {
	req, err := s.drainRequest(c.Hall, spoolsill.WorkerID(c.ID))
	if exitCode(err) == ExitNotFound {
		return nil
	}
	if err != nil || s.json {
		return err
	}
	return s.showPlan(req)
}

// Run adds a worker or runner to the drained list of the configuration, or removes it with
// --undo. A drained worker or runner receives no new work, and the tasks of a drained
// worker are moved.
func (c *drainCommand) Run(s *session) error {
	if !c.Undo {
		if err := c.showDrainPlan(s); err != nil {
			return err
		}
		if !c.Yes && !s.confirmPrompt("drain "+c.ID+"?") {
			return exitErrorf(ExitFailed, "nothing was changed")
		}
	}
	r, err := s.client.Config(s.ctx())
	if err != nil {
		return err
	}
	text, err := withDrained(r.Text, c.ID, !c.Undo)
	if err != nil {
		return err
	}
	note := "drain " + c.ID
	if c.Undo {
		note = "undo " + note
	}
	a, err := s.client.PutConfig(s.ctx(), api.PutConfigRequest{
		BaseVersion: r.Version,
		Author:      c.Who,
		Note:        note,
		Text:        text,
	})
	if err != nil {
		return err
	}
	return s.print(a, func(w io.Writer) {
		fmt.Fprintf(w, "%s: configuration %d; its tasks are checkpointed and moved, its requests in flight complete\n", note, a.Version)
	})
}
