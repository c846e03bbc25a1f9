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
	// followWait is how long a feed waits for a change: half of the time
	// within which a draining worker must get nothing new.
	followWait = time.Second
	// jobsPause lets changes of the jobs gather. Hosts tell of the jobs that
	// they accept; the feed is for those that got lost on the way, and a
	// client's most urgent work bears such a wait.
	jobsPause = 60 * time.Millisecond
	// workersPause lets the workers' entries gather, each of which is written
	// anew every second or two. A draining worker is heard of so much later.
	workersPause = 200 * time.Millisecond
	// keepAlive is how often the leader writes its row when it has nothing
	// else to write. Others take over when the row does not change for twice
	// as long.
	keepAlive = 150 * time.Millisecond
	// writeEvery lets decisions gather for one write.
	writeEvery = 10 * time.Millisecond
	// decideEvery bounds how often stages are looked at; so does decideShare:
	// looks take one in so many parts of the time, however long they are, so
	// that answers and starts are not late for them. decideMost is the longest
	// pause: half of the time in which urgent work is placed on a calm day.
	decideEvery = 4 * time.Millisecond
	decideShare = 4
	decideMost  = 50 * time.Millisecond
	// tickEvery is how often time alone may change a decision.
	tickEvery = 50 * time.Millisecond
	// countAge is how old the count of waiting jobs may be: the platform allows
	// two seconds, and a feed that has nothing to tell answers each second.
	countAge = 2 * time.Second
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
	// ReadBytes is about how much may be under way from the store while all is
	// read at a take-over; 0 bounds nothing.
	ReadBytes int
	// Sched configures the decisions; its times of taking over are set here.
	Sched sched.Config
	Log   *logrus.Entry
	// Clock tells the time; nil means the system's.
	Clock *clock.Clock
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
	// writeCtx ends later than the calls; written counts the write under way.
	writeCtx context.Context //nolint:containedctx // like ctx
	written  sync.WaitGroup
	ctx      context.Context //nolint:containedctx // calls outlive the functions that order them, not the leadership

	renewers map[spoolsill.Life]*renewer
	wanted   map[spoolsill.Life]bool // used by keepRenewers, each time anew
	advising *adviser
	sweeper  *sweeper
	losses   losses
	answers  answers
	inTouch  atomic.Int64                // workers that are kept in touch with
	unclear  map[spoolsill.WorkerID]bool // entries that can't be understood
	gauges   gauges
	pace     *store.Pace
	rows     map[spoolsill.JobID][]byte

	version   spoolsill.Version // of the queues and teams
	writing   bool
	lastWrite time.Time // when the latest write that lasts was begun
	decided   time.Time
	// looking is how long the latest look at the stages took.
	looking  time.Duration
	late     time.Duration // a moving average of how late the loop is
	loadTold time.Time     // when the log last told how full the cell is
	kept     time.Time     // when the renewers were last compared with the workers
	// following is set once the progress is read, and the tables are followed by
	// feeds; loaded once all jobs are known.
	following bool
	feeds     []*store.Follower
	feedsTold time.Time // when the log last told of feeds that are old
	loaded    bool

	mu       sync.Mutex
	fresh    time.Time // like lastWrite, for the calls' goroutines
	writes   uint64    // how many last, as of fresh
	statuses map[spoolsill.JobID]sched.JobStatus
	waiting  map[sched.QueueID]int
	known    bool
	// taken is when the latest answer of the jobs' feed was asked for whose jobs the
	// loop has taken in.
	taken time.Time
	hears chan struct{} // closed when taken changes
}

// An event is what the loop takes in.
type event interface{}

