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

// Machines go down and up by turns under gangs and single tasks that do no harm, for a
// minute of virtual time: none of these is given up.
func TestInnocentTasksAreNotGivenUpWhileMachinesFlap(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newTroubled(t, seed, 16)
			f.flappers = 3
			f.play(60*time.Second, func() {
				f.submitSome(3, 60)
				f.flap()
			})
			f.assertNoneFailed()
		})
	}
}

// Five tasks crash each worker that starts them, on a cell that is full to three quarters,
// and two racks are lost for good meanwhile. The five are given up after three to five
// workers each; nothing else is, and all else is done.
func TestCrashingTasksAmongOthersOnAFullCell(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newTroubled(t, seed, 48)
			for i := range 5 {
				id := spoolsill.JobID(fmt.Sprint("crash", i))
				f.guilty[id] = 0
				f.add(job(id, "q", tasks(1, 1)))
			}
			at := f.x.now
			f.play(40*time.Second, func() {
				f.busy = f.x.now.Sub(at) < 25*time.Second
				if f.busy {
					f.submitSome(1, 9)
				}
				if f.x.now.Sub(at) > 8*time.Second {
					f.loseRacks(12)
				}
			})
			f.assertNoneFailed()
			for id, starts := range f.guilty {
				s, _ := f.x.state.Job(id)
				f.x.c.Check(s.State, qt.Equals, sched.Failed, qt.Commentf("%s", id))
				f.x.c.Check(starts >= 3 && starts <= 5, qt.IsTrue, qt.Commentf("%s: %d starts", id, starts))
			}
			for id := range f.jobs {
				if _, ok := f.guilty[id]; ok {
					continue
				}
				s, _ := f.x.state.Job(id)
				f.x.c.Check(s.State, qt.Equals, sched.Completed, qt.Commentf("%s", id))
			}
			t.Logf("%d jobs, %d workers crashed, %.0f%% full on average, starts of the guilty %v",
				len(f.jobs), f.crashes, 100*f.full/float64(f.steps), f.guilty)
		})
	}
}

// A troubled is a cell whose machines go down for one cause or another.
type troubled struct {
	x        *cell
	r        *rand.Rand
	lives    []int
	down     map[int]time.Time // until when
	machine  map[spoolsill.WorkerID]int
	runs     map[spoolsill.WorkerID]map[sched.RunID]time.Time
	jobs     map[spoolsill.JobID]bool
	guilty   map[spoolsill.JobID]int // how often they were started
	flappers int
	crashes  int
	busy     bool    // jobs are handed in
	full     float64 // share of the cores in use, summed over steps while it is
	steps    int
}

const (
	// downFor is how long a machine stays down, forever for one that is lost.
	downFor = 3 * time.Second
	forever = 24 * time.Hour
)

func newTroubled(t *testing.T, seed uint64, machines int) *troubled {
	f := &troubled{
		x:       newCell(t),
		r:       rand.New(rand.NewPCG(seed, 3)),
		lives:   make([]int, machines),
		down:    map[int]time.Time{},
		machine: map[spoolsill.WorkerID]int{},
		runs:    map[spoolsill.WorkerID]map[sched.RunID]time.Time{},
		jobs:    map[spoolsill.JobID]bool{},
		guilty:  map[spoolsill.JobID]int{},
	}
	for m := range f.lives {
		f.up(m)
	}
	return f
}

func (f *troubled) up(m int) {
	f.lives[m]++
	w := f.x.listLife(m, f.lives[m])
	f.machine[w] = m
	f.runs[w] = map[sched.RunID]time.Time{}
}

// goDown ends a machine's life.
func (f *troubled) goDown(m int, d time.Duration) {
	if _, down := f.down[m]; down {
		return
	}
	f.crashes++
	f.down[m] = f.x.now.Add(d)
	delete(f.runs, life(m, f.lives[m]))
}

