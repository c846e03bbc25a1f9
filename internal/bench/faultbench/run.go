// Package faultbench runs many random sequences of failures and adds up what
// they broke.
package faultbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/internal/bubble"
	"github.com/spoolsill/spoolsill/internal/fault"
	"github.com/spoolsill/spoolsill/internal/standin"
)

// A Config says which sequences to run.
type Config struct {
	// Seed is that of the first sequence, Runs how many there are.
	Seed uint64
	Runs int
	// Break names a mechanism to switch off; empty means none.
	Break string
	// Schedule is what each sequence plays, with each of its times moved by up to
	// Move; without steps each seed has its own.
	Schedule fault.Schedule
	Move     time.Duration
	// Progress is told of each sequence that has ended; nil means nobody is.
	Progress func(done, failed int)
}

// A Result is what the sequences came to.
type Result struct {
	Seed uint64 `json:"seed"`
	// Runs is how many have ended: fewer than asked for when they were stopped.
	Runs         int                        `json:"runs"`
	Failed       int                        `json:"failed"`
	Break        string                     `json:"break,omitempty"`
	Faults       map[string]int             `json:"faults"`
	Violations   map[standin.Promise]int    `json:"violations"`
	Cases        []string                   `json:"cases,omitempty"`
	Schedules    []string                   `json:"schedules,omitempty"` // of the first that failed
	UnknownShare float64                    `json:"unknown_share"`
	NotRunShare  float64                    `json:"not_run_share"`
	Requests     int64                      `json:"requests"`
	LostWithHall int                        `json:"jobs_lost_with_all_hosts_of_a_hall"`
	RecoveryMS   map[string]event.Quantiles `json:"recovery_ms"`
	Unfinished   int                        `json:"unfinished"`
}

// Broken returns how often any promise was broken.
func (r Result) Broken() int {
	n := r.Unfinished
	for _, k := range r.Violations {
		n += k
	}
	return n
}

var breaks = map[string]entry.Breaks{
	"": {},
	"promise": {
		Holder: holder.Breaks{
			Promise: true,
		},
	},
	"fence": {
		Holder: holder.Breaks{
			Fence: true,
		},
	},
	"settle": {
		Holder: holder.Breaks{
			Settle: true,
		},
	},
	"record": {
		Holder: holder.Breaks{
			Record: true,
		},
	},
	"lapse": {
		Holder: holder.Breaks{
			Lapse: true,
		},
	},
	"claim": {
		Claim: true,
	},
	"drain": {
		Drain: true,
	},
}

// Run runs sequences, in [bubble.Main] and as many at once as there are
// processors. When ctx ends it begins no other one and returns what those came
// to that have ended.
func Run(ctx context.Context, c Config) (Result, error) {
	b, ok := breaks[c.Break]
	if !ok {
		return Result{}, fmt.Errorf("mechanism %q is not known: want promise, fence, settle, record, lapse, claim or drain", c.Break)
	}
	var mu sync.Mutex
	s := sum{
		config: c,
	}
	bubble.Each(c.Runs, func(i int) {
		if ctx.Err() != nil {
			return
		}
		r := fault.Run(c.sequence(i, b))
		mu.Lock()
		defer mu.Unlock()
		s.add(r)
	})
	return s.result(), nil
}

// sequence returns the sequence with a number.
func (c Config) sequence(i int, b entry.Breaks) fault.Config {
	f := fault.Config{
		Seed:  c.Seed + uint64(i),
		Break: b,
	}
	if len(c.Schedule.Steps) > 0 {
		f.Schedule = c.Schedule.Jitter(f.Seed, c.Move)
	}
	return f
}

// What a result shows of all cases and of the schedules that failed.
const (
	shownCases     = 10
	shownSchedules = 2
)

// A sum adds sequences up.
type sum struct {
	config          Config
	out             Result
	recovery        map[string][]time.Duration
	notRun, unknown int64
}

func (s *sum) add(r fault.Result) {
	if s.recovery == nil {
		s.recovery = map[string][]time.Duration{}
		s.out.Faults = map[string]int{}
		s.out.Violations = map[standin.Promise]int{}
	}
	s.out.Runs++
	if r.Err != nil {
		s.out.Unfinished++
	}
	if r.Err != nil || len(r.Cases) > 0 {
		s.out.Failed++
		s.show(r)
	}
	for k, n := range r.Faults {
		s.out.Faults[k] += n
	}
	for k, n := range r.Violations {
		s.out.Violations[k] += n
	}
	for k, d := range r.Recovery {
		s.recovery[k] = append(s.recovery[k], d...)
	}
	s.out.LostWithHall += r.LostWithHall
	s.out.Requests += r.Done + r.NotRun + r.Unknown
	s.notRun += r.NotRun
	s.unknown += r.Unknown
	if s.config.Progress != nil {
		s.config.Progress(s.out.Runs, s.out.Failed)
	}
}

// show keeps what a sequence that failed tells.
func (s *sum) show(r fault.Result) {
	if len(s.out.Cases) < shownCases {
		s.out.Cases = append(s.out.Cases, r.Cases...)
	}
	if len(s.out.Schedules) < shownSchedules {
		s.out.Schedules = append(s.out.Schedules, r.Schedule.String())
	}
}

func (s *sum) result() Result {
	r := s.out
	r.Seed = s.config.Seed
	r.Break = s.config.Break
	r.RecoveryMS = map[string]event.Quantiles{}
	for k, d := range s.recovery {
		r.RecoveryMS[k] = event.QuantilesOf(d)
	}
	r.UnknownShare = float64(s.unknown) / float64(max(r.Requests, 1))
	r.NotRunShare = float64(s.notRun) / float64(max(r.Requests, 1))
	return r
}
