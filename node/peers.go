package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/delegate"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

// The methods that hosts call each other by.
const (
	methodGreet     = "greet"
	methodState     = "state"
	methodWaiting   = "waiting"
	methodAdvise    = "advise"
	methodSubmit    = "submit"
	methodCancel    = "cancel"
	methodTell      = "tell"
	methodNews      = "news"
	methodPiece     = "piece"
	methodRenew     = "renew"
	methodRenewLife = "renewlife"
	methodStart     = "start"
	methodStop      = "stop"
	methodStartOf   = "startof"
	methodSpec      = "spec"
)

// hostSilent is how long ago a host may have greeted the leader to be asked for
// advice; at least silentGreets of its greetings, which are further apart where
// there are many hosts.
const (
	hostSilent   = 900 * time.Millisecond
	silentGreets = 3
)

type greetRequest struct {
	Address string
	// Version is the highest one there is. Leaders of an earlier release answer
	// with the whole configuration to whoever has an older one, each time.
	Version spoolsill.Version
	// Held is the configuration that the caller has.
	Held heldConfig
	// Cores is the processor time that the caller has each second.
	Cores float64
	// Hall is where the caller stands.
	Hall spoolsill.HallID
	// Delegate tells that the caller carries out calls to workers. Hosts of an
	// earlier release can't.
	Delegate bool
	// Specs tells that the caller keeps the specs of jobs that it accepts, and as a
	// delegate fetches those of others. Hosts of an earlier release do neither.
	Specs bool
	// StoredSpecs tells that the caller, as a delegate, reads specs from the store that
	// no host has. Hosts of an earlier release do not.
	StoredSpecs bool
	// Lives tells that the caller, as a delegate, passes on which life of a worker has
	// answered. Hosts of an earlier release do not.
	Lives bool
	// MayLead tells that the caller could lead at once, Link what its link carries in
	// bytes a second. Hosts of an earlier release tell neither.
	MayLead bool
	Link    spoolsill.Bytes
}

type greetReply struct {
	Leads bool
	Epoch spoolsill.Epoch
	// Age is how long ago the leader's latest write was begun.
	Age time.Duration
	// Writes is how many writes of the leadership last, the latest one included.
	Writes uint64
	// UsualWrite is how long the leader's writes take at present.
	UsualWrite time.Duration
	// Refused is for how long the store has turned all writes of the leader away.
	Refused time.Duration
	// MostCores is that of the largest host that the leader knows of.
	MostCores float64
	// Hosts is how many hosts there are.
	Hosts int
	// Loading tells that the leader reads what a former one left: it can say of no job
	// yet, and hears of each from the store. Leaders of an earlier release don't say.
	Loading bool
	// Refuse is the share of the jobs that hosts should not take now; leaders of an
	// earlier release have all of them taken.
	Refuse float64
	// AnswerLatency is how long answers of workers are under way at the leader.
	AnswerLatency time.Duration
	// Held is the configuration that the replying host has.
	Held heldConfig
}

type stateRequest struct {
	Job spoolsill.JobID
}

type stateReply struct {
	Known bool
	// Sure tells that a job that is not known was not accepted either.
	Sure  bool
	State sched.JobState
	// Team is whose job it is; leaders of the release before teams do not say.
	Team spoolsill.TeamID
}

type waitingRequest struct {
	Queue sched.QueueID
}

type waitingReply struct {
	Known   bool
	Waiting int
}

type submitRequest struct {
	Job []byte
}

type submitReply struct {
	Outcome jobstore.Outcome
}

// A tellRequest tells the leader of a job that lasts.
type tellRequest struct {
	Row store.Row
}

type tellReply struct{}

type cancelRequest struct {
	Job spoolsill.JobID
	// Caller may cancel jobs of its own only. Hosts of the release before teams say
	// nothing of callers, which may cancel any.
	Caller platform.Caller
}

type cancelReply struct {
	Known bool
	// Foreign tells that it is another team's job.
	Foreign bool
}

