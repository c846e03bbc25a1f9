package fault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/entry"
	"github.com/spoolsill/spoolsill/holder"
	"github.com/spoolsill/spoolsill/internal/fleet"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
	"github.com/spoolsill/spoolsill/settings"
	"github.com/spoolsill/spoolsill/timeline"
)

// A Config describes one run.
type Config struct {
	Seed uint64
	// Schedule has the failures to inject. If it has no steps, a random schedule
	// is derived from Seed.
	Schedule Schedule
	// Duration is the virtual time within which failures start. Zero means
	// DefaultDuration.
	Duration time.Duration
	// Break disables mechanisms of the hosts.
	Break entry.Breaks
}

// DefaultDuration is the default of Config.Duration.
const DefaultDuration = 40 * time.Second

// A Result is the outcome of a run.
type Result struct {
	Schedule   Schedule
	Faults     map[string]int // number of injected failures by kind
	Violations map[standin.Invariant]int
	Cases      []string // descriptions of violations
	Done       int64
	NotRun     int64
	Unknown    int64
	Recovery   map[string][]time.Duration // by kind of failure
	// LostWithHall counts the jobs that were confirmed while the platform was
	// unresponsive and lost because all hosts of their hall were lost before the
	// platform recovered. The guarantees do not cover these.
	LostWithHall int
	Events       []timeline.Event // of all incarnations of all hosts
	Err          error            // set if the run could not be completed
}

// The sizes and times of the simulated cell.
const (
	hostsPerHall = 2
	workerCount  = 8
	runnerCount  = 6
	slots        = 4
	callerCount  = 6
	slotLifetime = 2 * time.Second
	hallLease    = 2 * time.Second
	taskLease    = 4 * time.Second
	settleTime   = 40 * time.Second // after the last failure
	runTimeout   = 5 * time.Minute  // virtual time
)

var halls = []spoolsill.HallID{"east", "west"}

// Run performs one run. It must be called in a bubble of testing/synctest.
func Run(c Config) Result {
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if len(c.Schedule.Steps) == 0 {
		c.Schedule = RandomSchedule(c.Seed, c.Duration)
	}
	sim := &simulation{
		config:   c,
		schedule: c.Schedule,
		requests: rand.New(rand.NewPCG(c.Seed, callerStream)),
		result: Result{
			Schedule: c.Schedule,
			Faults:   map[string]int{},
			Recovery: map[string][]time.Duration{},
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := sim.setUp(); err != nil {
		sim.result.Err = err
		return sim.result
	}
	sim.result.Err = sim.run(ctx)
	sim.tearDown()
	return sim.result
}

// A simulation is one cell with its load and the failures injected into it.
type simulation struct {
	config   Config
	cell     *standin.Cell
	fleet    *fleet.Fleet
	balancer *fleet.Balancer
	callers  *fleet.Callers
	operator *operator
	result   Result

	schedule Schedule

	mu         sync.Mutex // guards requests and the result during the run
	requests   *rand.Rand
	injections sync.WaitGroup
}

// nextRequest returns the random value that determines a caller's next request.
func (sim *simulation) nextRequest() uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.requests.Uint64()
}

// newRand returns a random source that depends only on the seed, the stream and
// the name, so that the order of calls does not change its values.
func (sim *simulation) newRand(stream uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(sim.config.Seed^xxhash.Sum64String(name), stream))
}

// requestDuration returns how long a runner takes for a request. One request in
// 60 takes nearly the lifetime of its slot.
func (sim *simulation) requestDuration(k spoolsill.RequestKey) time.Duration {
	r := sim.newRand(workStream, string(k))
	if r.IntN(60) == 0 {
		return slotLifetime * 9 / 10
	}
	return time.Duration(r.IntN(40)) * time.Millisecond
}

// taskRuntime returns how long a task attempt runs and whether it then fails.
func (sim *simulation) taskRuntime(s agent.StartRequest) (time.Duration, bool) {
	if s.Runtime == 0 {
		return time.Hour, false
	}
	r := sim.newRand(runtimeStream, fmt.Sprint(s.Task, s.Attempt))
	return s.Runtime/2 + time.Duration(r.IntN(int(s.Runtime))), r.IntN(12) == 0
}

