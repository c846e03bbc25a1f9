package standin

import (
	"fmt"
	"sort"
	"sync"

	"github.com/spoolsill/spoolsill"
)

// Promise names one line of what must always hold.
type Promise string

// The promises that the stand-ins can check.
const (
	Capacity    Promise = "capacity"     // no worker is given more than it has
	OnePlace    Promise = "one-place"    // no task runs in two places at once
	WholeAnswer Promise = "whole-answer" // a caller gets the whole answer to its own request
	TrueNotRun  Promise = "not-run"      // what is called not run did not run
	AtMostOnce  Promise = "at-most-once" // an unrepeatable request runs at most once
	Leaving     Promise = "leaving"      // a leaving upstream gets no new work after seconds
	PlannedStop Promise = "planned-stop" // a planned stop cuts off nothing
	ConfigOnly  Promise = "config"       // an accepted configuration never reverts
	SlotLimit   Promise = "slot-limit"   // no runner gets more than its slots
	NothingLost Promise = "nothing-lost" // what was confirmed is not forgotten
)

// Promises returns all promises, in order.
func Promises() []Promise {
	return []Promise{Capacity, OnePlace, WholeAnswer, TrueNotRun, AtMostOnce, Leaving, PlannedStop, ConfigOnly, SlotLimit, NothingLost}
}

// Truth collects what really happened and which promises it broke. It is safe
// for concurrent use; the zero value is usable.
type Truth struct {
	mu     sync.Mutex
	runs   map[spoolsill.RequestKey]int
	places map[string]map[spoolsill.WorkerID]int
	broken map[Promise][]string
}

// Break records that a promise was broken.
func (t *Truth) Break(p Promise, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breakLocked(p, format, args...)
}

func (t *Truth) breakLocked(p Promise, format string, args ...any) {
	if t.broken == nil {
		t.broken = map[Promise][]string{}
	}
	t.broken[p] = append(t.broken[p], fmt.Sprintf(format, args...))
}

// Ran records that a runner began a request.
func (t *Truth) Ran(k spoolsill.RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = map[spoolsill.RequestKey]int{}
	}
	t.runs[k]++
}

// Runs returns how often a request was begun.
func (t *Truth) Runs(k spoolsill.RequestKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[k]
}

// TaskBegan records that a task began on a worker.
func (t *Truth) TaskBegan(id spoolsill.TaskID, w spoolsill.WorkerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.places == nil {
		t.places = map[string]map[spoolsill.WorkerID]int{}
	}
	at := t.places[id.String()]
	if at == nil {
		at = map[spoolsill.WorkerID]int{}
		t.places[id.String()] = at
	}
	at[w]++
	n := 0
	for _, k := range at {
		n += k
	}
	if n > 1 {
		t.breakLocked(OnePlace, "task %s runs in %d places, now also on %s", id, n, w)
	}
}

// TaskEnded records that a task ended on a worker.
func (t *Truth) TaskEnded(id spoolsill.TaskID, w spoolsill.WorkerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.places[id.String()]
	at[w]--
	if at[w] <= 0 {
		delete(at, w)
	}
}

// Broken returns how often each promise was broken, and the first few cases
// in words.
func (t *Truth) Broken() (counts map[Promise]int, cases []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts = map[Promise]int{}
	for _, p := range Promises() {
		counts[p] = len(t.broken[p])
		for i, c := range t.broken[p] {
			if i < 3 {
				cases = append(cases, string(p)+": "+c)
			}
		}
	}
	sort.Strings(cases)
	return counts, cases
}

// Total returns how often any promise was broken.
func (t *Truth) Total() int {
	counts, _ := t.Broken()
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
