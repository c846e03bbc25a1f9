package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

func TestLoadReportsUtilization(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.addWorker("b")
	x.state.AddJob(x.now, job("j", "q", tasks(3, 8)), sched.Progress{})
	x.answerStart(x.step()[0], sched.StartUnknown)
	x.c.Assert(x.state.Load(), qt.DeepEquals, sched.Load{
		Workers:  2,
		Ready:    2,
		Capacity: cores(20),
		Used:     cores(16),
		Runs:     2,
		Doubtful: 1,
		Stages:   1,
		Late:     1, // its submission time is the zero time
		WaitRoom: 1,
		Overload: sched.Overload{
			Backlog: 1200 * time.Millisecond,
		},
	})
}

// What a backlog waits for tells whether the advisor, the capacity or a quota is the bottleneck,
// and a stage without a query is one that the limit on queries holds up.
func TestLoadReportsWhatStagesWaitFor(t *testing.T) {
	x := newCell(t)
	x.state.SetMaxQueries(1)
	x.addWorker("a")
	x.state.AddJob(x.now, job("j", "q", tasks(2, 10)), sched.Progress{})
	for _, id := range []spoolsill.JobID{"k", "l", "m"} {
		x.state.AddJob(x.now, job(id, "advised", tasks(1, 1)), sched.Progress{})
	}
	x.step()
	l := x.state.Load()
	x.c.Check(l.Stages, qt.Equals, 4)
	x.c.Check(l.WaitRoom, qt.Equals, 1)
	x.c.Check(l.WaitAdvice, qt.Equals, 3)
	x.c.Check(l.Asking, qt.Equals, 2)
	x.c.Check(l.MaxAsking, qt.Equals, 1)
	x.c.Check(l.Unasked, qt.Equals, 1)
}
