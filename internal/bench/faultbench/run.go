// Package faultbench runs many random sequences of failures and aggregates the violations
// of invariants.
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

// A Config describes the sequences to run.
type Config struct {
	// Seed is the seed of the first sequence and is incremented for each following one.
	// Runs is the number of sequences.
	Seed uint64
	Runs int
	// DisabledMechanism names the safety mechanism to disable. If empty, all are enabled.
	DisabledMechanism string
	// Schedule, if it has steps, is run by each sequence, with every time shifted randomly
	// by up to Move. Otherwise each sequence generates a schedule from its seed.
	Schedule fault.Schedule
	Move     time.Duration
	// Progress, if not nil, is called after each sequence.
	Progress func(done, failed int)
}

// A Result holds the aggregated results of the sequences.
type Result struct {
	Seed uint64 `json:"seed"`
	// Runs is the number of completed sequences. It is less than requested if the run was
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

// ViolationCount returns the number of violations. An unfinished sequence counts as one.
func (r Result) ViolationCount() int {
	n := r.Unfinished
	for _, k := range r.Violations {
		n += k
	}
	return n
}

// breaksByMechanism maps the names of mechanisms to the settings that disable them.
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
// in [bubble.Main]. Once ctx is done, it starts no further sequence and returns the results
// of the completed ones.
func Run(ctx context.Context, c Config) (Result, error) {
	b, ok := breaksByMechanism[c.DisabledMechanism]
	if !ok {
		return Result{}, fmt.Errorf("mechanism %q is not known: want promise, fence, settle, record, lapse, claim or drain", c.DisabledMechanism)
	}
	var mu sync.Mutex
	agg := aggregator{
		config: c,
	}
	bubble.Each(c.Runs, func(i int) {
		if ctx.Err() != nil {
			return
		}
		r := fault.Run(c.sequence(i, b))
		mu.Lock()
		defer mu.Unlock()
		agg.add(r)
	})
	return agg.result(), nil
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

// Limits on the cases and schedules of failed sequences in a result. The cases of a
// sequence are added as long as there are fewer than maxCases.
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

func (a *aggregator) add(r fault.Result) {
	if a.recovery == nil {
		a.recovery = map[string][]time.Duration{}
		a.out.Faults = map[string]int{}
		a.out.Violations = map[standin.Invariant]int{}
	}
	a.out.Runs++
	if r.Err != nil {
		a.out.Unfinished++
	}
	if r.Err != nil || len(r.Cases) > 0 {
		a.out.Failed++
		a.keepFailure(r)
	}
	for k, n := range r.Faults {
		a.out.Faults[k] += n
	}
	for k, n := range r.Violations {
		a.out.Violations[k] += n
	}
	for k, d := range r.Recovery {
		a.recovery[k] = append(a.recovery[k], d...)
	}
	a.out.LostWithHall += r.LostWithHall
	a.out.Requests += r.Done + r.NotRun + r.Unknown
	a.notRun += r.NotRun
	a.unknown += r.Unknown
	if a.config.Progress != nil {
		a.config.Progress(a.out.Runs, a.out.Failed)
	}
}

// keepFailure keeps the cases and the schedule of a failed sequence, within the limits.
func (a *aggregator) keepFailure(r fault.Result) {
	if len(a.out.Cases) < maxCases {
		a.out.Cases = append(a.out.Cases, r.Cases...)
	}
	if len(a.out.Schedules) < maxSchedules {
		a.out.Schedules = append(a.out.Schedules, r.Schedule.String())
	}
}

func (a *aggregator) result() Result {
	r := a.out
	r.Seed = a.config.Seed
	r.DisabledMechanism = a.config.DisabledMechanism
	r.RecoveryMS = map[string]event.Quantiles{}
	for k, d := range a.recovery {
		r.RecoveryMS[k] = event.QuantilesOf(d)
	}
	r.UnknownShare = float64(a.unknown) / float64(max(r.Requests, 1))
	r.NotRunShare = float64(a.notRun) / float64(max(r.Requests, 1))
	return r
}
