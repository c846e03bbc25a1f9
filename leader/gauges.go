package leader

import "sync/atomic"

// gauges are figures that the loop sets and metrics read.
type gauges struct {
	suspects atomic.Int64 // tasks under which workers went
	crashed  atomic.Int64 // machines whose workers crashed in the last minute
	unclear  atomic.Int64 // workers' entries that can't be understood
}

func (g *gauges) setSuspects(tasks, crashed int) {
	g.suspects.Store(int64(tasks))
	g.crashed.Store(int64(crashed))
}

// Suspects returns how many tasks are suspected of crashing their workers, and on how
// many machines workers crashed in the last minute.
func (l *Leader) Suspects() (tasks, crashed int64) {
	return l.gauges.suspects.Load(), l.gauges.crashed.Load()
}

// InvalidWorkerEntries returns how many workers' entries can't be understood.
func (l *Leader) InvalidWorkerEntries() int64 {
	return l.gauges.unclear.Load()
}
