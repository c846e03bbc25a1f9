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
	// cancelBound is the time within which nothing of a cancelled job may be left. The
	// strictest platform requires 3 s, and a stop takes 0.2 s.
	cancelBound = 3200 * time.Millisecond
	// maxStartDelay is the maximum time from sending a start to carrying it out.
	maxStartDelay = 12 * time.Second
	// startLease is the time after sending a start for which its run continues without a
	// lease renewal.
	startLease        = 1500 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	tickLength        = 50 * time.Millisecond
)

// A delayedStart is an unanswered order that is carried out later.
type delayedStart struct {
	run      sched.RunID
	at       time.Time
	deadline time.Time
	epoch    int
}

// A lateWorker carries out orders seconds after they were sent, for as long as its lease
// lasts. It loses orders and answers according to the faults of the flakyWorker.
type lateWorker struct {
	flakyWorker
	startedAt     map[sched.RunID]time.Time
	delayed       []delayedStart
	stopped       map[sched.TaskID]sched.RunNumber // highest run that was stopped
	deadline      time.Time
	epoch         int
	answered      bool
	lastHeartbeat time.Time
	// partitioned is set while no order reaches it.
	partitioned bool
	// remembersStops is set when a run that is stopped before its start arrives is never
	// started; otherwise such a stop is rejected.
	remembersStops bool
	// checksDeadlines is set when a start after its own deadline is rejected.
	checksDeadlines bool
}

func (w *lateWorker) nextFault() int {
	if w.partitioned {
		return faultOrderLost
	}
	return w.flakyWorker.nextFault()
}

func (w *lateWorker) start(now time.Time, r sched.RunID) {
	if w.stopped[r.Task] >= r.Number {
		return
	}
	w.runs[r] = true
	w.startedAt[r] = now
}