func (n *Node) handlePeers() {
	peer.Handle(n.peers, methodGreet, n.greeted)
	peer.Handle(n.peers, methodState, n.stateAsked)
	peer.Handle(n.peers, methodWaiting, n.waitingAsked)
	peer.Handle(n.peers, methodAdvise, n.adviceAsked)
	peer.Handle(n.peers, methodSubmit, n.submitAsked)
	peer.Handle(n.peers, methodCancel, n.cancelAsked)
	peer.Handle(n.peers, methodTell, n.told)
	peer.Handle(n.peers, methodNews, n.newsAsked)
	peer.Handle(n.peers, methodPiece, n.pieceAsked)
	peer.Handle(n.peers, methodRenew, n.renewAsked)
	peer.Handle(n.peers, methodRenewLife, n.renewLifeAsked)
	peer.Handle(n.peers, methodStart, n.startAsked)
	peer.Handle(n.peers, methodStop, n.stopAsked)
	peer.Handle(n.peers, methodStartOf, n.startOfAsked)
	peer.Handle(n.peers, methodSpec, n.specAsked)
}

func (n *Node) greeted(_ context.Context, c peer.Caller, q greetRequest) (greetReply, error) {
	n.peers.SetAddress(c.Host, q.Address)
	now := n.clock.Now()
	n.hosts.greeted(c.Host, greetedHost{
		at:       now,
		cores:    q.Cores,
		hall:     q.Hall,
		delegate: q.Delegate,
		specs:    q.Specs,
		stored:   q.StoredSpecs,
		lives:    q.Lives,
		address:  q.Address,
	})
	n.configs.offeredBy(c.Host, q.Held, now)
	r := greetReply{
		Held: n.configs.held(now),
	}
	if l := n.leaderHere(); l != nil {
		n.yieldTo(now, l, c.Host, q)
		r.Leads = true
		r.Epoch = l.Epoch()
		begun, writes := l.Latest()
		r.Age = n.clock.Since(begun)
		r.Writes = writes
		r.UsualWrite = n.health.usualWrite()
		r.Refused = n.health.refusedFor(n.clock.Now())
		n.noteYield(r)
		r.MostCores = max(n.hosts.mostCores(), n.settings.Cores)
		r.Hosts = n.hosts.count() + 1
		r.Loading = !l.Loaded()
		s := n.sheds(now, l)
		r.Refuse = s.share
		r.AnswerLatency = s.latency
	}
	return r, nil
}

var errNotLeading = &peer.RemoteError{
	Code: peer.CodeBusy,
	Text: "this host does not lead",
}

