package leader

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/clock"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// feedWait is how long a feed request waits for a change: half of the time within
	// which a draining worker must stop receiving tasks.
	feedWait = time.Second
	// jobsFeedDelay is the delay between requests for job changes, so that changes arrive
	// in batches. Hosts also notify the leader of the jobs that they accept, so only
	// jobs whose notification was lost wait for the feed; the most urgent work of a
	// client tolerates this delay.
	jobsFeedDelay = 60 * time.Millisecond
	// workersFeedDelay is the delay between requests for changes of worker entries, each of
	// which is rewritten every second or two. It also delays the detection that a worker
	// is draining.
	workersFeedDelay = 200 * time.Millisecond
	// keepAliveInterval is how often the leader writes its row when it has nothing else
	// to write. Other hosts take over when the row has not changed for more than twice as
	// long.
	keepAliveInterval = 150 * time.Millisecond
	// writeInterval is the minimum interval between writes, so that decisions are batched.
	writeInterval = 10 * time.Millisecond
	// minDecideInterval is the minimum interval between scheduling rounds. An interval is
	// also at least decideCostFactor times as long as the last round took, so that rounds
	// use a bounded share of the event loop and don't delay responses and starts.
	// maxDecideInterval caps it at half of the time in which urgent work is placed under
	// normal load.
	minDecideInterval = 4 * time.Millisecond
	decideCostFactor  = 4
	maxDecideInterval = 50 * time.Millisecond
	// tickInterval is how often the loop runs without an event: some decisions depend
	// on the time alone.
	tickInterval = 50 * time.Millisecond
	// maxCountAge is the maximum age of the counts of waiting jobs: the platform allows
	// two seconds, and a feed without changes responds every second.
	maxCountAge = 2 * time.Second
	// eventBuffer is the capacity of the loop's event queue.
	eventBuffer = 4096
)

// A Config describes a [Leader].
type Config struct {
	Store   store.Store
	Chain   *Chain
	Workers Workers
	// Groups renews the leases of workers without runs; nil means that each worker is called
	// by itself.
	Groups  GroupRenewer
	Advisor Advisor
	// WorkersTable is the table of the worker entries; DecodeWorker decodes one of its rows.
	WorkersTable string
	DecodeWorker func(store.Row) (sched.Worker, error)
	// ReadBytes bounds, approximately, the bytes in flight from the store while all
	// rows are read after a takeover; 0 means no limit.
	ReadBytes int
	// AcquiredAt is a time before the leadership was acquired; zero means that of the call of
	// [Leader.Lead].
	AcquiredAt time.Time
	// CountedByFormer is set if all former leaders that are not known to be over count this host as
	// a follower, so that their leases end at most one lease after the takeover.
	CountedByFormer bool
	// Sched configures the decisions. The leader itself sets TakenOver, Ahead, StartLease and
	// InheritedLease.
	Sched sched.Config
	Log   *logrus.Entry
	// Clock is the time source; nil means the system clock.
	Clock *clock.Clock
	// Observer receives events for metrics; nil means none.
	Observer Observer
}

// An Observer receives the events of a leader, for metrics.
type Observer interface {
	RecordEvent(n sched.Note)
	RecordAdvice(outcome string, took time.Duration)
	RecordTakeover(took time.Duration)
}

// discardObserver is an [Observer] that ignores all events.
type discardObserver struct{}

func (discardObserver) RecordEvent(sched.Note)             {}
func (discardObserver) RecordAdvice(string, time.Duration) {}
func (discardObserver) RecordTakeover(time.Duration)       {}

