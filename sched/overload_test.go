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

// An overload is a load on a cell that changes over time. Its workers are sound and run each
// task for the time that its job has drawn.
type overload struct {
	x         *cell
	r         *rand.Rand
	workers   map[spoolsill.WorkerID]map[sched.RunID]time.Time // runs with their ends
	submitted map[spoolsill.JobID]*submission
	order     []*submission
	cores     float64
	// hosts are busy until these times with queries to the advisor.
	hosts   []time.Time
	queries []sched.AdviceOrder
	answers map[time.Time][]sched.AdviceOrder
	// overloaded counts the steps in which some jobs were ordered by what is left of them.
	overloaded, steps int
}

// A submission is a job with what became of it.
type submission struct {
	job      sched.Job
	runTimes []time.Duration // of the tasks of each step
	work     float64         // core-seconds
	ended    bool
	inTime   bool
}

const (
	overloadStep = 50 * time.Millisecond
	workerCores  = 16
)

// newOverload returns a cell of n workers whose hosts make some queries to the advisor at a time.
func newOverload(t *testing.T, seed uint64, n, hosts int, queues ...sched.Queue) *overload {
	o := &overload{
		x:         newCell(t),
		r:         rand.New(rand.NewPCG(seed, 11)),
		workers:   map[spoolsill.WorkerID]map[sched.RunID]time.Time{},
		submitted: map[spoolsill.JobID]*submission{},
		cores:     float64(n * workerCores),
		hosts:     make([]time.Time, hosts),
		answers:   map[time.Time][]sched.AdviceOrder{},
	}
	o.x.state.SetQueues(queues)
	o.x.state.SetMaxQueries(hosts)
	for i := range n {
		id := spoolsill.WorkerID(fmt.Sprint("w", i))
		o.workers[id] = map[sched.RunID]time.Time{}
		o.x.listWith(id, workerCores)
		o.x.renewLease(id)
	}
	return o
}

// A kind is a kind of job with its means, as a queue of wide or short work has them.
type kind struct {
	queue   sched.QueueID
	tasks   float64
	cores   float64
	runTime time.Duration
	steps   int
}

// work returns the mean core-seconds of a job.
func (k kind) work() float64 {
	return float64(k.steps) * k.tasks * k.cores * k.runTime.Seconds()
}

// draw returns a job of a kind whose width, demand and run time vary by half and whose estimate
// is off by half.
func (o *overload) draw(k kind) *submission {
	vary := func(by float64) float64 { return 1 - by + 2*by*o.r.Float64() }
	u := &submission{}
	u.job = job(spoolsill.JobID(fmt.Sprintf("%s-%d", k.queue, len(o.order))), k.queue)
	u.job.Received = o.x.now.Add(-time.Duration(o.r.Int64N(int64(overloadStep))))
	width := max(1, int(k.tasks*vary(0.9)*vary(0.5)))
	c := k.cores * vary(0.4)
	off := vary(0.5)
	for i := range k.steps {
		d := time.Duration(float64(k.runTime) * vary(0.5))
		p := tasks(width, 1)
		p.Need = spoolsill.Resources{
			Processors: spoolsill.Millicores(c * float64(spoolsill.Core)),
			Memory:     spoolsill.Bytes(c * float64(spoolsill.GiB)),
		}
		p.Estimate = time.Duration(float64(d) * off)
		if i > 0 {
			p.After = []int{i - 1}
		}
		u.job.Steps = append(u.job.Steps, p)
		u.runTimes = append(u.runTimes, d)
		u.work += float64(width) * c * d.Seconds()
	}
	return u
}

func (o *overload) submit(u *submission) {
	o.submitted[u.job.ID] = u
	o.order = append(o.order, u)
	o.x.state.AddJob(o.x.now, u.job, sched.Progress{})
}

// offer submits jobs of a kind at random times, whose work takes a share of the cell.
func (o *overload) offer(k kind, share float64) {
	perStep := share * o.cores / k.work() * overloadStep.Seconds()
	for n := perStep; n > 0; n-- {
		if o.r.Float64() < n {
			o.submit(o.draw(k))
		}
	}
}

