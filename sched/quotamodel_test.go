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

// A quotaModel plays workers that run what a team has them run, and judges each start by
// the quotas that may be in force: the newest one, and those that it replaced less than
// inForce ago. Orders may have no answer and be carried out much later than that.
type quotaModel struct {
	x      *cell
	quotas []quotaSince
	ids    []spoolsill.WorkerID
	runs   map[spoolsill.WorkerID]map[sched.RunID]int // cores
	late   []pendingStart
	stops  map[sched.RunID]bool
	jobs   map[spoolsill.JobID]sched.Job
	rows   map[spoolsill.JobID][]byte
}

type quotaSince struct {
	cores int
	until time.Time // when the next one came; zero for the newest
}

// lateAfterAll is longer than a configuration takes to be in force.
const lateAfterAll = 3 * inForce

func newQuotaModel(t *testing.T) *quotaModel {
	m := &quotaModel{
		x:     newCell(t),
		ids:   []spoolsill.WorkerID{"a", "b", "c"},
		runs:  map[spoolsill.WorkerID]map[sched.RunID]int{},
		stops: map[sched.RunID]bool{},
		jobs:  map[spoolsill.JobID]sched.Job{},
		rows:  map[spoolsill.JobID][]byte{},
	}
	for _, w := range m.ids {
		m.runs[w] = map[sched.RunID]int{}
		m.x.listWorker(w, false)
	}
	m.set(12)
	return m
}

// set puts a quota in force, at the leader at once.
func (m *quotaModel) set(n int) {
	if i := len(m.quotas) - 1; i >= 0 {
		m.quotas[i].until = m.x.now
	}
	m.quotas = append(m.quotas, quotaSince{
		cores: n,
	})
	m.x.quota(n)
}

// most returns the highest quota that may be in force.
func (m *quotaModel) most() int {
	most := 0
	for _, q := range m.quotas {
		if q.until.IsZero() || m.x.now.Sub(q.until) <= inForce {
			most = max(most, q.cores)
		}
	}
	return most
}

func (m *quotaModel) used() int {
	n := 0
	for _, runs := range m.runs {
		for _, c := range runs {
			n += c
		}
	}
	return n
}

func (m *quotaModel) begin(t *rapid.T, o sched.StartOrder) {
	if m.stops[o.Run] {
		return
	}
	m.runs[o.Worker][o.Run] = int(m.jobs[o.Run.Task.Stage.Job].Steps[0].Need.Processors / spoolsill.Core)
	if n := m.used(); n > m.most() {
		t.Fatalf("%s#%d brings the team to %d cores of %d", o.Run.Task, o.Run.Number, n, m.most())
	}
}

// round has workers answer, decides, writes, and has orders carried out.
func (m *quotaModel) round(t *rapid.T, lost bool) {
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
		m.stop(o)
	}
	for _, o := range m.x.state.BatchWritten(m.x.now, b) {
		m.send(t, o, lost)
	}
}

func (m *quotaModel) send(t *rapid.T, o sched.StartOrder, lost bool) {
	if lost && rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		until := m.x.now.Add(lateAfterAll)
		m.x.state.StartAnswered(m.x.now, sched.StartAnswer{
			Life:     o.Life,
			Run:      o.Run,
			Outcome:  sched.StartUnknown,
			Doubt:    true,
			Deadline: sched.ClockMillis(until.UnixMilli()),
		})
		m.late = append(m.late, pendingStart{
			StartOrder: o,
			until:      until,
		})
		return
	}
	m.begin(t, o)
	m.x.answerStart(o, sched.StartTaken)
}

// stop has a worker carry out a stop at once, also of a run that may come yet.
func (m *quotaModel) stop(o sched.StopOrder) {
	m.stops[o.Run] = true
	m.x.state.StopAnswered(m.x.now, sched.StopAnswer{
		Order: o,
		Taken: true,
	})
	if _, ok := m.runs[o.Worker][o.Run]; ok {
		m.endRun(o.Worker, o.Run, sched.EndStopped)
	}
}

