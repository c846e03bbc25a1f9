package leader_test

import (
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

// One answer in three gets lost: starts are sent again and ends are asked for again
// soon, so that ten tasks of a second, one after the other, take little more than
// ten seconds.
func TestLostAnswersCostLittleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		var orders atomic.Int64
		x.workers.Fault = func(spoolsill.WorkerID) cellfake.OrderFault {
			if orders.Add(1)%3 == 0 {
				return cellfake.OrderLose
			}
			return cellfake.OrderWell
		}
		l := x.lead("a")
		var steps []sched.Step
		for i := range 10 {
			s := step(1, 1)
			if i > 0 {
				s.After = []int{i - 1}
			}
			steps = append(steps, s)
		}
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: steps,
		})
		begun := time.Now()
		for time.Since(begun) < time.Minute {
			pause.For(x.ctx, 100*time.Millisecond)
			if s, _ := l.Status("j"); s.State.Final() {
				break
			}
		}
		took := time.Since(begun)
		x.c.Assert(took < 12500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
	})
}
