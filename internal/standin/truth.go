package standin

import (
	"fmt"
	"sort"
	"sync"

	"github.com/spoolsill/spoolsill"
)

// A Promise is the name of an invariant of the system.
type Promise string

// The invariants that are checked against the records of the fakes.
const (
	Capacity    Promise = "capacity"     // no worker is allocated more than its capacity
	OnePlace    Promise = "one-place"    // no task runs twice at the same time
	WholeAnswer Promise = "whole-answer" // a caller receives the complete answer to its own request
	TrueNotRun  Promise = "not-run"      // a request that is reported as not run did not run
	AtMostOnce  Promise = "at-most-once" // an unrepeatable request runs at most once
	Leaving     Promise = "leaving"      // a leaving upstream gets no new work after [LeavingGrace]
	PlannedStop Promise = "planned-stop" // a planned stop interrupts no work
	ConfigOnly  Promise = "config"       // an accepted configuration never reverts
	SlotLimit   Promise = "slot-limit"   // no runner has more requests in flight than slots
	NothingLost Promise = "nothing-lost" // what was confirmed is not lost
)

// Promises returns all invariants in the order of reports.
func Promises() []Promise {
	return []Promise{Capacity, OnePlace, WholeAnswer, TrueNotRun, AtMostOnce, Leaving, PlannedStop, ConfigOnly, SlotLimit, NothingLost}
}

// Truth records which requests and tasks the fakes ran, and the violations of
// invariants. The zero value is ready for use. It is safe for concurrent use.
type Truth struct {
	mu         sync.Mutex
	runs       map[spoolsill.RequestKey]int
	places     map[string]map[spoolsill.WorkerID]int
	violations map[Promise][]string
}

// Break records a violation of p.
func (t *Truth) Break(p Promise, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.breakLocked(p, format, args...)
}

func (t *Truth) breakLocked(p Promise, format string, args ...any) {
	if t.violations == nil {
		t.violations = map[Promise][]string{}
	}
	t.violations[p] = append(t.violations[p], fmt.Sprintf(format, args...))
}

// Ran records that a runner started a request.
func (t *Truth) Ran(k spoolsill.RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = map[spoolsill.RequestKey]int{}
	}
	t.runs[k]++
}

// Runs returns how many times a request was started.
func (t *Truth) Runs(k spoolsill.RequestKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[k]
}

// TaskBegan records that a task started on a worker, which violates [OnePlace]
// if the task already runs.
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

// Broken returns the number of violations of each invariant, and descriptions
// of the first three of each.
func (t *Truth) Broken() (counts map[Promise]int, cases []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts = map[Promise]int{}
	for _, p := range Promises() {
		counts[p] = len(t.violations[p])
		for i, c := range t.violations[p] {
			if i < 3 {
				cases = append(cases, string(p)+": "+c)
			}
		}
	}
	sort.Strings(cases)
	return counts, cases
}

// Total returns the number of violations of all invariants.
func (t *Truth) Total() int {
	counts, _ := t.Broken()
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
