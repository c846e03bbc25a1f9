package sched_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// Guards against failing harmless gangs and single tasks while machines restart
// repeatedly under them for a minute of virtual time.
func TestHarmlessTasksDoNotFailWhileMachinesFlap(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newCrashLoad(t, seed, 16)
			f.flapping = 3
			f.simulate(60*time.Second, func() {
				f.submitSome(3, 60)
				f.flap()
			})
			f.assertNoneFailed()
		})
	}
}

// Five tasks crash each worker that starts them, in a cell at three quarters of its
// capacity that loses two racks in the meantime. The five jobs fail after three to five
// workers each; all others complete.
func TestOnlyCrashingTasksFailOnALoadedCell(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newCrashLoad(t, seed, 48)
			for i := range 5 {
				id := spoolsill.JobID(fmt.Sprint("crash", i))
				f.crashers[id] = 0
				f.addJob(job(id, "q", tasks(1, 1)))
			}
			at := f.x.now
			f.simulate(40*time.Second, func() {
				f.busy = f.x.now.Sub(at) < 25*time.Second
				if f.busy {
					f.submitSome(1, 9)
				}
				if f.x.now.Sub(at) > 8*time.Second {
					f.loseRacks(12)
				}
			})
			f.assertNoneFailed()
			for id, starts := range f.crashers {
				s, _ := f.x.state.Job(id)
				f.x.c.Check(s.State, qt.Equals, sched.Failed, qt.Commentf("%s", id))
				f.x.c.Check(starts >= 3 && starts <= 5, qt.IsTrue, qt.Commentf("%s: %d starts", id, starts))
			}
			for id := range f.jobs {
				if _, ok := f.crashers[id]; ok {
					continue
				}
				s, _ := f.x.state.Job(id)
				f.x.c.Check(s.State, qt.Equals, sched.Completed, qt.Commentf("%s", id))
			}
			t.Logf("%d jobs, %d workers crashed, %.0f%% full on average, starts of crashing tasks %v",
				len(f.jobs), f.crashes, 100*f.utilization/float64(f.steps), f.crashers)
		})
	}
}

// A crashLoad is a load on a cell whose machines go down for various reasons.
type crashLoad struct {
	x            *cell
	r            *rand.Rand
	incarnations []int
	down         map[int]time.Time // when they are to come up again
	machine      map[spoolsill.WorkerID]int
	runs         map[spoolsill.WorkerID]map[sched.RunID]time.Time
	jobs         map[spoolsill.JobID]bool
	crashers     map[spoolsill.JobID]int // jobs that crash their workers, and how often they were started
	flapping     int
	crashes      int
	busy         bool    // jobs are being submitted
	utilization  float64 // share of the cores in use while busy, summed over steps
	steps        int
}

const (
	// downtime is how long a machine stays down, permanentDowntime the same for one that
	// does not come back during the test.
	downtime          = 3 * time.Second
	permanentDowntime = 24 * time.Hour
)

func newCrashLoad(t *testing.T, seed uint64, machines int) *crashLoad {
	f := &crashLoad{
		x:            newCell(t),
		r:            rand.New(rand.NewPCG(seed, 3)),
		incarnations: make([]int, machines),
		down:         map[int]time.Time{},
		machine:      map[spoolsill.WorkerID]int{},
		runs:         map[spoolsill.WorkerID]map[sched.RunID]time.Time{},
		jobs:         map[spoolsill.JobID]bool{},
		crashers:     map[spoolsill.JobID]int{},
	}
	for m := range f.incarnations {
		f.startMachine(m)
	}
	return f
}

func (f *crashLoad) startMachine(m int) {
	f.incarnations[m]++
	w := f.x.listIncarnation(m, f.incarnations[m])
	f.machine[w] = m
	f.runs[w] = map[sched.RunID]time.Time{}
}

// takeDown ends a machine's incarnation and keeps it down for d.
func (f *crashLoad) takeDown(m int, d time.Duration) {
	if _, down := f.down[m]; down {
		return
	}
	f.crashes++
	f.down[m] = f.x.now.Add(d)
	delete(f.runs, incarnationID(m, f.incarnations[m]))
}

