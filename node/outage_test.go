package node_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/store"
)

// promptly is the longest time after which a host may tell a client that it can't answer: a
// tenth of the time that clients wait.
const promptly = 300 * time.Millisecond

// A timedResult is a response and what a client needs to come back.
type timedResult struct {
	result
	took       time.Duration
	retryAfter time.Duration
}

// callTimed makes a call over a connection of its own.
func (x *cell) callTimed(host int, method, path, body string) timedResult {
	r, err := http.NewRequestWithContext(x.ctx, method, "http://"+x.hosts[host].Settings.ClientAddress+path, strings.NewReader(body))
	x.c.Assert(err, qt.IsNil)
	r.Host = wire.Domain
	r.Header.Set("Request-Id", method+path)
	r.Close = true
	begun := time.Now()
	p, err := x.client.Do(r)
	took := time.Since(begun)
	if err != nil {
		return timedResult{
			result: result{
				body: err.Error(),
			},
			took: took,
		}
	}
	_ = p.Body.Close()
	seconds, _ := strconv.Atoi(p.Header.Get("Retry-After"))
	return timedResult{
		result: result{
			status: p.StatusCode,
		},
		took:       took,
		retryAfter: time.Duration(seconds) * time.Second,
	}
}

// complete submits job 1 at a host and waits until it has completed, without querying it.
func (x *cell) complete(host int) {
	x.c.Assert(x.call(host, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
	pause.For(x.ctx, 3*time.Second)
}

// While the store is away, every host that reaches the leader answers for jobs whose end
// was stored before, also if no client has asked it for them. Cancelling them is a success
// without any effect.
func TestEndedJobsAreAnsweredWithoutTheStore(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.complete(0)
		x.c.Assert(x.state(1, jobID(1)), qt.Equals, completed)
		x.store.SetUnavailable(true)
		pause.For(x.ctx, 4*time.Second)
		for i := range 3 {
			x.c.Check(x.state(i, jobID(1)), qt.Equals, completed, qt.Commentf("host %d", i))
			x.c.Check(x.call(i, http.MethodDelete, "/q/"+jobID(1), "").status, qt.Equals, http.StatusOK, qt.Commentf("host %d", i))
		}
	})
}

// A host that is cut off from the store and from the other hosts repeats the final states
// that it has told, and refuses everything else at once. It sends no write whose outcome it
// could not know.
func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		cut := (x.leader() + 1) % 3
		x.complete(cut)
		x.c.Assert(x.state(cut, jobID(1)), qt.Equals, completed)
		x.network.SetPartitioned(hostName(cut), platformNode.Name, true)
		for i := range 3 {
			if i != cut {
				x.network.SetPartitioned(hostName(cut), hostName(i), true)
			}
		}
		pause.For(x.ctx, 5*time.Second)
		for i := range 20 {
			x.c.Check(x.state(cut, jobID(1)), qt.Equals, completed)
			r := x.callTimed(cut, http.MethodGet, "/q/"+jobID(2), "")
			x.c.Check(r.status, qt.Equals, http.StatusBadGateway)
			x.c.Check(r.took < promptly/3, qt.IsTrue, qt.Commentf("state: %s", r.took))
			r = x.callTimed(cut, http.MethodPost, "/q/"+jobID(10+i), body)
			x.c.Check(r.status, qt.Equals, http.StatusBadGateway)
			x.c.Check(r.took < promptly+100*time.Millisecond, qt.IsTrue, qt.Commentf("submit: %s", r.took))
			r = x.callTimed(cut, http.MethodDelete, "/q/"+jobID(2), "")
			x.c.Check(r.status, qt.Equals, http.StatusBadGateway)
			x.c.Check(r.took < promptly, qt.IsTrue, qt.Commentf("cancel: %s", r.took))
		}
	})
}

// A host whose calls to the store get no answer is not ready as soon as they have failed for
// long enough, counted from when they were sent: within twice the 0.7 s that make a store
// unreachable.
func TestSilentStoreIsNoticed(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		other := (x.leader() + 1) % 3
		x.network.SetPaused(platformNode.Name, true)
		begun := time.Now()
		for x.ready(other) == http.StatusOK {
			pause.For(x.ctx, 20*time.Millisecond)
		}
		x.c.Check(time.Since(begun) <= 1400*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(begun)))
		x.network.SetPaused(platformNode.Name, false)
	})
}

