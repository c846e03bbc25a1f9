package cli

import (
	"fmt"
	"io"

	"github.com/spoolsill/spoolsill/logloss"
)

type lossesCommand struct {
	Logs []string `help:"Saved logs of the hosts, in any order." required:"" type:"existingfile" placeholder:"FILE"`
}

// Run prints the number of jobs of each queue that were in time, and the outcomes and
// causes of the others.
func (c *lossesCommand) Run(s *session) error {
	lines, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	queues := logloss.Summarize(lines)
	return s.print(queues, func(w io.Writer) {
		t := newTable(w, "queue", "jobs", "in time", "others", "final state", "why")
		for _, q := range queues {
			t.addRow(q.Name, fmt.Sprint(q.Jobs), fmt.Sprint(q.InTime), "", "", "")
			for _, x := range q.Causes {
				t.addRow("", "", "", fmt.Sprint(x.Jobs), string(x.Fate), string(x.Reason))
			}
		}
		t.flush()
	})
}
