package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// After its machine was suspended, a host no longer knows whether its configuration is
// the newest, and must not report that a route does not exist.
func TestSuspendedHostDoesNotDenyRoutes(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		h := (x.leader() + 1) % len(x.hosts)
		none := "/none/" + jobID(1)
		x.c.Assert(x.call(h, http.MethodGet, none, "").status, qt.Equals, http.StatusNotFound)
		x.hosts[h].simulateSuspension(5 * time.Second)
		x.c.Assert(x.call(h, http.MethodGet, none, "").status, qt.Not(qt.Equals), http.StatusNotFound)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.call(h, http.MethodGet, none, "").status, qt.Equals, http.StatusNotFound)
		reports := 0
		for _, e := range x.hosts[h].logged.AllEntries() {
			if e.Message == "this machine was suspended" {
				reports++
				x.c.Check(e.Data["suspended_ms"], qt.Equals, int64(5000))
			}
		}
		x.c.Check(reports, qt.Equals, 1)
	})
}

// A leader whose machine was suspended may have been replaced. It must not report a job
// as running from memory, since the next leader may have completed it.
func TestSuspendedLeaderReportsNoCachedState(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Minute, sched.EndDone }
		l := x.leader()
		x.c.Assert(x.call(l, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.state(l, jobID(1)), qt.Equals, `{"state":"running"}`)
		// While the store is unavailable, the leader cannot learn of another leader from
		// its row.
		x.store.SetUnavailable(true)
		x.hosts[l].simulateSuspension(5 * time.Second)
		r := x.call(l, http.MethodGet, "/q/"+jobID(1), "")
		x.c.Assert(r.status, qt.Not(qt.Equals), http.StatusOK, qt.Commentf("%v", r))
		x.store.SetUnavailable(false)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.state(l, jobID(1)), qt.Equals, `{"state":"running"}`)
		x.c.Assert(x.workers.Violations(), qt.HasLen, 0)
	})
}
