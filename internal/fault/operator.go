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

// An unsavedJob is a job that may exist only in the memory of its hall's hosts.
// It includes the hosts that were lost since the job was confirmed.
type unsavedJob struct {
	hall      spoolsill.HallID
	lostHosts map[int]bool
}

// An operator submits and cancels jobs and changes the configuration. It records
// which jobs and configurations the system accepted, for the final checks.
type operator struct {
	sim    *simulation
	client *api.Client
	random *rand.Rand // used only by the goroutine of run

	mu        sync.Mutex
	jobCount  int
	confirmed map[spoolsill.JobID]bool
	refused   map[spoolsill.JobID]bool
	// unsaved has the jobs that were confirmed while the platform was
	// unresponsive.
	unsaved      map[spoolsill.JobID]unsavedJob
	newestConfig spoolsill.Version
}

func newOperator(sim *simulation) *operator {
	return &operator{
		sim:       sim,
		client:    sim.fleet.OperatorClient(),
		random:    sim.newRand(operatorStream, "operator"),
		confirmed: map[spoolsill.JobID]bool{},
		refused:   map[spoolsill.JobID]bool{},
		unsaved:   map[spoolsill.JobID]unsavedJob{},
	}
}

func (o *operator) close() {
	o.client.HTTPClient.CloseIdleConnections()
}

// run submits and cancels jobs and changes the configuration until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		switch o.random.IntN(8) {
		case 0:
			o.cancel(ctx)
		case 1:
			o.changeConfig(ctx)
		case 2:
			o.submitConcurrently(ctx)
		default:
			o.submit(ctx)
		}
		pause.For(ctx, randomDuration(o.random, 100*time.Millisecond, 1500*time.Millisecond))
	}
}

// newJob returns a random job file and the id of its job.
func (o *operator) newJob(hall spoolsill.HallID) (spoolsill.JobID, string) {
	o.mu.Lock()
	o.jobCount++
	id := spoolsill.JobID(fmt.Sprintf("%s-j%d", hall, o.jobCount))
	o.mu.Unlock()
	kinds := []string{"batch", "batch", "gang", "service"}
	kind := kinds[o.random.IntN(len(kinds))]
	unrepeatable := kind != "service" && o.random.IntN(3) == 0
	classes := []string{"urgent", "normal", "patient"}
	runtime := fmt.Sprintf("runtime = \"%ds\"\n", 1+o.random.IntN(5))
	if kind == "service" {
		runtime = ""
	}
	return id, fmt.Sprintf("id = %q\nteam = \"t%d\"\nkind = %q\nclass = %q\ntasks = %d\nprocessors = \"%d\"\nmemory = \"1GiB\"\nworth = %d\nunrepeatable = %t\n%s",
		id, o.random.IntN(3), kind, classes[o.random.IntN(3)], 1+o.random.IntN(4), 1+o.random.IntN(3), o.random.IntN(9), unrepeatable, runtime)
}

func (o *operator) submit(ctx context.Context) {
	hall := halls[o.random.IntN(len(halls))]
	id, text := o.newJob(hall)
	plan, err := o.client.Plan(ctx, api.PlanRequest{
		Hall:   hall,
		Submit: text,
	})
	if err != nil {
		return
	}
	o.confirm(ctx, id, hall, plan.ID)
}

// submitConcurrently makes two plans that compete for the same capacity and
// confirms them concurrently, each twice.
func (o *operator) submitConcurrently(ctx context.Context) {
	hall := halls[o.random.IntN(len(halls))]
	var wg sync.WaitGroup
	for range 2 {
		id, text := o.newJob(hall)
		plan, err := o.client.Plan(ctx, api.PlanRequest{
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
				o.confirm(ctx, id, hall, plan.ID)
			}()
		}
	}
	wg.Wait()
}

