package node_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// BenchmarkLargeCell simulates ten seconds of a cell of 1,100 workers on virtual time,
// with about 1,100 starts a second from 150 small and 15 wide jobs. It is intended for
// profiling: go test ./node -run xxx -bench LargeCell -benchtime 1x -cpuprofile FILE,
// followed by go tool pprof -focus leader to see the leader's share.
func BenchmarkLargeCell(b *testing.B) {
	const (
		hosts    = 20
		workers  = 1100
		duration = 10 * time.Second
		small    = 150 // jobs a second
		wide     = 15
	)
	for b.Loop() {
		runSynctest(b, func(t *testing.T) {
			x := newCell(t, 0, workers)
			defer x.end()
			x.workers.RunResult = func(sched.RunID) (time.Duration, sched.EndKind) {
				return time.Second, sched.EndDone
			}
			for i := range hosts {
				x.start(i)
			}
			pause.For(x.ctx, 3*time.Second)
			r := rand.New(rand.NewPCG(1, 2))
			var calls sync.WaitGroup
			n := 0
			submit := func(tasks, cores int) {
				n++
				id := jobID(n)
				at := r.IntN(hosts)
				calls.Go(func() {
					x.call(at, http.MethodPost, "/q/"+id, fmt.Sprintf(`{"spec":"s","steps":[{"count":%d,"cpu":%d,"estMs":900}]}`, tasks, cores))
				})
			}
			for begun := time.Now(); time.Since(begun) < duration; {
				for range small / 10 {
					submit(1+r.IntN(4), 2000)
				}
				for range wide / 10 {
					submit(10+r.IntN(80), 1000)
				}
				pause.For(context.Background(), 100*time.Millisecond)
			}
			calls.Wait()
			pause.For(x.ctx, 2*time.Second)
			b.ReportMetric(float64(x.workers.StartCount())/duration.Seconds(), "starts/s")
		})
	}
}

// runSynctest runs f on virtual time within a benchmark.
func runSynctest(b *testing.B, f func(t *testing.T)) {
	b.Helper()
	ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{
		{
			Name: "bubble",
			F:    func(t *testing.T) { synctest.Test(t, f) },
		},
	})
	if !ok {
		b.FailNow()
	}
}
