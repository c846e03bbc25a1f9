package leader_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// crashDelay is the time from the start of a task to the crash of its worker, as
	// recorded in a deployment; machineRestartDelay is the time from the crash until the
	// machine is back as another worker.
	crashDelay          = 10 * time.Millisecond
	machineRestartDelay = 3300 * time.Millisecond
)

// A machineCell is a cell whose machines restart when their workers crash.
type machineCell struct {
	*cell

	mu           sync.Mutex
	incarnations map[string]int
}

// newMachineCell returns a cell in which each crashed machine restarts as another worker at the
// same address.
func newMachineCell(x *cell) *machineCell {
	m := &machineCell{
		cell:         x,
		incarnations: map[string]int{},
	}
	for i, id := range x.ids {
		m.listIncarnation(id, fmt.Sprintf("m%d", i))
	}
	x.workers.OnCrash = m.scheduleRestart
	return m
}

// machineOf returns the machine of a worker, by its id.
func (m *machineCell) machineOf(id spoolsill.WorkerID) string {
	var i, incarnation int
	if _, err := fmt.Sscanf(string(id), "w%d/%d", &i, &incarnation); err == nil {
		return fmt.Sprintf("m%d", i)
	}
	_, err := fmt.Sscanf(string(id), "w%d", &i)
	m.c.Assert(err, qt.IsNil)
	return fmt.Sprintf("m%d", i)
}

func (m *machineCell) listIncarnation(id spoolsill.WorkerID, machine string) {
	b, err := json.Marshal(sched.Worker{
		ID:      id,
		Born:    m.workers.CurrentIncarnation(id).StartTime,
		Machine: machine,
		Service: "work",
		Address: string(id),
		Capacity: spoolsill.Resources{
			Processors: 10 * spoolsill.Core,
		},
	})
	m.c.Assert(err, qt.IsNil)
	m.store.Put(store.Put{
		Key:   workerKey(id),
		Value: b,
	})
}

func (m *machineCell) scheduleRestart(id spoolsill.WorkerID, _ []sched.RunID) {
	time.AfterFunc(machineRestartDelay, func() {
		machine := m.machineOf(id)
		m.mu.Lock()
		m.incarnations[machine]++
		next := spoolsill.WorkerID(fmt.Sprintf("w%s/%d", machine[1:], m.incarnations[machine]))
		m.mu.Unlock()
		m.workers.Replace(id, next)
		m.store.Delete(workerKey(id))
		m.listIncarnation(next, machine)
	})
}

// restartUnderSameIDs makes workers that crash restart under the same id after a delay.
func (m *machineCell) restartUnderSameIDs(delay time.Duration) {
	m.workers.OnCrash = func(id spoolsill.WorkerID, _ []sched.RunID) {
		time.AfterFunc(delay, func() {
			m.workers.Restart(id)
			m.listIncarnation(id, m.machineOf(id))
		})
	}
}

var crashingTask = sched.TaskID{
	Stage: sched.StageID{
		Job: "crashing",
	},
}

func (m *machineCell) submitCrashing() {
	m.workers.CrashAfter = func(r sched.RunID) (time.Duration, bool) {
		return crashDelay, r.Task == crashingTask
	}
	m.submit(sched.Job{
		ID:    crashingTask.Stage.Job,
		Queue: "plain",
		Steps: []sched.Step{step(1, 1)},
	})
}

