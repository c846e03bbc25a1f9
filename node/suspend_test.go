package node_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// A host whose machine was suspended does not know any more which configuration is the
// newest: a route that it does not know may have come meanwhile.
func TestSuspendedHostDoesNotSayThatThereIsNoRoute(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		h := (x.leader() + 1) % len(x.hosts)
		none := "/none/" + jobID(1)
		x.c.Assert(x.call(h, http.MethodGet, none, "").status, qt.Equals, http.StatusNotFound)
		x.hosts[h].suspend(5 * time.Second)
		x.c.Assert(x.call(h, http.MethodGet, none, "").status, qt.Not(qt.Equals), http.StatusNotFound)
		pause.For(x.ctx, 2*time.Second)
		x.c.Assert(x.call(h, http.MethodGet, none, "").status, qt.Equals, http.StatusNotFound)
		told := 0
		for _, e := range x.hosts[h].logged.AllEntries() {
			if e.Message == "this machine was suspended" {
				told++
				x.c.Check(e.Data["suspended_ms"], qt.Equals, int64(5000))
			}
		}
		x.c.Check(told, qt.Equals, 1)
	})
}

// A leader whose machine was suspended may have been replaced: it does not tell from
// memory that a job runs, which the next leader may have completed.
func TestSuspendedLeaderTellsNoStateFromMemory(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.workers.Work = func(sched.RunID) (time.Duration, sched.EndKind) { return time.Minute, sched.EndDone }
		l := x.leader()
		x.c.Assert(x.call(l, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.state(l, jobID(1)), qt.Equals, `{"state":"running"}`)
		// The store keeps it from finding out by itself.
		x.store.TurnAway(true)
		x.hosts[l].suspend(5 * time.Second)
		r := x.call(l, http.MethodGet, "/q/"+jobID(1), "")
		x.c.Assert(r.status, qt.Not(qt.Equals), http.StatusOK, qt.Commentf("%v", r))
		x.store.TurnAway(false)
		pause.For(x.ctx, 3*time.Second)
		x.c.Assert(x.state(l, jobID(1)), qt.Equals, `{"state":"running"}`)
		x.c.Assert(x.workers.Broken(), qt.HasLen, 0)
	})
}
