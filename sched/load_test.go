package sched_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

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
	})
}
