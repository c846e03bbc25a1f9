package soak_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/soak"
	"github.com/spoolsill/spoolsill/sched"
)

// seeds are the seeds that CI runs: one that has found nothing, and each one that has found
// a violation, with its cause.
var seeds = []uint64{
	1,   // reads of a large configuration over slow links timed out and started over
	4,   // no violation; kills all hosts, the leader and single hosts
	7,   // a leader's answers to a newly started host saturated its slow link
	102, // a leader that had been paused reported a completed job as running
	905, // a stop order that no worker received was not sent again
	// A leader that a host suspected to be lost was not notified of a job that the host had
	// accepted, and reported the job as unknown.
	1011,
}

// workerFaultSeeds are the seeds that CI runs with faults of workers, see [soak.Config].
var workerFaultSeeds = []uint64{
	3000, // four tasks that crash their workers, 14 starts of hosts
	3039, // a host that was told to reload its settings just after its start exited
}

// slowLinkSeeds are the seeds that CI runs with hosts that compress the frames between them.
var slowLinkSeeds = []uint64{
	100, // no violation; 19 starts of hosts
}

// maxConcurrentSeeds is the number of concurrent runs. A run uses half a processor and waits
// most of the time.
const maxConcurrentSeeds = 2

// TestPromisesHoldWhileHostsAreHarmed checks the invariants while faults are injected into
// real processes. The result does not depend on their speed, except that a host must have a
// configuration in force within six seconds.
func TestPromisesHoldWhileHostsAreHarmed(t *testing.T) {
	if testing.Short() {
		t.Skip("runs real processes")
	}
	binary := filepath.Join(t.TempDir(), "spoolsill-host")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/spoolsill/spoolsill/cmd/spoolsill-host").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	var g errgroup.Group
	g.SetLimit(maxConcurrentSeeds)
	check := func(seeds []uint64, c soak.Config) {
		for _, seed := range seeds {
			c := c
			c.Seed = seed
			g.Go(func() error {
				checkSeed(t, binary, c)
				return nil
			})
		}
	}
	check(seeds, soak.Config{})
	check(workerFaultSeeds, soak.Config{
		Troubled: true,
	})
	check(slowLinkSeeds, soak.Config{
		LinkMbps: 2,
	})
	qt.Assert(t, g.Wait(), qt.IsNil)
}

// checkSeed executes the run of one seed. It keeps the files of a failed run.
func checkSeed(t *testing.T, binary string, c soak.Config) {
	dir, err := os.MkdirTemp("", "soak")
	if !qt.Check(t, err, qt.IsNil) {
		return
	}
	c.Binary = binary
	c.Dir = dir
	c.Duration = 8 * time.Second
	r, err := soak.Run(t.Context(), c)
	t.Logf("seed %d: %s", c.Seed, r)
	passed := qt.Check(t, err, qt.IsNil)
	passed = qt.Check(t, r.Broken, qt.HasLen, 0, qt.Commentf("logs of seed %d are in %s", c.Seed, dir)) && passed
	passed = qt.Check(t, r.Accepted > 0, qt.IsTrue) && passed
	passed = qt.Check(t, r.Crashes > 0, qt.Equals, c.Troubled) && passed
	if passed {
		qt.Check(t, os.RemoveAll(dir), qt.IsNil)
	}
}

func TestCheckerFindsViolations(t *testing.T) {
	const id = spoolsill.JobID("j")
	first := sched.RunID{
		Task: sched.TaskID{
			Stage: sched.StageID{
				Job: id,
			},
		},
		Number: 1,
	}
	tests := map[string]struct {
		violations int
		record     func(c *soak.Checker)
	}{
		"no violation": {0, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.RunStarted(first, 0, sched.EndDone)
			c.StateReported(id, "completed")
		}},
		"lost": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.StateReported(id, "gone")
		}},
		"not accepted and gone": {0, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusGatewayTimeout)
			c.StateReported(id, "gone")
		}},
		"refused and started": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusServiceUnavailable)
			c.RunStarted(first, 0, sched.EndDone)
		}},
		"no answer and started": {0, func(c *soak.Checker) {
			c.SubmitAnswered(id, 0)
			c.RunStarted(first, 0, sched.EndDone)
		}},
		"completed too early": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.RunStarted(first, time.Hour, sched.EndDone)
			c.StateReported(id, "completed")
		}},
		"completed by a failing run": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.RunStarted(first, 0, sched.EndFailed)
			c.StateReported(id, "completed")
		}},
		"cancelled without a request": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.StateReported(id, "cancelled")
		}},
		"failed without cause": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.RunStarted(first, 0, sched.EndFailed)
			c.RunStarted(first, 0, sched.EndFailed)
			c.RunsLost([]sched.RunID{first})
			c.StateReported(id, "failed")
		}},
		"failed as often as its queue allows": {0, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			for range 3 {
				c.RunStarted(first, 0, sched.EndFailed)
			}
			c.StateReported(id, "failed")
		}},
		"failed after two worker crashes": {0, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.RunsLost([]sched.RunID{first})
			c.RunsLost([]sched.RunID{first})
			c.StateReported(id, "failed")
		}},
		"final state changes": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.RunsLost([]sched.RunID{first})
			c.RunsLost([]sched.RunID{first})
			c.StateReported(id, "failed")
			c.StateReported(id, "running")
		}},
		"not ended": {1, func(c *soak.Checker) {
			c.SubmitAnswered(id, http.StatusOK)
			c.JobsNotEnded(c.OpenJobs())
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := soak.NewChecker()
			c.SubmitSent(id, soak.OneTask())
			tt.record(c)
			qt.Assert(t, c.Violations(), qt.HasLen, tt.violations)
		})
	}
}

// A proxy forwards calls with and without a delay, resets connections, and forwards the data
// that it has held back once the mode allows it.
func TestProxyModes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = s.Serve(target) }()
	defer func() { _ = s.Close() }()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := soak.NewProxy(ctx, l, target.Addr().String(), soak.Path{})
	c := http.Client{}
	defer c.CloseIdleConnections()
	call := func() (int, error) {
		r, err := c.Get("http://" + l.Addr().String())
		if err != nil {
			return 0, err
		}
		return r.StatusCode, r.Body.Close()
	}
	for _, m := range []soak.Mode{soak.Pass, soak.Delay} {
		p.Set(m)
		status, err := call()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status, qt.Equals, http.StatusTeapot)
	}
	p.Set(soak.Reset)
	_, err = call()
	qt.Assert(t, err, qt.IsNotNil)
	for _, m := range []soak.Mode{soak.Silence, soak.OneWay} {
		p.Set(m)
		answered := make(chan error, 1)
		go func() {
			_, err := call()
			answered <- err
		}()
		select {
		case err := <-answered:
			t.Fatalf("mode %s lets an answer through: %v", m, err)
		case <-time.After(50 * time.Millisecond):
		}
		p.Set(soak.Pass)
		qt.Assert(t, <-answered, qt.IsNil)
	}
}
