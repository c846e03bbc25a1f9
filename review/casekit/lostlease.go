//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// killDelay is the time from the crash of the worker to the kill of the leader.
	killDelay = time.Second
	// undisturbed is how long nothing is disturbed before the check. The killed machine is in
	// touch contactMs, 3 s, after its start; the rule wants 4 s and 3 s that are calm.
	undisturbed = 10 * time.Second
	// lastingTasks are the tasks of the job. No two of them share a worker, so that three other
	// workers of six have room for each of them after one worker is lost.
	lastingTasks = 3
	// restartLimit bounds the wait for the restart after the check, for the record.
	restartLimit = 20 * time.Second
)

// playLostLease shows that a task that lasts is not started again for long after its worker
// was lost, if the leader changes.
func playLostLease(ctx context.Context, c *cell, trouble bool) ([]string, error) {
	id := newJobID()
	if !c.client.submit(ctx, id, fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":1000,"memMb":256,"estMs":500,"longRunning":true,"antiAffinity":1}]}`, lastingTasks)) {
		return nil, errors.New("the job was not accepted")
	}
	wait(ctx, 2*time.Second)
	m := c.busyMachine(id)
	if m == nil {
		return nil, errors.New("the tasks do not run")
	}
	tasks := c.lastRanAt(m.id)
	lostAt := time.Now()
	if trouble {
		m.crash()
		wait(ctx, killDelay)
		h := c.leader()
		if h == nil {
			return nil, errors.New("no host leads")
		}
		h.kill()
		wait(ctx, downTime)
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	c.record.add("nothing is disturbed from now on")
	wait(ctx, undisturbed)
	return c.checkRestarted(ctx, tasks, lostAt, trouble), ctx.Err()
}

// busyMachine returns a machine with a task of a job.
func (c *cell) busyMachine(id spoolsill.JobID) *machine {
	for _, m := range c.machines {
		for _, t := range c.lastRanAt(m.id) {
			if t.Stage.Job == id {
				return m
			}
		}
	}
	return nil
}

// checkRestarted returns the tasks that lasted at a lost worker and have not been started again.
// Without the disruption they must still run.
func (c *cell) checkRestarted(ctx context.Context, tasks []sched.TaskID, lostAt time.Time, trouble bool) []string {
	var broken []string
	for _, t := range tasks {
		if trouble && !c.startedSince(t, lostAt) {
			broken = append(broken, fmt.Sprintf("LOST: %s lasts and has not been started again %.1f s after its worker was lost, 10 s of them without a disruption; %d workers have room for it", t, time.Since(lostAt).Seconds(), len(c.machines)-lastingTasks))
		}
	}
	if n := c.workers.RunningCount(); !trouble && n != lastingTasks {
		broken = append(broken, fmt.Sprintf("LOST: %d tasks that last run, of %d", n, lastingTasks))
	}
	if !trouble {
		return broken
	}
	end := time.Now().Add(restartLimit)
	for !c.startedSince(tasks[0], lostAt) && time.Now().Before(end) && wait(ctx, 100*time.Millisecond) {
		continue
	}
	c.record.add("the tasks %s: started again %v, %.1f s after the loss", joinTasks(tasks), c.startedSince(tasks[0], lostAt), time.Since(lostAt).Seconds())
	return broken
}
