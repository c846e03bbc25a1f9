package node_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
)

// handInFor hands jobs in at a host, twenty a second, and returns how many of them were
// taken and how many were refused for now; others fail the test.
func (x *cell) handInFor(d time.Duration, host, first int) (taken, refused int) {
	for i := range int(d / (50 * time.Millisecond)) {
		r := x.call(host, http.MethodPost, "/q/"+jobID(first+i), body)
		switch r.status {
		case http.StatusOK:
			taken++
		case http.StatusBadGateway:
			refused++
		default:
			x.c.Errorf("%v", r)
		}
		pause.For(x.ctx, 50*time.Millisecond)
	}
	return taken, refused
}

// While all answers of workers are late, as on a link that is full, hosts turn a part of
// the jobs away at once, and take all of them again when answers are in time.
func TestJobsAreTurnedAwayWhileAnswersAreLate(t *testing.T) {
	run(t, 3, 4, func(x *cell) {
		var late atomic.Bool
		x.workers.Delay = func(spoolsill.WorkerID) time.Duration {
			if late.Load() {
				return 300 * time.Millisecond
			}
			return time.Millisecond
		}
		host := (x.leader() + 1) % 3
		_, refused := x.handInFor(2*time.Second, host, 0)
		x.c.Check(refused, qt.Equals, 0)
		late.Store(true)
		x.handInFor(4*time.Second, host, 100)
		taken, refused := x.handInFor(2*time.Second, host, 200)
		x.c.Check(refused > taken, qt.IsTrue, qt.Commentf("%d taken, %d refused while answers were late", taken, refused))
		late.Store(false)
		pause.For(x.ctx, 10*time.Second)
		_, refused = x.handInFor(2*time.Second, host, 300)
		x.c.Check(refused, qt.Equals, 0)
	})
}

// A host that had been told to turn a part of the jobs away went on doing so when it
// heard of no other host any more: it leads by itself then, and the share was worked out
// anew only when another host greeted the leader. Each of 40 jobs was refused ("the cell
// can't take more now"), fifteen seconds after all answers were in time again.
func TestTheRefusedShareEndsAtAHostThatIsAlone(t *testing.T) {
	run(t, 3, 4, func(x *cell) {
		var late atomic.Bool
		x.workers.Delay = func(spoolsill.WorkerID) time.Duration {
			if late.Load() {
				return 300 * time.Millisecond
			}
			return time.Millisecond
		}
		host := (x.leader() + 1) % 3
		late.Store(true)
		x.handInFor(4*time.Second, host, 100)
		_, refused := x.handInFor(time.Second, host, 200)
		x.c.Assert(refused > 0, qt.IsTrue)
		for i := range x.hosts {
			x.network.SetPaused(hostName(i), i != host)
		}
		late.Store(false)
		pause.For(x.ctx, 15*time.Second)
		x.c.Assert(x.leader(), qt.Equals, host)
		_, refused = x.handInFor(2*time.Second, host, 300)
		x.c.Check(refused, qt.Equals, 0)
		for i := range x.hosts {
			x.network.SetPaused(hostName(i), false)
		}
	})
}
