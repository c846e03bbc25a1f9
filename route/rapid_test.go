package route_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/seed"
	"github.com/spoolsill/spoolsill/route"
)

// A hall drives the states of several hosts of one hall, with messages that
// get lost and hosts that die, and counts what really occupies each runner.
type hall struct {
	now     time.Time
	hosts   []spoolsill.HostID
	states  map[spoolsill.HostID]*route.State
	lives   map[spoolsill.HostID]int
	tickets route.Ticket
	flights []*flight
	runs    map[spoolsill.RequestKey]int // dispatches that may have run
	asks    map[spoolsill.HostID]map[route.Ticket]spoolsill.Request
	settled map[string]bool
	wanted  []wanted
	config  route.Config
	reopen  time.Duration // a new life waits so long for its own slots
}

// A flight is a request that occupies a runner.
type flight struct {
	host   spoolsill.HostID
	life   int
	ticket route.Ticket
	runner spoolsill.RunnerID
	end    time.Time // when the runner is done with it at the latest
	over   bool      // its host has settled it
}

type wanted struct {
	host  spoolsill.HostID
	life  int
	count int
	asked time.Time
}

const (
	testSlots    = 3
	testLifetime = 2 * time.Second
	testLoan     = 100 * time.Millisecond
)

var testRunners = []spoolsill.Runner{
	{
		ID: "r0",
	},
	{
		ID: "r1",
	},
}

func newHall(hosts int, c route.Config) *hall {
	h := &hall{
		now:     time.UnixMicro(1_000_000_000),
		states:  map[spoolsill.HostID]*route.State{},
		lives:   map[spoolsill.HostID]int{},
		runs:    map[spoolsill.RequestKey]int{},
		asks:    map[spoolsill.HostID]map[route.Ticket]spoolsill.Request{},
		settled: map[string]bool{},
		config:  c,
		reopen:  testLifetime,
	}
	for i := range hosts {
		h.hosts = append(h.hosts, spoolsill.HostID(fmt.Sprintf("h%d", i)))
	}
	for _, id := range h.hosts {
		h.begin(id, time.Time{})
	}
	return h
}

// begin starts a life of a host whose own slots open at a time.
func (h *hall) begin(id spoolsill.HostID, open time.Time) {
	c := h.config
	c.Host = id
	c.Hosts = h.hosts
	c.Slots = testSlots
	if c.SlotLifetime == 0 {
		c.SlotLifetime = testLifetime
	}
	c.Loan = testLoan
	h.lives[id]++
	c.FirstLoan = uint64(h.lives[id]) << 32
	s := route.NewState(c)
	h.states[id] = s
	h.asks[id] = map[route.Ticket]spoolsill.Request{}
	s.SetHome(h.now, open)
	s.SetRunners(h.now, testRunners)
}

func (h *hall) host(t *rapid.T) spoolsill.HostID {
	return rapid.SampledFrom(h.hosts).Draw(t, "host")
}

// do does what a host's state says, and fails when that must not be.
func (h *hall) do(t *rapid.T, id spoolsill.HostID, acts []route.Action) {
	for _, a := range acts {
		switch a.Kind {
		case route.Dispatch:
			h.dispatch(t, id, a)
		case route.Settle:
			h.settle(t, id, a)
		case route.Borrow:
			h.wanted = append(h.wanted, wanted{
				host:  id,
				life:  h.lives[id],
				count: a.Count,
				asked: h.now,
			})
		case route.Return:
			if rapid.IntRange(0, 3).Draw(t, "return lost") == 0 {
				continue
			}
			h.do(t, a.To, h.states[a.To].Returned(h.now, a.Loans))
		}
	}
}

func (h *hall) dispatch(t *rapid.T, id spoolsill.HostID, a route.Action) {
	if !h.now.Before(a.Until) {
		t.Fatalf("%s: dispatch after its time", id)
	}
	r := h.asks[id][a.Ticket]
	h.runs[r.Key]++
	if r.Unrepeatable && h.runs[r.Key] > 1 {
		t.Fatalf("%s: unrepeatable %s is dispatched after it may have run", id, r.Key)
	}
	h.flights = append(h.flights, &flight{
		host:   id,
		life:   h.lives[id],
		ticket: a.Ticket,
		runner: a.Runner,
		end:    h.now.Add(testLifetime),
	})
	n := 0
	for _, f := range h.flights {
		if f.runner == a.Runner {
			n++
		}
	}
	if n > testSlots {
		t.Fatalf("runner %s has %d requests in flight", a.Runner, n)
	}
}

func (h *hall) settle(t *rapid.T, id spoolsill.HostID, a route.Action) {
	k := fmt.Sprintf("%s/%d/%d", id, h.lives[id], a.Ticket)
	if h.settled[k] {
		t.Fatalf("%s: ticket %d is settled twice", id, a.Ticket)
	}
	h.settled[k] = true
	r := h.asks[id][a.Ticket]
	if a.Outcome == spoolsill.OutcomeNotRun && h.runs[r.Key] > 0 {
		t.Fatalf("%s: %s is called not run and may have run", id, r.Key)
	}
}

