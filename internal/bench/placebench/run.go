package placebench

import (
	"fmt"
	"sort"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/internal/naive"
	"github.com/spoolsill/spoolsill/place"
)

// A Config describes a measurement.
type Config struct {
	Seed    uint64
	Workers int
	// Load is the share of the processors that is asked for.
	Load float64
	// Failing is the share of workers that fail everything.
	Failing  float64
	Duration time.Duration
}

// Times of the fake workers and of the holder's loop.
const (
	group      = 10 * time.Millisecond  // decisions are collected for so long
	reportLag  = time.Second            // an end is seen within it, evenly spread
	checkpoint = 200 * time.Millisecond // a task takes to checkpoint
	failTime   = 20 * time.Millisecond  // a failing worker takes to fail
)

// A Policy is what one policy reached.
type Policy struct {
	Name        string                     `json:"name"`
	WaitMS      map[string]event.Quantiles `json:"wait_ms"`
	WorthInTime float64                    `json:"worth_in_time"`
	Packing     float64                    `json:"packing"`
	Violations  int                        `json:"violations"`
	DecisionUS  event.Quantiles            `json:"decision_us"`
	Decisions   int                        `json:"decisions"`
	PerSecond   float64                    `json:"decisions_per_s"`
	Preempted   float64                    `json:"preempted_core_s"`
	LostTwice   float64                    `json:"lost_more_than_first_try"`
	Unstarted   int                        `json:"unstarted"`
}

// A Result is a whole measurement.
type Result struct {
	Seed     uint64   `json:"seed"`
	Workers  int      `json:"workers"`
	Load     float64  `json:"load"`
	Failing  float64  `json:"failing"`
	Starts   float64  `json:"starts_per_s"`
	Policies []Policy `json:"policies"`
}

// Run measures all policies on the same input.
func Run(c Config) Result {
	in, backlog := makeInput(c), makeBacklog(c)
	out := Result{
		Seed:    c.Seed,
		Workers: c.Workers,
		Load:    c.Load,
		Failing: c.Failing,
	}
	tasks := 0
	for _, a := range in.arrivals {
		tasks += a.job.Tasks
	}
	out.Starts = float64(tasks) / c.Duration.Seconds()
	bound := []spoolsill.Worker{{
		ID:       "bound",
		Capacity: workerCapacity.Times(c.Workers),
	}}
	for _, p := range []struct {
		name string
		make func(w []spoolsill.Worker) policy
	}{
		{
			name: "naive-first-fit",
			make: func(w []spoolsill.Worker) policy {
				return &plain{
					scheduler: naive.NewScheduler(naive.FirstFit, w),
				}
			},
		},
		{
			name: "naive-least-loaded",
			make: func(w []spoolsill.Worker) policy {
				return &plain{
					scheduler: naive.NewScheduler(naive.LeastLoaded, w),
				}
			},
		},
		{
			name: "spoolsill",
			make: func(w []spoolsill.Worker) policy { return newOurs(place.Config{}, w) },
		},
	} {
		r := simulate(in, p.make(in.workers), 1)
		r.Packing = simulate(backlog, p.make(backlog.workers), 1).Packing
		r.Name = p.name
		out.Policies = append(out.Policies, r)
	}
	out.Policies = append(out.Policies, boundOf(in, backlog, bound))
	return out
}

// boundOf returns what one worker as large as all together reaches, which
// sees every end at once and, for each kind of work, runs nothing but that
// kind: no scheduler can wait less.
func boundOf(in, backlog input, one []spoolsill.Worker) Policy {
	p := Policy{
		Name:   "bound",
		WaitMS: map[string]event.Quantiles{},
	}
	for _, k := range names() {
		only := input{
			workers: one,
			end:     in.end,
		}
		for _, a := range in.arrivals {
			if kindOf(a.job) == k {
				only.arrivals = append(only.arrivals, a)
			}
		}
		r := simulate(only, &plain{
			scheduler: naive.NewScheduler(naive.LeastLoaded, one),
		}, 0)
		p.WaitMS[k] = r.WaitMS[k]
	}
	backlog.workers = one
	p.Packing = simulate(backlog, &plain{
		scheduler: naive.NewScheduler(naive.LeastLoaded, one),
	}, 0).Packing
	p.WorthInTime = 1
	return p
}

