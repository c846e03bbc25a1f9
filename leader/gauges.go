package leader

import (
	"sync/atomic"

	"github.com/spoolsill/spoolsill/sched"
)

// gauges are values that the loop sets and that metrics read concurrently.
type gauges struct {
	suspects        atomic.Int64 // tasks suspected of crashing their workers
	crashedMachines atomic.Int64 // machines whose workers crashed in the last minute
	invalidEntries  atomic.Int64 // worker entries that can't be decoded
	jobsOverShare   atomic.Int64 // jobs with stages to place that exceed the share of their team
	teamsOverShare  atomic.Int64 // the teams of these jobs
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

// InvalidWorkerEntries returns the number of worker entries that can't be decoded.
func (l *Leader) InvalidWorkerEntries() int64 {
	return l.gauges.invalidEntries.Load()
}