// restartDue starts the machines whose downtime is over.
func (f *crashLoad) restartDue() {
	for m := range f.incarnations {
		until, down := f.down[m]
		if !down || f.x.now.Before(until) {
			continue
		}
		old := incarnationID(m, f.incarnations[m])
		delete(f.down, m)
		f.x.state.WorkerUnlisted(f.x.now, old)
		f.startMachine(m)
		f.x.state.WorkerDied(f.x.now, incarnationOf(old))
	}
}

// flap takes each of the flapping machines down every few seconds on average.
func (f *crashLoad) flap() {
	for m := range f.flapping {
		if f.r.IntN(60) == 0 {
			f.takeDown(m, downtime)
		}
	}
}

// loseRacks takes the last n machines down permanently.
func (f *crashLoad) loseRacks(n int) {
	for m := len(f.incarnations) - n; m < len(f.incarnations); m++ {
		f.takeDown(m, permanentDowntime)
	}
}

func (f *crashLoad) simulate(d time.Duration, step func()) {
	for end := f.x.now.Add(d); f.x.now.Before(end); {
		step()
		f.restartDue()
		f.answer()
		for _, o := range f.x.step() {
			f.carryOut(o)
		}
		f.x.now = f.x.now.Add(40 * time.Millisecond)
	}
}

func (f *crashLoad) carryOut(o sched.StartOrder) {
	runs := f.runs[o.Worker]
	if runs == nil {
		f.x.answerStart(o, sched.StartUnknown)
		return
	}
	runs[o.Run] = f.x.now.Add(f.runtime(o.Run))
	f.x.answerStart(o, sched.StartAccepted)
	if _, ok := f.crashers[o.Run.Task.Stage.Job]; ok {
		f.crashers[o.Run.Task.Stage.Job]++
		f.takeDown(f.machine[o.Worker], downtime)
	}
}

func (f *crashLoad) runtime(r sched.RunID) time.Duration {
	if r.Task.Stage.Job[0] == 'g' {
		return 5 * time.Second
	}
	return 600 * time.Millisecond
}

// submitSome submits a pair of short tasks with probability 1/short, and a gang of eight
// with probability 1/gangs.
func (f *crashLoad) submitSome(short, gangs int) {
	if f.r.IntN(short) == 0 {
		f.addJob(job(spoolsill.JobID(fmt.Sprint("s", len(f.jobs))), "q", tasks(2, 2)))
	}
	if f.r.IntN(gangs) == 0 {
		p := gang(8, 4)
		p.Estimate = 5 * time.Second
		f.addJob(job(spoolsill.JobID(fmt.Sprint("g", len(f.jobs))), "q", p))
	}
}

func (f *crashLoad) addJob(j sched.Job) {
	f.jobs[j.ID] = true
	j.Received = f.x.now
	f.x.state.AddJob(f.x.now, j, sched.Progress{})
}

// answer has the running workers end the work that is done, and answer.
func (f *crashLoad) answer() {
	used, capacity := 0, 0
	for m, n := range f.incarnations {
		id := incarnationID(m, n)
		if f.runs[id] == nil {
			continue
		}
		capacity += 10
		var running []sched.RunID
		for _, r := range slices.SortedFunc(maps.Keys(f.runs[id]), compareRunIDs) {
			if f.x.now.Before(f.runs[id][r]) {
				running = append(running, r)
				used += f.cores(r)
				continue
			}
			delete(f.runs[id], r)
			f.x.endRun(sched.StartOrder{
				WorkerIncarnation: incarnationOf(id),
				Run:               r,
			}, sched.EndDone)
		}
		f.x.renewLease(id, running...)
	}
	if f.busy {
		f.utilization += float64(used) / float64(max(capacity, 1))
		f.steps++
	}
}

func (f *crashLoad) cores(r sched.RunID) int {
	if r.Task.Stage.Job[0] == 'g' {
		return 4
	}
	return 2
}

func compareRunIDs(a, b sched.RunID) int {
	switch s, t := a.Task.String(), b.Task.String(); {
	case s < t:
		return -1
	case s > t:
		return 1
	default:
		return int(a.Number) - int(b.Number)
	}
}

// assertNoneFailed asserts that no job has failed except those that crash workers.
func (f *crashLoad) assertNoneFailed() {
	for id := range f.jobs {
		s, ok := f.x.state.Job(id)
		f.x.c.Assert(ok, qt.IsTrue)
		if _, crashes := f.crashers[id]; !crashes {
			f.x.c.Check(s.State, qt.Not(qt.Equals), sched.Failed, qt.Commentf("%s", id))
		}
	}
}
