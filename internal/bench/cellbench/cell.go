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

// What the parts of a cell take.
const (
	writeTime = 10 * time.Millisecond
	callTime  = 2 * time.Millisecond
	beatEvery = time.Second
	lookEvery = 4 * time.Millisecond
	tickEvery = 50 * time.Millisecond
	lease     = 10 * time.Second
	stopTime  = 400 * time.Millisecond
	// saveEvery is how often progress is saved; a start from it takes
	// restoreTime longer.
	saveEvery   = 500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	ticketValid = 2 * time.Second
)

// A cell drives one [sched.State].
type cell struct {
	config  Config
	loop    event.Loop
	rand    *rand.Rand
	state   *sched.State
	workers []*worker
	byID    map[spoolsill.WorkerID]*worker
	jobs    map[spoolsill.JobID]*arrival
	report  *tally

	writing   bool
	looked    time.Duration
	willLook  bool
	questions []sched.AdviceOrder
	idle      int // hosts that ask nothing
	gangs     map[sched.StageID]map[sched.RunID]*run
	starts    int
	stops     int
	broken    []string
}

type worker struct {
	sched.Worker
	speed    float64
	runs     map[sched.RunID]*run
	ends     []sched.End
	sequence uint64
}

// A run is a task at a worker. Of a gang it waits until all are there.
type run struct {
	id     sched.RunID
	worker *worker
	work   time.Duration // in all
	before time.Duration // done by earlier runs
	began  time.Duration // zero while it waits
	takes  time.Duration
	going  bool
	fails  bool
}

func newCell(c Config) *cell {
	x := &cell{
		config: c,
		rand:   rand.New(rand.NewPCG(c.Seed, 1)),
		byID:   map[spoolsill.WorkerID]*worker{},
		jobs:   map[spoolsill.JobID]*arrival{},
		gangs:  map[sched.StageID]map[sched.RunID]*run{},
		report: newTally(c),
		idle:   c.Hosts,
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
	x.state.SetMaxQuestions(c.Hosts)
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
			speed: 1,
			runs:  map[sched.RunID]*run{},
		}
		if len(p.Speeds) > 0 {
			w.speed = p.Speeds[i%len(p.Speeds)]
		}
		x.workers = append(x.workers, w)
		x.byID[w.ID] = w
		x.state.WorkerListed(x.loop.Time(), w.Worker)
		x.loop.After(time.Duration(i)*time.Millisecond, func() { x.beat(w) })
	}
}

// run plays all arrivals and what is left after them.
func (x *cell) run(as []arrival) {
	for i := range as {
		a := &as[i]
		x.loop.After(a.at, func() { x.arrive(a) })
	}
	x.loop.After(tickEvery, x.tick)
	x.loop.Run(x.config.Duration + settleTime)
}

// settleTime is for what has come last.
const settleTime = time.Minute

func (x *cell) arrive(a *arrival) {
	now := x.loop.Time()
	a.job.Received = now
	x.jobs[a.job.ID] = a
	x.state.AddJob(now, a.job, sched.Progress{})
	x.look()
}

func (x *cell) tick() {
	x.look()
	x.loop.After(tickEvery, x.tick)
}

// look has the state decide, at most once in a while.
func (x *cell) look() {
	wait := x.looked + lookEvery - x.loop.Now()
	if wait <= 0 {
		x.act()
		return
	}
	if !x.willLook {
		x.willLook = true
		x.loop.After(wait, func() {
			x.willLook = false
			x.act()
		})
	}
}

func (x *cell) act() {
	now := x.loop.Time()
	x.looked = x.loop.Now()
	x.state.Decide(now)
	if err := x.state.CheckCapacity(); err != nil {
		x.broken = append(x.broken, err.Error())
	}
	for _, o := range x.state.Stops() {
		x.loop.After(callTime, func() { x.stop(o) })
	}
	for _, o := range x.state.DeferredStarts() {
		x.loop.After(callTime, func() { x.start(o) })
	}
	x.questions = append(x.questions, x.state.AdviceOrders()...)
	x.ask()
	x.state.Notes()
	x.state.StatusUpdates()
	x.write()
}

