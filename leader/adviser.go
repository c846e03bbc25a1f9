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
	// hostsKept is how long the list of hosts that can ask is used: questions go
	// out many times in it, hosts come and go less often.
	hostsKept = 20 * time.Millisecond
)

// An adviser spreads questions over hosts, one at a time each.
type adviser struct {
	leader *Leader
	queue  []sched.AdviceOrder // the most urgent first
	busy   map[spoolsill.HostID]bool
	failed map[spoolsill.HostID]time.Time
	freed  chan freedHost
	// hosts can ask, as of listed.
	hosts  []spoolsill.HostID
	listed time.Time
}

// A freedHost has asked its question.
type freedHost struct {
	host   spoolsill.HostID
	failed bool
}

func newAdviser(l *Leader) *adviser {
	return &adviser{
		leader: l,
		busy:   map[spoolsill.HostID]bool{},
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
			delete(a.busy, f.host)
			delete(a.failed, f.host)
			if f.failed {
				a.failed[f.host] = a.leader.config.Clock.Now()
				a.listed = time.Time{}
			}
		default:
			return
		}
	}
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

// free returns a host that asks nothing at the moment. Long questions go to
// the first hosts only, short ones to the last that is free.
func (a *adviser) free(hosts []spoolsill.HostID, long bool) (spoolsill.HostID, bool) {
	if long {
		hosts = hosts[:max(len(hosts)-shortHosts, (len(hosts)+1)/2)]
	}
	for _, h := range slices.Backward(hosts) {
		if !a.busy[h] {
			return h, true
		}
	}
	return "", false
}

func (a *adviser) ask(ctx context.Context, h spoolsill.HostID, o sched.AdviceOrder) {
	a.busy[h] = true
	l := a.leader
	l.spawn(func() {
		c, cancel := context.WithTimeout(ctx, o.Cost+askSlack)
		defer cancel()
		begun := l.config.Clock.Now()
		tickets, valid, err := l.config.Advisor.Ask(c, h, o.Stage, workersOf(o.Workers))
		l.config.Observer.Asked(outcome(err), l.config.Clock.Since(begun))
		if err != nil {
			l.config.Log.WithError(err).WithField("host", string(h)).WithField("stage", o.Stage.String()).Warn("advice failed")
		}
		a.freed <- freedHost{
			host:   h,
			failed: err != nil,
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
