package leader

import "sync/atomic"

// gauges are values that the loop sets and that metrics read concurrently.
type gauges struct {
	suspects        atomic.Int64 // tasks suspected of crashing their workers
	crashedMachines atomic.Int64 // machines whose workers crashed in the last minute
	invalidEntries  atomic.Int64 // worker entries that can't be decoded
}

func (g *gauges) setSuspects(tasks, crashed int) {
	g.suspects.Store(int64(tasks))
	g.crashedMachines.Store(int64(crashed))
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
