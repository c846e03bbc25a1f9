package sched_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// cancelBound is within which nothing of a cancelled job may be left, on the
	// strictest of the known deployments: 3 s, and 0.2 s for the stop itself.
	cancelBound = 3200 * time.Millisecond
	// lateStartWindow is how much later than sent a start may be carried out.
	lateStartWindow = 12 * time.Second
	// startForce is for how long after it is sent a start alone keeps its run.
	startForce = 1500 * time.Millisecond
	// lookEvery is how far apart a worker's heartbeats are.
	lookEvery = 500 * time.Millisecond
	// lateTick is the step of the clock.
	lateTick = 50 * time.Millisecond
)

// A heldStart is an order without an answer that is carried out later.
type heldStart struct {
	run      sched.RunID
	at       time.Time
	deadline time.Time
	epoch    int
}

// A lateWorker carries orders out seconds after they were sent, and may do so for
// as long as its lease goes on. It loses orders and answers for as long as fates say
// so.
type lateWorker struct {
	flakyWorker
	began    map[sched.RunID]time.Time
	held     []heldStart
	highest  map[sched.TaskID]sched.RunNumber // stopped there
	deadline time.Time
	epoch    int
	answered bool
	looked   time.Time
	// cut tells that no order reaches it.
	cut bool
	// bars tells that a run that is stopped before it is there never comes; else
	// such a stop is turned away.
	bars bool
	// heeds tells that a start whose own deadline is over is turned away.
	heeds bool
}

func (w *lateWorker) fate() int {
	if w.cut {
		return fateLost
	}
	return w.flakyWorker.fate()
}

func (w *lateWorker) start(now time.Time, r sched.RunID) {
	if w.highest[r.Task] >= r.Number {
		return
	}
	w.runs[r] = true
	w.began[r] = now
}

// pass ends what has lapsed and carries out the starts that are due.
func (w *lateWorker) pass(now time.Time) {
	w.held = slices.DeleteFunc(w.held, func(h heldStart) bool {
		if now.Before(h.at) {
			return false
		}
		over := w.heeds && now.After(h.deadline)
		if h.epoch >= w.epoch && !over {
			w.epoch = h.epoch
			w.start(now, h.run)
			w.extend(h.deadline)
		}
		return true
	})
	if now.After(w.deadline) {
		clear(w.runs)
	}
}

func (w *lateWorker) extend(until time.Time) {
	if until.After(w.deadline) {
		w.deadline = until
	}
}

// stop carries a stop out and reports whether it is answered as taken.
func (w *lateWorker) stop(r sched.RunID, epoch int) bool {
	f := w.fate()
	if f == fateLost {
		return false
	}
	w.epoch = epoch
	if !w.runs[r] && !w.bars {
		return false
	}
	w.highest[r.Task] = max(w.highest[r.Task], r.Number)
	delete(w.runs, r)
	return f == fateWell
}

// A lateCell is a cell whose one worker "w" starts late, under one leader after
// the other.
type lateCell struct {
	*cell
	worker *lateWorker
	epoch  int
	// rows is what the store keeps.
	rows map[spoolsill.JobID][]byte
	// delays are of the next starts, in lateTick; 0 means none.
	delays []int
	// calm is when the latest fault, cancel or change of the leader was.
	calm      time.Time
	cancelled bool
}

func newLateCell(t *testing.T) *lateCell {
	x := &lateCell{
		cell: newCell(t),
		rows: map[spoolsill.JobID][]byte{},
		worker: &lateWorker{
			flakyWorker: flakyWorker{
				runs: map[sched.RunID]bool{},
			},
			began:   map[sched.RunID]time.Time{},
			highest: map[sched.TaskID]sched.RunNumber{},
		},
	}
	x.listWorker("w", false)
	return x
}

// tick lets a lateTick go by.
func (x *lateCell) tick() {
	x.now = x.now.Add(lateTick)
	w := x.worker
	if len(w.fates) > 0 || w.cut {
		x.calm = x.now
	}
	w.pass(x.now)
	x.state.Decide(x.now)
	x.write()
	for _, o := range x.state.Stops() {
		x.answerStop(o, w.stop(o.Run, x.epoch))
	}
	if slices.Contains(x.state.HeartbeatTargets(), lifeOf("w")) {
		x.look()
	}
}

