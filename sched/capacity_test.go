package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// listWith lists a worker with n cores.
func (x *cell) listWith(id spoolsill.WorkerID, n int) {
	x.state.WorkerListed(x.now, sched.Worker{
		ID:       id,
		Service:  "work",
		Address:  string(id),
		Capacity: cores(n),
	})
}

// A worker's capacity is reduced while orders to it are being written: only those that
// fit are sent, and the other tasks are placed again.
func TestOrdersOverReducedCapacityAreNotSent(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(3, 3)), sched.Progress{})
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 3)
	x.listWith("w", 6)
	out := x.state.BatchWritten(x.now, b)
	x.c.Assert(out, qt.HasLen, 2)
	x.acceptStarts(out)
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.addWorker("v")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

// A worker whose capacity was reduced gets nothing new until its runs, including those
// being stopped, fit again. Added capacity is used at the next decision.
func TestCapacityFollowsWorkerEntry(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(2, 4)), sched.Progress{})
	o := x.step()
	x.c.Assert(o, qt.HasLen, 2)
	x.acceptStarts(o)
	x.listWith("w", 5)
	x.state.AddJob(x.now, job("k", "q", tasks(2, 1)), sched.Progress{})
	x.now = x.now.Add(50 * time.Millisecond)
	x.renewLease("w", o[0].Run, o[1].Run)
	x.state.Decide(x.now)
	b, ok, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(ok && len(b.Starts) > 0, qt.IsFalse)
	x.state.CancelJob(x.now, "j")
	x.c.Assert(x.state.Stops(), qt.HasLen, 2)
	x.renewLease("w", o[0].Run, o[1].Run)
	x.state.Decide(x.now)
	x.endRun(o[0], sched.EndStopped)
	x.c.Assert(x.step(), qt.HasLen, 1) // four of five cores are taken by what is being stopped
	x.endRun(o[1], sched.EndStopped)
	x.c.Assert(x.step(), qt.HasLen, 1)
	x.state.AddJob(x.now, job("l", "q", tasks(8, 1)), sched.Progress{})
	x.c.Assert(x.step(), qt.HasLen, 3)
	x.listWith("w", 10)
	x.c.Assert(x.step(), qt.HasLen, 5)
}

// When the workers' entries are out of date, nothing is decided and recorded orders are
// not sent until they are current again.
func TestNothingStartsOnStaleEntries(t *testing.T) {
	x := newCell(t)
	x.state = sched.New(sched.Config{
		Lease:      lease,
		EntriesAge: 4 * time.Second,
	})
	x.state.SetQueues([]sched.Queue{
		{
			ID:      "q",
			Service: "work",
		},
	})
	x.state.AddJob(x.now, job("j", "q", tasks(2, 1)), sched.Progress{})
	x.addWorker("w")
	x.c.Assert(x.step(), qt.HasLen, 0)
	x.state.EntriesSynced(x.now, x.now)
	x.state.Decide(x.now)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 2)
	x.now = x.now.Add(5 * time.Second)
	x.renewLease("w")
	x.c.Assert(x.state.BatchWritten(x.now, b), qt.HasLen, 0)
	x.state.Decide(x.now)
	b, _, err = x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 0)
	x.state.EntriesSynced(x.now, x.now)
	x.c.Assert(x.step(), qt.HasLen, 2)
}

// Capacity that is held for a task while its ticket is renewed is lost in the meantime: the
// start is not recorded.
func TestCapacityLostDuringTicketRenewal(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 8)), sched.Progress{})
	x.step()
	x.advise(x.query(), "w")
	x.now = x.now.Add(1400 * time.Millisecond)
	x.renewLease("w")
	x.c.Assert(x.step(), qt.HasLen, 0)
	q := x.query()
	x.c.Assert(q.Purpose, qt.Equals, sched.PurposeRenew)
	x.listWith("w", 6)
	x.advise(q, "w")
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Starts, qt.HasLen, 0)
	x.addWorker("w")
	x.c.Assert(x.step(), qt.HasLen, 1)
}

// A capacityModel simulates workers whose capacity changes and who do not check it: they
// start what they are told to, and the model compares their runs with their capacity.
type capacityModel struct {
	x        *cell
	capacity map[spoolsill.WorkerID]int
	runs     map[spoolsill.WorkerID]map[sched.RunID]int
	pending  []pendingStart // carried out later or never, without an answer
	need     map[spoolsill.JobID]int
}

// A pendingStart is an order that is carried out before until, or not at all.
type pendingStart struct {
	sched.StartOrder
	until time.Time
}

func (m *capacityModel) used(w spoolsill.WorkerID) int {
	n := 0
	for _, c := range m.runs[w] {
		n += c
	}
	return n
}

