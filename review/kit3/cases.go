//go:build review

package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// contact is contactMs. calm and idle are of the rule LOST: how long it has been calm before
	// a task that lasts is missed, and how long nothing runs.
	contact = 3 * time.Second
	calm    = 4 * time.Second
	idle    = 3 * time.Second
	// visible is visible_ms.
	visible = 3 * time.Second
	// submitGap is between the jobs of the cases with hopeless ones: 45 or more come in three
	// seconds.
	submitGap = 50 * time.Millisecond
	// lastingTime is longer than any case.
	lastingTime = time.Hour
)

func lasts(sched.RunID) (time.Duration, sched.EndKind) { return lastingTime, sched.EndDone }

// crashes hands in jobs whose tasks last, and has a seventh of the runners or less crash every
// few seconds. No run ends as failed.
func crashes(ctx context.Context, dir string, r *record, trouble bool) (verdict, error) {
	const (
		machines = 28
		atOnce   = 3 // 0.107 of the runners; the page's largest share is 0.14
		jobs     = 6
		tasks    = 10
		series   = 70 * time.Second
		gap      = 2 * time.Second
		down     = time.Second
	)
	c, err := newCell(ctx, dir, r, machines, 5, []route{{name: "watch", priority: 1}})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	c.duration = lasts
	var ids []spoolsill.JobID
	for range jobs {
		id := newID()
		if !c.submit("watch", id, step{Count: tasks, CPU: 2000, MemMB: 2000, EstMS: 60_000, LongRunning: true}) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	pause(ctx, 4*time.Second)
	var broken verdict
	reported := map[spoolsill.JobID]bool{}
	end := time.Now().Add(series)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		if trouble {
			for _, i := range rand.Perm(machines)[:atOnce] {
				m := c.machines[i]
				if _, isDown := m.current(); isDown {
					continue
				}
				m.crash()
				time.AfterFunc(down, m.begin)
			}
		}
		pause(ctx, gap)
		for _, id := range ids {
			if reported[id] {
				continue
			}
			status, state := c.call(c.hosts[n%len(c.hosts)], http.MethodGet, "watch", id, "")
			if status == http.StatusOK && state == "failed" && c.runs.failedRuns(id) == 0 {
				reported[id] = true
				broken = append(broken, fmt.Sprintf("LOST: job %s, whose tasks last, is shown as failed; none of its runs has ended as failed", id))
			}
		}
		if len(broken) >= 3 {
			break
		}
	}
	return broken, nil
}

// goneRunner hands in jobs whose tasks last. A runner with some of them is lost for good, and so
// is the machine of the leader, for which another one comes.
func goneRunner(ctx context.Context, dir string, r *record, trouble bool) (verdict, error) {
	const (
		replacedAfter = 500 * time.Millisecond
		lasting       = 6 * time.Second // of the rule: from the last run of a task that lasts
	)
	c, err := newCell(ctx, dir, r, 8, 5, []route{{name: "watch", priority: 1}})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	c.duration = lasts
	for range 2 {
		if id := newID(); !c.submit("watch", id, step{Count: 8, CPU: 6000, MemMB: 10_000, EstMS: 60_000, LongRunning: true}) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
	}
	pause(ctx, 5*time.Second)
	begun := time.Now()
	if trouble {
		h, ok := c.leader()
		if !ok {
			return nil, fmt.Errorf("no host leads")
		}
		m := c.busiest()
		m.crash()
		pause(ctx, 300*time.Millisecond)
		r.add("DISRUPTION host %s, the leader, is gone for good", h.name)
		h.signal(syscall.SIGKILL)
		pause(ctx, replacedAfter)
		if _, err := c.addHost(); err != nil {
			return nil, err
		}
	}
	disrupted := time.Now()
	var broken verdict
	reported := map[sched.TaskID]bool{}
	for time.Since(begun) < 25*time.Second && ctx.Err() == nil {
		pause(ctx, 100*time.Millisecond)
		now := time.Now()
		for t, since := range c.runs.idleSince() {
			// The three seconds begin once the task has not run for six, and after contactMs and
			// four calm seconds from the last disruption.
			from := since.Add(lasting)
			if calmFrom := disrupted.Add(contact + calm); calmFrom.After(from) {
				from = calmFrom
			}
			if now.Sub(from) >= idle && !reported[t] {
				reported[t] = true
				broken = append(broken, fmt.Sprintf("LOST: %s is to last and has not run for %.1f s, the last %.1f of them calm; the other runners have room for it", t, now.Sub(since).Seconds(), now.Sub(disrupted.Add(contact)).Seconds()))
			}
		}
	}
	return broken, nil
}

