package sched_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A quotaModel simulates workers with the runs of a team and checks each start against the
// quotas that may be in force: the latest one, and those that it replaced less than
// configPropagation ago. Orders may stay unanswered and be carried out much later.
type quotaModel struct {
	x          *cell
	quotas     []quotaPeriod
	ids        []spoolsill.WorkerID
	runs       map[spoolsill.WorkerID]map[sched.RunID]int // cores
	lateStarts []pendingStart
	stopped    map[sched.RunID]bool
	jobs       map[spoolsill.JobID]sched.Job
	rows       map[spoolsill.JobID][]byte
}

// A quotaPeriod is a quota and the time at which it was replaced.
type quotaPeriod struct {
	cores int
	until time.Time // zero for the latest
}

// lateStartDelay is the maximum delay of an unanswered start, longer than configPropagation.
const lateStartDelay = 3 * configPropagation

func newQuotaModel(t *testing.T) *quotaModel {
	m := &quotaModel{
		x:       newCell(t),
		ids:     []spoolsill.WorkerID{"a", "b", "c"},
		runs:    map[spoolsill.WorkerID]map[sched.RunID]int{},
		stopped: map[sched.RunID]bool{},
		jobs:    map[spoolsill.JobID]sched.Job{},
		rows:    map[spoolsill.JobID][]byte{},
	}
	for _, w := range m.ids {
		m.runs[w] = map[sched.RunID]int{}
		m.x.listWorker(w, false)
	}
	m.changeQuota(12)
	return m
}

// changeQuota puts a quota in force, at the leader immediately.
func (m *quotaModel) changeQuota(n int) {
	if i := len(m.quotas) - 1; i >= 0 {
		m.quotas[i].until = m.x.now
	}
	m.quotas = append(m.quotas, quotaPeriod{
		cores: n,
	})
	m.x.setQuota(n)
}

// maxQuota returns the highest quota that may be in force.
func (m *quotaModel) maxQuota() int {
	highest := 0
	for _, q := range m.quotas {
		if q.until.IsZero() || m.x.now.Sub(q.until) <= configPropagation {
			highest = max(highest, q.cores)
		}
	}
	return highest
}

// usedCores returns the cores that all runs use.
func (m *quotaModel) usedCores() int {
	n := 0
	for _, runs := range m.runs {
		for _, c := range runs {
			n += c
		}
	}
	return n
}

// startRun starts a run at its worker and checks the quota.
func (m *quotaModel) startRun(t *rapid.T, o sched.StartOrder) {
	if m.stopped[o.Run] {
		return
	}
	m.runs[o.Worker][o.Run] = int(m.jobs[o.Run.Task.Stage.Job].Steps[0].Need.Processors / spoolsill.Core)
	if n := m.usedCores(); n > m.maxQuota() {
		t.Fatalf("%s#%d brings the team to %d cores of %d", o.Run.Task, o.Run.Number, n, m.maxQuota())
	}
}

// step has the workers answer, makes a pass, writes the batch and delivers the orders.
func (m *quotaModel) step(t *rapid.T, lost bool) {
	for _, w := range m.ids {
		m.x.renewLease(w, slices.Collect(maps.Keys(m.runs[w]))...)
	}
	m.x.state.Decide(m.x.now)
	b, _, err := m.x.state.Batch(m.x.now)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range b.Rows {
		m.rows[r.ID] = r.Value
	}
	for _, o := range m.x.state.Stops() {
		m.deliverStop(o)
	}
	for _, o := range m.x.state.BatchWritten(m.x.now, b) {
		m.deliverStart(t, o, lost)
	}
}

// deliverStart delivers a start order, or leaves it unanswered to be carried out later.
func (m *quotaModel) deliverStart(t *rapid.T, o sched.StartOrder, lost bool) {
	if lost && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		until := m.x.now.Add(lateStartDelay)
		m.x.state.StartAnswered(m.x.now, sched.StartAnswer{
			WorkerIncarnation: o.WorkerIncarnation,
			Run:               o.Run,
			Outcome:           sched.StartUnknown,
			Doubt:             true,
			Deadline:          sched.ClockMillis(until.UnixMilli()),
		})
		m.lateStarts = append(m.lateStarts, pendingStart{
			StartOrder: o,
			until:      until,
		})
		return
	}
	m.startRun(t, o)
	m.x.answerStart(o, sched.StartAccepted)
}

// deliverStop has a worker carry out a stop, including for runs that have not arrived yet.
func (m *quotaModel) deliverStop(o sched.StopOrder) {
	m.stopped[o.Run] = true
	m.x.state.StopAnswered(m.x.now, sched.StopAnswer{
		Order: o,
		Taken: true,
	})
	if _, ok := m.runs[o.Worker][o.Run]; ok {
		m.finishRun(o.Worker, o.Run, sched.EndStopped)
	}
}

