package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/forecast"
	"github.com/spoolsill/spoolsill/sched"
)

// addNow adds a job that is received now. It is not one of those that are ranked regardless of
// their size.
func (x *cell) addNow(j sched.Job) {
	j.Received = x.now.Truncate(4 * time.Millisecond).Add(time.Millisecond)
	x.state.AddJob(x.now, j, sched.Progress{})
}

// after returns a step that depends on the first one.
func after(p sched.Step) sched.Step {
	p.After = []int{0}
	return p
}

// wideJob returns a job that takes a worker n seconds.
func wideJob(id spoolsill.JobID, n int) sched.Job {
	p := tasks(1, 10)
	p.Estimate = time.Duration(n) * time.Second
	return job(id, "q", p)
}

// An overloaded is a cell of one worker with a job that is half done and smaller ones, due earlier,
// that have not begun and can't all be in time.
type overloaded struct {
	*cell
	jobs []sched.Job
	// progress is what a leader has stored.
	progress map[spoolsill.JobID]sched.Progress
}

func newOverloaded(t *testing.T) *overloaded {
	x := &overloaded{
		cell:     newCell(t),
		progress: map[spoolsill.JobID]sched.Progress{},
	}
	x.addWorker("w")
	first := tasks(1, 10)
	first.Estimate = 3 * time.Second
	x.submit(job("begun", "q", first, after(first)))
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.acceptStarts(o)
	x.run(o[0], 3*time.Second)
	for i := range 10 {
		x.submit(wideJob(spoolsill.JobID(fmt.Sprint("small", i)), 2))
	}
	return x
}

func (x *overloaded) submit(j sched.Job) {
	j.Received = x.now.Truncate(4 * time.Millisecond).Add(time.Millisecond)
	x.jobs = append(x.jobs, j)
	x.state.AddJob(x.now, j, sched.Progress{})
}

// run has the worker run a task for d and report its end.
func (x *cell) run(o sched.StartOrder, d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(500 * time.Millisecond)
		x.renewLease(o.Worker, o.Run)
	}
	x.endRun(o, sched.EndDone)
}

// next makes a pass and returns the job of the first start order that results.
func (x *overloaded) next() spoolsill.JobID {
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	return o[0].Run.Task.Stage.Job
}

func TestJobThatHasBegunGoesFirstUnderOverload(t *testing.T) {
	x := newOverloaded(t)
	x.c.Check(x.next(), qt.Equals, spoolsill.JobID("begun"))
	x.c.Check(x.state.Load().Groups, qt.Equals, 1)
}

// A new leader knows from the rows what has begun, and ranks the jobs as the former one did. It
// does not call the cell overloaded before a worker has answered.
func TestNewLeaderKeepsTheOrder(t *testing.T) {
	x := newOverloaded(t)
	b, ok, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	x.c.Assert(ok, qt.IsTrue)
	for _, r := range b.Rows {
		x.progress[r.ID], err = sched.DecodeProgress(r.Value)
		x.c.Assert(err, qt.IsNil)
	}
	x.c.Assert(x.progress, qt.HasLen, 1)
	x.state = x.newState()
	for _, j := range x.jobs {
		x.state.AddJob(x.now, j, x.progress[j.ID])
	}
	x.c.Check(x.step(), qt.HasLen, 0)
	l := x.state.Load()
	x.c.Check(l.Groups, qt.Equals, 0)
	x.c.Check(l.Backlog, qt.Equals, time.Duration(0))
	x.addWorker("w")
	x.now = x.now.Add(200 * time.Millisecond)
	x.c.Check(x.next(), qt.Equals, spoolsill.JobID("begun"))
	x.c.Check(x.state.Load().Groups, qt.Equals, 1)
}