// Guards against a task that crashes worker after worker, together with the other runs there.
// Only ends that a worker reported counted as attempts, and a run that was lost with its worker
// was retried without limit, some thirty times in two minutes. The log of one such retry, 3.4 s
// after the previous start:
//
//	28.7725 run is gone, its address answers for another life, run 6
//	28.7826 task placed, has room, run 7
//	28.8238 task started, taken, run 7
//
// Two such tasks were started a third time after three workers had crashed with them.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachineCell(newCell(t.Context(), t, 8))
		defer m.end()
		l := m.lead("a")
		m.submitCrashing()
		var ids []spoolsill.JobID
		for i := range 24 {
			id := spoolsill.JobID(fmt.Sprintf("job%02d", i))
			ids = append(ids, id)
			m.submit(sched.Job{
				ID:    id,
				Queue: "plain",
				Steps: []sched.Step{step(3, 1)},
			})
			pause.For(m.ctx, time.Second)
		}
		tasks, crashed := l.Suspects()
		m.c.Check(tasks, qt.Equals, int64(0))
		m.c.Check(crashed > 0, qt.IsTrue)
		pause.For(m.ctx, 30*time.Second)
		m.c.Check(m.workers.Violations(), qt.HasLen, 0)
		s, ok := l.Status(crashingTask.Stage.Job)
		m.c.Assert(ok, qt.IsTrue)
		m.c.Check(s.State, qt.Equals, sched.Failed)
		m.assertCompleted(l, ids)
	})
}

// The leader is replaced repeatedly, at various moments of a crash and its handling. The next
// leader knows only of the crashes that were stored.
func TestCrashCountOfTaskSurvivesTakeovers(t *testing.T) {
	for seed := range 8 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMachineCell(newCell(t.Context(), t, 8))
				defer m.end()
				l := m.lead("host0")
				m.submitCrashing()
				for i := range 20 {
					pause.For(m.ctx, time.Duration(1700+137*seed+211*i%1900)*time.Millisecond)
					m.cancels[i]()
					l = m.lead(spoolsill.HostID(fmt.Sprintf("host%d", i+1)))
				}
				pause.For(m.ctx, 40*time.Second)
				m.c.Check(m.workers.Violations(), qt.HasLen, 0)
				s, ok := l.Status(crashingTask.Stage.Job)
				m.c.Assert(ok, qt.IsTrue)
				m.c.Check(s.State, qt.Equals, sched.Failed)
			})
		})
	}
}

// Guards against unlimited retries of a task whose workers restart under their ids, at once or
// after a delay. Such crashes show only as runs that the worker does not have, which did not count
// as attempts.
func TestTaskThatCrashesWorkersThatKeepTheirIDsIsGivenUp(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, machineRestartDelay} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMachineCell(newCell(t.Context(), t, 8))
				defer m.end()
				m.restartUnderSameIDs(delay)
				l := m.lead("a")
				m.submitCrashing()
				ids := m.submitTasks("job", 24)
				pause.For(m.ctx, 40*time.Second)
				m.c.Check(m.workers.Violations(), qt.HasLen, 0)
				m.c.Check(m.workers.CrashCount(crashingTask) <= 5, qt.IsTrue)
				s, ok := l.Status(crashingTask.Stage.Job)
				m.c.Assert(ok, qt.IsTrue)
				m.c.Check(s.State, qt.Equals, sched.Failed)
				m.assertCompleted(l, ids)
			})
		})
	}
}

// Workers restart under their ids while the leader is replaced between the crashes. The next
// leader reads from the store which incarnations have crashed.
func TestCrashCountOfWorkersThatKeepTheirIDsSurvivesTakeovers(t *testing.T) {
	for seed := range 8 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMachineCell(newCell(t.Context(), t, 8))
				defer m.end()
				m.restartUnderSameIDs(time.Duration(seed) * 150 * time.Millisecond)
				l := m.lead("host0")
				m.submitCrashing()
				for i := range 20 {
					pause.For(m.ctx, time.Duration(300+137*seed+211*i%1900)*time.Millisecond)
					m.cancels[i]()
					l = m.lead(spoolsill.HostID(fmt.Sprintf("host%d", i+1)))
				}
				pause.For(m.ctx, 40*time.Second)
				m.c.Check(m.workers.Violations(), qt.HasLen, 0)
				s, ok := l.Status(crashingTask.Stage.Job)
				m.c.Assert(ok, qt.IsTrue)
				m.c.Check(s.State, qt.Equals, sched.Failed)
			})
		})
	}
}