func (x *cell) write() {
	if x.writing {
		return
	}
	b, any, err := x.state.Batch(x.loop.Time())
	if err != nil {
		x.broken = append(x.broken, err.Error())
	}
	if !any {
		return
	}
	x.writing = true
	x.loop.After(writeTime, func() {
		x.writing = false
		x.written(b)
		x.look()
	})
}

func (x *cell) written(b sched.Batch) {
	for _, s := range b.Statuses {
		if a := x.jobs[s.ID]; a != nil && s.State.Final() {
			x.report.ended(a, s.State, x.loop.Now()-a.at)
			delete(x.jobs, s.ID)
		}
	}
	for _, o := range x.state.BatchWritten(x.loop.Time(), b) {
		x.loop.After(callTime, func() { x.start(o) })
	}
	for _, a := range b.Acks {
		w := x.byID[a.Worker]
		w.ends = slices.DeleteFunc(w.ends, func(e sched.End) bool { return e.Sequence <= a.Sequence })
	}
}

// ask has idle hosts ask the advisor, the most urgent question first.
func (x *cell) ask() {
	for x.idle > 0 && len(x.questions) > 0 {
		i := 0
		for j, o := range x.questions {
			if compareQuestions(o, x.questions[i]) < 0 {
				i = j
			}
		}
		o := x.questions[i]
		x.questions = slices.Delete(x.questions, i, i+1)
		x.idle--
		x.loop.After(o.Cost+callTime, func() {
			x.idle++
			x.advise(o)
			x.look()
		})
	}
}

func compareQuestions(a, b sched.AdviceOrder) int {
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
		Valid:    ticketValid,
	}
	for _, l := range o.Workers {
		if x.good(o.Stage, l.Worker) {
			a.Tickets = append(a.Tickets, sched.Ticket{
				Worker: l.Worker,
				Text:   "t",
			})
		}
	}
	x.state.AdviceReceived(x.loop.Time(), a)
}

