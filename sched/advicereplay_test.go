package sched_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// An adviceLoad is jobs that arrive at a cell whose advisor takes long for wide work.
type adviceLoad struct {
	seed uint64
	// duration is how long jobs arrive; burst is the part of it, from its start, in which wide
	// jobs arrive burstFactor times as often.
	duration, burst time.Duration
	burstFactor     float64
	// wideRate and smallRate are in jobs a second, outside of the burst.
	wideRate, smallRate float64
	// backlog is the number of wide jobs that wait at the start.
	backlog int
	hosts   int
	// runTime is the mean run time of the tasks of wide work.
	runTime time.Duration
}

// An arrival is a job that is submitted at a time since the start of a replay.
type arrival struct {
	at  time.Duration
	job sched.Job
}

// arrivals returns the jobs of the load in the order of submission.
func (l adviceLoad) arrivals() []arrival {
	r := rand.New(rand.NewPCG(l.seed, 0))
	var as []arrival
	add := func(at time.Duration, q sched.QueueID) {
		a := arrival{
			at: at,
		}
		id := spoolsill.JobID(fmt.Sprintf("%s%d", q, len(as)))
		if q == "wide" {
			a.job = job(id, q, l.wideStep(r))
			if at > 0 && r.IntN(2) == 0 {
				second := l.wideStep(r)
				second.After = []int{0}
				a.job.Steps = append(a.job.Steps, second)
			}
		} else {
			a.job = job(id, q, sched.Step{
				Tasks:    1 + r.IntN(18),
				Need:     demand(smallTask),
				Estimate: 640 * time.Millisecond,
			})
		}
		as = append(as, a)
	}
	for range l.backlog {
		add(0, "wide")
	}
	for at := time.Duration(0); at < l.duration; {
		rate := l.wideRate
		if at < l.burst {
			rate *= l.burstFactor
		}
		if rate <= 0 {
			break
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		add(at, "wide")
	}
	for at := time.Duration(0); at < l.duration && l.smallRate > 0; {
		at += time.Duration(r.ExpFloat64() / l.smallRate * float64(time.Second))
		add(at, "small")
	}
	slices.SortStableFunc(as, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return as
}

func (l adviceLoad) wideStep(r *rand.Rand) sched.Step {
	return sched.Step{
		Tasks:    max(int(17*(0.5+r.Float64())), 1),
		Need:     demand(wideTask),
		Estimate: time.Duration(float64(l.runTime) * (0.5 + r.Float64())),
	}
}

// demand returns the demand of a task with two gibibytes for each core.
func demand(p spoolsill.Millicores) spoolsill.Resources {
	return spoolsill.Resources{
		Processors: p,
		Memory:     2 * spoolsill.Bytes(p) * spoolsill.GiB / spoolsill.Bytes(spoolsill.Core),
	}
}

const (
	// allowedPercent is the share of the workers that the advisor allows for a stage of
	// wide work.
	allowedPercent = 35
	// smallAllowedPercent is the same for small work.
	smallAllowedPercent = 70
	// ticketValid is how long tickets are valid.
	ticketValid   = 2500 * time.Millisecond
	replayWorkers = 100
	// wideTask and smallTask are the processors of one task.
	wideTask  = 4500
	smallTask = 2200
)

func advicequeues() []sched.Queue {
	return []sched.Queue{
		{
			ID: "wide", Service: "work", Priority: 2, MaxAttempts: 4, Stretch: 2.2, Goal: 1200 * time.Millisecond,
			Advisor: &sched.Advisor{
				Base:      494 * time.Millisecond,
				PerWorker: 7150 * time.Microsecond,
			},
		},
		{
			ID: "small", Service: "work", MaxAttempts: 2, Stretch: 1.5, Goal: 250 * time.Millisecond,
			Advisor: &sched.Advisor{
				Base:      26 * time.Millisecond,
				PerWorker: 364 * time.Microsecond,
			},
		},
	}
}

// An adviceReplay plays an adviceLoad on virtual time.
type adviceReplay struct {
	*cell
	load    adviceLoad
	begun   time.Time
	queue   []sched.AdviceOrder
	busy    []time.Time // until when the hosts are
	answers []pendingAdvice
	running map[spoolsill.WorkerID]map[sched.RunID]runningTask
	ids     []spoolsill.WorkerID
	// lose makes the answers of a moment be lost.
	lose func(at time.Duration) bool
	// unadvised is set once a configuration without advisor was in force.
	unadvised bool
	// at has what happens at times since the start.
	at map[time.Duration]func()

	// rows are the latest rows of the jobs, jobs the jobs themselves.
	rows map[spoolsill.JobID][]byte
	jobs []sched.Job

	result replayResult
}

type pendingAdvice struct {
	at    time.Time
	order sched.AdviceOrder
}

type runningTask struct {
	order sched.StartOrder
	need  spoolsill.Millicores
	begun time.Time
	ends  time.Time
}

// A replayResult is what callers and operators see of a replay.
type replayResult struct {
	ended, inTime map[sched.QueueID]int
	submitted     map[sched.QueueID]int
	queries       int
	advice        time.Duration // of the advisor, for all queries
	starts        int
	// idle sums up the share of the processors that are free although stages wait that would
	// fit there, over the steps from two seconds on in which any do.
	idle      float64
	idleSteps int
	// wideLeft is the number of tasks of wide work that have not started, drained the time from
	// which on there were none.
	wideLeft int
	drained  time.Duration
}

func (r replayResult) String() string {
	s := ""
	for _, q := range []sched.QueueID{"wide", "small"} {
		s += fmt.Sprintf("%s: %d submitted, %d ended, %d in time; ", q, r.submitted[q], r.ended[q], r.inTime[q])
	}
	return s + fmt.Sprintf("%d queries, %v of advice, %d starts, %.3f idle in %d steps, drained at %v", r.queries, r.advice, r.starts, r.idleShare(), r.idleSteps, r.drained)
}

func (r replayResult) idleShare() float64 {
	return r.idle / float64(max(r.idleSteps, 1))
}

func newAdviceReplay(t *testing.T, l adviceLoad) *adviceReplay {
	x := &adviceReplay{
		cell:    newCell(t),
		load:    l,
		busy:    make([]time.Time, l.hosts),
		running: map[spoolsill.WorkerID]map[sched.RunID]runningTask{},
		rows:    map[spoolsill.JobID][]byte{},
		at:      map[time.Duration]func(){},
		result: replayResult{
			ended:     map[sched.QueueID]int{},
			inTime:    map[sched.QueueID]int{},
			submitted: map[sched.QueueID]int{},
		},
	}
	x.state.SetQueues(advicequeues())
	x.state.SetMaxQueries(l.hosts)
	for i := range replayWorkers {
		id := spoolsill.WorkerID(fmt.Sprintf("w%d", i))
		x.running[id] = map[sched.RunID]runningTask{}
		x.ids = append(x.ids, id)
	}
	x.listWorkers()
	x.heartbeats()
	return x
}

// run plays the load and then waits until all has ended, at most until the limit.
func (x *adviceReplay) run(limit time.Duration) replayResult {
	x.begun = x.now
	arrivals := x.load.arrivals()
	for _, a := range arrivals {
		for _, p := range a.job.Steps {
			if a.job.Queue == "wide" {
				x.result.wideLeft += p.Tasks
			}
		}
	}
	for step := 0; x.now.Sub(x.begun) < limit; step++ {
		since := x.now.Sub(x.begun)
		for len(arrivals) > 0 && arrivals[0].at <= since {
			j := arrivals[0].job
			j.Received = x.now
			x.state.AddJob(x.now, j, sched.Progress{})
			x.jobs = append(x.jobs, j)
			x.result.submitted[j.Queue]++
			arrivals = arrivals[1:]
		}
		if f := x.at[since]; f != nil {
			f()
		}
		x.endTasks()
		if step%50 == 0 {
			x.heartbeats()
		}
		x.startTasks(x.decide())
		for _, o := range x.state.AdviceOrders() {
			x.result.queries++
			x.queue = append(x.queue, o)
		}
		x.askHosts()
		x.answer()
		x.observe(since)
	}
	return x.result
}

// decide makes one pass and writes the batch.
func (x *adviceReplay) decide() []sched.StartOrder {
	x.now = x.now.Add(10 * time.Millisecond)
	x.state.Decide(x.now)
	b, ok, err := x.state.Batch(x.now)
	x.c.Assert(err, qt.IsNil)
	if !ok {
		return nil
	}
	for _, r := range b.Rows {
		x.rows[r.ID] = r.Value
	}
	return x.state.BatchWritten(x.now, b)
}

// takeOver has another leader take over, which knows what was written.
func (x *adviceReplay) takeOver() {
	x.queue = nil
	x.answers = nil // they are addressed to the former leader
	x.state = x.newState()
	x.state.SetQueues(advicequeues())
	x.state.SetMaxQueries(x.load.hosts)
	for _, j := range x.jobs {
		p := sched.Progress{}
		if v, ok := x.rows[j.ID]; ok {
			var err error
			p, err = sched.DecodeProgress(v)
			x.c.Assert(err, qt.IsNil)
		}
		x.state.AddJob(x.now, j, p)
	}
	x.listWorkers()
	x.heartbeats()
}

func (x *adviceReplay) listWorkers() {
	for i, id := range x.ids {
		x.entryVersion++
		x.state.WorkerListed(x.now, sched.Worker{
			ID:       id,
			Service:  "work",
			Address:  string(id),
			Capacity: demand(workerSize(i)),
			Version:  x.entryVersion,
		})
	}
}

func (x *adviceReplay) startTasks(orders []sched.StartOrder) {
	for _, o := range orders {
		if !x.unadvised && !allowed(o.Run.Task.Stage, o.Worker) {
			x.c.Fatalf("%v started on %s, where it may not", o.Run, o.Worker)
		}
		x.result.starts++
		x.answerStart(o, sched.StartAccepted)
		mean, need := x.load.runTime, spoolsill.Millicores(wideTask)
		if q, _ := x.state.Job(o.Run.Task.Stage.Job); q.Queue == "small" {
			mean, need = 640*time.Millisecond, smallTask
		} else {
			x.result.wideLeft--
		}
		d := time.Duration(float64(mean) * (0.85 + 0.3*fraction(o.Run.Task.String())))
		x.running[o.Worker][o.Run] = runningTask{
			order: o,
			need:  need,
			begun: x.now,
			ends:  x.now.Add(d),
		}
	}
}

func (x *adviceReplay) endTasks() {
	for _, id := range x.ids {
		var ended []sched.StartOrder
		for r, t := range x.running[id] {
			if !t.ends.After(x.now) {
				ended = append(ended, t.order)
				delete(x.running[id], r)
			}
		}
		slices.SortFunc(ended, func(a, b sched.StartOrder) int { return cmp.Compare(a.Run.Task.String(), b.Run.Task.String()) })
		for _, o := range ended {
			x.endRun(o, sched.EndDone)
		}
	}
}

func (x *adviceReplay) heartbeats() {
	for _, id := range x.ids {
		x.state.LeaseRequested(incarnationOf(id), sched.LeaseEnd(x.now, lease))
		h := sched.Heartbeat{
			WorkerIncarnation: incarnationOf(id),
			Sent:              x.now,
			Clock:             sched.ClockMillis(x.now.UnixMilli()),
		}
		for r, t := range x.running[id] {
			h.Running = append(h.Running, sched.RunningTask{
				Run:     r,
				Percent: int(100 * x.now.Sub(t.begun) / t.ends.Sub(t.begun)),
			})
		}
		slices.SortFunc(h.Running, func(a, b sched.RunningTask) int { return cmp.Compare(a.Run.Task.String(), b.Run.Task.String()) })
		x.state.Heartbeat(x.now, h)
	}
}

// askHosts hands queries to idle hosts in the leader's order. Those about wide work leave two
// hosts free.
func (x *adviceReplay) askHosts() {
	slices.SortStableFunc(x.queue, func(a, b sched.AdviceOrder) int {
		return cmp.Or(cmp.Compare(notUrgent(a), notUrgent(b)), cmp.Compare(b.Purpose, a.Purpose), cmp.Compare(a.Priority, b.Priority))
	})
	x.queue = slices.DeleteFunc(x.queue, func(o sched.AdviceOrder) bool {
		hosts := x.busy
		if o.Cost > 150*time.Millisecond {
			hosts = hosts[min(2, len(hosts)/2):]
		}
		for i := range hosts {
			if !hosts[i].After(x.now) {
				hosts[i] = x.now.Add(o.Cost)
				x.result.advice += o.Cost
				x.answers = append(x.answers, pendingAdvice{
					at:    hosts[i],
					order: o,
				})
				return true
			}
		}
		return false
	})
}

func notUrgent(o sched.AdviceOrder) int {
	if o.Urgent {
		return 0
	}
	return 1
}

func (x *adviceReplay) answer() {
	x.answers = slices.DeleteFunc(x.answers, func(p pendingAdvice) bool {
		if p.at.After(x.now) {
			return false
		}
		a := sched.Advice{
			Order:    p.order,
			Received: x.now,
			Valid:    ticketValid,
			Lost:     x.lose != nil && x.lose(x.now.Sub(x.begun)),
		}
		for _, w := range p.order.Workers {
			if !a.Lost && allowed(p.order.Stage, w.Worker) {
				a.Tickets = append(a.Tickets, sched.Ticket{
					Worker: w.Worker,
					Text:   "ticket-" + string(w.Worker),
				})
			}
		}
		x.state.AdviceReceived(x.now, a)
		return true
	})
}

// observe records what callers and operators see in one step.
func (x *adviceReplay) observe(since time.Duration) {
	for _, n := range x.state.Notes() {
		if n.Kind != sched.NoteJobEnded {
			continue
		}
		s, _ := x.state.Job(n.Job)
		x.result.ended[s.Queue]++
		if n.Age <= n.Account.Objective {
			x.result.inTime[s.Queue]++
		}
	}
	waiting, _ := x.state.Backlog()
	if x.result.wideLeft == 0 && x.result.drained == 0 {
		x.result.drained = since
	}
	if waiting.Processors == 0 || since < 2*time.Second {
		return
	}
	x.result.idleSteps++
	x.result.idle += float64(min(waiting.Processors, x.idle())) / float64(x.state.Load().Capacity.Processors)
}

// idle returns the processors on which another task of wide work would fit.
func (x *adviceReplay) idle() spoolsill.Millicores {
	var n spoolsill.Millicores
	for i, id := range x.ids {
		free := workerSize(i)
		for _, r := range x.running[id] {
			free -= r.need
		}
		n += max(free/wideTask, 0) * wideTask
	}
	return n
}

// workerSize returns the processors of a worker.
func workerSize(i int) spoolsill.Millicores {
	return []spoolsill.Millicores{16, 16, 8, 32}[i%4] * spoolsill.Core
}

// allowed reports whether the advisor allows a stage at a worker.
func allowed(g sched.StageID, w spoolsill.WorkerID) bool {
	share := float64(allowedPercent)
	if g.Job[0] == 's' {
		share = smallAllowedPercent
	}
	return 100*fraction(g.String()+"/"+string(w)) < share
}

// fraction returns a number in [0, 1) that depends on s alone.
func fraction(s string) float64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// burstLoad is wide work at a rate that the cell can serve, and at 2.8 times that rate for eight
// seconds. The advisor is short from the burst on.
func burstLoad(seed uint64) adviceLoad {
	return adviceLoad{
		seed:        seed,
		duration:    20 * time.Second,
		burst:       8 * time.Second,
		burstFactor: 2.8,
		wideRate:    3.2,
		smallRate:   9.5,
		hosts:       10,
		runTime:     4800 * time.Millisecond,
	}
}

// maxIdle is the share of the processors that may be idle while stages wait that fit there.
const maxIdle = 0.05

// Guards against idle processors while most of the waiting stages have never been asked about. The
// advisor was asked about stages without room, about the same workers for all stages, and
// more than twice for most of them.
func TestWideBurstsWhileTheAdvisorIsShort(t *testing.T) {
	for seed := range uint64(4) {
		x := newAdviceReplay(t, burstLoad(seed))
		r := x.run(45 * time.Second)
		t.Log(r)
		x.c.Check(r.idleShare() < maxIdle, qt.IsTrue, qt.Commentf("seed %d: %v", seed, r))
		x.c.Check(100*r.inTime["small"] >= 95*r.submitted["small"], qt.IsTrue, qt.Commentf("seed %d: %v", seed, r))
	}
}

// maxDrain is the time within which a backlog is gone that the cell could work off in that time.
const maxDrain = 5 * time.Second

// A backlog as it is when a burst ends, at which new small work arrives.
func TestBacklogAfterABurst(t *testing.T) {
	for seed := range uint64(4) {
		x := newAdviceReplay(t, adviceLoad{
			seed:      seed,
			duration:  10 * time.Second,
			backlog:   40,
			smallRate: 9.5,
			hosts:     10,
			runTime:   1200 * time.Millisecond,
		})
		r := x.run(15 * time.Second)
		t.Log(r)
		x.c.Check(r.drained > 0 && r.drained <= maxDrain, qt.IsTrue, qt.Commentf("seed %d: %v", seed, r))
	}
}

// Guards against queries whose tickets expire before there is room: in a full cell, a stage is asked
// about once in two ticket times. No stage waits for longer, since accepted work has a bounded
// wait.
func TestFullCellIsAskedAboutSeldom(t *testing.T) {
	const wide = 40
	x := newAdviceReplay(t, adviceLoad{
		seed:    1,
		backlog: wide,
		hosts:   10,
		runTime: time.Minute,
	})
	x.state.SetQueues(append(advicequeues(), sched.Queue{
		ID:          "long",
		Service:     "work",
		MaxAttempts: 1,
		Stretch:     2,
	}))
	full := job("long", "long", sched.Step{
		Tasks:    500,
		Need:     demand(4 * spoolsill.Core),
		Estimate: time.Minute,
	})
	full.Received = x.now
	x.state.AddJob(x.now, full, sched.Progress{})
	x.unadvised = true
	asked := map[time.Duration]int{}
	for _, at := range []time.Duration{
		ticketValid / 2,
		2*ticketValid - 100*time.Millisecond,
		4 * ticketValid,
	} {
		x.at[at] = func() { asked[at] = x.result.queries }
	}
	x.run(4*ticketValid + time.Second)
	before, bounded := asked[ticketValid/2], asked[2*ticketValid-100*time.Millisecond]
	x.c.Check(bounded-before <= 5, qt.IsTrue, qt.Commentf("%v", asked))
	x.c.Check(asked[4*ticketValid] >= wide, qt.IsTrue, qt.Commentf("%v", asked))
}

// settle is the time within which all of a burst has ended, also if the advisor was away for a part
// of it.
const settle = 90 * time.Second

// checkSettled checks that all jobs have ended and that all of the advisor's time is back.
func (x *adviceReplay) checkSettled(r replayResult) {
	for q, n := range r.submitted {
		x.c.Check(r.ended[q], qt.Equals, n, qt.Commentf("%s: %v", q, r))
	}
	l := x.state.Load()
	x.c.Check(l.Asking, qt.Equals, 0)
	x.c.Check(l.AdviceShort, qt.IsFalse)
}

// The cost of queries whose answers are lost returns to the budget.
func TestLostAnswersReturnTheirCost(t *testing.T) {
	x := newAdviceReplay(t, burstLoad(1))
	x.lose = func(at time.Duration) bool { return at > 6*time.Second && at < 9*time.Second }
	r := x.run(settle)
	x.checkSettled(r)
	x.c.Check(x.state.AdviceUse().Lost > 0, qt.IsTrue)
}

// An answer that is delivered twice does not return its cost twice.
func TestRepeatedAnswerReturnsItsCostOnce(t *testing.T) {
	x := newCell(t)
	x.addWorker("w")
	x.state.AddJob(x.now, job("j", "advised", tasks(1, 1)), sched.Progress{})
	x.step()
	q := x.query()
	x.advise(q, "w")
	x.advise(q, "w")
	x.step()
	x.c.Assert(x.state.Load().Asking, qt.Equals, 0)
}

// A leader that takes over while queries are in flight begins with its own budget, and the answers to
// those of the former leader change nothing. The hosts still make them.
func TestTakeOverWhileQueriesAreInFlight(t *testing.T) {
	x := newAdviceReplay(t, burstLoad(1))
	x.at = map[time.Duration]func(){
		7 * time.Second: func() { x.takeOver() },
	}
	r := x.run(settle)
	x.checkSettled(r)
}

// Queries in flight are bounded by the hosts that are left while a hall is cut off.
func TestHallIsCutOffWhileTheAdvisorIsShort(t *testing.T) {
	const left = 4
	x := newAdviceReplay(t, burstLoad(1))
	most := 0
	x.at = map[time.Duration]func(){
		6 * time.Second: func() {
			x.state.SetMaxQueries(left)
			for i := left; i < len(x.busy); i++ {
				x.busy[i] = x.now.Add(6 * time.Second)
			}
		},
		9 * time.Second: func() {
			most = x.state.Load().Asking
		},
		12 * time.Second: func() {
			x.state.SetMaxQueries(x.load.hosts)
		},
	}
	r := x.run(settle)
	x.checkSettled(r)
	// One for each host, one that waits, and one that is late for good beside, for each queue.
	x.c.Check(most <= 2*(left+2), qt.IsTrue, qt.Commentf("%d queries at %d hosts", most, left))
}

// A configuration that changes what queries cost, or takes the advisor away, applies to the next
// queries. Those in flight return the cost with which they were made.
func TestConfigurationChangesTheCostOfAdvice(t *testing.T) {
	x := newAdviceReplay(t, burstLoad(1))
	x.at = map[time.Duration]func(){
		6 * time.Second: func() {
			q := advicequeues()
			q[0].Advisor.Base *= 2
			x.state.SetQueues(q)
		},
		10 * time.Second: func() {
			q := advicequeues()
			q[0].Advisor = nil
			x.unadvised = true
			x.state.SetQueues(q)
		},
		11 * time.Second: func() { x.state.SetQueues(advicequeues()) },
	}
	x.checkSettled(x.run(settle))
}
