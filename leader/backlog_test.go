package leader_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

// A workload is one kind of jobs of a cell.
type workload struct {
	queue   sched.Queue
	step    sched.Step
	allowed uint32 // percentage of the workers that the advisor allows for a stage
	// perThousand is the share of this kind among all jobs.
	perThousand int
}

// shiftedWorkloads returns gangs, batches and small urgent jobs in the proportions of the
// shifted site, by the first letter of their job ids.
func shiftedWorkloads() map[byte]workload {
	stepOf := func(tasks int, need spoolsill.Millicores, d time.Duration, gang bool) sched.Step {
		return sched.Step{
			Tasks:    tasks,
			Estimate: d,
			Gang:     gang,
			Need: spoolsill.Resources{
				Processors: need,
			},
		}
	}
	queue := func(id sched.QueueID, priority int, stretch float64, goal, base, perWorker time.Duration) sched.Queue {
		return sched.Queue{
			ID:          id,
			Service:     "work",
			Priority:    priority,
			MaxAttempts: 4,
			Stretch:     stretch,
			Goal:        goal,
			Advisor: &sched.Advisor{
				Base:      base,
				PerWorker: perWorker,
			},
		}
	}
	return map[byte]workload{
		'g': {
			queue:       queue("gangs", 1, 2.2, time.Second, 455*time.Millisecond, 6500*time.Microsecond),
			step:        stepOf(20, 4500, 4*time.Second, true),
			allowed:     25,
			perThousand: 38,
		},
		'b': {
			queue:       queue("batches", 2, 4, 3*time.Second, 156*time.Millisecond, 2340*time.Microsecond),
			step:        stepOf(25, 1700, 3400*time.Millisecond, false),
			allowed:     45,
			perThousand: 87,
		},
		's': {
			queue:       queue("small", 0, 1.5, 250*time.Millisecond, 9360*time.Microsecond, 130*time.Microsecond),
			step:        stepOf(3, 2500, 640*time.Millisecond, false),
			allowed:     70,
			perThousand: 875,
		},
	}
}

const (
	// finishTime is how long after the end of the traffic the jobs are expected to be
	// done; longestIdle is how long, within watchTime after that, a job may have nothing
	// running while less than half of the capacity is in use.
	finishTime  = 14 * time.Second
	longestIdle = 3 * time.Second
	watchTime   = 10 * time.Second
)

// Guards against a backlog of accepted jobs that waits for advice after a loss of power,
// although there is capacity. Links have no limit here, and there are no teams.
func TestBacklogIsWorkedOffAfterTakeover(t *testing.T) {
	const (
		workers  = 161
		capacity = 16 * spoolsill.Core
		hosts    = 10
		backlog  = 1400
		rate     = 30 // new jobs a second
		duration = 15 * time.Second
		transit  = 250 * time.Millisecond
		tick     = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		x := newCell(t.Context(), t, workers)
		defer x.end()
		for _, id := range x.ids {
			x.listWorkerOfSize(id, spoolsill.Resources{
				Processors: capacity,
			})
		}
		kinds := shiftedWorkloads()
		a := &cellfake.SerialAdvisor{
			Transit: transit,
			WorkOf: func(s sched.StageID) cellfake.AdvisedWork {
				k := kinds[s.Job[0]]
				return cellfake.AdvisedWork{
					Advisor: *k.queue.Advisor,
					Allowed: k.allowed,
				}
			},
		}
		for i := range hosts {
			a.HostIDs = append(a.HostIDs, spoolsill.HostID(fmt.Sprintf("host%d", i)))
		}
		x.advisor = a
		x.workers.RunResult = func(r sched.RunID) (time.Duration, sched.EndKind) {
			return kinds[r.Task.Stage.Job[0]].step.Estimate, sched.EndDone
		}
		var ids []spoolsill.JobID
		submit := func(n int, received func(i int) time.Time) {
			for i := range n {
				kind := byte('s')
				switch p := len(ids) * 617 % 1000; { // 617 mixes the kinds evenly
				case p < kinds['g'].perThousand:
					kind = 'g'
				case p < kinds['g'].perThousand+kinds['b'].perThousand:
					kind = 'b'
				}
				id := spoolsill.JobID(fmt.Sprintf("%c%05d", kind, len(ids)))
				ids = append(ids, id)
				x.submit(sched.Job{
					ID:       id,
					Queue:    kinds[kind].queue.ID,
					Received: received(i),
					Steps:    []sched.Step{kinds[kind].step},
				})
			}
		}
		submit(backlog, func(i int) time.Time { return time.Now().Add(-time.Duration(i) * 8 * time.Second / backlog) })
		pause.For(x.ctx, 5*time.Second) // without power
		l := x.lead("host0")
		var queues []sched.Queue
		for _, k := range kinds {
			queues = append(queues, k.queue)
		}
		l.SetConfig(2, queues, nil)
		pause.For(x.ctx, 2*time.Second)
		for range duration / tick {
			submit(rate/10, func(int) time.Time { return time.Now() })
			pause.For(x.ctx, tick)
		}
		pause.For(x.ctx, finishTime)
		idle := map[spoolsill.JobID]time.Duration{}
		lost := map[string]int{} // job ids begin with the kind
		for range watchTime / tick {
			pause.For(x.ctx, tick)
			running := map[spoolsill.JobID]bool{}
			var used spoolsill.Millicores
			x.workers.RunningCountOf(func(id spoolsill.JobID) bool {
				running[id] = true
				used += kinds[id[0]].step.Need.Processors
				return true
			})
			for _, id := range ids {
				s, _ := l.Status(id)
				if s.State != sched.Pending || running[id] || used >= workers*capacity/2 {
					delete(idle, id)
					continue
				}
				idle[id] += tick
				if idle[id] == longestIdle {
					lost[string(id[:1])]++
				}
			}
		}
		x.c.Check(lost, qt.HasLen, 0, qt.Commentf("of %d jobs", len(ids)))
		x.c.Check(x.workers.Violations(), qt.HasLen, 0)
	})
}
