package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/spoolsill/spoolsill/logchart"
	"github.com/spoolsill/spoolsill/logstory"
)

type storyCommand struct {
	ID   string   `arg:"" help:"A request, a job, a task, a worker or a host."`
	Logs []string `help:"Saved logs of the hosts, in any order." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run prints the log lines about an ID with their context.
func (c *storyCommand) Run(s *session) error {
	all, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	story := logstory.Story(all, c.ID)
	if len(story) == 0 {
		return fmt.Errorf("none of %d log lines mentions %s", len(all), c.ID)
	}
	return logstory.Write(s.env.Out, story)
}

type pictureCommand struct {
	Logs []string `help:"Saved logs of the hosts, in any order." required:"" type:"existingfile" placeholder:"FILE"`
	Out  string   `help:"Where the picture (SVG) is written." required:"" placeholder:"FILE"`
}

// Run draws the logs as an SVG chart.
func (c *pictureCommand) Run(_ *session) error {
	all, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	f, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	s := logchart.NewSeries(all)
	return errors.Join(s.WriteSVG(f), f.Close())
}

func readLogs(names []string) ([]logstory.Line, error) {
	var all []logstory.Line
	for _, name := range names {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]logstory.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	lines, _, err := logstory.Read(f)
	return lines, err
}
