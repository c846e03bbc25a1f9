package routebench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/bench/event"
	"github.com/spoolsill/spoolsill/route"
)

// A Config describes a simulation.
type Config struct {
	Seed    uint64
	Hosts   int
	Runners int
	Slots   int
	// Load is the offered load as a fraction of the capacity of all slots.
	Load float64
	// Failing is the fraction of runners that fail every request shortly after its start.
	Failing  float64
	Requests int
}

// A PolicyResult holds the measurements of one routing policy.
type PolicyResult struct {
	Name               string                     `json:"name"`
	WaitMS             map[string]event.Quantiles `json:"wait_ms"`
	WorthInTime        float64                    `json:"worth_in_time"`
	Utilization        float64                    `json:"packing"` // fraction of the slot time in use
	Violations         int                        `json:"violations"`
	NotRun             int                        `json:"not_run"`
	Unknown            int                        `json:"unknown"`
	FailedTwice        float64                    `json:"lost_more_than_first_try"`
	MessagesPerRequest float64                    `json:"messages_per_request"`
}

// A Result holds the measurements of all policies.
type Result struct {
	Seed     uint64         `json:"seed"`
	Hosts    int            `json:"hosts"`
	Runners  int            `json:"runners"`
	Load     float64        `json:"load"`
	Failing  float64        `json:"failing"`
	Policies []PolicyResult `json:"policies"`
}

// Durations of the simulated runners and network.
const (
	meanServiceTime  = 20 * time.Millisecond
	serviceTimeSigma = 1.3 // of the log-normal distribution of service times
	networkDelay     = 500 * time.Microsecond
	failureDelay     = time.Millisecond
)

// A request is one request of the generated load.
type request struct {
	arrival     time.Duration
	host        int
	serviceTime time.Duration
	worth       int
	timeout     time.Duration
	caller      int
}

// generateRequests draws the requests from the seed.
func generateRequests(c Config) []request {
	r := rand.New(rand.NewPCG(c.Seed, 23))
	gap := float64(meanServiceTime) / (float64(c.Runners*c.Slots) * c.Load)
	var out []request
	at := 0.0
	for range c.Requests {
		at += r.ExpFloat64() * gap
		out = append(out, request{
			arrival:     time.Duration(at),
			host:        r.IntN(c.Hosts),
			serviceTime: time.Duration(float64(meanServiceTime) * math.Exp(serviceTimeSigma*r.NormFloat64()-serviceTimeSigma*serviceTimeSigma/2)),
			worth:       1 + int(math.Exp(2*r.NormFloat64())),
			timeout:     time.Duration(200+r.IntN(800)) * time.Millisecond,
			caller:      int(math.Abs(r.NormFloat64()) * 20),
		})
	}
	return out
}

// Run simulates all policies on the same requests.
func Run(c Config) Result {
	in := generateRequests(c)
	out := Result{
		Seed:    c.Seed,
		Hosts:   c.Hosts,
		Runners: c.Runners,
		Load:    c.Load,
		Failing: c.Failing,
	}
	for _, x := range []struct {
		name string
		run  func(s *sim)
	}{
		{
			name: "naive-round-robin",
			run:  func(s *sim) { s.runBaseline(false) },
		},
		{
			name: "naive-least-outstanding",
			run:  func(s *sim) { s.runBaseline(true) },
		},
		{
			name: "spoolsill",
			run:  func(s *sim) { s.runSpoolsill(route.Config{}) },
		},
		{
			name: "spoolsill-no-loans",
			run: func(s *sim) {
				s.runSpoolsill(route.Config{
					NoLoans: true,
				})
			},
		},
		{
			name: "spoolsill-fill-first",
			run: func(s *sim) {
				s.runSpoolsill(route.Config{
					FillFirst: true,
				})
			},
		},
		{
			name: "bound",
			run:  func(s *sim) { s.runBound() },
		},
	} {
		s := newSim(c, in)
		x.run(s)
		p := s.result()
		p.Name = x.name
		out.Policies = append(out.Policies, p)
	}
	return out
}

// A sim is the simulation of one policy.
type sim struct {
	config      Config
	requests    []request
	loop        event.Loop
	runners     []*runner
	waits       []time.Duration
	failures    map[int]int
	totalWorth  float64
	worthInTime float64
	busyTime    time.Duration
	messages    int
	report      PolicyResult
}

// A runner serves at most as many requests at once as it has slots. Only the baseline
// routers use the queue.
type runner struct {
	busy    int
	failing bool
	queue   []int
}

func newSim(c Config, in []request) *sim {
	s := &sim{
		config:   c,
		requests: in,
		failures: map[int]int{},
	}
	for i := range c.Runners {
		s.runners = append(s.runners, &runner{
			failing: i < int(math.Round(float64(c.Runners)*c.Failing)),
		})
	}
	for _, r := range in {
		s.totalWorth += float64(r.worth)
	}
	return s
}

