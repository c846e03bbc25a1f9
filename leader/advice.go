package leader

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/advisor"
	"github.com/spoolsill/spoolsill/sched"
)

// An Advisor asks the advisor service through the hosts of the cell. The service answers one
// query of a host at a time, so a high rate needs many hosts.
type Advisor interface {
	// Hosts returns the hosts that can ask now.
	Hosts() []spoolsill.HostID
	// Ask makes a host ask which of the workers may run a stage. It returns the tickets of
	// those that may, and how long the tickets are valid.
	Ask(ctx context.Context, h spoolsill.HostID, stage sched.StageID, workers []spoolsill.WorkerID) ([]sched.Ticket, time.Duration, error)
}

const (
	// minReserved is the number of hosts that get no long queries, so that short ones soon find a
	// free host. While the advisor's time is short, the number follows their rate.
	minReserved = 2
	// The timeout of a query is its cost, that of the queries ahead of it, and a margin of
	// marginFactor times the usual time in transit, within minAskMargin and maxAskMargin:
	// the time in transit grows with the load of the leader's link.
	marginFactor = 3
	minAskMargin = 300 * time.Millisecond
	maxAskMargin = 2 * time.Second
	// failedHostBackoff is how long a host whose query failed is avoided if others are
	// available: as long as most problems of a single host last.
	failedHostBackoff = 3 * time.Second
	// maxDepth bounds the queries in flight from one host. The service accepts 32 at most,
	// also from a host that still has those of a former leader.
	maxDepth = 8
	// maxSlots bounds depth, so that the scheduler decides late which stages to ask about.
	maxSlots = 3
	// overheadWeight is the weight of the newest answer in the moving averages.
	overheadWeight = 0.1
	// hostsCacheTime is how long the list of hosts is cached: many queries are sent
	// within it, and hosts come and go less often.
	hostsCacheTime = 20 * time.Millisecond
)

// An adviceDispatcher distributes queries over hosts. A host gets the next one so that it arrives
// when the service is expected to be done with those before: with one at a time, the host
// would be idle while an answer is in transit.
type adviceDispatcher struct {
	leader *Leader
	queue  []sched.AdviceOrder // most urgent first
	loads  map[spoolsill.HostID]hostLoad
	// short is the rate of short queries, reserved the number of hosts reserved for them.
	short    advisor.Rate
	reserved int
	// overhead is a moving average of the latency of answers beyond the cost of the
	// query; averageCost is that of the cost.
	overhead, averageCost time.Duration
	failed                map[spoolsill.HostID]time.Time
	answered              chan answeredQuery
	// hosts is the cached list of available hosts, as of listed.
	hosts  []spoolsill.HostID
	listed time.Time
}

// A hostLoad describes the queries that a host has in flight.
type hostLoad struct {
	queries int
	cost    time.Duration // the service's time for all of them
	freeAt  time.Time     // when the service is expected to be done with them
}

// An answeredQuery is the outcome of a query that the leader had a host make.
type answeredQuery struct {
	host   spoolsill.HostID
	failed bool
	// late is set when the query was given up at its timeout. Its answer would have taken
	// longer than took.
	late bool
	// took is the time from query to answer; cost is the service's time for the query,
	// and wait the expected time until the service is done with those ahead of it.
	took, wait, cost time.Duration
}

func newAdviceDispatcher(l *Leader) *adviceDispatcher {
	return &adviceDispatcher{
		leader:   l,
		loads:    map[spoolsill.HostID]hostLoad{},
		failed:   map[spoolsill.HostID]time.Time{},
		answered: make(chan answeredQuery, eventBuffer),
	}
}

func (a *adviceDispatcher) enqueue(o sched.AdviceOrder) {
	i, _ := slices.BinarySearchFunc(a.queue, o, func(e, o sched.AdviceOrder) int {
		return cmp.Or(compareQueries(e, o), -1) // insert after equal elements
	})
	a.queue = slices.Insert(a.queue, i, o)
	if o.Cost <= advisor.LongQuery {
		a.short.Add(a.leader.config.Clock.Now(), o.Cost)
	}
}

// dispatch sends queries to free hosts, the most urgent first.
func (a *adviceDispatcher) dispatch(ctx context.Context) {
	a.collectAnswers()
	if len(a.queue) == 0 {
		return
	}
	now := a.leader.config.Clock.Now()
	hosts := a.availableHosts(now)
	a.reserved = minReserved
	if a.leader.state.AdviceShort() {
		a.reserved = max(advisor.Reserve(a.short.At(now)), minReserved)
	}
	a.reserved = min(a.reserved, len(hosts)/2)
	forLong := hosts[:len(hosts)-a.reserved]
	rest := a.queue[:0]
	longBusy := false // all hosts for long queries are busy
	for i, o := range a.queue {
		long := o.Cost > advisor.LongQuery
		if long && longBusy {
			rest = append(rest, o)
			continue
		}
		among := hosts
		if long {
			among = forLong
		}
		h, ok := a.pickHost(among, now)
		switch {
		case ok:
			a.ask(ctx, h, o)
		case long:
			longBusy = true
			rest = append(rest, o)
		default: // all hosts are busy
			a.queue = slices.Delete(a.queue, len(rest), i)
			return
		}
	}
	a.queue = rest
}

func (a *adviceDispatcher) collectAnswers() {
	for {
		select {
		case q := <-a.answered:
			now := a.leader.config.Clock.Now()
			a.ended(q, now)
			delete(a.failed, q.host)
			if q.failed {
				a.failed[q.host] = now
				a.listed = time.Time{}
				if q.late {
					a.observe(q)
				}
				continue
			}
			a.observe(q)
		default:
			return
		}
	}
}

