package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// cancelRunning returns a cell with a worker "w" whose only run is cancelled, and the
// stop order.
func cancelRunning(t *testing.T) (*cell, sched.StopOrder) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.state.CancelJob(x.now, "j")
	stops := x.state.Stops()
	x.c.Assert(stops, qt.HasLen, 1)
	return x, stops[0]
}

func (x *cell) answerStop(o sched.StopOrder, accepted bool) {
	x.state.StopAnswered(x.now, sched.StopAnswer{
		Order: o,
		Taken: accepted,
	})
}

// stopsWithin returns the stop orders within d while the worker "w" still lists a run.
func (x *cell) stopsWithin(d time.Duration, r sched.RunID) []sched.StopOrder {
	x.advance(d, map[spoolsill.WorkerID][]sched.RunID{
		"w": {r},
	})
	return x.state.Stops()
}

func TestUnacceptedStopIsRepeated(t *testing.T) {
	x, o := cancelRunning(t)
	x.answerStop(o, false)
	x.c.Assert(x.stopsWithin(500*time.Millisecond, o.Run), qt.DeepEquals, []sched.StopOrder{o})
}

func TestStopWithoutEffectIsRepeated(t *testing.T) {
	x, o := cancelRunning(t)
	x.answerStop(o, true)
	x.c.Assert(x.stopsWithin(500*time.Millisecond, o.Run), qt.HasLen, 0)
	x.c.Assert(x.stopsWithin(500*time.Millisecond, o.Run), qt.DeepEquals, []sched.StopOrder{o})
}

func TestUnansweredStopIsRepeated(t *testing.T) {
	x, o := cancelRunning(t)
	x.c.Assert(x.stopsWithin(3*time.Second, o.Run), qt.Not(qt.HasLen), 0)
}

func TestStopIsNotRepeatedAfterRunEnds(t *testing.T) {
	x, o := cancelRunning(t)
	x.answerStop(o, true)
	x.advance(5*time.Second, map[spoolsill.WorkerID][]sched.RunID{
		"w": nil,
	})
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
}

// A job may be cancelled while there is no leader. The next leader knows its runs from
// their rows before it knows the addresses of the workers.
func TestStopWaitsForTheWorkersAddress(t *testing.T) {
	x := newCell(t)
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), runningAt("w"))
	x.state.CancelJob(x.now, "j")
	x.state.Decide(x.now)
	x.c.Assert(x.state.Stops(), qt.HasLen, 0)
	x.listWorker("w", false)
	x.state.Decide(x.now)
	x.c.Assert(x.state.Stops(), qt.HasLen, 1)
}

// runningAt returns the progress of a job with one task that runs at a worker.
func runningAt(id spoolsill.WorkerID) sched.Progress {
	return sched.Progress{
		State: sched.Running,
		Stages: []sched.StageProgress{
			{
				Tasks: []sched.TaskProgress{
					{
						Run:    1,
						Worker: id,
					},
				},
			},
		},
	}
}

// A worker that lists an end again has not received its acknowledgement.
func TestRepeatedEndIsAcknowledgedAgain(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "q", tasks(1, 1)), sched.Progress{})
	o := x.step()
	x.acceptStarts(o)
	x.endRun(o[0], sched.EndDone)
	b, _, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Acks, qt.HasLen, 1)
	x.ends["w"] = 0
	x.endRun(o[0], sched.EndDone)
	b, _, err = x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(b.Acks, qt.DeepEquals, []sched.Ack{
		{
			WorkerIncarnation: incarnationOf("w"),
			Sequence:          1,
		},
	})
}

// A flakyWorker loses orders and answers according to a list of faults.
type flakyWorker struct {
	runs   map[sched.RunID]bool
	faults []int
}

// The faults of an order.
const (
	faultNone = iota
	faultOrderLost
	faultAnswerLost
	faultKinds
)

func (w *flakyWorker) nextFault() int {
	if len(w.faults) == 0 {
		return faultNone
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

func (w *flakyWorker) stop(x *cell, o sched.StopOrder) {
	f := w.nextFault()
	if f != faultOrderLost {
		delete(w.runs, o.Run)
	}
	x.answerStop(o, f == faultNone)
}

func (w *flakyWorker) heartbeat(x *cell) {
	if w.nextFault() != faultNone {
		return
	}
	var rs []sched.RunID
	for r := range w.runs {
		rs = append(rs, r)
	}
	x.renewLease("w", rs...)
}

// Checks that cancelled runs end within a bound once their worker answers again,
// whichever orders and answers were lost before and whichever host led.
func TestCancelledRunsEndOnceTheirWorkerAnswers(t *testing.T) {
	const bound = 3 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		x := newCell(t)
		x.addWorker("w")
		n := rapid.IntRange(1, 4).Draw(rt, "tasks")
		x.state.AddJob(x.now, job("j", "q", tasks(n, 1)), sched.Progress{})
		o := x.step()
		x.acceptStarts(o)
		w := &flakyWorker{
			runs:   map[sched.RunID]bool{},
			faults: rapid.SliceOfN(rapid.IntRange(0, faultKinds-1), 0, 20).Draw(rt, "faults"),
		}
		for _, s := range o {
			w.runs[s.Run] = true
		}
		if rapid.Bool().Draw(rt, "next leader") {
			x.state = x.newState()
			x.state.AddJob(x.now, job("j", "q", tasks(n, 1)), progressOf(o))
			x.state.CancelJob(x.now, "j")
			x.listWorker("w", false)
		} else {
			x.state.CancelJob(x.now, "j")
		}
		for len(w.faults) > 0 {
			x.tick(w)
		}
		for end := x.now.Add(bound); x.now.Before(end); {
			x.tick(w)
		}
		if len(w.runs) > 0 {
			rt.Fatalf("%d runs of a cancelled job are left", len(w.runs))
		}
	})
}

// tick advances the time by a tenth of a second with one worker.
func (x *cell) tick(w *flakyWorker) {
	x.now = x.now.Add(100 * time.Millisecond)
	x.state.Decide(x.now)
	for _, o := range x.state.Stops() {
		w.stop(x, o)
	}
	w.heartbeat(x)
}

// progressOf returns the progress of a job whose starts were sent.
func progressOf(orders []sched.StartOrder) sched.Progress {
	p := sched.Progress{
		State: sched.Running,
		Stages: []sched.StageProgress{
			{
				Tasks: make([]sched.TaskProgress, len(orders)),
			},
		},
	}
	for _, o := range orders {
		p.Stages[0].Tasks[o.Run.Task.Index] = sched.TaskProgress{
			Run:    o.Run.Number,
			Worker: o.Worker,
		}
	}
	return p
}
