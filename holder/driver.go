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

// silentAfter is the number of calls in a row without an answer after which
// a worker gets no new work.
const silentAfter = 3

// A driver looks after one worker: it renews leases, starts and stops tasks
// and takes in what became of them. The tenure's lock guards its fields.
type driver struct {
	t       *tenure
	id      spoolsill.WorkerID
	address string
	// granted is the latest time at which a lease was, or may have been,
	// granted on the worker, by any holder.
	granted lease.Reading
	// starting has the starts whose outcome is not known, with the end of the
	// lease that they carried.
	starting map[agent.TaskAttempt]lease.Reading
	// started has when starts were answered, until a renewal that was sent
	// later has told of the task: an earlier one may have been answered before
	// the start and be heard of after it.
	started map[agent.TaskAttempt]lease.Reading
	// born is when this tenure began to look after the worker. A start that a
	// former holder sent may arrive for the length of a lease after it.
	born   lease.Reading
	forget map[agent.TaskAttempt]spoolsill.Sequence
	fails  int
	asked  bool
	strays bool          // it runs what no record names
	soon   chan struct{} // a task has been started: there is something to tell soon
}

func newDriver(t *tenure, id spoolsill.WorkerID) *driver {
	now := t.h.reading()
	return &driver{
		t:        t,
		id:       id,
		granted:  now,
		born:     now,
		starting: map[agent.TaskAttempt]lease.Reading{},
		started:  map[agent.TaskAttempt]lease.Reading{},
		forget:   map[agent.TaskAttempt]spoolsill.Sequence{},
		soon:     make(chan struct{}, 1),
	}
}

// idlePolls is how many times slower a worker without tasks is asked.
const idlePolls = 5

// wait returns the time to the next renewal.
func (d *driver) wait() time.Duration {
	poll := d.t.h.config.Poll
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	if d.t.ready && d.fails == 0 && !d.strays && len(d.forget) == 0 && len(d.t.state.Holds(d.id)) == 0 {
		poll *= idlePolls
	}
	return poll - poll/10 + rand.N(poll/5)
}

// hurry has the next renewal made within the usual time.
func (d *driver) hurry() {
	select {
	case d.soon <- struct{}{}:
	default:
	}
}

// setAddress takes in the worker's address. The lock is held.
func (d *driver) setAddress(a string) {
	d.address = a
}

