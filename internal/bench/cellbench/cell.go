package cellbench

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/sched"
)

// Durations and intervals of the simulated cell.
const (
	storeWriteTime    = 10 * time.Millisecond
	callDelay         = 2 * time.Millisecond
	heartbeatInterval = time.Second
	minDecideInterval = 4 * time.Millisecond
	tickInterval      = 50 * time.Millisecond
	lease             = 10 * time.Second
	stopTime          = 400 * time.Millisecond
	// checkpointInterval is the time between checkpoints of a task. Starting from a
	// checkpoint takes restoreTime longer.
	checkpointInterval = 500 * time.Millisecond
	restoreTime        = 600 * time.Millisecond
	ticketValidity     = 2 * time.Second
)

// A cell simulates the workers, the store and the advisor around one [sched.State].
type cell struct {
	config  Config
	loop    event.Loop
	rand    *rand.Rand
	state   *sched.State
	workers []*worker
	byID    map[spoolsill.WorkerID]*worker
	jobs    map[spoolsill.JobID]*arrival
	report  *tally

	writing       bool
	lastDecide    time.Duration
	decidePending bool
	adviceOrders  []sched.AdviceOrder
	idleHosts     int // hosts without an outstanding query to the advisor
	gangs         map[sched.StageID]map[sched.RunID]*run
	starts        int
	stops         int
	violations    []string
}

type worker struct {
	sched.Worker
	runtimeFactor float64
	runs          map[sched.RunID]*run
	unackedEnds   []sched.End
	sequence      uint64
}

// A run is one run of a task on a worker. The run of a gang member waits until all members
// have been started.
type run struct {
	id        sched.RunID
	worker    *worker
	totalWork time.Duration // run time of the task on a worker with runtimeFactor 1
	priorWork time.Duration // part of totalWork done by earlier runs
	began     time.Duration // zero while waiting for the gang
	runtime   time.Duration
	started   bool
	willFail  bool
}

func newCell(c Config) *cell {
	x := &cell{
		config:    c,
		rand:      rand.New(rand.NewPCG(c.Seed, 1)),
		byID:      map[spoolsill.WorkerID]*worker{},
		jobs:      map[spoolsill.JobID]*arrival{},
		gangs:     map[sched.StageID]map[sched.RunID]*run{},
		report:    newTally(c),
		idleHosts: c.Hosts,
	}
	x.state = sched.New(sched.Config{
		Lease:      lease,
		StartLease: 3 * time.Second,
		TakenOver:  x.loop.Time(),
		StopTime:   stopTime,
		DrainTime:  2 * time.Second,
		FarFactor:  2,
		KeepEnded:  time.Minute,
	})
	var queues []sched.Queue
	for _, k := range c.Kinds {
		queues = append(queues, k.Queue)
	}
	x.state.SetQueues(queues)
	x.state.SetMaxQueries(c.Hosts)
	for _, p := range c.Pools {
		x.addWorkers(p)
	}
	return x
}

func (x *cell) addWorkers(p Pool) {
	for i := range p.Workers {
		w := &worker{
			Worker: sched.Worker{
				ID:       spoolsill.WorkerID(fmt.Sprintf("%s-%03d", p.Service, i)),
				Machine:  fmt.Sprintf("%s-%03d", p.Service, i),
				Service:  p.Service,
				Address:  "a",
				Capacity: p.Capacity,
			},
			runtimeFactor: 1,
			runs:          map[sched.RunID]*run{},
		}
		if len(p.Speeds) > 0 {
			w.runtimeFactor = p.Speeds[i%len(p.Speeds)]
		}
		x.workers = append(x.workers, w)
		x.byID[w.ID] = w
		x.state.WorkerListed(x.loop.Time(), w.Worker)
		x.loop.After(time.Duration(i)*time.Millisecond, func() { x.heartbeat(w) })
	}
}

// run simulates all arrivals and the time until their jobs have ended.
func (x *cell) run(as []arrival) {
	for i := range as {
		a := &as[i]
		x.loop.After(a.at, func() { x.arrive(a) })
	}
	x.loop.After(tickInterval, x.tick)
	x.loop.Run(x.config.Duration + settleTime)
}

// settleTime is the simulated time after the last arrival, for the last jobs to end.
const settleTime = time.Minute

func (x *cell) arrive(a *arrival) {
	now := x.loop.Time()
	a.job.Received = now
	x.jobs[a.job.ID] = a
	x.state.AddJob(now, a.job, sched.Progress{})
	x.scheduleDecide()
}

func (x *cell) tick() {
	x.scheduleDecide()
	x.loop.After(tickInterval, x.tick)
}

