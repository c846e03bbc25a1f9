package cellfake

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// crashThreshold is the number of workers that a task crashes before its starts are
	// counted. The counted start with the number firstForbiddenStart is a violation.
	crashThreshold      = 3
	firstForbiddenStart = 3
)

// crashTracker counts how often tasks that crash their workers are started.
type crashTracker struct {
	crashCounts map[sched.TaskID]int // number of workers that each task has crashed
	startCounts map[sched.TaskID]int // number of starts of each task after crashThreshold crashes
}

// recordStart records a start, and reports whether it is the first forbidden one.
func (c *crashTracker) recordStart(t sched.TaskID) bool {
	if c.crashCounts[t] < crashThreshold {
		return false
	}
	c.startCounts[t]++
	return c.startCounts[t] == firstForbiddenStart
}

// CrashCount returns how many workers a task has crashed.
func (f *Workers) CrashCount(t sched.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashTracker.crashCounts[t]
}

// Crash ends a worker's incarnation without notice and returns the runs that are lost with
// it. Nothing answers at its address until [Workers.Replace] or [Workers.Restart].
func (f *Workers) Crash(id spoolsill.WorkerID) []sched.RunID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash(f.workers[id])
}

// crash ends a worker's incarnation and returns the runs that are lost with it. The caller
// holds f.mu.
func (f *Workers) crash(w *worker) []sched.RunID {
	lost := slices.Collect(maps.Keys(w.running))
	w.crashed = true
	clear(w.running)
	w.ended = nil
	return lost
}

// Replace adds a worker with a new id that takes over the address of a crashed one.
// Calls for the old id are then answered with [leader.OtherIncarnation].
func (f *Workers) Replace(id, next spoolsill.WorkerID) {
	f.Add(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].replaced = true
}

// Restart starts a new incarnation of a worker under the same id and address, and crashes
// the current one if that still runs. The new one starts without state: its sequence numbers
// and its clock start over. Delayed orders for the former incarnation may reach it.
func (f *Workers) Restart(id spoolsill.WorkerID) spoolsill.WorkerIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.workers[id]
	f.crash(former) // it may run, for instance if it was restarted since its last crash
	w := newWorker(id, 0)
	w.born = max(w.born, former.born+1)
	w.capacity = former.capacity
	f.workers[id] = w
	return w.incarnation()
}

// CurrentIncarnation returns the latest incarnation of a worker.
func (f *Workers) CurrentIncarnation(id spoolsill.WorkerID) spoolsill.WorkerIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].incarnation()
}

// scheduleCrash schedules the crash of w if CrashAfter says that r crashes its worker.
func (f *Workers) scheduleCrash(w *worker, r sched.RunID) {
	if f.CrashAfter == nil {
		return
	}
	delay, crashes := f.CrashAfter(r)
	if !crashes {
		return
	}
	time.AfterFunc(delay, func() {
		f.mu.Lock()
		var lost []sched.RunID
		if _, runs := w.running[r]; runs {
			f.crashTracker.crashCounts[r.Task]++
			lost = f.crash(w)
		}
		f.mu.Unlock()
		if len(lost) > 0 && f.OnCrash != nil {
			f.OnCrash(w.id, lost)
		}
	})
}

// checkStartAfterCrashes records a violation if a task that crashes its workers is started
// too often.
func (f *Workers) checkStartAfterCrashes(w *worker, r sched.RunID) {
	if f.crashTracker.recordStart(r.Task) {
		f.violations = append(f.violations, fmt.Sprintf("%s#%d started at %s, the third start after it had crashed %d workers", r.Task, r.Number, w.id, crashThreshold))
	}
}

// otherIncarnationReply is the answer at the address of a worker that was replaced.
func otherIncarnationReply() leader.Reply {
	return leader.Reply{
		Kind: leader.OtherIncarnation,
		Err:  errors.New("cellfake: the address answers for another worker"),
	}
}
