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