type (
	configChanged struct {
		version spoolsill.Version
		queues  []sched.Queue
		teams   []sched.Team
	}
	progressLoaded struct{ rows []store.Row }
	workersListed  struct{ rows []store.Row }
	workerChanged  struct{ row store.Row }
	jobsListed     struct{ rows []store.Row }
	jobChanged     struct{ row store.Row }
	jobsHeard      struct{ sent time.Time }
	workersHeard   struct{ sent time.Time }
	heartbeatTaken struct{ heartbeat sched.Heartbeat }
	workerReplaced struct{ life spoolsill.Life }
	workerRefused  struct{ life spoolsill.Life }
	workerSilent   struct{ life spoolsill.Life }
	leaseAsked     struct {
		life  spoolsill.Life
		until time.Time
	}
	startAnswered struct{ answer sched.StartAnswer }
	stopAnswered  struct{ answer sched.StopAnswer }
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
		pace:     store.NewPace(c.ReadBytes),
		events:   make(chan event, eventBuffer),
		renewers: map[spoolsill.Life]*renewer{},
		wanted:   map[spoolsill.Life]bool{},
		unclear:  map[spoolsill.WorkerID]bool{},
		statuses: map[spoolsill.JobID]sched.JobStatus{},
		waiting:  map[sched.QueueID]int{},
		hears:    make(chan struct{}),
	}
	l.advising = newAdviser(l)
	l.sweeper = newSweeper(l)
	return l
}

// Epoch returns the epoch of the leadership.
func (l *Leader) Epoch() spoolsill.Epoch {
	return l.config.Chain.Epoch()
}

// SetConfig takes in the queues and teams of a configuration. An older one than the
// last changes nothing, in whatever order they come.
func (l *Leader) SetConfig(v spoolsill.Version, q []sched.Queue, t []sched.Team) {
	l.send(configChanged{
		version: v,
		queues:  q,
		teams:   t,
	})
}

