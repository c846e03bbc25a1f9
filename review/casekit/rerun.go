//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
)

const (
	// Jobs are submitted for trafficTime, one each jobInterval.
	trafficTime = 9 * time.Second
	jobInterval = 50 * time.Millisecond
	// partDownAt and partDownFor are when and how long the store is down in part.
	partDownAt  = 4 * time.Second
	partDownFor = 3 * time.Second
	// keptMargin is how much longer than twice status_s the case waits before a host is killed.
	keptMargin = 6 * time.Second
	// downTime is how long the killed process is down, watchTime how long the case goes on.
	downTime  = 500 * time.Millisecond
	watchTime = 10 * time.Second
)

// playRerun shows that jobs run again long after clients were told that they are completed.
func playRerun(ctx context.Context, c *cell, trouble bool) ([]string, error) {
	jobs := c.submitTraffic(ctx, trouble)
	if len(jobs) < 20 {
		return nil, fmt.Errorf("only %d jobs were accepted", len(jobs))
	}
	if err := c.awaitCompleted(ctx, jobs); err != nil {
		return nil, err
	}
	c.record.add("all %d accepted jobs are shown as completed", len(jobs))
	kept := 2*time.Duration(c.config.statusSeconds)*time.Second + keptMargin
	if !wait(ctx, kept) {
		return nil, ctx.Err()
	}
	if trouble {
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
	wait(ctx, watchTime)
	var broken []string
	for _, v := range c.workers.Violations() {
		// A task runs again although its end as done was taken note of.
		if strings.Contains(v, "started after its end was acknowledged") {
			broken = append(broken, "TWICE: "+v)
		}
	}
	return broken, nil
}

// submitTraffic submits jobs, and with trouble takes the partitions of the hosts down for a
// while. It returns the accepted jobs.
func (c *cell) submitTraffic(ctx context.Context, trouble bool) []spoolsill.JobID {
	if trouble {
		go func() {
			wait(ctx, partDownAt)
			c.record.add("store: down in part: 503 for the partitions %v", c.partitions())
			c.gate.setRefused(c.partitions()...)
			wait(ctx, partDownFor)
			c.gate.setRefused()
			c.record.add("store: whole again")
		}()
	}
	var (
		mu   sync.Mutex
		jobs []spoolsill.JobID
		wg   sync.WaitGroup
	)
	for end := time.Now().Add(trafficTime); time.Now().Before(end); wait(ctx, jobInterval) {
		wg.Go(func() {
			id := newJobID()
			if !c.client.submit(ctx, id, `{"spec":"x","steps":[{"count":1,"cpu":1000,"memMb":256,"estMs":300}]}`) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			jobs = append(jobs, id)
		})
	}
	wg.Wait()
	return jobs
}

// completionTimeout bounds the wait for jobs to complete.
const completionTimeout = 20 * time.Second

// awaitCompleted waits until all jobs are shown as completed.
func (c *cell) awaitCompleted(ctx context.Context, jobs []spoolsill.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	for _, id := range jobs {
		for c.client.state(id) != "completed" {
			if !wait(ctx, 100*time.Millisecond) {
				return fmt.Errorf("job %s is not shown as completed", id)
			}
		}
		c.record.add("client: GET %s: %d completed", id, http.StatusOK)
	}
	return nil
}
