package leader_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/cellfake"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
)

var restartSeeds = flag.Int("lives.seeds", 40, "number of restart sequences to run, from -lives.first on")

var restartFirst = flag.Int("lives.first", 0, "seed of the first sequence")

const (
	// restartPhase is how long workers crash and restart in a sequence. completionTime is how
	// long the cell then has to end all jobs: enough for the latest order, the longest lease,
	// and the work.
	restartPhase   = 30 * time.Second
	completionTime = 60 * time.Second
)

// A restartModel runs one random sequence of crashes and restarts under the same ids, of lost and
// delayed orders, and of takeovers. The seed determines the sequence.
type restartModel struct {
	*cell

	mu          sync.Mutex
	eventRandom *rand.Rand
	orderRandom *rand.Rand
	faults      float64 // share of orders with a fault
	log         eventLog
}

func newRestartModel(x *cell, seed int) *restartModel {
	m := &restartModel{
		cell:        x,
		eventRandom: rand.New(rand.NewPCG(uint64(seed), 1)),
		orderRandom: rand.New(rand.NewPCG(uint64(seed), 2)),
	}
	x.logs = &m.log
	x.workers.Fault = m.fault
	x.workers.Began = func(l spoolsill.WorkerIncarnation, r sched.RunID, remark string) {
		m.log.add(fmt.Sprint("BEGAN ", l, " ", r.Task, "#", r.Number, " ", remark))
	}
	x.workers.LateBy = time.Duration(2+m.eventRandom.IntN(10)) * time.Second
	x.workers.RunResult = m.work
	return m
}

func (m *restartModel) fault(spoolsill.WorkerID) cellfake.OrderFault {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.orderRandom.Float64() >= m.faults {
		return cellfake.OrderOK
	}
	return cellfake.OrderFault(1 + m.orderRandom.IntN(3))
}

func (m *restartModel) work(sched.RunID) (time.Duration, sched.EndKind) {
	m.mu.Lock()
	defer m.mu.Unlock()
	took := time.Duration(20+m.orderRandom.IntN(3000)) * time.Millisecond
	if m.orderRandom.IntN(25) == 0 {
		return took, sched.EndFailed
	}
	return took, sched.EndDone
}

func (m *restartModel) setFaults(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = share
}

// crash crashes some workers and restarts each after a random time. The new entry of a worker
// may be late, or be written before the new incarnation responds.
func (m *restartModel) crash() {
	for _, id := range m.ids {
		if m.eventRandom.IntN(3) > 0 {
			continue
		}
		m.workers.Crash(id)
		downtime := []time.Duration{0, 50 * time.Millisecond, time.Second, 4 * time.Second}[m.eventRandom.IntN(4)]
		entry := []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond}[m.eventRandom.IntN(3)]
		m.hosts.Go(func() {
			pause.For(m.ctx, downtime)
			restarted := m.workers.Restart(id)
			pause.For(m.ctx, entry)
			if m.workers.CurrentIncarnation(id) == restarted {
				m.listWorker(id)
			}
		})
	}
}

func (m *restartModel) run() {
	end := time.Now().Add(restartPhase)
	for n := 1; time.Now().Before(end); n++ {
		pause.For(m.ctx, time.Duration(100+m.eventRandom.IntN(2000))*time.Millisecond)
		m.setFaults([]float64{0, 0.02, 0.2}[m.eventRandom.IntN(3)])
		switch m.eventRandom.IntN(4) {
		case 0:
			m.cancels[len(m.cancels)-1]()
			m.lead(spoolsill.HostID(fmt.Sprintf("host%d", n)))
		default:
			m.crash()
		}
	}
	m.setFaults(0)
}

// An eventLog keeps what leaders log, to be printed when a sequence fails.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

// Levels implements [logrus.Hook].
func (s *eventLog) Levels() []logrus.Level {
	return logrus.AllLevels
}

// Fire implements [logrus.Hook].
func (s *eventLog) Fire(e *logrus.Entry) error {
	d := e.Data
	s.add(fmt.Sprint(e.Message, " epoch ", d["epoch"], " ", d["worker"], " ", d["task"], "#", d["run"], " ", d["reason"]))
	return nil
}

func (s *eventLog) add(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, time.Now().Format("05.000 ")+line)
}

// linesAbout returns the lines about workers and about the tasks that the violations begin with.
func (s *eventLog) linesAbout(violations []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var matching []string
	for _, l := range s.lines {
		about := strings.Contains(l, string(sched.NoteWorkerChanged))
		for _, t := range violations {
			task, _, _ := strings.Cut(t, " ")
			task, _, _ = strings.Cut(task, "#")
			about = about || strings.Contains(l, " "+task+"#")
		}
		if about {
			matching = append(matching, l)
		}
	}
	return strings.Join(matching, "\n")
}

// submitAtRandomTimes submits n jobs at once and n more at random times of the sequence.
func (m *restartModel) submitAtRandomTimes(n int) []spoolsill.JobID {
	ids := m.submitMixed(n)
	for i := range n {
		id := spoolsill.JobID(fmt.Sprintf("later%02d", i))
		ids = append(ids, id)
		due := time.Duration(m.eventRandom.IntN(int(restartPhase)))
		m.hosts.Go(func() {
			pause.For(m.ctx, due)
			m.submit(sched.Job{
				ID:    id,
				Queue: "plain",
				Steps: []sched.Step{step(3, 2)},
			})
		})
	}
	return ids
}

// runRestartSequences runs the sequences selected by the flags.
func runRestartSequences(t *testing.T, lateAtOnce bool) {
	for seed := *restartFirst; seed < *restartFirst+*restartSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				x := newCell(t.Context(), t, 4)
				defer x.end()
				x.workers.LateAtOnce = lateAtOnce
				m := newRestartModel(x, seed)
				m.lead("host0")
				ids := m.submitAtRandomTimes(20)
				m.run()
				pause.For(x.ctx, completionTime)
				x.c.Check(x.workers.Violations(), qt.HasLen, 0)
				x.assertEnded(ids)
				if t.Failed() {
					t.Log(m.log.linesAbout(x.workers.Violations()))
				}
			})
		})
	}
}

// Workers restart under their ids, and delayed orders for former incarnations reach later ones, but
// only those that have responded to two renewals and so know their own fence. No task may run twice
// or in parallel with itself, and each task must run.
func TestPromisesHoldWhileWorkersStartAgainUnderTheirIDs(t *testing.T) {
	runRestartSequences(t, false)
}

// Like TestPromisesHoldWhileWorkersStartAgainUnderTheirIDs, but delayed orders also reach an
// incarnation before it has received a fence of its own. It carries them out: it has seen no fence
// by which to reject them, by its clock they are not late, and they name its id.
func TestPromisesHoldWhereLateOrdersReachAWorkerFirst(t *testing.T) {
	runRestartSequences(t, true)
}

// assertEnded asserts that the latest leader has each job as completed or failed: some tasks
// fail.
func (x *cell) assertEnded(ids []spoolsill.JobID) {
	l := x.leaders[len(x.leaders)-1]
	for _, id := range ids {
		s, ok := l.Status(id)
		x.c.Check(ok, qt.IsTrue, qt.Commentf("job %s", id))
		x.c.Check(s.State.Final(), qt.IsTrue, qt.Commentf("job %s is %s", id, s.State))
	}
}
