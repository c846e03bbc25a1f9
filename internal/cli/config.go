package cli

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/config"
	"github.com/spoolsill/spoolsill/jobfile"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/settings"
)

type configCommand struct {
	Get     configGet     `cmd:"" help:"Print the configuration in force."`
	Put     configPut     `cmd:"" help:"Have a configuration accepted."`
	History configHistory `cmd:"" help:"Who changed what and when, and where each version is in force."`
}

type configGet struct{}

// Run prints the configuration in force.
func (c *configGet) Run(s *session) error {
	r, err := s.client.Config(s.ctx())
	if err != nil {
		return err
	}
	return s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "# version %d, by %s\n%s", r.Version, r.Author, r.Text)
	})
}

type configPut struct {
	File string            `arg:"" help:"Configuration file (TOML)." type:"existingfile"`
	Base spoolsill.Version `help:"Version that the file was made from; it is refused when another one is in force." required:""`
	Who  string            `help:"Who changes it, for the history." env:"USER" default:"operator"`
	Note string            `help:"Why, for the history."`
}

// Run has a configuration accepted.
func (c *configPut) Run(s *session) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, err := config.Parse([]byte(text)); err != nil {
		return exitWith(ExitUsage, "%s: %w", c.File, err)
	}
	a, err := s.client.PutConfig(s.ctx(), api.PutConfigRequest{
		BaseVersion: c.Base,
		Author:      c.Who,
		Note:        c.Note,
		Text:        text,
	})
	if err != nil {
		return err
	}
	return s.print(a, func(w io.Writer) {
		fmt.Fprintf(w, "accepted as version %d\n", a.Version)
	})
}

type configHistory struct{}

type historyRow struct {
	api.ConfigRevision
	InForce []spoolsill.HostID `json:"in_force"`
}

// Run prints the history.
func (c *configHistory) Run(s *session) error {
	h, err := s.client.ConfigHistory(s.ctx())
	if err != nil {
		return err
	}
	hosts, err := s.client.ListHosts(s.ctx())
	if err != nil {
		return err
	}
	rows := make([]historyRow, 0, len(h.Revisions))
	for _, r := range h.Revisions {
		x := historyRow{
			ConfigRevision: r,
			InForce:        []spoolsill.HostID{},
		}
		for _, y := range hosts.Hosts {
			if y.UnreachableReason == "" && y.Config == r.Version {
				x.InForce = append(x.InForce, y.ID)
			}
		}
		rows = append(rows, x)
	}
	return s.print(rows, func(w io.Writer) {
		t := newTable(w, "version", "when", "who", "note", "in force at")
		for _, r := range rows {
			t.row(fmt.Sprint(r.Version), r.AcceptedAt.Format("2006-01-02 15:04:05"), r.Author, r.Note, joinHosts(r.InForce))
		}
		t.flush()
	})
}

func joinHosts(ids []spoolsill.HostID) string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, string(id))
	}
	return strings.Join(out, " ")
}

// withDrained returns a configuration text in which a machine is, or is not,
// on the list of drained ones.
func withDrained(text, id string, drained bool) (string, error) {
	d, err := config.Parse([]byte(text))
	if err != nil {
		return "", err
	}
	d.Drained = slices.DeleteFunc(d.Drained, func(x string) bool { return x == id })
	if drained {
		d.Drained = append(d.Drained, id)
	}
	b, err := toml.Marshal(d)
	return string(b), err
}

type checkCommand struct {
	Settings []string         `help:"Settings files of entry hosts." type:"existingfile"`
	Host     spoolsill.HostID `help:"Which host of the settings files is meant, in place of host.id."`
	Job      []string         `help:"Job files." type:"existingfile"`
	Config   []string         `help:"Configuration files." type:"existingfile"`
	Platform []string         `help:"Settings files that the users' platform writes for a host." type:"existingfile"`
	Deploy   []string         `help:"Deploy files of the users' platform." type:"existingfile"`
	// Operators are documents as operators write them into the platform's store.
	Operators []string `help:"Configurations (JSON) for the users' platform, with queues, teams and quotas." type:"existingfile"`
}

type checked struct {
	File string `json:"file"`
	Fine bool   `json:"fine"`
	Text string `json:"text"`
}

// Run checks files.
func (c *checkCommand) Run(s *session) error {
	var out []checked
	note := func(file, fine string, err error) {
		x := checked{
			File: file,
			Fine: err == nil,
			Text: fine,
		}
		if err != nil {
			x.Text = err.Error()
		}
		out = append(out, x)
	}
	for _, f := range c.Settings {
		v, err := settings.Load(f, c.Host)
		note(f, fmt.Sprintf("settings of host %s in hall %s", v.Host.ID, v.OwnHall().ID), err)
	}
	for _, f := range c.Job {
		note(checkJob(f))
	}
	for _, f := range c.Config {
		note(checkConfig(f))
	}
	for _, f := range c.Platform {
		v, err := platform.LoadSettings(f)
		note(f, fmt.Sprintf("settings of host %s in hall %s", v.Host, v.Hall), err)
	}
	for _, f := range c.Deploy {
		v, err := platform.LoadDeployment(f)
		note(f, fmt.Sprintf("deploy file with %d roles", len(v.Roles)), err)
	}
	for _, f := range c.Operators {
		note(checkOperators(f))
	}
	if len(out) == 0 {
		return exitWith(ExitUsage, "name a file with --settings, --job, --config, --platform, --deploy or --operators")
	}
	return s.reportChecked(out)
}

func checkJob(file string) (string, string, error) {
	text, err := readFile(file)
	if err != nil {
		return file, "", err
	}
	x, err := jobfile.Parse(file, []byte(text))
	return file, fmt.Sprintf("%s %s of %d tasks", x.Job.Kind, x.Job.ID, x.Job.Tasks), err
}

func checkConfig(file string) (string, string, error) {
	text, err := readFile(file)
	if err != nil {
		return file, "", err
	}
	d, err := config.Parse([]byte(text))
	return file, fmt.Sprintf("configuration with %d teams and %d callers", len(d.Teams), len(d.Callers)), err
}

// checkOperators checks a configuration for the users' platform. What it tells has no key.
func checkOperators(file string) (string, string, error) {
	text, err := readFile(file)
	if err != nil {
		return file, "", err
	}
	c, err := platform.DecodeConfig([]byte(text))
	if err != nil {
		return file, "", err
	}
	fine := fmt.Sprintf("configuration %d with %d queues", c.Version, len(c.Routes))
	if c.Keys == nil {
		return file, fine + ", no teams: callers need no keys", nil
	}
	var faults []error
	for _, f := range c.Keys.Faults() {
		faults = append(faults, fmt.Errorf("%s: %s", file, f))
	}
	for _, t := range c.Teams {
		if t.Most.Negative() || t.Weight < 0 {
			faults = append(faults, fmt.Errorf("%s: team %q: quota and weight must not be negative", file, string(t.ID)))
		}
	}
	return file, fmt.Sprintf("%s, %d teams and %d keys", fine, len(c.Teams), c.Keys.Keys()), errors.Join(faults...)
}

func (s *session) reportChecked(list []checked) error {
	bad := 0
	err := s.print(list, func(w io.Writer) {
		for _, x := range list {
			if x.Fine {
				fmt.Fprintf(w, "%s: fine: %s\n", x.File, x.Text)
				continue
			}
			fmt.Fprintln(w, x.Text)
		}
	})
	for _, x := range list {
		if !x.Fine {
			bad++
		}
	}
	if err == nil && bad > 0 {
		return exitWith(ExitUsage, "%d of %d files can't be accepted", bad, len(list))
	}
	return err
}
