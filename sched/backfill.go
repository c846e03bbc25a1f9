package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

const (
	// backfillMargin multiplies the expected run time of a task that is to end before a
	// reservation begins: estimates are off by half.
	backfillMargin = 1.5
	// maxOverstay is how long a backfilled run may go on after it was to end, if the
	// reservation's stage waits for nothing else.
	maxOverstay = time.Second
	// starvationTime is how long a job may have nothing running because of reservations in a
	// service that is mostly idle, minStarvationTime how long it waits at least before it is
	// known that the reservation's stage starts later than that.
	starvationTime    = 2500 * time.Millisecond
	minStarvationTime = 1500 * time.Millisecond
	// idleShare is the share of a service in use below which it is mostly idle.
	idleShare = 0.5
	// startForecastTTL is how long the expected start of a reservation is cached.
	startForecastTTL = 100 * time.Millisecond
)

// A reservation keeps workers for a stage that waits for capacity there. Stages of lower rank may
// backfill: they use the workers as long as that does not delay the stage, or not for long.
type reservation struct {
	stage   *stage
	workers []*worker
	// tasks is how many tasks of the stage have to fit on the workers at the same time.
	tasks int
	// start is when they are expected to fit, and seats how many tasks fit then, as of
	// forecastAt.
	start      time.Time
	seats      int
	forecastAt time.Time
}

// reserve keeps w for the stage of h in this pass.
func (d *decider) reserve(w *worker, h *reservation) {
	w.reservation = h
	h.workers = append(h.workers, w)
	d.reserved++
}

// A backfillVerdict says whether a task may use a worker that is reserved for another stage.
type backfillVerdict uint8

const (
	backfillDenied    backfillVerdict = iota
	backfillHarmless                  // takes nothing that the stage can use
	backfillSpare                     // takes one of more seats than the stage needs
	backfillEndsFirst                 // expected to end before the stage starts
	backfillStarved                   // has waited for long in a service that is mostly idle
)

// mayUse reports whether reservations let g start a task at w. Queues of the highest priority are
// not subject to any.
func (d *decider) mayUse(g *stage, q *Queue, w *worker) bool {
	h := w.reservation
	return h == nil || h.stage == g || q.Priority == 0 || d.backfill(g, q, w) != backfillDenied
}

// backfill decides whether g may start a task at w, which is reserved for another stage. Beside a
// large task only starved jobs may: it needs one worker, of which there are others.
func (d *decider) backfill(g *stage, q *Queue, w *worker) backfillVerdict {
	h := w.reservation
	d.forecastStart(h)
	gang := h.stage.step.Gang
	switch {
	case gang && h.stage.seatsBeside(g.step.demand(), w):
		return backfillHarmless
	case gang && d.endsBy(g, q, w, h.start):
		return backfillEndsFirst
	case gang && !g.step.Gang && d.mostlyIdle(q.Service, spoolsill.Resources.DominantShare) && h.seats-d.seatsTaken(h, w, g) >= h.tasks:
		return backfillSpare
	case d.starved(g, h) && d.mostlyIdle(q.Service, spoolsill.Resources.LeastShare):
		return backfillStarved
	default:
		return backfillDenied
	}
}

// seatsBeside reports whether as many tasks of g fit on w beside a task that needs some resources as
// without it, once the other runs there have ended that don't last.
func (g *stage) seatsBeside(need spoolsill.Resources, w *worker) bool {
	free := w.reclaimable().Sub(w.usedBeside)
	return g.seatsIn(free.Sub(need), w) == g.seatsIn(free, w)
}

// endsBy reports whether a task of g that starts at w now is expected to end by a time.
func (d *decider) endsBy(g *stage, q *Queue, w *worker, by time.Time) bool {
	if g.step.Lasting || g.step.Estimate <= 0 {
		return false
	}
	expected := float64(d.expected(q, g.step)) * w.health.slowness()
	return !d.now.Add(time.Duration(backfillMargin * expected)).After(by)
}

// starved reports whether the job of g has had nothing running for starvationTime, or will not before
// the stage of h starts. Each task of a lasting step counts by itself.
func (d *decider) starved(g *stage, h *reservation) bool {
	if g.job.activeRuns > 0 && !g.step.Lasting {
		return false
	}
	waited := d.now.Sub(g.openedAt)
	if !g.due.IsZero() {
		waited = min(waited, d.wallClock().Sub(g.due))
	}
	return waited >= minStarvationTime && waited+max(h.start.Sub(d.now), 0) >= starvationTime
}

// mostlyIdle reports whether less than idleShare of a service is in use, by some measure of the share.
func (d *decider) mostlyIdle(service spoolsill.ServiceID, share func(used, total spoolsill.Resources) float64) bool {
	r := d.ready[service]
	return r != nil && share(r.used, r.capacity) < idleShare
}

