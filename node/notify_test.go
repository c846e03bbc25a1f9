package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// cancelBound is how soon all tasks of a cancelled job must have stopped in the
// strictest known deployment: 3 s, and 0.2 s for the stop itself.
const cancelBound = 3200 * time.Millisecond

// A worker that is paused while it receives the starts of a job's tasks starts them when
// it resumes. At that moment the leader is paused, and the job is cancelled at another
// host while there is no leader. The tasks must still be stopped in time.
func TestLateStartsOfRemovedLeaderAreStopped(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Minute, sched.EndDone }
		old := x.leader()
		other := (old + 1) % len(x.hosts)
		pause.For(x.ctx, 2*time.Second)
		x.network.SetPaused("w0", true)
		x.c.Assert(x.call(other, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 600*time.Millisecond)
		x.c.Assert(x.workers.StartCount(), qt.Equals, 0)
		x.network.SetPaused("w0", false)
		pause.For(x.ctx, 2*time.Millisecond)
		x.network.SetPaused(hostName(old), true)
		defer x.network.SetPaused(hostName(old), false)
		x.c.Assert(x.workers.RunningCount(), qt.Equals, 2)
		r := x.callBy(x.newClient(), other, http.MethodDelete, "/q/"+jobID(1), "")
		x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
		cancelled := time.Now()
		for x.workers.RunningCount() > 0 && time.Since(cancelled) < time.Minute {
			pause.For(x.ctx, 10*time.Millisecond)
		}
		took := time.Since(cancelled)
		t.Logf("stopped after %v", took)
		x.c.Assert(took <= cancelBound, qt.IsTrue, qt.Commentf("stopped after %v", took))
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
	})
}

// Cancellations must reach the leader even while its feed delivers nothing.
func TestCancelReachesTheLeaderWithoutTheFeed(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Minute, sched.EndDone }
		other := (x.leader() + 1) % len(x.hosts)
		x.c.Assert(x.call(other, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.workers.RunningCount(), qt.Equals, 2)
		x.store.SetFeedStalled(true)
		x.c.Assert(x.call(other, http.MethodDelete, "/q/"+jobID(1), "").status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.workers.RunningCount(), qt.Equals, 0)
	})
}

// A host that considers the leader unreachable must still notify it of jobs: it may
// still lead, and the first response of a recovered feed may not include them yet.
func TestSuspectedLeaderIsNotifiedOfJobs(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		l := x.leader()
		h := (l + 1) % len(x.hosts)
		for i := range 10 {
			x.store.SetUnavailable(true)
			x.network.SetPartitioned(hostName(h), hostName(l), true)
			pause.For(x.ctx, 500*time.Millisecond+time.Duration(i)*23*time.Millisecond)
			x.store.SetFeedStalled(true)
			x.store.SetUnavailable(false)
			x.network.SetPartitioned(hostName(h), hostName(l), false)
			if x.call(h, http.MethodPost, "/q/"+jobID(i), body).status != http.StatusOK {
				continue // the host has not noticed yet that the store is reachable
			}
			r := x.call(l, http.MethodGet, "/q/"+jobID(i), "")
			x.c.Check(r.status, qt.Not(qt.Equals), http.StatusGone, qt.Commentf("job %d", i))
			x.store.SetFeedStalled(false)
			pause.For(x.ctx, 2*time.Second)
		}
	})
}