// advance ends runs whose lease has expired and carries out the starts that are due.
func (w *lateWorker) advance(now time.Time) {
	w.delayed = slices.DeleteFunc(w.delayed, func(h delayedStart) bool {
		if now.Before(h.at) {
			return false
		}
		expired := w.checksDeadlines && now.After(h.deadline)
		if h.epoch >= w.epoch && !expired {
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

// stop carries out a stop and reports whether the answer says so.
func (w *lateWorker) stop(r sched.RunID, epoch int) bool {
	f := w.nextFault()
	if f == faultOrderLost {
		return false
	}
	w.epoch = epoch
	if !w.runs[r] && !w.remembersStops {
		return false
	}
	w.stopped[r.Task] = max(w.stopped[r.Task], r.Number)
	delete(w.runs, r)
	return f == faultNone
}

// A lateCell is a cell with one worker "w" that carries out starts late, under
// successive leaders.
type lateCell struct {
	*cell
	worker *lateWorker
	epoch  int
	// rows are the rows in the store.
	rows map[spoolsill.JobID][]byte
	// delays are those of the next starts, in ticks; 0 means none.
	delays []int
	// lastDisturbance is when the latest fault, cancellation or change of the leader
	// occurred.
	lastDisturbance time.Time
	cancelled       bool
}

func newLateCell(t *testing.T) *lateCell {
	x := &lateCell{
		cell: newCell(t),
		rows: map[spoolsill.JobID][]byte{},
		worker: &lateWorker{
			flakyWorker: flakyWorker{
				runs: map[sched.RunID]bool{},
			},
			startedAt: map[sched.RunID]time.Time{},
			stopped:   map[sched.TaskID]sched.RunNumber{},
		},
	}
	x.listWorker("w", false)
	return x
}

// tick advances the time by tickLength.
func (x *lateCell) tick() {
	x.now = x.now.Add(tickLength)
	w := x.worker
	if len(w.faults) > 0 || w.partitioned {
		x.lastDisturbance = x.now
	}
	w.advance(x.now)
	x.state.Decide(x.now)
	x.write()
	for _, o := range x.state.Stops() {
		x.answerStop(o, w.stop(o.Run, x.epoch))
	}
	if slices.Contains(x.state.HeartbeatTargets(), incarnationOf("w")) {
		x.answerRenewal()
	}
}

// write writes the decisions and sends the starts.
func (x *lateCell) write() {
	b, ok, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	if !ok {
		return
	}
	for _, r := range b.Rows {
		x.rows[r.ID] = r.Value
	}
	for _, o := range x.state.BatchWritten(x.now, b) {
		x.send(o)
	}
}

// send sends a start, which is either accepted at once or left unanswered and carried out
// late.
func (x *lateCell) send(o sched.StartOrder) {
	late := 0
	if len(x.delays) > 0 {
		late, x.delays = x.delays[0], x.delays[1:]
	}
	if late == 0 && !x.worker.partitioned {
		x.worker.extend(x.now.Add(startLease))
		x.worker.start(x.now, o.Run)
		x.answerStart(o, sched.StartAccepted)
		return
	}
	x.worker.delayed = append(x.worker.delayed, delayedStart{
		run:      o.Run,
		at:       x.now.Add(time.Duration(late) * tickLength),
		deadline: x.now.Add(startLease),
		epoch:    x.epoch,
	})
	x.state.StartAnswered(x.now, sched.StartAnswer{
		WorkerIncarnation: o.WorkerIncarnation,
		Run:               o.Run,
		Outcome:           sched.StartUnknown,
		Doubt:             true,
		Deadline:          sched.ClockMillis(x.now.Add(startLease).UnixMilli()),
	})
}

// answerRenewal has the worker answer a renewal, which extends its lease if the previous one
// was answered.
func (x *lateCell) answerRenewal() {
	w := x.worker
	if x.now.Sub(w.lastHeartbeat) < heartbeatInterval {
		return
	}
	w.lastHeartbeat = x.now
	if w.answered {
		x.state.LeaseRequested(incarnationOf("w"), sched.LeaseEnd(x.now, lease))
	}
	f := w.nextFault()
	if f != faultOrderLost {
		w.epoch = x.epoch
	}
	if f != faultOrderLost && w.answered {
		w.extend(x.now.Add(lease))
	}
	w.answered = f == faultNone
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
	x.lastDisturbance = x.now
	x.cancelled = true
	x.state.CancelJob(x.now, "j")
}

// takeOver replaces the leader by one that starts from the rows. A job that has ended
// may have been forgotten.
func (x *lateCell) takeOver(j sched.Job, forgotten bool) {
	x.lastDisturbance = x.now
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

// overdueRun returns a run that should have been stopped by now.
func (x *lateCell) overdueRun() (sched.RunID, bool) {
	if !x.cancelled {
		return sched.RunID{}, false
	}
	for r := range x.worker.runs {
		since := x.worker.startedAt[r]
		if x.lastDisturbance.After(since) {
			since = x.lastDisturbance
		}
		if x.now.Sub(since) > cancelBound {
			return r, true
		}
	}
	return sched.RunID{}, false
}

// drawTick draws the tick of an event.
func drawTick(rt *rapid.T, label string) int {
	return rapid.IntRange(0, int(maxStartDelay/tickLength)).Draw(rt, label)
}

func drawStep(rt *rapid.T) sched.Step {
	s := tasks(rapid.IntRange(1, 3).Draw(rt, "tasks"), 1)
	s.Estimate = time.Minute // so that it is not taken to be stuck
	s.Gang = rapid.Bool().Draw(rt, "gang")
	s.Lasting = !s.Gang && rapid.Bool().Draw(rt, "lasting")
	return s
}

// An unanswered start may be carried out after its job was cancelled and forgotten,
// after it was given up, and after another host has become the leader; the worker may be
// draining or unlisted. Guards against such a run outliving the bound.
func TestRunsThatStartLateAreStopped(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newLateCell(t)
		x.worker.remembersStops = rapid.Bool().Draw(rt, "remembers stops")
		x.worker.checksDeadlines = rapid.Bool().Draw(rt, "checks deadlines")
		j := job("j", "q", drawStep(rt))
		for x.worker.deadline.IsZero() {
			x.tick() // until the lease is renewed for the first time
		}
		x.delays = rapid.SliceOfN(rapid.IntRange(0, int(maxStartDelay/tickLength)), 0, 6).Draw(rt, "delays")
		x.state.AddJob(x.now, j, sched.Progress{})
		x.tick()
		x.worker.faults = rapid.SliceOfN(rapid.IntRange(0, faultKinds-1), 0, 10).Draw(rt, "faults")
		at := map[int][]func(){}
		schedule := func(label string, f func()) {
			n := drawTick(rt, label)
			at[n] = append(at[n], f)
		}
		schedule("cancel", x.cancel)
		if rapid.Bool().Draw(rt, "take-over") {
			forgotten := rapid.Bool().Draw(rt, "forgotten")
			schedule("next leader", func() { x.takeOver(j, forgotten) })
		}
		switch rapid.IntRange(0, 2).Draw(rt, "entry") {
		case 1:
			schedule("drains", func() { x.listWorker("w", true) })
		case 2:
			schedule("unlisted", func() { x.state.WorkerUnlisted(x.now, "w") })
			if rapid.Bool().Draw(rt, "listed again") {
				schedule("listed", func() { x.listWorker("w", false) })
			}
		}
		if rapid.Bool().Draw(rt, "cut") {
			schedule("partition the worker", func() { x.worker.partitioned = true })
			at[int(maxStartDelay/tickLength)] = append(at[int(maxStartDelay/tickLength)], func() { x.worker.partitioned = false })
		}
		for i := range int((2*maxStartDelay + cancelBound) / tickLength) {
			for _, f := range at[i] {
				f()
			}
			x.tick()
			if r, ok := x.overdueRun(); ok {
				rt.Fatalf("%s#%d runs %v after its late start at %v", r.Task, r.Number, x.now.Sub(x.worker.startedAt[r]), x.worker.startedAt[r])
			}
		}
	})
}

// A worker with many short tasks answers many times while it stops a run that the leader has no
// record of. Guards against a stop order for each answer; the order is repeated only if it has
// had no effect.
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

// A worker whose entry was deleted may still have a lease that keeps a late start
// running: it is contacted until the lease has expired, and no longer.
func TestUnlistedWorkerIsContactedWhileItsLeaseLasts(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.WorkerUnlisted(x.now, "w")
	x.advance(lease-time.Second, nil)
	x.c.Assert(x.state.HeartbeatTargets(), qt.DeepEquals, []spoolsill.WorkerIncarnation{incarnationOf("w")})
	x.advance(2*time.Second, nil)
	x.c.Assert(x.state.HeartbeatTargets(), qt.HasLen, 0)
}

// The end of one member completes the whole gang, whose other members are expected to
// end by themselves. A member that does not is stopped when its job is cancelled.
func TestRemainingMembersOfADoneGangAreStoppedWithTheirJob(t *testing.T) {
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
	x.now = x.now.Add(heartbeatInterval)
	x.renewLease("w", o[1].Run)
	x.c.Assert(x.state.Stops(), qt.DeepEquals, []sched.StopOrder{
		{
			WorkerIncarnation: incarnationOf("w"),
			Run:               o[1].Run,
		},
	})
}