// run makes passes for d, each after a call of load.
func (o *overload) run(d time.Duration, load func()) {
	for end := o.x.now.Add(d); o.x.now.Before(end); {
		load()
		o.answer()
		for _, s := range o.x.step() {
			o.x.answerStart(s, sched.StartAccepted)
			u := o.submitted[s.Run.Task.Stage.Job]
			o.workers[s.Worker][s.Run] = o.x.now.Add(u.runTimes[s.Run.Task.Stage.Step])
		}
		o.queries = o.x.answerQueries(append(o.queries, o.x.state.AdviceOrders()...), o.hosts, o.answers)
		o.steps++
		if o.x.state.Overload().Groups > 0 {
			o.overloaded++
		}
		o.noteEnds()
		o.x.now = o.x.now.Add(overloadStep - 10*time.Millisecond)
	}
}

// answer has the workers report the runs that have ended and list the others.
func (o *overload) answer() {
	for _, id := range slices.Sorted(maps.Keys(o.workers)) {
		var running []sched.RunningTask
		for _, r := range slices.SortedFunc(maps.Keys(o.workers[id]), compareRunIDs) {
			if o.x.now.Before(o.workers[id][r]) {
				running = append(running, o.progress(r, o.workers[id][r]))
				continue
			}
			delete(o.workers[id], r)
			o.x.endRun(sched.StartOrder{
				WorkerIncarnation: incarnationOf(id),
				Run:               r,
			}, sched.EndDone)
		}
		o.x.state.LeaseRequested(incarnationOf(id), sched.LeaseEnd(o.x.now, lease))
		o.x.state.Heartbeat(o.x.now, sched.Heartbeat{
			WorkerIncarnation: incarnationOf(id),
			Sent:              o.x.now,
			Clock:             sched.ClockMillis(o.x.now.UnixMilli()),
			Running:           running,
		})
	}
}

// progress returns a worker's report of a run that ends at some time.
func (o *overload) progress(r sched.RunID, end time.Time) sched.RunningTask {
	d := o.submitted[r.Task.Stage.Job].runTimes[r.Task.Stage.Step]
	return sched.RunningTask{
		Run:     r,
		Percent: 100 - int(100*end.Sub(o.x.now)/d),
	}
}

// noteEnds records which jobs have ended, and whether in time.
func (o *overload) noteEnds() {
	for _, n := range o.x.state.Notes() {
		if n.Kind != sched.NoteJobEnded {
			continue
		}
		u := o.submitted[n.Job]
		u.ended = true
		u.inTime = o.inTime(u, n.Age)
	}
}

// inTime reports whether a job that took d has met the objective of its queue for the true run
// times.
func (o *overload) inTime(u *submission, d time.Duration) bool {
	var chain time.Duration
	for _, t := range u.runTimes {
		chain += t
	}
	return d <= time.Duration(wideStretch*float64(chain))+wideGoal
}

const (
	wideStretch = 2.2
	wideGoal    = 1200 * time.Millisecond
)

// share returns the share of the jobs in us that were in time, by number and by work.
func share(us []*submission) (byNumber, byWork float64) {
	n, w, all := 0, 0.0, 0.0
	for _, u := range us {
		all += u.work
		if u.inTime {
			n++
			w += u.work
		}
	}
	return float64(n) / float64(len(us)), w / all
}

// bySize returns the largest tenth of us, the fifth below it and the rest.
func bySize(us []*submission) (largest, large, rest []*submission) {
	s := slices.Clone(us)
	slices.SortFunc(s, func(a, b *submission) int { return int(b.work - a.work) })
	return s[:len(s)/10], s[len(s)/10 : len(s)*3/10], s[len(s)*3/10:]
}

// wideWork is work of seconds on many cores.
var wideWork = kind{
	queue:   "wide",
	tasks:   17,
	cores:   4.5,
	runTime: 4800 * time.Millisecond,
	steps:   2,
}

func wideQueue() sched.Queue {
	return sched.Queue{
		ID:          "wide",
		Service:     "work",
		Priority:    2,
		MaxAttempts: 4,
		Stretch:     wideStretch,
		Goal:        wideGoal,
	}
}

// overloadSeeds is the number of seeds that a replay is played with. Jobs differ in size by a
// factor of ten, and a single day of some sixty of them by a quarter.
const overloadSeeds = 4

// replay offers a load of wide work, as shares of the cell, for 20 s each, and lets the rest end.
// It returns all jobs.
func replay(t *testing.T, seeds int, hosts int, q sched.Queue, shares ...float64) (us []*submission, overloaded float64) {
	for seed := range uint64(seeds) {
		o := newOverload(t, seed, 60, hosts, q)
		for _, s := range shares {
			o.run(20*time.Second, func() { o.offer(wideWork, s) })
		}
		o.run(60*time.Second, func() {})
		us = append(us, o.order...)
		overloaded += float64(o.overloaded) / float64(o.steps) / float64(seeds)
	}
	return us, overloaded
}

