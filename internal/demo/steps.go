package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/api"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/internal/standin"
)

// The jobs that the demo submits.
const (
	serviceJob = `
id = "deck-cache"
team = "decks"
kind = "service"
tasks = 6
processors = "4"
memory = "8GiB"
`
	batchJob = `
id = "mark-archive"
team = "marking"
kind = "batch"
class = "patient"
tasks = 60
processors = "8"
memory = "4GiB"
runtime = "6s"
worth = 3
`
	gangJob = `
id = "standings"
team = "standings"
kind = "gang"
tasks = 8
processors = "16"
memory = "16GiB"
runtime = "4s"
`
)

const firstConfig = `
caller_rate_per_second = 5000

[[team]]
id = "decks"
processors_millicores = 400000
memory_bytes = 1099511627776

[[team]]
id = "marking"
weight = 2
processors_millicores = 2000000
memory_bytes = 2199023255552
`

// run runs the steps of the demo.
func (d *demo) run(ctx context.Context) error {
	if err := d.fleet.WaitReady(ctx); err != nil {
		return err
	}
	d.printf("6 entry hosts in 3 halls are ready, each hall has a holder")
	if err := d.submitJobs(ctx); err != nil {
		return err
	}
	stop := d.startCallers(ctx)
	if err := d.injectFailures(ctx); err != nil {
		return err
	}
	stop()
	d.printf("the callers have stopped")
	return d.recordFinalStates(ctx)
}

// submitJobs puts the first configuration and submits a job of each kind.
func (d *demo) submitJobs(ctx context.Context) error {
	a, err := d.client.PutConfig(ctx, api.PutConfigRequest{
		Author: "demo",
		Note:   "first quotas",
		Text:   firstConfig,
	})
	if err != nil {
		return eris.Wrap(err, "config")
	}
	if err := d.waitConfig(ctx, a.Version); err != nil {
		return err
	}
	for i, job := range []string{serviceJob, batchJob, gangJob} {
		if err := d.submit(ctx, d.halls[i%len(d.halls)], job); err != nil {
			return err
		}
	}
	return nil
}

// configTimeout is the maximum time until an accepted configuration is in force
// at all hosts.
const configTimeout = 8 * time.Second