func (h *hall) arrive(t *rapid.T) {
	id := h.host(t)
	h.tickets++
	r := spoolsill.Request{
		Key:          spoolsill.RequestKey(fmt.Sprintf("k%d", h.tickets)),
		Caller:       spoolsill.CallerID(fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "caller"))),
		Class:        rapid.SampledFrom([]spoolsill.Class{spoolsill.ClassUrgent, spoolsill.ClassNormal, spoolsill.ClassPatient}).Draw(t, "class"),
		Worth:        rapid.IntRange(0, 9).Draw(t, "worth"),
		Deadline:     h.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline")) * time.Millisecond),
		Unrepeatable: rapid.Bool().Draw(t, "unrepeatable"),
	}
	h.asks[id][h.tickets] = r
	h.do(t, id, h.states[id].Arrive(h.now, route.Ask{
		Ticket:  h.tickets,
		Request: r,
	}))
}

// finish ends one flight in some way.
func (h *hall) finish(t *rapid.T) {
	var open []*flight
	for _, f := range h.flights {
		if !f.over && f.life == h.lives[f.host] {
			open = append(open, f)
		}
	}
	if len(open) == 0 {
		return
	}
	f := rapid.SampledFrom(open).Draw(t, "flight")
	res := rapid.SampledFrom([]route.Result{
		route.Answered, route.Refused, route.Failed, route.Broken, route.TimedOut, route.Unsent,
	}).Draw(t, "result")
	f.over = true
	r := h.asks[f.host][f.ticket]
	switch res {
	case route.Refused, route.Unsent:
		h.runs[r.Key]--
		h.land(f)
	case route.Answered, route.Failed:
		h.land(f)
	}
	h.do(t, f.host, h.states[f.host].Finish(h.now, f.ticket, res))
}

// land ends a flight at its runner.
func (h *hall) land(f *flight) {
	for i, x := range h.flights {
		if x == f {
			h.flights = append(h.flights[:i], h.flights[i+1:]...)
			return
		}
	}
}

// release has a runner be done with a request that was settled before.
func (h *hall) release(t *rapid.T) {
	for _, f := range h.flights {
		if f.over && f.life == h.lives[f.host] {
			h.land(f)
			h.do(t, f.host, h.states[f.host].Release(h.now, f.ticket))
			return
		}
	}
}

// lend carries a question for slots to another host, or loses it, or its
// answer.
func (h *hall) lend(t *rapid.T) {
	if len(h.wanted) == 0 {
		return
	}
	w := h.wanted[0]
	h.wanted = h.wanted[1:]
	to := h.host(t)
	var loans []route.Loan
	if to != w.host && rapid.IntRange(0, 3).Draw(t, "question lost") > 0 {
		loans = h.states[to].Lend(h.now, w.count)
	}
	if w.life != h.lives[w.host] {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "answer lost") == 0 {
		loans = nil
	}
	h.do(t, w.host, h.states[w.host].Granted(h.now, w.asked, loans))
}

func (h *hall) pass(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	kept := h.flights[:0]
	for _, f := range h.flights {
		if h.now.Before(f.end) {
			kept = append(kept, f)
		}
	}
	h.flights = kept
	for _, id := range h.hosts {
		acts, _ := h.states[id].Tick(h.now)
		h.do(t, id, acts)
	}
}

// die ends a life of a host; the next one does not know that its own slots
// are empty.
func (h *hall) die(t *rapid.T) {
	h.begin(h.host(t), h.now.Add(h.reopen))
}

func (h *hall) check(t *rapid.T) {
	for _, id := range h.hosts {
		s := h.states[id]
		for _, r := range s.Runners() {
			if r.InFlight < 0 || r.Lent < 0 {
				t.Fatalf("%s: %+v", id, r)
			}
		}
	}
}

// slotsAndOutcomesHold is what no sequence of events may break.
func slotsAndOutcomesHold(change func(*hall)) func(*rapid.T) {
	return func(t *rapid.T) {
		h := newHall(rapid.IntRange(1, 3).Draw(t, "hosts"), route.Config{})
		change(h)
		t.Repeat(map[string]func(*rapid.T){
			"":        h.check,
			"arrive":  h.arrive,
			"arrive2": h.arrive,
			"finish":  h.finish,
			"finish2": h.finish,
			"release": h.release,
			"lend":    h.lend,
			"pass":    h.pass,
			"die":     h.die,
		})
	}
}

func TestSlotsAndOutcomesHoldOverHostsThatDie(t *testing.T) {
	rapid.Check(t, slotsAndOutcomesHold(func(*hall) {}))
}

func TestSlotLimitNeedsTheWaitOfANewLife(t *testing.T) {
	qt.Assert(t, seed.Fails(t, slotsAndOutcomesHold(func(h *hall) {
		h.reopen = 0
	})), qt.IsTrue)
}

// TestSlotLimitNeedsTheLifetime has hosts count lost requests and lent slots
// as over before the runner is done with them.
func TestSlotLimitNeedsTheLifetime(t *testing.T) {
	qt.Assert(t, seed.Fails(t, slotsAndOutcomesHold(func(h *hall) {
		h.config.SlotLifetime = time.Millisecond
		for _, id := range h.hosts {
			h.begin(id, time.Time{})
		}
	})), qt.IsTrue)
}
