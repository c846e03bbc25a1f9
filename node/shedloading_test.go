package node_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/node"
)

// A submission counts the outcomes of the jobs that clients submitted.
type submission struct {
	accepted, refused int
}

// submitUntil submits a hundred jobs a second to all hosts in turn until stop returns true,
// or for at most d. Hosts that know no configuration yet may answer 503; other outcomes fail
// the test.
func (x *cell) submitUntil(stop func() bool, d time.Duration, first int) submission {
	const interval = 10 * time.Millisecond
	var s submission
	begun := time.Now()
	for i := 0; time.Since(begun) < d && !stop(); i++ {
		r := x.call(i%len(x.hosts), http.MethodPost, "/q/"+jobID(first+i), body)
		switch r.status {
		case http.StatusOK:
			s.accepted++
		case http.StatusBadGateway:
			s.refused++
		case http.StatusServiceUnavailable:
		default:
			x.c.Errorf("%v", r)
		}
		pause.For(x.ctx, interval)
	}
	return s
}

func never() bool { return false }

// hasLogged returns a function that reports whether any host has logged a message since it
// was started.
func (x *cell) hasLogged(message string) func() bool {
	return func() bool { return len(x.entries(message)) > 0 }
}

// entries returns the entries with a message that the hosts have logged since they were
// started.
func (x *cell) entries(message string) []*logrus.Entry {
	var found []*logrus.Entry
	for _, h := range x.hosts {
		for _, e := range h.logged.AllEntries() {
			if e.Message == message {
				found = append(found, e)
			}
		}
	}
	return found
}

// refusals returns how many hosts have refused jobs for a reason.
func (x *cell) refusals(reason string) int {
	hosts := map[interface{}]bool{}
	for _, e := range x.entries("request refused") {
		err, ok := e.Data[logrus.ErrorKey].(error)
		if ok && strings.Contains(err.Error(), reason) {
			hosts[e.Data["host"]] = true
		}
	}
	return len(hosts)
}

// Guards against hosts that accept all jobs while a new leader reads the backlog after a
// loss of power. No worker has responded to it, which was taken for a low latency.
func TestJobsAreRefusedWhileLeaderLoads(t *testing.T) {
	const hosts = 12
	run(t, hosts, 8, func(x *cell) {
		x.storeJobs(1400, hosts)
		x.restartAll(hosts, tinyLink)
		leads := x.hasLogged("this host leads")
		for !leads() {
			pause.For(x.ctx, time.Millisecond)
		}
		begun := time.Now()
		loaded := x.hasLogged("jobs loaded")
		s := x.submitUntil(loaded, 20*time.Second, 10_000)
		x.c.Assert(loaded(), qt.IsTrue)
		x.c.Assert(time.Since(begun) > 2*time.Second, qt.IsTrue, qt.Commentf("loaded after %v", time.Since(begun)))
		x.c.Check(s.refused > 2*s.accepted, qt.IsTrue, qt.Commentf("%+v", s))
		n := x.refusals("it is loading the jobs")
		x.c.Check(n > hosts/2, qt.IsTrue, qt.Commentf("%d of %d hosts refused jobs for this reason", n, hosts))
		x.submitUntil(never, 10*time.Second, 20_000)
		s = x.submitUntil(never, time.Second, 30_000)
		x.c.Check(s.refused, qt.Equals, 0)
	})
}

// A leader that has loaded the jobs knows no latency before a worker has responded to it.
func TestJobsAreRefusedUntilWorkersRespond(t *testing.T) {
	run(t, 3, 4, func(x *cell) {
		var silent atomic.Bool
		x.workers.Update(func() {
			x.workers.Delay = func(spoolsill.WorkerID) time.Duration {
				if silent.Load() {
					return 5 * time.Second
				}
				return time.Millisecond
			}
		})
		silent.Store(true)
		old := x.leader()
		x.hosts[old].stop()
		pause.For(x.ctx, 7*time.Second)
		x.start(old)
		pause.For(x.ctx, time.Second)
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
		x.writeWorkerEntry(0)
		s := x.submitUntil(never, 2*time.Second, 100)
		x.c.Check(s.refused > s.accepted, qt.IsTrue, qt.Commentf("%+v", s))
		n := x.refusals("no worker has responded to it yet")
		x.c.Check(n, qt.Equals, 3, qt.Commentf("hosts refused jobs for this reason"))
		silent.Store(false)
		pause.For(x.ctx, 10*time.Second)
		s = x.submitUntil(never, time.Second, 1000)
		x.c.Check(s.refused, qt.Equals, 0)
	})
}

// A cell that starts for the first time has no jobs to load, and refuses none, whether or
// not it has workers and however small its links are.
func TestFirstStartRefusesNoJob(t *testing.T) {
	for _, workers := range []int{0, 8} {
		synctest.Test(t, func(t *testing.T) {
			x := newCell(t, 0, workers)
			defer x.end()
			x.link = tinyLink
			for i := range 12 {
				x.network.SetRate(hostName(i), tinyLink)
				x.start(i)
			}
			pause.For(x.ctx, 10*time.Millisecond)
			s := x.submitUntil(never, 5*time.Second, 0)
			x.c.Check(s.refused, qt.Equals, 0)
			x.c.Check(s.accepted > 200, qt.IsTrue, qt.Commentf("%+v", s))
		})
	}
}

// A takeover that loads the jobs at once refuses none.
func TestShortTakeoverRefusesNoJob(t *testing.T) {
	run(t, 3, 4, func(x *cell) {
		x.storeJobs(50, 3)
		x.submitUntil(never, time.Second, 1000)
		old := x.leader()
		x.hosts[old].stop()
		pause.For(x.ctx, 10*time.Millisecond)
		s := x.submitUntil(never, 2*time.Second, 2000)
		x.c.Assert(x.leader(), qt.Not(qt.Equals), old)
		x.c.Check(s.refused, qt.Equals, 0)
		x.c.Check(s.accepted > 100, qt.IsTrue, qt.Commentf("%+v", s))
	})
}

// During a rolling upgrade, hosts read what leaders of the other release tell of the share.
func TestShareIsReadByOtherRelease(t *testing.T) {
	share, err := node.ShareReadByFormerRelease(0.7, true)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, share, qt.Equals, 0.7)
	share, err = node.ShareReadFromFormerRelease(0.7)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, share, qt.Equals, 0.7)
}
