package leader_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// A host that does not reach the advisor must not be asked again and again
// while others do.
func TestHostWithoutTheAdvisorIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		x.cutHost = "other"
		l := x.lead("a")
		var ids []spoolsill.JobID
		for i := range 6 {
			id := spoolsill.JobID(fmt.Sprintf("j%d", i))
			ids = append(ids, id)
			x.submit(sched.Job{
				ID:    id,
				Queue: "advised",
				Steps: []sched.Step{step(1, 1)},
			})
			pause.For(x.ctx, 200*time.Millisecond)
		}
		pause.For(x.ctx, 3*time.Second)
		x.assertCompleted(l, ids)
	})
}
