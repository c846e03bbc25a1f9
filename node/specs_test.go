package node_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// tinyLink is the capacity of a link of 2 Mbit/s in bytes a second.
const tinyLink = 250_000

// longSpec returns a spec of the maximum length that differs for each job.
func longSpec(i int) string {
	return fmt.Sprintf("%04d", i) + strings.Repeat("x", 3996)
}

// checkSpecs fails the test for each start whose spec differs from that of its job. The
// returned function reports the number of starts.
func (x *cell) checkSpecs(specs map[spoolsill.JobID]string) (starts func() int) {
	var mu sync.Mutex
	n := 0
	x.workers.OnStartOrder = func(o sched.StartOrder) {
		mu.Lock()
		defer mu.Unlock()
		n++
		id := o.Run.Task.Stage.Job
		x.c.Check(o.Spec == specs[id], qt.IsTrue, qt.Commentf("%s has the spec %.8q of %d bytes", o.Run.Task, o.Spec, len(o.Spec)))
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

// submitWide submits a gang whose spec occupies a link of 2 Mbit/s for a second if it
// is sent with each start.
func (x *cell) submitWide(host, i int) {
	b := fmt.Sprintf(`{"spec":%q,"steps":[{"count":60,"cpu":1000,"estMs":900,"gang":true}]}`, longSpec(i))
	r := x.call(host, http.MethodPost, "/q/"+jobID(i), b)
	x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
}

// Guards against a leader that saturates its link of 2 Mbit/s with the specs of wide
// gangs. Other hosts considered the leader dead and took over, and the same happened to
// each subsequent leader.
func TestLongSpecsDoNotSaturateLeaderLink(t *testing.T) {
	const workers = 8
	run(t, 5, workers, func(x *cell) {
		specs := map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
			spoolsill.JobID(jobID(2)): longSpec(2),
		}
		starts := x.checkSpecs(specs)
		for i := range x.hosts {
			x.network.SetRate(hostName(i), tinyLink)
		}
		l := x.leader()
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.submitWide((l+1)%5, 1)
		x.submitWide((l+2)%5, 2)
		pause.For(x.ctx, 12*time.Second)
		for _, i := range []int{1, 2} {
			x.c.Check(x.state(0, jobID(i)), qt.Equals, completed)
		}
		after, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.c.Check(after.Epoch, qt.Equals, before.Epoch, qt.Commentf("another host took over"))
		x.c.Check(starts() < 2*120, qt.IsTrue, qt.Commentf("%d orders for 120 tasks", starts()))
	})
}

// A job must run even if the host that accepted it is unreachable.
func TestJobRunsWhileSpecHostIsUnreachable(t *testing.T) {
	run(t, 4, 8, func(x *cell) {
		x.checkSpecs(map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
		})
		gone := (x.leader() + 1) % 4
		x.submitWide(gone, 1)
		x.network.SetPaused(hostName(gone), true)
		pause.For(x.ctx, 8*time.Second)
		x.c.Check(x.state(x.leader(), jobID(1)), qt.Equals, completed)
		x.network.SetPaused(hostName(gone), false)
	})
}

// A job must run even if the host that accepted it has restarted, which loses the only
// cached copy of its spec.
func TestJobRunsAfterSpecHostRestarts(t *testing.T) {
	run(t, 4, 7, func(x *cell) {
		x.checkSpecs(map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
		})
		restarted := (x.leader() + 1) % 4
		x.submitWide(restarted, 1) // it does not fit on seven workers
		pause.For(x.ctx, time.Second)
		x.hosts[restarted].stop()
		pause.For(x.ctx, 7*time.Second)
		x.start(restarted)
		pause.For(x.ctx, time.Second)
		x.addWorker(7)
		pause.For(x.ctx, 5*time.Second)
		x.c.Check(x.state(x.leader(), jobID(1)), qt.Equals, completed)
	})
}

// storeWide stores a wide gang as if accepted by an earlier incarnation of a host.
func (x *cell) storeWide(host, i int) {
	row, err := jobstore.JobRow(hostName(host), sched.Job{
		ID:    spoolsill.JobID(jobID(i)),
		Queue: "q",
		Spec:  longSpec(i),
		Steps: []sched.Step{{
			Tasks: wideGang,
			Need: spoolsill.Resources{
				Processors: spoolsill.Core,
			},
			Estimate: time.Second,
			Gang:     true,
		}},
	})
	x.c.Assert(err, qt.IsNil)
	x.store.Put(store.Put{
		Key:   row.Key,
		Value: row.Value,
	})
}

// sentFor returns the number of bytes that a host has sent for a purpose.
func (x *cell) sentFor(host int, purpose string) int {
	r := httptest.NewRecorder()
	x.hosts[host].Metrics.Handler().ServeHTTP(r, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	prefix := fmt.Sprintf(`spoolsill_link_bytes_total{direction="sent",purpose=%q} `, purpose)
	for line := range strings.Lines(r.Body.String()) {
		if v, ok := strings.CutPrefix(line, prefix); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
			x.c.Assert(err, qt.IsNil)
			return int(n)
		}
	}
	return 0
}

// wideGang is the number of tasks of a gang that occupies a link of 2 Mbit/s for a
// second if its spec is sent with each start.
const wideGang = 60

// Guards against a leader that sends specs with its starts after a power loss, when no
// host has them cached: its link was saturated, and the backlog of accepted jobs was
// not processed.
func TestLeaderSendsNoSpecsAfterPowerLoss(t *testing.T) {
	const hosts, jobs = 5, 4
	run(t, hosts, 8, func(x *cell) {
		specs := map[spoolsill.JobID]string{}
		for i := range jobs {
			x.storeWide(i%hosts, i)
			specs[spoolsill.JobID(jobID(i))] = longSpec(i)
		}
		x.checkSpecs(specs)
		x.restartAll(hosts, tinyLink)
		begun := time.Now()
		for i := range jobs {
			for x.state(x.leader(), jobID(i)) != completed && time.Since(begun) < time.Minute {
				pause.For(x.ctx, 100*time.Millisecond)
			}
			x.c.Check(x.state(x.leader(), jobID(i)), qt.Equals, completed)
		}
		sent := 0
		for i := range hosts {
			sent += x.sentFor(i, "peer start")
		}
		x.c.Check(sent < jobs*hosts*len(longSpec(0)), qt.IsTrue, qt.Commentf("leaders sent %d bytes of orders with specs", sent))
	})
}

// Guards against a leader that sends the spec of a job accepted by its own host with
// each start, or makes each delegate read it from the store.
func TestLeaderSendsSpecsOfItsOwnJobsOnce(t *testing.T) {
	const hosts = 5
	run(t, hosts, 8, func(x *cell) {
		x.checkSpecs(map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
		})
		l := x.leader()
		x.submitWide(l, 1)
		pause.For(x.ctx, 8*time.Second)
		x.c.Check(x.state(l, jobID(1)), qt.Equals, completed)
		x.c.Check(x.sentFor(l, "peer start"), qt.Equals, 0)
		sent := x.sentFor(l, "peer spec")
		x.c.Check(sent > 0 && sent < 2*hosts*len(longSpec(1)), qt.IsTrue, qt.Commentf("%d bytes of specs", sent))
	})
}
