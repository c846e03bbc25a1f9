package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// loadProgress reads the progress of all jobs, until it succeeds. Nobody else
// writes it meanwhile, or the leadership is over. The loop goes on beside it and
// keeps the leader's row changing: others would else take over from each leader
// that needs longer to read than they wait, and none would come to its end.
func (l *Leader) loadProgress(ctx context.Context) {
	list := store.PartitionReader{
		Store:     l.config.Store,
		Table:     jobstore.ProgressTable,
		Partition: jobstore.CellPartition,
		Pace:      l.pace,
	}
	delay := tryPause
	for ctx.Err() == nil {
		rows, _, err := list.ReadAll(ctx)
		if err == nil {
			l.send(progressLoaded{
				rows: rows,
			})
			return
		}
		if ctx.Err() != nil {
			return
		}
		l.config.Log.WithError(err).Warn("load progress")
		pause.For(ctx, delay)
		delay = min(2*delay, pauseMost)
	}
}

// takeProgress takes in the progress of all jobs, and has the jobs read.
func (l *Leader) takeProgress(rows []store.Row) {
	l.rows = make(map[spoolsill.JobID][]byte, len(rows))
	for _, r := range rows {
		l.rows[spoolsill.JobID(r.Key.Name)] = r.Value
	}
	l.following = true
	l.follow(l.ctx)
}

func (l *Leader) takeWorkers(now time.Time, rows []store.Row) {
	listed := map[spoolsill.WorkerID]bool{}
	for _, r := range rows {
		listed[spoolsill.WorkerID(r.Key.Name)] = true
	}
	for _, id := range l.state.ListedWorkers() {
		if !listed[id] {
			l.state.WorkerUnlisted(now, id)
		}
	}
	for id := range l.unclear {
		if !listed[id] {
			l.markUnclear(id, nil)
		}
	}
	for _, r := range rows {
		l.takeWorker(now, r)
	}
}

func (l *Leader) takeWorker(now time.Time, r store.Row) {
	id := spoolsill.WorkerID(r.Key.Name)
	if r.Deleted {
		l.markUnclear(id, nil)
		l.state.WorkerUnlisted(now, id)
		return
	}
	w, err := l.config.DecodeWorker(r)
	l.markUnclear(id, err)
	if err != nil {
		l.state.WorkerEntryInvalid(now, id)
		return
	}
	l.state.WorkerListed(now, w)
}

// markUnclear keeps count of the entries that can't be understood, and tells of each of
// them once: a worker's entry is written anew every second or two.
func (l *Leader) markUnclear(id spoolsill.WorkerID, err error) {
	if err == nil {
		delete(l.unclear, id)
	} else if !l.unclear[id] {
		l.unclear[id] = true
		l.config.Log.WithError(err).WithField("worker", string(id)).Warn("worker's entry can't be understood")
	}
	l.gauges.unclear.Store(int64(len(l.unclear)))
}

func (l *Leader) takeJobs(now time.Time, rows []store.Row) {
	// Of two rows of one job the older one counts.
	slices.SortStableFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range rows {
		if _, ok := jobstore.CancelledJob(r.Key.Name); !ok {
			l.takeJob(now, r)
		}
	}
	for _, r := range rows {
		if _, ok := jobstore.CancelledJob(r.Key.Name); ok {
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
	l.state.AddEndedJob(now, id, p)
}

// takeJob takes in a row of the jobs table: a job or the mark of a cancelled
// one. Before the progress is read it takes in nothing: a job that has begun
// would begin anew, and the listing will tell of it.
func (l *Leader) takeJob(now time.Time, r store.Row) {
	if r.Deleted || !l.following {
		return
	}
	if id, ok := jobstore.CancelledJob(r.Key.Name); ok {
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

// endLasts reports whether the end of a job that has ended is in the store: what
// was read came from there, and what was published was written. A job may also
// have ended since it was told of, before all jobs are known.
func (l *Leader) endLasts(id spoolsill.JobID) bool {
	if !l.loaded {
		p, err := sched.DecodeProgress(l.rows[id])
		return err == nil && p.State.Final()
	}
	s, _ := l.Status(id)
	return s.State.Final()
}

func (l *Leader) follow(ctx context.Context) {
	l.feeds = []*store.Watcher{
		{
			Store: l.config.Store,
			Table: jobstore.JobsTable,
			Wait:  followWait,
			Listed: func(rows []store.Row) {
				l.send(jobsListed{
					rows: rows,
				})
			},
			Changed: func(r store.Row) {
				l.send(jobChanged{
					row: r,
				})
			},
			Pause:  jobsPause,
			Synced: l.hearJobs,
			Failed: l.reportFeed(jobstore.JobsTable),
		},
		{
			Store: l.config.Store,
			Table: l.config.WorkersTable,
			Wait:  followWait,
			Pause: workersPause,
			Listed: func(rows []store.Row) {
				l.send(workersListed{
					rows: rows,
				})
			},
			Changed: func(r store.Row) {
				l.send(workerChanged{
					row: r,
				})
			},
			Synced: func(sent time.Time) {
				l.send(workersHeard{
					sent: sent,
				})
			},
			Failed: l.reportFeed("workers"),
		},
	}
	for _, f := range l.feeds {
		f.Clock = l.config.Clock
		f.Pace = l.pace
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