// simulate drives one policy. lag scales how late ends are seen.
func simulate(in input, p policy, lag float64) Policy {
	s := &sim{
		in:      in,
		policy:  p,
		lag:     lag,
		jobs:    map[spoolsill.JobID]*arrival{},
		running: map[spoolsill.TaskID]*run{},
		first:   map[spoolsill.TaskID]time.Duration{},
		lost:    map[spoolsill.TaskID]int{},
		used:    map[spoolsill.WorkerID]spoolsill.Resources{},
		waits:   map[string][]time.Duration{},
	}
	for _, w := range in.workers {
		s.total = s.total.Add(w.Capacity)
	}
	for _, a := range in.arrivals {
		// A checkpoint changes what is left to run.
		a.runtime = append([]time.Duration(nil), a.runtime...)
		s.loop.After(a.at, func() { s.arrive(&a) })
	}
	s.loop.Run(in.end)
	return s.result()
}

// A sim is one policy on fake workers.
type sim struct {
	in      input
	policy  policy
	lag     float64
	loop    event.Loop
	jobs    map[spoolsill.JobID]*arrival
	running map[spoolsill.TaskID]*run
	first   map[spoolsill.TaskID]time.Duration // when a task first started
	lost    map[spoolsill.TaskID]int           // tries at failing workers
	used    map[spoolsill.WorkerID]spoolsill.Resources
	total   spoolsill.Resources
	waits   map[string][]time.Duration
	took    []time.Duration
	pending bool
	report  Policy

	worth, worthInTime float64
	coreTime           float64 // cores x seconds in use while work waited
	busyTime           float64
	lastChange         time.Duration
	inUse              spoolsill.Millicores
	waiting            int
}

// A run is one start of a task.
type run struct {
	start start
	began time.Duration
	ended bool
}

func (s *sim) arrive(a *arrival) {
	s.account()
	s.jobs[a.job.ID] = a
	s.waiting += a.job.Tasks
	s.worth += float64(a.job.Worth)
	s.policy.submit(s.loop.Time(), a.job)
	if a.cancel > 0 {
		s.loop.After(a.cancel, func() { s.cancel(a) })
	}
	s.decideSoon()
}

func (s *sim) cancel(a *arrival) {
	s.policy.cancel(s.loop.Time(), a.job.ID)
	for i := range a.job.Tasks {
		id := spoolsill.TaskID{
			Job:   a.job.ID,
			Index: i,
		}
		if _, ok := s.first[id]; !ok {
			s.waiting--
		}
		if r := s.running[id]; r != nil {
			s.end(r, place.Stopped)
		}
	}
	s.decideSoon()
}

func (s *sim) decideSoon() {
	if s.pending {
		return
	}
	s.pending = true
	s.loop.After(group, s.decide)
}

func (s *sim) decide() {
	s.pending = false
	s.account()
	began := time.Now()
	starts, leave := s.policy.decide(s.loop.Time())
	if took := time.Since(began); len(starts) > 0 {
		s.report.Decisions += len(starts)
		s.took = append(s.took, took/time.Duration(len(starts)))
	}
	for _, id := range leave {
		if r := s.running[id]; r != nil {
			s.loop.After(checkpoint, func() { s.checkpointed(r) })
		}
	}
	for _, x := range starts {
		s.begin(x)
	}
	s.loop.After(time.Second, s.decideSoon)
}

func (s *sim) begin(x start) {
	a := s.jobs[x.task.Job]
	if old := s.running[x.task]; old != nil {
		s.report.Violations++
	}
	r := &run{
		start: x,
		began: s.loop.Now(),
	}
	s.running[x.task] = r
	s.used[x.worker] = s.used[x.worker].Add(a.job.Shape)
	s.inUse += a.job.Shape.Processors
	if w, ok := s.capacity(x.worker); !ok || !s.used[x.worker].FitsIn(w) {
		s.report.Violations++
	}
	if _, ok := s.first[x.task]; !ok {
		s.first[x.task] = s.loop.Now()
		s.waiting--
		s.waits[kindOf(a.job)] = append(s.waits[kindOf(a.job)], s.loop.Now()-a.at)
	}
	s.policy.report(s.loop.Time(), place.Report{
		Task:    x.task,
		Attempt: x.attempt,
		Outcome: place.Started,
	})
	if s.in.failing[x.worker] {
		s.lost[x.task]++
		s.loop.After(failTime, func() { s.end(r, place.Failed) })
		return
	}
	s.loop.After(a.runtime[x.task.Index], func() { s.end(r, place.Exited) })
}

