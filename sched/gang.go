package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
)

// placeGang starts all tasks of a gang, or none.
func (d *decider) placeGang(g *stage, q *Queue) {
	ws := d.candidates(g, q)
	seats := d.seats(g, q, ws)
	if seats == nil {
		d.gather(g, q)
		d.keepWarm(g, q)
		return
	}
	g.gathered = nil
	renew := d.stale(g, q, seats)
	for i, t := range g.tasks {
		if len(renew) > 0 {
			d.plan(t, seats[i])
			continue
		}
		d.start(t, seats[i])
	}
	if len(renew) > 0 && !g.advice.warming {
		d.ask(g, q, renew, PurposeRenew)
	}
}

const (
	// gatherFactor is for how many times its tasks a gang that waits keeps
	// workers from stages ranked below it, by what they hold when empty: with
	// just enough of them it would wait for the last run to end, and with all
	// that it may use, room would stand idle. Tried on the grown deployments,
	// see docs/DECISIONS.md.
	gatherFactor = 3
	// gatherShare is the part of the workers that gangs ranked below the first
	// may keep besides, one in so many.
	gatherShare = 3
)

// gather keeps workers for a gang that waits, so that it does not wait for
// ever. It goes on with those that it kept in the last pass.
func (d *decider) gather(g *stage, q *Queue) {
	r := d.ready[q.Service]
	if r == nil || len(d.held) > 0 && len(d.held) >= len(r.workers)/gatherShare {
		g.gathered = nil
		return
	}
	from := g.advice.allowed
	if q.Advisor == nil {
		from = r.workers
	}
	if !d.seatable(g, from) {
		// The workers that it would keep may be the only ones that others can use.
		g.gathered = nil
		return
	}
	seats := 0
	keep := func(w *worker) bool {
		n := fitTimes(g.step.demand(), w.Capacity)
		if !w.ready || d.held[w] != nil || n == 0 || seats >= gatherFactor*len(g.tasks) {
			return false
		}
		d.held[w] = g
		seats += n
		return true
	}
	g.gathered = slices.DeleteFunc(g.gathered, func(w *worker) bool { return !keep(w) })
	from = slices.Clone(from)
	sortByFree(from)
	for _, w := range from {
		if keep(w) {
			g.gathered = append(g.gathered, w)
		}
	}
}

// seatable reports whether workers could seat a gang if they were empty.
func (s *State) seatable(g *stage, ws []*worker) bool {
	seats := 0
	for _, w := range ws {
		if w.dead || w.leaving(s.now) || !g.labelMatches(w) {
			continue
		}
		n := fitTimes(g.step.demand(), w.Capacity)
		if m := g.step.MaxPerWorker; m > 0 {
			n = min(n, m)
		}
		seats += n
	}
	return seats >= len(g.tasks)
}

// stale returns the workers of seats whose tickets must be renewed first.
func (d *decider) stale(g *stage, q *Queue, seats []*worker) []spoolsill.Life {
	if q.Advisor == nil {
		return nil
	}
	var lives []spoolsill.Life
	fresh := true
	for _, w := range seats {
		if !slices.Contains(lives, w.life()) {
			lives = append(lives, w.life())
		}
		fresh = fresh && g.advice.valid(w, d.now)
	}
	if fresh {
		return nil
	}
	return lives
}

// seats returns a worker for each task of a gang, or nil. A gang that should be
// in one rack is spread over several once it has waited for as long as that
// costs.
func (d *decider) seats(g *stage, q *Queue, ws []*worker) []*worker {
	costs := time.Duration((d.config.FarFactor - 1) * float64(d.expected(q, g.step)))
	if !g.step.SameRack || d.now.Sub(g.openedAt) >= costs {
		return d.seatsAmong(g, ws)
	}
	for _, rack := range racksOf(ws) {
		var in []*worker
		for _, w := range ws {
			if w.Rack == rack {
				in = append(in, w)
			}
		}
		if seats := d.seatsAmong(g, in); seats != nil {
			return seats
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

func (d *decider) seatsAmong(g *stage, ws []*worker) []*worker {
	need := g.step.demand()
	type offer struct {
		w     *worker
		seats int
		trial float64
	}
	offers := make([]offer, 0, len(ws))
	total := 0
	for _, w := range ws {
		n := fitTimes(need, w.free())
		if m := g.step.MaxPerWorker; m > 0 {
			n = min(n, m-g.at(w))
		}
		n = min(n, len(g.tasks))
		if n <= 0 {
			continue
		}
		offers = append(offers, offer{
			w:     w,
			seats: n,
			trial: d.gangTrialCost(g, w),
		})
		total += n
	}
	if total < len(g.tasks) {
		return nil
	}
	slices.SortStableFunc(offers, func(a, b offer) int {
		return cmp.Or(
			cmp.Compare(a.trial, b.trial),
			cmp.Compare(a.w.health.slowness(), b.w.health.slowness()),
			cmp.Compare(b.seats, a.seats),
		)
	})
	seats := make([]*worker, 0, len(g.tasks))
	for _, o := range offers {
		for range o.seats {
			if len(seats) < len(g.tasks) {
				seats = append(seats, o.w)
			}
		}
	}
	return seats
}

// fitTimes returns how often need fits into free.
func fitTimes(need, free spoolsill.Resources) int {
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

// nextGangRun returns the number that all members of the gang's next run
// share: one more than any member has had, or that of the members that are
// already recorded.
func (g *stage) nextGangRun() RunNumber {
	var most RunNumber
	for _, t := range g.tasks {
		most = max(most, t.lastRun)
		if t.run != nil && t.run.phase == phaseRecorded {
			return t.run.id.Number
		}
	}
	return most + 1
}
