package leader

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// followWait is how long a feed waits for a change: half of the time
	// within which a draining worker must get nothing new.
	followWait = time.Second
	// workersPause lets the workers' entries gather, each of which is written
	// anew every second or two. A draining worker is heard of so much later.
	workersPause = 200 * time.Millisecond
	// keepAlive is how often the leader writes its row when it has nothing
	// else to write. Others take over when the row does not change for twice
	// as long.
	keepAlive = 250 * time.Millisecond
	// writeEvery lets decisions gather for one write.
	writeEvery = 10 * time.Millisecond
	// decideEvery bounds how often stages are looked at.
	decideEvery = 4 * time.Millisecond
	// tickEvery is how often time alone may change a decision.
	tickEvery = 50 * time.Millisecond
	// countAge is how old the count of waiting jobs may be: the platform allows
	// two seconds, and a feed that has nothing to tell answers each second.
	countAge = 2 * time.Second
	// probeEvery is how often the loop measures how late it is.
	probeEvery = 100 * time.Millisecond
	// lateMost is how late the loop may be, on average over about a second,
	// before another host should lead: a quarter of the time in which the
	// most urgent work of today has to be done.
	lateMost = 300 * time.Millisecond
	// lateAfter is how long after a take-over it is not looked at: loading
	// and the first look at all workers take their time.
	lateAfter = 3 * time.Second
	// eventBuffer is how many events may wait for the loop.
	eventBuffer = 4096
)

// A Config describes a [Leader].
type Config struct {
	Store   store.Store
	Chain   *Chain
	Workers Workers
	Advisor Advisor
	// DecodeWorker reads a row of WorkersTable.
	WorkersTable string
	DecodeWorker func(store.Row) (sched.Worker, error)
	// Sched configures the decisions; its times of taking over are set here.
	Sched sched.Config
	Log   *logrus.Entry
	// Observer is told what happens, for metrics; nil means nobody is.
	Observer Observer
}

// An Observer takes in what a leader does.
type Observer interface {
	Note(n sched.Note)
	Asked(outcome string, took time.Duration)
	TookOver(took time.Duration)
}

// nobody is the observer that takes nothing in.
type nobody struct{}

func (nobody) Note(sched.Note)             {}
func (nobody) Asked(string, time.Duration) {}
func (nobody) TookOver(time.Duration)      {}

// A Leader leads the cell for one epoch.
type Leader struct {
	config Config
	state  *sched.State
	events chan event
	calls  sync.WaitGroup
	// writes ends later than the calls; written counts the write under way.
	writes  context.Context //nolint:containedctx // like ctx
	written sync.WaitGroup
	ctx     context.Context //nolint:containedctx // calls outlive the functions that order them, not the leadership

	holds    map[spoolsill.WorkerID]*hold
	advising *adviser
	sweeper  *sweeper
	losses   losses
	rows     map[spoolsill.JobID][]byte

	writing   bool
	lastWrite time.Time // when the latest write that lasts was begun
	decided   time.Time
	late      time.Duration // a moving average of how late the loop is
	kept      time.Time     // when the holds were last compared with the workers
	loaded    bool

	mu       sync.Mutex
	fresh    time.Time // like lastWrite, for the calls' goroutines
	statuses map[spoolsill.JobID]sched.JobStatus
	waiting  map[sched.QueueID]int
	known    bool
	heard    time.Time // when the latest answer of the jobs' feed was asked for
}

// An event is what the loop takes in.
type event interface{}

type (
	queuesChanged  struct{ queues []sched.Queue }
	workersListed  struct{ rows []store.Row }
	workerChanged  struct{ row store.Row }
	jobsListed     struct{ rows []store.Row }
	jobChanged     struct{ row store.Row }
	heartbeatTaken struct{ heartbeat sched.Heartbeat }
	workerReplaced struct{ worker spoolsill.WorkerID }
	workerRefused  struct{ worker spoolsill.WorkerID }
	leaseAsked     struct {
		worker spoolsill.WorkerID
		until  time.Time
	}
	startAnswered struct{ answer sched.StartAnswer }
	stopAnswered  struct{ order sched.StopOrder }
	adviceTaken   struct{ advice sched.Advice }
	batchWritten  struct {
		batch sched.Batch
		begun time.Time
	}
	leadershipEnded struct{ err error }
	probeSent       struct{ at time.Time }
)

