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

// play runs the story.
func (d *demo) play(ctx context.Context) error {
	if err := d.fleet.WaitReady(ctx); err != nil {
		return err
	}
	d.tell("6 entry hosts in 3 halls are ready, each hall has a holder")
	if err := d.operate(ctx); err != nil {
		return err
	}
	stop := d.startCallers(ctx)
	if err := d.fail(ctx); err != nil {
		return err
	}
	stop()
	d.tell("the callers have ended")
	return d.checkEnd(ctx)
}

// operate accepts a configuration and confirms a plan for each kind of job.
func (d *demo) operate(ctx context.Context) error {
	a, err := d.client.PutConfig(ctx, api.PutConfigRequest{
		Author: "demo",
		Note:   "first quotas",
		Text:   firstConfig,
	})
	if err != nil {
		return eris.Wrap(err, "config")
	}
	if err := d.inForce(ctx, a.Version); err != nil {
		return err
	}
	for i, job := range []string{serviceJob, batchJob, gangJob} {
		if err := d.submit(ctx, d.halls[i%len(d.halls)], job); err != nil {
			return err
		}
	}
	return nil
}

// configTime is how long a configuration may take to be in force everywhere.
const configTime = 8 * time.Second

// inForce waits until a version is in force at every host that runs.
func (d *demo) inForce(ctx context.Context, v spoolsill.Version) error {
	began := time.Now()
	for {
		late := spoolsill.HostID("")
		for id, x := range d.fleet.ConfigVersions() {
			if x < v {
				late = id
			}
		}
		if late == "" {
			d.tell("configuration %d is in force at every host after %.1f s", v, time.Since(began).Seconds())
			return nil
		}
		if time.Since(began) > configTime {
			d.cell.Truth.Break(standin.ConfigOnly, "configuration %d is not in force at host %s after %s", v, late, configTime)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

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
	d.tell("hall %s: plan %s with %d changes is confirmed, e.g. %s %s on %s", p.Hall, p.ID, len(p.Changes), p.Changes[0].Verb, p.Changes[0].Task, p.Changes[0].Worker)
	return nil
}

// startCallers has requests sent at a steady rate until the returned function
// is called, which waits for the last ones.
func (d *demo) startCallers(ctx context.Context) (stop func()) {
	work, end := context.WithCancel(ctx)
	go d.balancer.Run(ctx)
	pause.For(ctx, 300*time.Millisecond)
	var wg sync.WaitGroup
	for range d.config.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for work.Err() == nil && d.callers.Started.Load() < int64(d.config.Requests) {
				d.callers.Request(ctx)
				pause.For(work, 40*time.Millisecond)
			}
		}()
	}
	d.tell("%d callers send requests, a third of them unrepeatable", d.config.Callers)
	return func() {
		end()
		wg.Wait()
	}
}

func (d *demo) progress() {
	c := d.callers
	d.tell("so far %d done, %d not run, %d unknown", c.Done.Load(), c.NotRun.Load(), c.Unknown.Load())
}

// fail brings about the failures, one after another and some together.
func (d *demo) fail(ctx context.Context) error {
	pause.For(ctx, 2*time.Second)
	d.progress()
	killed, _ := d.fleet.Holder(d.halls[0])
	d.fleet.Kill(killed)
	d.tell("host %s, which held hall %s, has died", d.fleet.HostID(killed), d.halls[0])
	if err := d.waitHolder(ctx, d.halls[0]); err != nil {
		return err
	}
	drained, _ := d.fleet.Holder(d.halls[1])
	id := d.fleet.HostID(drained)
	clean := d.fleet.Stop(ctx, drained)
	d.tell("host %s was stopped as planned (clean: %t)", id, clean)
	if !clean {
		d.cell.Truth.Break(standin.PlannedStop, "host %s did not finish its work in time", id)
	}
	d.progress()
	for _, i := range []int{killed, drained} {
		if err := d.fleet.Restart(i); err != nil {
			return err
		}
	}
	d.tell("both hosts are started again")
	pause.For(ctx, time.Second)
	d.leave(ctx)
	if err := d.outage(ctx); err != nil {
		return err
	}
	return d.cut(ctx)
}

// leave has one runner leave.
func (d *demo) leave(ctx context.Context) {
	id := spoolsill.RunnerID(string(d.halls[2]) + "-u00")
	d.cell.Platform.SetLeaving(string(id))
	d.cell.Runners[id].SetLeaving()
	d.tell("runner %s is leaving", id)
	pause.For(ctx, 500*time.Millisecond)
}

// outage takes the platform down for a while.
func (d *demo) outage(ctx context.Context) error {
	d.cell.Platform.Fault.SetDown(true)
	d.tell("the platform is down")
	before := d.callers.Done.Load()
	pause.For(ctx, 5*time.Second)
	d.tell("%d requests were served without it", d.callers.Done.Load()-before)
	if err := d.submit(ctx, d.halls[2], "id = \"didube-late\"\nteam = \"decks\"\nkind = \"batch\"\ntasks = 3\nprocessors = \"1\"\nmemory = \"1GiB\"\nruntime = \"1s\"\n"); err != nil {
		d.tell("a job can't be added without it: %s", err)
	}
	d.cell.Platform.Fault.SetDown(false)
	d.tell("the platform is back")
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
	return d.inForce(ctx, a.Version)
}

// cut cuts one hall off from the others and from the platform.
func (d *demo) cut(ctx context.Context) error {
	h := string(d.halls[2])
	others := []string{string(d.halls[0]), string(d.halls[1]), standin.PlatformPlace}
	for _, o := range others {
		d.cell.Network.SetCut(h, o, true)
	}
	d.tell("hall %s is cut off from the other halls and the platform", h)
	pause.For(ctx, 5*time.Second)
	d.progress()
	for _, o := range others {
		d.cell.Network.SetCut(h, o, false)
	}
	d.tell("hall %s is back", h)
	pause.For(ctx, 2*time.Second)
	return d.waitHolder(ctx, d.halls[2])
}

// waitHolder waits until a hall has a holder that answers.
func (d *demo) waitHolder(ctx context.Context, hall spoolsill.HallID) error {
	began := time.Now()
	for {
		w, err := d.client.Workers(ctx, hall)
		if err == nil && len(w.UnavailableHalls) == 0 {
			took := time.Since(began)
			d.tell("hall %s places tasks again after %.1f s", hall, took.Seconds())
			d.result.Recovery[string(hall)] = took
			return nil
		}
		if ctx.Err() != nil {
			return eris.Wrapf(ctx.Err(), "hall %s has no holder", hall)
		}
		pause.For(ctx, 50*time.Millisecond)
	}
}

// checkEnd verifies what must hold at the end: the service runs in full, and
// configuration and records agree.
func (d *demo) checkEnd(ctx context.Context) error {
	for {
		j, err := d.client.Job(ctx, "deck-cache")
		if err == nil && j.Job.States[spoolsill.TaskRunning] == 6 {
			break
		}
		if ctx.Err() != nil {
			return fmt.Errorf("service deck-cache does not run in full: %v, %w", j.Job.States, ctx.Err())
		}
		pause.For(ctx, 100*time.Millisecond)
	}
	jobs, err := d.client.Jobs(ctx, "")
	if err != nil {
		return err
	}
	for _, j := range jobs.Jobs {
		d.result.Jobs[j.ID] = j.States[spoolsill.TaskRunning]
		d.tell("job %s in hall %s: %v", j.ID, j.Hall, j.States)
	}
	return nil
}
