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

// A Config describes a simulation.
type Config struct {
	Seed    uint64
	Workers int
	// Load is the offered load as a fraction of the processors of all workers.
	Load float64
	// Failing is the fraction of workers on which every task fails.
	Failing  float64
	Duration time.Duration
}

// Durations of the simulated workers and of the scheduling loop.
const (
	batchInterval  = 10 * time.Millisecond  // delay from an event to the next decision, so that decisions handle events in batches
	maxReportDelay = time.Second            // ends are reported to the scheduler with a uniform delay up to this
	checkpointTime = 200 * time.Millisecond // time to checkpoint a task
	failureTime    = 20 * time.Millisecond  // time until a task on a failing worker fails
)

// A PolicyResult holds the measurements of one placement policy.
type PolicyResult struct {
	Name                 string                     `json:"name"`
	WaitMS               map[string]event.Quantiles `json:"wait_ms"`
	WorthInTime          float64                    `json:"worth_in_time"`
	Utilization          float64                    `json:"packing"`
	Violations           int                        `json:"violations"`
	DecisionUS           event.Quantiles            `json:"decision_us"`
	Decisions            int                        `json:"decisions"`
	DecisionsPerSecond   float64                    `json:"decisions_per_s"`
	PreemptedCoreSeconds float64                    `json:"preempted_core_s"`
	FailedTwice          float64                    `json:"lost_more_than_first_try"`
	Unstarted            int                        `json:"unstarted"`
}

// A Result holds the measurements of all policies.
type Result struct {
	Seed            uint64         `json:"seed"`
	Workers         int            `json:"workers"`
	Load            float64        `json:"load"`
	Failing         float64        `json:"failing"`
	StartsPerSecond float64        `json:"starts_per_s"`
	Policies        []PolicyResult `json:"policies"`
}

// Run simulates all policies on the same input.
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
	out.StartsPerSecond = float64(tasks) / c.Duration.Seconds()
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
				return &naiveScheduler{
					scheduler: naive.NewScheduler(naive.FirstFit, w),
				}
			},
		},
		{
			name: "naive-least-loaded",
			make: func(w []spoolsill.Worker) policy {
				return &naiveScheduler{
					scheduler: naive.NewScheduler(naive.LeastLoaded, w),
				}
			},
		},
		{
			name: "spoolsill",
			make: func(w []spoolsill.Worker) policy { return newPlaceScheduler(place.Config{}, w) },
		},
	} {
		r := simulate(in, p.make(in.workers), 1)
		r.Utilization = simulate(backlog, p.make(backlog.workers), 1).Utilization
		r.Name = p.name
		out.Policies = append(out.Policies, r)
	}
	out.Policies = append(out.Policies, upperBound(in, backlog, bound))
	return out
}

// upperBound returns an upper bound for all schedulers: a single worker with the total
// capacity, where ends are reported without delay, simulated separately for each kind of
// work.
func upperBound(in, backlog input, single []spoolsill.Worker) PolicyResult {
	p := PolicyResult{
		Name:   "bound",
		WaitMS: map[string]event.Quantiles{},
	}
	for _, k := range kindNames() {
		only := input{
			workers: single,
			end:     in.end,
		}
		for _, a := range in.arrivals {
			if workKindName(a.job) == k {
				only.arrivals = append(only.arrivals, a)
			}
		}
		r := simulate(only, &naiveScheduler{
			scheduler: naive.NewScheduler(naive.LeastLoaded, single),
		}, 0)
		p.WaitMS[k] = r.WaitMS[k]
	}
	backlog.workers = single
	p.Utilization = simulate(backlog, &naiveScheduler{
		scheduler: naive.NewScheduler(naive.LeastLoaded, single),
	}, 0).Utilization
	p.WorthInTime = 1
	return p
}

// simulate simulates one policy. delayFactor scales the delay with which ends are reported.
func simulate(in input, p policy, delayFactor float64) PolicyResult {
	s := &sim{
		in:          in,
		policy:      p,
		delayFactor: delayFactor,
		jobs:        map[spoolsill.JobID]*arrival{},
		running:     map[spoolsill.TaskID]*run{},
		firstStart:  map[spoolsill.TaskID]time.Duration{},
		failures:    map[spoolsill.TaskID]int{},
		used:        map[spoolsill.WorkerID]spoolsill.Resources{},
		waits:       map[string][]time.Duration{},
	}
	for _, w := range in.workers {
		s.total = s.total.Add(w.Capacity)
	}
	for _, a := range in.arrivals {
		// Copied since a checkpoint reduces the remaining run time.
		a.runtimes = append([]time.Duration(nil), a.runtimes...)
		s.loop.After(a.at, func() { s.arrive(&a) })
	}
	s.loop.Run(in.end)
	return s.result()
}

