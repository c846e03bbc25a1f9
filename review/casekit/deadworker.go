//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spoolsill/spoolsill"
)

const (
	// longJobs is how many jobs with one long task are submitted: half of the capacity.
	longJobs = 24
	// crashedMachines crash at the same time. leaderKillDelay later the leader is killed, and
	// restartDelay after that the machines run again.
	crashedMachines = 3
	leaderKillDelay = 3300 * time.Millisecond
	restartDelay    = 200 * time.Millisecond
	// finishTime is finish_s, and calmTime how long nothing is disturbed before the check:
	// longer than the longest lease, twice.
	finishTime = 14 * time.Second
	calmTime   = 30 * time.Second
	// idleTime is for how long a job must have nothing running.
	idleTime = 3 * time.Second
)

// playDeadWorker shows that accepted jobs are never run after a change of the leader.
func playDeadWorker(ctx context.Context, c *cell, trouble bool) ([]string, error) {
	var jobs []spoolsill.JobID
	for range longJobs {
		id := newJobID()
		if c.client.submit(ctx, id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":8000}]}`) {
			jobs = append(jobs, id)
		}
	}
	if len(jobs) < longJobs {
		return nil, fmt.Errorf("only %d jobs were accepted", len(jobs))
	}
	wait(ctx, time.Second)
	if trouble {
		if err := c.crashAndKillLeader(ctx); err != nil {
			return nil, err
		}
	}
	c.record.add("nothing is disturbed from now on")
	wait(ctx, calmTime)
	return c.findIdle(ctx, jobs), ctx.Err()
}

// crashAndKillLeader crashes machines and then kills the leader. While the next leader reads
// the jobs, one of its connections to the store goes silent.
func (c *cell) crashAndKillLeader(ctx context.Context) error {
	for _, m := range c.machines[:crashedMachines] {
		m.crash()
	}
	wait(ctx, leaderKillDelay)
	h := c.leader()
	if h == nil {
		return errors.New("no host leads")
	}
	h.kill()
	c.gate.silenceNext(func(r *http.Request) bool {
		q := r.URL.Query()
		return r.URL.Path == "/api/rows-get" && q.Get("table") == "jobs" && q.Get("part") != ""
	})
	wait(ctx, restartDelay)
	for _, m := range c.machines[:crashedMachines] {
		m.startLife()
	}
	wait(ctx, time.Second)
	return h.start()
}

// findIdle returns the jobs that have not ended and had nothing running for idleTime, while
// most of the capacity was free.
func (c *cell) findIdle(ctx context.Context, jobs []spoolsill.JobID) []string {
	var broken []string
	for end := time.Now().Add(idleTime); time.Now().Before(end); wait(ctx, 100*time.Millisecond) {
		if n := c.workers.RunningCount(); n > 0 {
			c.record.add("%d runs are still active", n)
			return nil
		}
	}
	for _, id := range jobs {
		s := c.client.state(id)
		c.record.add("client: GET %s: %q", id, s)
		if s == "completed" {
			continue
		}
		starts := c.startsOf(taskOf(id, 0))
		broken = append(broken, fmt.Sprintf("LOST: job %s is %q, has nothing running, and all %d cores are free; its starts: %s", id, s, machineCores*len(c.machines), describe(starts)))
	}
	return broken
}

func describe(starts []start) string {
	if len(starts) == 0 {
		return "none"
	}
	s := ""
	for _, x := range starts {
		s += fmt.Sprintf("run %d at %s, %.1f s ago; ", x.run.Number, x.worker, time.Since(x.at).Seconds())
	}
	return s
}
