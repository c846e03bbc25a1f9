// Package capacity measures the resource usage of entry hosts. It runs the real hosts on
// virtual time at several sizes and fits the marginal cost of a worker, of a task start
// per second and of a host.
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

// A Point is one measurement of a hall.
type Point struct {
	Workers         int     `json:"workers"`
	Hosts           int     `json:"hosts"`
	StartsPerSecond float64 `json:"starts_per_s"`
	Tasks           int     `json:"tasks"`

	// CPUShare is the processor time per second and host. It is an upper bound, since it
	// includes the fakes, which run in the same process.
	CPUShare float64 `json:"cpu"`
	// PeerBytesPerSecond is the number of bytes per second that a host sends to other hosts.
	PeerBytesPerSecond float64 `json:"peer_bytes_per_s"`
	// TableWritesPerSecond and TableReadsPerSecond are the rates of table calls of all
	// hosts of the hall.
	TableWritesPerSecond float64 `json:"table_writes_per_s"`
	TableReadsPerSecond  float64 `json:"table_reads_per_s"`
	// WorkerCallsPerSecond is the number of calls to the hall's workers per second.
	WorkerCallsPerSecond float64 `json:"worker_calls_per_s"`
	// HeapBytes is the allocated heap of the process, fakes included, divided by the number
	// of hosts.
	HeapBytes float64 `json:"heap_bytes"`
}

// A Slope is a linear fit of a cost to points. Value is the cost of each unit of Per.
type Slope struct {
	Cost  string  `json:"cost"`
	Per   string  `json:"per"`
	Value float64 `json:"value"`
	// Intercept is the fitted cost at zero, MaxError the largest absolute deviation of a
	// point.
	Intercept float64 `json:"rest"`
	MaxError  float64 `json:"error"`
}

// A Result holds the measured points and the fitted costs.
type Result struct {
	Idle    []Point `json:"at_rest"`
	Loaded  []Point `json:"loaded"`
	ByHosts []Point `json:"by_hosts"`
	Slopes  []Slope `json:"slopes"`
}

// The measured values of each parameter.
var (
	workerCounts = []int{10, 50, 110, 220}
	startRates   = []int{0, 5, 10, 20}
	hostCounts   = []int{1, 2, 3}
)

// hallWorkers is the number of workers of a hall at the planned size, 2,100 workers in
// 19 halls.
const hallWorkers = 110

// Run measures at all sizes. It must be called in [bubble.Main].
func Run() (Result, error) {
	var r Result
	for _, n := range workerCounts {
		p, err := measurePoint(n, 2, 0)
		if err != nil {
			return r, err
		}
		r.Idle = append(r.Idle, p)
	}
	for _, n := range startRates {
		p, err := measurePoint(hallWorkers, 2, n)
		if err != nil {
			return r, err
		}
		r.Loaded = append(r.Loaded, p)
	}
	for _, n := range hostCounts {
		p, err := measurePoint(hallWorkers, n, 0)
		if err != nil {
			return r, err
		}
		r.ByHosts = append(r.ByHosts, p)
	}
	workers := func(p Point) float64 { return float64(p.Workers) }
	starts := func(p Point) float64 { return p.StartsPerSecond }
	r.Slopes = []Slope{
		fit("processor seconds a second of a host, stand-ins included", "worker", r.Idle, workers, func(p Point) float64 { return p.CPUShare }),
		fit("heap bytes of a host, stand-ins included", "worker", r.Idle, workers, func(p Point) float64 { return p.HeapBytes }),
		fit("calls of workers a second", "worker", r.Idle, workers, func(p Point) float64 { return p.WorkerCallsPerSecond }),
		fit("table reads a second of a hall", "worker", r.Idle, workers, func(p Point) float64 { return p.TableReadsPerSecond }),
		fit("table writes a second of a hall", "worker", r.Idle, workers, func(p Point) float64 { return p.TableWritesPerSecond }),
		fit("bytes a second a host sends to others", "worker", r.Idle, workers, func(p Point) float64 { return p.PeerBytesPerSecond }),
		fit("processor seconds a second of a host, stand-ins included", "start a second", r.Loaded, starts, func(p Point) float64 { return p.CPUShare }),
		fit("table writes a second of a hall", "start a second", r.Loaded, starts, func(p Point) float64 { return p.TableWritesPerSecond }),
		fit("table reads a second of a hall", "host", r.ByHosts, func(p Point) float64 { return float64(p.Hosts) }, func(p Point) float64 { return p.TableReadsPerSecond }),
		fit("bytes a second a host sends to others", "host", r.ByHosts, func(p Point) float64 { return float64(p.Hosts) }, func(p Point) float64 { return p.PeerBytesPerSecond }),
	}
	return r, nil
}

