package placebench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
)

// An arrival is a job that comes at a time, with how long each of its tasks
// really runs.
type arrival struct {
	at      time.Duration
	job     spoolsill.Job
	runtime []time.Duration
	cancel  time.Duration // after its arrival; 0: never
}

// An input is what all policies get.
type input struct {
	workers  []spoolsill.Worker
	failing  map[spoolsill.WorkerID]bool
	arrivals []arrival
	end      time.Duration
}

// capacity of a worker, as in the brief's deployments.
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

// A kind of work in the mix: its share of the jobs, tasks, cores and mean run
// time.
type workKind struct {
	name   string
	weight float64
	kind   spoolsill.Kind
	class  spoolsill.Class
	tasks  [2]int
	cores  [2]int
	mean   time.Duration
	sigma  float64 // of the log-normal run time
}

var mix = []workKind{
	{
		name:   "urgent",
		weight: 0.20,
		kind:   spoolsill.KindBatch,
		class:  spoolsill.ClassUrgent,
		tasks:  [2]int{1, 2},
		cores:  [2]int{1, 4},
		mean:   4 * time.Second,
		sigma:  0.8,
	},
	{
		name:   "service",
		weight: 0.02,
		kind:   spoolsill.KindService,
		class:  spoolsill.ClassNormal,
		tasks:  [2]int{2, 6},
		cores:  [2]int{1, 4},
		mean:   10 * time.Minute,
		sigma:  0.5,
	},
	{
		name:   "gang",
		weight: 0.04,
		kind:   spoolsill.KindGang,
		class:  spoolsill.ClassNormal,
		tasks:  [2]int{4, 16},
		cores:  [2]int{4, 16},
		mean:   20 * time.Second,
		sigma:  1.0,
	},
	{
		name:   "batch",
		weight: 0.74,
		kind:   spoolsill.KindBatch,
		class:  spoolsill.ClassPatient,
		tasks:  [2]int{1, 12},
		cores:  [2]int{1, 12},
		mean:   15 * time.Second,
		sigma:  1.4,
	},
}

// names returns the kinds of work, for reports.
func names() []string {
	var out []string
	for _, k := range mix {
		out = append(out, k.name)
	}
	return out
}

// kindOf returns the name of the kind of work of a job.
func kindOf(j spoolsill.Job) string {
	for _, k := range mix {
		if k.kind == j.Kind && k.class == j.Class {
			return k.name
		}
	}
	return "batch"
}

func between(r *rand.Rand, b [2]int) int {
	return b[0] + r.IntN(b[1]-b[0]+1)
}

// job draws one job of a kind of work.
func (k workKind) job(r *rand.Rand, n int) (spoolsill.Job, []time.Duration) {
	cores := between(r, k.cores)
	j := spoolsill.Job{
		ID:    spoolsill.JobID(fmt.Sprintf("%s-%06d", k.name, n)),
		Team:  spoolsill.TeamID(fmt.Sprintf("team-%02d", int(math.Sqrt(float64(r.IntN(400)))))),
		Kind:  k.kind,
		Class: k.class,
		Tasks: between(r, k.tasks),
		Worth: 1 + r.IntN(9),
		Shape: spoolsill.Resources{
			Processors: spoolsill.Millicores(cores) * spoolsill.Core,
			Memory:     spoolsill.Bytes(1+r.IntN(2*cores)) * spoolsill.GiB,
		},
	}
	typical := time.Duration(float64(k.mean) * math.Exp(k.sigma*r.NormFloat64()-k.sigma*k.sigma/2))
	// Declarations are wrong by up to ten times, both ways.
	if k.kind != spoolsill.KindService {
		j.Runtime = max(time.Duration(float64(typical)*math.Pow(10, 2*r.Float64()-1)), 10*time.Millisecond)
	}
	var runs []time.Duration
	for range j.Tasks {
		d := time.Duration(float64(typical) * (0.8 + 0.4*r.Float64()))
		runs = append(runs, min(max(d, 50*time.Millisecond), 30*time.Minute))
	}
	return j, runs
}

// makeInput draws the jobs that fill workers to a load for some time. Services
// that run already at the start hold their share.
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
		k := pick(r)
		j, runs := k.job(r, n)
		x := arrival{
			at:      at,
			job:     j,
			runtime: runs,
		}
		in.arrivals = append(in.arrivals, x)
	}
	in.addCancelWave(c)
	return in
}

// addRunningServices has those services arrive at once that would run already
// in the steady state, with what is left of their run times. It returns their
// number.
func (in *input) addRunningServices(r *rand.Rand, gap time.Duration) int {
	n := 0
	for _, k := range mix {
		if k.kind != spoolsill.KindService {
			continue
		}
		for range int(k.weight * float64(k.mean) / float64(gap)) {
			n++
			j, runs := k.job(r, n)
			for i := range runs {
				runs[i] = max(time.Duration(r.Float64()*float64(runs[i])), time.Second)
			}
			in.arrivals = append(in.arrivals, arrival{
				job:     j,
				runtime: runs,
			})
		}
	}
	return n
}

// addCancelWave has a share of the patient jobs of the last seconds cancelled
// at once in the middle of the run.
func (in *input) addCancelWave(c Config) {
	wave := c.Duration / 2
	for i := range in.arrivals {
		a := &in.arrivals[i]
		if a.job.Class == spoolsill.ClassPatient && a.at < wave && a.at > wave-c.Duration/20 && i%2 == 0 {
			a.cancel = wave - a.at
		}
	}
}

func pick(r *rand.Rand) workKind {
	x := r.Float64()
	for _, k := range mix {
		if x < k.weight {
			return k
		}
		x -= k.weight
	}
	return mix[len(mix)-1]
}

// coreSecondsPerJob returns the mean work of a job of the mix, from a sample.
func coreSecondsPerJob(seed uint64) float64 {
	const sample = 20_000
	r := rand.New(rand.NewPCG(seed, 13))
	sum := 0.0
	for i := range sample {
		j, runs := pick(r).job(r, i)
		for _, d := range runs {
			sum += d.Seconds() * float64(j.Shape.Processors) / float64(spoolsill.Core)
		}
	}
	return sum / sample
}

// backlogWorkers bounds the workers of the packing run: the plain schedulers
// look at every worker for every waiting task.
const backlogWorkers = 110

// makeBacklog draws a large batch that waits at the start, of many shapes.
func makeBacklog(c Config) input {
	c.Workers = min(c.Workers, backlogWorkers)
	r := rand.New(rand.NewPCG(c.Seed, 17))
	in := input{
		workers: makeWorkers(c.Workers),
		failing: map[spoolsill.WorkerID]bool{},
		end:     time.Hour,
	}
	k := mix[len(mix)-1]
	k.cores = [2]int{1, 40}
	k.sigma = 0.7
	for n := range c.Workers * 6 {
		j, runs := k.job(r, n)
		in.arrivals = append(in.arrivals, arrival{
			job:     j,
			runtime: runs,
		})
	}
	return in
}
