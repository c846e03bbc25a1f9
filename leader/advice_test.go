package leader_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
)

// A host that can't reach the advisor must not be queried repeatedly while other hosts can.
func TestHostWithoutTheAdvisorIsNotQueriedRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 2)
		defer x.end()
		x.hostWithoutAdvisor = "other"
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

// Queries for urgent work are sent ahead of those already queued, and none is lost.
func TestUrgentQueriesAreSentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 4)
		defer x.end()
		var mu sync.Mutex
		var asked []string
		x.onQuery = func(stage sched.StageID) {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, string(stage.Job))
		}
		x.advisorDelay = 100 * time.Millisecond
		l := x.lead("a")
		pause.For(x.ctx, 2*time.Second)
		const later, urgent = 20, 6
		var ids []spoolsill.JobID
		var jobs []sched.Job
		add := func(name string, queue sched.QueueID, n int) {
			for i := range n {
				id := spoolsill.JobID(fmt.Sprintf("%s%d", name, i))
				ids = append(ids, id)
				jobs = append(jobs, sched.Job{
					ID:       id,
					Queue:    queue,
					Received: time.Now(),
					Steps:    []sched.Step{step(1, 1)},
				})
			}
		}
		submitAll := func() {
			x.submit(jobs...)
			for _, j := range jobs {
				r, err := jobstore.JobRow("host", j)
				x.c.Assert(err, qt.IsNil)
				l.NotifyRow(r)
			}
			jobs = nil
		}
		add("later", "advised", later)
		submitAll()
		pause.For(x.ctx, 80*time.Millisecond) // two queries are in flight, two wait
		mu.Lock()
		before := len(asked)
		mu.Unlock()
		add("urgent", "advised-urgent", urgent)
		submitAll()
		pause.For(x.ctx, 8*time.Second)
		mu.Lock()
		first := asked[before : before+urgent]
		mu.Unlock()
		n := 0
		for _, job := range first {
			if strings.HasPrefix(job, "urgent") {
				n++
			}
		}
		x.c.Assert(n, qt.Equals, urgent, qt.Commentf("%v", first))
		x.assertCompleted(l, ids)
	})
}

// Guards against a backlog of queries while hosts are idle, which comes about when responses
// spend more time in transit than the advisor needs to compute them.
func TestSlowAdvisorResponsesDoNotDelayQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 4)
		defer x.end()
		x.advisorDelay = 300 * time.Millisecond
		l := x.lead("a")
		pause.For(x.ctx, 2*time.Second)
		var ids []spoolsill.JobID
		var jobs []sched.Job
		for i := range 60 {
			id := spoolsill.JobID(fmt.Sprintf("j%d", i))
			ids = append(ids, id)
			jobs = append(jobs, sched.Job{
				ID:    id,
				Queue: "advised",
				Steps: []sched.Step{step(1, 1)},
			})
		}
		x.submit(jobs...)
		pause.For(x.ctx, 6*time.Second)
		x.assertCompleted(l, ids)
	})
}

// Guards against giving up queries whose answers are only under way for longer than usual: they
// were queried again, and each time given up again, and their hosts were avoided.
func TestQueriesWithLateAnswersAreNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, 4)
		defer x.end()
		x.advisorDelay = 700 * time.Millisecond
		var mu sync.Mutex
		asked := map[spoolsill.JobID]int{}
		x.onQuery = func(stage sched.StageID) {
			mu.Lock()
			defer mu.Unlock()
			asked[stage.Job]++
		}
		l := x.lead("a")
		pause.For(x.ctx, 2*time.Second)
		const n = 20
		var ids []spoolsill.JobID
		for i := range n {
			id := spoolsill.JobID(fmt.Sprintf("j%d", i))
			ids = append(ids, id)
			x.submit(sched.Job{
				ID:    id,
				Queue: "advised",
				Steps: []sched.Step{step(1, 1)},
			})
			pause.For(x.ctx, time.Second)
		}
		pause.For(x.ctx, 10*time.Second)
		x.assertCompleted(l, ids)
		mu.Lock()
		defer mu.Unlock()
		again := 0
		for _, id := range ids[n/2:] {
			again += asked[id] - 1
		}
		x.c.Assert(again, qt.Equals, 0, qt.Commentf("%v", asked))
	})
}
