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

// Run compares routing policies.
func (c *benchRoute) Run(s *session) error {
	r := routebench.Run(routebench.Config(*c))
	return s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "seed %d, %d hosts, %d runners, load %.2f, %.0f%% of the runners fail every request\n\n", r.Seed, r.Hosts, r.Runners, r.Load, 100*r.Failing)
		t := newTable(w, "policy", "wait p50 ms", "p99 ms", "p999 ms", "worth in time", "slots in use", "violations", "not run", "unknown", "failed twice", "messages/request")
		for _, p := range r.Policies {
			q := p.WaitMS["request"]
			t.addRow(p.Name, fmt.Sprintf("%.2f", q.P50), fmt.Sprintf("%.2f", q.P99), fmt.Sprintf("%.2f", q.P999), fmt.Sprintf("%.3f", p.WorthInTime), fmt.Sprintf("%.3f", p.Utilization), fmt.Sprint(p.Violations), fmt.Sprint(p.NotRun), fmt.Sprint(p.Unknown), fmt.Sprintf("%.4f", p.FailedTwice), fmt.Sprintf("%.2f", p.MessagesPerRequest))
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

// Run compares placement policies.
func (c *benchPlace) Run(s *session) error {
	r := placebench.Run(placebench.Config{
		Seed:     c.Seed,
		Workers:  c.Workers,
		Load:     c.Load,
		Failing:  c.Failing,
		Duration: c.Duration,
	})
	return s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "seed %d, %d workers, load %.2f, %.1f starts a second, %.0f%% of the workers fail every task\n\n", r.Seed, r.Workers, r.Load, r.StartsPerSecond, 100*r.Failing)
		t := newTable(w, "policy", "work", "starts", "wait p50 ms", "p99 ms", "p999 ms")
		for _, p := range r.Policies {
			addWaitRows(t, p.Name, p.WaitMS)
		}
		t.flush()
		fmt.Fprintln(w)
		t = newTable(w, "policy", "worth in time", "packing", "violations", "failed twice", "preempted core s", "unstarted", "decision p50 us", "p99 us", "decisions/s")
		for _, p := range r.Policies {
			t.addRow(p.Name, fmt.Sprintf("%.3f", p.WorthInTime), fmt.Sprintf("%.3f", p.Utilization), fmt.Sprint(p.Violations), fmt.Sprintf("%.4f", p.FailedTwice), fmt.Sprintf("%.1f", p.PreemptedCoreSeconds), fmt.Sprint(p.Unstarted), fmt.Sprintf("%.1f", p.DecisionUS.P50), fmt.Sprintf("%.1f", p.DecisionUS.P99), fmt.Sprintf("%.0f", p.DecisionsPerSecond))
		}
		t.flush()
	})
}

func addWaitRows(t table, policy string, waits map[string]event.Quantiles) {
	kinds := make([]string, 0, len(waits))
	for k := range waits {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		q := waits[k]
		t.addRow(policy, k, fmt.Sprint(q.Count), fmt.Sprintf("%.1f", q.P50), fmt.Sprintf("%.1f", q.P99), fmt.Sprintf("%.1f", q.P999))
	}
}

type benchFault struct {
	Seed  uint64 `help:"Seed of the first sequence." default:"1000"`
	Runs  int    `help:"Sequences." default:"20"`
	Break string `help:"Switch a mechanism off: promise, fence, settle, record, lapse, claim or drain."`

	Schedule string        `help:"File with the failures of each sequence, as a failed one tells them." type:"existingfile"`
	Move     time.Duration `help:"By how much each time of the schedule is moved at most." default:"1.5s"`
}

// Run runs random sequences of failures. It returns an error if an invariant was violated.
func (c *benchFault) Run(s *session) error {
	return s.runWithVirtualTime(c.run)
}

