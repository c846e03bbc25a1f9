package leader_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
)

// noteCounter counts notes by kind.
type noteCounter struct {
	mu    sync.Mutex
	notes map[sched.NoteKind]int
}

func (c *noteCounter) RecordEvent(n sched.Note) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notes == nil {
		c.notes = map[sched.NoteKind]int{}
	}
	c.notes[n.Kind]++
}

func (c *noteCounter) RecordAdvice(string, time.Duration) {}
func (c *noteCounter) RecordTakeover(time.Duration)       {}

func (c *noteCounter) count(k sched.NoteKind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notes[k]
}

// A job is cancelled while its worker is unreachable and the leader has just stopped. The next
// leader has to stop the job's runs once the worker is reachable again.
func TestJobCancelledDuringTakeoverIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 1)
		defer x.end()
		c := &noteCounter{}
		x.observer = c
		x.workers.Lease = 30 * time.Second
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Minute, sched.EndDone }
		x.lead("a")
		x.submit(sched.Job{
			ID:    "j",
			Queue: "plain",
			Steps: []sched.Step{step(2, 1)},
		})
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.workers.RunningCount(), qt.Equals, 2)
		x.cancels[0]()
		x.workers.SetUnreachable(x.ids[0], true)
		x.c.Assert(jobstore.Cancel(x.ctx, x.store, "host", "j"), qt.IsNil)
		x.lead("b")
		pause.For(x.ctx, 4*time.Second)
		x.c.Assert(x.workers.RunningCount(), qt.Equals, 2)
		x.workers.SetUnreachable(x.ids[0], false)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.workers.RunningCount(), qt.Equals, 0)
		x.c.Assert(c.count(sched.NoteStopNotAccepted), qt.Not(qt.Equals), 0)
	})
}
