package holder

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/agent"
	"github.com/spoolsill/spoolsill/lease"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/timeline"
)

// unresponsiveAfter is the number of consecutive failed renewals after which a
// worker is given no new tasks.
const unresponsiveAfter = 3

// A driver manages one worker for a tenure: it renews the leases of tasks, starts
// and signals tasks, and processes the worker's reports. Its fields are guarded
// by t.mu.
type driver struct {
	t       *tenure
	id      spoolsill.WorkerID
	address string
	// grantedAt is the latest time at which any holder may have granted a lease
	// on the worker.
	grantedAt lease.ClockReading
	// pendingStarts are the start requests whose outcome is unknown, with the
	// time at which their lease was granted.
	pendingStarts map[agent.TaskAttempt]lease.ClockReading
	// ackedStarts are the acknowledged start requests, with the time of the
	// acknowledgment. The worker may have processed a renewal that was sent
	// before that time ahead of the start, so the task may be running even if
	// the report lacks it. An entry is removed when a renewal that was sent
	// later is answered.
	ackedStarts map[agent.TaskAttempt]lease.ClockReading
	// createdAt is when this tenure began to manage the worker. For the duration
	// of a lease after that time, the worker may still accept start requests of
	// a previous holder.
	createdAt lease.ClockReading
	// forgetAfter maps each ended task that the worker still reports to a
	// sequence number. The worker may forget the task once the entry with that
	// number, and thus the record of the task's end, is durable.
	forgetAfter  map[agent.TaskAttempt]spoolsill.Sequence
	failures     int  // consecutive failed renewals
	responded    bool // a renewal has succeeded in this tenure
	unknownTasks bool // the worker runs tasks that are not in the state
	renewSoon    chan struct{}
}

func newDriver(t *tenure, id spoolsill.WorkerID) *driver {
	now := t.h.readClocks()
	return &driver{
		t:             t,
		id:            id,
		grantedAt:     now,
		createdAt:     now,
		pendingStarts: map[agent.TaskAttempt]lease.ClockReading{},
		ackedStarts:   map[agent.TaskAttempt]lease.ClockReading{},
		forgetAfter:   map[agent.TaskAttempt]spoolsill.Sequence{},
		renewSoon:     make(chan struct{}, 1),
	}
}

// idleRenewFactor is the factor by which the renewal interval is longer for a
// worker without tasks.
const idleRenewFactor = 5

// renewDelay returns the randomized delay before the next renewal.
func (d *driver) renewDelay() time.Duration {
	interval := d.t.h.config.RenewInterval
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	if d.t.ready && d.failures == 0 && !d.unknownTasks && len(d.forgetAfter) == 0 && len(d.t.state.Allocations(d.id)) == 0 {
		interval *= idleRenewFactor
	}
	return interval - interval/10 + rand.N(interval/5)
}

// requestRenewal makes run send the next renewal within the normal interval, if
// it is scheduled later because the worker was idle. It is called when a task is
// started, so that the worker soon reports on the task.
func (d *driver) requestRenewal() {
	select {
	case d.renewSoon <- struct{}{}:
	default:
	}
}

// setAddress sets the address of the worker. t.mu must be held.
func (d *driver) setAddress(a string) {
	d.address = a
}

// run sends renewals until the tenure ends. The first delay is random, so that
// the renewals of a hall's workers are spread over time.
func (d *driver) run() {
	next := time.Now().Add(rand.N(d.t.h.config.RenewInterval))
	for {
		t := time.NewTimer(time.Until(next))
		select {
		case <-d.t.ctx.Done():
			t.Stop()
			return
		case <-d.renewSoon:
			t.Stop()
			// Never postpone a scheduled renewal: leases depend on it.
			if at := time.Now().Add(d.renewDelay()); at.Before(next) {
				next = at
			}
			continue
		case <-t.C:
		}
		d.t.mu.Lock()
		ready := d.t.ready
		d.t.mu.Unlock()
		if ready {
			d.renew()
		}
		next = time.Now().Add(d.renewDelay())
	}
}

