package fault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
)

// harmed has hosts of one hall.
type harmed struct {
	hall  spoolsill.HallID
	hosts map[int]bool
}

// An operator submits and cancels jobs and changes the configuration, and
// remembers what was confirmed.
type operator struct {
	w      *world
	client *api.Client
	random *rand.Rand // of run alone

	mu        sync.Mutex
	jobs      int
	confirmed map[spoolsill.JobID]bool
	refused   map[spoolsill.JobID]bool
	// memory has the jobs that were confirmed while the platform was silent,
	// with the hosts of their hall that a failure has befallen since.
	memory  map[spoolsill.JobID]harmed
	version spoolsill.Version
}

func newOperator(w *world) *operator {
	return &operator{
		w:         w,
		client:    w.fleet.OperatorClient(),
		random:    w.drawFor(operatorStream, "operator"),
		confirmed: map[spoolsill.JobID]bool{},
		refused:   map[spoolsill.JobID]bool{},
		memory:    map[spoolsill.JobID]harmed{},
	}
}

func (o *operator) close() {
	o.client.HTTPClient.CloseIdleConnections()
}

func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch o.random.IntN(8) {
		case 0:
			o.cancel(ctx)
		case 1:
			o.configure(ctx)
		case 2:
			o.race(ctx)
		default:
			o.submit(ctx)
		}
		pause.For(ctx, between(o.random, 100*time.Millisecond, 1500*time.Millisecond))
	}
}

// job returns a new job file.
func (o *operator) job(hall spoolsill.HallID) (spoolsill.JobID, string) {
	o.mu.Lock()
	o.jobs++
	id := spoolsill.JobID(fmt.Sprintf("%s-j%d", hall, o.jobs))
	o.mu.Unlock()
	kinds := []string{"batch", "batch", "gang", "service"}
	kind := kinds[o.random.IntN(len(kinds))]
	once := kind != "service" && o.random.IntN(3) == 0
	classes := []string{"urgent", "normal", "patient"}
	runtime := fmt.Sprintf("runtime = \"%ds\"\n", 1+o.random.IntN(5))
	if kind == "service" {
		runtime = ""
	}
	return id, fmt.Sprintf("id = %q\nteam = \"t%d\"\nkind = %q\nclass = %q\ntasks = %d\nprocessors = \"%d\"\nmemory = \"1GiB\"\nworth = %d\nunrepeatable = %t\n%s",
		id, o.random.IntN(3), kind, classes[o.random.IntN(3)], 1+o.random.IntN(4), 1+o.random.IntN(3), o.random.IntN(9), once, runtime)
}

func (o *operator) submit(ctx context.Context) {
	hall := halls[o.random.IntN(len(halls))]
	id, text := o.job(hall)
	p, err := o.client.Plan(ctx, api.PlanRequest{
		Hall:   hall,
		Submit: text,
	})
	if err != nil {
		return
	}
	o.confirm(ctx, id, hall, p.ID)
}

// race has two operators confirm plans for the same room at once, each twice.
func (o *operator) race(ctx context.Context) {
	hall := halls[o.random.IntN(len(halls))]
	var wg sync.WaitGroup
	for range 2 {
		id, text := o.job(hall)
		p, err := o.client.Plan(ctx, api.PlanRequest{
			Hall:   hall,
			Submit: text,
		})
		if err != nil {
			continue
		}
		for range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				o.confirm(ctx, id, hall, p.ID)
			}()
		}
	}
	wg.Wait()
}

// confirm asks again while the answer is lost.
func (o *operator) confirm(ctx context.Context, id spoolsill.JobID, hall spoolsill.HallID, plan spoolsill.PlanID) {
	for range 4 {
		err := o.client.Confirm(ctx, hall, plan)
		var r *api.StatusError
		switch {
		case err == nil:
			o.note(o.confirmed, id)
			o.remember(id, hall)
			return
		case errors.As(err, &r) && r.Code == "stale":
			o.note(o.refused, id)
			return
		}
		pause.For(ctx, 300*time.Millisecond)
	}
}

// remember notes a job that may be in the memory of its hall only.
func (o *operator) remember(id spoolsill.JobID, hall spoolsill.HallID) {
	if !o.w.fleet.PlatformUnresponsive(hall) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.memory[id] = harmed{
		hall:  hall,
		hosts: map[int]bool{},
	}
}

// harm notes that a host has lost its memory, or can't be reached while the
// platform is silent. When that befalls all hosts of a hall before the platform
// is back, what was decided meanwhile can be lost with them: that is beyond
// what is promised (docs/PROMISES.md).
func (o *operator) harm(i int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.memory {
		if m.hall == o.w.fleet.Hall(i) {
			m.hosts[i] = true
		}
	}
}

func (o *operator) note(m map[spoolsill.JobID]bool, id spoolsill.JobID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m[id] = true
}

func (o *operator) cancel(ctx context.Context) {
	hall := halls[o.random.IntN(len(halls))]
	l, err := o.client.Jobs(ctx, hall)
	if err != nil || len(l.Jobs) == 0 {
		return
	}
	p, err := o.client.Plan(ctx, api.PlanRequest{
		Hall:   hall,
		Cancel: []spoolsill.JobID{l.Jobs[o.random.IntN(len(l.Jobs))].ID},
	})
	if err != nil {
		return
	}
	_ = o.client.Confirm(ctx, hall, p.ID)
}

func (o *operator) configure(ctx context.Context) {
	r, err := o.client.Config(ctx)
	if err != nil {
		return
	}
	a, err := o.client.PutConfig(ctx, api.PutConfigRequest{
		BaseVersion: r.Version,
		Author:      "operator",
		Text:        fmt.Sprintf("caller_rate_per_second = %d\n", 1000+o.random.IntN(1000)),
	})
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = max(o.version, a.Version)
}

// newest returns the newest version that was accepted.
func (o *operator) newest() spoolsill.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// check verifies that every confirmed job is known and that batch work has
// come to an end.
func (o *operator) check(ctx context.Context) error {
	l, err := o.client.Jobs(ctx, "")
	if err != nil {
		return err
	}
	known := map[spoolsill.JobID]api.Job{}
	for _, j := range l.Jobs {
		known[j.ID] = j
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.confirmed {
		j, ok := known[id]
		if !ok && len(o.memory[id].hosts) == hosts {
			o.w.result.LostWithHall++
			continue
		}
		if !ok {
			o.w.cell.Truth.Break(standin.NothingLost, "job %s was confirmed and is not known", id)
			continue
		}
		if j.Cancelled && j.States[spoolsill.TaskRunning] > 0 {
			o.w.cell.Truth.Break(standin.NothingLost, "job %s was cancelled and runs: %v", id, j.States)
		}
	}
	for id := range o.refused {
		if _, ok := known[id]; ok && !o.confirmed[id] {
			o.w.cell.Truth.Break(standin.NothingLost, "job %s was refused as stale and is known", id)
		}
	}
	return nil
}
