package route

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spoolsill/spoolsill"
)

// The orders in which waiting requests are kept.
const (
	byTurn   = iota // the next to dispatch first
	byWorth         // the least worth first
	byExpiry        // the first to expire first
	byValue         // the most worth first
	orders
)

// An item is a request that waits or runs.
type item struct {
	ticket  Ticket
	request spoolsill.Request
	at      [orders]int
	turn    float64 // place in the order of fairness between callers
	arrived uint64
	sent    time.Time
	tries   int
	failed  []spoolsill.RunnerID
	runner  *runner
	loan    LoanID
	waits   bool
	mayHave bool // an earlier dispatch may have run
}

// A State holds the queue of one service on one host.
type State struct {
	config   Config
	runners  map[spoolsill.RunnerID]*runner
	order    []*runner
	items    map[Ticket]*item
	heaps    [orders]heap
	callers  map[spoolsill.CallerID]float64 // the turn after the caller's last request
	turn     float64                        // the turn of the request dispatched last
	arrived  uint64
	next     int // where the search for a runner starts
	credit   float64
	load     load
	loans    loans
	held     []heldSlot
	homeFrom time.Time
	stop     bool
	out      []Action
}

// NewState returns a state without runners.
func NewState(c Config) *State {
	c = c.withDefaults()
	c.Hosts = append([]spoolsill.HostID(nil), c.Hosts...)
	sort.Slice(c.Hosts, func(i, j int) bool {
		return c.Hosts[i] < c.Hosts[j]
	})
	s := &State{
		config:  c,
		runners: map[spoolsill.RunnerID]*runner{},
		items:   map[Ticket]*item{},
		callers: map[spoolsill.CallerID]float64{},
		loans:   newLoans(c.FirstLoan),
		credit:  maxCredit,
	}
	less := [orders]func(a, b *item) bool{
		byTurn:   turnLess,
		byWorth:  worthLess,
		byExpiry: expiryLess,
		byValue:  valueLess,
	}
	for o := range s.heaps {
		s.heaps[o] = heap{
			order: o,
			less:  less[o],
		}
	}
	return s
}

func turnLess(a, b *item) bool {
	if a.request.Class != b.request.Class {
		return a.request.Class < b.request.Class
	}
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.arrived < b.arrived
}

func worthLess(a, b *item) bool {
	if a.request.Worth != b.request.Worth {
		return a.request.Worth < b.request.Worth
	}
	return a.arrived > b.arrived
}

func valueLess(a, b *item) bool {
	if a.request.Worth != b.request.Worth {
		return a.request.Worth > b.request.Worth
	}
	return turnLess(a, b)
}

func expiryLess(a, b *item) bool {
	return a.request.Expires().Before(b.request.Expires())
}

// home returns how many slots of a runner have their home on the host. The
// shares of all hosts of the hall add up to the runner's slots.
func (c Config) home(id spoolsill.RunnerID) int {
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

// Waiting returns the number of waiting requests.
func (s *State) Waiting() int {
	return s.heaps[byTurn].len()
}

// Running returns the number of dispatched requests.
func (s *State) Running() int {
	return len(s.items) - s.Waiting()
}

// Open returns the number of requests and slots that a planned stop waits
// for: requests that wait or run, slots that are held and slots that are lent.
func (s *State) Open() int {
	return len(s.items) + len(s.held) + len(s.loans.lent)
}

// Stop makes s refuse all new requests; those that wait and run go on.
// No more slots are lent.
func (s *State) Stop() {
	s.stop = true
}

func (s *State) emit(a Action) {
	s.out = append(s.out, a)
}

// take returns the actions collected so far.
func (s *State) take() []Action {
	out := s.out
	s.out = nil
	return out
}

func (s *State) push(x *item) {
	x.waits = true
	for o := range s.heaps {
		s.heaps[o].push(x)
	}
}

func (s *State) pull(x *item) {
	x.waits = false
	for o := range s.heaps {
		s.heaps[o].remove(x)
	}
}

// settle gives a request its outcome. One that was dispatched before and may
// have run is never called not run, whatever becomes of it later.
func (s *State) settle(x *item, o spoolsill.Outcome, c Cause) {
	if x.mayHave && o == spoolsill.OutcomeNotRun {
		o = spoolsill.OutcomeUnknown
	}
	if x.waits {
		s.pull(x)
	}
	delete(s.items, x.ticket)
	s.emit(Action{
		Kind:       Settle,
		Ticket:     x.ticket,
		Outcome:    o,
		Cause:      c,
		RetryAfter: s.retryAfter(c),
	})
}
