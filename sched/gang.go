package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// placeGang starts all tasks of a gang or none.
func (d *decider) placeGang(g *stage, q *Queue) {
	ws := d.candidates(g, q)
	workers := d.assignGang(g, q, ws)
	if workers == nil {
		d.reserveForGang(g, q)
		d.keepWarm(g, q)
		return
	}
	g.reserved = nil
	renew := d.ticketsToRenew(g, q, workers)
	for i, t := range g.tasks {
		if len(renew) > 0 {
			d.plan(t, workers[i])
			continue
		}
		d.start(t, workers[i])
	}
	if len(renew) > 0 && !g.advice.warmQueryInFlight {
		d.ask(g, q, renew, PurposeRenew)
	}
}

const (
	// gangReserveFactor is the number of times that a waiting gang must fit into the total
	// capacity of the workers reserved for it. Reserving just enough workers for one fit
	// makes it wait for the last of their runs to end; reserving all usable workers
	// leaves capacity idle. See docs/DECISIONS.md.
	gangReserveFactor = 3
	// reserveDivisor limits reservations. Once 1/reserveDivisor of the ready workers are
	// reserved, further gangs reserve none, and large tasks never reserve more than that.
	reserveDivisor = 3
)

// reserveForGang reserves workers for a waiting gang so that smaller tasks can't starve
// it. Reservations of the last pass are kept.
func (d *decider) reserveForGang(g *stage, q *Queue) {
	r := d.ready[q.Service]
	if r == nil || d.reserved > 0 && d.reserved >= len(r.workers)/reserveDivisor {
		g.reserved = nil
		return
	}
	from := g.advice.allowed
	if q.Advisor == nil {
		from = r.workers
	}
	if !d.seatable(g, from) {
		// A reservation would not let the gang start, and the reserved workers might be the
		// only ones that other stages can use.
		g.reserved = nil
		return
	}
	h := g.gangReservation()
	fits := 0
	reserve := func(w *worker) bool {
		n := fitCount(g.step.demand(), w.reclaimable())
		if !w.ready || w.reservation != nil || n == 0 || fits >= gangReserveFactor*len(g.tasks) {
			return false
		}
		d.reserve(w, h)
		fits += n
		return true
	}
	g.reserved = slices.DeleteFunc(g.reserved, func(w *worker) bool { return !reserve(w) })
	from = slices.Clone(from)
	sortByFree(from)
	for _, w := range from {
		if reserve(w) {
			g.reserved = append(g.reserved, w)
		}
	}
	d.reclaim(h)
}

// gangReservation returns the reservation of a gang, without workers. What was forecast for the
// last one is kept.
func (g *stage) gangReservation() *reservation {
	h := g.reservation
	if h == nil || len(g.reserved) == 0 {
		h = &reservation{
			stage: g,
			tasks: len(g.tasks),
		}
		g.reservation = h
	}
	h.workers = h.workers[:0]
	return h
}

// seatable reports whether the whole gang would fit on ws once all runs there have ended that
// don't last.
func (s *State) seatable(g *stage, ws []*worker) bool {
	seats := 0
	for _, w := range ws {
		if w.dead || w.leaving(s.now) || !g.labelMatches(w) {
			continue
		}
		n := fitCount(g.step.demand(), w.reclaimable())
		if m := g.step.MaxPerWorker; m > 0 {
			n = min(n, m)
		}
		seats += n
	}
	return seats >= len(g.tasks)
}

// ticketsToRenew returns the incarnations of the assigned workers if one of their tickets must
// be renewed before the gang can start, and nil otherwise.
func (d *decider) ticketsToRenew(g *stage, q *Queue, workers []*worker) []spoolsill.WorkerIncarnation {
	if q.Advisor == nil {
		return nil
	}
	var incarnations []spoolsill.WorkerIncarnation
	fresh := true
	for _, w := range workers {
		if !slices.Contains(incarnations, w.incarnation()) {
			incarnations = append(incarnations, w.incarnation())
		}
		fresh = fresh && g.advice.valid(w, d.now)
	}
	if fresh {
		return nil
	}
	return incarnations
}

// assignGang returns a worker for each task of a gang, or nil if they don't all fit. A
// gang with SameRack is spread over several racks once it has waited for as long as the
// slowdown is expected to cost.
func (d *decider) assignGang(g *stage, q *Queue, ws []*worker) []*worker {
	spreadCost := time.Duration((d.config.FarFactor - 1) * float64(d.expected(q, g.step)))
	if !g.step.SameRack || d.now.Sub(g.openedAt) >= spreadCost {
		return d.assignGangTo(g, ws)
	}
	for _, rack := range racksOf(ws) {
		var inRack []*worker
		for _, w := range ws {
			if w.Rack == rack {
				inRack = append(inRack, w)
			}
		}
		if workers := d.assignGangTo(g, inRack); workers != nil {
			return workers
		}
	}
	return nil
}

func racksOf(ws []*worker) []spoolsill.RackID {
	var racks []spoolsill.RackID
	for _, w := range ws {
		if !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
	}
	return racks
}

// assignGangTo returns a worker in ws for each task of a gang, or nil if they don't all
// fit.
func (d *decider) assignGangTo(g *stage, ws []*worker) []*worker {
	need := g.step.demand()
	type candidate struct {
		w         *worker
		fits      int
		trialCost float64
	}
	candidates := make([]candidate, 0, len(ws))
	total := 0
	for _, w := range ws {
		n := fitCount(need, w.free())
		if m := g.step.MaxPerWorker; m > 0 {
			n = min(n, m-g.runsAt(w))
		}
		n = min(n, len(g.tasks))
		if n <= 0 {
			continue
		}
		candidates = append(candidates, candidate{
			w:         w,
			fits:      n,
			trialCost: d.gangTrialCost(g, w),
		})
		total += n
	}
	if total < len(g.tasks) {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.trialCost, b.trialCost),
			cmp.Compare(a.w.health.slowness(), b.w.health.slowness()),
			cmp.Compare(b.fits, a.fits),
		)
	})
	workers := make([]*worker, 0, len(g.tasks))
	for _, c := range candidates {
		for range c.fits {
			if len(workers) < len(g.tasks) {
				workers = append(workers, c.w)
			}
		}
	}
	return workers
}

// fitCount returns how many times need fits into free.
func fitCount(need, free spoolsill.Resources) int {
	n := math.MaxInt32
	if need.Processors > 0 {
		n = min(n, int(free.Processors/need.Processors))
	}
	if need.Memory > 0 {
		n = min(n, int(free.Memory/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, int(free.Accelerators/need.Accelerators))
	}
	return max(n, 0)
}

// nextGangRun returns the run number that all members of the gang's next run share. It is
// that of the members that are already recorded, or else one more than any member's last
// run.
func (g *stage) nextGangRun() RunNumber {
	var last RunNumber
	for _, t := range g.tasks {
		last = max(last, t.lastRun)
		if t.run != nil && t.run.phase == phaseRecorded {
			return t.run.id.Number
		}
	}
	return last + 1
}
