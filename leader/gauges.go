package leader

import (
	"sync/atomic"
	"time"

	"github.com/spoolsill/spoolsill/sched"
)

// gauges are values that the loop sets and that metrics read concurrently.
type gauges struct {
	suspects        atomic.Int64 // tasks suspected of crashing their workers
	crashedMachines atomic.Int64 // machines whose workers crashed in the last minute
	invalidEntries  atomic.Int64 // worker entries that can't be decoded
	jobsOverShare   atomic.Int64 // jobs with stages to place that exceed the share of their team
	teamsOverShare  atomic.Int64 // the teams of these jobs
	overloaded      atomic.Int64 // groups of jobs that can't all be in time
	backlog         atomic.Int64 // nanoseconds that the cell takes for the accepted work
	forecastError   atomic.Int64 // in nanoseconds
}

func (g *gauges) setSuspects(tasks, crashed int) {
	g.suspects.Store(int64(tasks))
	g.crashedMachines.Store(int64(crashed))
}

func (g *gauges) setShares(l sched.ShareLoad) {
	g.jobsOverShare.Store(int64(l.Jobs))
	g.teamsOverShare.Store(int64(l.Teams))
}

// OverShare returns how many waiting jobs exceed the share of their team, and the number of
// these teams, as of the last time that the load of the cell was logged.
func (l *Leader) OverShare() (jobs, teams int64) {
	return l.gauges.jobsOverShare.Load(), l.gauges.teamsOverShare.Load()
}

// Suspects returns the number of tasks suspected of crashing their workers, and the number
// of machines whose workers crashed in the last minute.
func (l *Leader) Suspects() (tasks, crashed int64) {
	return l.gauges.suspects.Load(), l.gauges.crashedMachines.Load()
}

func (g *gauges) setOverload(o sched.Overload) {
	g.overloaded.Store(int64(o.Groups))
	g.backlog.Store(int64(o.Backlog))
	g.forecastError.Store(int64(o.ForecastError))
}

// Overload returns the load of the cell compared with what it can do in time.
func (l *Leader) Overload() sched.Overload {
	return sched.Overload{
		Groups:        int(l.gauges.overloaded.Load()),
		Backlog:       time.Duration(l.gauges.backlog.Load()),
		ForecastError: time.Duration(l.gauges.forecastError.Load()),
	}
}

// InvalidWorkerEntries returns the number of worker entries that can't be decoded.
func (l *Leader) InvalidWorkerEntries() int64 {
	return l.gauges.invalidEntries.Load()
}