// renew renews the leases on the worker and processes its report.
func (d *driver) renew() {
	sent := d.t.h.readClocks()
	q, address := d.buildRenewal()
	if address == "" {
		d.recordUnlisted()
		return
	}
	list, err := d.t.h.config.Agents.Renew(d.t.ctx, address, q)
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	if err != nil {
		d.recordFailure()
		return
	}
	d.recordResponse()
	for _, r := range q.Forget {
		delete(d.forgetAfter, r)
	}
	d.pruneAckedStarts(sent)
	d.applyReport(list, q)
	d.t.wake()
}

// buildRenewal returns the renewal to send and the worker's address. While the
// host does not hold the hall's lease, only the leases of services are renewed:
// a service may temporarily run twice, a task of another kind must not.
func (d *driver) buildRenewal() (agent.RenewRequest, string) {
	holds := d.t.holdsLease()
	now := d.t.h.readClocks()
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	q := agent.RenewRequest{
		Epoch:    d.t.epoch,
		LeaseEnd: d.t.leaseEnd(now).UnixMilli(),
	}
	for _, a := range d.t.state.Allocations(d.id) {
		if holds || a.Service {
			q.Tasks = append(q.Tasks, agent.TaskAttempt{
				Task:    a.Task,
				Attempt: a.Attempt,
			})
		}
	}
	durable := d.t.writer.Durable()
	for r, s := range d.forgetAfter {
		if s <= durable {
			q.Forget = append(q.Forget, r)
		}
	}
	if len(q.Tasks) > 0 && d.address != "" {
		d.grantedAt = now
	}
	return q, d.address
}

// recordUnlisted records that a renewal could not be sent because the worker has
// no address: it is in the state, but not in the list of workers. This counts as
// a failed renewal once a list is available.
func (d *driver) recordUnlisted() {
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	if d.t.workersListed {
		d.recordFailure()
	}
}

// recordResponse records an answered renewal. t.mu must be held.
func (d *driver) recordResponse() {
	d.failures = 0
	d.responded = true
}

// recordFailure records a failed renewal. If the worker remains unresponsive
// until the leases on it have expired, its tasks are reported as lost. t.mu must
// be held.
func (d *driver) recordFailure() {
	d.failures++
	if d.failures == unresponsiveAfter {
		d.t.state.SetUnresponsive(d.id, true)
		d.t.h.recordEvent(timeline.Event{
			Kind:   timeline.KindMembership,
			Worker: d.id,
			Text:   "worker does not answer",
		})
	}
	if d.failures < unresponsiveAfter || (!d.leasesExpired() && !d.t.h.config.Break.Lapse) {
		return
	}
	for _, a := range d.t.state.Allocations(d.id) {
		d.report(agent.TaskAttempt{
			Task:    a.Task,
			Attempt: a.Attempt,
		}, place.Lost)
	}
	d.t.wake()
}

// leasesExpired reports whether every lease that may have been granted on the
// worker has certainly expired, by both the wall and the monotonic clock. t.mu
// must be held.
func (d *driver) leasesExpired() bool {
	c := d.t.h.config
	now := d.t.h.readClocks()
	wait := c.TaskLease + c.TaskMargin
	return now.Mono-d.grantedAt.Mono > wait && now.Wall.Sub(d.grantedAt.Wall) > wait
}

// pruneAckedStarts removes the starts that were acknowledged before a renewal
// was sent, since the report of that renewal covers them. t.mu must be held.
func (d *driver) pruneAckedStarts(sent lease.ClockReading) {
	maps.DeleteFunc(d.ackedStarts, func(_ agent.TaskAttempt, at lease.ClockReading) bool { return at.Mono < sent.Mono })
}

