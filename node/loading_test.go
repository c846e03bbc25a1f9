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

// storeJobs stores jobs of about a kilobyte each, as if accepted by earlier
// incarnations of the hosts.
func (x *cell) storeJobs(n, hosts int) {
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

// restartAll stops all hosts and restarts them with links of the given rate.
func (x *cell) restartAll(hosts int, link spoolsill.Bytes) {
	for i := range hosts {
		x.hosts[i].stop()
	}
	pause.For(x.ctx, 7*time.Second) // a stop takes at most 6 s
	x.link = link
	for i := range hosts {
		x.network.SetRate(hostName(i), int(link))
		x.start(i)
	}
}

// submitRetrying submits a job as a client that retries at once while it is refused, and
// returns the status of the last of at most 200 attempts.
func (x *cell) submitRetrying(host, job int) int {
	r := x.call(host, http.MethodPost, "/q/"+jobID(job), body)
	for range 199 {
		if r.status != http.StatusBadGateway {
			break
		}
		r = x.call(host, http.MethodPost, "/q/"+jobID(job), body)
	}
	return r.status
}

// Guards against queries and notifications to a leader that is still loading. After a
// power loss, a leader read 1,300 jobs over a link of 2 Mbit/s while the other hosts
// notified it of each new job and queried it for each state, about 130 calls a second.
// Such a leader can use neither, since it reads every job from the store and knows no
// state yet, and clients waited for the failed query before their host queried the store.
func TestLoadingLeaderIsNotQueried(t *testing.T) {
	const hosts = 12
	run(t, hosts, 8, func(x *cell) {
		x.storeJobs(1400, hosts)
		x.restartAll(hosts, tinyLink)
		pause.For(x.ctx, 4*time.Second)
		other := (x.leader() + 1) % hosts
		begun := time.Now()
		r := x.call(other, http.MethodGet, "/q/"+jobID(3), "")
		took := time.Since(begun)
		x.c.Check(r, qt.Equals, result{
			status: http.StatusOK,
			body:   `{"state":"pending"}`,
		})
		x.c.Check(took < 150*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v", took))
		x.c.Assert(x.submitRetrying(other, 2000), qt.Equals, http.StatusOK)
		x.c.Assert(x.hasLogged("jobs loaded")(), qt.IsFalse)
		pause.For(x.ctx, 20*time.Second)
		x.c.Check(x.workers.RunningCount() > 0, qt.IsTrue)
	})
}
