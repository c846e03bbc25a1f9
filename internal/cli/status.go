package cli

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/timeline"
)

type statusCommand struct {
	Hall spoolsill.HallID `help:"Only this hall."`
}

// Run lists the jobs of one or all halls.
func (c *statusCommand) Run(s *session) error {
	j, err := s.client.Jobs(s.ctx(), c.Hall)
	if err != nil {
		return err
	}
	return s.print(j, func(w io.Writer) {
		t := newTable(w, "job", "hall", "team", "kind", "class", "tasks", "reason")
		for _, x := range j.Jobs {
			t.addRow(string(x.ID), string(x.Hall), string(x.Team), string(x.Kind), x.Class.String(), formatStates(x.States), x.Reason)
		}
		t.flush()
		printUnavailableHalls(w, j.UnavailableHalls)
	})
}

// formatStates formats the number of tasks in each state.
func formatStates(m map[spoolsill.TaskState]int) string {
	parts := make([]string, 0, len(m))
	for s, n := range m {
		parts = append(parts, fmt.Sprintf("%d %s", n, s))
	}
	sort.Strings(parts)
	return strings.Join(parts, ", ")
}

func printUnavailableHalls(w io.Writer, list []api.UnavailableHall) {
	for _, m := range list {
		fmt.Fprintf(w, "hall %s does not answer: %s\n", m.Hall, m.Text)
	}
}

type explainCommand struct {
	ID string `arg:"" help:"Job, task (job.index) or request key."`
}

// Run explains a job or task from the state of its hall. An ID that is not a known job is
// looked up in the timeline as a request key.
func (c *explainCommand) Run(s *session) error {
	job := spoolsill.JobID(c.ID)
	if t, err := spoolsill.ParseTaskID(c.ID); err == nil {
		job = t.Job
	}
	d, err := s.client.Job(s.ctx(), job)
	if err != nil {
		if exitCode(err) != ExitNotFound {
			return err
		}
		return s.explainRequest(c.ID)
	}
	return s.print(d, func(w io.Writer) { c.printJob(w, d) })
}

func (c *explainCommand) printJob(w io.Writer, d api.JobDetail) {
	fmt.Fprintf(w, "job %s of team %s in hall %s: %s, %s, %s\n", d.Job.ID, d.Job.Team, d.Hall, d.Job.Kind, d.Job.Class, formatStates(d.Job.States))
	fmt.Fprintf(w, "%s\n\n", d.Job.Reason)
	t := newTable(w, "task", "state", "worker", "attempt", "since", "reason")
	for _, x := range d.Tasks {
		if c.ID != string(d.Job.ID) && c.ID != x.ID {
			continue
		}
		reason := x.Reason
		if len(x.Avoids) > 0 {
			reason += "; avoids " + strings.Join(x.Avoids, ", ")
		}
		t.addRow(x.ID, string(x.State), string(x.Worker), fmt.Sprint(x.Attempt), formatAge(x.Since), reason)
	}
	t.flush()
}

// formatAge formats the time since t.
func formatAge(t time.Time) string {
	return time.Since(t).Round(100 * time.Millisecond).String()
}

// explainRequest prints the events of a request.
func (s *session) explainRequest(key string) error {
	const limit = 1000
	l, err := s.client.Timeline(s.ctx(), timeline.Filter{
		Request: spoolsill.RequestKey(key),
	}, limit)
	if err != nil {
		return err
	}
	if len(l.Events) == 0 {
		return exitErrorf(ExitNotFound, "%s is not a known job, and no reachable host has events of a request with this key", key)
	}
	return s.print(l, func(w io.Writer) {
		printEvents(w, l.Events)
		printUnavailableHosts(w, l.UnavailableHosts)
	})
}

type workersCommand struct {
	Hall spoolsill.HallID `help:"Only this hall."`
}

// Run lists the workers of one or all halls.
func (c *workersCommand) Run(s *session) error {
	l, err := s.client.Workers(s.ctx(), c.Hall)
	if err != nil {
		return err
	}
	return s.print(l, func(w io.Writer) {
		t := newTable(w, "worker", "hall", "rack", "tasks", "free", "capacity", "state")
		for _, x := range l.Workers {
			t.addRow(string(x.ID), string(x.Hall), string(x.Rack), fmt.Sprint(x.Tasks), x.Free.String(), x.Capacity.String(), workerState(x))
		}
		t.flush()
		printUnavailableHalls(w, l.UnavailableHalls)
	})
}

