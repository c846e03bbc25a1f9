package cli

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/spoolsill/spoolsill/internal/bench/capacity"
	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/internal/bench/faultbench"
	"github.com/spoolsill/spoolsill/internal/bench/placebench"
	"github.com/spoolsill/spoolsill/internal/bench/routebench"
	"github.com/spoolsill/spoolsill/internal/bench/storebench"
	"github.com/spoolsill/spoolsill/internal/bubble"
	"github.com/spoolsill/spoolsill/internal/fault"
	"github.com/spoolsill/spoolsill/internal/standin"
)

type benchCommand struct {
	Place benchPlace `cmd:"" help:"Placement against plain schedulers and a bound."`
	Route benchRoute `cmd:"" help:"Routing against plain routers and one shared queue."`
	Fault benchFault `cmd:"" help:"Random sequences of failures over the real hosts, on virtual time."`

	Store benchStore `cmd:"" help:"What placement asks of the platform's table, on virtual time."`

	Cell benchCell `cmd:"" help:"Steps, gangs, accelerators and advice on a whole cell."`

	Capacity benchCapacity `cmd:"" help:"What each worker, host and start costs, fitted over several sizes."`
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

type benchFault struct {
	Seed  uint64 `help:"Seed of the first sequence." default:"1000"`
	Runs  int    `help:"Sequences." default:"20"`
	Break string `help:"Switch a mechanism off: promise, fence, settle, record, lapse, claim or drain."`

	Schedule string        `help:"File with the failures of each sequence, as a failed one tells them." type:"existingfile"`
	Move     time.Duration `help:"By how much each time of the schedule is moved at most." default:"1.5s"`
}

// Run runs sequences of failures. It fails when a promise was broken.
func (c *benchFault) Run(s *session) error {
	return s.onVirtualTime(c.run)
}

// onVirtualTime runs a measurement and ends the process with its exit code.
func (s *session) onVirtualTime(f func(s *session) error) error {
	bubble.Main(func() int {
		err := f(s)
		if err == nil {
			return ExitOK
		}
		fmt.Fprintln(s.env.Err, "spoolsill:", err)
		return exitCode(err)
	})
	return nil
}

func (c *benchFault) run(s *session) error {
	plays, err := c.schedule()
	if err != nil {
		return exitWith(ExitUsage, "%w", err)
	}
	r, err := faultbench.Run(s.ctx(), faultbench.Config{
		Seed:     c.Seed,
		Runs:     c.Runs,
		Break:    c.Break,
		Schedule: plays,
		Move:     c.Move,
		Progress: c.progress(s),
	})
	if err != nil {
		return exitWith(ExitUsage, "%w", err)
	}
	err = s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "%d of %d sequences from seed %d, %d failed, %d requests: %.4f not run, %.4f unknown; %d jobs lost with all hosts of a hall; %d unfinished\n\n", r.Runs, c.Runs, r.Seed, r.Failed, r.Requests, r.NotRunShare, r.UnknownShare, r.LostWithHall, r.Unfinished)
		t := newTable(w, "promise", "broken")
		for _, p := range standin.Promises() {
			t.row(string(p), fmt.Sprint(r.Violations[p]))
		}
		t.flush()
		fmt.Fprintln(w)
		t = newTable(w, "recovery", "count", "p50 ms", "p99 ms")
		for k, q := range r.RecoveryMS {
			t.row(k, fmt.Sprint(q.Count), fmt.Sprintf("%.0f", q.P50), fmt.Sprintf("%.0f", q.P99))
		}
		t.flush()
		for _, x := range append(r.Cases, r.Schedules...) {
			fmt.Fprintln(w, x)
		}
	})
	if err == nil && r.Broken() > 0 {
		return exitWith(ExitFailed, "a promise was broken")
	}
	return err
}

