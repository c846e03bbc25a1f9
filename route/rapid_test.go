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

// A hall simulates several hosts of one hall, with lost messages and host
// crashes, and counts the requests that actually occupy each runner.
type hall struct {
	now            time.Time
	hosts          []spoolsill.HostID
	states         map[spoolsill.HostID]*route.State
	incarnations   map[spoolsill.HostID]int
	tickets        route.Ticket
	inFlight       []*inFlightRequest
	runs           map[spoolsill.RequestKey]int // dispatches that may have run
	requests       map[spoolsill.HostID]map[route.Ticket]spoolsill.Request
	failed         map[string]bool // by host, incarnation and ticket
	borrowRequests []borrowRequest
	config         route.Config
	ownSlotsDelay  time.Duration // from a restart of a host until it uses its own slots
}

// An inFlightRequest is a request that occupies a runner.
type inFlightRequest struct {
	host        spoolsill.HostID
	incarnation int
	ticket      route.Ticket
	runner      spoolsill.RunnerID
	end         time.Time // the latest time at which the runner is done with it
	finished    bool      // its host has been given a result
}

type borrowRequest struct {
	host        spoolsill.HostID
	incarnation int
	count       int
	asked       time.Time
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
		now:           time.UnixMicro(1_000_000_000),
		states:        map[spoolsill.HostID]*route.State{},
		incarnations:  map[spoolsill.HostID]int{},
		runs:          map[spoolsill.RequestKey]int{},
		requests:      map[spoolsill.HostID]map[route.Ticket]spoolsill.Request{},
		failed:        map[string]bool{},
		config:        c,
		ownSlotsDelay: testLifetime,
	}
	for i := range hosts {
		h.hosts = append(h.hosts, spoolsill.HostID(fmt.Sprintf("h%d", i)))
	}
	for _, id := range h.hosts {
		h.startHost(id, time.Time{})
	}
	return h
}

// startHost starts or restarts a host that may use its own slots from ownSlotsFrom
// on.
func (h *hall) startHost(id spoolsill.HostID, ownSlotsFrom time.Time) {
	c := h.config
	c.Host = id
	c.Hosts = h.hosts
	c.Slots = testSlots
	if c.SlotLifetime == 0 {
		c.SlotLifetime = testLifetime
	}
	c.LoanDuration = testLoan
	h.incarnations[id]++
	c.FirstLoan = uint64(h.incarnations[id]) << 32
	s := route.NewState(c)
	h.states[id] = s
	h.requests[id] = map[route.Ticket]spoolsill.Request{}
	s.EnableOwnSlots(h.now, ownSlotsFrom)
	s.SetRunners(h.now, testRunners)
}

func (h *hall) host(t *rapid.T) spoolsill.HostID {
	return rapid.SampledFrom(h.hosts).Draw(t, "host")
}

// execute carries out the actions of a host's state, and fails the test if one
// violates an invariant.
func (h *hall) execute(t *rapid.T, id spoolsill.HostID, acts []route.Action) {
	for _, a := range acts {
		switch a.Kind {
		case route.Dispatch:
			h.dispatch(t, id, a)
		case route.Fail:
			h.failRequest(t, id, a)
		case route.Borrow:
			h.borrowRequests = append(h.borrowRequests, borrowRequest{
				host:        id,
				incarnation: h.incarnations[id],
				count:       a.Count,
				asked:       h.now,
			})
		case route.Return:
			if rapid.IntRange(0, 3).Draw(t, "return lost") == 0 {
				continue
			}
			h.execute(t, a.To, h.states[a.To].LoansReturned(h.now, a.Loans))
		}
	}
}

func (h *hall) dispatch(t *rapid.T, id spoolsill.HostID, a route.Action) {
	if !h.now.Before(a.Until) {
		t.Fatalf("%s: dispatched after Until", id)
	}
	r := h.requests[id][a.Ticket]
	h.runs[r.Key]++
	if r.Unrepeatable && h.runs[r.Key] > 1 {
		t.Fatalf("%s: unrepeatable %s is dispatched after it may have run", id, r.Key)
	}
	h.inFlight = append(h.inFlight, &inFlightRequest{
		host:        id,
		incarnation: h.incarnations[id],
		ticket:      a.Ticket,
		runner:      a.Runner,
		end:         h.now.Add(testLifetime),
	})
	n := 0
	for _, f := range h.inFlight {
		if f.runner == a.Runner {
			n++
		}
	}
	if n > testSlots {
		t.Fatalf("runner %s has %d requests in flight", a.Runner, n)
	}
}