// scheduleDecide calls decide, immediately or once minDecideInterval has passed since the
// last call.
func (x *cell) scheduleDecide() {
	wait := x.lastDecide + minDecideInterval - x.loop.Now()
	if wait <= 0 {
		x.decide()
		return
	}
	if !x.decidePending {
		x.decidePending = true
		x.loop.After(wait, func() {
			x.decidePending = false
			x.decide()
		})
	}
}

// decide lets the state decide and carries out the decisions.
func (x *cell) decide() {
	now := x.loop.Time()
	x.lastDecide = x.loop.Now()
	x.state.Decide(now)
	if err := x.state.CheckCapacity(); err != nil {
		x.violations = append(x.violations, err.Error())
	}
	for _, o := range x.state.Stops() {
		x.loop.After(callDelay, func() { x.stop(o) })
	}
	for _, o := range x.state.DeferredStarts() {
		x.loop.After(callDelay, func() { x.start(o) })
	}
	x.adviceOrders = append(x.adviceOrders, x.state.AdviceOrders()...)
	x.askAdvisor()
	x.state.Notes()
	x.state.StatusUpdates()
	x.write()
}

// write writes the next batch to the store, unless a write is in progress.
func (x *cell) write() {
	if x.writing {
		return
	}
	b, ok, err := x.state.Batch(x.loop.Time())
	if err != nil {
		x.violations = append(x.violations, err.Error())
	}
	if !ok {
		return
	}
	x.writing = true
	x.loop.After(storeWriteTime, func() {
		x.writing = false
		x.batchWritten(b)
		x.scheduleDecide()
	})
}

// batchWritten handles a completed write of a batch to the store.
func (x *cell) batchWritten(b sched.Batch) {
	for _, s := range b.Statuses {
		if a := x.jobs[s.ID]; a != nil && s.State.Final() {
			x.report.recordEnd(a, s.State, x.loop.Now()-a.at)
			delete(x.jobs, s.ID)
		}
	}
	for _, o := range x.state.BatchWritten(x.loop.Time(), b) {
		x.loop.After(callDelay, func() { x.start(o) })
	}
	for _, a := range b.Acks {
		w := x.byID[a.Worker]
		w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(e sched.End) bool { return e.Sequence <= a.Sequence })
	}
}

// askAdvisor sends pending queries to the advisor from idle hosts, in the order of
// compareAdviceOrders.
func (x *cell) askAdvisor() {
	for x.idleHosts > 0 && len(x.adviceOrders) > 0 {
		i := 0
		for j, o := range x.adviceOrders {
			if compareAdviceOrders(o, x.adviceOrders[i]) < 0 {
				i = j
			}
		}
		o := x.adviceOrders[i]
		x.adviceOrders = slices.Delete(x.adviceOrders, i, i+1)
		x.idleHosts--
		x.loop.After(o.Cost+callDelay, func() {
			x.idleHosts++
			x.advise(o)
			x.scheduleDecide()
		})
	}
}

// compareAdviceOrders orders by urgency, then by purpose in descending order, then by
// priority.
func compareAdviceOrders(a, b sched.AdviceOrder) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Purpose, a.Purpose), cmp.Compare(a.Priority, b.Priority))
}

func (x *cell) advise(o sched.AdviceOrder) {
	a := sched.Advice{
		Order:    o,
		Received: x.loop.Time(),
		Valid:    ticketValidity,
	}
	for _, l := range o.Workers {
		if x.allowed(o.Stage, l.Worker) {
			a.Tickets = append(a.Tickets, sched.Ticket{
				Worker: l.Worker,
				Text:   "t",
			})
		}
	}
	x.state.AdviceReceived(x.loop.Time(), a)
}