// waitConfig waits until a version is in force at every running host. It records
// a violation if that takes longer than configTimeout.
func (d *demo) waitConfig(ctx context.Context, v spoolsill.Version) error {
	began := time.Now()
	for {
		outdated := spoolsill.HostID("")
		for id, x := range d.fleet.ConfigVersions() {
			if x < v {
				outdated = id
			}
		}
		if outdated == "" {
			d.printf("configuration %d is in force at every host after %.1f s", v, time.Since(began).Seconds())
			return nil
		}
		if time.Since(began) > configTimeout {
			d.cell.Truth.RecordViolation(standin.InvariantConfig, "configuration %d is not in force at host %s after %s", v, outdated, configTimeout)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

// submit plans a job and confirms the plan.
func (d *demo) submit(ctx context.Context, hall spoolsill.HallID, job string) error {
	p, err := d.client.Plan(ctx, api.PlanRequest{
		Hall:   hall,
		Submit: job,
	})
	if err != nil {
		return eris.Wrap(err, "plan")
	}
	if err := d.client.Confirm(ctx, p.Hall, p.ID); err != nil {
		return eris.Wrap(err, "confirm")
	}
	d.printf("hall %s: plan %s with %d changes is confirmed, e.g. %s %s on %s", p.Hall, p.ID, len(p.Changes), p.Changes[0].Verb, p.Changes[0].Task, p.Changes[0].Worker)
	return nil
}

// startCallers starts concurrent callers that send requests. The returned function
// stops them and waits for the requests in flight.
func (d *demo) startCallers(ctx context.Context) (stop func()) {
	sendCtx, cancel := context.WithCancel(ctx)
	go d.balancer.Run(ctx)
	pause.For(ctx, 300*time.Millisecond)
	var wg sync.WaitGroup
	for range d.config.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sendCtx.Err() == nil && d.callers.Started.Load() < int64(d.config.Requests) {
				d.callers.Request(ctx)
				pause.For(sendCtx, 40*time.Millisecond)
			}
		}()
	}
	d.printf("%d callers send requests, a third of them unrepeatable", d.config.Callers)
	return func() {
		cancel()
		wg.Wait()
	}
}

func (d *demo) printProgress() {
	c := d.callers
	d.printf("so far %d done, %d not run, %d unknown", c.Done.Load(), c.NotRun.Load(), c.Unknown.Load())
}

// injectFailures injects the failures, one after another and some at the same time.
func (d *demo) injectFailures(ctx context.Context) error {
	pause.For(ctx, 2*time.Second)
	d.printProgress()
	killed, _ := d.fleet.Holder(d.halls[0])
	d.fleet.Kill(killed)
	d.printf("host %s, the holder of hall %s, was killed", d.fleet.HostID(killed), d.halls[0])
	if err := d.waitHolder(ctx, d.halls[0]); err != nil {
		return err
	}
	drained, _ := d.fleet.Holder(d.halls[1])
	id := d.fleet.HostID(drained)
	clean := d.fleet.Stop(ctx, drained)
	d.printf("host %s was stopped as planned (clean: %t)", id, clean)
	if !clean {
		d.cell.Truth.RecordViolation(standin.InvariantPlannedStop, "host %s did not finish its work in time", id)
	}
	d.printProgress()
	for _, i := range []int{killed, drained} {
		if err := d.fleet.Restart(i); err != nil {
			return err
		}
	}
	d.printf("both hosts were restarted")
	pause.For(ctx, time.Second)
	d.markRunnerLeaving(ctx)
	if err := d.interruptPlatform(ctx); err != nil {
		return err
	}
	return d.partitionHall(ctx)
}

// markRunnerLeaving marks one runner as leaving.
func (d *demo) markRunnerLeaving(ctx context.Context) {
	id := spoolsill.RunnerID(string(d.halls[2]) + "-u00")
	d.cell.Platform.SetLeaving(string(id))
	d.cell.Runners[id].SetLeaving()
	d.printf("runner %s is leaving", id)
	pause.For(ctx, 500*time.Millisecond)
}

// interruptPlatform takes the platform down for five seconds and then puts the
// second configuration.
func (d *demo) interruptPlatform(ctx context.Context) error {
	d.cell.Platform.Fault.SetDown(true)
	d.printf("the platform is down")
	before := d.callers.Done.Load()
	pause.For(ctx, 5*time.Second)
	d.printf("%d requests were done during the outage", d.callers.Done.Load()-before)
	if err := d.submit(ctx, d.halls[2], "id = \"didube-late\"\nteam = \"decks\"\nkind = \"batch\"\ntasks = 3\nprocessors = \"1\"\nmemory = \"1GiB\"\nruntime = \"1s\"\n"); err != nil {
		d.printf("submitting a job during the outage failed: %s", err)
	}
	d.cell.Platform.Fault.SetDown(false)
	d.printf("the platform is back")
	pause.For(ctx, 2*time.Second)
	a, err := d.client.PutConfig(ctx, api.PutConfigRequest{
		BaseVersion: 1,
		Author:      "demo",
		Note:        "second quotas",
		Text:        firstConfig + "\n[[team]]\nid = \"standings\"\nprocessors_millicores = 900000\nmemory_bytes = 1099511627776\n",
	})
	if err != nil {
		return eris.Wrap(err, "config")
	}
	d.result.Config = a.Version
	return d.waitConfig(ctx, a.Version)
}

// partitionHall partitions one hall from the others and from the platform for five
// seconds.
func (d *demo) partitionHall(ctx context.Context) error {
	h := string(d.halls[2])
	others := []string{string(d.halls[0]), string(d.halls[1]), standin.PlatformPlace}
	for _, o := range others {
		d.cell.Network.SetPartitioned(h, o, true)
	}
	d.printf("hall %s is partitioned from the other halls and the platform", h)
	pause.For(ctx, 5*time.Second)
	d.printProgress()
	for _, o := range others {
		d.cell.Network.SetPartitioned(h, o, false)
	}
	d.printf("the partition of hall %s has ended", h)
	pause.For(ctx, 2*time.Second)
	return d.waitHolder(ctx, d.halls[2])
}

// waitHolder waits until the holder of a hall responds, and records the time that
// it took.
func (d *demo) waitHolder(ctx context.Context, hall spoolsill.HallID) error {
	began := time.Now()
	for {
		w, err := d.client.Workers(ctx, hall)
		if err == nil && len(w.UnavailableHalls) == 0 {
			took := time.Since(began)
			d.printf("hall %s places tasks again after %.1f s", hall, took.Seconds())
			d.result.Recovery[string(hall)] = took
			return nil
		}
		if ctx.Err() != nil {
			return eris.Wrapf(ctx.Err(), "hall %s has no holder", hall)
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

// recordFinalStates waits until all tasks of the service run, and then records the
// number of running tasks of each job.
func (d *demo) recordFinalStates(ctx context.Context) error {
	for {
		j, err := d.client.Job(ctx, "deck-cache")
		if err == nil && j.Job.States[spoolsill.TaskRunning] == 6 {
			break
		}
		if ctx.Err() != nil {
			return fmt.Errorf("service deck-cache does not run all its tasks: %v, %w", j.Job.States, ctx.Err())
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	jobs, err := d.client.Jobs(ctx, "")
	if err != nil {
		return err
	}
	for _, j := range jobs.Jobs {
		d.result.Jobs[j.ID] = j.States[spoolsill.TaskRunning]
		d.printf("job %s in hall %s: %v", j.ID, j.Hall, j.States)
	}
	return nil
}