// A Leader leads the cell for one epoch.
type Leader struct {
	config Config
	state  *sched.State
	events chan event
	calls  sync.WaitGroup
	// writeCtx outlives ctx, so that a write in flight can complete; pendingWrite counts it.
	writeCtx     context.Context //nolint:containedctx // like ctx
	pendingWrite sync.WaitGroup
	ctx          context.Context //nolint:containedctx // calls outlive the functions that start them, but not the leadership

	renewers       map[spoolsill.WorkerIncarnation]*renewer
	wanted         map[spoolsill.WorkerIncarnation]bool // reused by reconcileRenewers
	advice         *adviceDispatcher
	idle           *idlePool
	sweeper        *sweeper
	former         formerLeaders
	followers      followers
	created        time.Time // the origin of stamps
	losses         lossEstimator
	responses      latencyEstimator
	renewing       atomic.Int64                // number of workers whose lease is renewed
	invalidEntries map[spoolsill.WorkerID]bool // workers whose entry can't be decoded
	gauges         gauges
	readLimiter    *store.ReadLimiter
	progressRows   map[spoolsill.JobID][]byte // progress of all jobs, until the jobs are loaded

	version    spoolsill.Version // of the queues and teams
	writing    bool
	lastWrite  time.Time // when the last successful write was begun
	lastDecide time.Time
	// decideTook is the duration of the last scheduling round.
	decideTook    time.Duration
	lag           time.Duration // moving average of the delay of the event loop
	loadLogged    time.Time     // when the load of the cell was last logged
	written       writtenRows   // since loadLogged
	lastReconcile time.Time     // when renewers were last compared with the workers
	lastBacklog   time.Time     // when the backlog was last published
	// feedsStarted is set once the progress of all jobs has been read and the feeds are
	// started; loaded is set once all jobs have been read as well.
	feedsStarted bool
	feeds        []*store.Watcher
	feedsLogged  time.Time // when stale feeds were last logged
	loaded       bool

	mu             sync.Mutex
	publishedWrite time.Time // copy of lastWrite, for other goroutines
	writes         uint64    // number of successful writes, as of publishedWrite
	statuses       map[spoolsill.JobID]sched.JobStatus
	waitingWork    spoolsill.Resources // see Backlog
	freeCapacity   spoolsill.Resources
	waiting        map[sched.QueueID]int
	jobsKnown      bool
	// jobsAsOf is when the latest request to the job feed was sent for which the loop has
	// handled all rows of the response.
	jobsAsOf        time.Time
	jobsAsOfChanged chan struct{} // closed when jobsAsOf changes
}

// An event is an input of the event loop.
type event interface{}

type (
	configChanged struct {
		version spoolsill.Version
		queues  []sched.Queue
		teams   []sched.Team
	}
	evacuationsChanged struct{ halls []spoolsill.HallID }
	progressLoaded     struct{ rows []store.Row }
	workersListed      struct{ rows []store.Row }
	workerChanged      struct{ row store.Row }
	jobsListed         struct{ rows []store.Row }
	jobChanged         struct{ row store.Row }
	jobsSynced         struct{ sent time.Time }
	workersSynced      struct{ sent time.Time }
	heartbeatReceived  struct{ heartbeat sched.Heartbeat }
	workerReplaced     struct{ incarnation spoolsill.WorkerIncarnation }
	workerConnRefused  struct{ incarnation spoolsill.WorkerIncarnation }
	workerUnresponsive struct{ incarnation spoolsill.WorkerIncarnation }
	leaseRequested     struct {
		incarnation spoolsill.WorkerIncarnation
		until       time.Time
	}
	// leasesRequested and heartbeatsReceived are the events of a group of workers.
	leasesRequested    struct{ leases []leaseRequested }
	heartbeatsReceived struct{ heartbeats []sched.Heartbeat }

	startAnswered  struct{ answer sched.StartAnswer }
	stopAnswered   struct{ answer sched.StopAnswer }
	adviceReceived struct{ advice sched.Advice }
	batchWritten   struct {
		batch sched.Batch
		begun time.Time
		// rejected has the jobs of the batch whose rows the store rejects for good.
		rejected []spoolsill.JobID
	}
	leadershipEnded struct{ err error }
	probeSent       struct{ at time.Time }
	hostFollows     struct {
		host spoolsill.HostID
		at   time.Time
	}
)

