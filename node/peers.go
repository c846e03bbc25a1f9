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

// The names of the methods that hosts call on each other.
const (
	methodHeartbeat        = "greet"
	methodState            = "state"
	methodWaiting          = "waiting"
	methodAdvise           = "advise"
	methodSubmit           = "submit"
	methodCancel           = "cancel"
	methodNotify           = "tell"
	methodPeerInfo         = "news"
	methodPiece            = "piece"
	methodRenew            = "renew"
	methodRenewIncarnation = "renewlife"
	methodRenewGroup       = "renewgroup"
	methodStart            = "start"
	methodStop             = "stop"
	methodStartByRef       = "startof"
	methodSpec             = "spec"
)

const (
	// hostSilenceTimeout is how recently a host must have sent a heartbeat for the leader
	// to use it for calls to workers and the advisor.
	hostSilenceTimeout = 900 * time.Millisecond
	// minSilenceIntervals is the minimum of that time in heartbeat intervals, which are
	// longer in cells with many hosts.
	minSilenceIntervals = 3
)

type heartbeatRequest struct {
	Address string
	// Version is always the maximum. A leader of an earlier release responds with the
	// whole configuration to each heartbeat with a lower version than its own.
	Version spoolsill.Version
	// Held describes the caller's configuration.
	Held configSummary
	// Cores is the caller's processor capacity in cores.
	Cores float64
	// Hall is the caller's hall.
	Hall spoolsill.HallID
	// Delegate is set if the caller makes calls to workers on behalf of the leader.
	// Hosts of earlier releases cannot.
	Delegate bool
	// Specs is set if the caller caches the specs of jobs that it accepts and, as a
	// delegate, fetches specs from other hosts. Hosts of earlier releases do neither.
	Specs bool
	// StoredSpecs is set if the caller, as a delegate, reads specs from the store that
	// no host has cached. Hosts of earlier releases do not.
	StoredSpecs bool
	// Lives is set if the caller, as a delegate, reports which incarnation of a worker
	// answered. Hosts of earlier releases do not.
	Lives bool
	// Groups is set if the caller, as a delegate, renews the leases of many workers in one
	// call. Hosts of earlier releases do not.
	Groups bool
	// MayLead is set if the caller could take over the leadership now. Link is its link
	// capacity in bytes a second. Hosts of earlier releases send neither.
	MayLead bool
	Link    spoolsill.Bytes
	// Epoch is that of the leadership that the caller follows. Hosts of earlier releases send
	// none.
	Epoch spoolsill.Epoch
	// Countable is set if the caller knows what it means to be counted as a follower, and does not
	// try to take over. Confirms is the stamp of the last reply that it had meanwhile. Hosts of
	// earlier releases send neither.
	Countable bool
	Confirms  leader.Stamp
}

type heartbeatReply struct {
	Leads bool
	Epoch spoolsill.Epoch
	// Age is the time since the leader began its latest successful write.
	Age time.Duration
	// Writes is the number of successful writes of this leadership, including the
	// latest one.
	Writes uint64
	// UsualWrite is the average duration of the leader's writes.
	UsualWrite time.Duration
	// Refused is how long the store has refused all writes of the leader.
	Refused time.Duration
	// MostCores is the processor capacity of the largest host known to the leader.
	MostCores float64
	// Hosts is the number of hosts.
	Hosts int
	// Loading is set while a new leader reads the stored jobs. Until then it knows the
	// state of no job and learns of new ones from the store. Leaders of earlier
	// releases do not set it.
	Loading bool
	// Refuse is the share of jobs that hosts should refuse for now. Leaders of earlier
	// releases refuse none.
	Refuse float64
	// AnswerLatency is the latency of worker responses at the leader.
	AnswerLatency time.Duration
	// Unmeasured is set if no worker has responded to the leader yet, so that the
	// latency is unknown. Leaders of earlier releases do not set it.
	Unmeasured bool
	// Held describes the configuration of the replying host.
	Held configSummary
	// Counted is set if the leader counts the caller as a follower. Stamp is to be sent back with the
	// next heartbeat. Leaders of earlier releases set neither.
	Counted bool
	Stamp   leader.Stamp
}

type stateRequest struct {
	Job spoolsill.JobID
}