func workerState(w api.Worker) string {
	switch {
	case !w.Listed:
		return "not listed"
	case w.Leaving:
		return "leaving"
	case w.Unresponsive:
		return "silent"
	case w.QuarantinedUntil.After(time.Now()):
		return "in quarantine until " + w.QuarantinedUntil.Local().Format(time.TimeOnly)
	default:
		return "live"
	}
}

type hostsCommand struct{}

// Run lists entry hosts.
func (c *hostsCommand) Run(s *session) error {
	l, err := s.client.ListHosts(s.ctx())
	if err != nil {
		return err
	}
	return s.print(l, func(w io.Writer) {
		t := newTable(w, "host", "hall", "http", "up", "config", "holder", "epoch", "waiting", "running", "state")
		for _, x := range l.Hosts {
			t.addRow(string(x.ID), string(x.Hall), x.HTTPAddress, formatUptime(x), formatConfigVersion(x), yesOrEmpty(x.HoldsLease), fmt.Sprint(x.Epoch), fmt.Sprint(x.Waiting), fmt.Sprint(x.Running), hostState(x))
		}
		t.flush()
	})
}

// formatUptime formats the time since the host started, or returns "-" if it is
// unreachable.
func formatUptime(h api.HostStatus) string {
	if h.UnreachableReason != "" {
		return "-"
	}
	return time.Since(h.Started).Round(time.Second).String()
}

// formatConfigVersion formats the version of a host's configuration. A question mark means
// that it may be out of date.
func formatConfigVersion(h api.HostStatus) string {
	if h.ConfigCurrent {
		return fmt.Sprint(h.Config)
	}
	return fmt.Sprintf("%d?", h.Config)
}

func yesOrEmpty(b bool) string {
	if b {
		return "yes"
	}
	return ""
}

func hostState(h api.HostStatus) string {
	switch {
	case h.UnreachableReason != "":
		return "unreachable"
	case h.Stopping:
		return "stopping"
	case h.Degraded:
		return "degraded: the platform does not respond"
	case !h.MembersKnown:
		return "starting: no list of workers and runners yet"
	default:
		return "ready"
	}
}

type timelineCommand struct {
	Job     spoolsill.JobID      `help:"Only events of this job."`
	Task    string               `help:"Only events of this task (job.index)."`
	Request spoolsill.RequestKey `help:"Only events of this request."`
	Worker  spoolsill.WorkerID   `help:"Only events of this worker."`
	Hall    spoolsill.HallID     `help:"Only events of this hall."`
	Limit   int                  `help:"The newest so many events." default:"200"`
	Follow  bool                 `help:"Go on with new events." short:"f"`
}

// followInterval is the interval at which --follow polls the timeline.
const followInterval = 500 * time.Millisecond

// Run prints the merged events of all hosts. With --follow, it polls for new events.
func (c *timelineCommand) Run(s *session) error {
	f := timeline.Filter{
		Job:     c.Job,
		Task:    c.Task,
		Request: c.Request,
		Worker:  c.Worker,
		Hall:    c.Hall,
	}
	for {
		l, err := s.client.Timeline(s.ctx(), f, c.Limit)
		if err != nil {
			return err
		}
		err = s.print(l, func(w io.Writer) {
			printEvents(w, l.Events)
			if !c.Follow {
				printUnavailableHosts(w, l.UnavailableHosts)
			}
		})
		if err != nil || !c.Follow {
			return err
		}
		if n := len(l.Events); n > 0 {
			f.After = l.Events[n-1].At
		}
		select {
		case <-s.ctx().Done():
			return nil
		case <-time.After(followInterval):
		}
	}
}

func printEvents(w io.Writer, events []timeline.Event) {
	for _, e := range events {
		fmt.Fprintf(w, "%s  %-14s %-10s %s\n", e.At, e.Host, e.Kind, formatEvent(e))
	}
}

func formatEvent(e timeline.Event) string {
	parts := []string{}
	add := func(name, v string) {
		if v != "" {
			parts = append(parts, name+" "+v)
		}
	}
	if e.Task == "" {
		add("job", string(e.Job))
	}
	add("task", e.Task)
	add("request", string(e.Request))
	add("worker", string(e.Worker))
	add("runner", string(e.Runner))
	parts = append(parts, e.Text)
	return strings.Join(parts, ", ")
}

func printUnavailableHosts(w io.Writer, hosts []spoolsill.HostID) {
	for _, h := range hosts {
		fmt.Fprintf(w, "host %s does not answer: its events are missing\n", h)
	}
}
