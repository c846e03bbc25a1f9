package placebench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
)

// An arrival is a job with its arrival time and the actual run time of each of its
// tasks.
type arrival struct {
	at          time.Duration
	job         spoolsill.Job
	runtimes    []time.Duration
	cancelAfter time.Duration // time from arrival to cancellation; 0 means never
}

// An input is the workload and the workers, the same for all policies.
type input struct {
	workers  []spoolsill.Worker
	failing  map[spoolsill.WorkerID]bool
	arrivals []arrival
	end      time.Duration
}

// workerCapacity is the capacity of each worker, that of the planned deployments.
var workerCapacity = spoolsill.Resources{
	Processors: 64 * spoolsill.Core,
	Memory:     128 * spoolsill.GiB,
}

// rackSize is the number of workers in a rack.
const rackSize = 8

func makeWorkers(n int) []spoolsill.Worker {
	var out []spoolsill.Worker
	for i := range n {
		out = append(out, spoolsill.Worker{
			ID:       spoolsill.WorkerID(fmt.Sprintf("w%04d", i)),
			Rack:     spoolsill.RackID(fmt.Sprintf("r%03d", i/rackSize)),
			Capacity: workerCapacity,
		})
	}
	return out
}

// A workKind describes one kind of work in the workload mix. weight is its fraction of
// all jobs; tasks and cores are inclusive ranges.
type workKind struct {
	name         string
	weight       float64
	kind         spoolsill.Kind
	class        spoolsill.Class
	tasks        [2]int
	cores        [2]int
	meanRuntime  time.Duration
	runtimeSigma float64 // of the log-normal distribution of run times
}

var workloadMix = []workKind{
	{
		name:         "urgent",
		weight:       0.20,
		kind:         spoolsill.KindBatch,
		class:        spoolsill.ClassUrgent,
		tasks:        [2]int{1, 2},
		cores:        [2]int{1, 4},
		meanRuntime:  4 * time.Second,
		runtimeSigma: 0.8,
	},
	{
		name:         "service",
		weight:       0.02,
		kind:         spoolsill.KindService,
		class:        spoolsill.ClassNormal,
		tasks:        [2]int{2, 6},
		cores:        [2]int{1, 4},
		meanRuntime:  10 * time.Minute,
		runtimeSigma: 0.5,
	},
	{
		name:         "gang",
		weight:       0.04,
		kind:         spoolsill.KindGang,
		class:        spoolsill.ClassNormal,
		tasks:        [2]int{4, 16},
		cores:        [2]int{4, 16},
		meanRuntime:  20 * time.Second,
		runtimeSigma: 1.0,
	},
	{
		name:         "batch",
		weight:       0.74,
		kind:         spoolsill.KindBatch,
		class:        spoolsill.ClassPatient,
		tasks:        [2]int{1, 12},
		cores:        [2]int{1, 12},
		meanRuntime:  15 * time.Second,
		runtimeSigma: 1.4,
	},
}

// kindNames returns the names of all kinds of work.
func kindNames() []string {
	var out []string
	for _, k := range workloadMix {
		out = append(out, k.name)
	}
	return out
}

// workKindName returns the name of a job's kind of work.
func workKindName(j spoolsill.Job) string {
	for _, k := range workloadMix {
		if k.kind == j.Kind && k.class == j.Class {
			return k.name
		}
	}
	return "batch"
}

// uniformInt returns a uniformly distributed number in the inclusive range b.
func uniformInt(r *rand.Rand, b [2]int) int {
	return b[0] + r.IntN(b[1]-b[0]+1)
}

// newJob draws a job and the run times of its tasks.
func (k workKind) newJob(r *rand.Rand, n int) (spoolsill.Job, []time.Duration) {
	cores := uniformInt(r, k.cores)
	j := spoolsill.Job{
		ID:    spoolsill.JobID(fmt.Sprintf("%s-%06d", k.name, n)),
		Team:  spoolsill.TeamID(fmt.Sprintf("team-%02d", int(math.Sqrt(float64(r.IntN(400)))))),
		Kind:  k.kind,
		Class: k.class,
		Tasks: uniformInt(r, k.tasks),
		Worth: 1 + r.IntN(9),
		Shape: spoolsill.Resources{
			Processors: spoolsill.Millicores(cores) * spoolsill.Core,
			Memory:     spoolsill.Bytes(1+r.IntN(2*cores)) * spoolsill.GiB,
		},
	}
	jobRuntime := time.Duration(float64(k.meanRuntime) * math.Exp(k.runtimeSigma*r.NormFloat64()-k.runtimeSigma*k.runtimeSigma/2))
	// The declared run time is too long or too short by a factor of up to ten.
	if k.kind != spoolsill.KindService {
		j.Runtime = max(time.Duration(float64(jobRuntime)*math.Pow(10, 2*r.Float64()-1)), 10*time.Millisecond)
	}
	var taskRuntimes []time.Duration
	for range j.Tasks {
		d := time.Duration(float64(jobRuntime) * (0.8 + 0.4*r.Float64()))
		taskRuntimes = append(taskRuntimes, min(max(d, 50*time.Millisecond), 30*time.Minute))
	}
	return j, taskRuntimes
}

