package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// The load of the cell reports the queries that hosts have in flight and the rows of progress
// since the line before.
func TestLoadLogReportsQueriesAndRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		logs := &test.Hook{}
		x.logs = logs
		x.advisorDelay = 5 * time.Second
		l := x.lead("a")
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(2, 1)},
		}, sched.Job{
			ID:    "k",
			Queue: "advised",
			Steps: []sched.Step{step(1, 1)},
		})
		pause.For(x.ctx, 20*time.Second)
		x.assertCompleted(l, []spoolsill.JobID{"j"})
		var atHosts, rows, bytes int
		for _, e := range logs.AllEntries() {
			if e.Message != "load of the cell" {
				continue
			}
			atHosts = max(atHosts, e.Data["at_hosts"].(int))
			rows += e.Data["rows"].(int)
			bytes += e.Data["row_bytes"].(int)
		}
		x.c.Check(atHosts, qt.Equals, 1)
		x.c.Check(rows > 0, qt.IsTrue)
		x.c.Check(bytes > rows, qt.IsTrue)
	})
}