func (n *Node) stateAsked(ctx context.Context, _ peer.Caller, q stateRequest) (stateReply, error) {
	l := n.leaderHere()
	if l == nil {
		return stateReply{}, errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	s, known, sure := l.Settle(ctx, q.Job)
	if known && !s.State.Final() && !n.leadsAlone(l) {
		return stateReply{}, nil
	}
	return stateReply{
		Known: known,
		Sure:  sure,
		State: s.State,
		Team:  s.Team,
	}, nil
}

// noteYield takes in that this host has told another one that the store turns it
// away. From then on others may take over, until its next write lasts.
func (n *Node) noteYield(r greetReply) {
	if !r.turnedAway() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.yielded = ledWrite{
		epoch:  r.Epoch,
		writes: r.Writes,
	}
}

// leadsAlone reports whether no other host can have taken over from this one:
// they wait until its row has not changed for lapse at least, or until it tells
// them that the store turns it away. A leader that was paused or is cut from the
// store would else tell that a job runs which the next one has completed.
func (n *Node) leadsAlone(l *leader.Leader) bool {
	begun, writes := l.Latest()
	w := ledWrite{
		epoch:  l.Epoch(),
		writes: writes,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Since(begun) < lapse && n.yielded != w
}

func (n *Node) waitingAsked(_ context.Context, _ peer.Caller, q waitingRequest) (waitingReply, error) {
	l := n.leaderHere()
	if l == nil {
		return waitingReply{}, errNotLeading
	}
	w, ok := l.Waiting(q.Queue)
	return waitingReply{
		Known:   ok,
		Waiting: w,
	}, nil
}

func (n *Node) submitAsked(ctx context.Context, _ peer.Caller, q submitRequest) (submitReply, error) {
	j, err := jobstore.DecodeJob(q.Job)
	if err != nil {
		return submitReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, handOnTimeout)
	defer cancel()
	o, err := n.jobs.Accept(ctx, j)
	if err != nil {
		n.log.WithError(err).WithField("job", string(j.ID)).Warn("job handed on by a host was not written")
	}
	if o == jobstore.Accepted {
		n.keepSpec(j)
		n.tellJob(ctx, j)
	}
	return submitReply{
		Outcome: o,
	}, nil
}

func (n *Node) told(_ context.Context, _ peer.Caller, q tellRequest) (tellReply, error) {
	l := n.leaderHere()
	if l == nil {
		return tellReply{}, errNotLeading
	}
	l.Tell(q.Row)
	return tellReply{}, nil
}

func (n *Node) cancelAsked(ctx context.Context, _ peer.Caller, q cancelRequest) (cancelReply, error) {
	o, err := n.cancelHere(ctx, q.Caller, q.Job)
	return cancelReply{
		Known:   o != platform.NoSuch,
		Foreign: o == platform.Foreign,
	}, err
}

// silentSince returns since when hosts that have not greeted count as silent.
func (n *Node) silentSince(now time.Time) time.Time {
	return now.Add(-max(hostSilent, silentGreets*n.spaced(greetEvery)))
}

// refused reports whether a call failed because nothing listens at the other
// side: the process is gone.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// A hostList has the hosts that greet this one.
type hostList struct {
	mu   sync.Mutex
	seen map[spoolsill.HostID]greetedHost
}

type greetedHost struct {
	at       time.Time
	cores    float64
	hall     spoolsill.HallID
	delegate bool
	specs    bool
	stored   bool
	lives    bool
	address  string
}

func (l *hostList) greeted(h spoolsill.HostID, g greetedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[spoolsill.HostID]greetedHost{}
	}
	l.seen[h] = g
}

// delegates returns the hosts that have greeted at or after a time and carry out
// calls to workers.
func (l *hostList) delegates(since time.Time) []delegate.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []delegate.Host
	for h, g := range l.seen {
		if !g.delegate || g.at.Before(since) {
			continue
		}
		hosts = append(hosts, delegate.Host{
			ID:    h,
			Hall:  g.hall,
			Cores: g.cores,
		})
	}
	return hosts
}

// specsAt returns where a host is reached that keeps specs and has greeted at or after
// a time.
func (l *hostList) specsAt(h spoolsill.HostID, since time.Time) (address string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.seen[h]
	return g.address, g.specs && !g.at.Before(since)
}

// fetchesSpecs reports whether a host fetches specs as a delegate.
func (l *hostList) fetchesSpecs(h spoolsill.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[h].specs
}

// readsSpecs reports whether a host, as a delegate, reads specs from the store.
func (l *hostList) readsSpecs(h spoolsill.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[h].stored
}

// tellsLives reports whether a host, as a delegate, passes on which life has answered.
func (l *hostList) tellsLives(h spoolsill.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[h].lives
}

func (l *hostList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.seen)
}

// mostCores returns the cores of the largest host.
func (l *hostList) mostCores() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var most float64
	for _, g := range l.seen {
		most = max(most, g.cores)
	}
	return most
}

// since returns the hosts that have greeted at or after a time, and forgets
// the others.
func (l *hostList) since(t time.Time) []spoolsill.HostID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []spoolsill.HostID
	for h, g := range l.seen {
		if g.at.Before(t) {
			delete(l.seen, h)
			continue
		}
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}
