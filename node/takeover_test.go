package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// keepJobs has the store hold jobs that hosts of a former life accepted, of about
// a kilobyte each.
func (x *cell) keepJobs(n, hosts int) {
	var puts []store.Put
	for i := range n {
		spec := make([]byte, 400+i%800)
		for k := range spec {
			spec[k] = 'x'
		}
		row, err := jobstore.JobRow(fmt.Sprintf("host%d", i%hosts), sched.Job{
			ID:    spoolsill.JobID(jobID(i)),
			Queue: "q",
			Spec:  string(spec),
			Steps: []sched.Step{{
				Tasks: 2,
				Need: spoolsill.Resources{
					Processors: spoolsill.Core,
				},
				Estimate: time.Minute,
			}},
		})
		x.c.Assert(err, qt.IsNil)
		puts = append(puts, store.Put{
			Key:   row.Key,
			Value: row.Value,
		})
	}
	x.store.Put(puts...)
}

// powerOff ends all hosts and starts them anew, with links of a rate.
func (x *cell) powerOff(hosts int, link spoolsill.Bytes) {
	for i := range hosts {
		x.hosts[i].stop()
	}
	pause.For(x.ctx, 7*time.Second) // a stop takes six at most
	x.link = link
	for i := range hosts {
		x.network.SetRate(hostName(i), int(link))
		x.start(i)
	}
}

// What happened: after a loss of power a leader read 1,300 jobs over a link of 2
// Mbit/s, and all other hosts told it of each new job and asked it for each state
// meanwhile, some 130 calls a second ("leader was not told of a job", "leader could
// not be asked" in each second until "jobs loaded"). It can use neither: it hears of
// each job from the store, and knows of none. Callers waited for it in vain before
// their host asked the store.
func TestALeaderThatLoadsIsNotAsked(t *testing.T) {
	const hosts = 12
	run(t, hosts, 8, func(x *cell) {
		x.keepJobs(1400, hosts)
		x.powerOff(hosts, tinyLink)
		pause.For(x.ctx, 4*time.Second)
		other := (x.leader() + 1) % hosts
		asked := time.Now()
		r := x.call(other, http.MethodGet, "/q/"+jobID(3), "")
		took := time.Since(asked)
		x.c.Check(r, qt.Equals, result{
			status: http.StatusOK,
			body:   `{"state":"pending"}`,
		})
		x.c.Check(took < 150*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v", took))
		x.c.Assert(x.call(other, http.MethodPost, "/q/"+jobID(2000), body).status, qt.Equals, http.StatusOK)
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(x.workers.Running() > 0, qt.IsTrue)
	})
}