// comeUp begins the lives that are due.
func (f *troubled) comeUp() {
	for m := range f.lives {
		until, down := f.down[m]
		if !down || f.x.now.Before(until) {
			continue
		}
		old := life(m, f.lives[m])
		delete(f.down, m)
		f.x.state.WorkerUnlisted(f.x.now, old)
		f.up(m)
		f.x.state.WorkerDied(f.x.now, lifeOf(old))
	}
}

// flap has some machines go down every few seconds.
func (f *troubled) flap() {
	for m := range f.flappers {
		if f.r.IntN(60) == 0 {
			f.goDown(m, downFor)
		}
	}
}

// loseRacks has the last machines go for good.
func (f *troubled) loseRacks(n int) {
	for m := len(f.lives) - n; m < len(f.lives); m++ {
		f.goDown(m, forever)
	}
}

func (f *troubled) play(d time.Duration, step func()) {
	for end := f.x.now.Add(d); f.x.now.Before(end); {
		step()
		f.comeUp()
		f.answer()
		for _, o := range f.x.step() {
			f.carryOut(o)
		}
		f.x.now = f.x.now.Add(40 * time.Millisecond)
	}
}

func (f *troubled) carryOut(o sched.StartOrder) {
	runs := f.runs[o.Worker]
	if runs == nil {
		f.x.answerStart(o, sched.StartUnknown)
		return
	}
	runs[o.Run] = f.x.now.Add(f.work(o.Run))
	f.x.answerStart(o, sched.StartTaken)
	if _, ok := f.guilty[o.Run.Task.Stage.Job]; ok {
		f.guilty[o.Run.Task.Stage.Job]++
		f.goDown(f.machine[o.Worker], downFor)
	}
}

func (f *troubled) work(r sched.RunID) time.Duration {
	if r.Task.Stage.Job[0] == 'g' {
		return 5 * time.Second
	}
	return 600 * time.Millisecond
}

// submitSome hands in a pair of short tasks one time in so many, and a gang of eight.
func (f *troubled) submitSome(short, gangs int) {
	if f.r.IntN(short) == 0 {
		f.add(job(spoolsill.JobID(fmt.Sprint("s", len(f.jobs))), "q", tasks(2, 2)))
	}
	if f.r.IntN(gangs) == 0 {
		p := gang(8, 4)
		p.Estimate = 5 * time.Second
		f.add(job(spoolsill.JobID(fmt.Sprint("g", len(f.jobs))), "q", p))
	}
}

func (f *troubled) add(j sched.Job) {
	f.jobs[j.ID] = true
	j.Received = f.x.now
	f.x.state.AddJob(f.x.now, j, sched.Progress{})
}

// answer has the workers that are up end what is done, and answer.
func (f *troubled) answer() {
	used, room := 0, 0
	for m, n := range f.lives {
		id := life(m, n)
		if f.runs[id] == nil {
			continue
		}
		room += 10
		var running []sched.RunID
		for _, r := range slices.SortedFunc(maps.Keys(f.runs[id]), compareRunIDs) {
			if f.x.now.Before(f.runs[id][r]) {
				running = append(running, r)
				used += f.cores(r)
				continue
			}
			delete(f.runs[id], r)
			f.x.endRun(sched.StartOrder{
				Life: lifeOf(id),
				Run:  r,
			}, sched.EndDone)
		}
		f.x.renewLease(id, running...)
	}
	if f.busy {
		f.full += float64(used) / float64(max(room, 1))
		f.steps++
	}
}

func (f *troubled) cores(r sched.RunID) int {
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

// assertNoneFailed asserts that no job was given up but those that crash workers.
func (f *troubled) assertNoneFailed() {
	for id := range f.jobs {
		s, ok := f.x.state.Job(id)
		f.x.c.Assert(ok, qt.IsTrue)
		if _, guilty := f.guilty[id]; !guilty {
			f.x.c.Check(s.State, qt.Not(qt.Equals), sched.Failed, qt.Commentf("%s", id))
		}
	}
}