// A sim is the simulation of one policy.
type sim struct {
	in            input
	policy        policy
	delayFactor   float64
	loop          event.Loop
	jobs          map[spoolsill.JobID]*arrival
	running       map[spoolsill.TaskID]*run
	firstStart    map[spoolsill.TaskID]time.Duration // time of the first start
	failures      map[spoolsill.TaskID]int           // attempts on failing workers
	used          map[spoolsill.WorkerID]spoolsill.Resources
	total         spoolsill.Resources
	waits         map[string][]time.Duration
	decisionTimes []time.Duration
	decidePending bool
	report        PolicyResult

	totalWorth, worthInTime float64
	backlogCoreTime         float64 // millicore seconds in use while there was a backlog
	backlogTime             float64 // seconds
	lastChange              time.Duration
	processorsInUse         spoolsill.Millicores
	waiting                 int
}

// A run is one attempt of a task.
type run struct {
	start start
	began time.Duration
	ended bool
}

func (s *sim) arrive(a *arrival) {
	s.accountUsage()
	s.jobs[a.job.ID] = a
	s.waiting += a.job.Tasks
	s.totalWorth += float64(a.job.Worth)
	s.policy.submit(s.loop.Time(), a.job)
	if a.cancelAfter > 0 {
		s.loop.After(a.cancelAfter, func() { s.cancel(a) })
	}
	s.scheduleDecide()
}

func (s *sim) cancel(a *arrival) {
	s.policy.cancel(s.loop.Time(), a.job.ID)
	for i := range a.job.Tasks {
		id := spoolsill.TaskID{
			Job:   a.job.ID,
			Index: i,
		}
		if _, ok := s.firstStart[id]; !ok {
			s.waiting--
		}
		if r := s.running[id]; r != nil {
			s.endRun(r, place.Stopped)
		}
	}
	s.scheduleDecide()
}

// scheduleDecide schedules a decision after batchInterval, unless one is pending.
func (s *sim) scheduleDecide() {
	if s.decidePending {
		return
	}
	s.decidePending = true
	s.loop.After(batchInterval, s.decide)
}

// decide lets the policy decide and carries out its decisions. It decides again after a
// second at the latest.
func (s *sim) decide() {
	s.decidePending = false
	s.accountUsage()
	began := time.Now()
	starts, preempted := s.policy.decide(s.loop.Time())
	if took := time.Since(began); len(starts) > 0 {
		s.report.Decisions += len(starts)
		s.decisionTimes = append(s.decisionTimes, took/time.Duration(len(starts)))
	}
	for _, id := range preempted {
		if r := s.running[id]; r != nil {
			s.loop.After(checkpointTime, func() { s.checkpointed(r) })
		}
	}
	for _, st := range starts {
		s.startRun(st)
	}
	s.loop.After(time.Second, s.scheduleDecide)
}

func (s *sim) startRun(st start) {
	a := s.jobs[st.task.Job]
	if old := s.running[st.task]; old != nil {
		s.report.Violations++
	}
	r := &run{
		start: st,
		began: s.loop.Now(),
	}
	s.running[st.task] = r
	s.used[st.worker] = s.used[st.worker].Add(a.job.Shape)
	s.processorsInUse += a.job.Shape.Processors
	if w, ok := s.capacity(st.worker); !ok || !s.used[st.worker].FitsIn(w) {
		s.report.Violations++
	}
	if _, ok := s.firstStart[st.task]; !ok {
		s.firstStart[st.task] = s.loop.Now()
		s.waiting--
		s.waits[workKindName(a.job)] = append(s.waits[workKindName(a.job)], s.loop.Now()-a.at)
	}
	s.policy.report(s.loop.Time(), place.Report{
		Task:    st.task,
		Attempt: st.attempt,
		Outcome: place.Started,
	})
	if s.in.failing[st.worker] {
		s.failures[st.task]++
		s.loop.After(failureTime, func() { s.endRun(r, place.Failed) })
		return
	}
	s.loop.After(a.runtimes[st.task.Index], func() { s.endRun(r, place.Exited) })
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
	s.report.PreemptedCoreSeconds += cores * checkpointTime.Seconds()
	// The next attempt resumes from the checkpoint.
	a := s.jobs[r.start.task.Job]
	a.runtimes[r.start.task.Index] = max(a.runtimes[r.start.task.Index]-(s.loop.Now()-r.began), 50*time.Millisecond)
	s.endRun(r, place.Checkpointed)
}

