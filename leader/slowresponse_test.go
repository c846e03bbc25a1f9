package leader_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// From some moment on the responses of all workers take 0.4 s instead of 2 ms, as on a link that
// becomes saturated, and the leader waits for them.
// If it retried orders because of late responses, the retries would load the link further, and
// no start would ever be confirmed.
func TestSlowResponsesCauseNoRetries(t *testing.T) {
	const (
		workers        = 20
		jobs           = 100
		tasks          = 2
		submitInterval = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, workers)
		defer x.end()
		var slow atomic.Bool
		var callCount atomic.Int64
		x.workers.Delay = func(spoolsill.WorkerID) time.Duration {
			if slow.Load() {
				return 400 * time.Millisecond
			}
			return 2 * time.Millisecond
		}
		x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
			callCount.Add(1)
			return cellfake.OrderOK
		}
		l := x.lead("a")
		pause.For(x.ctx, 3*time.Second)
		slow.Store(true)
		pause.For(x.ctx, 2*time.Second)
		before := callCount.Load()
		var ids []spoolsill.JobID
		for i := range jobs {
			id := spoolsill.JobID(fmt.Sprintf("job%03d", i))
			x.submit(sched.Job{
				ID:    id,
				Queue: "plain",
				Steps: []sched.Step{step(tasks, 1)},
			})
			ids = append(ids, id)
			pause.For(x.ctx, submitInterval)
		}
		pause.For(x.ctx, 6*time.Second)
		x.assertCompleted(l, ids)
		x.c.Check(x.workers.StartCount(), qt.Equals, jobs*tasks)
		// Besides the starts, a worker gets at most one heartbeat in 0.4 s.
		maxCalls := int64(jobs*tasks*5/4 + workers*16*5/2)
		calls := callCount.Load() - before
		x.c.Check(calls <= maxCalls, qt.IsTrue, qt.Commentf("%d orders and heartbeats, want %d at most", calls, maxCalls))
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}
