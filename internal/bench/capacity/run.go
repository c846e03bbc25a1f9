// Package capacity measures what each role of an entry host costs, with the
// real hosts on virtual time at several sizes, and fits the cost of one more
// worker, host, task start or request.
package capacity

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/internal/bubble"
	"github.com/spoolsill/spoolsill/internal/fleet"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/settings"
)

// A Point is one measurement of a hall, for each host of it.
type Point struct {
	Workers int     `json:"workers"`
	Hosts   int     `json:"hosts"`
	Starts  float64 `json:"starts_per_s"`
	Tasks   int     `json:"tasks"`

	// CPU is processor seconds a second of the whole process, stand-ins and
	// all hosts included, for each host: an upper bound.
	CPU float64 `json:"cpu"`
	// Peer is bytes a second that a host sends to other hosts.
	Peer float64 `json:"peer_bytes_per_s"`
	// Writes and Reads are the hall's calls of the table a second.
	Writes float64 `json:"table_writes_per_s"`
	Reads  float64 `json:"table_reads_per_s"`
	// Calls is the holder's calls of workers a second.
	Calls float64 `json:"worker_calls_per_s"`
	// Heap is bytes in use in the whole process, for each host.
	Heap float64 `json:"heap_bytes"`
}

// A Slope is a cost fitted over points.
type Slope struct {
	Cost  string  `json:"cost"`
	Per   string  `json:"per"`
	Value float64 `json:"value"`
	// Rest is the cost without any, Error the largest miss of the fit.
	Rest  float64 `json:"rest"`
	Error float64 `json:"error"`
}

// A Result is a whole measurement.
type Result struct {
	AtRest  []Point `json:"at_rest"`
	Loaded  []Point `json:"loaded"`
	ByHosts []Point `json:"by_hosts"`
	Slopes  []Slope `json:"slopes"`
}

// The sizes measured.
var (
	sizes = []int{10, 50, 110, 220}
	rates = []int{0, 5, 10, 20}
	hosts = []int{1, 2, 3}
)

// hallWorkers is how many workers a hall has at the size to come: 2,100 by 19.
const hallWorkers = 110

// Run measures at all sizes. It is called in [bubble.Main].
func Run() (Result, error) {
	var r Result
	for _, n := range sizes {
		p, err := measure(n, 2, 0)
		if err != nil {
			return r, err
		}
		r.AtRest = append(r.AtRest, p)
	}
	for _, n := range rates {
		p, err := measure(hallWorkers, 2, n)
		if err != nil {
			return r, err
		}
		r.Loaded = append(r.Loaded, p)
	}
	for _, n := range hosts {
		p, err := measure(hallWorkers, n, 0)
		if err != nil {
			return r, err
		}
		r.ByHosts = append(r.ByHosts, p)
	}
	workers := func(p Point) float64 { return float64(p.Workers) }
	starts := func(p Point) float64 { return p.Starts }
	r.Slopes = []Slope{
		fit("processor seconds a second of a host, stand-ins included", "worker", r.AtRest, workers, func(p Point) float64 { return p.CPU }),
		fit("heap bytes of a host, stand-ins included", "worker", r.AtRest, workers, func(p Point) float64 { return p.Heap }),
		fit("calls of workers a second", "worker", r.AtRest, workers, func(p Point) float64 { return p.Calls }),
		fit("table reads a second of a hall", "worker", r.AtRest, workers, func(p Point) float64 { return p.Reads }),
		fit("table writes a second of a hall", "worker", r.AtRest, workers, func(p Point) float64 { return p.Writes }),
		fit("bytes a second a host sends to others", "worker", r.AtRest, workers, func(p Point) float64 { return p.Peer }),
		fit("processor seconds a second of a host, stand-ins included", "start a second", r.Loaded, starts, func(p Point) float64 { return p.CPU }),
		fit("table writes a second of a hall", "start a second", r.Loaded, starts, func(p Point) float64 { return p.Writes }),
		fit("table reads a second of a hall", "host", r.ByHosts, func(p Point) float64 { return float64(p.Hosts) }, func(p Point) float64 { return p.Reads }),
		fit("bytes a second a host sends to others", "host", r.ByHosts, func(p Point) float64 { return float64(p.Hosts) }, func(p Point) float64 { return p.Peer }),
	}
	return r, nil
}

