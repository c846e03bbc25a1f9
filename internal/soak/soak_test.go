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

// seeds are run by CI: one that showed nothing, and every seed that has ever
// shown a broken promise, with a word on the cause.
var seeds = []uint64{
	1,   // reads of a large configuration were cut off on slow links, and begun anew
	4,   // kills all hosts, the leader and single ones
	7,   // a leader's answers to a host that had just started filled its slow link
	102, // a leader that was paused told that a completed job still ran
	905, // a stop was ordered once, and not again where nobody took it
	// A leader in doubt was not told of a job, and said that there is none.
	1011,
}

// troubled are seeds that are run with tasks that crash their workers, rooms that move
// and entries of another writer besides.
var troubled = []uint64{
	3000, // four tasks that crash their workers, 14 lives of hosts
	3039, // a host that had just started was told of changed settings, and ended
}

// seedsAtOnce is how many runs are made side by side: one takes half a processor,
// and most of its time is waiting.
const seedsAtOnce = 2

// TestPromisesHoldWhileHostsAreHarmed runs real processes; its verdict does not
// depend on how fast they are, but for the six seconds within which a host has to
// take a configuration in.
func TestPromisesHoldWhileHostsAreHarmed(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a while")
	}
	binary := filepath.Join(t.TempDir(), "spoolsill-host")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/spoolsill/spoolsill/cmd/spoolsill-host").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	var g errgroup.Group
	g.SetLimit(seedsAtOnce)
	check := func(seeds []uint64, troubled bool) {
		for _, seed := range seeds {
			g.Go(func() error {
				checkSeed(t, binary, seed, troubled)
				return nil
			})
		}
	}
	check(seeds, false)
	check(troubled, true)
	qt.Assert(t, g.Wait(), qt.IsNil)
}

// checkSeed makes the run of one seed. Its logs stay when a promise was broken.
func checkSeed(t *testing.T, binary string, seed uint64, troubled bool) {
	dir, err := os.MkdirTemp("", "soak")
	if !qt.Check(t, err, qt.IsNil) {
		return
	}
	r, err := soak.Run(t.Context(), soak.Config{
		Binary:   binary,
		Dir:      dir,
		Seed:     seed,
		Duration: 8 * time.Second,
		Troubled: troubled,
	})
	t.Logf("seed %d: %s", seed, r)
	well := qt.Check(t, err, qt.IsNil)
	well = qt.Check(t, r.Broken, qt.HasLen, 0, qt.Commentf("logs of seed %d are in %s", seed, dir)) && well
	well = qt.Check(t, r.Accepted > 0, qt.IsTrue) && well
	well = qt.Check(t, r.Crashes > 0, qt.Equals, troubled) && well
	if well {
		qt.Check(t, os.RemoveAll(dir), qt.IsNil)
	}
}

// TestJudgeFindsBrokenPromises shows the judge one broken promise at a time.
func TestJudgeFindsBrokenPromises(t *testing.T) {
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
		broken int
		play   func(j *soak.Judge)
	}{
		"all is well": {0, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Started(first, 0, sched.EndDone)
			j.Shown(id, "completed")
		}},
		"lost": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Shown(id, "gone")
		}},
		"not accepted and gone": {0, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusGatewayTimeout)
			j.Shown(id, "gone")
		}},
		"refused and started": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusServiceUnavailable)
			j.Started(first, 0, sched.EndDone)
		}},
		"no answer and started": {0, func(j *soak.Judge) {
			j.HandedIn(id, 0)
			j.Started(first, 0, sched.EndDone)
		}},
		"completed too early": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Started(first, time.Hour, sched.EndDone)
			j.Shown(id, "completed")
		}},
		"completed by a failure": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Started(first, 0, sched.EndFailed)
			j.Shown(id, "completed")
		}},
		"cancelled by nobody": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Shown(id, "cancelled")
		}},
		"failed without cause": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Started(first, 0, sched.EndFailed)
			j.Started(first, 0, sched.EndFailed)
			j.Lost([]sched.RunID{first})
			j.Shown(id, "failed")
		}},
		"failed as often as its queue allows": {0, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			for range 3 {
				j.Started(first, 0, sched.EndFailed)
			}
			j.Shown(id, "failed")
		}},
		"given up": {0, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Lost([]sched.RunID{first})
			j.Lost([]sched.RunID{first})
			j.Shown(id, "failed")
		}},
		"goes back": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.Lost([]sched.RunID{first})
			j.Lost([]sched.RunID{first})
			j.Shown(id, "failed")
			j.Shown(id, "running")
		}},
		"never ends": {1, func(j *soak.Judge) {
			j.HandedIn(id, http.StatusOK)
			j.NeverEnded(j.Open())
		}},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			j := soak.NewJudge()
			j.HandIn(id, soak.OneTask())
			x.play(j)
			qt.Assert(t, j.Broken(), qt.HasLen, x.broken)
		})
	}
}

// TestProxyDoesAsItsModeSays passes a call on, resets one, and delivers what was
// silenced once it no longer is.
func TestProxyDoesAsItsModeSays(t *testing.T) {
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