// fit fits a line to points by least squares.
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
	s.Intercept = (sy - s.Value*sx) / n
	for _, p := range points {
		s.MaxError = max(s.MaxError, math.Abs(s.Intercept+s.Value*x(p)-y(p)))
	}
	return s
}

// warmUp is the virtual time before the measurement, window the length of the measurement
// in virtual time.
const (
	warmUp = 5 * time.Second
	window = 30 * time.Second
)

// measurePoint measures one hall in a bubble of its own.
func measurePoint(workers, hostsPerHall, startsPerSecond int) (Point, error) {
	var p Point
	var err error
	bubble.Run(func() { p, err = measureHall(workers, hostsPerHall, startsPerSecond) })
	return p, err
}

func measureHall(workers, hostsPerHall, startsPerSecond int) (Point, error) {
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
		HostsPerHall: hostsPerHall,
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
	return measureWindow(ctx, cell, f, c, Point{
		Workers:         workers,
		Hosts:           hostsPerHall,
		StartsPerSecond: float64(startsPerSecond),
	})
}

// measureWindow submits load during the warm-up and the measurement window, and returns p
// with the resource usage in the window.
func measureWindow(ctx context.Context, cell *standin.Cell, f *fleet.Fleet, c *api.Client, p Point) (Point, error) {
	n := 0
	submitLoad := func(d time.Duration) error {
		for end := time.Now().Add(d); time.Now().Before(end); {
			if p.StartsPerSecond > 0 {
				n++
				if err := submit(ctx, c, n, int(p.StartsPerSecond)); err != nil {
					return err
				}
			}
			pause.For(ctx, time.Second)
		}
		return nil
	}
	if err := submitLoad(warmUp); err != nil {
		return p, err
	}
	writes, reads := cell.Platform.Table.Counts()
	sent := bytesSent(f)
	calls := cell.AgentCalls()
	cpu := processorTime()
	if err := submitLoad(window); err != nil {
		return p, err
	}
	elapsed, hosts := window.Seconds(), float64(p.Hosts)
	w, r := cell.Platform.Table.Counts()
	p.CPUShare = (processorTime() - cpu).Seconds() / elapsed / hosts
	p.TableWritesPerSecond = float64(w-writes) / elapsed
	p.TableReadsPerSecond = float64(r-reads) / elapsed
	p.PeerBytesPerSecond = float64(bytesSent(f)-sent) / elapsed / hosts
	p.WorkerCallsPerSecond = float64(cell.AgentCalls()-calls) / elapsed
	p.HeapBytes = float64(heapBytes()) / hosts
	return p, nil
}

// submit plans and confirms a batch job with the given number of tasks.
func submit(ctx context.Context, c *api.Client, n, tasks int) error {
	plan, err := c.Plan(ctx, api.PlanRequest{
		Submit: fmt.Sprintf("id = \"load-%d\"\nteam = \"t%d\"\nkind = \"batch\"\ntasks = %d\nprocessors = \"2\"\nmemory = \"1GiB\"\nruntime = \"20s\"\n", n, n%20, tasks),
	})
	if err != nil {
		return err
	}
	return c.Confirm(ctx, plan.Hall, plan.ID)
}

func bytesSent(f *fleet.Fleet) uint64 {
	var n uint64
	for i := range f.Len() {
		n += f.Host(i).BytesSent()
	}
	return n
}

func heapBytes() uint64 {
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