// forecastStart determines when the stage of h is expected to start, at most once in
// startForecastTTL.
// Cost: O(n log n) for n runs on the workers.
func (d *decider) forecastStart(h *reservation) {
	if !h.forecastAt.IsZero() && d.now.Sub(h.forecastAt) < startForecastTTL {
		return
	}
	h.forecastAt = d.now
	type gain struct {
		after time.Duration
		seats int
	}
	var gains []gain
	seats := 0
	for _, w := range h.workers {
		free := w.free()
		n := h.stage.seatsIn(free, w)
		seats += n
		for _, r := range d.byRemaining(w) {
			free = free.Add(r.need)
			m := h.stage.seatsIn(free, w)
			if m > n {
				gains = append(gains, gain{
					after: d.endsIn(r),
					seats: m - n,
				})
				n = m
			}
		}
	}
	slices.SortFunc(gains, func(a, b gain) int { return cmp.Compare(a.after, b.after) })
	var after time.Duration
	for _, x := range gains {
		if seats >= h.tasks && x.after > after {
			break
		}
		after = max(after, x.after)
		seats += x.seats
	}
	h.start = d.now.Add(after)
	if seats < h.tasks {
		h.start = d.now.Add(noExpectedEnd)
	}
	h.seats = seats
}

// byRemaining returns the runs of w, those that are expected to end first before others.
func (d *decider) byRemaining(w *worker) []*run {
	rs := sortedRuns(w)
	slices.SortStableFunc(rs, func(a, b *run) int { return cmp.Compare(d.endsIn(a), d.endsIn(b)) })
	return rs
}

// seatsTaken returns how many tasks less of the stage of h are expected to fit on w when it starts if a
// task of g runs there then.
func (d *decider) seatsTaken(h *reservation, w *worker, g *stage) int {
	free := w.free()
	left := h.start.Sub(d.now)
	for _, r := range w.runs {
		if d.endsIn(r) <= left {
			free = free.Add(r.need)
		}
	}
	return h.stage.seatsIn(free, w) - h.stage.seatsIn(free.Sub(g.step.demand()), w)
}

// seatsIn returns how many tasks of g fit into free resources of w.
func (g *stage) seatsIn(free spoolsill.Resources, w *worker) int {
	n := min(fitCount(g.step.demand(), free), len(g.tasks))
	if m := g.step.MaxPerWorker; m > 0 {
		n = min(n, max(m-g.runsAt(w), 0))
	}
	return n
}

// plan occupies capacity for a run of t at w. If w is reserved for another stage, the run has to end
// in time for it, unless it takes nothing from it.
func (d *decider) plan(t *task, w *worker) {
	h := w.reservation
	q := d.queue(t.stage.job)
	if h == nil || h.stage == t.stage || q.Priority == 0 {
		d.State.plan(t, w)
		return
	}
	v := d.backfill(t.stage, q, w)
	if v == backfillSpare {
		h.seats -= d.seatsTaken(h, w, t.stage)
	}
	d.State.plan(t, w)
	switch {
	case t.stage.step.Lasting:
	case v == backfillHarmless:
		t.run.beside = true
		w.usedBeside = w.usedBeside.Add(t.run.need)
	case v == backfillEndsFirst || v == backfillStarved:
		t.run.yieldsTo = h.stage
		t.run.yieldAt = h.start.Add(maxOverstay)
		h.stage.yielding = append(h.stage.yielding, t.run)
	}
}

// reclaim stops the backfilled runs that have exceeded their time if the stage of h could start
// without them. A task is stopped at most maxPreemptions times.
func (d *decider) reclaim(h *reservation) {
	g := h.stage
	g.yielding = slices.DeleteFunc(g.yielding, func(r *run) bool { return r.worker.runs[r.id] != r })
	if !slices.ContainsFunc(g.yielding, func(r *run) bool { return d.overdue(r, h) }) {
		return
	}
	seats := 0
	var stops []*run
	for _, w := range h.workers {
		free := w.free()
		overdue := []*run{}
		for _, r := range sortedRuns(w) {
			switch {
			case r.stopping:
				free = free.Add(r.need)
			case d.overdue(r, h):
				overdue = append(overdue, r)
			}
		}
		n := g.seatsIn(free, w)
		for _, r := range overdue {
			free = free.Add(r.need)
		}
		if m := g.seatsIn(free, w); m > n {
			stops = append(stops, overdue...)
			n = m
		}
		seats += n
	}
	if seats < h.tasks {
		return
	}
	for _, r := range stops {
		r.task.preemptions++
		d.stop(r, "has exceeded its time beside "+g.id.String())
	}
}

// overdue reports whether r has exceeded its time at a worker reserved by h and may be stopped.
func (d *decider) overdue(r *run, h *reservation) bool {
	return r.yieldsTo == h.stage && d.now.After(r.yieldAt) && r.phase == phaseConfirmed && r.task.preemptions < maxPreemptions
}

// placementReason returns why a run is placed at its worker, for people.
func (r *run) placementReason() string {
	if r.yieldsTo != nil {
		return "backfills a worker reserved for " + r.yieldsTo.id.String()
	}
	return "has room"
}
