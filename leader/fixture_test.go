package leader_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/clock"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	lease        = 6 * time.Second
	workersTable = "workers"
)

// A cell is a store, workers, and hosts that lead one after the other.
type cell struct {
	c       *qt.C
	ctx     context.Context
	store   *cellfake.Store
	workers *cellfake.Workers
	// workersOverride is what the leaders call instead of workers; may be nil.
	workersOverride leader.Workers
	ids             []spoolsill.WorkerID
	hosts           sync.WaitGroup
	leaders         []*leader.Leader
	cancels         []context.CancelFunc
	endErrors       sync.Map // error of each ended leadership, by epoch
	// clock is the leaders' clock; nil is the system's.
	clock *clock.Clock
	// observer of the leaders; may be nil.
	observer leader.Observer
	// hostWithoutAdvisor can't reach the advisor.
	hostWithoutAdvisor spoolsill.HostID
	// advisor is what the leaders query instead of a [cellfake.Advisor]; may be nil.
	advisor leader.Advisor
	// onQuery is called for each query to the advisor; may be nil.
	onQuery func(stage sched.StageID)
	// advisorDelay is added to the latency of the advisor.
	advisorDelay time.Duration
	// logs receives the log entries of the leaders; may be nil.
	logs logrus.Hook
}

func newCell(ctx context.Context, t *testing.T, workers int) *cell {
	x := &cell{
		c:     qt.New(t),
		ctx:   ctx,
		store: cellfake.NewStore(),
	}
	for i := range workers {
		x.ids = append(x.ids, spoolsill.WorkerID(fmt.Sprintf("w%d", i)))
	}
	x.workers = cellfake.NewWorkers(lease, x.ids...)
	for _, id := range x.ids {
		x.listWorker(id)
	}
	return x
}

func workerKey(id spoolsill.WorkerID) store.Key {
	return store.Key{
		Table: workersTable,
		Name:  string(id),
	}
}

func (x *cell) listWorker(id spoolsill.WorkerID) {
	x.listWorkerOfSize(id, spoolsill.Resources{
		Processors: 10 * spoolsill.Core,
	})
}

func (x *cell) listWorkerOfSize(id spoolsill.WorkerID, capacity spoolsill.Resources) {
	b, err := json.Marshal(sched.Worker{
		ID:       id,
		Born:     x.workers.CurrentIncarnation(id).StartTime,
		Service:  "work",
		Address:  string(id),
		Capacity: capacity,
	})
	x.c.Assert(err, qt.IsNil)
	x.store.Put(store.Put{
		Key:   workerKey(id),
		Value: b,
	})
}

func decodeWorker(r store.Row) (sched.Worker, error) {
	var w sched.Worker
	err := json.Unmarshal(r.Value, &w)
	return w, err
}

// lead makes a host take over the cell. The former leader is not notified.
func (x *cell) lead(host spoolsill.HostID) *leader.Leader {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if x.logs != nil {
		log.AddHook(x.logs)
	}
	for {
		old, v, err := leader.ReadHead(x.ctx, x.store)
		x.c.Assert(err, qt.IsNil)
		c, err := leader.Acquire(x.ctx, x.store, old, v, leader.Head{
			Host: host,
		})
		if err != nil {
			continue // the former leader has just written the row
		}
		l := leader.New(leader.Config{
			Store:   x.store,
			Chain:   c,
			Workers: cmp.Or[leader.Workers](x.workersOverride, x.workers),
			Groups: &cellfake.Groups{
				Workers: cmp.Or[leader.Workers](x.workersOverride, x.workers),
			},
			Advisor: cmp.Or[leader.Advisor](x.advisor, &cellfake.Advisor{
				HostIDs: []spoolsill.HostID{host, "other"},
				Cut:     x.hostWithoutAdvisor,
				OnQuery: x.onQuery,
				Takes:   x.advisorDelay,
			}),
			WorkersTable: workersTable,
			DecodeWorker: decodeWorker,
			Clock:        x.clock,
			Sched: sched.Config{
				Lease:     lease,
				FarFactor: 1,
				KeepEnded: time.Hour,
			},
			Log:      logrus.NewEntry(log),
			Observer: x.observer,
		})
		l.SetConfig(1, queues(), nil)
		ctx, cancel := context.WithCancel(x.ctx)
		x.leaders = append(x.leaders, l)
		x.cancels = append(x.cancels, cancel)
		x.hosts.Go(func() { x.endErrors.Store(l.Epoch(), l.Lead(ctx, time.Second)) })
		return l
	}
}

// end stops all hosts.
func (x *cell) end() {
	for _, cancel := range x.cancels {
		cancel()
	}
	x.hosts.Wait()
}

func queues() []sched.Queue {
	return []sched.Queue{
		{
			ID:          "plain",
			Service:     "work",
			MaxAttempts: 3,
			Stretch:     3,
			Goal:        time.Second,
		},
		{
			ID:          "advised",
			Service:     "work",
			Priority:    1,
			MaxAttempts: 3,
			Stretch:     3,
			Goal:        time.Second,
			Advisor: &sched.Advisor{
				Base:      5 * time.Millisecond,
				PerWorker: time.Microsecond,
			},
		},
		{
			ID:          "advised-urgent",
			Service:     "work",
			MaxAttempts: 3,
			Stretch:     3,
			Goal:        time.Second,
			Advisor: &sched.Advisor{
				Base:      5 * time.Millisecond,
				PerWorker: time.Microsecond,
			},
		},
	}
}

func step(tasks, cores int) sched.Step {
	return sched.Step{
		Tasks:    tasks,
		Estimate: time.Second,
		Need: spoolsill.Resources{
			Processors: spoolsill.Millicores(cores) * spoolsill.Core,
		},
	}
}

// submit stores jobs in one write, as a host does.
func (x *cell) submit(jobs ...sched.Job) {
	var puts []store.Put
	for _, j := range jobs {
		v, err := jobstore.EncodeJob(j)
		x.c.Assert(err, qt.IsNil)
		puts = append(puts, store.Put{
			Key: store.Key{
				Table:     jobstore.JobsTable,
				Partition: "host",
				Name:      string(j.ID),
			},
			Value: v,
		})
	}
	x.store.Put(puts...)
}

func (x *cell) submitMixed(n int) []spoolsill.JobID {
	var ids []spoolsill.JobID
	for i := range n {
		second := step(2, 2)
		second.After = []int{0}
		gang := step(3, 3)
		gang.Gang = true
		j := sched.Job{
			ID:    spoolsill.JobID(fmt.Sprintf("job%02d", i)),
			Queue: "plain",
			Steps: []sched.Step{step(2, 1), second},
		}
		if i%3 == 1 {
			j.Queue = "advised"
		}
		if i%3 == 2 {
			j.Steps = []sched.Step{gang}
		}
		x.submit(j)
		ids = append(ids, j.ID)
	}
	return ids
}

func (x *cell) assertCompleted(l *leader.Leader, ids []spoolsill.JobID) {
	for _, id := range ids {
		s, ok := l.Status(id)
		x.c.Assert(ok, qt.IsTrue, qt.Commentf("job %s", id))
		x.c.Assert(s.State, qt.Equals, sched.Completed, qt.Commentf("job %s", id))
	}
}
