package leader_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// Responses that arrive slowly over a saturated link are read completely. If they were abandoned,
// the leader would never receive the end of the task, the lease would expire, and the task would
// start on another worker although it has ended.
func TestSlowHeartbeatResponsesAreReadCompletely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		const other = spoolsill.WorkerID("other")
		var saturated atomic.Bool
		x.workers.Flow = func(w spoolsill.WorkerID) time.Duration {
			if w == other || !saturated.Load() {
				return 0
			}
			return 1500 * time.Millisecond
		}
		l := x.lead("a")
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(1, 1)},
		})
		pause.For(x.ctx, 500*time.Millisecond)
		x.c.Assert(x.workers.StartCount(), qt.Equals, 1)
		saturated.Store(true)
		x.workers.Add(other)
		x.listWorker(other)
		pause.For(x.ctx, 12*time.Second)
		s, _ := l.Status("j")
		x.c.Check(s.State, qt.Equals, sched.Completed)
		x.c.Check(x.workers.StartCount(), qt.Equals, 1)
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}
