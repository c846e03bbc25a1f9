package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	lease             = 6 * time.Second
	configPropagation = 3 * time.Second
	entryInterval     = 1500 * time.Millisecond
)

// A cell is a State under test with its own clock and simulated workers.
type cell struct {
	c       *qt.C
	now     time.Time
	state   *sched.State
	started []sched.StartOrder
	// ends has the latest end sequence number of each worker.
	ends map[spoolsill.WorkerID]uint64
	// entryVersion is the version of the latest entry that a worker wrote.
	entryVersion sched.EntryVersion
}

func newCell(t *testing.T) *cell {
	x := &cell{
		c:    qt.New(t),
		now:  time.Unix(1000, 0),
		ends: map[spoolsill.WorkerID]uint64{},
	}
	x.state = x.newState()
	return x
}

func (x *cell) newState() *sched.State {
	s := sched.New(sched.Config{
		Lease:          lease,
		StartLease:     3 * time.Second,
		TakenOver:      x.now,
		InheritedLease: 2 * lease,
		StopTime:       200 * time.Millisecond,
		DrainTime:      2 * time.Second,
		FarFactor:      2,
		ConfigInForce:  configPropagation,
		EntryInterval:  entryInterval,
	})
	s.SetQueues([]sched.Queue{
		{
			ID:          "q",
			Service:     "work",
			Priority:    1,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
		},
		{
			ID:          "advised",
			Service:     "work",
			Priority:    1,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
			Advisor: &sched.Advisor{
				Base:      50 * time.Millisecond,
				PerWorker: time.Millisecond,
			},
		},
		{
			ID:          "advised-urgent",
			Service:     "work",
			Priority:    0,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
			Advisor: &sched.Advisor{
				Base:      5 * time.Millisecond,
				PerWorker: time.Millisecond,
			},
		},
	})
	return s
}

// addWorker lists a worker with ten cores that answers and renews its lease.
func (x *cell) addWorker(id spoolsill.WorkerID) {
	x.listWorker(id, false)
	x.renewLease(id)
}

// listWorker has a worker write its entry.
func (x *cell) listWorker(id spoolsill.WorkerID, draining bool) {
	x.entryVersion++
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       id,
		Service:  "work",
		Address:  string(id),
		Capacity: cores(10),
		Draining: draining,
		Version:  x.entryVersion,
	})
}

// addWorkerInRack is addWorker with a rack.
func (x *cell) addWorkerInRack(id spoolsill.WorkerID, rack spoolsill.RackID) {
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       id,
		Service:  "work",
		Rack:     rack,
		Address:  string(id),
		Capacity: cores(10),
	})
	x.renewLease(id)
}

// renewLease renews a worker's lease; the worker answers with its running tasks.
func (x *cell) renewLease(id spoolsill.WorkerID, running ...sched.RunID) {
	x.state.LeaseRequested(incarnationOf(id), sched.LeaseEnd(x.now, lease))
	x.heartbeat(id, running...)
}

// heartbeat has a worker answer without a lease renewal.
func (x *cell) heartbeat(id spoolsill.WorkerID, running ...sched.RunID) {
	h := sched.Heartbeat{
		WorkerIncarnation: incarnationOf(id),
		Sent:              x.now,
		Clock:             sched.ClockMillis(x.now.UnixMilli()),
	}
	for _, r := range running {
		h.Running = append(h.Running, sched.RunningTask{
			Run: r,
		})
	}
	x.state.Heartbeat(x.now, h)
}

// endRun has a worker report the end of a run.
func (x *cell) endRun(o sched.StartOrder, k sched.EndKind) {
	x.ends[o.Worker]++
	x.state.Heartbeat(x.now, sched.Heartbeat{
		WorkerIncarnation: incarnationOf(o.Worker),
		Sent:              x.now,
		Ended: []sched.End{
			{
				Sequence: x.ends[o.Worker],
				Run:      o.Run,
				Kind:     k,
			},
		},
		Partial: true,
	})
}

// step makes one pass, writes the batch and returns the start orders that were sent.
func (x *cell) step() []sched.StartOrder {
	x.now = x.now.Add(10 * time.Millisecond)
	x.state.Decide(x.now)
	x.c.Assert(x.state.CheckCapacity(), qt.IsNil)
	b, ok, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	if !ok {
		return nil
	}
	out := x.state.BatchWritten(x.now, b)
	x.started = append(x.started, out...)
	return out
}

// acceptStarts has the workers accept start orders.
func (x *cell) acceptStarts(orders []sched.StartOrder) {
	for _, o := range orders {
		x.answerStart(o, sched.StartAccepted)
	}
}

func (x *cell) answerStart(o sched.StartOrder, k sched.StartOutcome) {
	x.state.StartAnswered(x.now, sched.StartAnswer{
		WorkerIncarnation: o.WorkerIncarnation,
		Run:               o.Run,
		Outcome:           k,
		Doubt:             k == sched.StartUnknown,
		Deadline:          sched.ClockMillis(x.now.Add(time.Second).UnixMilli()),
	})
}

// advance moves the clock on while the given workers keep renewing their leases.
func (x *cell) advance(d time.Duration, answering map[spoolsill.WorkerID][]sched.RunID) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(500 * time.Millisecond)
		for id, runs := range answering {
			x.renewLease(id, runs...)
		}
		x.state.Decide(x.now)
	}
}

// jobState returns the state of the job "j".
func (x *cell) jobState() sched.JobState {
	s, ok := x.state.Job("j")
	x.c.Assert(ok, qt.IsTrue)
	return s.State
}

func cores(n int) spoolsill.Resources {
	return spoolsill.Resources{
		Processors: spoolsill.Millicores(n) * spoolsill.Core,
		Memory:     spoolsill.Bytes(n) * spoolsill.GiB,
	}
}

func job(id spoolsill.JobID, q sched.QueueID, steps ...sched.Step) sched.Job {
	return sched.Job{
		ID:    id,
		Queue: q,
		Steps: steps,
	}
}

func tasks(n, c int) sched.Step {
	return sched.Step{
		Tasks:    n,
		Need:     cores(c),
		Estimate: time.Second,
	}
}

func gang(n, c int) sched.Step {
	s := tasks(n, c)
	s.Gang = true
	return s
}

func taskNames(orders []sched.StartOrder) []string {
	var names []string
	for _, o := range orders {
		names = append(names, fmt.Sprintf("%s#%d", o.Run.Task, o.Run.Number))
	}
	return names
}

// incarnationOf returns the incarnation of a worker whose platform reports no start times.
func incarnationOf(id spoolsill.WorkerID) spoolsill.WorkerIncarnation {
	return spoolsill.WorkerIncarnation{
		Worker: id,
	}
}
