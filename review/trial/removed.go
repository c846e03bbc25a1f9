//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// removed checks LOST: the operator removes a route whose accepted jobs are at work, and then the
// leading host is stopped as planned. For trials, HANDOVER=0 in the environment leaves out the stop,
// and READD=1 adds the route again at the end.
func removed(r *record, trouble bool) (verdict, error) {
	const prefix = "/lohu930/"
	t, err := newTrial(r)
	if err != nil {
		return verdict{}, err
	}
	defer t.end()
	queue := route{Name: "r-3hwrr6x", Prefix: prefix, Attempts: 3, Priority: 1}
	other := route{Name: "r-73d3zji", Prefix: "/pufi791/", Attempts: 2, Priority: 2}
	t.configure(7, queue, other)
	if err := t.begin(3, 8); err != nil {
		return verdict{}, err
	}
	steps := []step{
		{Count: 2, CPU: 1000, MemMB: 64, EstMS: 2000},
		{Count: 2, CPU: 1000, MemMB: 64, EstMS: 2000, AfterRev: []int{0}},
		{Count: 2, CPU: 1000, MemMB: 64, EstMS: 2000, AfterRev: []int{1}},
	}
	tasks := 0
	for _, s := range steps {
		tasks += s.Count
	}
	var jobs []string
	for range 10 {
		if id, ok := t.submit(prefix, work{MS: 2000}, steps...); ok {
			jobs = append(jobs, id)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		t.configure(10, other)
	}
	time.Sleep(500 * time.Millisecond)
	if os.Getenv("HANDOVER") != "0" {
		h := t.hostNamed(t.store.leadingHost())
		r.printf("%s leads and is stopped as planned", h.name)
		<-h.signal(syscall.SIGTERM)
		if err := h.start(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(40 * time.Second)
	if os.Getenv("READD") == "1" {
		t.configure(13, queue, other)
		time.Sleep(10 * time.Second)
	}
	stuck := 0
	for _, id := range jobs {
		done, idle := t.cell.progressOf(id)
		if done < tasks && idle > 3*time.Second {
			stuck++
			r.printf("LOST: job %s has had nothing running for %.1f s; %d of its %d tasks have ended done", id, idle.Seconds(), done, tasks)
		}
	}
	return verdict{
		broken: stuck > 0,
		text:   fmt.Sprintf("%d of %d accepted jobs have had nothing running for over 3 s although tasks are left; %d runs are at work on all runners, which have room for %s", stuck, len(jobs), t.cell.atWork(), strconv.Itoa(8*workerCPU/1000)),
	}, nil
}

// progressOf returns how many tasks of a job have ended done, and for how long nothing of it has
// been running.
func (c *cell) progressOf(job string) (done int, idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.runners {
		for task := range x.active {
			if strings.HasPrefix(task, job+".") {
				return len(c.doneTasks(job)), 0
			}
		}
	}
	return len(c.doneTasks(job)), time.Since(c.lastEnds[job])
}

// doneTasks returns the tasks of a job that have ended done. The caller holds the lock.
func (c *cell) doneTasks(job string) map[string]bool {
	tasks := map[string]bool{}
	for task := range c.done {
		if strings.HasPrefix(task, job+".") {
			tasks[task] = true
		}
	}
	return tasks
}

// atWork returns how many runs are at work.
func (c *cell) atWork() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.runners {
		n += len(x.active)
	}
	return n
}
