package cellbench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/sched"
)

// A Config describes a measurement.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Hosts is how many can ask the advisor, each one question at a time.
	Hosts int
	Pools []Pool
	Kinds []Kind
}

// A KindResult tells what became of the jobs of one kind.
type KindResult struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// Worth is the share of what its jobs could earn; InTime, Late and
	// Unserved are shares of its jobs.
	Worth    float64         `json:"worth"`
	InTime   float64         `json:"in_time"`
	Late     float64         `json:"late"`
	Unserved float64         `json:"unserved"`
	TookMS   event.Quantiles `json:"took_ms"`
}

// A Result is a measurement.
type Result struct {
	Mix   string       `json:"mix"`
	Seed  uint64       `json:"seed"`
	Kinds []KindResult `json:"kinds"`
	// Worth is the share of what all jobs could earn.
	Worth  float64  `json:"worth"`
	Starts int      `json:"starts"`
	Stops  int      `json:"stops"`
	Broken []string `json:"broken"`
}

// Run measures. The same Config gives the same Result.
func Run(c Config) Result {
	x := newCell(c)
	as := arrivals(c, rand.New(rand.NewPCG(c.Seed, 0)))
	x.report.owe(as)
	x.run(as)
	r := x.report.result()
	r.Seed = c.Seed
	r.Starts = x.starts
	r.Stops = x.stops
	r.Broken = x.broken
	return r
}

// A tally counts what jobs earn.
type tally struct {
	config Config
	mean   map[sched.QueueID]float64 // load of a job
	owed   map[sched.QueueID]float64
	earned map[sched.QueueID]float64
	jobs   map[sched.QueueID]int
	inTime map[sched.QueueID]int
	late   map[sched.QueueID]int
	took   map[sched.QueueID][]time.Duration
}

func newTally(c Config) *tally {
	return &tally{
		config: c,
		mean:   map[sched.QueueID]float64{},
		owed:   map[sched.QueueID]float64{},
		earned: map[sched.QueueID]float64{},
		jobs:   map[sched.QueueID]int{},
		inTime: map[sched.QueueID]int{},
		late:   map[sched.QueueID]int{},
		took:   map[sched.QueueID][]time.Duration{},
	}
}

// owe takes in all jobs that will come.
func (t *tally) owe(as []arrival) {
	for i := range as {
		t.mean[as[i].job.Queue] += as[i].load
		t.jobs[as[i].job.Queue]++
	}
	for q, n := range t.jobs {
		t.mean[q] /= float64(n)
	}
	for i := range as {
		t.owed[as[i].job.Queue] += t.worth(&as[i])
	}
}

const (
	// baseWorth is the part of a job's worth that does not grow with its work;
	// mostWorth bounds it.
	baseWorth = 0.3
	mostWorth = 4
	// lateWorth is what a job earns that is late, up to lateFactor times its
	// objective.
	lateWorth  = 0.2
	lateFactor = 3
)

func (t *tally) worth(a *arrival) float64 {
	return a.kind.Worth * min(baseWorth+(1-baseWorth)*a.load/t.mean[a.job.Queue], mostWorth)
}

func (t *tally) ended(a *arrival, s sched.JobState, took time.Duration) {
	q := a.job.Queue
	t.took[q] = append(t.took[q], took)
	if s != sched.Completed {
		return
	}
	objective := time.Duration(a.kind.Queue.Stretch*float64(a.chain())) + a.kind.Queue.Goal
	switch {
	case took <= objective:
		t.inTime[q]++
		t.earned[q] += t.worth(a)
	case took <= lateFactor*objective:
		t.late[q]++
		t.earned[q] += lateWorth * t.worth(a)
	}
}

func (t *tally) result() Result {
	var r Result
	var owed, earned float64
	for _, k := range t.config.Kinds {
		q := k.Queue.ID
		n := max(float64(t.jobs[q]), 1)
		x := KindResult{
			Name:   string(q),
			Jobs:   t.jobs[q],
			Worth:  t.earned[q] / max(t.owed[q], 1e-9),
			InTime: float64(t.inTime[q]) / n,
			Late:   float64(t.late[q]) / n,
			TookMS: event.QuantilesOf(t.took[q]),
		}
		x.Unserved = 1 - x.InTime - x.Late
		r.Kinds = append(r.Kinds, x)
		owed += t.owed[q]
		earned += t.earned[q]
	}
	r.Worth = earned / max(owed, 1e-9)
	slices.SortFunc(r.Kinds, func(a, b KindResult) int { return cmp.Compare(a.Name, b.Name) })
	return r
}
