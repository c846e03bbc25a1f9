package cellbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// A Spread is a log-normal quantity.
type Spread struct {
	Mean  float64
	Sigma float64
	Most  float64
}

func (s Spread) draw(r *rand.Rand) float64 {
	x := s.Mean * math.Exp(s.Sigma*r.NormFloat64()-s.Sigma*s.Sigma/2)
	if s.Most > 0 {
		x = min(x, s.Most)
	}
	return x
}

// A Kind is one kind of job.
type Kind struct {
	Queue sched.Queue
	// Rate is how many jobs come a second.
	Rate float64
	// Steps run one after the other, Tasks are those of one step.
	Steps Spread
	Tasks Spread
	// Work is how long a task runs, in seconds.
	Work Spread
	// Cores of a task; Memory in GiB; Accelerators has the numbers to choose
	// from, nil means none.
	Cores        Spread
	Memory       Spread
	Accelerators []int
	// Gang is the share of jobs whose tasks run together.
	Gang float64
	// Saves is the share of jobs whose workers save their progress.
	Saves float64
	// EstimateOff is by which share an estimate is off at most.
	EstimateOff float64
	// Good is the share of workers that the advisor allows.
	Good float64
	// Fails is the share of runs that fail.
	Fails float64
	// Worth is what a job of mean work earns when it is in time.
	Worth float64
}

// A Pool is the workers of one service.
type Pool struct {
	Service  spoolsill.ServiceID
	Workers  int
	Capacity spoolsill.Resources
	// Speeds has the factors on run times to choose from; nil means 1.
	Speeds []float64
}

// An arrival is a job that comes at a time, with how long each task really runs.
type arrival struct {
	at   time.Duration
	kind *Kind
	job  sched.Job
	work [][]time.Duration
	// load is the job's core seconds, an accelerator counted as eight cores.
	load float64
}

// acceleratorCores is how many cores an accelerator counts for in a job's load.
const acceleratorCores = 8

func arrivals(c Config, r *rand.Rand) []arrival {
	var out []arrival
	for i := range c.Kinds {
		k := &c.Kinds[i]
		for at := 0.0; ; {
			at += r.ExpFloat64() / k.Rate
			if at > c.Duration.Seconds() {
				break
			}
			out = append(out, k.arrival(r, seconds(at), len(out)))
		}
	}
	return out
}

func (k *Kind) arrival(r *rand.Rand, at time.Duration, n int) arrival {
	a := arrival{
		at:   at,
		kind: k,
		job: sched.Job{
			ID:    spoolsill.JobID(fmt.Sprintf("%016x", n)),
			Queue: k.Queue.ID,
		},
	}
	gang := r.Float64() < k.Gang
	saves := r.Float64() < k.Saves
	need := k.need(r)
	for i := range atLeastOne(k.Steps.draw(r)) {
		s := sched.Step{
			Tasks:       atLeastOne(k.Tasks.draw(r)),
			Need:        need,
			Gang:        gang,
			Checkpoints: saves,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		mean := k.Work.draw(r)
		s.Estimate = seconds(mean * (1 + k.EstimateOff*(2*r.Float64()-1)))
		work := make([]time.Duration, s.Tasks)
		for j := range work {
			work[j] = seconds(mean * (1 + uneven*(2*r.Float64()-1)))
			a.load += work[j].Seconds() * coresOf(need)
		}
		a.job.Steps = append(a.job.Steps, s)
		a.work = append(a.work, work)
	}
	return a
}

// uneven is by which share tasks of one step differ.
const uneven = 0.3

func (k *Kind) need(r *rand.Rand) spoolsill.Resources {
	n := spoolsill.Resources{
		Processors: spoolsill.Millicores(k.Cores.draw(r) * float64(spoolsill.Core)),
		Memory:     spoolsill.Bytes(k.Memory.draw(r) * float64(spoolsill.GiB)),
	}
	if len(k.Accelerators) > 0 {
		n.Accelerators = spoolsill.Accelerators(k.Accelerators[r.IntN(len(k.Accelerators))])
	}
	return n
}

func coresOf(n spoolsill.Resources) float64 {
	return float64(n.Processors)/float64(spoolsill.Core) + acceleratorCores*float64(n.Accelerators)
}

// chain is how long the longest chain of a job's work takes.
func (a *arrival) chain() time.Duration {
	var sum time.Duration
	for _, step := range a.work {
		var most time.Duration
		for _, w := range step {
			most = max(most, w)
		}
		sum += most
	}
	return sum
}

func atLeastOne(x float64) int {
	return max(int(math.Round(x)), 1)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
