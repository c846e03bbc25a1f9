package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/internal/fleet"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/settings"
)

// A Config describes a run of the demo.
type Config struct {
	Seed uint64
	// Callers is the number of concurrent callers, Requests the total number of
	// requests that they send. The defaults are DefaultCallers and
	// DefaultRequests.
	Callers  int
	Requests int
	// Out receives the progress messages and the result.
	Out io.Writer
	// JSON is set to write the result as JSON instead of a table, without
	// progress messages.
	JSON bool
}

// Default values of [Config].
const (
	DefaultCallers  = 48
	DefaultRequests = 12_000
)

// A Result holds the outcome of a run.
type Result struct {
	Seed     uint64                    `json:"seed"`
	Done     int64                     `json:"done"`
	NotRun   int64                     `json:"not_run"`
	Unknown  int64                     `json:"unknown"`
	Attempts int64                     `json:"attempts"`
	Jobs     map[spoolsill.JobID]int   `json:"tasks_running"`
	Broken   map[standin.Invariant]int `json:"broken"`
	Cases    []string                  `json:"cases,omitempty"`
	Took     float64                   `json:"took_s"`
	Config   spoolsill.Version         `json:"config_version"`
	Total    int                       `json:"broken_total"`
	Recovery map[string]time.Duration  `json:"recovery_ns"`
}

// runTimeout keeps a run under one minute.
const runTimeout = 58 * time.Second

// Run runs the demo and reports whether no invariant was violated.
func Run(ctx context.Context, c Config) (bool, error) {
	if c.Callers == 0 {
		c.Callers = DefaultCallers
	}
	if c.Requests == 0 {
		c.Requests = DefaultRequests
	}
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	d, err := newDemo(c)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.run(ctx); err != nil {
		return false, err
	}
	return d.report()
}

type demo struct {
	config   Config
	began    time.Time
	cell     *standin.Cell
	fleet    *fleet.Fleet
	client   *api.Client
	balancer *fleet.Balancer
	callers  *fleet.Callers
	halls    []spoolsill.HallID
	result   Result
	outMu    sync.Mutex
}

func newDemo(c Config) (*demo, error) {
	halls := []spoolsill.HallID{"vake", "saburtalo", "didube"}
	r := rand.New(rand.NewPCG(c.Seed, 1))
	var mu sync.Mutex
	random := func() uint64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Uint64()
	}
	cell, err := standin.NewCell(cellConfig(halls, random))
	if err != nil {
		return nil, err
	}
	f, err := fleet.New(fleet.Config{
		Cell:         cell,
		Halls:        halls,
		HostsPerHall: 2,
		HallLease:    2 * time.Second,
		TaskLease:    6 * time.Second,
		Service: settings.Service{
			ID:           "quizdesk",
			Slots:        8,
			SlotLifetime: settings.Duration(3 * time.Second),
		},
	})
	if err != nil {
		cell.Close()
		return nil, err
	}
	d := &demo{
		config: c,
		began:  time.Now(),
		cell:   cell,
		fleet:  f,
		client: f.OperatorClient(),
		halls:  halls,
		result: Result{
			Seed:     c.Seed,
			Jobs:     map[spoolsill.JobID]int{},
			Recovery: map[string]time.Duration{},
		},
	}
	d.balancer = fleet.NewBalancer(f)
	d.callers = fleet.NewCallers(f, d.balancer, random)
	return d, nil
}

// cellConfig returns a configuration of the size of the deployment in Tbilisi: 50
// workers and 50 runners in three halls.
func cellConfig(halls []spoolsill.HallID, random func() uint64) standin.CellConfig {
	return standin.CellConfig{
		Halls:    halls,
		Workers:  50,
		RackSize: 8,
		Capacity: spoolsill.Resources{
			Processors: 64 * spoolsill.Core,
			Memory:     128 * spoolsill.GiB,
		},
		Service: "quizdesk",
		Runners: 50,
		Slots:   8,
		Work:    func(spoolsill.RequestKey) time.Duration { return heavyTailedDuration(random()) },
		Runtime: func(s agent.StartRequest) (time.Duration, bool) {
			if s.Runtime == 0 {
				return time.Hour, false
			}
			return s.Runtime/2 + time.Duration(random()%uint64(s.Runtime)), false
		},
	}
}

// heavyTailedDuration maps a random r to the duration of a request: 2 to 19 ms,
// and twenty times that for one request in fifty.
func heavyTailedDuration(r uint64) time.Duration {
	d := time.Duration(2+r%18) * time.Millisecond
	if r>>16%50 == 0 {
		d *= 20
	}
	return d
}

func (d *demo) close() {
	d.callers.Close()
	d.fleet.Close()
	d.cell.Close()
}

func (d *demo) printf(format string, args ...any) {
	if d.config.JSON {
		return
	}
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.config.Out, "%6.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) report() (bool, error) {
	c := d.callers
	d.result.Done = c.Done.Load()
	d.result.NotRun = c.NotRun.Load()
	d.result.Unknown = c.Unknown.Load()
	d.result.Attempts = c.Attempts.Load()
	d.result.Broken, d.result.Cases = d.cell.Truth.Violations()
	d.result.Total = d.cell.Truth.TotalViolations()
	d.result.Took = time.Since(d.began).Seconds()
	if d.config.JSON {
		e := json.NewEncoder(d.config.Out)
		e.SetIndent("", "  ")
		return d.result.Total == 0, e.Encode(d.result)
	}
	d.printTable()
	return d.result.Total == 0, nil
}

func (d *demo) printTable() {
	out := d.config.Out
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\npromise\tbroken")
	for _, inv := range standin.Invariants() {
		fmt.Fprintf(w, "%s\t%d\n", inv, d.result.Broken[inv])
	}
	_ = w.Flush()
	for _, s := range d.result.Cases {
		fmt.Fprintln(out, "  "+s)
	}
	fmt.Fprintf(out, "\n%d requests in %d attempts, %.1f s\n", d.result.Done+d.result.NotRun+d.result.Unknown, d.result.Attempts, d.result.Took)
	fmt.Fprintf(out, "demo: %d done, %d not run, %d unknown, broken promises: %d\n", d.result.Done, d.result.NotRun, d.result.Unknown, d.result.Total)
}