// New returns a leader that is not running yet; [Leader.Lead] runs it.
func New(c Config) *Leader {
	if c.Observer == nil {
		c.Observer = discardObserver{}
	}
	l := &Leader{
		config:          c,
		readLimiter:     store.NewReadLimiter(c.ReadBytes),
		events:          make(chan event, eventBuffer),
		renewers:        map[spoolsill.WorkerIncarnation]*renewer{},
		wanted:          map[spoolsill.WorkerIncarnation]bool{},
		invalidEntries:  map[spoolsill.WorkerID]bool{},
		statuses:        map[spoolsill.JobID]sched.JobStatus{},
		waiting:         map[sched.QueueID]int{},
		jobsAsOfChanged: make(chan struct{}),
	}
	l.created = c.Clock.Now()
	l.advice = newAdviceDispatcher(l)
	l.idle = newIdlePool(l)
	l.sweeper = newSweeper(l)
	return l
}

// Epoch returns the epoch of the leadership.
func (l *Leader) Epoch() spoolsill.Epoch {
	return l.config.Chain.Epoch()
}

// SetConfig sets the queues and teams of a configuration. It has no effect if this or a
// newer version was set before.
func (l *Leader) SetConfig(v spoolsill.Version, q []sched.Queue, t []sched.Team) {
	l.send(configChanged{
		version: v,
		queues:  q,
		teams:   t,
	})
}

// SetEvacuated sets the halls in which nothing may be started.
func (l *Leader) SetEvacuated(halls []spoolsill.HallID) {
	l.send(evacuationsChanged{
		halls: halls,
	})
}

// NotifyRow passes on a row of the jobs table from the host that has stored it. The feed
// delivers the same row later.
func (l *Leader) NotifyRow(r store.Row) {
	l.send(jobChanged{
		row: r,
	})
}

// Status returns the stored state of a job. The second result is false when the leader
// does not know the job, which may have been accepted a moment ago.
func (l *Leader) Status(id spoolsill.JobID) (sched.JobStatus, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.statuses[id]
	return s, ok
}

// AwaitStatus is like [Leader.Status], but for an unknown job it waits until every job that
// was accepted before the call has been read. The result conclusive is false if ctx is done
// before that.
func (l *Leader) AwaitStatus(ctx context.Context, id spoolsill.JobID) (s sched.JobStatus, known, conclusive bool) {
	begun := l.config.Clock.Now()
	for {
		// The order matters: a job that is read between the two calls is found by the second.
		readAt, next := l.jobsReadTime()
		s, known = l.Status(id)
		if known || readAt.After(begun) {
			return s, known, true
		}
		select {
		case <-next:
		case <-ctx.Done():
			return s, false, false
		}
	}
}

// Loaded reports whether all jobs have been read from the store.
func (l *Leader) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobsKnown
}

// Backlog returns the demand of the tasks that wait to be placed, and the free capacity of the
// workers that accept tasks. Both are zero until the jobs are loaded and workers have responded.
func (l *Leader) Backlog() (waiting, free spoolsill.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitingWork, l.freeCapacity
}

// backlogInterval is the interval at which the backlog is published: the share of jobs to accept
// changes half as often.
const backlogInterval = 100 * time.Millisecond

func (l *Leader) publishBacklog(now time.Time) {
	if !l.loaded || now.Sub(l.lastBacklog) < backlogInterval {
		return
	}
	l.lastBacklog = now
	waiting, free := l.state.Backlog()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitingWork = waiting
	l.freeCapacity = free
}

// jobsReadTime returns when the latest response of the job feed was requested, and a
// channel that is closed at the next one.
func (l *Leader) jobsReadTime() (time.Time, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.jobsKnown {
		return time.Time{}, l.jobsAsOfChanged
	}
	return l.jobsAsOf, l.jobsAsOfChanged
}