// run renews until the tenure ends. The first wait is random, so that the
// renewals of a hall spread.
func (d *driver) run() {
	next := time.Now().Add(rand.N(d.t.h.config.Poll))
	for {
		t := time.NewTimer(time.Until(next))
		select {
		case <-d.t.ctx.Done():
			t.Stop()
			return
		case <-d.soon:
			t.Stop()
			// A time that is set is never put off: leases depend on it.
			if at := time.Now().Add(d.wait()); at.Before(next) {
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
		next = time.Now().Add(d.wait())
	}
}

// renew extends the leases on the worker and takes in its report.
func (d *driver) renew() {
	sent := d.t.h.reading()
	q, address := d.renewal()
	if address == "" {
		d.unlisted()
		return
	}
	list, err := d.t.h.config.Agents.Renew(d.t.ctx, address, q)
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	if err != nil {
		d.unanswered()
		return
	}
	d.answered()
	for _, r := range q.Forget {
		delete(d.forget, r)
	}
	d.forgetStarted(sent)
	d.take(list, q)
	d.t.wake()
}

// renewal returns what to ask the worker. When the hall's lease does not
// stand, only services are renewed: a service that for a while runs twice
// breaks no promise, work of other kinds would.
func (d *driver) renewal() (agent.RenewRequest, string) {
	holds := d.t.holds()
	now := d.t.h.reading()
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	q := agent.RenewRequest{
		Epoch:    d.t.epoch,
		LeaseEnd: d.t.leaseEnd(now).UnixMilli(),
	}
	for _, h := range d.t.state.Holds(d.id) {
		if holds || h.Service {
			q.Tasks = append(q.Tasks, agent.TaskAttempt{
				Task:    h.Task,
				Attempt: h.Attempt,
			})
		}
	}
	lasting := d.t.writer.Lasting()
	for r, s := range d.forget {
		if s <= lasting {
			q.Forget = append(q.Forget, r)
		}
	}
	if len(q.Tasks) > 0 && d.address != "" {
		d.granted = now
	}
	return q, d.address
}

// unlisted treats a worker that the record names and no list does as silent.
func (d *driver) unlisted() {
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	if d.t.listed {
		d.unanswered()
	}
}

// answered and unanswered keep count of the worker's silence. The lock is
// held.
func (d *driver) answered() {
	d.fails = 0
	d.asked = true
}

func (d *driver) unanswered() {
	d.fails++
	if d.fails == silentAfter {
		d.t.state.SetSilent(d.id, true)
		d.t.h.event(timeline.Event{
			Kind:   timeline.KindMembership,
			Worker: d.id,
			Text:   "worker does not answer",
		})
	}
	if d.fails < silentAfter || (!d.lapsed() && !d.t.h.config.Break.Lapse) {
		return
	}
	for _, h := range d.t.state.Holds(d.id) {
		d.report(agent.TaskAttempt{
			Task:    h.Task,
			Attempt: h.Attempt,
		}, place.Lost)
	}
	d.t.wake()
}

// lapsed reports whether every lease that may have been granted on the worker
// has ended for certain. Both clocks must agree.
func (d *driver) lapsed() bool {
	c := d.t.h.config
	now := d.t.h.reading()
	wait := c.TaskLease + c.TaskMargin
	return now.Mono-d.granted.Mono > wait && now.Wall.Sub(d.granted.Wall) > wait
}

// forgetStarted drops the starts that were answered before a renewal was sent: its
// report tells of them. The lock is held.
func (d *driver) forgetStarted(sent lease.Reading) {
	maps.DeleteFunc(d.started, func(_ agent.TaskAttempt, at lease.Reading) bool { return at.Mono < sent.Mono })
}

// take takes in the report of the worker. The lock is held.
func (d *driver) take(list []agent.Status, q agent.RenewRequest) {
	there := make(map[agent.TaskAttempt]bool, len(list))
	strays := 0
	for _, s := range list {
		there[s.TaskAttempt] = true
		if d.takeStatus(s) {
			strays++
		}
	}
	// What strays use is in no account: the worker gets nothing new beside them.
	d.strays = strays > 0
	d.t.state.SetSilent(d.id, d.strays)
	for _, r := range q.Tasks {
		if !there[r] {
			d.missing(r)
		}
	}
}

// takeStatus takes in the status of one task, and reports whether it is a
// stray.
func (d *driver) takeStatus(s agent.Status) bool {
	h, held := d.held(s.TaskAttempt)
	if s.State == agent.Running {
		switch {
		case !held:
			d.stray(s.TaskAttempt)
			return true
		case h.State == spoolsill.TaskCheckpointing:
			d.t.spawn(func() { d.signal(s.TaskAttempt, agent.Checkpoint) })
		case h.State == spoolsill.TaskStopping:
			d.t.spawn(func() { d.signal(s.TaskAttempt, agent.Stop) })
		default:
			d.report(s.TaskAttempt, place.Started)
			d.use(s)
		}
		return false
	}
	if held {
		d.report(s.TaskAttempt, fates[s.State])
	}
	if _, ok := d.forget[s.TaskAttempt]; !ok {
		d.forget[s.TaskAttempt] = d.t.writer.Cut()
	}
	return false
}

var fates = map[agent.State]place.Fate{
	agent.Exited:       place.Exited,
	agent.Failed:       place.Failed,
	agent.Checkpointed: place.Checkpointed,
	agent.Stopped:      place.Stopped,
	agent.Expired:      place.Expired,
}

func (d *driver) held(r agent.TaskAttempt) (place.Hold, bool) {
	for _, h := range d.t.state.Holds(d.id) {
		if h.Task == r.Task && h.Attempt == r.Attempt {
			return h, true
		}
	}
	return place.Hold{}, false
}

// stray has a task stopped that the worker runs and no record names.
func (d *driver) stray(r agent.TaskAttempt) {
	d.t.h.event(timeline.Event{
		Kind:   timeline.KindFault,
		Job:    r.Task.Job,
		Task:   r.Task.String(),
		Worker: d.id,
		Text:   "worker runs what no record names: it is stopped",
	})
	d.t.spawn(func() { d.signal(r, agent.Stop) })
}

// missing settles a task that the record places on the worker and that the
// worker does not know. While its start may still arrive, nothing is known.
func (d *driver) missing(r agent.TaskAttempt) {
	_, overtaken := d.started[r]
	if overtaken || d.unsent(r) || d.mayArrive(r) {
		return
	}
	delete(d.starting, r)
	d.report(r, place.Missing)
}

// mayArrive reports whether the start of a task may still arrive at the worker
// and be taken: the lease that it carries has not ended for certain.
func (d *driver) mayArrive(r agent.TaskAttempt) bool {
	from, ok := d.starting[r]
	if !ok {
		h, held := d.held(r)
		if !held || h.State != spoolsill.TaskPlaced {
			return false
		}
		from = d.born
	}
	c := d.t.h.config
	return d.t.h.reading().Mono-from.Mono <= c.TaskLease+c.TaskMargin
}

// unsent reports whether the start of a task waits to be sent.
func (d *driver) unsent(r agent.TaskAttempt) bool {
	for _, a := range d.t.acts {
		if a.record.Kind == place.TaskPlaced && a.record.Task == r.Task && a.record.Attempt == r.Attempt {
			return true
		}
	}
	return false
}

// use takes in what a task uses, and does what follows.
func (d *driver) use(s agent.Status) {
	m, records := d.t.state.Use(time.Now(), s.Task, s.Used)
	d.t.record(records)
	if m == place.MeasureThrottle {
		d.t.spawn(func() { d.signal(s.TaskAttempt, agent.Throttle) })
	}
}

// report hands a fate to the decisions. The lock is held.
func (d *driver) report(r agent.TaskAttempt, f place.Fate) {
	d.t.record(d.t.state.Report(time.Now(), place.Report{
		Task:    r.Task,
		Attempt: r.Attempt,
		Fate:    f,
	}))
}

// start starts a placed task on the worker.
func (d *driver) start(r agent.TaskAttempt) {
	s, address, ok := d.prepare(r)
	if !ok {
		return
	}
	if !d.t.holds() {
		return
	}
	err := d.t.h.config.Agents.Start(d.t.ctx, address, s)
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	switch {
	case err == nil:
		delete(d.starting, r)
		d.started[r] = d.t.h.reading()
		d.report(r, place.Started)
	case errors.Is(err, agent.ErrNotExecuted):
		delete(d.starting, r)
		d.report(r, place.Refused)
	default:
		// The start may have arrived, or may arrive yet: a renewal will tell.
	}
	d.t.wake()
}

// prepare returns the start of a task that is still wanted, and counts its
// lease as granted from before it is sent.
func (d *driver) prepare(r agent.TaskAttempt) (agent.StartRequest, string, bool) {
	now := d.t.h.reading()
	d.t.mu.Lock()
	defer d.t.mu.Unlock()
	h, held := d.held(r)
	spec, known := d.t.state.Spec(r.Task.Job)
	if !held || !known || h.State != spoolsill.TaskPlaced {
		return agent.StartRequest{}, "", false
	}
	d.granted = now
	d.starting[r] = now
	d.hurry()
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

// signal asks something of a task. What gets lost is asked again after the
// next renewal.
func (d *driver) signal(r agent.TaskAttempt, v agent.Verb) {
	d.t.mu.Lock()
	address := d.address
	d.t.mu.Unlock()
	if address == "" || !d.t.holds() {
		return
	}
	err := d.t.h.config.Agents.Signal(d.t.ctx, address, agent.Signal{
		TaskAttempt: r,
		Verb:        v,
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		d.t.h.config.Log.WithError(err).WithField("worker", d.id).Debug("signal not taken")
	}
}

// settle lists what every worker runs and settles the differences from the
// record, before the first decision of the tenure.
func (t *tenure) settle() {
	t.mu.Lock()
	var list []*driver
	for _, d := range t.workers {
		list = append(list, d)
	}
	t.mu.Unlock()
	done := make(chan struct{}, len(list))
	gate := make(chan struct{}, t.h.config.Starts)
	for _, d := range list {
		go func() {
			gate <- struct{}{}
			d.renew()
			<-gate
			done <- struct{}{}
		}()
	}
	for range list {
		<-done
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range list {
		if !d.asked && d.address != "" {
			t.state.SetSilent(d.id, true)
			d.fails = silentAfter
		}
	}
}