// New returns a leader that has not begun.
func New(c Config) *Leader {
	if c.Observer == nil {
		c.Observer = nobody{}
	}
	l := &Leader{
		config:   c,
		events:   make(chan event, eventBuffer),
		holds:    map[spoolsill.WorkerID]*hold{},
		statuses: map[spoolsill.JobID]sched.JobStatus{},
		waiting:  map[sched.QueueID]int{},
	}
	l.advising = newAdviser(l)
	l.sweeper = newSweeper(l)
	return l
}

// Epoch returns the epoch of the leadership.
func (l *Leader) Epoch() spoolsill.Epoch {
	return l.config.Chain.Epoch()
}

// SetQueues takes in a newer configuration.
func (l *Leader) SetQueues(q []sched.Queue) {
	l.send(queuesChanged{
		queues: q,
	})
}

// Status returns the state of a job as it lasts. The second result is false
// when the leader does not know the job; it may have been accepted just now.
func (l *Leader) Status(id spoolsill.JobID) (sched.JobStatus, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.statuses[id]
	return s, ok
}

// Waiting returns the waiting jobs of a queue. It returns false when that is
// not known: before all jobs are loaded, and while the store keeps what other
// hosts accept from this one.
func (l *Leader) Waiting(q sched.QueueID) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[q], l.known && time.Since(l.heard) < countAge
}

// hearJobs takes in that all jobs accepted before a time are known.
func (l *Leader) hearJobs(sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = sent
}

// Fresh returns when the latest write that lasts was begun.
func (l *Leader) Fresh() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh
}

func (l *Leader) send(e event) {
	select {
	case l.events <- e:
	case <-l.done():
	}
}

func (l *Leader) done() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx == nil {
		return nil
	}
	return l.ctx.Done()
}

// run leads until ctx ends or another host leads; then it returns
// [ErrDeposed]. All its calls have ended when it returns.
func (l *Leader) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.calls.Wait()
	defer cancel()
	now := time.Now()
	l.mu.Lock()
	l.ctx = ctx
	l.fresh = now
	l.mu.Unlock()
	l.lastWrite = now
	l.config.Sched.TakenOver = now
	l.config.Sched.StartLease = startLease
	l.config.Sched.InheritedLease = inheritedLease(l.config.Sched.Lease)
	l.state = sched.New(l.config.Sched)
	rows, err := l.loadProgress(ctx)
	if err != nil {
		return err
	}
	l.rows = rows
	l.follow(ctx)
	l.spawn(func() { l.probe(ctx) })
	return l.loop(ctx)
}

// inheritedLease is how long after a take-over a worker may still hold a lease
// that the former leader asked for: it asks for none that ends later than
// this after its last write.
func inheritedLease(lease time.Duration) time.Duration {
	return sched.LeaseEnd(time.Time{}, 2*lease).Sub(time.Time{})
}

// loadProgress reads the progress of all jobs, until it succeeds.
func (l *Leader) loadProgress(ctx context.Context) (map[spoolsill.JobID][]byte, error) {
	for {
		rows, _, err := store.ListAll(ctx, l.config.Store, jobstore.ProgressTable, jobstore.CellPartition)
		if err == nil {
			m := make(map[spoolsill.JobID][]byte, len(rows))
			for _, r := range rows {
				m[spoolsill.JobID(r.Key.Name)] = r.Value
			}
			return m, nil
		}
		l.config.Log.WithError(err).Warn("load progress")
		// The row must go on changing while the store is slow to list.
		if err := l.config.Chain.Write(ctx, nil, nil); err != nil {
			return nil, err
		}
	}
}

