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

// A Config describes a measurement.
type Config struct {
	Seed    uint64
	Hosts   int
	Runners int
	Slots   int
	// Load is the share of the slots' time that is asked for.
	Load float64
	// Failing is the share of runners that fail everything at once.
	Failing  float64
	Requests int
}

// A Policy is what one policy reached.
type Policy struct {
	Name        string                     `json:"name"`
	WaitMS      map[string]event.Quantiles `json:"wait_ms"`
	WorthInTime float64                    `json:"worth_in_time"`
	Packing     float64                    `json:"packing"` // share of the slots' time in use
	Violations  int                        `json:"violations"`
	NotRun      int                        `json:"not_run"`
	Unknown     int                        `json:"unknown"`
	LostTwice   float64                    `json:"lost_more_than_first_try"`
	Messages    float64                    `json:"messages_per_request"`
}

// A Result is a whole measurement.
type Result struct {
	Seed     uint64   `json:"seed"`
	Hosts    int      `json:"hosts"`
	Runners  int      `json:"runners"`
	Load     float64  `json:"load"`
	Failing  float64  `json:"failing"`
	Policies []Policy `json:"policies"`
}

// Times of the requests and the network.
const (
	meanService = 20 * time.Millisecond
	sigma       = 1.3 // of the log-normal service time
	oneWay      = 500 * time.Microsecond
	failAfter   = time.Millisecond
)

// A request of the input.
type request struct {
	at      time.Duration
	host    int
	service time.Duration
	worth   int
	within  time.Duration
	caller  int
}

func makeInput(c Config) []request {
	r := rand.New(rand.NewPCG(c.Seed, 23))
	gap := float64(meanService) / (float64(c.Runners*c.Slots) * c.Load)
	var out []request
	at := 0.0
	for range c.Requests {
		at += r.ExpFloat64() * gap
		out = append(out, request{
			at:      time.Duration(at),
			host:    r.IntN(c.Hosts),
			service: time.Duration(float64(meanService) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)),
			worth:   1 + int(math.Exp(2*r.NormFloat64())),
			within:  time.Duration(200+r.IntN(800)) * time.Millisecond,
			caller:  int(math.Abs(r.NormFloat64()) * 20),
		})
	}
	return out
}