func (sim *simulation) setUp() error {
	cell, err := standin.NewCell(standin.CellConfig{
		Halls:    halls,
		Workers:  workerCount,
		RackSize: 2,
		Capacity: spoolsill.Resources{
			Processors: 8 * spoolsill.Core,
			Memory:     16 * spoolsill.GiB,
		},
		Service: "quizdesk",
		Runners: runnerCount,
		Slots:   slots,
		Memory:  true,
		Work:    sim.requestDuration,
		Runtime: sim.taskRuntime,
	})
	if err != nil {
		return err
	}
	sim.cell = cell
	sim.fleet, err = fleet.New(fleet.Config{
		Cell:         cell,
		Halls:        halls,
		HostsPerHall: hostsPerHall,
		HallLease:    hallLease,
		TaskLease:    taskLease,
		Break:        sim.config.Break,
		Service: settings.Service{
			ID:           "quizdesk",
			Slots:        slots,
			SlotLifetime: settings.Duration(slotLifetime),
		},
	})
	if err != nil {
		cell.Close()
		return err
	}
	sim.balancer = fleet.NewBalancer(sim.fleet)
	sim.callers = fleet.NewCallers(sim.fleet, sim.balancer, sim.nextRequest)
	sim.operator = newOperator(sim)
	return nil
}

// run runs callers and an operator while failures are injected. It then waits
// until all failures have ended and the cell has settled, and checks the final
// state.
func (sim *simulation) run(ctx context.Context) error {
	if err := sim.fleet.WaitReady(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	startLoad := func(f func(context.Context)) {
		load.Add(1)
		go func() {
			defer load.Done()
			f(loadCtx)
		}()
	}
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	var background sync.WaitGroup
	for _, f := range []func(context.Context){sim.balancer.Run, sim.checkConfigVersions} {
		background.Add(1)
		go func() {
			defer background.Done()
			f(backgroundCtx)
		}()
	}
	for i := range callerCount {
		startLoad(func(callerCtx context.Context) { sim.runCaller(ctx, callerCtx, i) })
	}
	startLoad(sim.operator.run)
	sim.injectFailures(ctx)
	sim.injections.Wait()
	pause.For(ctx, 2*time.Second)
	stopLoad()
	load.Wait()
	pause.For(ctx, settleTime)
	err := sim.checkFinalState(ctx)
	stopBackground()
	background.Wait()
	return err
}

func (sim *simulation) runCaller(ctx, loadCtx context.Context, i int) {
	r := sim.newRand(callerStream, fmt.Sprint("caller ", i))
	for loadCtx.Err() == nil {
		sim.callers.Request(ctx)
		pause.For(loadCtx, randomDuration(r, 20*time.Millisecond, 200*time.Millisecond))
	}
}

func (sim *simulation) tearDown() {
	sim.callers.Close()
	sim.operator.close()
	sim.fleet.Close()
	sim.cell.Close()
	sim.result.Violations, sim.result.Cases = sim.cell.Truth.Violations()
	sim.result.Events = sim.fleet.Events()
	sim.result.Done = sim.callers.Done.Load()
	sim.result.NotRun = sim.callers.NotRun.Load()
	sim.result.Unknown = sim.callers.Unknown.Load()
}

// checkConfigVersions verifies until ctx ends that the configuration version in
// force at a host never decreases, not even over a restart.
func (sim *simulation) checkConfigVersions(ctx context.Context) {
	last := map[spoolsill.HostID]spoolsill.Version{}
	for ctx.Err() == nil {
		for id, v := range sim.fleet.ConfigVersions() {
			if v < last[id] && v != 0 {
				sim.cell.Truth.RecordViolation(standin.InvariantConfig, "host %s reverted from configuration %d to %d", id, last[id], v)
			}
			last[id] = v
		}
		pause.For(ctx, 100*time.Millisecond)
	}
}

// checkFinalState verifies the cell after all failures have ended.
func (sim *simulation) checkFinalState(ctx context.Context) error {
	if err := sim.fleet.WaitReady(ctx); err != nil {
		return err
	}
	for i := range sim.fleet.Len() {
		if h := sim.fleet.Host(i); h.HoldsLease() {
			if err := h.CheckInvariants(); err != nil && !errors.Is(err, holder.ErrNotHolder) {
				sim.cell.Truth.RecordViolation(standin.InvariantCapacity, "hall %s: %s", sim.fleet.Hall(i), err)
			}
		}
	}
	newest := sim.operator.newestConfigVersion()
	for id, v := range sim.fleet.ConfigVersions() {
		if v < newest {
			sim.cell.Truth.RecordViolation(standin.InvariantConfig, "host %s has configuration %d, but %d was accepted", id, v, newest)
		}
	}
	return sim.operator.checkJobs(ctx)
}

// String returns a readable summary of the result. It includes the schedule if an
// invariant was violated or the run failed.
func (r Result) String() string {
	s := fmt.Sprintf("done %d, not run %d, unknown %d, faults %v, broken %v, cases %v, err %v", r.Done, r.NotRun, r.Unknown, r.Faults, r.Violations, r.Cases, r.Err)
	if len(r.Cases) == 0 && r.Err == nil {
		return s
	}
	return s + "\n" + r.Schedule.String()
}
