package place_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/naive"
	"github.com/spoolsill/spoolsill/place"
)

// A stateMachine applies the same events to a State and to the naive ledger, a
// reference implementation.
type stateMachine struct {
	state   *place.State
	ledger  *naive.Ledger
	records []place.Record
	workers []spoolsill.Worker
	jobs    int
	now     time.Time
	config  place.Config
}

func newMachine(c place.Config) *stateMachine {
	m := &stateMachine{
		state:  place.NewState(c),
		ledger: naive.NewLedger(),
		now:    time.UnixMicro(1_000_000_000),
		config: c,
	}
	for i := range 6 {
		m.workers = append(m.workers, spoolsill.Worker{
			ID:   spoolsill.WorkerID(fmt.Sprintf("w%d", i)),
			Rack: spoolsill.RackID(fmt.Sprintf("r%d", i/2)),
			Capacity: spoolsill.Resources{
				Processors:   spoolsill.Millicores(4+i%3*4) * spoolsill.Core,
				Memory:       16 * spoolsill.GiB,
				Accelerators: spoolsill.Accelerators(i % 2 * 2),
			},
		})
	}
	m.setWorkers()
	return m
}

func (m *stateMachine) setWorkers() {
	m.state.SetWorkers(m.workers)
	m.ledger.SetWorkers(m.workers)
}

// applyToLedger applies records of the state to the ledger, which rejects those that
// violate an invariant, and verifies the invariants of the state.
func (m *stateMachine) applyToLedger(t *rapid.T, records []place.Record) {
	m.records = append(m.records, records...)
	if err := m.ledger.Apply(records); err != nil {
		t.Fatal(err)
	}
	if err := m.state.CheckInvariants(); err != nil {
		t.Fatal(err)
	}
}

func (m *stateMachine) submit(t *rapid.T) {
	m.jobs++
	kind := rapid.SampledFrom([]spoolsill.Kind{spoolsill.KindService, spoolsill.KindBatch, spoolsill.KindGang}).Draw(t, "kind")
	j := spoolsill.Job{
		ID:    spoolsill.JobID(fmt.Sprintf("j%d", m.jobs)),
		Team:  spoolsill.TeamID(fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "team"))),
		Kind:  kind,
		Class: rapid.SampledFrom([]spoolsill.Class{spoolsill.ClassUrgent, spoolsill.ClassNormal, spoolsill.ClassPatient}).Draw(t, "class"),
		Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"),
		Shape: spoolsill.Resources{
			Processors:   spoolsill.Millicores(rapid.IntRange(1, 14).Draw(t, "cores")) * spoolsill.Core,
			Memory:       spoolsill.Bytes(rapid.IntRange(1, 12).Draw(t, "memory")) * spoolsill.GiB,
			Accelerators: spoolsill.Accelerators(rapid.IntRange(0, 1).Draw(t, "accelerators")),
		},
		Runtime:      time.Duration(rapid.IntRange(0, 50).Draw(t, "runtime")) * time.Second,
		Worth:        rapid.IntRange(0, 5).Draw(t, "worth"),
		Unrepeatable: kind != spoolsill.KindService && rapid.Bool().Draw(t, "unrepeatable"),
	}
	r := place.Record{
		Kind: place.JobAdded,
		At:   m.now.UnixMicro(),
		Job:  &j,
	}
	if err := m.state.Apply(r); err != nil {
		t.Fatal(err)
	}
	m.applyToLedger(t, []place.Record{r})
}

func (m *stateMachine) decide(t *rapid.T) {
	for {
		records, full := m.state.Decide(m.now)
		m.applyToLedger(t, records)
		if !full {
			break
		}
	}
}

// decideAll calls Decide and, if nothing may hold tasks back, verifies that no
// waiting task could start.
func (m *stateMachine) decideAll(t *rapid.T) {
	m.decide(t)
	if !m.config.NoReservation || !m.config.NoPreemption || !m.config.NoQuarantine {
		return
	}
	if left := m.ledger.Startable(m.now.UnixMicro()); len(left) > 0 {
		t.Fatalf("task %s waits while it fits", left[0])
	}
}

// reportOutcome reports a random outcome of a random task that holds capacity.
func (m *stateMachine) reportOutcome(t *rapid.T) {
	allocations := m.allocations()
	if len(allocations) == 0 {
		return
	}
	a := rapid.SampledFrom(allocations).Draw(t, "task")
	outcome := rapid.SampledFrom([]place.Outcome{
		place.Started, place.Exited, place.Failed, place.Checkpointed, place.Stopped, place.Refused, place.NotFound, place.Lost,
	}).Draw(t, "outcome")
	m.applyToLedger(t, m.state.Report(m.now, place.Report{
		Task:    a.Task,
		Attempt: a.Attempt,
		Outcome: outcome,
	}))
}

// allocations returns all tasks that hold capacity.
func (m *stateMachine) allocations() []place.Allocation {
	var out []place.Allocation
	for _, w := range m.workers {
		out = append(out, m.state.Allocations(w.ID)...)
	}
	return out
}

func (m *stateMachine) cancel(t *rapid.T) {
	if m.jobs == 0 {
		return
	}
	id := spoolsill.JobID(fmt.Sprintf("j%d", rapid.IntRange(1, m.jobs).Draw(t, "job")))
	m.applyToLedger(t, m.state.Cancel(m.now, []spoolsill.JobID{id}))
}

func (m *stateMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 30_000).Draw(t, "ms")) * time.Millisecond)
}

// toggleLeaving toggles whether a worker is leaving.
func (m *stateMachine) toggleLeaving(t *rapid.T) {
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "worker")
	m.workers[i].Leaving = !m.workers[i].Leaving
	m.setWorkers()
}

// rebuild replaces the state by one rebuilt from the records or a snapshot,
// and verifies that both equal it.
func (m *stateMachine) rebuild(t *rapid.T) {
	want := m.describe(m.state)
	for name, records := range map[string][]place.Record{
		"journal":  m.records,
		"snapshot": m.state.Snapshot(m.now),
	} {
		s, err := place.Rebuild(m.config, records)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		s.SetWorkers(m.workers)
		if err := s.CheckInvariants(); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := m.describe(s); got != want {
			t.Fatalf("%s rebuilds\n%s\nwant\n%s", name, got, want)
		}
	}
}

// describe formats what operators see of a state, without the reasons of
// decisions.
func (m *stateMachine) describe(s *place.State) string {
	out := ""
	for _, j := range s.Jobs() {
		_, tasks, _ := s.Job(j.ID)
		out += fmt.Sprintf("%s %v\n", j.ID, j.Cancelled)
		for _, x := range tasks {
			out += fmt.Sprintf("  %s %s %s %d\n", x.ID, x.State, x.Worker, x.Attempt)
		}
	}
	for _, w := range s.Workers() {
		out += fmt.Sprintf("%s %v %d\n", w.ID, w.Free, w.Tasks)
	}
	return out
}

func testAgainstNaive(t *testing.T, c place.Config) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(c)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"decide":  m.decideAll,
			"end":     m.reportOutcome,
			"cancel":  m.cancel,
			"pass":    m.advance,
			"leave":   m.toggleLeaving,
			"rebuild": m.rebuild,
		})
	})
}

func TestInvariantsAgainstNaive(t *testing.T) {
	testAgainstNaive(t, place.Config{})
}

func TestNothingStartableIsLeftAgainstNaive(t *testing.T) {
	testAgainstNaive(t, place.Config{
		NoReservation: true,
		NoPreemption:  true,
		NoQuarantine:  true,
	})
}