// endRun ends a run on its worker and reports the outcome to the policy after a delay.
func (s *sim) endRun(r *run, outcome place.Outcome) {
	if r.ended {
		return
	}
	s.accountUsage()
	r.ended = true
	a := s.jobs[r.start.task.Job]
	s.used[r.start.worker] = s.used[r.start.worker].Sub(a.job.Shape)
	s.processorsInUse -= a.job.Shape.Processors
	delete(s.running, r.start.task)
	if outcome == place.Exited {
		s.creditWorth(a, r)
	}
	s.loop.After(s.reportDelay(r), func() {
		s.policy.report(s.loop.Time(), place.Report{
			Task:    r.start.task,
			Attempt: r.start.attempt,
			Outcome: outcome,
		})
		s.scheduleDecide()
	})
}

// reportDelay returns the delay with which the end of a run is reported. The delays are
// deterministic: the fractional parts of multiples of the golden ratio spread them evenly
// up to maxReportDelay.
func (s *sim) reportDelay(r *run) time.Duration {
	const goldenRatioConjugate = 0.6180339887
	x := goldenRatioConjugate * float64(r.start.task.Index+int(r.began/time.Millisecond))
	return time.Duration(float64(maxReportDelay) * s.delayFactor * (x - float64(int(x))))
}

// completionSlack is the maximum time from arrival to end, less the run time, for a task to
// count as in time. Tasks of patient jobs have no limit.
const completionSlack = 10 * time.Second

// creditWorth adds the task's share of its job's worth if the task ended in time.
func (s *sim) creditWorth(a *arrival, r *run) {
	i := r.start.task.Index
	share := float64(a.job.Worth) / float64(a.job.Tasks)
	delay := s.loop.Now() - a.at - a.runtimes[i]
	if a.job.Class == spoolsill.ClassPatient || delay <= completionSlack {
		s.worthInTime += share
	}
}

// accountUsage accumulates the processor time used since the last call if there is a
// backlog: more waiting tasks than a quarter of the workers or, for the upper bound, any
// waiting task.
func (s *sim) accountUsage() {
	d := (s.loop.Now() - s.lastChange).Seconds()
	s.lastChange = s.loop.Now()
	if s.waiting > len(s.in.workers)/4 || len(s.in.workers) == 1 && s.waiting > 0 {
		s.backlogCoreTime += d * float64(s.processorsInUse)
		s.backlogTime += d
	}
}

func (s *sim) result() PolicyResult {
	p := s.report
	p.WaitMS = map[string]event.Quantiles{}
	for _, k := range kindNames() {
		p.WaitMS[k] = event.QuantilesOf(s.waits[k])
	}
	q := event.QuantilesOf(s.decisionTimes)
	p.DecisionUS = event.Quantiles{
		Count: q.Count,
		P50:   q.P50 * 1000,
		P99:   q.P99 * 1000,
		P999:  q.P999 * 1000,
	}
	var sum time.Duration
	for _, d := range s.decisionTimes {
		sum += d
	}
	if sum > 0 {
		p.DecisionsPerSecond = float64(len(s.decisionTimes)) / sum.Seconds()
	}
	if s.backlogTime > 0 {
		p.Utilization = s.backlogCoreTime / s.backlogTime / float64(s.total.Processors)
	}
	if s.totalWorth > 0 {
		p.WorthInTime = s.worthInTime / s.totalWorth
	}
	p.Unstarted = s.waiting
	p.FailedTwice = s.failedTwice()
	return p
}

// failedTwice returns the fraction of started tasks with more than one attempt on a
// failing worker.
func (s *sim) failedTwice() float64 {
	n := 0
	for _, k := range s.failures {
		if k > 1 {
			n++
		}
	}
	return float64(n) / float64(max(len(s.firstStart), 1))
}

// String returns the name and wait times on one line.
func (p PolicyResult) String() string {
	return fmt.Sprintf("%s %v", p.Name, p.WaitMS)
}