// applyReport processes the worker's response to renewal q. t.mu must be held.
func (d *driver) applyReport(list []agent.Status, q agent.RenewRequest) {
	reported := make(map[agent.TaskAttempt]bool, len(list))
	unknown := 0
	for _, s := range list {
		reported[s.TaskAttempt] = true
		if d.applyStatus(s) {
			unknown++
		}
	}
	// The resources that unknown tasks use are not accounted for, so the worker
	// gets no new tasks while it runs any.
	d.unknownTasks = unknown > 0
	d.t.state.SetUnresponsive(d.id, d.unknownTasks)
	for _, r := range q.Tasks {
		if !reported[r] {
			d.reportMissing(r)
		}
	}
}

// applyStatus processes the status of one task and reports whether the task is
// running but not in the state. t.mu must be held.
func (d *driver) applyStatus(s agent.Status) bool {
	a, allocated := d.allocation(s.TaskAttempt)
	if s.State == agent.Running {
		switch {
		case !allocated:
			d.stopUnknown(s.TaskAttempt)
			return true
		case a.State == spoolsill.TaskCheckpointing:
			d.t.spawn(func() { d.signal(s.TaskAttempt, agent.Checkpoint) })
		case a.State == spoolsill.TaskStopping:
			d.t.spawn(func() { d.signal(s.TaskAttempt, agent.Stop) })
		default:
			d.report(s.TaskAttempt, place.Started)
			d.applyUsage(s)
		}
		return false
	}
	if allocated {
		d.report(s.TaskAttempt, outcomeByState[s.State])
	}
	if _, ok := d.forgetAfter[s.TaskAttempt]; !ok {
		d.forgetAfter[s.TaskAttempt] = d.t.writer.Seal()
	}
	return false
}

var outcomeByState = map[agent.State]place.Outcome{
	agent.Exited:       place.Exited,
	agent.Failed:       place.Failed,
	agent.Checkpointed: place.Checkpointed,
	agent.Stopped:      place.Stopped,
	agent.Expired:      place.Expired,
}

// allocation returns the resources that a task holds on the worker, or false if
// it holds none. t.mu must be held.
func (d *driver) allocation(r agent.TaskAttempt) (place.Allocation, bool) {
	for _, a := range d.t.state.Allocations(d.id) {
		if a.Task == r.Task && a.Attempt == r.Attempt {
			return a, true
		}
	}
	return place.Allocation{}, false
}

// stopUnknown stops a task that the worker runs but that is not in the state.
// t.mu must be held.
func (d *driver) stopUnknown(r agent.TaskAttempt) {
	d.t.h.recordEvent(timeline.Event{
		Kind:   timeline.KindFault,
		Job:    r.Task.Job,
		Task:   r.Task.String(),
		Worker: d.id,
		Text:   "worker runs what no record names: it is stopped",
	})
	d.t.spawn(func() { d.signal(r, agent.Stop) })
}

// reportMissing handles a task that is placed on the worker but that the worker
// did not report. The task is reported as not found unless its start request
// has just been acknowledged, has not been sent, or may still arrive. t.mu must
// be held.
func (d *driver) reportMissing(r agent.TaskAttempt) {
	_, acked := d.ackedStarts[r]
	if acked || d.startUnsent(r) || d.startMayArrive(r) {
		return
	}
	delete(d.pendingStarts, r)
	d.report(r, place.NotFound)
}

// startMayArrive reports whether the worker may still receive and accept a start
// request of a task, which is possible until the lease in the request has
// certainly expired. The request may be one of a previous holder.
func (d *driver) startMayArrive(r agent.TaskAttempt) bool {
	from, ok := d.pendingStarts[r]
	if !ok {
		a, allocated := d.allocation(r)
		if !allocated || a.State != spoolsill.TaskPlaced {
			return false
		}
		from = d.createdAt
	}
	c := d.t.h.config
	return d.t.h.readClocks().Mono-from.Mono <= c.TaskLease+c.TaskMargin
}

// startUnsent reports whether the start request of a task is still waiting for
// the task's placement to become durable.
func (d *driver) startUnsent(r agent.TaskAttempt) bool {
	for _, a := range d.t.pendingActions {
		if a.record.Kind == place.TaskPlaced && a.record.Task == r.Task && a.record.Attempt == r.Attempt {
			return true
		}
	}
	return false
}

