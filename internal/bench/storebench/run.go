// Package storebench measures what placement asks of the platform's table: the
// real hosts of several halls on virtual time, with a table that takes 5 ms.
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
	// Rate is the placements a second asked of each hall.
	Rate int
	// Store is how long the table takes for a call.
	Store time.Duration
	// Duration is the virtual time measured.
	Duration time.Duration
}

// A Result is what the table had to do.
type Result struct {
	Halls             int             `json:"halls"`
	PlacementsPerS    float64         `json:"placements_per_s"`
	WritesPerS        float64         `json:"writes_per_s"`
	ReadsPerS         float64         `json:"reads_per_s"`
	CommitMS          event.Quantiles `json:"commit_ms"`
	BytesPerPlacement float64         `json:"bytes_per_placement"`
	Broken            int             `json:"broken"`
}

const workersPerHall = 60

// Run measures. It is called in [bubble.Main].
func Run(c Config) (r Result, err error) {
	bubble.Run(func() { r, err = run(c) })
	return r, err
}

func run(c Config) (Result, error) {
	// Calls of the table that are under way end by themselves.
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
	cell.Platform.Fault.SetSlow(c.Store)
	return measure(ctx, c, cell, f, halls)
}

// measure has every hall asked for placements, in jobs of a tenth of a second
// each, and counts what the table does meanwhile.
func measure(ctx context.Context, c Config, cell *standin.Cell, f *fleet.Fleet, halls []spoolsill.HallID) (Result, error) {
	client := f.OperatorClient()
	defer client.HTTPClient.CloseIdleConnections()
	writes, reads := cell.Platform.Table.Counts()
	bytes := cell.Platform.Table.Written()
	began := time.Now()
	var mu sync.Mutex
	var commits []time.Duration
	var failed error
	var wg sync.WaitGroup
	for _, h := range halls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			const parts = 10 // jobs a second
			for n := 0; time.Since(began) < c.Duration; n++ {
				next := time.Now().Add(time.Second / parts)
				d, err := submit(ctx, client, h, n, c.Rate/parts)
				mu.Lock()
				commits = append(commits, d)
				if err != nil {
					failed = err
				}
				mu.Unlock()
				pause.For(ctx, time.Until(next))
			}
		}()
	}
	wg.Wait()
	s := time.Since(began).Seconds()
	w, r := cell.Platform.Table.Counts()
	starts := cell.Begun()
	return Result{
		Halls:             c.Halls,
		PlacementsPerS:    float64(starts) / s,
		WritesPerS:        float64(w-writes) / s,
		ReadsPerS:         float64(r-reads) / s,
		CommitMS:          event.QuantilesOf(commits),
		BytesPerPlacement: float64(cell.Platform.Table.Written()-bytes) / float64(max(starts, 1)),
		Broken:            cell.Truth.Total(),
	}, failed
}

// submit adds a job and returns how long its confirmation took.
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