// A configuration with a later objective ends an overload, and the order is by slack again.
func TestOrderFollowsTheObjective(t *testing.T) {
	x := newOverloaded(t)
	x.state.SetQueues([]sched.Queue{
		{
			ID:          "q",
			Service:     "work",
			Priority:    1,
			MaxAttempts: 2,
			Stretch:     4,
			Goal:        time.Minute,
		},
	})
	x.c.Check(x.next(), qt.Equals, spoolsill.JobID("small0"))
	x.c.Check(x.state.Load().Groups, qt.Equals, 0)
}

// Workers of a hall that is cut off leave the supply, so that what they would have done counts as
// overload; once they answer, it no longer does.
func TestSupplyIsOfReachableWorkers(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.addWorker("b")
	for i := range 6 {
		x.addNow(wideJob(spoolsill.JobID(fmt.Sprint("j", i)), 2))
	}
	strain := func() float64 {
		x.now = x.now.Add(200 * time.Millisecond)
		x.renewLease("a")
		x.state.Decide(x.now)
		return x.state.Load().Strain
	}
	x.c.Check(strain() < 0.8, qt.IsTrue)
	x.c.Check(x.state.Outlook(x.now).Supply().Processors, qt.Equals, cores(20).Processors)
	x.state.WorkerUnresponsive(x.now, incarnationOf("b"))
	x.c.Check(strain() > 1, qt.IsTrue)
	x.c.Check(x.state.Outlook(x.now).Supply().Processors, qt.Equals, cores(10).Processors)
	x.renewLease("b")
	x.c.Check(strain() < 1, qt.IsTrue)
}

// Lasting tasks keep the processors that they have or wait for, unless they wait for their
// team's quota.
func TestLastingTasksReduceTheSupply(t *testing.T) {
	x := newCell(t)
	x.addWorker("a")
	x.addWorker("b")
	x.state.SetTeams(x.now, []sched.Team{
		{
			ID:   "limited",
			Most: cores(3),
		},
	})
	lasting := tasks(2, 3)
	lasting.Lasting = true
	x.addNow(job("watch", "q", lasting))
	limited := job("limited", "q", lasting)
	limited.Team = "limited"
	x.addNow(limited)
	x.step()
	x.now = x.now.Add(200 * time.Millisecond)
	x.state.Decide(x.now)
	o := x.state.Outlook(x.now)
	x.c.Check(o.Supply().Processors, qt.Equals, cores(20-2*3-3).Processors)
	x.c.Check(o.Backlog(), qt.Equals, time.Duration(0))
}

// What is expected of a job before it is accepted is what is expected of it once it is.
func TestDescribeIsWhatIsAccepted(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := newCell(t)
		x.addWorker("w")
		x.state.Decide(x.now)
		j := job("j", sched.QueueID(rapid.SampledFrom([]string{"q", "advised"}).Draw(rt, "queue")))
		j.Received = x.now
		for i := range rapid.IntRange(1, 4).Draw(rt, "steps") {
			p := tasks(rapid.IntRange(1, 5).Draw(rt, "tasks"), rapid.IntRange(1, 5).Draw(rt, "cores"))
			p.Estimate = time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond
			if i > 0 && rapid.Bool().Draw(rt, "depends") {
				p.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, p)
		}
		f := x.state.Describe(j)
		x.state.AddJob(x.now, j, sched.Progress{})
		x.now = x.now.Add(200 * time.Millisecond)
		f.Due -= 200 * time.Millisecond
		o := x.state.Outlook(x.now)
		if d := o.Backlog() - o.Supply().Time(f.Left); d.Abs() > time.Microsecond {
			rt.Fatalf("the accepted work differs from what was expected by %s", d)
		}
		if s, want := o.Groups()[f.Group()].Strain, float64(o.Backlog())/float64(f.Due); s < 0.999*want || s > 1.001*want {
			rt.Fatalf("strain %f, expected %f", s, want)
		}
	})
}

// A step that does not end by itself and a job without steps cost nothing.
func TestDescribeOfWorkThatDoesNotEnd(t *testing.T) {
	x := newCell(t)
	lasting := tasks(2, 3)
	lasting.Lasting = true
	x.c.Check(x.state.Describe(job("j", "q", lasting)).Left, qt.Equals, forecast.Cost{})
	x.c.Check(x.state.Describe(job("j", "q")), qt.Equals, forecast.Job{})
}