// applyUsage reports the resources that a task uses to the state, and carries
// out the resulting enforcement. t.mu must be held.
func (d *driver) applyUsage(s agent.Status) {
	e, records := d.t.state.ReportUsage(time.Now(), s.Task, s.Used)
	d.t.appendRecords(records)
	if e == place.EnforceThrottle {
		d.t.spawn(func() { d.signal(s.TaskAttempt, agent.Throttle) })
	}
}

// report records the outcome of an attempt to run a task. t.mu must be held.
func (d *driver) report(r agent.TaskAttempt, o place.Outcome) {
	d.t.appendRecords(d.t.state.Report(time.Now(), place.Report{
		Task:    r.Task,
		Attempt: r.Attempt,
		Outcome: o,
	}))
}

// start starts a placed task on the worker.
func (d *driver) start(r agent.TaskAttempt) {
	s, address, ok := d.prepareStart(r)
	if !ok {
		return
	}
	if !d.t.holdsLease() {
		return
	}
	err := d.t.h.config.Agents.Start(d.t.ctx, address, s)
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	switch {
	case err == nil:
		delete(d.pendingStarts, r)
		d.ackedStarts[r] = d.t.h.readClocks()
		d.report(r, place.Started)
	case errors.Is(err, agent.ErrNotRun):
		delete(d.pendingStarts, r)
		d.report(r, place.Refused)
	default:
		// The worker may have received the start request, or may still receive
		// it. A later renewal determines the outcome.
	}
	d.t.wake()
}

// prepareStart returns the start request of a task and the worker's address. It
// returns false if the task must not be started any more or the address is not
// known. The lease in the request counts as granted before the request is sent.
func (d *driver) prepareStart(r agent.TaskAttempt) (agent.StartRequest, string, bool) {
	now := d.t.h.readClocks()
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	a, allocated := d.allocation(r)
	spec, known := d.t.state.JobSpec(r.Task.Job)
	if !allocated || !known || a.State != spoolsill.TaskPlaced {
		return agent.StartRequest{}, "", false
	}
	d.grantedAt = now
	d.pendingStarts[r] = now
	d.requestRenewal()
	return agent.StartRequest{
		Task:     r.Task,
		Attempt:  r.Attempt,
		Epoch:    d.t.epoch,
		Shape:    spec.Shape,
		Command:  spec.Command,
		Runtime:  spec.Runtime,
		LeaseEnd: d.t.leaseEnd(now).UnixMilli(),
	}, d.address, d.address != ""
}

// signal sends a signal to a task. If the signal is lost, the report of the next
// renewal causes it to be sent again.
func (d *driver) signal(r agent.TaskAttempt, v agent.Verb) {
	d.t.mu.Lock()
	address := d.address
	d.t.mu.Unlock()
	if address == "" || !d.t.holdsLease() {
		return
	}
	err := d.t.h.config.Agents.Signal(d.t.ctx, address, agent.Signal{
		TaskAttempt: r,
		Verb:        v,
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		d.t.h.config.Log.WithError(err).WithField("worker", d.id).Debug("cannot signal the task")
	}
}

// reconcile sends a renewal to every worker and applies the reports to the state,
// before the first decision of the tenure. It marks the workers that do not
// respond as unresponsive.
func (t *tenure) reconcile() {
	t.mu.Lock()
	var list []*driver
	for _, d := range t.drivers {
		list = append(list, d)
	}
	t.mu.Unlock()
	done := make(chan struct{}, len(list))
	sem := make(chan struct{}, t.h.config.MaxRequests)
	for _, d := range list {
		go func() {
			sem <- struct{}{}
			d.renew()
			<-sem
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range list {
		if !d.responded && d.address != "" {
			t.state.SetUnresponsive(d.id, true)
			d.failures = unresponsiveAfter
		}
	}
}