func (l *Leader) follow(ctx context.Context) {
	followers := []*store.Follower{
		{
			Store:   l.config.Store,
			Table:   jobstore.JobsTable,
			Wait:    followWait,
			Listed:  func(rows []store.Row) { l.send(jobsListed{rows: rows}) },
			Changed: func(r store.Row) { l.send(jobChanged{row: r}) },
			Heard:   l.hearJobs,
			Failed:  l.reportFeed(jobstore.JobsTable),
		},
		{
			Store:   l.config.Store,
			Table:   l.config.WorkersTable,
			Wait:    followWait,
			Pause:   workersPause,
			Listed:  func(rows []store.Row) { l.send(workersListed{rows: rows}) },
			Changed: func(r store.Row) { l.send(workerChanged{row: r}) },
			Failed:  l.reportFeed("workers"),
		},
	}
	for _, f := range followers {
		l.spawn(func() { f.Run(ctx) })
	}
}

func (l *Leader) reportFeed(table string) func(error) {
	return func(err error) {
		log := l.config.Log.WithField("table", table)
		if err != nil {
			log.WithError(err).Warn("feed lost")
			return
		}
		log.Info("feed regained")
	}
}

// spawn runs f beside the loop; run waits for it.
func (l *Leader) spawn(f func()) {
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		f()
	}()
}

func (l *Leader) loop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			if err := l.take(e); err != nil {
				return err
			}
		case <-tick.C:
		}
		if err := l.drain(); err != nil {
			return err
		}
		if err := l.act(ctx); err != nil {
			return err
		}
	}
}

// drain takes in all events that wait, so that a decision rests on all that
// is known.
func (l *Leader) drain() error {
	for {
		select {
		case e := <-l.events:
			if err := l.take(e); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (l *Leader) take(e event) error {
	now := time.Now()
	switch e := e.(type) {
	case queuesChanged:
		l.state.SetQueues(e.queues)
	case workersListed:
		l.takeWorkers(now, e.rows)
	case workerChanged:
		l.takeWorker(now, e.row)
	case jobsListed:
		l.takeJobs(now, e.rows)
	case jobChanged:
		l.takeJob(now, e.row)
	case heartbeatTaken:
		l.state.Heartbeat(now, e.heartbeat)
	case workerReplaced:
		l.state.WorkerDied(now, e.worker)
	case workerRefused:
		l.state.WorkerRefused(now, e.worker)
	case leaseAsked:
		l.state.LeaseAsked(e.worker, e.until)
	case startAnswered:
		l.state.StartAnswered(now, e.answer)
	case stopAnswered:
		l.state.StopAnswered(now, e.order)
	case adviceTaken:
		l.state.Advised(now, e.advice)
	case batchWritten:
		l.takeWritten(now, e)
	case probeSent:
		return l.takeProbe(now, e.at)
	case leadershipEnded:
		return e.err
	}
	return nil
}

// ErrOverloaded is returned by a leader that gave up because its host could not
// keep up.
var ErrOverloaded = errors.New("leader: this host can't keep up")

// probe sends the loop an event now and then, which tells how late the loop is.
func (l *Leader) probe(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case at := <-t.C:
			l.send(probeSent{
				at: at,
			})
		case <-ctx.Done():
			return
		}
	}
}

// takeProbe gives the leadership up when the loop has been late for a while.
func (l *Leader) takeProbe(now, sent time.Time) error {
	l.late += (now.Sub(sent) - l.late) / 8
	if l.late < lateMost || now.Sub(l.config.Sched.TakenOver) < lateAfter {
		return nil
	}
	l.config.Log.WithField("late_ms", l.late.Milliseconds()).Warn("leader can't keep up")
	return ErrOverloaded
}

// act decides, and sends what may be sent.
func (l *Leader) act(ctx context.Context) error {
	now := time.Now()
	if l.loaded && now.Sub(l.decided) >= decideEvery {
		l.decided = now
		l.state.Decide(now)
	}
	if t := l.state.Told(); len(t) > 0 {
		l.publish(l.lastWrite, t)
	}
	for _, o := range l.state.Stops() {
		l.sendStop(ctx, o)
	}
	for _, o := range l.state.Advices() {
		l.advising.add(o)
	}
	l.advising.dispatch(ctx)
	l.sweeper.sweep(ctx, now)
	if l.loaded {
		// Not before: an end of a job that is not known yet would be lost.
		l.keepHolds(ctx, now)
	}
	l.logNotes()
	return l.write(ctx, now)
}

// write begins the next write when none is under way.
func (l *Leader) write(ctx context.Context, now time.Time) error {
	if l.writing || now.Sub(l.lastWrite) < writeEvery {
		return nil
	}
	b, any, err := l.state.Batch(now)
	if err != nil {
		return err
	}
	if !any && now.Sub(l.lastWrite) < keepAlive {
		return nil
	}
	l.writing = true
	// The write goes on when the leadership is being given up: its fate must
	// be known before the row can be written again.
	ctx = l.writes
	l.written.Add(1)
	go func() {
		defer l.written.Done()
		puts := make([]store.Put, len(b.Rows))
		for i, r := range b.Rows {
			puts[i] = store.Put{
				Key:   jobstore.ProgressKey(r.ID),
				Value: r.Value,
			}
		}
		deletes := make([]store.Key, len(b.Forgotten))
		for i, id := range b.Forgotten {
			deletes[i] = jobstore.ProgressKey(id)
		}
		if err := l.config.Chain.Write(ctx, puts, deletes); err != nil {
			l.send(leadershipEnded{
				err: err,
			})
			return
		}
		l.send(batchWritten{
			batch: b,
			begun: now,
		})
	}()
	return nil
}

func (l *Leader) takeWritten(now time.Time, e batchWritten) {
	l.writing = false
	l.lastWrite = e.begun
	l.publish(e.begun, e.batch.Statuses)
	for _, o := range l.state.Written(now, e.batch) {
		l.sendStart(o)
	}
	l.sweeper.add(e.batch.Ended)
	l.forget(e.batch.Forgotten)
	for _, a := range e.batch.Acks {
		if h := l.holds[a.Worker]; h != nil {
			h.ack(a.Sequence)
		}
	}
}

func (l *Leader) forget(ids []spoolsill.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		delete(l.statuses, id)
	}
}