// start starts request i on the runner with index at, and calls done when the request ends.
func (s *sim) start(i, at int, done func(failed bool)) {
	r := s.runners[at]
	r.busy++
	if r.busy > s.config.Slots {
		s.report.Violations++
	}
	q := s.requests[i]
	if r.failing {
		s.failures[i]++
		s.loop.After(failureDelay, func() {
			r.busy--
			done(true)
		})
		return
	}
	s.waits = append(s.waits, s.loop.Now()-q.arrival)
	s.loop.After(q.serviceTime, func() {
		r.busy--
		s.busyTime += q.serviceTime
		if s.loop.Now()-q.arrival <= q.timeout {
			s.worthInTime += float64(q.worth)
		}
		done(false)
	})
}

func (s *sim) result() PolicyResult {
	p := s.report
	q := event.QuantilesOf(s.waits)
	p.WaitMS = map[string]event.Quantiles{
		"request": q,
	}
	p.WorthInTime = s.worthInTime / s.totalWorth
	p.Utilization = float64(s.busyTime) / (float64(s.requests[len(s.requests)-1].arrival) * float64(len(s.runners)*s.config.Slots))
	n := 0
	for _, k := range s.failures {
		if k > 1 {
			n++
		}
	}
	p.FailedTwice = float64(n) / float64(len(s.requests))
	p.MessagesPerRequest = float64(s.messages) / float64(len(s.requests))
	return p
}

// runBaseline routes each request on arrival, round-robin or to the runner with the
// fewest outstanding requests of the host, and queues it at that runner. A failed request
// is retried up to three times.
func (s *sim) runBaseline(leastOutstanding bool) {
	next := make([]int, s.config.Hosts)
	outstanding := make([][]int, s.config.Hosts)
	for h := range outstanding {
		outstanding[h] = make([]int, len(s.runners))
		next[h] = h * 7 // hosts start their round-robin at different runners
	}
	var send func(i, try int)
	var startQueued func(at int)
	tries := make([]int, len(s.requests))
	startQueued = func(at int) {
		r := s.runners[at]
		for r.busy < s.config.Slots && len(r.queue) > 0 {
			i := r.queue[0]
			r.queue = r.queue[1:]
			s.start(i, at, func(failed bool) {
				outstanding[s.requests[i].host][at]--
				if failed && tries[i] < 3 {
					tries[i]++
					send(i, tries[i])
				}
				startQueued(at)
			})
		}
	}
	send = func(i, _ int) {
		h := s.requests[i].host
		next[h]++
		at := next[h] % len(s.runners)
		if leastOutstanding {
			for k := range s.runners {
				x := (at + k) % len(s.runners)
				if outstanding[h][x] < outstanding[h][at] {
					at = x
				}
			}
		}
		outstanding[h][at]++
		s.runners[at].queue = append(s.runners[at].queue, i)
		startQueued(at)
	}
	for i, q := range s.requests {
		s.loop.After(q.arrival, func() { send(i, 0) })
	}
	s.runToEnd()
}

// runToEnd runs the simulation until one minute after the last arrival.
func (s *sim) runToEnd() {
	s.loop.Run(s.requests[len(s.requests)-1].arrival + time.Minute)
}

// runBound simulates the upper bound: one queue shared by all hosts, with service times
// known in advance and failing runners excluded. Requests are served in order of arrival
// while capacity suffices. Otherwise the request with the highest worth per service time
// is served first, and requests that can't meet their deadline are dropped.
func (s *sim) runBound() {
	var queue []int
	slots := 0
	for _, r := range s.runners {
		if !r.failing {
			slots += s.config.Slots
		}
	}
	free := slots
	var startQueued func()
	startQueued = func() {
		for free > 0 && len(queue) > 0 {
			i, k := s.selectNext(queue, slots)
			if k < 0 {
				queue = nil
				return
			}
			queue = append(queue[:k], queue[k+1:]...)
			free--
			at := s.freeRunner()
			s.start(i, at, func(bool) {
				free++
				startQueued()
			})
		}
	}
	for i, q := range s.requests {
		s.loop.After(q.arrival, func() {
			queue = append(queue, i)
			startQueued()
		})
	}
	s.runToEnd()
}

// selectNext returns the request to serve next and its index in the queue. The index is -1
// if no queued request can meet its deadline.
func (s *sim) selectNext(queue []int, slots int) (i, k int) {
	if s.config.Load < 1 || len(queue) < slots/8 {
		return queue[0], 0
	}
	best := -1.0
	k = -1
	for x, i := range queue {
		q := s.requests[i]
		if s.loop.Now()+q.serviceTime > q.arrival+q.timeout {
			continue
		}
		if d := float64(q.worth) / float64(q.serviceTime); d > best {
			best, k = d, x
		}
	}
	if k < 0 {
		return 0, -1
	}
	return queue[k], k
}