// observe updates the averages with an answer.
func (a *adviceDispatcher) observe(q answeredQuery) {
	overhead := max(q.took-q.wait-q.cost, 0)
	a.overhead += time.Duration(overheadWeight * float64(overhead-a.overhead))
	a.averageCost += time.Duration(overheadWeight * float64(q.cost-a.averageCost))
}

// margin returns how much longer a query may take than the service needs for it.
func (a *adviceDispatcher) margin() time.Duration {
	return min(max(marginFactor*a.overhead, minAskMargin), maxAskMargin)
}

// atHosts returns how many queries hosts have in flight.
func (a *adviceDispatcher) atHosts() int {
	n := 0
	for _, l := range a.loads {
		n += l.queries
	}
	return n
}

// depth returns how many queries of average cost keep a host busy. The scheduler orders queries
// in proportion to it.
func (a *adviceDispatcher) depth() int {
	if a.averageCost <= 0 {
		return 1
	}
	return 1 + min(int((a.overhead+a.averageCost/2)/a.averageCost), maxSlots-1)
}

// availableHosts returns the hosts without a recent failure, or all hosts if each had one.
func (a *adviceDispatcher) availableHosts(now time.Time) []spoolsill.HostID {
	if now.Sub(a.listed) < hostsCacheTime {
		return a.hosts
	}
	hosts := a.leader.config.Advisor.Hosts()
	slices.Sort(hosts)
	var available []spoolsill.HostID
	for _, h := range hosts {
		if now.Sub(a.failed[h]) >= failedHostBackoff {
			available = append(available, h)
		}
	}
	if len(available) == 0 {
		available = hosts
	}
	a.hosts = available
	a.listed = now
	return available
}

// compareQueries orders urgent queries first, then by purpose: those for runs whose capacity is
// held, those for waiting gangs, and all others. Then it orders by priority.
func compareQueries(a, b sched.AdviceOrder) int {
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

// pickHost returns the host whose service is expected to be free first, the last one if there
// are several. It returns false if none can use a query yet.
func (a *adviceDispatcher) pickHost(hosts []spoolsill.HostID, now time.Time) (spoolsill.HostID, bool) {
	var best spoolsill.HostID
	for _, h := range slices.Backward(hosts) {
		if !a.canUseQuery(h, now) {
			continue
		}
		if best == "" || a.loads[h].freeAt.Before(a.loads[best].freeAt) {
			best = h
		}
	}
	return best, best != ""
}

// canUseQuery reports whether a query sent to a host now would arrive when the service is expected
// to be done with those before. While all answers are overdue, the service or the link is
// slower than expected, and further queries would pile up there.
func (a *adviceDispatcher) canUseQuery(h spoolsill.HostID, now time.Time) bool {
	l := a.loads[h]
	if l.queries == 0 {
		return true
	}
	overdue := now.After(l.freeAt.Add(a.overhead / 2))
	return l.queries < maxDepth && a.wait(h, now) == 0 && !overdue
}

// wait returns how long a query sent to a host now is expected to wait there for those ahead.
func (a *adviceDispatcher) wait(h spoolsill.HostID, now time.Time) time.Duration {
	return max(a.loads[h].freeAt.Sub(now.Add(a.overhead/2)), 0)
}

// sent adds a query to the load of a host and returns how long it is expected to wait there.
func (a *adviceDispatcher) sent(h spoolsill.HostID, now time.Time, cost time.Duration) time.Duration {
	wait := a.wait(h, now)
	l := a.loads[h]
	l.queries++
	l.cost += cost
	l.freeAt = now.Add(a.overhead/2 + wait + cost)
	a.loads[h] = l
	return wait
}

// ended removes a query from the load of a host. If the service is slower than expected, the
// queries behind it are expected later.
func (a *adviceDispatcher) ended(q answeredQuery, now time.Time) {
	l := a.loads[q.host]
	l.queries--
	l.cost -= q.cost
	if l.queries == 0 {
		delete(a.loads, q.host)
		return
	}
	if t := now.Add(l.cost - a.overhead/2); !q.failed && t.After(l.freeAt) {
		l.freeAt = t
	}
	a.loads[q.host] = l
}

func (a *adviceDispatcher) ask(ctx context.Context, h spoolsill.HostID, o sched.AdviceOrder) {
	wait := a.sent(h, a.leader.config.Clock.Now(), o.Cost)
	timeout := wait + o.Cost + a.margin()
	l := a.leader
	l.spawn(func() {
		c, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		begun := l.config.Clock.Now()
		tickets, valid, err := l.config.Advisor.Ask(c, h, o.Stage, workerIDs(o.Workers))
		took := l.config.Clock.Since(begun)
		l.config.Observer.RecordAdvice(adviceOutcome(err), took)
		if err != nil {
			l.config.Log.WithError(err).WithField("host", string(h)).WithField("stage", o.Stage.String()).Warn("question to the advisor failed")
		}
		a.answered <- answeredQuery{
			host:   h,
			failed: err != nil,
			late:   errors.Is(err, context.DeadlineExceeded),
			took:   took,
			wait:   wait,
			cost:   o.Cost,
		}
		l.send(adviceReceived{
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

// workerIDs returns the worker ids, by which the advisor identifies incarnations.
func workerIDs(incarnations []spoolsill.WorkerIncarnation) []spoolsill.WorkerID {
	ids := make([]spoolsill.WorkerID, len(incarnations))
	for i, incarnation := range incarnations {
		ids[i] = incarnation.Worker
	}
	return ids
}

func adviceOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}