// allowed reports whether the advisor allows a stage on a worker. It decides by a hash, so
// that the result is stable. Some stages are allowed on no worker.
func (x *cell) allowed(s sched.StageID, id spoolsill.WorkerID) bool {
	a := x.jobs[s.Job]
	if a == nil {
		return true
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d", s, id, x.config.Seed)
	return float64(h.Sum64()>>11)/(1<<53) < a.kind.Good
}

func (x *cell) start(order sched.StartOrder) {
	w := x.byID[order.Worker]
	a := x.jobs[order.Run.Task.Stage.Job]
	x.starts++
	x.state.StartAnswered(x.loop.Time(), sched.StartAnswer{
		WorkerIncarnation: order.WorkerIncarnation,
		Run:               order.Run,
	})
	if a == nil {
		return
	}
	r := &run{
		id:        order.Run,
		worker:    w,
		totalWork: a.work[order.Run.Task.Stage.Step][order.Run.Task.Index],
		willFail:  x.rand.Float64() < a.kind.FailureRate,
	}
	if order.Saved != "" {
		ms, _ := strconv.Atoi(order.Saved)
		r.priorWork = time.Duration(ms) * time.Millisecond
	}
	w.runs[r.id] = r
	if !a.job.Steps[order.Run.Task.Stage.Step].Gang {
		x.startRun(r, r.duration())
		return
	}
	x.joinGang(a, r)
}

// duration returns the run time on the run's worker, including the restore time if the run
// starts from a checkpoint.
func (r *run) duration() time.Duration {
	d := time.Duration(float64(r.totalWork-r.priorWork) * r.worker.runtimeFactor)
	if r.priorWork > 0 {
		d += restoreTime
	}
	return d
}

// joinGang adds a member to its gang and starts all members once the gang is complete. All
// members run as long as the slowest one.
func (x *cell) joinGang(a *arrival, r *run) {
	s := r.id.Task.Stage
	g := x.gangs[s]
	if g == nil {
		g = map[sched.RunID]*run{}
		x.gangs[s] = g
	}
	g[r.id] = r
	var longest time.Duration
	n := 0
	for id, m := range g {
		if id.Number == r.id.Number {
			n++
			longest = max(longest, m.duration())
		}
	}
	if n < a.job.Steps[s.Step].Tasks {
		return
	}
	for _, m := range x.gangMembers(r) {
		x.startRun(m, longest)
	}
}

// gangMembers returns the runs of r's gang sorted by task index.
func (x *cell) gangMembers(r *run) []*run {
	var out []*run
	for id, m := range x.gangs[r.id.Task.Stage] {
		if id.Number == r.id.Number {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.id.Task.Index, b.id.Task.Index) })
	return out
}

func (x *cell) startRun(r *run, runtime time.Duration) {
	r.started = true
	r.began = x.loop.Now()
	r.runtime = runtime
	k := sched.EndDone
	if r.willFail {
		k = sched.EndFailed
	}
	x.loop.After(runtime, func() { x.endRun(r, k, "") })
}

// endRun ends a run, which its worker then reports.
func (x *cell) endRun(r *run, k sched.EndKind, saved string) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	delete(x.gangs[r.id.Task.Stage], r.id)
	w.sequence++
	w.unackedEnds = append(w.unackedEnds, sched.End{
		Sequence: w.sequence,
		Run:      r.id,
		Kind:     k,
		Saved:    saved,
	})
	x.loop.After(callDelay, func() { x.sendHeartbeat(w) })
}

func (x *cell) stop(order sched.StopOrder) {
	w := x.byID[order.Worker]
	x.stops++
	x.state.StopAnswered(x.loop.Time(), sched.StopAnswer{
		Order: order,
		Taken: true,
	})
	if r := w.runs[order.Run]; r != nil {
		x.loop.After(stopTime/2, func() { x.endRun(r, sched.EndStopped, x.savedProgress(r)) })
	}
}

// savedProgress returns the checkpointed progress of a run in milliseconds, or an empty
// string if there is none.
func (x *cell) savedProgress(r *run) string {
	a := x.jobs[r.id.Task.Stage.Job]
	if a == nil || !a.job.Steps[r.id.Task.Stage.Step].Checkpoints {
		return ""
	}
	done := r.priorWork
	if r.started {
		done += time.Duration(float64(x.loop.Now()-r.began) / r.worker.runtimeFactor)
	}
	done = done.Truncate(checkpointInterval)
	if done == 0 {
		return ""
	}
	return strconv.FormatInt(min(done, r.totalWork).Milliseconds(), 10)
}

// heartbeat sends a heartbeat of the worker and repeats that every heartbeatInterval.
func (x *cell) heartbeat(w *worker) {
	x.sendHeartbeat(w)
	x.loop.After(heartbeatInterval, func() { x.heartbeat(w) })
}

// sendHeartbeat renews the worker's lease and reports its running and ended tasks.
func (x *cell) sendHeartbeat(w *worker) {
	now := x.loop.Time()
	x.state.LeaseRequested(w.Incarnation(), sched.LeaseEnd(now, lease))
	h := sched.Heartbeat{
		WorkerIncarnation: spoolsill.WorkerIncarnation{
			Worker: w.ID,
		},
		Sent:  now.Add(-callDelay),
		Clock: sched.ClockMillis(x.loop.Now().Milliseconds()) + 1,
		Ended: slices.Clone(w.unackedEnds),
	}
	for _, r := range w.runs {
		h.Running = append(h.Running, sched.RunningTask{
			Run:     r.id,
			Percent: r.progressPercent(x.loop.Now()),
		})
	}
	slices.SortFunc(h.Running, func(a, b sched.RunningTask) int {
		return cmp.Compare(fmt.Sprint(a.Run.Task), fmt.Sprint(b.Run.Task))
	})
	x.state.Heartbeat(now, h)
	x.scheduleDecide()
}

// progressPercent returns the progress that the worker reports, in percent.
func (r *run) progressPercent(now time.Duration) int {
	if !r.started || r.runtime <= 0 {
		return 0
	}
	return int(min(100*(now-r.began)/r.runtime, 100))
}