// Tell takes in a row of the jobs table that lasts, from the host that wrote it:
// sooner than the feed, which tells of it as well.
func (l *Leader) Tell(r store.Row) {
	l.send(jobChanged{
		row: r,
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

// Settle returns the state of a job like Status, and for one that is not known
// waits until every job that was accepted before the call is. It returns false
// for sure when ctx ends before.
func (l *Leader) Settle(ctx context.Context, id spoolsill.JobID) (s sched.JobStatus, known, sure bool) {
	asked := l.config.Clock.Now()
	for {
		// In this order: what is heard of in between is known by the second look.
		heard, next := l.hearing()
		s, known = l.Status(id)
		if known || heard.After(asked) {
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
	return l.known
}

// hearing returns when the latest answer of the jobs' feed was asked for, and a
// channel that is closed with the next one.
func (l *Leader) hearing() (time.Time, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return time.Time{}, l.hears
	}
	return l.taken, l.hears
}

// Waiting returns the waiting jobs of a queue. It returns false when that is
// not known: before all jobs are loaded, and while the store keeps what other
// hosts accept from this one.
func (l *Leader) Waiting(q sched.QueueID) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[q], l.known && l.config.Clock.Since(l.taken) < countAge
}

// hearJobs takes in that all jobs accepted before a time have been read.
func (l *Leader) hearJobs(sent time.Time) {
	l.send(jobsHeard{
		sent: sent,
	})
}

// takeHeard takes in that all jobs accepted before a time are known.
func (l *Leader) takeHeard(sent time.Time) {
	if t := l.state.Told(); len(t) > 0 {
		l.publish(l.lastWrite, t)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.taken = sent
	close(l.hears)
	l.hears = make(chan struct{})
}

// Fresh returns when the latest write that lasts was begun.
func (l *Leader) Fresh() time.Time {
	t, _ := l.Latest()
	return t
}

// Latest returns when the latest write that lasts was begun, and how many writes
// of this leadership last.
func (l *Leader) Latest() (begun time.Time, writes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh, l.writes
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
	now := l.config.Clock.Now()
	l.mu.Lock()
	l.ctx = ctx
	l.fresh = now
	l.mu.Unlock()
	l.lastWrite = now
	l.config.Sched.TakenOver = now
	l.config.Sched.Ahead = l.config.Clock.SuspendedTime()
	l.config.Sched.StartLease = startLease
	l.config.Sched.InheritedLease = inheritedLease(l.config.Sched.Lease)
	l.state = sched.New(l.config.Sched)
	l.spawn(func() { l.loadProgress(ctx) })
	l.spawn(func() { l.probe(ctx) })
	return l.loop(ctx)
}

// inheritedLease is how long after a take-over a worker may still hold a lease
// that the former leader asked for: it asks for none that ends later than
// this after its last write.
func inheritedLease(lease time.Duration) time.Duration {
	return sched.LeaseEnd(time.Time{}, 2*lease).Sub(time.Time{})
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
			if l.suspended() {
				return ErrSuspended
			}
			if err := l.take(e); err != nil {
				return err
			}
		case <-tick.C:
		}
		if l.suspended() {
			return ErrSuspended
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
	now := l.config.Clock.Now()
	switch e := e.(type) {
	case configChanged:
		l.takeConfig(e)
	case progressLoaded:
		l.takeProgress(e.rows)
	case workersListed:
		l.takeWorkers(now, e.rows)
	case workerChanged:
		l.takeWorker(now, e.row)
	case jobsListed:
		l.takeJobs(now, e.rows)
	case jobChanged:
		l.takeJob(now, e.row)
	case jobsHeard:
		l.takeHeard(e.sent)
	case workersHeard:
		l.state.WorkersHeard(now, e.sent)
	case heartbeatTaken:
		l.state.Heartbeat(now, e.heartbeat)
	case workerReplaced:
		l.state.WorkerDied(now, e.life)
	case workerRefused:
		l.state.WorkerRefused(now, e.life)
	case workerSilent:
		l.state.WorkerSilent(now, e.life)
	case leaseAsked:
		l.state.LeaseAsked(e.life, e.until)
	case startAnswered:
		l.state.StartAnswered(now, e.answer)
	case stopAnswered:
		l.state.StopAnswered(now, e.answer)
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

func (l *Leader) takeConfig(e configChanged) {
	if e.version <= l.version {
		return
	}
	l.version = e.version
	l.state.SetQueues(e.queues)
	l.state.SetTeams(l.config.Clock.Now(), e.teams)
}

// act decides, and sends what may be sent.
func (l *Leader) act(ctx context.Context) error {
	now := l.config.Clock.Now()
	l.decide(now)
	if t := l.state.Told(); len(t) > 0 {
		l.publish(l.lastWrite, t)
	}
	for _, o := range l.state.Stops() {
		l.sendStop(ctx, o)
	}
	for _, o := range l.state.Starts() {
		l.sendStart(o)
	}
	for _, o := range l.state.Advices() {
		l.advising.add(o)
	}
	l.advising.dispatch(ctx)
	l.sweeper.sweep(ctx, now)
	if l.loaded {
		// Not before: an end of a job that is not known yet would be lost.
		l.keepRenewers(ctx, now)
	}
	l.logNotes()
	l.logLoad(now)
	l.logFeeds(now)
	return l.write(ctx, now)
}

// decide looks at the stages that wait, unless it did so just now.
func (l *Leader) decide(now time.Time) {
	pause := min(max(decideShare*l.looking, decideEvery), decideMost)
	if !l.loaded || now.Sub(l.decided) < pause {
		return
	}
	l.decided = now
	l.state.Decide(now)
	l.gauges.setSuspects(l.state.Suspects())
	l.looking = l.config.Clock.Since(now)
}

// Lead runs l and gives the leadership up when ctx ends as planned, within the
// given time.
func (l *Leader) Lead(ctx context.Context, release time.Duration) error {
	writes, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l.writeCtx = writes
	err := l.run(ctx)
	end := time.AfterFunc(release, cancel)
	defer end.Stop()
	l.written.Wait()
	switch {
	case errors.Is(err, ErrOverloaded), errors.Is(err, ErrYielded):
		return errors.Join(err, l.config.Chain.Release(writes))
	case errors.Is(err, ErrDeposed), ctx.Err() == nil:
		return err
	default:
		return l.config.Chain.Release(writes)
	}
}