// freeRunner returns the index of a runner that does not fail and has a free slot.
func (s *sim) freeRunner() int {
	for i, r := range s.runners {
		if !r.failing && r.busy < s.config.Slots {
			return i
		}
	}
	panic("routebench: no free runner")
}

// A routeHost simulates one host that routes with package route.
type routeHost struct {
	s        *sim
	index    int
	state    *route.State
	timerSeq uint64
}

// runSpoolsill simulates package route on all hosts.
func (s *sim) runSpoolsill(c route.Config) {
	var ids []spoolsill.HostID
	for h := range s.config.Hosts {
		ids = append(ids, spoolsill.HostID(fmt.Sprintf("h%d", h)))
	}
	var list []spoolsill.Runner
	for i := range s.runners {
		list = append(list, spoolsill.Runner{
			ID: spoolsill.RunnerID(fmt.Sprintf("r%03d", i)),
		})
	}
	hosts := make([]*routeHost, len(ids))
	for h := range ids {
		c.Host = ids[h]
		c.Hosts = ids
		c.Slots = s.config.Slots
		hosts[h] = &routeHost{
			s:     s,
			index: h,
			state: route.NewState(c),
		}
	}
	for _, rh := range hosts {
		rh.perform(rh.state.SetRunners(s.loop.Time(), list), hosts)
	}
	for i, q := range s.requests {
		s.loop.After(q.arrival, func() {
			rh := hosts[q.host]
			now := s.loop.Time()
			rh.perform(rh.state.Arrive(now, route.Arrival{
				Ticket: route.Ticket(i + 1),
				Request: spoolsill.Request{
					Caller:   spoolsill.CallerID(fmt.Sprintf("c%d", q.caller)),
					Class:    spoolsill.ClassNormal,
					Deadline: now.Add(q.timeout),
					Worth:    q.worth,
				},
			}), hosts)
		})
	}
	s.runToEnd()
}

// perform carries out the actions of the host's state.
func (h *routeHost) perform(actions []route.Action, hosts []*routeHost) {
	s := h.s
	for _, a := range actions {
		switch a.Kind {
		case route.Dispatch:
			h.dispatch(a, hosts)
		case route.Fail:
			if a.Outcome == spoolsill.OutcomeNotRun {
				s.report.NotRun++
			} else {
				s.report.Unknown++
			}
		case route.Borrow:
			h.borrow(a.Count, 1, s.loop.Time(), hosts)
		case route.Return:
			s.messages++
			to := hosts[int(a.To[1]-'0')]
			s.loop.After(networkDelay, func() { to.perform(to.state.LoansReturned(s.loop.Time(), a.Loans), hosts) })
		}
	}
	h.scheduleTick(hosts)
}

// borrow asks the other hosts for n slots, one after another, until one grants a loan. The
// first of them is the host step places after h.
func (h *routeHost) borrow(n, step int, asked time.Time, hosts []*routeHost) {
	s := h.s
	if step == len(hosts) {
		h.perform(h.state.LoansGranted(s.loop.Time(), asked, nil), hosts)
		return
	}
	s.messages += 2
	to := hosts[(h.index+step)%len(hosts)]
	s.loop.After(networkDelay, func() {
		loans := to.state.Lend(s.loop.Time(), n)
		s.loop.After(networkDelay, func() {
			if len(loans) == 0 {
				h.borrow(n, step+1, s.loop.Time(), hosts)
				return
			}
			h.perform(h.state.LoansGranted(s.loop.Time(), asked, loans), hosts)
		})
	})
}

func (h *routeHost) dispatch(a route.Action, hosts []*routeHost) {
	var at int
	_, _ = fmt.Sscanf(string(a.Runner), "r%d", &at)
	h.s.start(int(a.Ticket)-1, at, func(failed bool) {
		res := route.Answered
		if failed {
			res = route.Failed
		}
		h.perform(h.state.Finish(h.s.loop.Time(), a.Ticket, res), hosts)
	})
}

// scheduleTick calls Tick if requests are waiting, and schedules the next call for the
// time that Tick returns.
func (h *routeHost) scheduleTick(hosts []*routeHost) {
	if h.state.Waiting() == 0 {
		return
	}
	h.timerSeq++
	seq := h.timerSeq
	now := h.s.loop.Time()
	actions, due := h.state.Tick(now)
	if len(actions) > 0 {
		h.perform(actions, hosts)
		return
	}
	if due.IsZero() {
		return
	}
	h.s.loop.After(max(due.Sub(now), time.Millisecond), func() {
		if seq == h.timerSeq {
			actions, _ := h.state.Tick(h.s.loop.Time())
			h.perform(actions, hosts)
		}
	})
}