func (l *Leader) publish(begun time.Time, statuses []sched.JobStatus) {
	w := l.state.Waiting()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fresh = begun
	l.waiting = w
	l.known = l.loaded
	for _, s := range statuses {
		if !l.statuses[s.ID].State.Final() {
			l.statuses[s.ID] = s
		}
	}
}

func (l *Leader) takeWorkers(now time.Time, rows []store.Row) {
	listed := map[spoolsill.WorkerID]bool{}
	for _, r := range rows {
		listed[spoolsill.WorkerID(r.Key.Name)] = true
	}
	for _, id := range l.state.Workers() {
		if !listed[id] {
			l.state.UnlistWorker(now, id)
		}
	}
	for _, r := range rows {
		l.takeWorker(now, r)
	}
}

func (l *Leader) takeWorker(now time.Time, r store.Row) {
	if r.Deleted {
		l.state.UnlistWorker(now, spoolsill.WorkerID(r.Key.Name))
		return
	}
	w, err := l.config.DecodeWorker(r)
	if err != nil {
		l.config.Log.WithError(err).Warn("worker's entry can't be read")
		return
	}
	l.state.ListWorker(now, w)
}

func (l *Leader) takeJobs(now time.Time, rows []store.Row) {
	// Of two rows of one job the older one counts.
	slices.SortStableFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range rows {
		if _, ok := jobstore.Cancelled(r.Key.Name); !ok {
			l.takeJob(now, r)
		}
	}
	for _, r := range rows {
		if _, ok := jobstore.Cancelled(r.Key.Name); ok {
			l.takeJob(now, r)
		}
	}
	if l.loaded {
		return
	}
	l.loaded = true
	for id, v := range l.rows {
		l.takeEnded(now, id, v)
	}
	l.rows = nil
	took := now.Sub(l.config.Sched.TakenOver)
	l.config.Observer.TookOver(took)
	l.config.Log.WithField("jobs", len(l.state.Jobs())).WithField("took_ms", took.Milliseconds()).Info("jobs loaded")
	// All of it was read from the store, so it lasts.
	l.publish(l.lastWrite, l.state.Jobs())
}