type stateReply struct {
	Known bool
	// Sure is set if the leader is certain that an unknown job was never accepted.
	Sure  bool
	State sched.JobState
	// Team is the team that owns the job. Leaders of releases without teams do not set
	// it.
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

// A notifyRequest notifies the leader of a stored job row.
type notifyRequest struct {
	Row store.Row
}

type notifyReply struct{}

type cancelRequest struct {
	Job spoolsill.JobID
	// Caller may only cancel its own jobs. Hosts of releases without teams send no
	// caller, which may cancel any job.
	Caller platform.Caller
}

type cancelReply struct {
	Known bool
	// Foreign is set if the job belongs to another team.
	Foreign bool
}

func (n *Node) registerHandlers() {
	peer.Handle(n.peers, methodHeartbeat, n.handleHeartbeat)
	peer.Handle(n.peers, methodState, n.handleState)
	peer.Handle(n.peers, methodWaiting, n.handleWaiting)
	peer.Handle(n.peers, methodAdvise, n.handleAdvise)
	peer.Handle(n.peers, methodSubmit, n.handleSubmit)
	peer.Handle(n.peers, methodCancel, n.handleCancel)
	peer.Handle(n.peers, methodNotify, n.handleNotify)
	peer.Handle(n.peers, methodPeerInfo, n.handlePeerInfo)
	peer.Handle(n.peers, methodPiece, n.handlePiece)
	peer.Handle(n.peers, methodRenew, n.handleRenew)
	peer.Handle(n.peers, methodRenewIncarnation, n.handleRenewIncarnation)
	peer.Handle(n.peers, methodRenewGroup, n.handleRenewGroup)
	peer.Handle(n.peers, methodStart, n.handleStart)
	peer.Handle(n.peers, methodStop, n.handleStop)
	peer.Handle(n.peers, methodStartByRef, n.handleStartByRef)
	peer.Handle(n.peers, methodSpec, n.handleSpec)
}

func (n *Node) handleHeartbeat(_ context.Context, c peer.Caller, q heartbeatRequest) (heartbeatReply, error) {
	n.peers.SetAddress(c.Host, q.Address)
	now := n.clock.Now()
	n.hosts.record(c.Host, hostInfo{
		lastHeartbeat:       now,
		cores:               q.Cores,
		hall:                q.Hall,
		isDelegate:          q.Delegate,
		cachesSpecs:         q.Specs,
		readsStoredSpecs:    q.StoredSpecs,
		reportsIncarnations: q.Lives,
		renewsGroups:        q.Groups,
		address:             q.Address,
	})
	n.configs.recordOffer(c.Host, q.Held, now)
	r := heartbeatReply{
		Held: n.configs.summary(now),
	}
	if l := n.localLeader(); l != nil {
		n.maybeYieldTo(now, l, c.Host, q)
		if q.Epoch == l.Epoch() {
			l.RecordFollower(c.Host)
			r.Counted = q.Countable
		}
		if r.Counted {
			r.Stamp = l.CountFollower(leader.FollowerID(c), q.Confirms)
		}
		r.Leads = true
		r.Epoch = l.Epoch()
		begun, writes := l.LastWrite()
		r.Age = n.clock.Since(begun)
		r.Writes = writes
		r.UsualWrite = n.health.averageWrite()
		r.Refused = n.health.refusedFor(n.clock.Now())
		n.recordReportedRefusal(r)
		r.MostCores = max(n.hosts.maxCores(), n.settings.Cores)
		r.Hosts = n.hosts.count() + 1
		s := n.updateShed(now, l)
		r.Loading = s.loading
		r.Refuse = s.share
		r.AnswerLatency = s.latency
		r.Unmeasured = s.unmeasured
	}
	return r, nil
}

var errNotLeading = &peer.RemoteError{
	Code: peer.CodeBusy,
	Text: "this host does not lead",
}

func (n *Node) handleState(ctx context.Context, _ peer.Caller, q stateRequest) (stateReply, error) {
	l := n.localLeader()
	if l == nil {
		return stateReply{}, errNotLeading
	}
	s, known, sure := n.leaderStatus(ctx, l, q.Job)
	if known && !s.State.Final() && !n.leadsExclusively(l) {
		return stateReply{}, nil
	}
	return stateReply{
		Known: known,
		Sure:  sure,
		State: s.State,
		Team:  s.Team,
	}, nil
}

// leaderStatus returns the state of a job that the leader on this host knows. For an unknown
// job it waits for the leader's feed, unless the store is away.
func (n *Node) leaderStatus(ctx context.Context, l *leader.Leader, id spoolsill.JobID) (s sched.JobStatus, known, sure bool) {
	if !n.health.reachable(n.clock.Now()) {
		s, known = l.Status(id)
		return s, known, known
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return l.AwaitStatus(ctx, id)
}

// recordReportedRefusal records that this host has reported to another one that the
// store refuses its writes, if r does so. Other hosts may take over from then on, until
// its next write succeeds.
func (n *Node) recordReportedRefusal(r heartbeatReply) {
	if !r.refusedByStore() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reportedRefusal = leaderWrite{
		epoch:  r.Epoch,
		writes: r.Writes,
	}
}

// leadsExclusively reports whether no other host can have taken over from this one.
// Others wait until its row has not changed for at least electionTimeout, or until it
// reports that the store refuses its writes. Without this check, a leader that was
// paused or cut off from the store might report a job as running that the next leader
// has completed.
func (n *Node) leadsExclusively(l *leader.Leader) bool {
	begun, writes := l.LastWrite()
	w := leaderWrite{
		epoch:  l.Epoch(),
		writes: writes,
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Since(begun) < electionTimeout && n.reportedRefusal != w
}

func (n *Node) handleWaiting(_ context.Context, _ peer.Caller, q waitingRequest) (waitingReply, error) {
	l := n.localLeader()
	if l == nil {
		return waitingReply{}, errNotLeading
	}
	w, ok := l.PendingJobs(q.Queue)
	return waitingReply{
		Known:   ok,
		Waiting: w,
	}, nil
}

func (n *Node) handleSubmit(ctx context.Context, _ peer.Caller, q submitRequest) (submitReply, error) {
	j, err := jobstore.DecodeJob(q.Job)
	if err != nil {
		return submitReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	o, err := n.jobs.Accept(ctx, j)
	if err != nil {
		n.log.WithError(err).WithField("job", string(j.ID)).Warn("could not store forwarded job")
	}
	if o == jobstore.Accepted {
		n.cacheSpec(j)
		n.notifyJob(ctx, j)
	}
	return submitReply{
		Outcome: o,
	}, nil
}

func (n *Node) handleNotify(_ context.Context, _ peer.Caller, q notifyRequest) (notifyReply, error) {
	l := n.localLeader()
	if l == nil {
		return notifyReply{}, errNotLeading
	}
	l.NotifyRow(q.Row)
	return notifyReply{}, nil
}

func (n *Node) handleCancel(ctx context.Context, _ peer.Caller, q cancelRequest) (cancelReply, error) {
	o, err := n.cancelLocally(ctx, q.Caller, q.Job)
	if err != nil && o == platform.Unavailable {
		return cancelReply{}, &peer.RemoteError{
			Code: peer.CodeBusy, // not carried out
			Text: err.Error(),
		}
	}
	return cancelReply{
		Known:   o != platform.NotFound,
		Foreign: o == platform.Forbidden,
	}, err
}

// silenceCutoff returns the time at or after which a host must have sent a heartbeat to
// count as alive.
func (n *Node) silenceCutoff(now time.Time) time.Time {
	return now.Add(-max(hostSilenceTimeout, minSilenceIntervals*n.scaledInterval(heartbeatInterval)))
}

// isConnRefused reports whether a call failed because nothing listens at the remote
// address, which means that the process is gone.
func isConnRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// A hostList records the hosts that send heartbeats to this one.
type hostList struct {
	mu      sync.Mutex
	seen    map[spoolsill.HostID]hostInfo
	largest float64 // processor capacity of the largest host
}

type hostInfo struct {
	lastHeartbeat       time.Time
	cores               float64
	hall                spoolsill.HallID
	isDelegate          bool
	cachesSpecs         bool
	readsStoredSpecs    bool
	reportsIncarnations bool
	renewsGroups        bool
	address             string
}

func (l *hostList) record(h spoolsill.HostID, info hostInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[spoolsill.HostID]hostInfo{}
	}
	l.seen[h] = info
	l.largest = max(l.largest, info.cores)
}

// delegates returns the hosts that make calls to workers for the leader and have sent a
// heartbeat at or after since.
func (l *hostList) delegates(since time.Time) []delegate.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []delegate.Host
	for h, info := range l.seen {
		if !info.isDelegate || info.lastHeartbeat.Before(since) {
			continue
		}
		hosts = append(hosts, delegate.Host{
			ID:    h,
			Hall:  info.hall,
			Cores: info.cores,
		})
	}
	return hosts
}

// specSource returns the address of a host that caches specs. It reports false if the
// host does not, or has not sent a heartbeat at or after since.
func (l *hostList) specSource(h spoolsill.HostID, since time.Time) (address string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	info := l.seen[h]
	return info.address, info.cachesSpecs && !info.lastHeartbeat.Before(since)
}

// fetchesSpecs reports whether a host fetches specs from other hosts as a delegate.
func (l *hostList) fetchesSpecs(h spoolsill.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[h].cachesSpecs
}

// readsStoredSpecs reports whether a host reads specs from the store as a delegate.
func (l *hostList) readsStoredSpecs(h spoolsill.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[h].readsStoredSpecs
}

// reportsIncarnations reports whether a host, as a delegate, reports which incarnation of
// a worker answered.
func (l *hostList) reportsIncarnations(h spoolsill.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[h].reportsIncarnations
}

// renewsGroups reports whether a host, as a delegate, renews the leases of many workers in one
// call.
func (l *hostList) renewsGroups(h spoolsill.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen[h].renewsGroups
}

func (l *hostList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.seen)
}

// maxCores returns the processor capacity of the largest host.
func (l *hostList) maxCores() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.largest
}

// activeSince returns the hosts that have sent a heartbeat at or after t, and removes
// the others.
func (l *hostList) activeSince(t time.Time) []spoolsill.HostID {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []spoolsill.HostID
	l.largest = 0
	for h, info := range l.seen {
		if info.lastHeartbeat.Before(t) {
			delete(l.seen, h)
			continue
		}
		l.largest = max(l.largest, info.cores)
		hosts = append(hosts, h)
	}
	slices.Sort(hosts)
	return hosts
}