func (m *quotaModel) finishRun(w spoolsill.WorkerID, r sched.RunID, k sched.EndKind) {
	delete(m.runs[w], r)
	m.x.endRun(sched.StartOrder{
		WorkerIncarnation: incarnationOf(w),
		Run:               r,
	}, k)
}

// endFirstRun has a worker report the end of its first run.
func (m *quotaModel) endFirstRun(kind sched.EndKind) {
	for _, w := range m.ids {
		runs := slices.SortedFunc(maps.Keys(m.runs[w]), func(a, b sched.RunID) int {
			return strings.Compare(a.Task.String(), b.Task.String())
		})
		if len(runs) > 0 {
			m.finishRun(w, runs[0], kind)
			return
		}
	}
}

func (m *quotaModel) submit(t *rapid.T, i int) {
	p := tasks(rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.IntRange(1, 5).Draw(t, "need"))
	p.Gang = rapid.Bool().Draw(t, "gang")
	j := m.x.teamJob(spoolsill.JobID(fmt.Sprint("j", i)), "a", p)
	m.jobs[j.ID] = j
	m.x.state.AddJob(m.x.now, j, sched.Progress{})
}

// deliverLateStarts carries out some of the unanswered starts before their deadline.
func (m *quotaModel) deliverLateStarts(t *rapid.T) {
	for _, o := range m.lateStarts {
		if m.x.now.Before(o.until) && !rapid.Bool().Draw(t, "dropped") {
			m.startRun(t, o.StartOrder)
		}
	}
	m.lateStarts = nil
}

// changeLeader replaces the leader by one that resumes from the stored progress. Workers
// refuse orders of former leaders once they have answered it.
func (m *quotaModel) changeLeader(t *rapid.T) {
	m.x.state = m.x.newState()
	m.lateStarts = nil
	m.x.setQuota(m.quotas[len(m.quotas)-1].cores)
	for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
		p := sched.Progress{}
		if v, ok := m.rows[id]; ok {
			var err error
			p, err = sched.DecodeProgress(v)
			if err != nil {
				t.Fatal(err)
			}
		}
		m.x.state.AddJob(m.x.now, m.jobs[id], p)
	}
	for _, w := range m.ids {
		m.x.listWorker(w, false)
	}
}

// advance moves the clock on, mostly a little, sometimes past configPropagation.
func (m *quotaModel) advance(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "long") == 0 {
		m.x.now = m.x.now.Add(configPropagation + time.Second)
		return
	}
	m.x.now = m.x.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
}

// randomEvent applies a random event.
func (m *quotaModel) randomEvent(t *rapid.T, i int) {
	switch rapid.IntRange(0, 6).Draw(t, "move") {
	case 0, 1:
		m.submit(t, i)
	case 2:
		m.changeQuota(rapid.IntRange(1, 20).Draw(t, "quota"))
	case 3:
		m.endFirstRun(rapid.SampledFrom([]sched.EndKind{sched.EndDone, sched.EndFailed}).Draw(t, "kind"))
	case 4:
		m.x.state.CancelJob(m.x.now, spoolsill.JobID(fmt.Sprint("j", rapid.IntRange(0, i).Draw(t, "job"))))
	case 5:
		m.deliverLateStarts(t)
	case 6:
		m.changeLeader(t)
	}
}

// Under any sequence of quota changes, late starts, ended runs and leader changes, no start
// brings a team over the highest quota that may be in force.
func TestNoStartBringsATeamOverItsQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newQuotaModel(t)
		for i := range rapid.IntRange(10, 60).Draw(rt, "moves") {
			m.randomEvent(rt, i)
			m.advance(rt)
			m.step(rt, true)
		}
	})
}

// After any sequence of such events, once they have ceased, a team that uses less than half of its
// quota has no waiting jobs if a worker has capacity.
func TestNoTeamUnderHalfOfItsQuotaWaits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newQuotaModel(t)
		for i := range rapid.IntRange(1, 40).Draw(rt, "moves") {
			m.randomEvent(rt, i)
			m.advance(rt)
			m.step(rt, true)
		}
		m.lateStarts = nil
		for end := m.x.now.Add(2*lateStartDelay + 2*lease); m.x.now.Before(end); {
			m.x.now = m.x.now.Add(300 * time.Millisecond)
			m.step(rt, false)
		}
		m.changeQuota(100)
		m.x.now = m.x.now.Add(10 * time.Millisecond)
		m.step(rt, false)
		for range 100 {
			m.endFirstRun(sched.EndDone)
			m.x.now = m.x.now.Add(500 * time.Millisecond)
			m.step(rt, false)
		}
		for _, j := range slices.Sorted(maps.Keys(m.jobs)) {
			if s, ok := m.x.state.Job(j); ok && !s.State.Final() && m.usedCores() == 0 {
				rt.Fatalf("job %s is %s although its team has no runs", j, s.State)
			}
		}
	})
}
