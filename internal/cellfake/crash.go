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
	// crashesBorne is how many workers may crash under a task before its starts
	// are counted, startsAfter which of these starts breaks the promise.
	crashesBorne = 3
	startsAfter  = 3
)

// crashes judges how often tasks that crash their workers are started.
type crashes struct {
	of    map[sched.TaskID]int // workers that crashed under a task
	after map[sched.TaskID]int // its starts after the last one that is borne
}

// begin takes in a start, and reports whether it breaks the promise.
func (c *crashes) begin(t sched.TaskID) bool {
	if c.of[t] < crashesBorne {
		return false
	}
	c.after[t]++
	return c.after[t] == startsAfter
}

// CrashesOf returns how many workers have crashed under a task.
func (f *Workers) CrashesOf(t sched.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes.of[t]
}

// Crash ends a worker's life without a word: what it runs is gone with it, which it
// returns, and nobody answers at its address until [Workers.Replace] or [Workers.Restart].
func (f *Workers) Crash(id spoolsill.WorkerID) []sched.RunID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crash(f.workers[id])
}

// crash ends a worker's life, and returns the runs that are lost with it.
func (f *Workers) crash(w *worker) []sched.RunID {
	lost := slices.Collect(maps.Keys(w.running))
	w.gone = true
	clear(w.running)
	w.ended = nil
	return lost
}

// Replace has the address of a worker that crashed answer for its machine's next
// life, which has an id of its own.
func (f *Workers) Replace(id, next spoolsill.WorkerID) {
	f.Add(next)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].replaced = true
}

// Restart has a worker that crashed start again under its id, at its address. It knows
// nothing of before; its counts and its clock start anew. Orders for the former life that
// are still on their way reach it.
func (f *Workers) Restart(id spoolsill.WorkerID) spoolsill.WorkerIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.workers[id]
	f.crash(former) // it may have started again since it crashed
	w := newWorker(id, 0)
	w.born = max(w.born, former.born+1)
	w.room = former.room
	f.workers[id] = w
	return w.life()
}

// LifeOf returns the life of a worker that is its latest.
func (f *Workers) LifeOf(id spoolsill.WorkerID) spoolsill.WorkerIncarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[id].life()
}

// crashLater has a run that crashes its worker do so.
func (f *Workers) crashLater(w *worker, r sched.RunID) {
	if f.Crashes == nil {
		return
	}
	after, crashes := f.Crashes(r)
	if !crashes {
		return
	}
	time.AfterFunc(after, func() {
		f.mu.Lock()
		var lost []sched.RunID
		if _, runs := w.running[r]; runs {
			f.crashes.of[r.Task]++
			lost = f.crash(w)
		}
		f.mu.Unlock()
		if len(lost) > 0 && f.Crashed != nil {
			f.Crashed(w.id, lost)
		}
	})
}

// judgeRepeats takes in a start of a task that may crash its workers.
func (f *Workers) judgeRepeats(w *worker, r sched.RunID) {
	if f.crashes.begin(r.Task) {
		f.broken = append(f.broken, fmt.Sprintf("%s#%d started at %s, the third start after %d workers had crashed under it", r.Task, r.Number, w.id, crashesBorne))
	}
}

// otherLife is what the address of a worker that was replaced answers.
func otherLife() leader.Reply {
	return leader.Reply{
		Kind: leader.OtherIncarnation,
		Err:  errors.New("cellfake: the address answers for another life"),
	}
}
