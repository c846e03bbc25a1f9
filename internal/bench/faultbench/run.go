// Package faultbench runs many random sequences of failures and adds up what
// they broke.
package faultbench

import (
	"fmt"
	"time"

	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/internal/bubble"
	"github.com/spoolsill/spoolsill/internal/fault"
	"github.com/spoolsill/spoolsill/internal/standin"
)

// A Result is what the sequences came to.
type Result struct {
	Seed         uint64                     `json:"seed"`
	Runs         int                        `json:"runs"`
	Break        string                     `json:"break,omitempty"`
	Faults       map[string]int             `json:"faults"`
	Violations   map[standin.Promise]int    `json:"violations"`
	Cases        []string                   `json:"cases,omitempty"`
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

// Run runs sequences, in [bubble.Main], with the seeds from seed on, one mechanism switched off
// when broken names it.
func Run(seed uint64, runs int, broken string) (Result, error) {
	b, ok := breaks[broken]
	if !ok {
		return Result{}, fmt.Errorf("mechanism %q is not known: want promise, fence, settle, record, lapse, claim or drain", broken)
	}
	out := Result{
		Seed:       seed,
		Runs:       runs,
		Break:      broken,
		Faults:     map[string]int{},
		Violations: map[standin.Promise]int{},
		RecoveryMS: map[string]event.Quantiles{},
	}
	recovery := map[string][]time.Duration{}
	var notRun, unknown int64
	for i := range runs {
		var r fault.Result
		bubble.Run(func() {
			r = fault.Run(fault.Config{
				Seed:  seed + uint64(i),
				Break: b,
			})
		})
		if r.Err != nil {
			out.Unfinished++
		}
		for k, n := range r.Faults {
			out.Faults[k] += n
		}
		for k, n := range r.Broken {
			out.Violations[k] += n
		}
		for k, d := range r.Recovery {
			recovery[k] = append(recovery[k], d...)
		}
		const shown = 10
		if len(out.Cases) < shown {
			out.Cases = append(out.Cases, r.Cases...)
		}
		out.LostWithHall += r.LostWithHall
		out.Requests += r.Done + r.NotRun + r.Unknown
		notRun += r.NotRun
		unknown += r.Unknown
	}
	for k, d := range recovery {
		out.RecoveryMS[k] = event.QuantilesOf(d)
	}
	out.UnknownShare = float64(unknown) / float64(max(out.Requests, 1))
	out.NotRunShare = float64(notRun) / float64(max(out.Requests, 1))
	return out, nil
}
