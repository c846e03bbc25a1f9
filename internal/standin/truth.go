package standin

import (
	"fmt"
	"sort"
	"sync"

	"github.com/spoolsill/spoolsill"
)

// An Invariant names an invariant of the system.
type Invariant string

// The invariants that are checked against the records of the fakes.
const (
	InvariantCapacity    Invariant = "capacity"     // no worker is allocated more than its capacity
	InvariantSingleRun   Invariant = "one-place"    // no task runs twice at the same time
	InvariantWholeAnswer Invariant = "whole-answer" // a caller receives the complete answer to its own request
	InvariantNotRun      Invariant = "not-run"      // a request that is reported as not run did not run
	InvariantAtMostOnce  Invariant = "at-most-once" // an unrepeatable request runs at most once
	InvariantLeaving     Invariant = "leaving"      // a leaving upstream gets no new work after [LeavingGrace]
	InvariantPlannedStop Invariant = "planned-stop" // a planned stop of a host interrupts no work
	InvariantConfig      Invariant = "config"       // an accepted configuration never reverts
	InvariantSlotLimit   Invariant = "slot-limit"   // no runner has more requests in flight than slots
	InvariantDurability  Invariant = "nothing-lost" // no confirmed change is lost
)

// Invariants returns all invariants in the order in which they are reported.
func Invariants() []Invariant {
	return []Invariant{InvariantCapacity, InvariantSingleRun, InvariantWholeAnswer, InvariantNotRun, InvariantAtMostOnce, InvariantLeaving, InvariantPlannedStop, InvariantConfig, InvariantSlotLimit, InvariantDurability}
}

// Truth records which requests and tasks the fakes ran, and the violations of
// invariants. The zero value is ready for use. It is safe for concurrent use.
type Truth struct {
	mu            sync.Mutex
	requestStarts map[spoolsill.RequestKey]int
	running       map[string]map[spoolsill.WorkerID]int
	violations    map[Invariant][]string
}

// RecordViolation records a violation of inv.
func (t *Truth) RecordViolation(inv Invariant, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordViolationLocked(inv, format, args...)
}

func (t *Truth) recordViolationLocked(inv Invariant, format string, args ...any) {
	if t.violations == nil {
		t.violations = map[Invariant][]string{}
	}
	t.violations[inv] = append(t.violations[inv], fmt.Sprintf(format, args...))
}

// RequestStarted records that a runner started a request.
func (t *Truth) RequestStarted(k spoolsill.RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requestStarts == nil {
		t.requestStarts = map[spoolsill.RequestKey]int{}
	}
	t.requestStarts[k]++
}

// RequestStarts returns how many times a request was started.
func (t *Truth) RequestStarts(k spoolsill.RequestKey) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requestStarts[k]
}

// TaskStarted records that a task started on a worker, which violates
// [InvariantSingleRun] if the task already runs.
func (t *Truth) TaskStarted(id spoolsill.TaskID, w spoolsill.WorkerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[string]map[spoolsill.WorkerID]int{}
	}
	workers := t.running[id.String()]
	if workers == nil {
		workers = map[spoolsill.WorkerID]int{}
		t.running[id.String()] = workers
	}
	workers[w]++
	n := 0
	for _, k := range workers {
		n += k
	}
	if n > 1 {
		t.recordViolationLocked(InvariantSingleRun, "task %s has %d concurrent runs, the latest on worker %s", id, n, w)
	}
}

// TaskEnded records that a task ended on a worker.
func (t *Truth) TaskEnded(id spoolsill.TaskID, w spoolsill.WorkerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	workers := t.running[id.String()]
	workers[w]--
	if workers[w] <= 0 {
		delete(workers, w)
	}
}

// Violations returns the number of violations of each invariant, and descriptions
// of the first three of each.
func (t *Truth) Violations() (counts map[Invariant]int, cases []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts = map[Invariant]int{}
	for _, inv := range Invariants() {
		counts[inv] = len(t.violations[inv])
		for i, c := range t.violations[inv] {
			if i < 3 {
				cases = append(cases, string(inv)+": "+c)
			}
		}
	}
	sort.Strings(cases)
	return counts, cases
}

// TotalViolations returns the number of violations of all invariants.
func (t *Truth) TotalViolations() int {
	counts, _ := t.Violations()
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
