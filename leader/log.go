package leader

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// logInterval is how often the load of the cell and stale feeds are logged.
const logInterval = 2 * time.Second

// logLoad logs the load of the cell at intervals.
func (l *Leader) logLoad(now time.Time) {
	if !l.loaded || now.Sub(l.loadLogged) < logInterval {
		return
	}
	l.loadLogged = now
	load := l.state.Load()
	shares := l.state.ShareLoad()
	l.gauges.setShares(shares)
	use := l.state.AdviceUse()
	l.config.Log.WithFields(logrus.Fields{
		"epoch":            uint64(l.Epoch()),
		"workers":          load.Workers,
		"ready":            load.Ready,
		"avoided":          load.Avoided,
		"cores":            int64(load.Capacity.Processors / spoolsill.Core),
		"cores_used":       int64(load.Used.Processors / spoolsill.Core),
		"runs":             load.Runs,
		"runs_in_doubt":    load.Doubtful,
		"stages_wait":      load.Stages,
		"stages_late":      load.Late,
		"wait_advice":      load.WaitAdvice,
		"wait_unasked":     load.Unasked,
		"wait_room":        load.WaitRoom,
		"wait_quota":       load.WaitQuota,
		"over_share":       shares.Jobs,
		"teams_over":       shares.Teams,
		"team_most":        string(shares.Largest),
		"unseatable":       load.Unseatable,
		"reserved":         load.Reserved,
		"questions":        load.Asking,
		"questions_max":    load.MaxAsking,
		"advice_short":     load.AdviceShort,
		"not_asked":        load.NoPlace,
		"not_worth":        load.NoRoom,
		"advice_used_ms":   use.Time.Milliseconds(),
		"advice_lost":      use.Lost,
		"advice_starts":    use.Starts,
		"advice_reserved":  l.advice.reserved,
		"at_hosts":         l.advice.atHosts(),
		"underway_ms":      l.advice.overhead.Milliseconds(),
		"advisor_ms":       l.advice.averageCost.Milliseconds(),
		"writes":           l.written.batches,
		"rows":             l.written.rows,
		"row_bytes":        l.written.bytes,
		"suspects":         load.Suspects,
		"crashed":          load.Crashed,
		"backlog_ms":       load.Backlog.Milliseconds(),
		"strain":           math.Round(100*load.Strain) / 100,
		"overloaded":       load.Groups,
		"forecast_miss_ms": load.ForecastError.Milliseconds(),
		"answers_ms":       l.ResponseLatency().Milliseconds(),
	}).Info("load of the cell")
	l.written = writtenRows{}
	l.logLongestWait(now)
}

// writtenRows counts the batches with rows of progress that have been sent to the store since the
// load of the cell was last logged.
type writtenRows struct {
	batches, rows, bytes int
}

func (w *writtenRows) add(b sched.Batch) {
	if len(b.Rows) == 0 {
		return
	}
	w.batches++
	w.rows += len(b.Rows)
	for _, r := range b.Rows {
		w.bytes += len(r.Value)
	}
}

// longWaitThreshold is the waiting time from which the log gives the reason why a stage is not
// placed: far longer than stages wait for capacity under normal load.
const longWaitThreshold = 10 * time.Second

// logLongestWait logs why the stage that has waited longest is not placed.
func (l *Leader) logLongestWait(now time.Time) {
	w, ok := l.state.LongestWait(now)
	if !ok || w.Waited < longWaitThreshold {
		return
	}
	l.config.Log.WithFields(logrus.Fields{
		"epoch":           uint64(l.Epoch()),
		"job":             string(w.Stage.Job),
		"stage":           w.Stage.String(),
		"waited_ms":       w.Waited.Milliseconds(),
		"waits_for":       w.For,
		"over_share":      l.state.OverShare(w.Stage.Job),
		"workers_usable":  w.Usable,
		"workers_ready":   w.Ready,
		"workers_fitting": w.Fitting,
		"workers_kept":    w.Kept,
		"workers_asked":   w.Asked,
		"questions":       w.Questions,
	}).Warn("stage waits long")
}

// staleFeedAge is the age of a feed's data from which the feed is logged as stale: two
// missing responses in a row, of a store that is polled every second.
const staleFeedAge = 5 * time.Second

// logFeeds logs stale feeds at intervals. Decisions are based on their data, and a feed that
// hangs reports no error.
func (l *Leader) logFeeds(now time.Time) {
	if now.Sub(l.feedsLogged) < logInterval {
		return
	}
	l.feedsLogged = now
	for _, f := range l.feeds {
		age := f.Age(now)
		if age < staleFeedAge {
			continue
		}
		l.config.Log.WithFields(logrus.Fields{
			"epoch":  uint64(l.Epoch()),
			"table":  f.Table,
			"age_ms": age.Milliseconds(),
		}).Warn("feed is old")
	}
}

func (l *Leader) logNotes() {
	for _, n := range l.state.Notes() {
		l.config.Observer.RecordEvent(n)
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
		if n.Gone > 0 {
			f["workers_gone"] = n.Gone
		}
		if a := n.Account; a != nil {
			f["objective_ms"] = a.Objective.Milliseconds()
			f["forecast_ms"] = a.Forecast.Milliseconds()
			f["waited_advice_ms"] = a.Advice.Milliseconds()
			f["waited_room_ms"] = a.Room.Milliseconds()
			f["waited_quota_ms"] = a.Quota.Milliseconds()
			f["waited_share_ms"] = a.Share.Milliseconds()
			f["runs_failed"] = a.Failed
			f["runs_lost"] = a.Lost
		}
		l.config.Log.WithFields(f).Info(string(n.Kind))
	}
}
