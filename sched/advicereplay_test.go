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
			if r.IntN(2) == 0 {
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
	// at has what happens at times since the start.
	at map[time.Duration]func()

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
	// drained is when the last job began or zero.
	drained time.Duration
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

func (r replayResult) advicePerStart() time.Duration {
	return r.advice / time.Duration(max(r.starts, 1))
}

func newAdviceReplay(t *testing.T, l adviceLoad) *adviceReplay {
	x := &adviceReplay{
		cell:    newCell(t),
		load:    l,
		busy:    make([]time.Time, l.hosts),
		running: map[spoolsill.WorkerID]map[sched.RunID]runningTask{},
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
		x.entryVersion++
		x.state.WorkerListed(x.now, sched.Worker{
			ID:       id,
			Service:  "work",
			Address:  string(id),
			Capacity: demand(workerSize(i)),
			Version:  x.entryVersion,
		})
		x.renewLease(id)
		x.running[id] = map[sched.RunID]runningTask{}
		x.ids = append(x.ids, id)
	}
	return x
}

var purp, purpN [3]int

// run plays the load and then waits until all has ended, at most until the limit.
func (x *adviceReplay) run(limit time.Duration) replayResult {
	x.begun = x.now
	arrivals := x.load.arrivals()
	for step := 0; x.now.Sub(x.begun) < limit; step++ {
		since := x.now.Sub(x.begun)
		for len(arrivals) > 0 && arrivals[0].at <= since {
			j := arrivals[0].job
			j.Received = x.now
			x.state.AddJob(x.now, j, sched.Progress{})
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
		x.startTasks(x.step())
		for _, o := range x.state.AdviceOrders() {
			x.result.queries++
			if o.Queue == "wide" {
				purp[o.Purpose]++
				purpN[o.Purpose] += len(o.Workers)
			}
			x.queue = append(x.queue, o)
		}
		x.askHosts()
		x.answer()
		x.observe(since, len(arrivals) > 0)
		if step%100 == 0 && testing.Verbose() {
			l := x.state.Load()
			fmt.Println(since, l.Used.Processors, l.Capacity.Processors, "stages", l.Stages, "late", l.Late, "adv", l.WaitAdvice, "unasked", l.Unasked, "room", l.WaitRoom, "asking", l.Asking)
		}
	}
	fmt.Println("advicereplay purposes", purp, purpN)
	purp, purpN = [3]int{}, [3]int{}
	return x.result
}

func (x *adviceReplay) startTasks(orders []sched.StartOrder) {
	for _, o := range orders {
		if !allowed(o.Run.Task.Stage, o.Worker) {
			x.c.Fatalf("%v started on %s, where it may not", o.Run, o.Worker)
		}
		x.result.starts++
		x.answerStart(o, sched.StartAccepted)
		mean, need := x.load.runTime, spoolsill.Millicores(wideTask)
		if q, _ := x.state.Job(o.Run.Task.Stage.Job); q.Queue == "small" {
			mean, need = 640*time.Millisecond, smallTask
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
func (x *adviceReplay) observe(since time.Duration, more bool) {
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
	if waiting.Processors > 0 || more {
		x.result.drained = 0
	} else if x.result.drained == 0 {
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

// Wide work arrives in bursts of 2.8 times its rate.
func TestWideBurstsWhileTheAdvisorIsShort(t *testing.T) {
	for seed := range uint64(4) {
		x := newAdviceReplay(t, adviceLoad{
			seed:        seed + 1,
			duration:    20 * time.Second,
			burst:       8 * time.Second,
			burstFactor: 2.8,
			wideRate:    3.2,
			smallRate:   9.5,
			hosts:       10,
			runTime:     4800 * time.Millisecond,
		})
		t.Log(x.run(45 * time.Second))
	}
}

// A backlog as it is when a burst ends.
func TestBacklogAfterABurst(t *testing.T) {
	for seed := range uint64(4) {
		x := newAdviceReplay(t, adviceLoad{
			seed:      seed + 1,
			duration:  10 * time.Second,
			backlog:   30,
			smallRate: 9.5,
			hosts:     10,
			runTime:   2400 * time.Millisecond,
		})
		t.Log(x.run(45 * time.Second))
	}
}

var _ = qt.IsTrue
