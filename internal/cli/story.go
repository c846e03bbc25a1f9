package cli

import (
	"fmt"
	"os"

	"github.com/spoolsill/spoolsill/logstory"
)

type storyCommand struct {
	ID   string   `arg:"" help:"A job, a task, a worker or a host."`
	Logs []string `help:"Saved logs of the hosts, in any order." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run implements the command.
func (c *storyCommand) Run(s *session) error {
	var all []logstory.Line
	for _, name := range c.Logs {
		lines, err := readLog(name)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	story := logstory.Story(all, c.ID)
	if len(story) == 0 {
		return fmt.Errorf("no line of %d names %s", len(all), c.ID)
	}
	return logstory.Write(s.env.Out, story)
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