// Run measures all policies on the same input.
func Run(c Config) Result {
	in := makeInput(c)
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
			run:  func(s *sim) { s.runPlain(false) },
		},
		{
			name: "naive-least-outstanding",
			run:  func(s *sim) { s.runPlain(true) },
		},
		{
			name: "spoolsill",
			run:  func(s *sim) { s.runOurs(route.Config{}) },
		},
		{
			name: "spoolsill-no-loans",
			run: func(s *sim) {
				s.runOurs(route.Config{
					NoLoans: true,
				})
			},
		},
		{
			name: "spoolsill-fill-first",
			run: func(s *sim) {
				s.runOurs(route.Config{
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

// A sim is one policy on fake runners.
type sim struct {
	config  Config
	in      []request
	loop    event.Loop
	runners []*runner
	waits   []time.Duration
	lost    map[int]int
	worth   float64
	inTime  float64
	busy    time.Duration
	msgs    int
	report  Policy
}

// A runner serves up to its slots at once; the plain routers queue there.
type runner struct {
	busy    int
	failing bool
	queue   []int
}

func newSim(c Config, in []request) *sim {
	s := &sim{
		config: c,
		in:     in,
		lost:   map[int]int{},
	}
	for i := range c.Runners {
		s.runners = append(s.runners, &runner{
			failing: i < int(math.Round(float64(c.Runners)*c.Failing)),
		})
	}
	for _, r := range in {
		s.worth += float64(r.worth)
	}
	return s
}

// begin has a runner start on a request; then is called at its end with
// whether it failed.
func (s *sim) begin(i, at int, then func(failed bool)) {
	r := s.runners[at]
	r.busy++
	if r.busy > s.config.Slots {
		s.report.Violations++
	}
	q := s.in[i]
	if r.failing {
		s.lost[i]++
		s.loop.After(failAfter, func() {
			r.busy--
			then(true)
		})
		return
	}
	s.waits = append(s.waits, s.loop.Now()-q.at)
	s.loop.After(q.service, func() {
		r.busy--
		s.busy += q.service
		if s.loop.Now()-q.at <= q.within {
			s.inTime += float64(q.worth)
		}
		then(false)
	})
}

func (s *sim) result() Policy {
	p := s.report
	q := event.QuantilesOf(s.waits)
	p.WaitMS = map[string]event.Quantiles{
		"request": q,
	}
	p.WorthInTime = s.inTime / s.worth
	p.Packing = float64(s.busy) / (float64(s.in[len(s.in)-1].at) * float64(len(s.runners)*s.config.Slots))
	n := 0
	for _, k := range s.lost {
		if k > 1 {
			n++
		}
	}
	p.LostTwice = float64(n) / float64(len(s.in))
	p.Messages = float64(s.msgs) / float64(len(s.in))
	return p
}

// runPlain routes each request to a runner at once, by turns or to the one
// with the fewest of the host's own; it waits there. One that failed is sent
// again, up to three times.
func (s *sim) runPlain(least bool) {
	next := make([]int, s.config.Hosts)
	own := make([][]int, s.config.Hosts)
	for h := range own {
		own[h] = make([]int, len(s.runners))
		next[h] = h * 7
	}
	var send func(i, try int)
	var pump func(at int)
	tries := make([]int, len(s.in))
	pump = func(at int) {
		r := s.runners[at]
		for r.busy < s.config.Slots && len(r.queue) > 0 {
			i := r.queue[0]
			r.queue = r.queue[1:]
			s.begin(i, at, func(failed bool) {
				own[s.in[i].host][at]--
				if failed && tries[i] < 3 {
					tries[i]++
					send(i, tries[i])
				}
				pump(at)
			})
		}
	}
	send = func(i, _ int) {
		h := s.in[i].host
		next[h]++
		at := next[h] % len(s.runners)
		if least {
			for k := range s.runners {
				x := (at + k) % len(s.runners)
				if own[h][x] < own[h][at] {
					at = x
				}
			}
		}
		own[h][at]++
		s.runners[at].queue = append(s.runners[at].queue, i)
		pump(at)
	}
	for i, q := range s.in {
		s.loop.After(q.at, func() { send(i, 0) })
	}
	s.drain()
}

func (s *sim) drain() {
	s.loop.Run(s.in[len(s.in)-1].at + time.Minute)
}

// runBound serves one shared queue: in order of arrival while there is room
// for all, and with perfect knowledge the most worth for its time first, left
// out when it can't be in time, when there is not. A failing runner is known.
func (s *sim) runBound() {
	var queue []int
	slots := 0
	for _, r := range s.runners {
		if !r.failing {
			slots += s.config.Slots
		}
	}
	free := slots
	var pump func()
	pump = func() {
		for free > 0 && len(queue) > 0 {
			i, k := s.bestOf(queue, slots)
			if k < 0 {
				queue = nil
				return
			}
			queue = append(queue[:k], queue[k+1:]...)
			free--
			at := s.anyFree()
			s.begin(i, at, func(bool) {
				free++
				pump()
			})
		}
	}
	for i, q := range s.in {
		s.loop.After(q.at, func() {
			queue = append(queue, i)
			pump()
		})
	}
	s.drain()
}

// bestOf picks from the queue of the bound; k is -1 when nothing is worth it.
func (s *sim) bestOf(queue []int, slots int) (i, k int) {
	if s.config.Load < 1 || len(queue) < slots/8 {
		return queue[0], 0
	}
	best := -1.0
	k = -1
	for x, i := range queue {
		q := s.in[i]
		if s.loop.Now()+q.service > q.at+q.within {
			continue
		}
		if d := float64(q.worth) / float64(q.service); d > best {
			best, k = d, x
		}
	}
	if k < 0 {
		return 0, -1
	}
	return queue[k], k
}

func (s *sim) anyFree() int {
	for i, r := range s.runners {
		if !r.failing && r.busy < s.config.Slots {
			return i
		}
	}
	panic("routebench: no free runner")
}

// ours drives package route on one host.
type ours struct {
	s     *sim
	index int
	state *route.State
	timer uint64
}

func (s *sim) runOurs(c route.Config) {
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
	hosts := make([]*ours, len(ids))
	for h := range ids {
		c.Host = ids[h]
		c.Hosts = ids
		c.Slots = s.config.Slots
		hosts[h] = &ours{
			s:     s,
			index: h,
			state: route.NewState(c),
		}
	}
	for _, o := range hosts {
		o.do(o.state.SetRunners(s.loop.Time(), list), hosts)
	}
	for i, q := range s.in {
		s.loop.After(q.at, func() {
			o := hosts[q.host]
			now := s.loop.Time()
			o.do(o.state.Arrive(now, route.Arrival{
				Ticket: route.Ticket(i + 1),
				Request: spoolsill.Request{
					Caller:   spoolsill.CallerID(fmt.Sprintf("c%d", q.caller)),
					Class:    spoolsill.ClassNormal,
					Deadline: now.Add(q.within),
					Worth:    q.worth,
				},
			}), hosts)
		})
	}
	s.drain()
}

func (o *ours) do(acts []route.Action, hosts []*ours) {
	s := o.s
	for _, a := range acts {
		switch a.Kind {
		case route.Dispatch:
			o.dispatch(a, hosts)
		case route.Fail:
			if a.Outcome == spoolsill.OutcomeNotRun {
				s.report.NotRun++
			} else {
				s.report.Unknown++
			}
		case route.Borrow:
			o.borrow(a.Count, 1, s.loop.Time(), hosts)
		case route.Return:
			s.msgs++
			to := hosts[int(a.To[1]-'0')]
			s.loop.After(oneWay, func() { to.do(to.state.LoansReturned(s.loop.Time(), a.Loans), hosts) })
		}
	}
	o.schedule(hosts)
}

// borrow asks the other hosts one after another until one lends.
func (o *ours) borrow(n, step int, asked time.Time, hosts []*ours) {
	s := o.s
	if step == len(hosts) {
		o.do(o.state.LoansGranted(s.loop.Time(), asked, nil), hosts)
		return
	}
	s.msgs += 2
	to := hosts[(o.index+step)%len(hosts)]
	s.loop.After(oneWay, func() {
		loans := to.state.Lend(s.loop.Time(), n)
		s.loop.After(oneWay, func() {
			if len(loans) == 0 {
				o.borrow(n, step+1, s.loop.Time(), hosts)
				return
			}
			o.do(o.state.LoansGranted(s.loop.Time(), asked, loans), hosts)
		})
	})
}

func (o *ours) dispatch(a route.Action, hosts []*ours) {
	var at int
	_, _ = fmt.Sscanf(string(a.Runner), "r%d", &at)
	o.s.begin(int(a.Ticket)-1, at, func(failed bool) {
		res := route.Answered
		if failed {
			res = route.Failed
		}
		o.do(o.state.Finish(o.s.loop.Time(), a.Ticket, res), hosts)
	})
}

// schedule has the state ticked when something falls due.
func (o *ours) schedule(hosts []*ours) {
	if o.state.Waiting() == 0 {
		return
	}
	o.timer++
	mine := o.timer
	now := o.s.loop.Time()
	acts, due := o.state.Tick(now)
	if len(acts) > 0 {
		o.do(acts, hosts)
		return
	}
	if due.IsZero() {
		return
	}
	o.s.loop.After(max(due.Sub(now), time.Millisecond), func() {
		if mine == o.timer {
			acts, _ := o.state.Tick(o.s.loop.Time())
			o.do(acts, hosts)
		}
	})
}
