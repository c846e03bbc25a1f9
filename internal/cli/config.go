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

// Run prints the configuration in force with its version and author.
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

// Run validates a configuration file and submits it as the next version.
func (c *configPut) Run(s *session) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, err := config.Parse([]byte(text)); err != nil {
		return exitErrorf(ExitUsage, "%s: %w", c.File, err)
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

// Run prints the versions of the configuration and the hosts on which each is in force.
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
			t.addRow(fmt.Sprint(r.Version), r.AcceptedAt.Format("2006-01-02 15:04:05"), r.Author, r.Note, joinHosts(r.InForce))
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

// withDrained returns the configuration text with a worker or runner added to or removed
// from the list of drained ones.
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
	// Operators are JSON documents in the form that operators write to the platform's store.
	Operators []string `help:"Configurations (JSON) for the users' platform, with queues, teams and quotas." type:"existingfile"`
}

type checkResult struct {
	File  string `json:"file"`
	Valid bool   `json:"fine"`
	Text  string `json:"text"`
}

// Run validates the named files and prints a result for each.
func (c *checkCommand) Run(s *session) error {
	var results []checkResult
	addResult := func(file, summary string, err error) {
		x := checkResult{
			File:  file,
			Valid: err == nil,
			Text:  summary,
		}
		if err != nil {
			x.Text = err.Error()
		}
		results = append(results, x)
	}
	for _, f := range c.Settings {
		v, err := settings.Load(f, c.Host)
		addResult(f, fmt.Sprintf("settings of host %s in hall %s", v.Host.ID, v.OwnHall().ID), err)
	}
	for _, f := range c.Job {
		addResult(checkJob(f))
	}
	for _, f := range c.Config {
		addResult(checkConfig(f))
	}
	for _, f := range c.Platform {
		v, err := platform.LoadSettings(f)
		addResult(f, fmt.Sprintf("settings of host %s in hall %s", v.Host, v.Hall), err)
	}
	for _, f := range c.Deploy {
		v, err := platform.LoadDeployment(f)
		addResult(f, fmt.Sprintf("deploy file with %d roles", len(v.Roles)), err)
	}
	for _, f := range c.Operators {
		addResult(checkOperatorConfig(f))
	}
	if len(results) == 0 {
		return exitErrorf(ExitUsage, "name a file with --settings, --job, --config, --platform, --deploy or --operators")
	}
	return s.printCheckResults(results)
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

// checkOperatorConfig validates a configuration for the users' platform. Its results
// never contain an API key.
func checkOperatorConfig(file string) (string, string, error) {
	text, err := readFile(file)
	if err != nil {
		return file, "", err
	}
	c, err := platform.DecodeConfig([]byte(text))
	if err != nil {
		return file, "", err
	}
	summary := fmt.Sprintf("configuration %d with %d queues", c.Version, len(c.Routes))
	if c.Keys == nil {
		return file, summary + ", no teams: callers need no keys", nil
	}
	var errs []error
	for _, f := range c.Keys.Faults() {
		errs = append(errs, fmt.Errorf("%s: %s", file, f))
	}
	for _, t := range c.Teams {
		if t.Most.Negative() || t.Weight < 0 {
			errs = append(errs, fmt.Errorf("%s: team %q: quota and weight must not be negative", file, string(t.ID)))
		}
	}
	return file, fmt.Sprintf("%s, %d teams and %d keys", summary, len(c.Teams), c.Keys.KeyCount()), errors.Join(errs...)
}

func (s *session) printCheckResults(results []checkResult) error {
	invalid := 0
	err := s.print(results, func(w io.Writer) {
		for _, x := range results {
			if x.Valid {
				fmt.Fprintf(w, "%s: fine: %s\n", x.File, x.Text)
				continue
			}
			fmt.Fprintln(w, x.Text)
		}
	})
	for _, x := range results {
		if !x.Valid {
			invalid++
		}
	}
	if err == nil && invalid > 0 {
		return exitErrorf(ExitUsage, "%d of %d files can't be accepted", invalid, len(results))
	}
	return err
}