// fit fits a straight line by least squares.
func fit(cost, per string, points []Point, x, y func(Point) float64) Slope {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		sx += x(p)
		sy += y(p)
		sxx += x(p) * x(p)
		sxy += x(p) * y(p)
	}
	s := Slope{
		Cost: cost,
		Per:  per,
	}
	s.Value = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Rest = (sy - s.Value*sx) / n
	for _, p := range points {
		s.Error = max(s.Error, math.Abs(s.Rest+s.Value*x(p)-y(p)))
	}
	return s
}

// warm and window are the virtual times before and of a measurement.
const (
	warm   = 5 * time.Second
	window = 30 * time.Second
)

// measure runs one hall.
func measure(workers, perHall, starts int) (Point, error) {
	var p Point
	var err error
	bubble.Run(func() { p, err = hall(workers, perHall, starts) })
	return p, err
}

func hall(workers, perHall, starts int) (Point, error) {
	halls := []spoolsill.HallID{"hall"}
	cell, err := standin.NewCell(standin.CellConfig{
		Halls:    halls,
		Workers:  workers,
		RackSize: 8,
		Capacity: spoolsill.Resources{
			Processors: 64 * spoolsill.Core,
			Memory:     128 * spoolsill.GiB,
		},
		Service: "quizdesk",
		Runners: 17,
		Slots:   8,
		Memory:  true,
		Runtime: func(s agent.StartRequest) (time.Duration, bool) { return s.Runtime, false },
	})
	if err != nil {
		return Point{}, err
	}
	defer cell.Close()
	f, err := fleet.New(fleet.Config{
		Cell:         cell,
		Halls:        halls,
		HostsPerHall: perHall,
		HallLease:    5 * time.Second,
		TaskLease:    15 * time.Second,
		Service: settings.Service{
			ID:           "quizdesk",
			Slots:        8,
			SlotLifetime: settings.Duration(30 * time.Second),
		},
	})
	if err != nil {
		return Point{}, err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return Point{}, err
	}
	c := f.OperatorClient()
	defer c.HTTPClient.CloseIdleConnections()
	return observe(ctx, cell, f, c, Point{
		Workers: workers,
		Hosts:   perHall,
		Starts:  float64(starts),
	})
}

// observe counts what the hosts do in a window of virtual time.
func observe(ctx context.Context, cell *standin.Cell, f *fleet.Fleet, c *api.Client, p Point) (Point, error) {
	n := 0
	load := func(d time.Duration) error {
		for end := time.Now().Add(d); time.Now().Before(end); {
			if p.Starts > 0 {
				n++
				if err := submit(ctx, c, n, int(p.Starts)); err != nil {
					return err
				}
			}
			pause.For(ctx, time.Second)
		}
		return nil
	}
	if err := load(warm); err != nil {
		return p, err
	}
	writes, reads := cell.Platform.Table.Counts()
	sent := traffic(f)
	calls := cell.Calls()
	cpu := processorTime()
	if err := load(window); err != nil {
		return p, err
	}
	s, hosts := window.Seconds(), float64(p.Hosts)
	w, r := cell.Platform.Table.Counts()
	p.CPU = (processorTime() - cpu).Seconds() / s / hosts
	p.Writes = float64(w-writes) / s
	p.Reads = float64(r-reads) / s
	p.Peer = float64(traffic(f)-sent) / s / hosts
	p.Calls = float64(cell.Calls()-calls) / s
	p.Heap = float64(heap()) / hosts
	return p, nil
}

// submit adds a batch of so many short tasks.
func submit(ctx context.Context, c *api.Client, n, tasks int) error {
	plan, err := c.Plan(ctx, api.PlanRequest{
		Submit: fmt.Sprintf("id = \"load-%d\"\nteam = \"t%d\"\nkind = \"batch\"\ntasks = %d\nprocessors = \"2\"\nmemory = \"1GiB\"\nruntime = \"20s\"\n", n, n%20, tasks),
	})
	if err != nil {
		return err
	}
	return c.Confirm(ctx, plan.Hall, plan.ID)
}

func traffic(f *fleet.Fleet) uint64 {
	var n uint64
	for i := range f.Len() {
		n += f.Host(i).BytesSent()
	}
	return n
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
