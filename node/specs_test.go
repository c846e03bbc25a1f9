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

// tinyLink is what a link of 2 Mbit/s carries, in bytes a second.
const tinyLink = 250_000

// longSpec is the longest spec that clients may hand in, of one job.
func longSpec(i int) string {
	return fmt.Sprintf("%04d", i) + strings.Repeat("x", 3996)
}

// watchSpecs has starts with another spec than their job's told as faults.
func (x *cell) watchSpecs(specs map[spoolsill.JobID]string) (starts func() int) {
	var mu sync.Mutex
	n := 0
	x.workers.Ordered = func(o sched.StartOrder) {
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

// handInWide hands a gang in whose spec takes a link of 2 Mbit/s a second if it is sent
// with each start.
func (x *cell) handInWide(host, i int) {
	b := fmt.Sprintf(`{"spec":%q,"steps":[{"count":60,"cpu":1000,"estMs":900,"gang":true}]}`, longSpec(i))
	r := x.call(host, http.MethodPost, "/q/"+jobID(i), b)
	x.c.Assert(r.status, qt.Equals, http.StatusOK, qt.Commentf("%v", r))
}

// What happened: wide gangs with long specs were started through hosts with links of
// 2 Mbit/s. The leader's link was full for seconds, other hosts took it for dead, and so
// each of the next leaders.
func TestLongSpecsDoNotFillTheLeadersLink(t *testing.T) {
	const workers = 8
	run(t, 5, workers, func(x *cell) {
		specs := map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
			spoolsill.JobID(jobID(2)): longSpec(2),
		}
		starts := x.watchSpecs(specs)
		for i := range x.hosts {
			x.network.SetRate(hostName(i), tinyLink)
		}
		l := x.leader()
		before, _, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		x.handInWide((l+1)%5, 1)
		x.handInWide((l+2)%5, 2)
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

// A host that has accepted a job and is gone keeps nobody from running it.
func TestSpecsOfHostsThatAreGone(t *testing.T) {
	run(t, 4, 8, func(x *cell) {
		x.watchSpecs(map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
		})
		gone := (x.leader() + 1) % 4
		x.handInWide(gone, 1)
		x.network.SetPaused(hostName(gone), true)
		pause.For(x.ctx, 8*time.Second)
		x.c.Check(x.state(x.leader(), jobID(1)), qt.Equals, completed)
		x.network.SetPaused(hostName(gone), false)
	})
}

// A host that starts anew has no specs of its former life, and other hosts had them
// only from there.
func TestSpecsOfHostsThatStartedAnew(t *testing.T) {
	run(t, 4, 7, func(x *cell) {
		x.watchSpecs(map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
		})
		anew := (x.leader() + 1) % 4
		x.handInWide(anew, 1) // it does not fit seven workers
		pause.For(x.ctx, time.Second)
		x.hosts[anew].stop()
		pause.For(x.ctx, 7*time.Second)
		x.start(anew)
		pause.For(x.ctx, time.Second)
		x.addWorker(7)
		pause.For(x.ctx, 5*time.Second)
		x.c.Check(x.state(x.leader(), jobID(1)), qt.Equals, completed)
	})
}

// keepWide has the store hold a wide gang that a host of a former life accepted.
func (x *cell) keepWide(host, i int) {
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

// sentFor returns how many bytes a host has sent for a purpose.
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

// wideGang is how many tasks a gang has that takes a link of 2 Mbit/s a second when
// its spec is sent with each start.
const wideGang = 60

// Guards against starts that carry their specs from the leader after a loss of power,
// when no host has the specs in memory: its link was full of them, and the backlog of
// accepted jobs was not worked off.
func TestLeaderSendsNoSpecsAfterALossOfPower(t *testing.T) {
	const hosts, jobs = 5, 4
	run(t, hosts, 8, func(x *cell) {
		specs := map[spoolsill.JobID]string{}
		for i := range jobs {
			x.keepWide(i%hosts, i)
			specs[spoolsill.JobID(jobID(i))] = longSpec(i)
		}
		x.watchSpecs(specs)
		x.powerOff(hosts, tinyLink)
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

// Guards against a leader that sends the spec of a job which it accepted itself with each
// start, or has each delegate read it from the store.
func TestLeaderTellsSpecsOfItsOwnJobsOnce(t *testing.T) {
	const hosts = 5
	run(t, hosts, 8, func(x *cell) {
		x.watchSpecs(map[spoolsill.JobID]string{
			spoolsill.JobID(jobID(1)): longSpec(1),
		})
		l := x.leader()
		x.handInWide(l, 1)
		pause.For(x.ctx, 8*time.Second)
		x.c.Check(x.state(l, jobID(1)), qt.Equals, completed)
		x.c.Check(x.sentFor(l, "peer start"), qt.Equals, 0)
		told := x.sentFor(l, "peer spec")
		x.c.Check(told > 0 && told < 2*hosts*len(longSpec(1)), qt.IsTrue, qt.Commentf("%d bytes of specs", told))
	})
}