// schedule reads the schedule to play; it has no steps when none is named.
func (c *benchFault) schedule() (fault.Schedule, error) {
	if c.Schedule == "" {
		return fault.Schedule{}, nil
	}
	b, err := os.ReadFile(c.Schedule)
	if err != nil {
		return fault.Schedule{}, err
	}
	return fault.ParseSchedule(b)
}

// progressEvery is how many sequences end between two lines of progress.
const progressEvery = 50

// progress tells of a long run on the error stream.
func (c *benchFault) progress(s *session) func(done, failed int) {
	return func(done, failed int) {
		if done%progressEvery == 0 && done < c.Runs {
			fmt.Fprintf(s.env.Err, "%d of %d sequences, %d failed\n", done, c.Runs, failed)
		}
	}
}

type benchStore struct {
	Halls    int           `help:"Halls." default:"3"`
	Rate     int           `help:"Placements a second in each hall." default:"1000"`
	Store    time.Duration `help:"How long the table takes for a call." default:"5ms"`
	Duration time.Duration `help:"Virtual time." default:"5s"`
}

// Run measures what placement asks of the table.
func (c *benchStore) Run(s *session) error {
	return s.onVirtualTime(c.run)
}

func (c *benchStore) run(s *session) error {
	r, err := storebench.Run(storebench.Config(*c))
	if err != nil {
		return err
	}
	return s.print(r, func(w io.Writer) {
		t := newTable(w, "halls", "placements/s", "table writes/s", "table reads/s", "confirm p50 ms", "p99 ms", "bytes/placement", "broken")
		t.row(fmt.Sprint(r.Halls), fmt.Sprintf("%.0f", r.PlacementsPerS), fmt.Sprintf("%.1f", r.WritesPerS), fmt.Sprintf("%.1f", r.ReadsPerS), fmt.Sprintf("%.1f", r.CommitMS.P50), fmt.Sprintf("%.1f", r.CommitMS.P99), fmt.Sprintf("%.0f", r.BytesPerPlacement), fmt.Sprint(r.Broken))
		t.flush()
	})
}

type benchCapacity struct{}

// Run measures the cost of size. Its tables are Markdown.
func (c *benchCapacity) Run(s *session) error {
	return s.onVirtualTime(c.run)
}

func (c *benchCapacity) run(s *session) error {
	r, err := capacity.Run()
	if err != nil {
		return err
	}
	return s.print(r, func(w io.Writer) {
		row := func(cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }
		for _, part := range []struct {
			name   string
			points []capacity.Point
		}{
			{
				name:   "at rest, two hosts",
				points: r.AtRest,
			},
			{
				name:   "starts, two hosts",
				points: r.Loaded,
			},
			{
				name:   "hosts, at rest",
				points: r.ByHosts,
			},
		} {
			fmt.Fprintf(w, "\n%s\n\n", part.name)
			row("workers", "hosts", "starts/s", "cpu share a host", "peer B/s a host", "table writes/s", "table reads/s", "worker calls/s", "heap MB a host")
			row("--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:")
			for _, p := range part.points {
				row(fmt.Sprint(p.Workers), fmt.Sprint(p.Hosts), fmt.Sprintf("%.0f", p.Starts), fmt.Sprintf("%.4f", p.CPU), fmt.Sprintf("%.0f", p.Peer), fmt.Sprintf("%.2f", p.Writes), fmt.Sprintf("%.2f", p.Reads), fmt.Sprintf("%.1f", p.Calls), fmt.Sprintf("%.1f", p.Heap/1e6))
			}
		}
		fmt.Fprint(w, "\nslopes\n\n")
		row("cost", "for each", "slope", "without any", "largest miss")
		row("---", "---", "--:", "--:", "--:")
		for _, x := range r.Slopes {
			row(x.Cost, x.Per, fmt.Sprintf("%.4g", x.Value), fmt.Sprintf("%.4g", x.Rest), fmt.Sprintf("%.2g", x.Error))
		}
	})
}