func (h *hall) failRequest(t *rapid.T, id spoolsill.HostID, a route.Action) {
	k := fmt.Sprintf("%s/%d/%d", id, h.incarnations[id], a.Ticket)
	if h.failed[k] {
		t.Fatalf("%s: ticket %d has failed twice", id, a.Ticket)
	}
	h.failed[k] = true
	r := h.requests[id][a.Ticket]
	if a.Outcome == spoolsill.OutcomeNotRun && h.runs[r.Key] > 0 {
		t.Fatalf("%s: %s is reported as not run but may have run", id, r.Key)
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
	h.requests[id][h.tickets] = r
	h.execute(t, id, h.states[id].Arrive(h.now, route.Arrival{
		Ticket:  h.tickets,
		Request: r,
	}))
}

// finish reports a random result of a random request in flight to its host.
func (h *hall) finish(t *rapid.T) {
	var open []*inFlightRequest
	for _, f := range h.inFlight {
		if !f.finished && f.incarnation == h.incarnations[f.host] {
			open = append(open, f)
		}
	}
	if len(open) == 0 {
		return
	}
	f := rapid.SampledFrom(open).Draw(t, "request")
	res := rapid.SampledFrom([]route.Result{
		route.Answered, route.Refused, route.Failed, route.ConnectionLost, route.TimedOut, route.NotSent,
	}).Draw(t, "result")
	f.finished = true
	r := h.requests[f.host][f.ticket]
	switch res {
	case route.Refused, route.NotSent:
		h.runs[r.Key]--
		h.complete(f)
	case route.Answered, route.Failed:
		h.complete(f)
	}
	h.execute(t, f.host, h.states[f.host].Finish(h.now, f.ticket, res))
}

// complete removes a request that its runner is done with.
func (h *hall) complete(f *inFlightRequest) {
	for i, x := range h.inFlight {
		if x == f {
			h.inFlight = append(h.inFlight[:i], h.inFlight[i+1:]...)
			return
		}
	}
}

// release completes a request at the runner after its host has been given a
// result.
func (h *hall) release(t *rapid.T) {
	for _, f := range h.inFlight {
		if f.finished && f.incarnation == h.incarnations[f.host] {
			h.complete(f)
			h.execute(t, f.host, h.states[f.host].Release(h.now, f.ticket))
			return
		}
	}
}

// deliverBorrowRequest delivers a request for slots to another host. The request
// or its answer may be lost.
func (h *hall) deliverBorrowRequest(t *rapid.T) {
	if len(h.borrowRequests) == 0 {
		return
	}
	b := h.borrowRequests[0]
	h.borrowRequests = h.borrowRequests[1:]
	to := h.host(t)
	var loans []route.Loan
	if to != b.host && rapid.IntRange(0, 3).Draw(t, "request lost") > 0 {
		loans = h.states[to].Lend(h.now, b.count)
	}
	if b.incarnation != h.incarnations[b.host] {
		return
	}
	if rapid.IntRange(0, 3).Draw(t, "answer lost") == 0 {
		loans = nil
	}
	h.execute(t, b.host, h.states[b.host].LoansGranted(h.now, b.asked, loans))
}

func (h *hall) advance(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	kept := h.inFlight[:0]
	for _, f := range h.inFlight {
		if h.now.Before(f.end) {
			kept = append(kept, f)
		}
	}
	h.inFlight = kept
	for _, id := range h.hosts {
		acts, _ := h.states[id].Tick(h.now)
		h.execute(t, id, acts)
	}
}

// restartHost crashes and restarts a host, which then does not know whether its
// own slots are free.
func (h *hall) restartHost(t *rapid.T) {
	h.startHost(h.host(t), h.now.Add(h.ownSlotsDelay))
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

// slotsAndOutcomesHold is the property that the invariants of slots and outcomes
// hold for all sequences of events, on a hall modified by change.
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
			"lend":    h.deliverBorrowRequest,
			"pass":    h.advance,
			"crash":   h.restartHost,
		})
	}
}

func TestSlotsAndOutcomesHoldAcrossHostCrashes(t *testing.T) {
	rapid.Check(t, slotsAndOutcomesHold(func(*hall) {}))
}

func TestSlotLimitNeedsOwnSlotsDelay(t *testing.T) {
	qt.Assert(t, seed.FindsFailure(t, slotsAndOutcomesHold(func(h *hall) {
		h.ownSlotsDelay = 0
	})), qt.IsTrue)
}

// TestSlotLimitNeedsSlotLifetime checks that the slot limit is violated if hosts
// free the slots of lost requests and reclaim lent slots before the runner is
// done with them.
func TestSlotLimitNeedsSlotLifetime(t *testing.T) {
	qt.Assert(t, seed.FindsFailure(t, slotsAndOutcomesHold(func(h *hall) {
		h.config.SlotLifetime = time.Millisecond
		for _, id := range h.hosts {
			h.startHost(id, time.Time{})
		}
	})), qt.IsTrue)
}
