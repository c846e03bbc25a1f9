package cellbench

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// Accelerated returns a configuration with a few workers with accelerators. Some tasks need
// a quarter to all of a worker's accelerators, many need one.
func Accelerated(seed uint64, d time.Duration, load float64) Config {
	return Config{
		Seed:     seed,
		Duration: d,
		Hosts:    9,
		Pools: []Pool{
			{
				Service: "render",
				Workers: 13,
				Capacity: spoolsill.Resources{
					Processors:   64 * spoolsill.Core,
					Memory:       128 * spoolsill.GiB,
					Accelerators: 8,
				},
				Speeds: []float64{0.8, 1, 1.25},
			},
		},
		Kinds: []JobKind{
			largeKind(load),
			singleKind(load),
		},
	}
}

// Gangs returns a configuration whose load is mostly gangs, with patient and urgent jobs
// in addition.
func Gangs(seed uint64, d time.Duration, load float64) Config {
	return Config{
		Seed:     seed,
		Duration: d,
		Hosts:    7,
		Pools: []Pool{
			{
				Service: "quiz",
				Workers: 48,
				Capacity: spoolsill.Resources{
					Processors: 64 * spoolsill.Core,
					Memory:     128 * spoolsill.GiB,
				},
			},
		},
		Kinds: []JobKind{
			gangKind(load),
			patientKind(load),
			urgentKind(load),
		},
	}
}

// A Mix is a named workload mix. The load argument of Config scales the arrival rates.
type Mix struct {
	Name   string
	Config func(seed uint64, d time.Duration, load float64) Config
}

// Mixes returns all workload mixes.
func Mixes() []Mix {
	return []Mix{
		{
			Name:   "accelerated",
			Config: Accelerated,
		},
		{
			Name:   "gangs",
			Config: Gangs,
		},
	}
}

func advisor(base, perWorker time.Duration) *sched.Advisor {
	return &sched.Advisor{
		Base:      base,
		PerWorker: perWorker,
	}
}

// largeKind returns tasks that need half of a worker's cores and a quarter to all of its
// accelerators.
func largeKind(load float64) JobKind {
	return JobKind{
		Queue: sched.Queue{
			ID:          "large",
			Service:     "render",
			Priority:    1,
			MaxAttempts: 3,
			Stretch:     2.2,
			Goal:        time.Second,
			Advisor:     advisor(490*time.Millisecond, 7*time.Millisecond),
		},
		JobsPerSecond: 1.84 * load,
		Steps:         LogNormal{Mean: 1},
		Tasks:         LogNormal{Mean: 1.5, Sigma: 0.8, Max: 9},
		Work:          LogNormal{Mean: 3.6, Sigma: 0.5, Max: 9},
		Cores:         LogNormal{Mean: 31},
		Memory:        LogNormal{Mean: 45},
		Accelerators:  []int{2, 4, 8, 8},
		Saves:         0.9,
		EstimateOff:   0.2,
		Good:          0.3,
		FailureRate:   0.005,
		Worth:         3.25,
	}
}

// singleKind returns many tasks that need one accelerator each.
func singleKind(load float64) JobKind {
	return JobKind{
		Queue: sched.Queue{
			ID:          "single",
			Service:     "render",
			Priority:    2,
			MaxAttempts: 4,
			Stretch:     4,
			Goal:        time.Second,
			Advisor:     advisor(140*time.Millisecond, 2*time.Millisecond),
		},
		JobsPerSecond: 1.9 * load,
		Steps:         LogNormal{Mean: 1},
		Tasks:         LogNormal{Mean: 4.1, Sigma: 0.6, Max: 20},
		Work:          LogNormal{Mean: 3.8, Sigma: 0.5, Max: 9.4},
		Cores:         LogNormal{Mean: 5.6},
		Memory:        LogNormal{Mean: 11},
		Accelerators:  []int{1},
		Saves:         0.8,
		EstimateOff:   0.2,
		Good:          0.45,
		FailureRate:   0.005,
		Worth:         1.97,
	}
}

// gangKind returns gangs that use most of the cell.
func gangKind(load float64) JobKind {
	return JobKind{
		Queue: sched.Queue{
			ID:          "gang",
			Service:     "quiz",
			Priority:    1,
			MaxAttempts: 3,
			Stretch:     2.2,
			Goal:        time.Second,
			Advisor:     advisor(560*time.Millisecond, 8*time.Millisecond),
		},
		JobsPerSecond: 1.16 * load,
		Steps:         LogNormal{Mean: 1.2, Sigma: 0.4, Max: 3},
		Tasks:         LogNormal{Mean: 8, Sigma: 0.8, Max: 48},
		Work:          LogNormal{Mean: 6.2, Sigma: 0.5, Max: 16},
		Cores:         LogNormal{Mean: 18, Sigma: 0.4, Max: 30},
		Memory:        LogNormal{Mean: 26, Sigma: 0.5, Max: 52},
		GangShare:     1,
		Saves:         0.5,
		EstimateOff:   0.9,
		Good:          0.25,
		FailureRate:   0.005,
		Worth:         20,
	}
}

// patientKind returns jobs with many tasks and generous objectives.
func patientKind(load float64) JobKind {
	return JobKind{
		Queue: sched.Queue{
			ID:          "patient",
			Service:     "quiz",
			Priority:    2,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
			Advisor:     advisor(46*time.Millisecond, 660*time.Microsecond),
		},
		JobsPerSecond: 6.83 * load,
		Steps:         LogNormal{Mean: 1.5, Sigma: 0.4, Max: 3.8},
		Tasks:         LogNormal{Mean: 10, Sigma: 0.8, Max: 60},
		Work:          LogNormal{Mean: 2.2, Sigma: 0.5, Max: 5.4},
		Cores:         LogNormal{Mean: 3.9, Sigma: 0.45, Max: 12},
		Memory:        LogNormal{Mean: 7.2, Sigma: 0.6, Max: 22},
		Saves:         0.8,
		EstimateOff:   0.2,
		Good:          0.45,
		FailureRate:   0.005,
		Worth:         2.13,
	}
}

// urgentKind returns small jobs with tight objectives.
func urgentKind(load float64) JobKind {
	return JobKind{
		Queue: sched.Queue{
			ID:          "urgent",
			Service:     "quiz",
			Priority:    0,
			MaxAttempts: 3,
			Stretch:     1.5,
			Goal:        300 * time.Millisecond,
			Advisor:     advisor(6500*time.Microsecond, 93*time.Microsecond),
		},
		JobsPerSecond: 48 * load,
		Steps:         LogNormal{Mean: 1},
		Tasks:         LogNormal{Mean: 2, Sigma: 0.8, Max: 12},
		Work:          LogNormal{Mean: 0.64, Sigma: 0.5, Max: 1.6},
		Cores:         LogNormal{Mean: 5.6, Sigma: 0.45, Max: 17},
		Memory:        LogNormal{Mean: 10, Sigma: 0.6, Max: 31},
		GangShare:     0.3,
		EstimateOff:   0.5,
		Good:          0.7,
		FailureRate:   0.005,
		Worth:         0.42,
	}
}