// write has the decisions last, and sends the starts.
func (x *lateCell) write() {
	b, any, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	if !any {
		return
	}
	for _, r := range b.Rows {
		x.rows[r.ID] = r.Value
	}
	for _, o := range x.state.BatchWritten(x.now, b) {
		x.send(o)
	}
}

// send sends a start that is taken at once or has no answer and comes late.
func (x *lateCell) send(o sched.StartOrder) {
	late := 0
	if len(x.delays) > 0 {
		late, x.delays = x.delays[0], x.delays[1:]
	}
	if late == 0 && !x.worker.cut {
		x.worker.extend(x.now.Add(startForce))
		x.worker.start(x.now, o.Run)
		x.answerStart(o, sched.StartTaken)
		return
	}
	x.worker.held = append(x.worker.held, heldStart{
		run:      o.Run,
		at:       x.now.Add(time.Duration(late) * lateTick),
		deadline: x.now.Add(startForce),
		epoch:    x.epoch,
	})
	x.state.StartAnswered(x.now, sched.StartAnswer{
		Life:     o.Life,
		Run:      o.Run,
		Outcome:  sched.StartUnknown,
		Doubt:    true,
		Deadline: sched.ClockMillis(x.now.Add(startForce).UnixMilli()),
	})
}

// look has the worker answer a renewal, which extends its lease if the one
// before was answered.
func (x *lateCell) look() {
	w := x.worker
	if x.now.Sub(w.looked) < lookEvery {
		return
	}
	w.looked = x.now
	if w.answered {
		x.state.LeaseRequested(lifeOf("w"), sched.LeaseEnd(x.now, lease))
	}
	f := w.fate()
	if f != fateLost {
		w.epoch = x.epoch
	}
	if f != fateLost && w.answered {
		w.extend(x.now.Add(lease))
	}
	w.answered = f == fateWell
	if !w.answered {
		return
	}
	var rs []sched.RunID
	for r := range w.runs {
		rs = append(rs, r)
	}
	x.heartbeat("w", rs...)
}

func (x *lateCell) cancel() {
	x.calm = x.now
	x.cancelled = true
	x.state.CancelJob(x.now, "j")
}

// succeed has another leader go on from the rows. Of a job that is over it may
// not even know that it was there.
func (x *lateCell) succeed(j sched.Job, forgotten bool) {
	x.calm = x.now
	x.epoch++
	x.state = x.newState()
	x.worker.answered = false
	p, err := sched.DecodeProgress(x.rows[j.ID])
	x.c.Assert(err, qt.IsNil)
	if !p.State.Final() || len(p.Stages) > 0 || !forgotten {
		x.state.AddJob(x.now, j, p)
	}
	if x.cancelled {
		x.state.CancelJob(x.now, j.ID)
	}
	x.listWorker("w", false)
}

// overdue returns a run that should be gone.
func (x *lateCell) overdue() (sched.RunID, bool) {
	if !x.cancelled {
		return sched.RunID{}, false
	}
	for r := range x.worker.runs {
		since := x.worker.began[r]
		if x.calm.After(since) {
			since = x.calm
		}
		if x.now.Sub(since) > cancelBound {
			return r, true
		}
	}
	return sched.RunID{}, false
}

// drawTick draws when something happens.
func drawTick(rt *rapid.T, label string) int {
	return rapid.IntRange(0, int(lateStartWindow/lateTick)).Draw(rt, label)
}

func drawStep(rt *rapid.T) sched.Step {
	s := tasks(rapid.IntRange(1, 3).Draw(rt, "tasks"), 1)
	s.Estimate = time.Minute // does not stand still
	s.Gang = rapid.Bool().Draw(rt, "gang")
	s.Lasting = !s.Gang && rapid.Bool().Draw(rt, "lasting")
	return s
}