// PendingJobs returns the number of accepted jobs of a queue that have not started. The
// second result is false when it is not known: before all jobs are loaded, and while the
// leader can't read from the store which jobs other hosts have accepted.
func (l *Leader) PendingJobs(q sched.QueueID) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[q], l.jobsKnown && l.config.Clock.Since(l.jobsAsOf) < maxCountAge
}

// notifyJobsSynced notifies the event loop that all jobs accepted before sent have been read.
func (l *Leader) notifyJobsSynced(sent time.Time) {
	l.send(jobsSynced{
		sent: sent,
	})
}

// handleJobsSynced records that all jobs accepted before sent are known.
func (l *Leader) handleJobsSynced(sent time.Time) {
	if updates := l.state.StatusUpdates(); len(updates) > 0 {
		l.publish(l.lastWrite, updates)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobsAsOf = sent
	close(l.jobsAsOfChanged)
	l.jobsAsOfChanged = make(chan struct{})
}

// LastWriteTime returns when the last successful write was begun.
func (l *Leader) LastWriteTime() time.Time {
	t, _ := l.LastWrite()
	return t
}

// LastWrite returns when the last successful write was begun, and the number of
// successful writes of this leadership.
func (l *Leader) LastWrite() (begun time.Time, writes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.publishedWrite, l.writes
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

// run leads until ctx ends or another host leads; in that case it returns
// [ErrLeadershipLost]. All its calls have ended when it returns.
func (l *Leader) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.calls.Wait()
	defer cancel()
	now := l.config.Clock.Now()
	l.mu.Lock()
	l.ctx = ctx
	l.publishedWrite = now
	l.mu.Unlock()
	l.lastWrite = now
	l.config.Sched.TakenOver = now
	l.config.Sched.Ahead = l.config.Clock.SuspendedTime()
	l.config.Sched.StartLease = startLease
	l.config.Sched.InheritedLease = inheritedLease(l.config.Sched.Lease)
	l.state = sched.New(l.config.Sched)
	l.beginFormer(now)
	l.spawn(func() { l.loadProgress(ctx) })
	l.spawn(func() { l.probe(ctx) })
	l.spawn(func() { l.idle.run(ctx) })
	return l.loop(ctx)
}

// inheritedLease returns how long after a takeover a worker may still hold a lease that the former
// leader requested. A leader requests no lease that ends more than twice the lease after its last
// write; the result adds the clock drift and margin of [sched.LeaseEnd].
func inheritedLease(lease time.Duration) time.Duration {
	return sched.LeaseEnd(time.Time{}, 2*lease).Sub(time.Time{})
}

// spawn runs f in a goroutine that run waits for.
func (l *Leader) spawn(f func()) {
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		f()
	}()
}

func (l *Leader) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			if l.suspended() {
				return ErrSuspended
			}
			if err := l.handle(e); err != nil {
				return err
			}
		case <-tick.C:
		}
		if l.suspended() {
			return ErrSuspended
		}
		if err := l.drainEvents(); err != nil {
			return err
		}
		if err := l.act(ctx); err != nil {
			return err
		}
	}
}