// busiest returns the machine with the most runs.
func (c *cell) busiest() *machine {
	count := map[*machine]int{}
	for _, m := range c.machines {
		id, _ := m.current()
		count[m] = c.runs.at(id)
	}
	return slices.MaxFunc(c.machines, func(a, b *machine) int { return count[a] - count[b] })
}

// failing hands in jobs, two of which can never be done: their tasks fail wherever they run. After the last job, the runners have room for all of them.
func failing(ctx context.Context, dir string, r *record, trouble bool) (verdict, error) {
	const (
		machines = 8
		jobs     = 80
		hopeless = 2  // less than 0.05 of the jobs of the three seconds around them
		width    = 84 // tasks of a hopeless job, as many as title-extract has at most
		taskTime = 400 * time.Millisecond
		taskCPU  = 2000
	)
	c, err := newCell(ctx, dir, r, machines, 5, []route{{name: "batch", priority: 1}})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	bad := map[spoolsill.JobID]bool{}
	for range hopeless {
		bad[newID()] = true
	}
	c.duration = func(id sched.RunID) (time.Duration, sched.EndKind) {
		if bad[id.Task.Stage.Job] {
			return taskTime, sched.EndFailed
		}
		return taskTime, sched.EndDone
	}
	handedIn := map[spoolsill.JobID]bool{}
	for i := range jobs {
		if i == jobs-10 && trouble {
			for id := range bad {
				r.add("DISRUPTION the next job can never be done")
				if !c.submit("batch", id, step{Count: width, CPU: taskCPU, MemMB: 2000, EstMS: 400}) {
					return nil, fmt.Errorf("a hopeless job was not accepted")
				}
			}
		}
		id := newID()
		if !c.submit("batch", id, step{Count: 2, CPU: taskCPU, MemMB: 2000, EstMS: 400}) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		handedIn[id] = true
		pause(ctx, submitGap)
	}
	return c.watchIdle(r, handedIn, func() bool { return 2*c.runs.runningCount()*taskCPU < machines*runnerCPU }), nil
}

// watchIdle watches jobs of two tasks for finish_s after the end of the traffic. None of them may
// have nothing running for three seconds while under half of the capacity is in use, which leaves
// room for it twice over.
func (c *cell) watchIdle(r *record, jobs map[spoolsill.JobID]bool, mostlyFree func() bool) verdict {
	r.add("the traffic ends")
	since := map[spoolsill.JobID]time.Time{}
	longest := map[spoolsill.JobID]time.Duration{}
	for end := time.Now().Add(14 * time.Second); time.Now().Before(end); {
		pause(c.ctx, 50*time.Millisecond)
		now := time.Now()
		free := mostlyFree()
		for id := range jobs {
			waits := c.runs.startCount(taskOf(id, 0, 0))+c.runs.startCount(taskOf(id, 0, 1)) == 0
			switch {
			case !waits || !free:
				delete(since, id)
			case since[id].IsZero():
				since[id] = now
			default:
				longest[id] = max(longest[id], now.Sub(since[id]))
			}
		}
	}
	var broken verdict
	for id, d := range longest {
		if d >= idle {
			broken = append(broken, fmt.Sprintf("LOST: job %s had nothing running for %.1f s after the end of the traffic; over half of the runners' room was free", id, d.Seconds()))
		}
	}
	return broken
}

