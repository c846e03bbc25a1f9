package cellbench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/sched"
)

// A Config describes a simulation.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Hosts is the number of hosts. Each sends at most one query to the advisor at a time.
	Hosts int
	Pools []Pool
	Kinds []JobKind
}

// A KindResult holds the outcomes of the jobs of one kind.
type KindResult struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// Worth is the earned fraction of the total worth of the jobs. InTime, Late and
	// NotServed are fractions of the jobs.
	Worth     float64         `json:"worth"`
	InTime    float64         `json:"in_time"`
	Late      float64         `json:"late"`
	NotServed float64         `json:"unserved"`
	TookMS    event.Quantiles `json:"took_ms"`
}

// A Result holds the outcomes of a simulation.
type Result struct {
	Mix   string       `json:"mix"`
	Seed  uint64       `json:"seed"`
	Kinds []KindResult `json:"kinds"`
	// Worth is the earned fraction of the total worth of all jobs.
	Worth      float64  `json:"worth"`
	Starts     int      `json:"starts"`
	Stops      int      `json:"stops"`
	Violations []string `json:"broken"`
}

// Run runs a simulation. It is deterministic.
func Run(c Config) Result {
	x := newCell(c)
	as := arrivals(c, rand.New(rand.NewPCG(c.Seed, 0)))
	x.report.addExpected(as)
	x.run(as)
	r := x.report.result()
	r.Seed = c.Seed
	r.Starts = x.starts
	r.Stops = x.stops
	r.Violations = x.violations
	return r
}

// A tally accumulates the worth and the outcomes of jobs by queue.
type tally struct {
	config        Config
	meanLoad      map[sched.QueueID]float64 // mean load of the jobs
	possibleWorth map[sched.QueueID]float64
	earnedWorth   map[sched.QueueID]float64
	jobs          map[sched.QueueID]int
	inTime        map[sched.QueueID]int
	late          map[sched.QueueID]int
	took          map[sched.QueueID][]time.Duration
}

func newTally(c Config) *tally {
	return &tally{
		config:        c,
		meanLoad:      map[sched.QueueID]float64{},
		possibleWorth: map[sched.QueueID]float64{},
		earnedWorth:   map[sched.QueueID]float64{},
		jobs:          map[sched.QueueID]int{},
		inTime:        map[sched.QueueID]int{},
		late:          map[sched.QueueID]int{},
		took:          map[sched.QueueID][]time.Duration{},
	}
}

// addExpected adds all jobs of the simulation, before it starts.
func (t *tally) addExpected(as []arrival) {
	for i := range as {
		t.meanLoad[as[i].job.Queue] += as[i].load
		t.jobs[as[i].job.Queue]++
	}
	for q, n := range t.jobs {
		t.meanLoad[q] /= float64(n)
	}
	for i := range as {
		t.possibleWorth[as[i].job.Queue] += t.worth(&as[i])
	}
}

const (
	// baseWorth is the fraction of a mean job's worth that does not depend on its load;
	// maxWorthFactor limits the worth as a multiple of a mean job's.
	baseWorth      = 0.3
	maxWorthFactor = 4
	// lateWorthShare is the fraction of its worth that a late job earns if it ends within
	// lateFactor times its objective.
	lateWorthShare = 0.2
	lateFactor     = 3
)

// worth returns the worth of a job that completes in time.
func (t *tally) worth(a *arrival) float64 {
	return a.kind.Worth * min(baseWorth+(1-baseWorth)*a.load/t.meanLoad[a.job.Queue], maxWorthFactor)
}

// recordEnd records the end of a job and credits its worth if it completed.
func (t *tally) recordEnd(a *arrival, s sched.JobState, took time.Duration) {
	q := a.job.Queue
	t.took[q] = append(t.took[q], took)
	if s != sched.Completed {
		return
	}
	objective := time.Duration(a.kind.Queue.Stretch*float64(a.criticalPath())) + a.kind.Queue.Goal
	switch {
	case took <= objective:
		t.inTime[q]++
		t.earnedWorth[q] += t.worth(a)
	case took <= lateFactor*objective:
		t.late[q]++
		t.earnedWorth[q] += lateWorthShare * t.worth(a)
	}
}

func (t *tally) result() Result {
	var r Result
	var possible, earned float64
	for _, k := range t.config.Kinds {
		q := k.Queue.ID
		n := max(float64(t.jobs[q]), 1)
		x := KindResult{
			Name:   string(q),
			Jobs:   t.jobs[q],
			Worth:  t.earnedWorth[q] / max(t.possibleWorth[q], 1e-9),
			InTime: float64(t.inTime[q]) / n,
			Late:   float64(t.late[q]) / n,
			TookMS: event.QuantilesOf(t.took[q]),
		}
		x.NotServed = 1 - x.InTime - x.Late
		r.Kinds = append(r.Kinds, x)
		possible += t.possibleWorth[q]
		earned += t.earnedWorth[q]
	}
	r.Worth = earned / max(possible, 1e-9)
	slices.SortFunc(r.Kinds, func(a, b KindResult) int { return cmp.Compare(a.Name, b.Name) })
	return r
}
