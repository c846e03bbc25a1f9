package cli

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/internal/bench/placebench"
	"github.com/spoolsill/spoolsill/internal/bench/routebench"
)

type benchCommand struct {
	Place benchPlace `cmd:"" help:"Placement against plain schedulers and a bound."`
	Route benchRoute `cmd:"" help:"Routing against plain routers and one shared queue."`
}

type benchRoute struct {
	Seed     uint64  `help:"Seed of the input." default:"1"`
	Hosts    int     `help:"Entry hosts that share the runners." name:"entry-hosts" default:"2"`
	Runners  int     `help:"Runners." default:"17"`
	Slots    int     `help:"Slots of a runner." default:"8"`
	Load     float64 `help:"Share of the slots' time that is asked for; 2 is twice the capacity." default:"0.9"`
	Failing  float64 `help:"Share of runners that fail everything." default:"0"`
	Requests int     `help:"Requests in all." default:"100000"`
}

// Run measures routing.
func (c *benchRoute) Run(s *session) error {
	r := routebench.Run(routebench.Config(*c))
	return s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "seed %d, %d hosts, %d runners, load %.2f, %.0f%% of the runners fail everything\n\n", r.Seed, r.Hosts, r.Runners, r.Load, 100*r.Failing)
		t := newTable(w, "policy", "wait p50 ms", "p99 ms", "p999 ms", "worth in time", "slots in use", "violations", "not run", "unknown", "lost twice", "messages/request")
		for _, p := range r.Policies {
			q := p.WaitMS["request"]
			t.row(p.Name, fmt.Sprintf("%.2f", q.P50), fmt.Sprintf("%.2f", q.P99), fmt.Sprintf("%.2f", q.P999), fmt.Sprintf("%.3f", p.WorthInTime), fmt.Sprintf("%.3f", p.Packing), fmt.Sprint(p.Violations), fmt.Sprint(p.NotRun), fmt.Sprint(p.Unknown), fmt.Sprintf("%.4f", p.LostTwice), fmt.Sprintf("%.2f", p.Messages))
		}
		t.flush()
	})
}

type benchPlace struct {
	Seed     uint64        `help:"Seed of the input." default:"1"`
	Workers  int           `help:"Workers in one state: 110 is a hall at letter 1's size, 2100 the whole cell." default:"110"`
	Load     float64       `help:"Share of the processors that is asked for." default:"0.85"`
	Failing  float64       `help:"Share of workers that fail everything." default:"0.04"`
	Duration time.Duration `help:"Virtual time." default:"4m"`
}

// Run measures placement.
func (c *benchPlace) Run(s *session) error {
	r := placebench.Run(placebench.Config{
		Seed:     c.Seed,
		Workers:  c.Workers,
		Load:     c.Load,
		Failing:  c.Failing,
		Duration: c.Duration,
	})
	return s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "seed %d, %d workers, load %.2f, %.1f starts a second, %.0f%% of the workers fail everything\n\n", r.Seed, r.Workers, r.Load, r.Starts, 100*r.Failing)
		t := newTable(w, "policy", "work", "starts", "wait p50 ms", "p99 ms", "p999 ms")
		for _, p := range r.Policies {
			waitRows(t, p.Name, p.WaitMS)
		}
		t.flush()
		fmt.Fprintln(w)
		t = newTable(w, "policy", "worth in time", "packing", "violations", "lost twice", "preempted core s", "unstarted", "decision p50 us", "p99 us", "decisions/s")
		for _, p := range r.Policies {
			t.row(p.Name, fmt.Sprintf("%.3f", p.WorthInTime), fmt.Sprintf("%.3f", p.Packing), fmt.Sprint(p.Violations), fmt.Sprintf("%.4f", p.LostTwice), fmt.Sprintf("%.1f", p.Preempted), fmt.Sprint(p.Unstarted), fmt.Sprintf("%.1f", p.DecisionUS.P50), fmt.Sprintf("%.1f", p.DecisionUS.P99), fmt.Sprintf("%.0f", p.PerSecond))
		}
		t.flush()
	})
}

func waitRows(t table, policy string, waits map[string]event.Quantiles) {
	kinds := make([]string, 0, len(waits))
	for k := range waits {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		q := waits[k]
		t.row(policy, k, fmt.Sprint(q.Count), fmt.Sprintf("%.1f", q.P50), fmt.Sprintf("%.1f", q.P99), fmt.Sprintf("%.1f", q.P999))
	}
}