// A start that had no answer may be carried out after its job was cancelled and
// forgotten, after it was written off, and after another host has taken over; the
// worker may be leaving, or its entry gone. The run is stopped within the bound.
func TestRunsThatStartLateAreStopped(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newLateCell(t)
		x.worker.bars = rapid.Bool().Draw(rt, "stops bar")
		x.worker.heeds = rapid.Bool().Draw(rt, "heeds deadlines")
		j := job("j", "q", drawStep(rt))
		for x.worker.deadline.IsZero() {
			x.tick() // until the lease is renewed for the first time
		}
		x.delays = rapid.SliceOfN(rapid.IntRange(0, int(lateStartWindow/lateTick)), 0, 6).Draw(rt, "delays")
		x.state.AddJob(x.now, j, sched.Progress{})
		x.tick()
		x.worker.fates = rapid.SliceOfN(rapid.IntRange(0, fates-1), 0, 10).Draw(rt, "fates")
		at := map[int][]func(){}
		plan := func(label string, f func()) {
			n := drawTick(rt, label)
			at[n] = append(at[n], f)
		}
		plan("cancel", x.cancel)
		if rapid.Bool().Draw(rt, "take-over") {
			forgotten := rapid.Bool().Draw(rt, "forgotten")
			plan("next leader", func() { x.succeed(j, forgotten) })
		}
		switch rapid.IntRange(0, 2).Draw(rt, "entry") {
		case 1:
			plan("drains", func() { x.listWorker("w", true) })
		case 2:
			plan("unlisted", func() { x.state.WorkerUnlisted(x.now, "w") })
			if rapid.Bool().Draw(rt, "is back") {
				plan("listed", func() { x.listWorker("w", false) })
			}
		}
		if rapid.Bool().Draw(rt, "cut") {
			plan("cut off", func() { x.worker.cut = true })
			at[int(lateStartWindow/lateTick)] = append(at[int(lateStartWindow/lateTick)], func() { x.worker.cut = false })
		}
		for i := range int((2*lateStartWindow + cancelBound) / lateTick) {
			for _, f := range at[i] {
				f()
			}
			x.tick()
			if r, ok := x.overdue(); ok {
				rt.Fatalf("%s#%d runs %v after its late start at %v", r.Task, r.Number, x.now.Sub(x.worker.began[r]), x.worker.began[r])
			}
		}
	})
}

// A worker with many short tasks answers many times while it stops a run that no
// record names. It is told once, and again when the stop has had no effect.
func TestStopsOfUnknownRunsArePaced(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered %v", answered), func(t *testing.T) {
			x := newCell(t)
			x.addWorker("w")
			r := sched.RunID{
				Task: sched.TaskID{
					Stage: sched.StageID{
						Job: "forgotten",
					},
				},
				Number: 1,
			}
			stops := 0
			for range 150 {
				x.now = x.now.Add(20 * time.Millisecond)
				x.renewLease("w", r)
				x.state.Decide(x.now)
				for _, o := range x.state.Stops() {
					stops++
					x.c.Assert(o.Run, qt.Equals, r)
					if answered {
						x.answerStop(o, true)
					}
				}
			}
			x.c.Assert(stops >= 2 && stops <= 6, qt.IsTrue, qt.Commentf("%d stops in 3 s", stops))
		})
	}
}

// A worker whose entry went may still have a lease, under which what it starts late
// goes on: it is looked at until that is over, and no longer.
func TestWorkerWithoutAnEntryIsLookedAtWhileItsLeaseLasts(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.WorkerUnlisted(x.now, "w")
	x.advance(lease-time.Second, nil)
	x.c.Assert(x.state.HeartbeatTargets(), qt.DeepEquals, []spoolsill.Life{lifeOf("w")})
	x.advance(2*time.Second, nil)
	x.c.Assert(x.state.HeartbeatTargets(), qt.HasLen, 0)
}

// One member's end stands for its whole gang, whose others are expected to end by
// themselves. One that goes on is stopped when its job is cancelled.
func TestMembersLeftOfADoneGangAreStoppedWithTheirJob(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	second := tasks(1, 1)
	second.After = []int{0}
	x.state.AddJob(x.now, job("j", "q", gang(2, 1), second), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.endRun(o[0], sched.EndDone)
	x.acceptStarts(x.step())
	x.state.CancelJob(x.now, "j")
	x.state.Stops() // of the second step
	x.now = x.now.Add(lookEvery)
	x.renewLease("w", o[1].Run)
	x.c.Assert(x.state.Stops(), qt.DeepEquals, []sched.StopOrder{
		{
			Life: lifeOf("w"),
			Run:  o[1].Run,
		},
	})
}
