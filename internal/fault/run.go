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

// A Config describes one sequence.
type Config struct {
	Seed uint64
	// Schedule has the failures; without steps it is drawn from Seed.
	Schedule Schedule
	// Duration is the virtual time in which failures begin; 0 means
	// DefaultDuration.
	Duration time.Duration
	// Break switches mechanisms off.
	Break entry.Breaks
}

// DefaultDuration is the virtual time in which failures begin.
const DefaultDuration = 40 * time.Second

// A Result is what became of a sequence.
type Result struct {
	Schedule   Schedule
	Faults     map[string]int
	Violations map[standin.Promise]int
	Cases      []string
	Done       int64
	NotRun     int64
	Unknown    int64
	Recovery   map[string][]time.Duration // by kind of failure
	// LostWithHall counts jobs that were confirmed while the platform was
	// silent and lost when the hall lost all its hosts before it came back.
	LostWithHall int
	Events       []timeline.Event // of all lives of all hosts
	Err          error            // the sequence could not be run to its end
}

// The sizes of a sequence's cell.
const (
	hosts     = 2
	workers   = 8
	runners   = 6
	slots     = 4
	callers   = 6
	lifetime  = 2 * time.Second
	hallLease = 2 * time.Second
	taskLease = 4 * time.Second
	settling  = 40 * time.Second // after the last failure
	bound     = 5 * time.Minute  // of virtual time
)

var halls = []spoolsill.HallID{"east", "west"}

// Run runs a sequence. It must be called in a bubble of testing/synctest.
func Run(c Config) Result {
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if len(c.Schedule.Steps) == 0 {
		c.Schedule = RandomSchedule(c.Seed, c.Duration)
	}
	w := &world{
		config:   c,
		schedule: c.Schedule,
		requests: rand.New(rand.NewPCG(c.Seed, callerStream)),
		result: Result{
			Schedule: c.Schedule,
			Faults:   map[string]int{},
			Recovery: map[string][]time.Duration{},
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := w.start(); err != nil {
		w.result.Err = err
		return w.result
	}
	w.result.Err = w.play(ctx)
	w.end()
	return w.result
}

// A world is one cell that failures befall.
type world struct {
	config   Config
	cell     *standin.Cell
	fleet    *fleet.Fleet
	balancer *fleet.Balancer
	callers  *fleet.Callers
	operator *operator
	result   Result

	schedule Schedule

	mu       sync.Mutex // guards requests and the result while it is played
	requests *rand.Rand
	heals    sync.WaitGroup
}

// request returns what the next request of a caller follows from.
func (w *world) request() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests.Uint64()
}

// drawFor returns a source of its own for a name: what it gives follows from
// the seed and the name only, whoever asks first.
func (w *world) drawFor(stream uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(w.config.Seed^xxhash.Sum64String(name), stream))
}

// work returns how long a runner takes for a request.
func (w *world) work(k spoolsill.RequestKey) time.Duration {
	r := w.drawFor(workStream, string(k))
	if r.IntN(60) == 0 {
		return lifetime * 9 / 10
	}
	return time.Duration(r.IntN(40)) * time.Millisecond
}

// runtime returns how long a start of a task runs, and whether it fails then.
func (w *world) runtime(s agent.StartRequest) (time.Duration, bool) {
	if s.Runtime == 0 {
		return time.Hour, false
	}
	r := w.drawFor(runtimeStream, fmt.Sprint(s.Task, s.Attempt))
	return s.Runtime/2 + time.Duration(r.IntN(int(s.Runtime))), r.IntN(12) == 0
}

