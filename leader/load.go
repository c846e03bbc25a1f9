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

// loadProgress reads the progress of all jobs and retries until it succeeds. No other host can
// write progress meanwhile without ending this leadership. The event loop runs concurrently and
// keeps updating the leader row: otherwise other hosts would take over from every leader that
// loads for longer than their timeout, and no leader would ever finish.
func (l *Leader) loadProgress(ctx context.Context) {
	reader := store.PartitionReader{
		Store:     l.config.Store,
		Table:     jobstore.ProgressTable,
		Partition: jobstore.CellPartition,
		Pace:      l.readLimiter,
	}
	delay := retryDelay
	for ctx.Err() == nil {
		rows, _, err := reader.ReadAll(ctx)
		if err == nil {
			l.send(progressLoaded{
				rows: rows,
			})
			return
		}
		if ctx.Err() != nil {
			return
		}
		l.config.Log.WithError(err).Warn("reading the progress of jobs failed; retrying")
		pause.For(ctx, delay)
		delay = min(2*delay, maxRetryDelay)
	}
}

// handleProgress records the progress of all jobs and starts the feeds, which read the jobs.
func (l *Leader) handleProgress(rows []store.Row) {
	l.progressRows = make(map[spoolsill.JobID][]byte, len(rows))
	for _, r := range rows {
		l.progressRows[spoolsill.JobID(r.Key.Name)] = r.Value
	}
	l.feedsStarted = true
	l.startFeeds(l.ctx)
}

func (l *Leader) handleWorkerList(now time.Time, rows []store.Row) {
	rows = slices.DeleteFunc(rows, func(r store.Row) bool { return !isWorkerEntry(r) })
	listed := map[spoolsill.WorkerID]bool{}
	for _, r := range rows {
		listed[spoolsill.WorkerID(r.Key.Name)] = true
	}
	for _, id := range l.state.ListedWorkers() {
		if !listed[id] {
			l.state.WorkerUnlisted(now, id)
		}
	}
	for id := range l.invalidEntries {
		if !listed[id] {
			l.setEntryError(id, nil)
		}
	}
	for _, r := range rows {
		l.handleWorkerRow(now, r)
	}
	l.config.Log.WithField("epoch", uint64(l.Epoch())).WithField("workers", len(rows)).Info("workers listed")
}

// isWorkerEntry reports whether a row of the workers table can be an entry. Those of workers have
// no partition: a row of another writer in one must not be taken for the entry of the worker with
// the same id.
func isWorkerEntry(r store.Row) bool {
	return r.Key.Partition == ""
}

func (l *Leader) handleWorkerRow(now time.Time, r store.Row) {
	if !isWorkerEntry(r) {
		return
	}
	id := spoolsill.WorkerID(r.Key.Name)
	if r.Deleted {
		l.setEntryError(id, nil)
		l.state.WorkerUnlisted(now, id)
		return
	}
	w, err := l.config.DecodeWorker(r)
	l.setEntryError(id, err)
	if err != nil {
		l.state.WorkerEntryInvalid(now, id)
		return
	}
	l.state.WorkerListed(now, w)
}

// setEntryError tracks whether the entry of a worker can be decoded. Each failure is logged
// once, since a worker rewrites its entry every second or two.
func (l *Leader) setEntryError(id spoolsill.WorkerID, err error) {
	if err == nil {
		delete(l.invalidEntries, id)
	} else if !l.invalidEntries[id] {
		l.invalidEntries[id] = true
		l.config.Log.WithError(err).WithField("worker", string(id)).Warn("worker's entry can't be understood")
	}
	l.gauges.invalidEntries.Store(int64(len(l.invalidEntries)))
}

func (l *Leader) handleJobList(now time.Time, rows []store.Row) {
	// If a job has two rows, the older one takes effect.
	slices.SortStableFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range rows {
		if _, ok := jobstore.CancelledJob(r.Key.Name); !ok {
			l.handleJobRow(now, r)
		}
	}
	for _, r := range rows {
		if _, ok := jobstore.CancelledJob(r.Key.Name); ok {
			l.handleJobRow(now, r)
		}
	}
	if l.loaded {
		return
	}
	l.loaded = true
	for id, v := range l.progressRows {
		l.restoreEnded(now, id, v)
	}
	l.progressRows = nil
	took := now.Sub(l.config.Sched.TakenOver)
	l.config.Observer.RecordTakeover(took)
	l.config.Log.WithField("jobs", len(l.state.Jobs())).WithField("took_ms", took.Milliseconds()).Info("jobs loaded")
	// All states follow from rows in the store. Not yet written is the end of a job that a
	// cancellation row has just ended.
	l.publish(l.lastWrite, l.state.Jobs())
}

