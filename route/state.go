package route

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill"
)

// The orders in which queued requests are kept.
const (
	byFairness   = iota // by class, start tag and arrival
	byLeastWorth        // least worth first
	byExpiry            // earliest to expire first
	byMostWorth         // most worth first
	orderCount
)

// An activeRequest is a queued or running request.
type activeRequest struct {
	ticket     Ticket
	request    spoolsill.Request
	heapIndex  [orderCount]int
	startTag   float64 // of start-time fair queueing between callers
	seq        uint64
	sentAt     time.Time
	dispatches int // including the current one
	failedOn   []spoolsill.RunnerID
	runner     *runner
	loan       LoanID
	queued     bool
	mayHaveRun bool // an earlier dispatch may have run
}

// A State holds the queue of one service on one host.
type State struct {
	config       Config
	runners      map[spoolsill.RunnerID]*runner
	runnerList   []*runner
	requests     map[Ticket]*activeRequest
	heaps        [orderCount]heap
	finishTags   map[spoolsill.CallerID]float64 // of each caller's last request
	virtualTime  float64                        // highest start tag dispatched so far
	seq          uint64
	firstRunner  int // index in runnerList at which the next search starts
	retryBudget  float64
	load         load
	loans        loans
	heldSlots    []heldSlot
	ownSlotsFrom time.Time // see EnableOwnSlots
	draining     bool
	actions      []Action // emitted since the last call of takeActions
}

// NewState returns a state without runners.
func NewState(c Config) *State {
	c = c.withDefaults()
	c.Hosts = append([]spoolsill.HostID(nil), c.Hosts...)
	sort.Slice(c.Hosts, func(i, j int) bool {
		return c.Hosts[i] < c.Hosts[j]
	})
	s := &State{
		config:      c,
		runners:     map[spoolsill.RunnerID]*runner{},
		requests:    map[Ticket]*activeRequest{},
		finishTags:  map[spoolsill.CallerID]float64{},
		loans:       newLoans(c.FirstLoan),
		retryBudget: maxRetryBudget,
	}
	less := [orderCount]func(a, b *activeRequest) bool{
		byFairness:   fairerFirst,
		byLeastWorth: leastWorthFirst,
		byExpiry:     soonestExpiryFirst,
		byMostWorth:  mostWorthFirst,
	}
	for o := range s.heaps {
		s.heaps[o] = heap{
			order: o,
			less:  less[o],
		}
	}
	return s
}

func fairerFirst(a, b *activeRequest) bool {
	if a.request.Class != b.request.Class {
		return a.request.Class < b.request.Class
	}
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.seq < b.seq
}

func leastWorthFirst(a, b *activeRequest) bool {
	if a.request.Worth != b.request.Worth {
		return a.request.Worth < b.request.Worth
	}
	return a.seq > b.seq
}

func mostWorthFirst(a, b *activeRequest) bool {
	if a.request.Worth != b.request.Worth {
		return a.request.Worth > b.request.Worth
	}
	return fairerFirst(a, b)
}

func soonestExpiryFirst(a, b *activeRequest) bool {
	return a.request.Expires().Before(b.request.Expires())
}

// ownSlots returns how many slots of a runner the host owns. The numbers of all
// hosts of the hall add up to the runner's slots.
func (c Config) ownSlots(id spoolsill.RunnerID) int {
	n := len(c.Hosts)
	first := int(xxhash.Sum64String(string(id)) % uint64(n))
	for i, h := range c.Hosts {
		if h != c.Host {
			continue
		}
		share := c.Slots / n
		if (i-first+n)%n < c.Slots%n {
			share++
		}
		return share
	}
	return 0
}

// Waiting returns the number of queued requests.
func (s *State) Waiting() int {
	return s.heaps[byFairness].len()
}

// Running returns the number of dispatched requests.
func (s *State) Running() int {
	return len(s.requests) - s.Waiting()
}

// Outstanding returns the number of requests and slots that a graceful stop has
// to wait for: queued and running requests, held slots and lent slots.
func (s *State) Outstanding() int {
	return len(s.requests) + len(s.heldSlots) + len(s.loans.lent)
}

// Drain makes s fail all new requests and lend no more slots. Queued and running
// requests continue.
func (s *State) Drain() {
	s.draining = true
}

func (s *State) emit(a Action) {
	s.actions = append(s.actions, a)
}

// takeActions returns the actions emitted since the last call.
func (s *State) takeActions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

func (s *State) enqueue(x *activeRequest) {
	x.queued = true
	for o := range s.heaps {
		s.heaps[o].push(x)
	}
}

func (s *State) dequeue(x *activeRequest) {
	x.queued = false
	for o := range s.heaps {
		s.heaps[o].remove(x)
	}
}

// fail ends a request with an outcome. If an earlier dispatch of it may have
// run, NotRun becomes Unknown.
func (s *State) fail(x *activeRequest, o spoolsill.Outcome, c Cause) {
	if x.mayHaveRun && o == spoolsill.OutcomeNotRun {
		o = spoolsill.OutcomeUnknown
	}
	if x.queued {
		s.dequeue(x)
	}
	delete(s.requests, x.ticket)
	s.emit(Action{
		Kind:       Fail,
		Ticket:     x.ticket,
		Outcome:    o,
		Cause:      c,
		RetryAfter: s.retryAfter(c),
	})
}