// confirm confirms a plan and retries until the response says whether the plan
// was accepted or is stale.
func (o *operator) confirm(ctx context.Context, id spoolsill.JobID, hall spoolsill.HallID, plan spoolsill.PlanID) {
	for range 4 {
		err := o.client.Confirm(ctx, hall, plan)
		var statusErr *api.StatusError
		switch {
		case err == nil:
			o.add(o.confirmed, id)
			o.trackUnsaved(id, hall)
			return
		case errors.As(err, &statusErr) && statusErr.Code == "stale":
			o.add(o.refused, id)
			return
		}
		pause.For(ctx, 300*time.Millisecond)
	}
}

// trackUnsaved records a confirmed job as unsaved if the platform is
// unresponsive for its hall.
func (o *operator) trackUnsaved(id spoolsill.JobID, hall spoolsill.HallID) {
	if !o.sim.fleet.PlatformUnresponsive(hall) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsaved[id] = unsavedJob{
		hall:      hall,
		lostHosts: map[int]bool{},
	}
}

// markLost records that a host lost its memory, or is unreachable while the
// platform is unresponsive. If all hosts of a hall are lost before the platform
// recovers, decisions made in the meantime can be lost too; the guarantees do
// not cover that case (docs/PROMISES.md).
func (o *operator) markLost(i int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, job := range o.unsaved {
		if job.hall == o.sim.fleet.Hall(i) {
			job.lostHosts[i] = true
		}
	}
}

// add adds a job to a set that is guarded by mu.
func (o *operator) add(set map[spoolsill.JobID]bool, id spoolsill.JobID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	set[id] = true
}

// cancel cancels a random job of a random hall.
func (o *operator) cancel(ctx context.Context) {
	hall := halls[o.random.IntN(len(halls))]
	jobs, err := o.client.Jobs(ctx, hall)
	if err != nil || len(jobs.Jobs) == 0 {
		return
	}
	plan, err := o.client.Plan(ctx, api.PlanRequest{
		Hall:   hall,
		Cancel: []spoolsill.JobID{jobs.Jobs[o.random.IntN(len(jobs.Jobs))].ID},
	})
	if err != nil {
		return
	}
	_ = o.client.Confirm(ctx, hall, plan.ID)
}

func (o *operator) changeConfig(ctx context.Context) {
	current, err := o.client.Config(ctx)
	if err != nil {
		return
	}
	accepted, err := o.client.PutConfig(ctx, api.PutConfigRequest{
		BaseVersion: current.Version,
		Author:      "operator",
		Text:        fmt.Sprintf("caller_rate_per_second = %d\n", 1000+o.random.IntN(1000)),
	})
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newestConfig = max(o.newestConfig, accepted.Version)
}

// newestConfigVersion returns the highest configuration version that was
// accepted.
func (o *operator) newestConfigVersion() spoolsill.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newestConfig
}

// checkJobs verifies that every confirmed job is known, except those lost with
// all hosts of their hall, that no cancelled job has a running task, and that
// no job of a plan refused as stale is known.
func (o *operator) checkJobs(ctx context.Context) error {
	jobs, err := o.client.Jobs(ctx, "")
	if err != nil {
		return err
	}
	known := map[spoolsill.JobID]api.Job{}
	for _, job := range jobs.Jobs {
		known[job.ID] = job
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.confirmed {
		job, ok := known[id]
		if !ok && len(o.unsaved[id].lostHosts) == hostsPerHall {
			o.sim.result.LostWithHall++
			continue
		}
		if !ok {
			o.sim.cell.Truth.RecordViolation(standin.InvariantDurability, "job %s was confirmed but is not known", id)
			continue
		}
		if job.Cancelled && job.States[spoolsill.TaskRunning] > 0 {
			o.sim.cell.Truth.RecordViolation(standin.InvariantDurability, "job %s was cancelled but is running: %v", id, job.States)
		}
	}
	for id := range o.refused {
		if _, ok := known[id]; ok && !o.confirmed[id] {
			o.sim.cell.Truth.RecordViolation(standin.InvariantDurability, "the plan of job %s was refused as stale, but the job is known", id)
		}
	}
	return nil
}
