package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
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
