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

// submitFor submits twenty jobs a second to a host and returns how many were accepted and
// how many were refused with a request to retry. Other outcomes fail the test.
func (x *cell) submitFor(d time.Duration, host, first int) (accepted, refused int) {
	for i := range int(d / (50 * time.Millisecond)) {
		r := x.call(host, http.MethodPost, "/q/"+jobID(first+i), body)
		switch r.status {
		case http.StatusOK:
			accepted++
		case http.StatusBadGateway:
			refused++
		default:
			x.c.Errorf("%v", r)
		}
		pause.For(x.ctx, 50*time.Millisecond)
	}
	return accepted, refused
}

// Hosts refuse a share of the jobs while all workers respond late, as over a saturated
// link, and accept all jobs again once workers respond in time.
func TestJobsAreRefusedWhileWorkersAreSlow(t *testing.T) {
	run(t, 3, 4, func(x *cell) {
		var slow atomic.Bool
		x.workers.Update(func() {
			x.workers.Delay = func(spoolsill.WorkerID) time.Duration {
				if slow.Load() {
					return 300 * time.Millisecond
				}
				return time.Millisecond
			}
		})
		host := (x.leader() + 1) % 3
		_, refused := x.submitFor(2*time.Second, host, 0)
		x.c.Check(refused, qt.Equals, 0)
		slow.Store(true)
		x.submitFor(4*time.Second, host, 100)
		accepted, refused := x.submitFor(2*time.Second, host, 200)
		x.c.Check(refused > accepted, qt.IsTrue, qt.Commentf("%d accepted, %d refused while responses were late", accepted, refused))
		slow.Store(false)
		pause.For(x.ctx, 10*time.Second)
		_, refused = x.submitFor(2*time.Second, host, 300)
		x.c.Check(refused, qt.Equals, 0)
	})
}

// Guards against a host that keeps shedding load after it has lost contact with all
// other hosts. Such a host becomes the leader, but updated the share of jobs to refuse
// only when another host sent a heartbeat: it refused each of 40 jobs 15 s after workers
// responded in time again.
func TestSheddingEndsAtIsolatedHost(t *testing.T) {
	run(t, 3, 4, func(x *cell) {
		var slow atomic.Bool
		x.workers.Update(func() {
			x.workers.Delay = func(spoolsill.WorkerID) time.Duration {
				if slow.Load() {
					return 300 * time.Millisecond
				}
				return time.Millisecond
			}
		})
		host := (x.leader() + 1) % 3
		slow.Store(true)
		x.submitFor(4*time.Second, host, 100)
		_, refused := x.submitFor(time.Second, host, 200)
		x.c.Assert(refused > 0, qt.IsTrue)
		for i := range x.hosts {
			x.network.SetPaused(hostName(i), i != host)
		}
		slow.Store(false)
		pause.For(x.ctx, 15*time.Second)
		x.c.Assert(x.leader(), qt.Equals, host)
		_, refused = x.submitFor(2*time.Second, host, 300)
		x.c.Check(refused, qt.Equals, 0)
		for i := range x.hosts {
			x.network.SetPaused(hostName(i), false)
		}
	})
}