func (m *capacityModel) begin(t *rapid.T, o sched.StartOrder) {
	c := m.need[o.Run.Task.Stage.Job]
	m.runs[o.Worker][o.Run] = c
	if n := m.used(o.Worker); n > m.capacity[o.Worker] {
		t.Fatalf("%s#%d brings %s to %d cores of %d", o.Run.Task, o.Run.Number, o.Worker, n, m.capacity[o.Worker])
	}
}

// round has the workers answer, makes and writes decisions, and has the orders carried
// out. It calls recording while the decisions are being written.
func (m *capacityModel) round(t *rapid.T, recording func()) {
	for w, runs := range m.runs {
		var ids []sched.RunID
		for r := range runs {
			ids = append(ids, r)
		}
		m.x.renewLease(w, ids...)
	}
	m.x.state.Decide(m.x.now)
	b, _, err := m.x.state.Batch(m.x.now)
	if err != nil {
		t.Fatal(err)
	}
	recording()
	for _, o := range m.x.state.BatchWritten(m.x.now, b) {
		if rapid.IntRange(0, 4).Draw(t, "late") == 0 {
			m.x.answerStart(o, sched.StartUnknown)
			m.pending = append(m.pending, pendingStart{
				StartOrder: o,
				until:      m.x.now.Add(time.Second),
			})
			continue
		}
		m.begin(t, o)
		m.x.answerStart(o, sched.StartAccepted)
	}
}

// Checks for any sequence of capacity changes, late or unanswered orders and ends of
// runs that no order that is sent brings a worker over the capacity of its entry.
func TestNoStartBringsAWorkerOverItsCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &capacityModel{
			x:        newCell(t),
			capacity: map[spoolsill.WorkerID]int{},
			runs:     map[spoolsill.WorkerID]map[sched.RunID]int{},
			need:     map[spoolsill.JobID]int{},
		}
		ids := []spoolsill.WorkerID{"a", "b", "c"}
		for _, w := range ids {
			m.capacity[w] = 10
			m.runs[w] = map[sched.RunID]int{}
			m.x.listWith(w, 10)
		}
		changeCapacity := func() {
			w := rapid.SampledFrom(ids).Draw(rt, "worker")
			m.capacity[w] = rapid.IntRange(0, 12).Draw(rt, "cores")
			m.x.listWith(w, m.capacity[w])
		}
		for i := range rapid.IntRange(10, 60).Draw(rt, "moves") {
			switch rapid.IntRange(0, 4).Draw(rt, "move") {
			case 0:
				changeCapacity()
			case 1:
				m.submit(rt, i)
			case 2:
				m.endOne(rt)
			case 3:
				id := spoolsill.JobID(fmt.Sprint("j", rapid.IntRange(0, i).Draw(rt, "job")))
				m.x.state.CancelJob(m.x.now, id)
			case 4:
				m.carryOutLate(rt)
			}
			m.x.now = m.x.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
			m.round(rt, func() {
				if rapid.Bool().Draw(rt, "capacity changes while the decisions are written") {
					changeCapacity()
				}
			})
		}
	})
}

func (m *capacityModel) submit(t *rapid.T, i int) {
	id := spoolsill.JobID(fmt.Sprint("j", i))
	c := rapid.IntRange(1, 6).Draw(t, "need")
	m.need[id] = c
	p := tasks(rapid.IntRange(1, 4).Draw(t, "tasks"), c)
	p.Gang = rapid.Bool().Draw(t, "gang")
	m.x.state.AddJob(m.x.now, job(id, "q", p), sched.Progress{})
}

// endOne has a worker report the end of a run.
func (m *capacityModel) endOne(t *rapid.T) {
	for _, w := range slices.Sorted(maps.Keys(m.runs)) {
		runs := slices.SortedFunc(maps.Keys(m.runs[w]), func(a, b sched.RunID) int {
			return strings.Compare(a.Task.String(), b.Task.String())
		})
		for _, r := range runs {
			delete(m.runs[w], r)
			kind := rapid.SampledFrom([]sched.EndKind{sched.EndDone, sched.EndStopped, sched.EndFailed}).Draw(t, "kind")
			m.x.endRun(sched.StartOrder{
				WorkerIncarnation: incarnationOf(w),
				Run:               r,
			}, kind)
			return
		}
	}
}

// carryOutLate has unanswered orders carried out. They are not checked against the
// capacity, but they use it.
func (m *capacityModel) carryOutLate(t *rapid.T) {
	for _, o := range m.pending {
		if m.x.now.Before(o.until) && !rapid.Bool().Draw(t, "dropped") {
			m.runs[o.Worker][o.Run] = m.need[o.Run.Task.Stage.Job]
		}
	}
	m.pending = nil
}