// gang hands in small jobs while a gang, which needs whole runners, waits for runs of nine seconds
// to end.
func gang(ctx context.Context, dir string, r *record, trouble bool) (verdict, error) {
	const (
		machines = 13
		small    = 20
		longTime = 9 * time.Second
	)
	c, err := newCell(ctx, dir, r, machines, 5, []route{{name: "ortho", priority: 1}, {name: "shade", priority: 2}})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	spread, large := newID(), newID()
	c.duration = func(id sched.RunID) (time.Duration, sched.EndKind) {
		switch id.Task.Stage.Job {
		case spread, large:
			return longTime, sched.EndDone
		default:
			return 400 * time.Millisecond, sched.EndDone
		}
	}
	if !c.submit("shade", spread, step{Count: machines, CPU: 1000, MemMB: 1000, GPU: 1, EstMS: 9000, AntiAffinity: 1}) {
		return nil, fmt.Errorf("the first job was not accepted")
	}
	pause(ctx, time.Second)
	if trouble {
		r.add("DISRUPTION a large job comes: a gang of five tasks with all %d GPUs of a runner each", runnerGPUs)
		if !c.submit("ortho", large, step{Count: 5, CPU: 1000, MemMB: 1000, GPU: runnerGPUs, EstMS: 9000, Gang: true}) {
			return nil, fmt.Errorf("the gang was not accepted")
		}
	}
	jobs := map[spoolsill.JobID]bool{}
	for range small {
		id := newID()
		if !c.submit("shade", id, step{Count: 2, CPU: 1000, MemMB: 1000, GPU: 1, EstMS: 400}) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		jobs[id] = true
		pause(ctx, 80*time.Millisecond)
	}
	return c.watchIdle(r, jobs, func() bool { return 2*c.runs.runningCount() < machines*runnerGPUs }), nil
}

// poison hands in jobs, two of which can never be done: they ask for more memory than
// any runner has.
func poison(ctx context.Context, dir string, r *record, trouble bool) (verdict, error) {
	const jobs = 120
	memory := map[int]int64{
		50: math.MaxInt64,
		51: 1 << 44,
	}
	c, err := newCell(ctx, dir, r, 8, 5, []route{{name: "batch", priority: 1}})
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return nil, err
	}
	type hopelessJob struct {
		id     spoolsill.JobID
		at     time.Time
		status int
	}
	var hopeless []*hopelessJob
	var broken verdict
	for i := range jobs {
		id := newID()
		s := step{Count: 1, CPU: 1000, MemMB: 1000, EstMS: 1000}
		m := memory[i]
		if m > 0 && trouble {
			s.MemMB = m
			r.add("DISRUPTION the next job can never be done: %d MB", m)
		}
		accepted := c.submit("batch", id, s)
		switch {
		case s.MemMB != m && !accepted:
			return nil, fmt.Errorf("job %s was not accepted", id)
		case s.MemMB == m && accepted:
			hopeless = append(hopeless, &hopelessJob{
				id: id,
				at: time.Now(),
			})
		}
		for _, j := range hopeless {
			if time.Since(j.at) < visible || j.status != 0 {
				continue
			}
			if j.status, _ = c.call(c.hosts[i%len(c.hosts)], http.MethodGet, "batch", j.id, ""); j.status == http.StatusGone {
				broken = append(broken, fmt.Sprintf("LOST: 410 for job %s, which was accepted %.1f s before and not cancelled", j.id, time.Since(j.at).Seconds()))
			}
		}
		pause(ctx, submitGap)
	}
	r.add("the traffic ends")
	pause(ctx, 5*time.Second)
	for _, j := range hopeless {
		known := false
		for try := 0; try < 10 && !known; try++ { // within finish_s
			status, _ := c.call(c.hosts[try%len(c.hosts)], http.MethodGet, "batch", j.id, "")
			known = status == http.StatusOK
			if !known {
				pause(ctx, 500*time.Millisecond)
			}
		}
		if !known {
			broken = append(broken, fmt.Sprintf("LOST: job %s, which was accepted, isn't known at the end", j.id))
		}
		if c.runs.startCount(taskOf(j.id, 0, 0)) > 0 {
			broken = append(broken, fmt.Sprintf("LIMIT: the task of job %s was started on a runner of %d MB", j.id, runnerMemMB))
		}
	}
	return broken, nil
}
