package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/sched"
)

// A worker that leaves an order without an answer, and answers nothing else, may
// be cut off: what would be started there would be in doubt.
func TestSilentWorkerGetsNothingNewUntilItAnswers(t *testing.T) {
	x := newCell(t)
	x.worker("w")
	x.state.WorkerSilent(x.now, "w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.renew("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

func TestWorkerWithAnOldAnswerGetsNothingNew(t *testing.T) {
	x := newCell(t)
	x.worker("w")
	x.now = x.now.Add(time.Second)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 0)
}