// Rounds that are not due are no load.
func TestRoundsCountOnceTheyAreDue(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	j := wideJob("j", 2)
	j.Rounds = 3
	j.FirstRound = x.now.Add(time.Second)
	j.Interval = time.Second
	x.addNow(j)
	backlog := func(d time.Duration) time.Duration {
		x.now = x.now.Add(d)
		x.renewLease("w")
		x.state.Decide(x.now)
		return x.state.Load().Backlog
	}
	x.c.Check(backlog(500*time.Millisecond), qt.Equals, time.Duration(0))
	x.c.Check(backlog(600*time.Millisecond), qt.Equals, 2*time.Second)
	x.c.Check(backlog(time.Second), qt.Equals, 4*time.Second)
}

// The end that is expected when a job is accepted counts the work that goes first.
func TestForecastIsComparedWithTheEnd(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.step()
	x.addNow(wideJob("first", 2))
	o := x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.acceptStarts(o)
	x.now = x.now.Add(200 * time.Millisecond)
	x.renewLease("w", o[0].Run)
	x.step()
	x.addNow(wideJob("second", 1))
	x.run(o[0], 3*time.Second)
	x.c.Check(x.state.Overload().ForecastError > 0, qt.IsTrue)
	o = x.step()
	x.c.Assert(o, qt.HasLen, 1)
	x.acceptStarts(o)
	x.run(o[0], time.Second)
	forecasts := map[spoolsill.JobID]time.Duration{}
	for _, n := range x.state.Notes() {
		if n.Kind == sched.NoteJobEnded {
			forecasts[n.Job] = n.Account.Forecast
		}
	}
	x.c.Check(forecasts["first"], qt.Equals, 2*time.Second)
	x.c.Check(forecasts["second"] > 2500*time.Millisecond && forecasts["second"] < 3*time.Second, qt.IsTrue, qt.Commentf("%s", forecasts["second"]))
}

// Guards against one job that no worker can hold making all others seem late: nothing waits for it.
func TestJobThatFitsNowhereIsNotForecast(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		x := newCell(t)
		x.addWorker("a")
		huge := tasks(1000, 1<<17)
		huge.Estimate = 30 * 24 * time.Hour
		huge.Lasting = lasting
		x.addNow(job("huge", "q", huge))
		x.addNow(job("plain", "q", tasks(1, 5)))
		x.step()
		x.now = x.now.Add(200 * time.Millisecond)
		x.state.Decide(x.now)
		o := x.state.Outlook(x.now)
		x.c.Check(o.Supply().Processors, qt.Equals, cores(10).Processors)
		x.c.Check(o.Backlog() < time.Second, qt.IsTrue, qt.Commentf("%s", o.Backlog()))
		x.c.Check(o.Overloaded(), qt.IsFalse)
		waiting, _ := x.state.Backlog()
		x.c.Check(waiting.IsZero(), qt.IsTrue, qt.Commentf("%v", waiting))
	}
}

// Guards against an estimate that is far too low making the expected times of other jobs of the
// queue overflow.
func TestExpectedTimesAreBoundedAfterTinyEstimate(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	tiny := tasks(1, 1)
	tiny.Estimate = time.Nanosecond
	x.addNow(job("tiny", "q", tiny))
	started := x.step()
	x.c.Assert(started, qt.HasLen, 1)
	x.acceptStarts(started)
	x.run(started[0], 5*time.Second)
	long := tasks(1000, 10)
	long.Estimate = 30 * 24 * time.Hour
	d := x.state.Describe(job("long", "q", long, after(long), after(long)))
	x.c.Check(d.Chain > 0 && d.Left.Processor > 0 && d.Due > 0, qt.IsTrue, qt.Commentf("%+v", d))
}
