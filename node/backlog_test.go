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
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin/wire"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// A workload is one kind of jobs of a cell.
type workload struct {
	route    wire.Route
	tasks    int
	need     spoolsill.Millicores
	duration time.Duration
	gang     bool
	allowed  uint32 // percentage of the workers that the advisor allows for a stage
	// perThousand is the share of this kind among all jobs.
	perThousand int
}

// shiftedWorkloads are gangs, batches and small urgent jobs in the proportions of the
// shifted site. The first digit of a job's id is its index.
var shiftedWorkloads = []workload{
	{
		route: wire.Route{
			Queue:    "gangs",
			Prefix:   "/gangs/",
			Priority: 1,
			Advised:  true,
			Stretch:  2.2,
			Goal:     time.Second,
			Advisor: sched.Advisor{
				Base:      455 * time.Millisecond,
				PerWorker: 6500 * time.Microsecond,
			},
		},
		tasks:       20,
		need:        4500,
		duration:    4 * time.Second,
		gang:        true,
		allowed:     25,
		perThousand: 38,
	},
	{
		route: wire.Route{
			Queue:    "batches",
			Prefix:   "/batches/",
			Priority: 2,
			Advised:  true,
			Stretch:  4,
			Goal:     3 * time.Second,
			Advisor: sched.Advisor{
				Base:      156 * time.Millisecond,
				PerWorker: 2340 * time.Microsecond,
			},
		},
		tasks:       25,
		need:        1700,
		duration:    3400 * time.Millisecond,
		allowed:     45,
		perThousand: 87,
	},
	{
		route: wire.Route{
			Queue:   "small",
			Prefix:  "/small/",
			Advised: true,
			Stretch: 1.5,
			Goal:    250 * time.Millisecond,
			Advisor: sched.Advisor{
				Base:      9360 * time.Microsecond,
				PerWorker: 130 * time.Microsecond,
			},
		},
		tasks:       3,
		need:        2500,
		duration:    640 * time.Millisecond,
		allowed:     70,
		perThousand: 875,
	},
}

// workloadIndex returns the workload of the i-th job; 617 mixes the kinds evenly.
func workloadIndex(i int) int {
	switch p := i * 617 % 1000; {
	case p < shiftedWorkloads[0].perThousand:
		return 0
	case p < shiftedWorkloads[0].perThousand+shiftedWorkloads[1].perThousand:
		return 1
	default:
		return 2
	}
}

func workloadOf(id spoolsill.JobID) workload {
	return shiftedWorkloads[id[0]-'0']
}

// workloadJob returns the i-th job of the workloads.
func workloadJob(i int) sched.Job {
	k := workloadIndex(i)
	w := shiftedWorkloads[k]
	return sched.Job{
		ID:       spoolsill.JobID(fmt.Sprintf("%d%015x", k, i)),
		Queue:    w.route.Queue,
		Spec:     strings.Repeat("x", 200),
		Received: time.Now(),
		Steps: []sched.Step{{
			Tasks: w.tasks,
			Need: spoolsill.Resources{
				Processors: w.need,
			},
			Estimate: w.duration,
			Gang:     w.gang,
		}},
	}
}

const pending = `{"state":"pending"}`

const (
	// finishTime is how long after the end of the traffic the jobs are expected to be
	// done; longestIdle is how long, within watchTime after that, a job may have nothing
	// running while less than half of the capacity is in use.
	finishTime  = 14 * time.Second
	longestIdle = 3 * time.Second
	watchTime   = 10 * time.Second
)

// Guards against a backlog of accepted jobs that waits for advice after a power loss,
// although there is capacity. The advisor's answers are under way for some time.
func TestBacklogIsWorkedOffAfterPowerLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	const (
		hosts    = 10
		workers  = 161
		capacity = 16 * spoolsill.Core
		backlog  = 1400
		rate     = 30 // new jobs a second
		duration = 15 * time.Second
		tick     = 100 * time.Millisecond
	)
	run(t, hosts, 0, func(x *cell) {
		x.capacity = spoolsill.Resources{
			Processors: capacity,
			Memory:     32_000 * spoolsill.MiB,
		}
		for i := range workers {
			x.addWorker(i)
		}
		var routes []wire.Route
		for _, w := range shiftedWorkloads {
			routes = append(routes, w.route)
		}
		x.c.Assert(wire.PutConfig(x.store, 2, routes), qt.IsNil)
		x.advisorOf = func(host int) string { return fmt.Sprintf("10.9.1.%d:80", host+1) }
		for i := range hosts {
			x.serve(platformNode, x.advisorOf(i), wire.AdvisorHandler(&cellfake.SerialAdvisor{
				Transit: 200 * time.Millisecond,
				WorkOf: func(s sched.StageID) cellfake.AdvisedWork {
					w := workloadOf(s.Job)
					return cellfake.AdvisedWork{
						Advisor: w.route.Advisor,
						Allowed: w.allowed,
					}
				},
			}))
		}
		x.workers.RunResult = func(r sched.RunID) (time.Duration, sched.EndKind) {
			return workloadOf(r.Task.Stage.Job).duration, sched.EndDone
		}
		var mu sync.Mutex
		accepted := map[spoolsill.JobID]bool{}
		for i := range backlog {
			j := workloadJob(i)
			row, err := jobstore.JobRow(hostName(i%hosts), j)
			x.c.Assert(err, qt.IsNil)
			x.store.Put(store.Put{
				Key:   row.Key,
				Value: row.Value,
			})
			accepted[j.ID] = true
		}
		x.restartAll(hosts, tinyLink)
		pause.For(x.ctx, 6*time.Second)
		var submissions sync.WaitGroup
		for i := range int(rate * duration / time.Second) {
			j := workloadJob(backlog + i)
			w := workloadOf(j.ID)
			b := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":%d,"estMs":%d,"gang":%v}]}`,
				j.Spec, w.tasks, w.need, w.duration.Milliseconds(), w.gang)
			submissions.Go(func() {
				if x.call(i%hosts, http.MethodPost, w.route.Prefix+string(j.ID), b).status != http.StatusOK {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				accepted[j.ID] = true
			})
			pause.For(x.ctx, time.Second/rate)
		}
		submissions.Wait()
		pause.For(x.ctx, finishTime)
		idle := map[spoolsill.JobID]time.Duration{}
		lost := map[sched.QueueID]int{}
		for range watchTime / tick {
			pause.For(x.ctx, tick)
			running := map[spoolsill.JobID]bool{}
			var used spoolsill.Millicores
			x.workers.RunningCountOf(func(id spoolsill.JobID) bool {
				running[id] = true
				used += workloadOf(id).need
				return true
			})
			for id := range accepted {
				if running[id] || used >= workers*capacity/2 {
					delete(idle, id)
					continue
				}
				idle[id] += tick
				if idle[id] != longestIdle {
					continue
				}
				w := workloadOf(id)
				if x.call(x.leader(), http.MethodGet, w.route.Prefix+string(id), "").body == pending {
					lost[w.route.Queue]++
				}
			}
		}
		x.c.Check(lost, qt.HasLen, 0, qt.Commentf("of %d jobs", len(accepted)))
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}