// halfInTime plays the load in which all accepted work would become late together, and checks that
// at least half of the jobs are in time, and that large jobs don't pay for it. The cell is offered
// three times what it has for 20 s and nine tenths of it for another 20 s, 78 s of work, and has
// 62 s until the last of it is due, of which tasks of a third of a worker can't use a fifth. So it
// can do some six tenths of the work in time, and more than that of the jobs, since it may do the
// small ones.
func halfInTime(t *testing.T, hosts int, q sched.Queue) {
	us, overloaded := replay(t, overloadSeeds, hosts, q, 3, 0.9)
	c := qt.New(t)
	all, byWork := share(us)
	largest, large, rest := bySize(us)
	ofLargest, _ := share(largest)
	ofLarge, _ := share(large)
	ofRest, _ := share(rest)
	t.Logf("%d jobs: %.3f in time, %.3f by work; largest tenth %.3f, fifth below %.3f, rest %.3f; overloaded %.2f of the time",
		len(us), all, byWork, ofLargest, ofLarge, ofRest, overloaded)
	c.Check(all >= 0.5, qt.IsTrue)
	c.Check(ofLargest >= all/2, qt.IsTrue)
	c.Check(ofLarge >= all/2, qt.IsTrue)
}

func TestHalfOfTheJobsAreInTimeUnderOverload(t *testing.T) {
	t.Parallel()
	halfInTime(t, 0, wideQueue())
}

// The hosts can answer four times as many queries as the jobs have stages.
func TestHalfOfTheAdvisedJobsAreInTimeUnderOverload(t *testing.T) {
	t.Parallel()
	q := wideQueue()
	q.Advisor = &sched.Advisor{
		Base:      494 * time.Millisecond,
		PerWorker: 7150 * time.Microsecond,
	}
	halfInTime(t, 16, q)
}

// Guards against an overload that a job which no worker can run makes last for good.
func TestOverloadEndsBesideAJobThatCannotRun(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	stuck := job("stuck", "q", tasks(1, 1))
	stuck.Steps[0].Requires = "no such label"
	stuck.Received = x.now.Add(-6 * time.Second) // late, but not yet worth nothing
	x.state.AddJob(x.now, stuck, sched.Progress{})
	for i := range 16 {
		j := job(spoolsill.JobID(fmt.Sprint("burst", i)), "q", tasks(1, 10))
		j.Received = x.now
		x.state.AddJob(x.now, j, sched.Progress{})
	}
	runs := func() map[spoolsill.WorkerID][]sched.RunID { return map[spoolsill.WorkerID][]sched.RunID{"w": nil} }
	x.advance(time.Second, runs())
	x.c.Assert(x.state.Overload().Groups, qt.Equals, 1)
	for i := range 16 {
		x.state.CancelJob(x.now, spoolsill.JobID(fmt.Sprint("burst", i)))
	}
	x.advance(20*time.Second, runs()) // three times the objective of the job that is left
	x.c.Assert(x.state.Overload().Groups, qt.Equals, 0)
}

// Guards against large jobs that wait as long as smaller ones keep coming. The cell is offered 1.8
// times what it has for a minute.
func TestLargeJobsAreServedUnderSteadyOverload(t *testing.T) {
	t.Parallel()
	us, _ := replay(t, overloadSeeds, 0, wideQueue(), 1.8, 1.8, 1.8)
	c := qt.New(t)
	all, _ := share(us)
	largest, large, _ := bySize(us)
	ofLargest, _ := share(largest)
	ofLarge, _ := share(large)
	t.Logf("%d jobs: %.3f in time; largest tenth %.3f, fifth below %.3f", len(us), all, ofLargest, ofLarge)
	c.Check(all >= 0.5, qt.IsTrue)
	c.Check(ofLargest >= all/2, qt.IsTrue)
	c.Check(ofLarge >= all/2, qt.IsTrue)
}

// A load that can be met is never called an overload, so that it is served by slack as before.
func TestLoadThatCanBeMetIsNoOverload(t *testing.T) {
	us, overloaded := replay(t, 1, 0, wideQueue(), 0.4)
	c := qt.New(t)
	all, _ := share(us)
	c.Check(overloaded, qt.Equals, 0.0)
	c.Check(all >= 0.95, qt.IsTrue, qt.Commentf("%.2f of %d jobs in time", all, len(us)))
}