func (m *quotaModel) endRun(w spoolsill.WorkerID, r sched.RunID, k sched.EndKind) {
	delete(m.runs[w], r)
	m.x.endRun(sched.StartOrder{
		Life: lifeOf(w),
		Run:  r,
	}, k)
}

// endOne has a worker end a run by itself.
func (m *quotaModel) endOne(kind sched.EndKind) {
	for _, w := range m.ids {
		runs := slices.SortedFunc(maps.Keys(m.runs[w]), func(a, b sched.RunID) int {
			return strings.Compare(a.Task.String(), b.Task.String())
		})
		if len(runs) > 0 {
			m.endRun(w, runs[0], kind)
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

func (m *quotaModel) carryOutLate(t *rapid.T) {
	for _, o := range m.late {
		if m.x.now.Before(o.until) && !rapid.Bool().Draw(t, "dropped") {
			m.begin(t, o.StartOrder)
		}
	}
	m.late = nil
}

// takeOver has another leader go on from what was written. Workers refuse what former
// ones have ordered from their first answer on.
func (m *quotaModel) takeOver(t *rapid.T) {
	m.x.state = m.x.newState()
	m.late = nil
	m.x.quota(m.quotas[len(m.quotas)-1].cores)
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

// pass lets time go by: mostly little, now and then more than a configuration takes to
// be in force.
func (m *quotaModel) pass(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "long") == 0 {
		m.x.now = m.x.now.Add(inForce + time.Second)
		return
	}
	m.x.now = m.x.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
}

func (m *quotaModel) move(t *rapid.T, i int) {
	switch rapid.IntRange(0, 6).Draw(t, "move") {
	case 0, 1:
		m.submit(t, i)
	case 2:
		m.set(rapid.IntRange(1, 20).Draw(t, "quota"))
	case 3:
		m.endOne(rapid.SampledFrom([]sched.EndKind{sched.EndDone, sched.EndFailed}).Draw(t, "kind"))
	case 4:
		m.x.state.CancelJob(m.x.now, spoolsill.JobID(fmt.Sprint("j", rapid.IntRange(0, i).Draw(t, "job"))))
	case 5:
		m.carryOutLate(t)
	case 6:
		m.takeOver(t)
	}
}

// In whatever series quotas change, orders are carried out late, runs end and leaders
// change: no start brings a team over the highest quota that may be in force.
func TestNoStartBringsATeamOverItsQuota(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newQuotaModel(t)
		for i := range rapid.IntRange(10, 60).Draw(rt, "moves") {
			m.move(rt, i)
			m.pass(rt)
			m.round(rt, true)
		}
	})
}

// After any such series, once all is calm, a team that has less than half of its quota
// has nothing that waits, where a worker has room.
func TestNoTeamUnderHalfOfItsQuotaWaits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newQuotaModel(t)
		for i := range rapid.IntRange(1, 40).Draw(rt, "moves") {
			m.move(rt, i)
			m.pass(rt)
			m.round(rt, true)
		}
		m.late = nil
		for end := m.x.now.Add(2*lateAfterAll + 2*lease); m.x.now.Before(end); {
			m.x.now = m.x.now.Add(300 * time.Millisecond)
			m.round(rt, false)
		}
		m.set(100)
		m.x.now = m.x.now.Add(10 * time.Millisecond)
		m.round(rt, false)
		for range 100 {
			m.endOne(sched.EndDone)
			m.x.now = m.x.now.Add(500 * time.Millisecond)
			m.round(rt, false)
		}
		for _, j := range slices.Sorted(maps.Keys(m.jobs)) {
			if s, ok := m.x.state.Job(j); ok && !s.State.Final() && m.used() == 0 {
				rt.Fatalf("job %s of a team that has nothing running is %s", j, s.State)
			}
		}
	})
}