// restoreEnded restores an ended job, of which only the progress is left.
func (l *Leader) restoreEnded(now time.Time, id spoolsill.JobID, v []byte) {
	if _, ok := l.state.Job(id); ok {
		return
	}
	p, err := sched.DecodeProgress(v)
	if err != nil || !p.State.Final() {
		l.config.Log.WithError(err).WithField("job", string(id)).WithField("state", p.State.String()).Error("progress row without a job row")
		return
	}
	l.state.AddEndedJob(now, id, p)
}

// handleJobRow handles a row of the jobs table: a job or a cancellation. It ignores rows that
// arrive before the progress is read, since a job with progress would start from the beginning.
// Such rows are part of the listing that follows.
func (l *Leader) handleJobRow(now time.Time, r store.Row) {
	if r.Deleted || !l.feedsStarted {
		return
	}
	if id, ok := jobstore.CancelledJob(r.Key.Name); ok {
		l.sweeper.addKey(id, r.Key)
		l.state.CancelJob(now, id)
		l.sweepIfEnded(id)
		return
	}
	id := spoolsill.JobID(r.Key.Name)
	l.sweeper.addKey(id, r.Key)
	if _, ok := l.state.Job(id); ok {
		l.sweepIfEnded(id)
		return
	}
	j, err := jobstore.DecodeJob(r.Value)
	if err != nil {
		l.config.Log.WithError(err).WithField("job", r.Key.Name).Error("job row can't be decoded")
		return
	}
	var p sched.Progress
	if v, ok := l.progressRows[j.ID]; ok {
		p, err = sched.DecodeProgress(v)
		if err != nil {
			l.config.Log.WithError(err).WithField("job", r.Key.Name).Error("progress row can't be decoded")
			return
		}
	}
	l.state.AddJob(now, j, p)
	l.sweepIfEnded(id)
}

// sweepIfEnded enqueues the rows of a job for deletion if its end is stored. Such rows are left
// over if a client submitted the job again after its end, or if a former leader did not delete
// them.
func (l *Leader) sweepIfEnded(id spoolsill.JobID) {
	if l.state.Settled(id) && l.isEndStored(id) {
		l.sweeper.enqueue([]spoolsill.JobID{id})
	}
}

// isEndStored reports whether the end of an ended job is in the store. Before all jobs are loaded,
// only a progress row that was read proves it: a job that a host notified the leader of may have
// ended in memory only. After that, it goes by the published status. An end is published once it is
// written, except for jobs that a cancellation row ended while they were loaded.
func (l *Leader) isEndStored(id spoolsill.JobID) bool {
	if !l.loaded {
		p, err := sched.DecodeProgress(l.progressRows[id])
		return err == nil && p.State.Final()
	}
	s, _ := l.Status(id)
	return s.State.Final()
}

func (l *Leader) startFeeds(ctx context.Context) {
	l.feeds = []*store.Watcher{
		{
			Store: l.config.Store,
			Table: jobstore.JobsTable,
			Wait:  feedWait,
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
			Pause:  jobsFeedDelay,
			Synced: l.notifyJobsSynced,
			Failed: l.feedLogger(jobstore.JobsTable),
		},
		{
			Store: l.config.Store,
			Table: l.config.WorkersTable,
			Wait:  feedWait,
			Pause: workersFeedDelay,
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
				l.send(workersSynced{
					sent: sent,
				})
			},
			Failed: l.feedLogger("workers"),
		},
	}
	for _, f := range l.feeds {
		f.Clock = l.config.Clock
		f.Pace = l.readLimiter
		l.spawn(func() { f.Run(ctx) })
	}
}

func (l *Leader) feedLogger(table string) func(error) {
	return func(err error) {
		log := l.config.Log.WithField("table", table)
		if err != nil {
			log.WithError(err).Warn("feed lost")
			return
		}
		log.Info("feed regained")
	}
}