// makeInput draws jobs that load the workers to c.Load for c.Duration, including the
// services that already run at the start.
func makeInput(c Config) input {
	r := rand.New(rand.NewPCG(c.Seed, 11))
	in := input{
		workers: makeWorkers(c.Workers),
		failing: map[spoolsill.WorkerID]bool{},
		end:     c.Duration,
	}
	for i := range int(float64(c.Workers) * c.Failing) {
		in.failing[in.workers[(i*37+11)%c.Workers].ID] = true
	}
	total := float64(c.Workers) * float64(workerCapacity.Processors)
	gap := time.Duration(float64(time.Second) * coreSecondsPerJob(c.Seed) / (total / float64(spoolsill.Core) * c.Load))
	n := in.addRunningServices(r, gap)
	for at := time.Duration(0); at < c.Duration; at += time.Duration(r.ExpFloat64() * float64(gap)) {
		n++
		k := randomKind(r)
		j, taskRuntimes := k.newJob(r, n)
		x := arrival{
			at:       at,
			job:      j,
			runtimes: taskRuntimes,
		}
		in.arrivals = append(in.arrivals, x)
	}
	in.addBulkCancel(c)
	return in
}

// addRunningServices adds the services that would be running in the steady state as
// arrivals at time zero, with their remaining run times. It returns their number.
func (p *input) addRunningServices(r *rand.Rand, gap time.Duration) int {
	n := 0
	for _, k := range workloadMix {
		if k.kind != spoolsill.KindService {
			continue
		}
		for range int(k.weight * float64(k.meanRuntime) / float64(gap)) {
			n++
			j, taskRuntimes := k.newJob(r, n)
			for i := range taskRuntimes {
				taskRuntimes[i] = max(time.Duration(r.Float64()*float64(taskRuntimes[i])), time.Second)
			}
			p.arrivals = append(p.arrivals, arrival{
				job:      j,
				runtimes: taskRuntimes,
			})
		}
	}
	return n
}

// addBulkCancel cancels jobs in the middle of the run: about half of the patient jobs that
// arrived in the preceding twentieth of the run.
func (p *input) addBulkCancel(c Config) {
	cancelTime := c.Duration / 2
	for i := range p.arrivals {
		a := &p.arrivals[i]
		if a.job.Class == spoolsill.ClassPatient && a.at < cancelTime && a.at > cancelTime-c.Duration/20 && i%2 == 0 {
			a.cancelAfter = cancelTime - a.at
		}
	}
}

// randomKind draws a kind of work by weight.
func randomKind(r *rand.Rand) workKind {
	x := r.Float64()
	for _, k := range workloadMix {
		if x < k.weight {
			return k
		}
		x -= k.weight
	}
	return workloadMix[len(workloadMix)-1]
}

// coreSecondsPerJob estimates the mean core seconds of a job of the mix from a sample.
func coreSecondsPerJob(seed uint64) float64 {
	const sample = 20_000
	r := rand.New(rand.NewPCG(seed, 13))
	sum := 0.0
	for i := range sample {
		j, taskRuntimes := randomKind(r).newJob(r, i)
		for _, d := range taskRuntimes {
			sum += d.Seconds() * float64(j.Shape.Processors) / float64(spoolsill.Core)
		}
	}
	return sum / sample
}

// maxBacklogWorkers limits the number of workers of the backlog run, since the baseline
// schedulers scan all workers for each waiting task.
const maxBacklogWorkers = 110

// makeBacklog draws a large backlog of batch jobs of many shapes that all arrive at time
// zero.
func makeBacklog(c Config) input {
	c.Workers = min(c.Workers, maxBacklogWorkers)
	r := rand.New(rand.NewPCG(c.Seed, 17))
	in := input{
		workers: makeWorkers(c.Workers),
		failing: map[spoolsill.WorkerID]bool{},
		end:     time.Hour,
	}
	k := workloadMix[len(workloadMix)-1]
	k.cores = [2]int{1, 40}
	k.runtimeSigma = 0.7
	for n := range c.Workers * 6 {
		j, taskRuntimes := k.newJob(r, n)
		in.arrivals = append(in.arrivals, arrival{
			job:      j,
			runtimes: taskRuntimes,
		})
	}
	return in
}