// runWithVirtualTime runs f in [bubble.Main] and exits the process with the exit code for
// f's error. It does not return.
func (s *session) runWithVirtualTime(f func(s *session) error) error {
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
	schedule, err := c.readSchedule()
	if err != nil {
		return exitErrorf(ExitUsage, "%w", err)
	}
	r, err := faultbench.Run(s.ctx(), faultbench.Config{
		Seed:              c.Seed,
		Runs:              c.Runs,
		DisabledMechanism: c.Break,
		Schedule:          schedule,
		Move:              c.Move,
		Progress:          c.progressReporter(s),
	})
	if err != nil {
		return exitErrorf(ExitUsage, "%w", err)
	}
	err = s.print(r, func(w io.Writer) {
		fmt.Fprintf(w, "%d of %d sequences from seed %d, %d failed, %d requests: %.4f not run, %.4f unknown; %d jobs lost with all hosts of a hall; %d unfinished\n\n", r.Runs, c.Runs, r.Seed, r.Failed, r.Requests, r.NotRunShare, r.UnknownShare, r.LostWithHall, r.Unfinished)
		t := newTable(w, "promise", "broken")
		for _, p := range standin.Invariants() {
			t.addRow(string(p), fmt.Sprint(r.Violations[p]))
		}
		t.flush()
		fmt.Fprintln(w)
		t = newTable(w, "recovery", "count", "p50 ms", "p99 ms")
		for k, q := range r.RecoveryMS {
			t.addRow(k, fmt.Sprint(q.Count), fmt.Sprintf("%.0f", q.P50), fmt.Sprintf("%.0f", q.P99))
		}
		t.flush()
		for _, x := range append(r.Cases, r.Schedules...) {
			fmt.Fprintln(w, x)
		}
	})
	if err == nil && r.ViolationCount() > 0 {
		return exitErrorf(ExitFailed, "a promise was broken")
	}
	return err
}

// readSchedule reads the schedule file. It returns a schedule without steps if no file
// is given.
func (c *benchFault) readSchedule() (fault.Schedule, error) {
	if c.Schedule == "" {
		return fault.Schedule{}, nil
	}
	b, err := os.ReadFile(c.Schedule)
	if err != nil {
		return fault.Schedule{}, err
	}
	return fault.ParseSchedule(b)
}

// progressInterval is the number of completed sequences between progress lines.
const progressInterval = 50

// progressReporter returns a function that reports progress on standard error.
func (c *benchFault) progressReporter(s *session) func(done, failed int) {
	return func(done, failed int) {
		if done%progressInterval == 0 && done < c.Runs {
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

// Run measures the load of placement on the table.
func (c *benchStore) Run(s *session) error {
	return s.runWithVirtualTime(c.run)
}

func (c *benchStore) run(s *session) error {
	r, err := storebench.Run(storebench.Config(*c))
	if err != nil {
		return err
	}
	return s.print(r, func(w io.Writer) {
		t := newTable(w, "halls", "placements/s", "table writes/s", "table reads/s", "confirm p50 ms", "p99 ms", "bytes/placement", "broken")
		t.addRow(fmt.Sprint(r.Halls), fmt.Sprintf("%.0f", r.PlacementsPerSecond), fmt.Sprintf("%.1f", r.WritesPerSecond), fmt.Sprintf("%.1f", r.ReadsPerSecond), fmt.Sprintf("%.1f", r.CommitMS.P50), fmt.Sprintf("%.1f", r.CommitMS.P99), fmt.Sprintf("%.0f", r.BytesPerPlacement), fmt.Sprint(r.Violations))
		t.flush()
	})
}

type benchCapacity struct{}

// Run measures the resource usage of hosts at several sizes and prints Markdown tables.
func (c *benchCapacity) Run(s *session) error {
	return s.runWithVirtualTime(c.run)
}

func (c *benchCapacity) run(s *session) error {
	r, err := capacity.Run()
	if err != nil {
		return err
	}
	return s.print(r, func(w io.Writer) {
		row := func(cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }
		for _, section := range []struct {
			name   string
			points []capacity.Point
		}{
			{
				name:   "at rest, two hosts",
				points: r.Idle,
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
			fmt.Fprintf(w, "\n%s\n\n", section.name)
			row("workers", "hosts", "starts/s", "cpu share a host", "peer B/s a host", "table writes/s", "table reads/s", "worker calls/s", "heap MB a host")
			row("--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:", "--:")
			for _, p := range section.points {
				row(fmt.Sprint(p.Workers), fmt.Sprint(p.Hosts), fmt.Sprintf("%.0f", p.StartsPerSecond), fmt.Sprintf("%.4f", p.CPUShare), fmt.Sprintf("%.0f", p.PeerBytesPerSecond), fmt.Sprintf("%.2f", p.TableWritesPerSecond), fmt.Sprintf("%.2f", p.TableReadsPerSecond), fmt.Sprintf("%.1f", p.WorkerCallsPerSecond), fmt.Sprintf("%.1f", p.HeapBytes/1e6))
			}
		}
		fmt.Fprint(w, "\nslopes\n\n")
		row("cost", "for each", "slope", "without any", "largest miss")
		row("---", "---", "--:", "--:", "--:")
		for _, x := range r.Slopes {
			row(x.Cost, x.Per, fmt.Sprintf("%.4g", x.Value), fmt.Sprintf("%.4g", x.Intercept), fmt.Sprintf("%.2g", x.MaxError))
		}
	})
}
