// Package faultbench runs many random sequences of failures and aggregates the promise
// violations.
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
	// Seed is the seed of the first sequence; each following one has the next seed. Runs
	// is the number of sequences.
	Seed uint64
	Runs int
	// DisabledMechanism names a safety mechanism to disable. It is empty if all are enabled.
	DisabledMechanism string
	// Schedule, if it has steps, is run by each sequence, with each time moved randomly by
	// up to Move. Otherwise each sequence generates a schedule from its seed.
	Schedule fault.Schedule
	Move     time.Duration
	// Progress, if not nil, is called after each sequence.
	Progress func(done, failed int)
}

// A Result holds the aggregated results of the sequences.
type Result struct {
	Seed uint64 `json:"seed"`
	// Runs is the number of completed sequences, less than requested if the run was
	// interrupted.
	Runs              int                        `json:"runs"`
	Failed            int                        `json:"failed"`
	DisabledMechanism string                     `json:"break,omitempty"`
	Faults            map[string]int             `json:"faults"`
	Violations        map[standin.Invariant]int  `json:"violations"`
	Cases             []string                   `json:"cases,omitempty"`
	Schedules         []string                   `json:"schedules,omitempty"` // of the first failed sequences
	UnknownShare      float64                    `json:"unknown_share"`
	NotRunShare       float64                    `json:"not_run_share"`
	Requests          int64                      `json:"requests"`
	LostWithHall      int                        `json:"jobs_lost_with_all_hosts_of_a_hall"`
	RecoveryMS        map[string]event.Quantiles `json:"recovery_ms"`
	Unfinished        int                        `json:"unfinished"`
}

// ViolationCount returns the number of promise violations and unfinished sequences.
func (r Result) ViolationCount() int {
	n := r.Unfinished
	for _, k := range r.Violations {
		n += k
	}
	return n
}

var breaksByMechanism = map[string]entry.Breaks{
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

// Run runs the sequences, as many in parallel as there are processors. It must be called
// in [bubble.Main]. When ctx ends, it starts no further sequence and returns the results
// of those that have completed.
func Run(ctx context.Context, c Config) (Result, error) {
	b, ok := breaksByMechanism[c.DisabledMechanism]
	if !ok {
		return Result{}, fmt.Errorf("mechanism %q is not known: want promise, fence, settle, record, lapse, claim or drain", c.DisabledMechanism)
	}
	var mu sync.Mutex
	s := aggregator{
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

// sequence returns the configuration of sequence i.
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

// Limits on what a result includes of failed sequences. No cases are added once maxCases
// is reached.
const (
	maxCases     = 10
	maxSchedules = 2
)

// An aggregator combines the results of sequences.
type aggregator struct {
	config          Config
	out             Result
	recovery        map[string][]time.Duration
	notRun, unknown int64
}

func (s *aggregator) add(r fault.Result) {
	if s.recovery == nil {
		s.recovery = map[string][]time.Duration{}
		s.out.Faults = map[string]int{}
		s.out.Violations = map[standin.Invariant]int{}
	}
	s.out.Runs++
	if r.Err != nil {
		s.out.Unfinished++
	}
	if r.Err != nil || len(r.Cases) > 0 {
		s.out.Failed++
		s.keepFailure(r)
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

// keepFailure keeps the cases and the schedule of a failed sequence, within the limits.
func (s *aggregator) keepFailure(r fault.Result) {
	if len(s.out.Cases) < maxCases {
		s.out.Cases = append(s.out.Cases, r.Cases...)
	}
	if len(s.out.Schedules) < maxSchedules {
		s.out.Schedules = append(s.out.Schedules, r.Schedule.String())
	}
}

func (s *aggregator) result() Result {
	r := s.out
	r.Seed = s.config.Seed
	r.DisabledMechanism = s.config.DisabledMechanism
	r.RecoveryMS = map[string]event.Quantiles{}
	for k, d := range s.recovery {
		r.RecoveryMS[k] = event.QuantilesOf(d)
	}
	r.UnknownShare = float64(s.unknown) / float64(max(r.Requests, 1))
	r.NotRunShare = float64(s.notRun) / float64(max(r.Requests, 1))
	return r
}