func (w *world) start() error {
	cell, err := standin.NewCell(standin.CellConfig{
		Halls:    halls,
		Workers:  workers,
		RackSize: 2,
		Capacity: spoolsill.Resources{
			Processors: 8 * spoolsill.Core,
			Memory:     16 * spoolsill.GiB,
		},
		Service: "quizdesk",
		Runners: runners,
		Slots:   slots,
		Memory:  true,
		Work:    w.work,
		Runtime: w.runtime,
	})
	if err != nil {
		return err
	}
	w.cell = cell
	w.fleet, err = fleet.New(fleet.Config{
		Cell:         cell,
		Halls:        halls,
		HostsPerHall: hosts,
		HallLease:    hallLease,
		TaskLease:    taskLease,
		Break:        w.config.Break,
		Service: settings.Service{
			ID:           "quizdesk",
			Slots:        slots,
			SlotLifetime: settings.Duration(lifetime),
		},
	})
	if err != nil {
		cell.Close()
		return err
	}
	w.balancer = fleet.NewBalancer(w.fleet)
	w.callers = fleet.NewCallers(w.fleet, w.balancer, w.request)
	w.operator = newOperator(w)
	return nil
}

// play has callers and operators work while failures come and go, then lets
// everything heal and settle, and checks what must be true in the end.
func (w *world) play(ctx context.Context) error {
	if err := w.fleet.WaitReady(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	spawn := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(work)
		}()
	}
	background, quiet := context.WithCancel(ctx)
	defer quiet()
	var watchers sync.WaitGroup
	for _, f := range []func(context.Context){w.balancer.Run, w.watchConfig} {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			f(background)
		}()
	}
	for i := range callers {
		spawn(func(work context.Context) { w.call(ctx, work, i) })
	}
	spawn(w.operator.run)
	w.fail(ctx)
	w.heals.Wait()
	pause.For(ctx, 2*time.Second)
	stop()
	wg.Wait()
	pause.For(ctx, settling)
	err := w.checkEnd(ctx)
	quiet()
	watchers.Wait()
	return err
}

func (w *world) call(ctx, work context.Context, i int) {
	r := w.drawFor(callerStream, fmt.Sprint("caller ", i))
	for work.Err() == nil {
		w.callers.Request(ctx)
		pause.For(work, between(r, 20*time.Millisecond, 200*time.Millisecond))
	}
}

func (w *world) end() {
	w.callers.Close()
	w.operator.close()
	w.fleet.Close()
	w.cell.Close()
	w.result.Violations, w.result.Cases = w.cell.Truth.Broken()
	w.result.Events = w.fleet.Events()
	w.result.Done = w.callers.Done.Load()
	w.result.NotRun = w.callers.NotRun.Load()
	w.result.Unknown = w.callers.Unknown.Load()
}

// watchConfig verifies that no host goes back to a lower version, neither in
// one life nor below what its hall has in force.
func (w *world) watchConfig(ctx context.Context) {
	last := map[spoolsill.HostID]spoolsill.Version{}
	for ctx.Err() == nil {
		for id, v := range w.fleet.ConfigVersions() {
			if v < last[id] && v != 0 {
				w.cell.Truth.Break(standin.ConfigOnly, "host %s goes from configuration %d back to %d", id, last[id], v)
			}
			last[id] = v
		}
		pause.For(ctx, 100*time.Millisecond)
	}
}

// checkEnd verifies the cell after everything has healed.
func (w *world) checkEnd(ctx context.Context) error {
	if err := w.fleet.WaitReady(ctx); err != nil {
		return err
	}
	for i := range w.fleet.Len() {
		if h := w.fleet.Host(i); h.HoldsLease() {
			if err := h.CheckInvariants(); err != nil && !errors.Is(err, holder.ErrNotHolder) {
				w.cell.Truth.Break(standin.Capacity, "hall %s: %s", w.fleet.Hall(i), err)
			}
		}
	}
	newest := w.operator.newest()
	for id, v := range w.fleet.ConfigVersions() {
		if v < newest {
			w.cell.Truth.Break(standin.ConfigOnly, "host %s has configuration %d, %d was accepted", id, v, newest)
		}
	}
	return w.operator.check(ctx)
}

// String returns the result for people, with the schedule when it must be
// played again.
func (r Result) String() string {
	s := fmt.Sprintf("done %d, not run %d, unknown %d, faults %v, broken %v, cases %v, err %v", r.Done, r.NotRun, r.Unknown, r.Faults, r.Violations, r.Cases, r.Err)
	if len(r.Cases) == 0 && r.Err == nil {
		return s
	}
	return s + "\n" + r.Schedule.String()
}
