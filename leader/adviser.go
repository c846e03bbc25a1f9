package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/sched"
)

// An Advisor has questions asked by hosts of the cell: the service answers
// each host one question at a time, so that only many hosts can ask much.
type Advisor interface {
	// Hosts returns the hosts that can ask now.
	Hosts() []spoolsill.HostID
	// Ask has a host ask which of some workers may run a stage.
	Ask(ctx context.Context, h spoolsill.HostID, stage sched.StageID, workers []spoolsill.WorkerID) ([]sched.Ticket, time.Duration, error)
}

const (
	// askSlack is how much longer than its cost a question may take.
	askSlack = 300 * time.Millisecond
	// longQuestion is from when a question counts as long. shortHosts are
	// kept from long ones, so that short ones find a host that is free soon.
	longQuestion = 150 * time.Millisecond
	shortHosts   = 2
	// failedRest is how long a host whose question got no answer is asked
	// only when no other can: as long as troubles of one host mostly last.
	failedRest = 3 * time.Second
	// depthMost bounds the questions under way by one host.
	depthMost = 3
	// transitRate is the weight of the newest answer in the average time that answers
	// are under way besides their cost.
	transitRate = 0.1
	// hostsKept is how long the list of hosts that can ask is used: questions go
	// out many times in it, hosts come and go less often.
	hostsKept = 20 * time.Millisecond
)

// An adviser spreads questions over hosts, one at a time each, or several where answers are
// under way for longer than the service needs: a host would else stand idle meanwhile.
type adviser struct {
	leader *Leader
	queue  []sched.AdviceOrder // the most urgent first
	busy   map[spoolsill.HostID]int
	// transit is a moving average of how long answers are under way besides their cost,
	// cost one of what questions cost.
	transit, cost time.Duration
	failed        map[spoolsill.HostID]time.Time
	freed         chan freedHost
	// hosts can ask, as of listed.
	hosts  []spoolsill.HostID
	listed time.Time
}

// A freedHost has asked its question.
type freedHost struct {
	host   spoolsill.HostID
	failed bool
	// took is from the question to its answer, of it cost the service's time for the
	// question, and ahead that for those before it.
	took, ahead, cost time.Duration
}

func newAdviser(l *Leader) *adviser {
	return &adviser{
		leader: l,
		busy:   map[spoolsill.HostID]int{},
		failed: map[spoolsill.HostID]time.Time{},
		freed:  make(chan freedHost, eventBuffer),
	}
}

func (a *adviser) add(o sched.AdviceOrder) {
	i, _ := slices.BinarySearchFunc(a.queue, o, func(e, o sched.AdviceOrder) int {
		return cmp.Or(compareQuestions(e, o), -1) // behind those that are alike
	})
	a.queue = slices.Insert(a.queue, i, o)
}

// dispatch gives questions to hosts that are free, the most urgent first.
func (a *adviser) dispatch(ctx context.Context) {
	a.collect()
	if len(a.queue) == 0 {
		return
	}
	hosts := a.able(a.leader.config.Clock.Now())
	rest := a.queue[:0]
	longAll := false // each host that may be asked long questions is busy
	for i, o := range a.queue {
		long := o.Cost > longQuestion
		if long && longAll {
			rest = append(rest, o)
			continue
		}
		h, ok := a.free(hosts, long)
		switch {
		case ok:
			a.ask(ctx, h, o)
		case long:
			longAll = true
			rest = append(rest, o)
		default: // all hosts are busy
			a.queue = slices.Delete(a.queue, len(rest), i)
			return
		}
	}
	a.queue = rest
}

func (a *adviser) collect() {
	for {
		select {
		case f := <-a.freed:
			a.busy[f.host]--
			delete(a.failed, f.host)
			if f.failed {
				a.failed[f.host] = a.leader.config.Clock.Now()
				a.listed = time.Time{}
				continue
			}
			a.observe(f)
		default:
			return
		}
	}
}

// observe records how long an answer took.
func (a *adviser) observe(f freedHost) {
	transit := max(f.took-f.ahead-f.cost, 0)
	a.transit += time.Duration(transitRate * float64(transit-a.transit))
	a.cost += time.Duration(transitRate * float64(f.cost-a.cost))
}

// depth returns how many questions a host may have under way.
func (a *adviser) depth() int {
	if a.cost <= 0 {
		return 1
	}
	return 1 + min(int(a.transit/a.cost), depthMost-1)
}

// able returns the hosts that may reach the advisor; all of them when each has
// failed lately.
func (a *adviser) able(now time.Time) []spoolsill.HostID {
	if now.Sub(a.listed) < hostsKept {
		return a.hosts
	}
	hosts := a.leader.config.Advisor.Hosts()
	slices.Sort(hosts)
	var able []spoolsill.HostID
	for _, h := range hosts {
		if now.Sub(a.failed[h]) >= failedRest {
			able = append(able, h)
		}
	}
	if len(able) == 0 {
		able = hosts
	}
	a.hosts = able
	a.listed = now
	return able
}

// compareQuestions orders urgent ones first, then those for which room is held,
// then those for gangs that wait.
func compareQuestions(a, b sched.AdviceOrder) int {
	return cmp.Or(
		-compareBools(a.Urgent, b.Urgent),
		cmp.Compare(b.Purpose, a.Purpose),
		cmp.Compare(a.Priority, b.Priority),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// free returns a host that asks little at the moment. Long questions go to
// the first hosts only, short ones to the last that is free.
func (a *adviser) free(hosts []spoolsill.HostID, long bool) (spoolsill.HostID, bool) {
	if long {
		hosts = hosts[:max(len(hosts)-shortHosts, (len(hosts)+1)/2)]
	}
	for n := range a.depth() {
		for _, h := range slices.Backward(hosts) {
			if a.busy[h] == n {
				return h, true
			}
		}
	}
	return "", false
}

func (a *adviser) ask(ctx context.Context, h spoolsill.HostID, o sched.AdviceOrder) {
	ahead := time.Duration(a.busy[h]) * max(a.cost, o.Cost)
	a.busy[h]++
	l := a.leader
	l.spawn(func() {
		c, cancel := context.WithTimeout(ctx, ahead+o.Cost+askSlack)
		defer cancel()
		begun := l.config.Clock.Now()
		tickets, valid, err := l.config.Advisor.Ask(c, h, o.Stage, workersOf(o.Workers))
		took := l.config.Clock.Since(begun)
		l.config.Observer.Asked(outcome(err), took)
		if err != nil {
			l.config.Log.WithError(err).WithField("host", string(h)).WithField("stage", o.Stage.String()).Warn("advice failed")
		}
		a.freed <- freedHost{
			host:   h,
			failed: err != nil,
			took:   took,
			ahead:  ahead,
			cost:   o.Cost,
		}
		l.send(adviceTaken{
			advice: sched.Advice{
				Order:    o,
				Tickets:  tickets,
				Received: l.config.Clock.Now(),
				Valid:    valid,
				Lost:     err != nil,
			},
		})
	})
}

// workersOf returns the ids by which the advisor knows lives.
func workersOf(lives []spoolsill.Life) []spoolsill.WorkerID {
	ids := make([]spoolsill.WorkerID, len(lives))
	for i, l := range lives {
		ids[i] = l.Worker
	}
	return ids
}

func outcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}
