// Package storebench measures the load of placement on the platform's table. It runs the
// real hosts of several halls on virtual time against a fake table with a fixed latency.
package storebench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/internal/bubble"
	"github.com/spoolsill/spoolsill/internal/fleet"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/settings"
)

// A Config describes a measurement.
type Config struct {
	Halls int
	// Rate is the number of tasks submitted to each hall per second.
	Rate int
	// Store is the latency of each call to the platform.
	Store time.Duration
	// Duration is the length of the measurement in virtual time.
	Duration time.Duration
}

// A Result holds the load on the table and the latency of job confirmations.
type Result struct {
	Halls               int             `json:"halls"`
	PlacementsPerSecond float64         `json:"placements_per_s"`
	WritesPerSecond     float64         `json:"writes_per_s"`
	ReadsPerSecond      float64         `json:"reads_per_s"`
	CommitMS            event.Quantiles `json:"commit_ms"`
	BytesPerPlacement   float64         `json:"bytes_per_placement"`
	Violations          int             `json:"broken"`
}

const workersPerHall = 60

// Run runs the measurement. It must be called in [bubble.Main].
func Run(c Config) (r Result, err error) {
	bubble.Run(func() { r, err = run(c) })
	return r, err
}

func run(c Config) (Result, error) {
	// Table calls in flight need up to this time to complete.
	defer pause.For(context.Background(), time.Second)
	var halls []spoolsill.HallID
	for i := range c.Halls {
		halls = append(halls, spoolsill.HallID(fmt.Sprintf("hall%d", i)))
	}
	cell, err := standin.NewCell(standin.CellConfig{
		Halls:    halls,
		Workers:  workersPerHall * c.Halls,
		RackSize: 8,
		Capacity: spoolsill.Resources{
			Processors: 64 * spoolsill.Core,
			Memory:     128 * spoolsill.GiB,
		},
		Service: "quizdesk",
		Runners: c.Halls,
		Slots:   8,
		Memory:  true,
		Runtime: func(s agent.StartRequest) (time.Duration, bool) { return s.Runtime, false },
	})
	if err != nil {
		return Result{}, err
	}
	defer cell.Close()
	f, err := fleet.New(fleet.Config{
		Cell:         cell,
		Halls:        halls,
		HostsPerHall: 2,
		HallLease:    5 * time.Second,
		TaskLease:    15 * time.Second,
		Service: settings.Service{
			ID:           "quizdesk",
			Slots:        8,
			SlotLifetime: settings.Duration(time.Second),
		},
	})
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return Result{}, err
	}
	cell.Platform.Fault.SetDelay(c.Store)
	return measureLoad(ctx, c, cell, f, halls)
}

// measureLoad submits ten jobs per second to each hall for c.Duration and counts the table
// calls in that time.
func measureLoad(ctx context.Context, c Config, cell *standin.Cell, f *fleet.Fleet, halls []spoolsill.HallID) (Result, error) {
	client := f.OperatorClient()
	defer client.HTTPClient.CloseIdleConnections()
	writes, reads := cell.Platform.Table.Counts()
	bytes := cell.Platform.Table.BytesWritten()
	began := time.Now()
	var mu sync.Mutex
	var latencies []time.Duration
	var submitErr error
	var wg sync.WaitGroup
	for _, h := range halls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			const jobsPerSecond = 10
			for n := 0; time.Since(began) < c.Duration; n++ {
				next := time.Now().Add(time.Second / jobsPerSecond)
				d, err := submit(ctx, client, h, n, c.Rate/jobsPerSecond)
				mu.Lock()
				latencies = append(latencies, d)
				if err != nil {
					submitErr = err
				}
				mu.Unlock()
				pause.For(ctx, time.Until(next))
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(began).Seconds()
	w, r := cell.Platform.Table.Counts()
	starts := cell.TasksStarted()
	return Result{
		Halls:               c.Halls,
		PlacementsPerSecond: float64(starts) / elapsed,
		WritesPerSecond:     float64(w-writes) / elapsed,
		ReadsPerSecond:      float64(r-reads) / elapsed,
		CommitMS:            event.QuantilesOf(latencies),
		BytesPerPlacement:   float64(cell.Platform.Table.BytesWritten()-bytes) / float64(max(starts, 1)),
		Violations:          cell.Truth.TotalViolations(),
	}, submitErr
}

// submit plans and confirms a batch job and returns the latency of the confirmation.
func submit(ctx context.Context, c *api.Client, h spoolsill.HallID, n, tasks int) (time.Duration, error) {
	p, err := c.Plan(ctx, api.PlanRequest{
		Hall:   h,
		Submit: fmt.Sprintf("id = \"%s-%d\"\nteam = \"t%d\"\nkind = \"batch\"\ntasks = %d\nprocessors = \"1\"\nmemory = \"1GiB\"\nruntime = \"1s\"\n", h, n, n%20, tasks),
	})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	err = c.Confirm(ctx, h, p.ID)
	return time.Since(began), err
}
