package cellbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A LogNormal is a log-normal distribution, capped at Max unless that is zero.
type LogNormal struct {
	Mean  float64
	Sigma float64
	Max   float64
}

func (d LogNormal) sample(r *rand.Rand) float64 {
	x := d.Mean * math.Exp(d.Sigma*r.NormFloat64()-d.Sigma*d.Sigma/2)
	if d.Max > 0 {
		x = min(x, d.Max)
	}
	return x
}

// A JobKind describes the jobs of one queue.
type JobKind struct {
	Queue sched.Queue
	// JobsPerSecond is the number of jobs that arrive per second.
	JobsPerSecond float64
	// Steps is the number of steps of a job, which run in sequence. Tasks is the number of
	// tasks of a step.
	Steps LogNormal
	Tasks LogNormal
	// Work is the mean run time of the tasks of a step, in seconds.
	Work LogNormal
	// Cores and Memory, in GiB, are the needs of a task. Accelerators lists the possible
	// numbers of accelerators of a task; nil means none.
	Cores        LogNormal
	Memory       LogNormal
	Accelerators []int
	// GangShare is the fraction of jobs that are gangs.
	GangShare float64
	// Saves is the fraction of jobs whose tasks save checkpoints.
	Saves float64
	// EstimateOff is the maximum relative error of run time estimates.
	EstimateOff float64
	// Good is the fraction of workers that the advisor allows.
	Good float64
	// FailureRate is the fraction of runs that fail.
	FailureRate float64
	// Worth is the worth of a job of mean load that completes in time.
	Worth float64
}

// A Pool describes the workers of one service.
type Pool struct {
	Service  spoolsill.ServiceID
	Workers  int
	Capacity spoolsill.Resources
	// Speeds lists factors by which run times are multiplied, assigned to the workers in
	// turn; nil means 1.
	Speeds []float64
}

// An arrival is a job with its arrival time and the actual run time of each task.
type arrival struct {
	at   time.Duration
	kind *JobKind
	job  sched.Job
	work [][]time.Duration
	// load is the job's work in core seconds, with an accelerator counted as
	// acceleratorCores.
	load float64
}

// acceleratorCores is the number of cores that one accelerator counts as.
const acceleratorCores = 8

// arrivals draws the jobs of all kinds as Poisson processes.
func arrivals(c Config, r *rand.Rand) []arrival {
	var out []arrival
	for i := range c.Kinds {
		k := &c.Kinds[i]
		for at := 0.0; ; {
			at += r.ExpFloat64() / k.JobsPerSecond
			if at > c.Duration.Seconds() {
				break
			}
			out = append(out, k.arrival(r, seconds(at), len(out)))
		}
	}
	return out
}

// arrival draws job n of a kind.
func (k *JobKind) arrival(r *rand.Rand, at time.Duration, n int) arrival {
	a := arrival{
		at:   at,
		kind: k,
		job: sched.Job{
			ID:    spoolsill.JobID(fmt.Sprintf("%016x", n)),
			Queue: k.Queue.ID,
		},
	}
	gang := r.Float64() < k.GangShare
	saves := r.Float64() < k.Saves
	need := k.need(r)
	for i := range atLeastOne(k.Steps.sample(r)) {
		s := sched.Step{
			Tasks:       atLeastOne(k.Tasks.sample(r)),
			Need:        need,
			Gang:        gang,
			Checkpoints: saves,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		mean := k.Work.sample(r)
		s.Estimate = seconds(mean * (1 + k.EstimateOff*(2*r.Float64()-1)))
		work := make([]time.Duration, s.Tasks)
		for j := range work {
			work[j] = seconds(mean * (1 + taskTimeVariation*(2*r.Float64()-1)))
			a.load += work[j].Seconds() * equivalentCores(need)
		}
		a.job.Steps = append(a.job.Steps, s)
		a.work = append(a.work, work)
	}
	return a
}

// taskTimeVariation is the maximum relative difference of a task's run time from the mean
// of its step.
const taskTimeVariation = 0.3

// need draws the resources that each task of a job needs.
func (k *JobKind) need(r *rand.Rand) spoolsill.Resources {
	n := spoolsill.Resources{
		Processors: spoolsill.Millicores(k.Cores.sample(r) * float64(spoolsill.Core)),
		Memory:     spoolsill.Bytes(k.Memory.sample(r) * float64(spoolsill.GiB)),
	}
	if len(k.Accelerators) > 0 {
		n.Accelerators = spoolsill.Accelerators(k.Accelerators[r.IntN(len(k.Accelerators))])
	}
	return n
}

// equivalentCores returns the number of cores of n, with accelerators converted to cores.
func equivalentCores(n spoolsill.Resources) float64 {
	return float64(n.Processors)/float64(spoolsill.Core) + acceleratorCores*float64(n.Accelerators)
}

// criticalPath returns the run time of the job's critical path: the sum over its steps of
// the longest task.
func (a *arrival) criticalPath() time.Duration {
	var sum time.Duration
	for _, step := range a.work {
		var longest time.Duration
		for _, w := range step {
			longest = max(longest, w)
		}
		sum += longest
	}
	return sum
}

func atLeastOne(x float64) int {
	return max(int(math.Round(x)), 1)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
