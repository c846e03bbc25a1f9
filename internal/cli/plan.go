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

func (c planSubmit) intent() (api.PlanRequest, error) {
	text, err := readFile(c.File)
	return api.PlanRequest{
		Hall:     c.Hall,
		Submit:   text,
		FileName: c.File,
	}, err
}

// Run shows the plan.
func (c *planSubmit) Run(s *session) error {
	i, err := c.intent()
	if err != nil {
		return err
	}
	return s.plan(i)
}

// Run shows the plan.
func (c *planCancel) Run(s *session) error {
	i, err := s.cancelIntent(c.Hall, c.Jobs)
	if err != nil {
		return err
	}
	return s.plan(i)
}

// Run shows the plan.
func (c *planDrain) Run(s *session) error {
	i, err := s.drainIntent(c.Hall, c.Worker)
	if err != nil {
		return err
	}
	return s.plan(i)
}

// cancelIntent finds the hall of the jobs when none is named.
func (s *session) cancelIntent(h spoolsill.HallID, jobs []spoolsill.JobID) (api.PlanRequest, error) {
	if h == "" {
		d, err := s.client.Job(s.ctx(), jobs[0])
		if err != nil {
			return api.PlanRequest{}, err
		}
		h = d.Hall
	}
	return api.PlanRequest{
		Hall:   h,
		Cancel: jobs,
	}, nil
}

// drainIntent finds the hall of a worker when none is named.
func (s *session) drainIntent(h spoolsill.HallID, w spoolsill.WorkerID) (api.PlanRequest, error) {
	i := api.PlanRequest{
		Hall:  h,
		Drain: w,
	}
	if h != "" {
		return i, nil
	}
	list, err := s.client.Workers(s.ctx(), "")
	if err != nil {
		return i, err
	}
	for _, x := range list.Workers {
		if x.ID == w {
			i.Hall = x.Hall
			return i, nil
		}
	}
	return i, exitWith(ExitNotFound, "worker %s is not known in any hall that answers", w)
}

// plan asks for a plan and prints it.
func (s *session) plan(i api.PlanRequest) error {
	p, err := s.client.Plan(s.ctx(), i)
	if err != nil {
		return err
	}
	return s.print(p, func(w io.Writer) { printPlan(w, p) })
}

// shownChanges bounds the changes that a table lists.
const shownChanges = 40

func printPlan(w io.Writer, p holder.Plan) {
	t := newTable(w, "change", "task", "worker", "why")
	for i, c := range p.Changes {
		if i == shownChanges {
			break
		}
		t.row(string(c.Verb), c.Task, string(c.Worker), c.Reason)
	}
	t.flush()
	if n := len(p.Changes) - shownChanges; n > 0 {
		fmt.Fprintf(w, "... and %d more (--json lists all)\n", n)
	}
	fmt.Fprintln(w)
	t = newTable(w, "", "before", "after")
	t.row("free in hall", p.Before.Free.String(), p.After.Free.String())
	t.row("team uses", p.Before.TeamUsed.String(), p.After.TeamUsed.String())
	t.row("team quota in hall", quotaText(p.Before), quotaText(p.After))
	t.row("tasks queued", fmt.Sprint(p.Before.Queued), fmt.Sprint(p.After.Queued))
	t.flush()
	fmt.Fprintf(w, "\nplan %s in hall %s, until %s\n", p.ID, p.Hall, p.Expires.Local().Format(time.TimeOnly))
	fmt.Fprintf(w, "to apply it: spoolsill confirm --hall %s %s\n", p.Hall, p.ID)
}

func quotaText(t place.Totals) string {
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
		fmt.Fprintf(w, "plan %s is in force in hall %s\n", id, h)
	})
}

// planAndConfirm shows a plan, asks, and confirms it.
func (s *session) planAndConfirm(i api.PlanRequest, yes bool) error {
	p, err := s.client.Plan(s.ctx(), i)
	if err != nil {
		return err
	}
	if !s.json {
		printPlan(s.env.Out, p)
	}
	if !yes && !s.ask("apply this plan?") {
		return exitWith(ExitFailed, "nothing was changed")
	}
	return s.confirm(p.Hall, p.ID)
}

type submitCommand struct {
	planSubmit
	Yes bool `help:"Confirm without a question." short:"y"`
}

// Run plans and confirms a job.
func (c *submitCommand) Run(s *session) error {
	i, err := c.intent()
	if err != nil {
		return err
	}
	return s.planAndConfirm(i, c.Yes)
}

type cancelCommand struct {
	planCancel
	Yes bool `help:"Confirm without a question." short:"y"`
}

// Run plans and confirms the end of jobs.
func (c *cancelCommand) Run(s *session) error {
	i, err := s.cancelIntent(c.Hall, c.Jobs)
	if err != nil {
		return err
	}
	return s.planAndConfirm(i, c.Yes)
}

type drainCommand struct {
	ID   string           `arg:"" help:"Worker or runner."`
	Hall spoolsill.HallID `help:"Hall of the worker."`
	Undo bool             `help:"Let it take new work again."`
	Who  string           `help:"Who drains it, for the history." env:"USER" default:"operator"`
	Yes  bool             `help:"Confirm without a question." short:"y"`
}

// show prints what draining would move, for a worker. A runner has no tasks.
func (c *drainCommand) show(s *session) error {
	i, err := s.drainIntent(c.Hall, spoolsill.WorkerID(c.ID))
	if exitCode(err) == ExitNotFound {
		return nil
	}
	if err != nil || s.json {
		return err
	}
	return s.plan(i)
}

// Run puts a machine on the configuration's list of drained ones, so that it
// gets no new work, and has a worker's tasks moved.
func (c *drainCommand) Run(s *session) error {
	if !c.Undo {
		if err := c.show(s); err != nil {
			return err
		}
		if !c.Yes && !s.ask("drain "+c.ID+"?") {
			return exitWith(ExitFailed, "nothing was changed")
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
		fmt.Fprintf(w, "%s: configuration %d; tasks on it are checkpointed and move, running requests end by themselves\n", note, a.Version)
	})
}