func (s *sim) capacity(id spoolsill.WorkerID) (spoolsill.Resources, bool) {
	i := sort.Search(len(s.in.workers), func(i int) bool { return s.in.workers[i].ID >= id })
	if i == len(s.in.workers) || s.in.workers[i].ID != id {
		return spoolsill.Resources{}, false
	}
	return s.in.workers[i].Capacity, true
}

func (s *sim) checkpointed(r *run) {
	if r.ended {
		return
	}
	cores := float64(s.jobs[r.start.task.Job].job.Shape.Processors) / float64(spoolsill.Core)
	s.report.Preempted += cores * checkpoint.Seconds()
	// A checkpoint keeps the work done so far.
	a := s.jobs[r.start.task.Job]
	a.runtime[r.start.task.Index] = max(a.runtime[r.start.task.Index]-(s.loop.Now()-r.began), 50*time.Millisecond)
	s.end(r, place.Checkpointed)
}

// end ends a run on its worker; the policy learns of it later.
func (s *sim) end(r *run, f place.Outcome) {
	if r.ended {
		return
	}
	s.account()
	r.ended = true
	a := s.jobs[r.start.task.Job]
	s.used[r.start.worker] = s.used[r.start.worker].Sub(a.job.Shape)
	s.inUse -= a.job.Shape.Processors
	delete(s.running, r.start.task)
	if f == place.Exited {
		s.creditWorth(a, r)
	}
	s.loop.After(s.reportDelay(r), func() {
		s.policy.report(s.loop.Time(), place.Report{
			Task:    r.start.task,
			Attempt: r.start.attempt,
			Outcome: f,
		})
		s.decideSoon()
	})
}

// reportDelay spreads evenly, by the start's number, over a second.
func (s *sim) reportDelay(r *run) time.Duration {
	const golden = 0.6180339887
	x := golden * float64(r.start.task.Index+int(r.began/time.Millisecond))
	return time.Duration(float64(reportLag) * s.lag * (x - float64(int(x))))
}

// inTime is how long after its arrival a job's task may end to count, beyond
// its run time.
const inTime = 10 * time.Second

func (s *sim) creditWorth(a *arrival, r *run) {
	i := r.start.task.Index
	share := float64(a.job.Worth) / float64(a.job.Tasks)
	late := s.loop.Now() - a.at - a.runtime[i]
	if a.job.Class == spoolsill.ClassPatient || late <= inTime {
		s.worthInTime += share
	}
}

// account adds up the processors in use while work waits.
func (s *sim) account() {
	d := (s.loop.Now() - s.lastChange).Seconds()
	s.lastChange = s.loop.Now()
	if s.waiting > len(s.in.workers)/4 || len(s.in.workers) == 1 && s.waiting > 0 {
		s.coreTime += d * float64(s.inUse)
		s.busyTime += d
	}
}

func (s *sim) result() Policy {
	p := s.report
	p.WaitMS = map[string]event.Quantiles{}
	for _, k := range names() {
		p.WaitMS[k] = event.QuantilesOf(s.waits[k])
	}
	q := event.QuantilesOf(s.took)
	p.DecisionUS = event.Quantiles{
		Count: q.Count,
		P50:   q.P50 * 1000,
		P99:   q.P99 * 1000,
		P999:  q.P999 * 1000,
	}
	var sum time.Duration
	for _, t := range s.took {
		sum += t
	}
	if sum > 0 {
		p.PerSecond = float64(len(s.took)) / sum.Seconds()
	}
	if s.busyTime > 0 {
		p.Packing = s.coreTime / s.busyTime / float64(s.total.Processors)
	}
	if s.worth > 0 {
		p.WorthInTime = s.worthInTime / s.worth
	}
	p.Unstarted = s.waiting
	p.LostTwice = s.lostTwice()
	return p
}

// lostTwice returns the share of tasks that lost more than one try to failing
// workers.
func (s *sim) lostTwice() float64 {
	n := 0
	for _, k := range s.lost {
		if k > 1 {
			n++
		}
	}
	return float64(n) / float64(max(len(s.first), 1))
}

// String returns a policy in one line.
func (p Policy) String() string {
	return fmt.Sprintf("%s %v", p.Name, p.WaitMS)
}
