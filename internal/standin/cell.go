package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/member"
)

// PlatformPlace is the [Node.Place] of the platform in a [Network].
const PlatformPlace = "platform"

// A CellConfig describes a [Cell].
type CellConfig struct {
	Halls []spoolsill.HallID
	// Workers and Runners are totals, spread evenly over the halls.
	Workers  int
	RackSize int
	Capacity spoolsill.Resources
	Service  spoolsill.ServiceID
	Runners  int
	Slots    int
	// Work returns the duration of a request; nil means 0.
	Work func(spoolsill.RequestKey) time.Duration
	// Runtime returns the run time of a task and whether the task then fails.
	// For nil, see [WorkerConfig.Runtime].
	Runtime func(agent.StartRequest) (time.Duration, bool)
	// Use returns the resource usage that is reported for a task; nil means its
	// shape.
	Use func(agent.StartRequest) spoolsill.Resources
	// Platform is the listen address of the platform; empty means any free port.
	Platform string
	// Memory makes all connections in-memory pipes, so that the cell can run in
	// a testing/synctest bubble.
	Memory bool
}

// A Cell is a fake platform with fake workers and runners, on loopback or in
// memory.
type Cell struct {
	Truth    *Truth
	Network  *Network
	Platform *Platform
	URL      string // base URL of the platform
	Workers  map[spoolsill.WorkerID]*Worker
	Runners  map[spoolsill.RunnerID]*Runner

	config  CellConfig
	mu      sync.Mutex
	servers []*http.Server
}

// NewCell starts a cell. The caller must call [Cell.Close].
func NewCell(c CellConfig) (*Cell, error) {
	x := &Cell{
		Truth:    &Truth{},
		Network:  NewNetwork(c.Memory),
		Platform: NewPlatform(),
		Workers:  map[spoolsill.WorkerID]*Worker{},
		Runners:  map[spoolsill.RunnerID]*Runner{},
		config:   c,
	}
	if err := x.start(); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func (x *Cell) start() error {
	a, err := x.serve(Node{
		Name:  PlatformPlace,
		Place: PlatformPlace,
	}, x.config.Platform, x.Platform.Handler())
	if err != nil {
		return err
	}
	x.URL = "http://" + a
	var l member.List
	for i := range x.config.Workers {
		w, err := x.startWorker(i)
		if err != nil {
			return err
		}
		l.Workers = append(l.Workers, w)
	}
	for i := range x.config.Runners {
		r, err := x.startRunner(i)
		if err != nil {
			return err
		}
		l.Runners = append(l.Runners, r)
	}
	x.Platform.SetMembers(l)
	return nil
}

func (x *Cell) hall(i int) spoolsill.HallID {
	return x.config.Halls[i%len(x.config.Halls)]
}

func (x *Cell) startWorker(i int) (spoolsill.Worker, error) {
	h := x.hall(i)
	n := i / len(x.config.Halls)
	w := spoolsill.Worker{
		ID:       spoolsill.WorkerID(fmt.Sprintf("%s-w%02d", h, n)),
		Hall:     h,
		Rack:     spoolsill.RackID(fmt.Sprintf("%s-r%d", h, n/max(x.config.RackSize, 1))),
		Capacity: x.config.Capacity,
	}
	s := NewWorker(WorkerConfig{
		Worker:  w,
		Truth:   x.Truth,
		Runtime: x.config.Runtime,
		Use:     x.config.Use,
	})
	a, err := x.serve(Node{
		Name:  string(w.ID),
		Place: string(h),
	}, "", s.Handler())
	w.Address = a
	x.Workers[w.ID] = s
	return w, err
}

func (x *Cell) startRunner(i int) (spoolsill.Runner, error) {
	h := x.hall(i)
	r := spoolsill.Runner{
		ID:      spoolsill.RunnerID(fmt.Sprintf("%s-u%02d", h, i/len(x.config.Halls))),
		Hall:    h,
		Service: x.config.Service,
	}
	s := NewRunner(RunnerConfig{
		Runner: r,
		Truth:  x.Truth,
		Slots:  x.config.Slots,
		Work:   x.config.Work,
	})
	a, err := x.serve(Node{
		Name:  string(r.ID),
		Place: string(h),
	}, "", s.Handler())
	r.Address = a
	x.Runners[r.ID] = s
	return r, err
}

func (x *Cell) serve(node Node, address string, h http.Handler) (string, error) {
	l, err := x.Network.Listen(node, address)
	if err != nil {
		return "", err
	}
	a := l.Addr().String()
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Minute,
	}
	x.mu.Lock()
	x.servers = append(x.servers, s)
	x.mu.Unlock()
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			x.Truth.RecordViolation(InvariantWholeAnswer, "fake server at %s ended: %s", a, err)
		}
	}()
	return a, nil
}

// AgentCalls returns how many HTTP requests the workers have received in total.
func (x *Cell) AgentCalls() int64 {
	var n int64
	for _, w := range x.Workers {
		n += w.calls.Load()
	}
	return n
}

// TasksStarted returns how many tasks the workers have started in total.
func (x *Cell) TasksStarted() int64 {
	var n int64
	for _, w := range x.Workers {
		n += w.started.Load()
	}
	return n
}

// Wait blocks until ctx is done.
func (x *Cell) Wait(ctx context.Context) {
	<-ctx.Done()
}

// Close closes all servers and kills all workers.
func (x *Cell) Close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.servers {
		_ = s.Close()
	}
	for _, w := range x.Workers {
		w.Kill()
	}
}