// drainEvents handles all queued events, so that a decision is based on everything that
// is known.
func (l *Leader) drainEvents() error {
	for {
		select {
		case e := <-l.events:
			if err := l.handle(e); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

func (l *Leader) handle(e event) error {
	now := l.config.Clock.Now()
	switch e := e.(type) {
	case configChanged:
		l.handleConfig(e)
	case evacuationsChanged:
		l.state.SetEvacuated(now, e.halls)
	case progressLoaded:
		l.handleProgress(e.rows)
	case jobsListed:
		l.handleJobList(now, e.rows)
	case jobChanged:
		l.handleJobRow(now, e.row)
	case jobsSynced:
		l.handleJobsSynced(e.sent)
	case startAnswered:
		l.state.StartAnswered(now, e.answer)
	case stopAnswered:
		l.state.StopAnswered(now, e.answer)
	case adviceReceived:
		l.state.AdviceReceived(now, e.advice)
	case batchWritten:
		l.handleWritten(now, e)
	case probeSent:
		return l.handleProbe(now, e.at)
	case hostFollows:
		l.handleFollower(now, e)
	case leadershipEnded:
		return e.err
	default:
		l.handleWorkerEvent(now, e)
	}
	return nil
}

// handleWorkerEvent handles an event that concerns workers.
func (l *Leader) handleWorkerEvent(now time.Time, e event) {
	switch e := e.(type) {
	case workersListed:
		l.handleWorkerList(now, e.rows)
	case workerChanged:
		l.handleWorkerRow(now, e.row)
	case workersSynced:
		l.state.EntriesSynced(now, e.sent)
	case heartbeatReceived:
		l.state.Heartbeat(now, e.heartbeat)
	case workerReplaced:
		l.state.WorkerDied(now, e.incarnation)
	case workerConnRefused:
		l.state.WorkerConnRefused(now, e.incarnation)
	case workerUnresponsive:
		l.state.WorkerUnresponsive(now, e.incarnation)
	case leaseRequested:
		l.state.LeaseRequested(e.incarnation, e.until)
	case leasesRequested:
		for _, r := range e.leases {
			l.state.LeaseRequested(r.incarnation, r.until)
		}
	case heartbeatsReceived:
		for _, h := range e.heartbeats {
			l.state.Heartbeat(now, h)
		}
	}
}

func (l *Leader) handleConfig(e configChanged) {
	if e.version <= l.version {
		return
	}
	l.version = e.version
	l.state.SetQueues(e.queues)
	l.state.SetTeams(l.config.Clock.Now(), e.teams)
}

// act makes decisions, sends the calls that are due and begins the next write.
func (l *Leader) act(ctx context.Context) error {
	now := l.config.Clock.Now()
	l.decide(now)
	if updates := l.state.StatusUpdates(); len(updates) > 0 {
		l.publish(l.lastWrite, updates)
	}
	for _, o := range l.state.Stops() {
		l.sendStop(ctx, o)
	}
	for _, o := range l.state.DeferredStarts() {
		l.sendStart(o)
	}
	for _, o := range l.state.AdviceOrders() {
		l.advice.enqueue(o)
	}
	l.advice.dispatch(ctx)
	l.sweeper.sweep(ctx, now)
	if l.loaded {
		// Workers are not called before all jobs are loaded, since the end of a run whose
		// job is not known would be lost.
		l.reconcileRenewers(ctx, now)
	}
	l.publishBacklog(now)
	l.logNotes()
	l.logLoad(now)
	l.logFeeds(now)
	return l.write(ctx, now)
}

// decide runs a scheduling round, unless the last one was too recent.
func (l *Leader) decide(now time.Time) {
	pause := min(max(decideCostFactor*l.decideTook, minDecideInterval), maxDecideInterval)
	if !l.loaded || now.Sub(l.lastDecide) < pause {
		return
	}
	l.lastDecide = now
	l.state.Decide(now)
	l.gauges.setSuspects(l.state.Suspects())
	l.gauges.setOverload(l.state.Overload())
	l.decideTook = l.config.Clock.Since(now)
}

// Lead runs the leader until ctx is done, the leadership is lost, or the leader gives up. If ctx is
// done, the host is overloaded or [Leader.Yield] was called, it releases the leadership;
// releaseTimeout bounds the time for that, including a write in flight.
func (l *Leader) Lead(ctx context.Context, releaseTimeout time.Duration) error {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l.writeCtx = detached
	err := l.run(ctx)
	end := time.AfterFunc(releaseTimeout, cancel)
	defer end.Stop()
	l.pendingWrite.Wait()
	switch {
	case errors.Is(err, ErrOverloaded), errors.Is(err, ErrYielded):
		return errors.Join(err, l.config.Chain.Release(detached))
	case errors.Is(err, ErrLeadershipLost), ctx.Err() == nil:
		return err
	default:
		return l.config.Chain.Release(detached)
	}
}