// good tells by a hash whether a stage may run at a worker. Some stages may run at
// none.
func (x *cell) good(s sched.StageID, id spoolsill.WorkerID) bool {
	a := x.jobs[s.Job]
	if a == nil {
		return true
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %s %d", s, id, x.config.Seed)
	return float64(h.Sum64()>>11)/(1<<53) < a.kind.Good
}

func (x *cell) start(o sched.StartOrder) {
	w := x.byID[o.Worker]
	a := x.jobs[o.Run.Task.Stage.Job]
	x.starts++
	x.state.StartAnswered(x.loop.Time(), sched.StartAnswer{
		WorkerIncarnation: o.WorkerIncarnation,
		Run:               o.Run,
	})
	if a == nil {
		return
	}
	r := &run{
		id:     o.Run,
		worker: w,
		work:   a.work[o.Run.Task.Stage.Step][o.Run.Task.Index],
		fails:  x.rand.Float64() < a.kind.Fails,
	}
	if o.Saved != "" {
		ms, _ := strconv.Atoi(o.Saved)
		r.before = time.Duration(ms) * time.Millisecond
	}
	w.runs[r.id] = r
	if !a.job.Steps[o.Run.Task.Stage.Step].Gang {
		x.begin(r, r.duration())
		return
	}
	x.join(a, r)
}

// duration is how long a run takes at its worker.
func (r *run) duration() time.Duration {
	d := time.Duration(float64(r.work-r.before) * r.worker.speed)
	if r.before > 0 {
		d += restoreTime
	}
	return d
}

// join adds a member to a gang and begins it when all are there.
func (x *cell) join(a *arrival, r *run) {
	s := r.id.Task.Stage
	g := x.gangs[s]
	if g == nil {
		g = map[sched.RunID]*run{}
		x.gangs[s] = g
	}
	g[r.id] = r
	var most time.Duration
	n := 0
	for id, m := range g {
		if id.Number == r.id.Number {
			n++
			most = max(most, m.duration())
		}
	}
	if n < a.job.Steps[s.Step].Tasks {
		return
	}
	for _, m := range x.members(r) {
		x.begin(m, most)
	}
}

// members returns the runs of r's gang in a fixed order.
func (x *cell) members(r *run) []*run {
	var out []*run
	for id, m := range x.gangs[r.id.Task.Stage] {
		if id.Number == r.id.Number {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return cmp.Compare(a.id.Task.Index, b.id.Task.Index) })
	return out
}

func (x *cell) begin(r *run, takes time.Duration) {
	r.going = true
	r.began = x.loop.Now()
	r.takes = takes
	k := sched.EndDone
	if r.fails {
		k = sched.EndFailed
	}
	x.loop.After(takes, func() { x.end(r, k, "") })
}

// end has a run end, and the worker tell of it.
func (x *cell) end(r *run, k sched.EndKind, saved string) {
	w := r.worker
	if w.runs[r.id] != r {
		return
	}
	delete(w.runs, r.id)
	delete(x.gangs[r.id.Task.Stage], r.id)
	w.sequence++
	w.ends = append(w.ends, sched.End{
		Sequence: w.sequence,
		Run:      r.id,
		Kind:     k,
		Saved:    saved,
	})
	x.loop.After(callTime, func() { x.answer(w) })
}

func (x *cell) stop(o sched.StopOrder) {
	w := x.byID[o.Worker]
	x.stops++
	x.state.StopAnswered(x.loop.Time(), sched.StopAnswer{
		Order: o,
		Taken: true,
	})
	if r := w.runs[o.Run]; r != nil {
		x.loop.After(stopTime/2, func() { x.end(r, sched.EndStopped, x.saved(r)) })
	}
}

// saved is the progress of a run that is stopped, if it is saved.
func (x *cell) saved(r *run) string {
	a := x.jobs[r.id.Task.Stage.Job]
	if a == nil || !a.job.Steps[r.id.Task.Stage.Step].Checkpoints {
		return ""
	}
	done := r.before
	if r.going {
		done += time.Duration(float64(x.loop.Now()-r.began) / r.worker.speed)
	}
	done = done.Truncate(saveEvery)
	if done == 0 {
		return ""
	}
	return strconv.FormatInt(min(done, r.work).Milliseconds(), 10)
}

// beat renews a worker's lease each second.
func (x *cell) beat(w *worker) {
	x.answer(w)
	x.loop.After(beatEvery, func() { x.beat(w) })
}

func (x *cell) answer(w *worker) {
	now := x.loop.Time()
	x.state.LeaseRequested(w.Incarnation(), sched.LeaseEnd(now, lease))
	h := sched.Heartbeat{
		WorkerIncarnation: spoolsill.WorkerIncarnation{
			Worker: w.ID,
		},
		Sent:  now.Add(-callTime),
		Clock: sched.ClockMillis(x.loop.Now().Milliseconds()) + 1,
		Ended: slices.Clone(w.ends),
	}
	for _, r := range w.runs {
		h.Running = append(h.Running, sched.RunningTask{
			Run:     r.id,
			Percent: r.percent(x.loop.Now()),
		})
	}
	slices.SortFunc(h.Running, func(a, b sched.RunningTask) int {
		return cmp.Compare(fmt.Sprint(a.Run.Task), fmt.Sprint(b.Run.Task))
	})
	x.state.Heartbeat(now, h)
	x.look()
}

func (r *run) percent(now time.Duration) int {
	if !r.going || r.takes <= 0 {
		return 0
	}
	return int(min(100*(now-r.began)/r.takes, 100))
}