// While the store answers nothing, jobs are refused as certainly not taken, and each of them
// is taken once when it comes again afterwards.
func TestSubmissionsDuringAnOutageAreCertainlyNotTaken(t *testing.T) {
	run(t, 3, 2, func(x *cell) {
		x.network.SetPaused(platformNode.Name, true)
		pause.For(x.ctx, 3*time.Second)
		const jobs = 60
		var g sync.WaitGroup
		for i := range jobs {
			g.Go(func() {
				r := x.callTimed(i%3, http.MethodPost, "/q/"+jobID(i), body)
				x.c.Check(r.status, qt.Equals, http.StatusBadGateway, qt.Commentf("job %d", i))
				x.c.Check(r.took < promptly+100*time.Millisecond, qt.IsTrue, qt.Commentf("job %d: %s", i, r.took))
			})
			pause.For(x.ctx, 50*time.Millisecond)
		}
		g.Wait()
		x.network.SetPaused(platformNode.Name, false)
		pause.For(x.ctx, 3*time.Second)
		for i := range 4 {
			x.c.Check(x.call(i%3, http.MethodPost, "/q/"+jobID(i), body).status, qt.Equals, http.StatusOK)
		}
		pause.For(x.ctx, 4*time.Second)
		for i := range 4 {
			x.c.Check(x.state(i%3, jobID(i)), qt.Equals, completed)
		}
		x.c.Check(x.workers.StartCount(), qt.Equals, 8)
	})
}

// If the store's answers are lost, a job may be stored, and its client must not be told that
// it certainly isn't.
func TestSubmissionWithoutAnswerMayBeStored(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.store.SetFault(func(t store.Transaction) cellfake.StoreFault {
			if len(t.Puts) > 0 && t.Puts[0].Key.Table == jobstore.JobsTable {
				return cellfake.StoreLoseReply
			}
			return cellfake.StoreOK
		})
		r := x.call(0, http.MethodPost, "/q/"+jobID(1), body)
		x.c.Check(r.status, qt.Equals, http.StatusGatewayTimeout)
		pause.For(x.ctx, 4*time.Second)
		x.c.Check(x.state(1, jobID(1)), qt.Equals, completed)
	})
}

// After the leader is gone, and while the next one loads the jobs, hosts answer for the ended
// jobs that they have been asked for.
func TestEndedJobsAreAnsweredWhileTheLeaderIsReplaced(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		x.complete(0)
		old := x.leader()
		asked := (old + 1) % 3
		x.c.Assert(x.state(asked, jobID(1)), qt.Equals, completed)
		x.store.SetListLatency(jobstore.ProgressTable, 5*time.Second)
		x.network.SetPaused(hostName(old), true)
		for range 40 {
			r := x.callTimed(asked, http.MethodGet, "/q/"+jobID(1), "")
			x.c.Check(r.status, qt.Equals, http.StatusOK)
			x.c.Check(r.took < promptly/3, qt.IsTrue, qt.Commentf("%s", r.took))
			pause.For(x.ctx, 50*time.Millisecond)
		}
		x.network.SetPaused(hostName(old), false)
	})
}

// Many clients that ask for the same job while no leader answers share one lookup in the store.
func TestLookupsOfOneJobAreShared(t *testing.T) {
	run(t, 3, 0, func(x *cell) {
		x.c.Assert(x.call(0, http.MethodPost, "/q/"+jobID(1), body).status, qt.Equals, http.StatusOK)
		old := x.leader()
		asked := (old + 1) % 3
		x.network.SetPaused(hostName(old), true)
		x.store.SetListLatency(jobstore.JobsTable, 200*time.Millisecond)
		var g sync.WaitGroup
		for range 20 {
			g.Go(func() {
				x.c.Check(x.callTimed(asked, http.MethodGet, "/q/"+jobID(1), "").status, qt.Equals, http.StatusOK)
			})
		}
		g.Wait()
		x.network.SetPaused(hostName(old), false)
	})
}

// The longer the store is away, the further apart clients come back.
func TestReturnIsSpreadByTheLengthOfTheOutage(t *testing.T) {
	run(t, 2, 1, func(x *cell) {
		x.store.SetUnavailable(true)
		pause.For(x.ctx, 10*time.Second)
		told := map[time.Duration]int{}
		for i := range 60 {
			r := x.callTimed(i%2, http.MethodGet, "/q/"+jobID(i), "")
			x.c.Assert(r.status, qt.Equals, http.StatusBadGateway)
			x.c.Check(r.retryAfter >= time.Second && r.retryAfter <= 12*time.Second, qt.IsTrue, qt.Commentf("%s", r.retryAfter))
			told[r.retryAfter]++
		}
		for d, n := range told {
			x.c.Check(n <= 20, qt.IsTrue, qt.Commentf("%d of 60 are told %s", n, d))
		}
	})
}

// A host whose process was stalled finds all its calls overdue when it goes on. It must not
// take the store for unreachable because of that.
func TestStalledHostDoesNotSuspectTheStore(t *testing.T) {
	run(t, 3, 1, func(x *cell) {
		stalled := (x.leader() + 1) % 3
		x.complete(stalled)
		x.network.SetPaused(hostName(stalled), true)
		pause.For(x.ctx, 1750*time.Millisecond)
		x.network.SetPaused(hostName(stalled), false)
		begun := time.Now()
		for time.Since(begun) < time.Second {
			x.c.Check(x.ready(stalled), qt.Equals, http.StatusOK, qt.Commentf("%s after the stall", time.Since(begun)))
			pause.For(x.ctx, 10*time.Millisecond)
		}
	})
}
