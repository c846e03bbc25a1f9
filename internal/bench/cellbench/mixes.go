package cellbench

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// Accelerated returns a pool of a few workers with accelerators, with load from large
// tasks that need a quarter to all of a worker's accelerators and from many that need one.
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
		Kinds: []Kind{
			largeKind(load),
			singleKind(load),
		},
	}
}

// Gangs returns a pool of workers whose load is mostly gangs, with patient and urgent
// work besides.
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
		Kinds: []Kind{
			gangKind(load),
			patientKind(load),
			urgentKind(load),
		},
	}
}

// A Mix is a named workload mix. The load parameter of Config scales the arrival rates.
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
func largeKind(load float64) Kind {
	return Kind{
		Queue: sched.Queue{
			ID:          "large",
			Service:     "render",
			Priority:    1,
			MaxAttempts: 3,
			Stretch:     2.2,
			Goal:        time.Second,
			Advisor:     advisor(490*time.Millisecond, 7*time.Millisecond),
		},
		Rate:         1.84 * load,
		Steps:        Spread{Mean: 1},
		Tasks:        Spread{Mean: 1.5, Sigma: 0.8, Most: 9},
		Work:         Spread{Mean: 3.6, Sigma: 0.5, Most: 9},
		Cores:        Spread{Mean: 31},
		Memory:       Spread{Mean: 45},
		Accelerators: []int{2, 4, 8, 8},
		Saves:        0.9,
		EstimateOff:  0.2,
		Good:         0.3,
		Fails:        0.005,
		Worth:        3.25,
	}
}

// singleKind returns many tasks that need one accelerator each.
func singleKind(load float64) Kind {
	return Kind{
		Queue: sched.Queue{
			ID:          "single",
			Service:     "render",
			Priority:    2,
			MaxAttempts: 4,
			Stretch:     4,
			Goal:        time.Second,
			Advisor:     advisor(140*time.Millisecond, 2*time.Millisecond),
		},
		Rate:         1.9 * load,
		Steps:        Spread{Mean: 1},
		Tasks:        Spread{Mean: 4.1, Sigma: 0.6, Most: 20},
		Work:         Spread{Mean: 3.8, Sigma: 0.5, Most: 9.4},
		Cores:        Spread{Mean: 5.6},
		Memory:       Spread{Mean: 11},
		Accelerators: []int{1},
		Saves:        0.8,
		EstimateOff:  0.2,
		Good:         0.45,
		Fails:        0.005,
		Worth:        1.97,
	}
}

// gangKind returns gangs that use most of the cell.
func gangKind(load float64) Kind {
	return Kind{
		Queue: sched.Queue{
			ID:          "gang",
			Service:     "quiz",
			Priority:    1,
			MaxAttempts: 3,
			Stretch:     2.2,
			Goal:        time.Second,
			Advisor:     advisor(560*time.Millisecond, 8*time.Millisecond),
		},
		Rate:        1.16 * load,
		Steps:       Spread{Mean: 1.2, Sigma: 0.4, Most: 3},
		Tasks:       Spread{Mean: 8, Sigma: 0.8, Most: 48},
		Work:        Spread{Mean: 6.2, Sigma: 0.5, Most: 16},
		Cores:       Spread{Mean: 18, Sigma: 0.4, Most: 30},
		Memory:      Spread{Mean: 26, Sigma: 0.5, Most: 52},
		Gang:        1,
		Saves:       0.5,
		EstimateOff: 0.9,
		Good:        0.25,
		Fails:       0.005,
		Worth:       20,
	}
}

// patientKind returns jobs with many tasks and generous objectives.
func patientKind(load float64) Kind {
	return Kind{
		Queue: sched.Queue{
			ID:          "patient",
			Service:     "quiz",
			Priority:    2,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Second,
			Advisor:     advisor(46*time.Millisecond, 660*time.Microsecond),
		},
		Rate:        6.83 * load,
		Steps:       Spread{Mean: 1.5, Sigma: 0.4, Most: 3.8},
		Tasks:       Spread{Mean: 10, Sigma: 0.8, Most: 60},
		Work:        Spread{Mean: 2.2, Sigma: 0.5, Most: 5.4},
		Cores:       Spread{Mean: 3.9, Sigma: 0.45, Most: 12},
		Memory:      Spread{Mean: 7.2, Sigma: 0.6, Most: 22},
		Saves:       0.8,
		EstimateOff: 0.2,
		Good:        0.45,
		Fails:       0.005,
		Worth:       2.13,
	}
}

// urgentKind returns small jobs with tight objectives.
func urgentKind(load float64) Kind {
	return Kind{
		Queue: sched.Queue{
			ID:          "urgent",
			Service:     "quiz",
			Priority:    0,
			MaxAttempts: 3,
			Stretch:     1.5,
			Goal:        300 * time.Millisecond,
			Advisor:     advisor(6500*time.Microsecond, 93*time.Microsecond),
		},
		Rate:        48 * load,
		Steps:       Spread{Mean: 1},
		Tasks:       Spread{Mean: 2, Sigma: 0.8, Most: 12},
		Work:        Spread{Mean: 0.64, Sigma: 0.5, Most: 1.6},
		Cores:       Spread{Mean: 5.6, Sigma: 0.45, Most: 17},
		Memory:      Spread{Mean: 10, Sigma: 0.6, Most: 31},
		Gang:        0.3,
		EstimateOff: 0.5,
		Good:        0.7,
		Fails:       0.005,
		Worth:       0.42,
	}
}