// takeEnded takes in a job of which only the progress is left.
func (l *Leader) takeEnded(now time.Time, id spoolsill.JobID, v []byte) {
	if _, ok := l.state.Job(id); ok {
		return
	}
	p, err := sched.DecodeProgress(v)
	if err != nil || !p.State.Final() {
		l.config.Log.WithError(err).WithField("job", string(id)).WithField("state", p.State.String()).Error("progress without a job")
		return
	}
	l.state.AddEnded(now, id, p.State)
}

// takeJob takes in a row of the jobs table: a job or the mark of a cancelled
// one.
func (l *Leader) takeJob(now time.Time, r store.Row) {
	if r.Deleted {
		return
	}
	if id, ok := jobstore.Cancelled(r.Key.Name); ok {
		l.sweeper.locate(id, r.Key)
		l.state.CancelJob(now, id)
		l.sweepEnded(id)
		return
	}
	id := spoolsill.JobID(r.Key.Name)
	l.sweeper.locate(id, r.Key)
	if _, ok := l.state.Job(id); ok {
		l.sweepEnded(id)
		return
	}
	j, err := jobstore.DecodeJob(r.Value)
	if err != nil {
		l.config.Log.WithError(err).WithField("job", r.Key.Name).Error("job can't be read")
		return
	}
	var p sched.Progress
	if v, ok := l.rows[j.ID]; ok {
		p, err = sched.DecodeProgress(v)
		if err != nil {
			l.config.Log.WithError(err).WithField("job", r.Key.Name).Error("progress can't be read")
			return
		}
	}
	l.state.AddJob(now, j, p)
	l.sweepEnded(id)
}

// sweepEnded has the rows of a job deleted that has ended for good: a client
// came back after its end, or a former leader had no time for it.
func (l *Leader) sweepEnded(id spoolsill.JobID) {
	if l.state.Settled(id) && l.endLasts(id) {
		l.sweeper.add([]spoolsill.JobID{id})
	}
}

// endLasts reports whether the end of a job that has ended is in the store:
// what is loaded comes from there, and what was published was written.
func (l *Leader) endLasts(id spoolsill.JobID) bool {
	if !l.loaded {
		return true
	}
	s, _ := l.Status(id)
	return s.State.Final()
}

func (l *Leader) logNotes() {
	for _, n := range l.state.Notes() {
		l.config.Observer.Note(n)
		f := logrus.Fields{
			"epoch":  uint64(l.Epoch()),
			"reason": n.Reason,
			"age_ms": n.Age.Milliseconds(),
		}
		if n.Job != "" {
			f["job"] = string(n.Job)
		}
		if n.Run.Number > 0 {
			f["task"] = n.Run.Task.String()
			f["run"] = uint32(n.Run.Number)
		}
		if n.Worker != "" {
			f["worker"] = string(n.Worker)
		}
		l.config.Log.WithFields(f).Info(string(n.Kind))
	}
}

// Lead runs l and gives the leadership up when ctx ends as planned, within the
// given time.
func (l *Leader) Lead(ctx context.Context, release time.Duration) error {
	writes, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l.writes = writes
	err := l.run(ctx)
	end := time.AfterFunc(release, cancel)
	defer end.Stop()
	l.written.Wait()
	switch {
	case errors.Is(err, ErrOverloaded):
		return errors.Join(err, l.config.Chain.Release(writes))
	case errors.Is(err, ErrDeposed), ctx.Err() == nil:
		return err
	default:
		return l.config.Chain.Release(writes)
	}
}
