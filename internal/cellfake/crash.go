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
	// freeCrashes is how many workers a task may crash before its further starts are
	// counted; the counted start with the number forbiddenStart is a violation.
	freeCrashes    = 3
	forbiddenStart = 3
)

// crashTracker counts how often tasks that crash their workers are started.
type crashTracker struct {
	crashed map[sched.TaskID]int // workers that each task has crashed
	starts  map[sched.TaskID]int // starts of each task after freeCrashes
}

// recordStart records a start, and reports whether it is a violation.
func (c *crashTracker) recordStart(t sched.TaskID) bool {
	if c.crashed[t] < freeCrashes {
		return false
	}
	c.starts[t]++
	return c.starts[t] == forbiddenStart
}

// CrashCount returns how many workers a task has crashed.
func (f *Workers) CrashCount(t sched.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashTracker.crashed[t]
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
// the current one if that still runs. The new one has no state of the former: its sequence
// numbers and its clock start over. Delayed orders for the former incarnation reach it.
func (f *Workers) Restart(id spoolsill.WorkerID) spoolsill.WorkerIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.workers[id]
	f.crash(former) // may have been restarted since its crash
	w := newWorker(id, 0)
	w.born = max(w.born, former.born+1)
	w.capacity = former.capacity
	f.workers[id] = w
	return w.life()
}

// CurrentLife returns the latest incarnation of a worker.
func (f *Workers) CurrentLife(id spoolsill.WorkerID) spoolsill.WorkerIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].life()
}

// scheduleCrash schedules the crash of w if r is to crash its worker.
func (f *Workers) scheduleCrash(w *worker, r sched.RunID) {
	if f.CrashAfter == nil {
		return
	}
	after, crashes := f.CrashAfter(r)
	if !crashes {
		return
	}
	time.AfterFunc(after, func() {
		f.mu.Lock()
		var lost []sched.RunID
		if _, runs := w.running[r]; runs {
			f.crashTracker.crashed[r.Task]++
			lost = f.crash(w)
		}
		f.mu.Unlock()
		if len(lost) > 0 && f.OnCrash != nil {
			f.OnCrash(w.id, lost)
		}
	})
}

// checkCrashStarts records a violation if r is one start too many of a task that crashes
// its workers.
func (f *Workers) checkCrashStarts(w *worker, r sched.RunID) {
	if f.crashTracker.recordStart(r.Task) {
		f.violations = append(f.violations, fmt.Sprintf("%s#%d started at %s, the third start after %d workers had crashed under it", r.Task, r.Number, w.id, freeCrashes))
	}
}

// otherLifeReply is the answer at the address of a worker that was replaced.
func otherLifeReply() leader.Reply {
	return leader.Reply{
		Kind: leader.OtherIncarnation,
		Err:  errors.New("cellfake: the address answers for another worker"),
	}
}
