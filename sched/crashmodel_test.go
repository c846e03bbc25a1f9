package sched_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A crashModel simulates a task that crashes its workers, among workers lost for other
// reasons, partitions, late orders and changes of the leader, and counts the task's
// starts as the platform does.
type crashModel struct {
	x            *cell
	row          []byte
	nextMachine  int
	workers      []spoolsill.WorkerID
	run          *sched.StartOrder // the run that the task actually has
	unresponsive map[spoolsill.WorkerID]bool
	crashes      int
	startsAfter  int // starts of the task after three crashes
}

func (m *crashModel) addWorker() {
	m.workers = append(m.workers, m.x.listIncarnation(m.nextMachine, 0))
	m.nextMachine++
}

// round has the workers answer, makes and writes decisions, and has the orders carried
// out.
func (m *crashModel) round(t *rapid.T) {
	for _, w := range m.workers {
		if m.unresponsive[w] {
			continue
		}
		if m.run != nil && m.run.Worker == w {
			m.x.renewLease(w, m.run.Run)
			continue
		}
		m.x.renewLease(w)
	}
	m.x.state.Decide(m.x.now)
	b, _, err := m.x.state.Batch(m.x.now)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range b.Rows {
		m.row = r.Value
	}
	for _, o := range m.x.state.BatchWritten(m.x.now, b) {
		m.begin(t, o)
	}
}

func (m *crashModel) begin(t *rapid.T, o sched.StartOrder) {
	answer := rapid.SampledFrom([]sched.StartOutcome{sched.StartAccepted, sched.StartUnknown}).Draw(t, "answer")
	if m.crashes >= 3 {
		m.startsAfter++
	}
	if m.startsAfter >= 3 {
		t.Fatalf("%s#%d is the third start after %d crashes", o.Run.Task, o.Run.Number, m.crashes)
	}
	m.run = &o
	m.x.answerStart(o, answer)
}

// crash ends the worker that runs the task. The leader learns of it in one of several
// ways, or not yet.
func (m *crashModel) crash(t *rapid.T) {
	if m.run == nil {
		return
	}
	w := m.run.Worker
	m.run = nil
	m.crashes++
	m.workers = remove(m.workers, w)
	m.x.now = m.x.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "back_ms")) * time.Millisecond)
	if rapid.Bool().Draw(t, "unlisted") {
		m.x.state.WorkerUnlisted(m.x.now, w)
	}
	if rapid.Bool().Draw(t, "heard") {
		m.x.state.WorkerDied(m.x.now, incarnationOf(w))
	}
	m.addWorker()
}

func remove(ws []spoolsill.WorkerID, w spoolsill.WorkerID) []spoolsill.WorkerID {
	var kept []spoolsill.WorkerID
	for _, o := range ws {
		if o != w {
			kept = append(kept, o)
		}
	}
	return kept
}

// takeOver replaces the leader by one that starts from the stored row.
func (m *crashModel) takeOver(t *rapid.T) {
	m.x.state = m.x.newState()
	p := sched.Progress{}
	if m.row != nil {
		var err error
		p, err = sched.DecodeProgress(m.row)
		if err != nil {
			t.Fatal(err)
		}
	}
	m.x.state.AddJob(m.x.now, job("j", "q", tasks(1, 1)), p)
	for _, w := range m.workers {
		m.x.listWorker(w, false)
	}
}

// Checks for any sequence of crashes, partitions, lost answers and changes of the leader
// that a task is never started a third time after three workers have crashed with it.
func TestAtMostTwoStartsAfterThreeCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &crashModel{
			x:            newCell(t),
			unresponsive: map[spoolsill.WorkerID]bool{},
		}
		m.x.state.AddJob(m.x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
		for range 3 {
			m.addWorker()
		}
		for range rapid.IntRange(20, 60).Draw(rt, "moves") {
			switch rapid.IntRange(0, 5).Draw(rt, "move") {
			case 0, 1, 2:
				m.crash(rt)
			case 3:
				w := rapid.SampledFrom(m.workers).Draw(rt, "worker")
				m.unresponsive[w] = !m.unresponsive[w]
			case 4:
				m.takeOver(rt)
			case 5:
				m.x.now = m.x.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "pass_ms")) * time.Millisecond)
			}
			m.x.now = m.x.now.Add(20 * time.Millisecond)
			m.round(rt)
		}
	})
}
