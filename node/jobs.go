package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/retryafter"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// submitTimeFraction is the fraction of a client's remaining time for which a host
	// tries to store a job before it tells the client to retry. It allows for a lost
	// response or a slow store, and is well under half, so that a client whose host is
	// cut off can still be served by another one.
	submitTimeFraction = 0.4
	// writeRetryDelay is the delay before retrying a write that the store refused.
	writeRetryDelay = 60 * time.Millisecond
	// storeDownBudget is how long a host tries when it reaches neither the store nor a
	// leader that does: a tenth of the time that clients wait.
	storeDownBudget = 300 * time.Millisecond
	// leaderQueryTimeout limits one query to the leader.
	leaderQueryTimeout = 250 * time.Millisecond
	// settleTimeout is how long the leader waits for its feed to establish that an
	// unknown job does not exist. It is less than leaderQueryTimeout. A feed with changes
	// responds about fifteen times a second, an idle feed once.
	settleTimeout = 180 * time.Millisecond
	// maxConcurrentCancels limits the cancel marks written at once. While the store
	// loses responses, each of them occupies a connection for a second, which the
	// leader's own writes need.
	maxConcurrentCancels = 8
	// maxConcurrentLookups limits the jobs that a host looks up in the store at once
	// when the leader does not answer. Each lookup reads the partitions of all hosts.
	// On links of 2 Mbit/s such reads took half of the bandwidth that a new leader
	// needs to start.
	maxConcurrentLookups = 4
	// maxConcurrentNotifications limits the concurrent calls that notify the leader of
	// jobs.
	maxConcurrentNotifications = 128
	// forwardTimeout limits a submit or cancel call that is forwarded to the leader.
	forwardTimeout = 600 * time.Millisecond
	// lookupTimeout limits one lookup of a job in the store: as long as clients wait.
	lookupTimeout = 3 * time.Second
	// storeProbeTimeout limits one probe of a store that is unreachable. It is longer than a
	// slow store takes to begin its response.
	storeProbeTimeout = 2 * time.Second
)

// RetryAfter implements [platform.JobService].
func (n *Node) RetryAfter(ctx context.Context) time.Duration {
	now := n.clock.Now()
	key := platform.RequestID(ctx)
	if key == "" {
		key = strconv.FormatUint(rand.Uint64(), 16)
	}
	return retryafter.Delay(retryafter.Refusal{
		FailingFor: max(n.health.failingFor(now), n.leaderFailingFor(now)),
		Timeout:    platform.ClientTimeout(ctx),
		Key:        key,
	})
}

// Submit implements [platform.JobService]. It stores a job, or forwards it to the leader
// if this host cannot write to the store.
func (n *Node) Submit(ctx context.Context, j sched.Job) (platform.Outcome, error) {
	if err := n.checkAdmission(); err != nil {
		return platform.Unavailable, err
	}
	ctx, cancel := withTimeFraction(ctx, submitTimeFraction)
	defer cancel()
	mayBeStored := false
	var last error
	begun := n.clock.Now()
	tries := 0
	for ctx.Err() == nil {
		o, err := n.submitOnce(ctx, j)
		last = err
		tries++
		switch o {
		case jobstore.Accepted, jobstore.Duplicate:
			n.log.WithFields(logrus.Fields{
				"request": platform.RequestID(ctx),
				"job":     string(j.ID),
				"queue":   string(j.Queue),
				"outcome": o.String(),
			}).Info("job accepted")
			if o == jobstore.Accepted {
				n.ended.forget(j.ID)
				n.cacheSpec(j)
				if !n.overloaded() {
					n.notifyJob(ctx, j)
				}
			}
			return platform.Done, nil
		case jobstore.Conflict:
			return platform.Conflict, err
		case jobstore.TooLarge:
			return platform.TooLarge, nil
		case jobstore.Unknown:
			mayBeStored = true
		case jobstore.Refused:
			now := n.clock.Now()
			if !n.health.reachable(now) && now.Sub(begun) > storeDownBudget {
				return n.submitFailed(ctx, j, mayBeStored, tries, begun, err)
			}
		}
		pause.For(ctx, writeRetryDelay)
	}
	return n.submitFailed(ctx, j, mayBeStored, tries, begun, last)
}

// notifyJob notifies the leader of a stored job.
func (n *Node) notifyJob(ctx context.Context, j sched.Job) {
	if n.leaderIsLoading() {
		return // the leader's listing, or the feed after it, includes the job
	}
	row, err := jobstore.JobRow(n.partition(), j)
	if err != nil {
		n.log.WithError(err).WithField("job", string(j.ID)).Error("cannot encode job for the leader")
		return
	}
	n.notifyLeader(ctx, j.ID, row)
}

// notifyLeader sends the leader a job's stored row without waiting for the reply. If
// the notification is lost, the leader learns of the row from the store.
func (n *Node) notifyLeader(ctx context.Context, id spoolsill.JobID, row store.Row) {
	if l := n.localLeader(); l != nil {
		l.NotifyRow(row)
		return
	}
	h, ok := n.lastKnownLeader()
	if !ok || !n.notifySlots.TryAcquire(1) {
		return
	}
	go func() {
		defer n.notifySlots.Release(1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaderQueryTimeout)
		defer cancel()
		_, err := peer.Call[notifyReply](ctx, n.peers, h, methodNotify, notifyRequest{
			Row: row,
		})
		if err != nil {
			n.log.WithError(err).WithField("job", string(id)).WithField("leader", string(h)).Warn("could not notify leader of a job")
		}
	}()
}

// submitFailed logs that a job was not stored, or may not have been, and returns the
// outcome.
func (n *Node) submitFailed(ctx context.Context, j sched.Job, mayBeStored bool, tries int, begun time.Time, err error) (platform.Outcome, error) {
	now := n.clock.Now()
	leader, responds := n.reachableLeader()
	n.log.WithError(err).WithFields(logrus.Fields{
		"request":          platform.RequestID(ctx),
		"job":              string(j.ID),
		"may_be_kept":      mayBeStored,
		"tries":            tries,
		"waited_ms":        now.Sub(begun).Milliseconds(),
		"store_failing_ms": n.health.failingFor(now).Milliseconds(),
		"leader":           string(leader),
		"leader_answers":   responds,
	}).Warn("job not kept")
	return failedOutcome(mayBeStored), err
}

func failedOutcome(mayBeStored bool) platform.Outcome {
	if mayBeStored {
		return platform.Unknown
	}
	return platform.Unavailable
}

// submitOnce makes one attempt to store a job, directly or through the leader.
func (n *Node) submitOnce(ctx context.Context, j sched.Job) (jobstore.Outcome, error) {
	o := jobstore.Refused
	var err error
	now := n.clock.Now()
	if n.health.reachable(now) {
		o, err = n.jobs.Accept(ctx, j)
		settled := o != jobstore.Refused && o != jobstore.Unknown
		if settled || o == jobstore.Unknown && n.health.reachable(now) {
			return o, err
		}
	} else {
		// A write that gets no response may have been carried out, so that its client could
		// not be told that the job was not taken.
		n.probeStore(ctx)
		err = errStoreUnreachable
	}
	if h, ok := n.forwardToLeader(ctx, j); ok {
		return h, nil
	}
	return o, err
}

// withTimeFraction returns a context that ends after a fraction of the time left in
// ctx.
func withTimeFraction(ctx context.Context, fraction float64) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(fraction*float64(time.Until(end)))) //nolint:forbidigo // context deadlines do not count suspensions either
}

// forwardToLeader submits a job through the leader. It reports false if the leader was
// not reached or refused the call.
func (n *Node) forwardToLeader(ctx context.Context, j sched.Job) (jobstore.Outcome, bool) {
	h, ok := n.reachableLeader()
	if !ok {
		return 0, false
	}
	b, err := jobstore.EncodeJob(j)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r, err := peer.Call[submitReply](ctx, n.peers, h, methodSubmit, submitRequest{
		Job: b,
	})
	if err != nil {
		n.log.WithError(err).WithField("job", string(j.ID)).WithField("leader", string(h)).Warn("could not forward job to leader")
		return jobstore.Unknown, errors.Is(err, peer.ErrReplyLost)
	}
	if r.Outcome == jobstore.Accepted {
		// The leader's host stored the job, so it needs no notification.
		return jobstore.Duplicate, true
	}
	return r.Outcome, true
}

// errStoreUnreachable is returned for requests that need the store while it is
// unreachable.
var errStoreUnreachable = errors.New("node: store is unreachable")

// errNoLeader is returned for requests that need the leader while this host knows none that
// answers.
var errNoLeader = errors.New("node: no leader answers")

// errNoCurrentCount is returned for counts while the leader's view of the accepted jobs is too
// old.
var errNoCurrentCount = errors.New("node: the leader's count of waiting jobs is out of date")

// errTooManyLookups is returned if maxConcurrentLookups lookups are in progress.
var errTooManyLookups = errors.New("node: too many job lookups in the store")

// The sources of job states, for metrics.
const (
	stateFromMemory  = "memory"
	stateFromLeader  = "leader"
	stateFromStore   = "store"
	stateUnavailable = "unavailable"
)

// State implements [platform.JobService]. It returns a final state that this host has told or
// heard before. Otherwise it queries the leader, and reads the store if the leader does not
// know the job or does not respond.
func (n *Node) State(ctx context.Context, id spoolsill.JobID) (sched.JobStatus, platform.Outcome, error) {
	now := n.clock.Now()
	if s, ok := n.ended.get(now, id, n.settings.Bounds.StatusKept); ok {
		n.metrics.RecordState(stateFromMemory)
		return s, platform.Done, nil
	}
	if r, err := n.queryLeaderState(ctx, id); err == nil && (r.Known || r.Sure) {
		s := sched.JobStatus{
			ID:    id,
			Team:  r.Team,
			State: r.State,
		}
		if r.Known {
			n.ended.add(now, s)
		}
		n.metrics.RecordState(stateFromLeader)
		return s, stateOutcome(r.Known), nil
	}
	s, known, err := n.lookUpState(ctx, id)
	if err != nil {
		n.metrics.RecordState(stateUnavailable)
		return s, platform.Unavailable, err
	}
	if known {
		n.ended.add(now, s)
	}
	n.metrics.RecordState(stateFromStore)
	return s, stateOutcome(known), nil
}

// lookUpState reads a job's state from the store. Concurrent lookups of the same job are
// shared.
func (n *Node) lookUpState(ctx context.Context, id spoolsill.JobID) (sched.JobStatus, bool, error) {
	if !n.health.reachable(n.clock.Now()) {
		n.probeStore(ctx)
		return sched.JobStatus{}, false, errStoreUnreachable
	}
	type found struct {
		status sched.JobStatus
		known  bool
	}
	c := n.stateLookups.DoChan(string(id), func() (any, error) {
		if !n.lookupSlots.TryAcquire(1) {
			return found{}, errTooManyLookups
		}
		defer n.lookupSlots.Release(1)
		// The lookup goes on for the other callers when the first one has gone.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookupTimeout)
		defer cancel()
		s, known, err := jobstore.ReadState(ctx, n.store, id)
		return found{
			status: s,
			known:  known,
		}, err
	})
	select {
	case r := <-c:
		f, _ := r.Val.(found)
		return f.status, f.known, r.Err
	case <-ctx.Done():
		return sched.JobStatus{}, false, ctx.Err()
	}
}

// probeStore reads a row of a store that is unreachable, unless that was done recently, to
// find out whether it is back. It does not wait for the response.
func (n *Node) probeStore(ctx context.Context) {
	if !n.health.probeDue(n.clock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeProbeTimeout)
	go func() {
		defer cancel()
		_, _, _ = leader.ReadHead(ctx, n.store) // the outcome is recorded by monitoredStore
	}()
}

func stateOutcome(known bool) platform.Outcome {
	if known {
		return platform.Done
	}
	return platform.NotFound
}

// queryLeaderState queries the leader for the state of a job.
func (n *Node) queryLeaderState(ctx context.Context, id spoolsill.JobID) (stateReply, error) {
	q := stateRequest{
		Job: id,
	}
	if n.localLeader() != nil {
		return n.handleState(ctx, peer.Caller{}, q)
	}
	h, ok := n.answeringLeader()
	if !ok || n.leaderIsLoading() {
		return stateReply{}, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, leaderQueryTimeout)
	defer cancel()
	r, err := peer.Call[stateReply](ctx, n.peers, h, methodState, q)
	if err != nil {
		n.log.WithError(err).WithField("job", string(id)).WithField("leader", string(h)).Warn("could not query leader for a job state")
	}
	return r, err
}

// Cancel implements [platform.JobService].
func (n *Node) Cancel(ctx context.Context, c platform.Caller, id spoolsill.JobID) (platform.Outcome, error) {
	mayBeMarked := false
	var last error
	for ctx.Err() == nil {
		o, err := n.cancelOnce(ctx, c, id)
		if err == nil && o == platform.Done {
			n.log.WithField("request", platform.RequestID(ctx)).WithField("job", string(id)).Info("job cancelled")
		}
		if err == nil {
			return o, nil
		}
		mayBeMarked = mayBeMarked || o == platform.Unknown
		last = err
		if !n.health.reachable(n.clock.Now()) {
			break
		}
		pause.For(ctx, writeRetryDelay)
	}
	return failedOutcome(mayBeMarked), last
}

// cancelOnce makes one attempt to cancel a job, directly or through the leader. Without an
// error, the outcome is Done, NotFound or Forbidden. With one, it is Unavailable if the job is
// certainly not marked as cancelled, and Unknown otherwise.
func (n *Node) cancelOnce(ctx context.Context, c platform.Caller, id spoolsill.JobID) (platform.Outcome, error) {
	o, err := n.cancelLocally(ctx, c, id)
	if err == nil {
		return o, nil
	}
	h, ok := n.reachableLeader()
	if !ok {
		return o, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	r, err := peer.Call[cancelReply](ctx, n.peers, h, methodCancel, cancelRequest{
		Job:    id,
		Caller: c,
	})
	switch {
	case errors.Is(err, peer.ErrUnreachable), peer.IsCode(err, peer.CodeBusy):
		return o, err
	case err != nil:
		return platform.Unknown, err
	case r.Foreign:
		return platform.Forbidden, nil
	default:
		return stateOutcome(r.Known), nil
	}
}

// cancelLocally marks a job as cancelled in the store if the job exists, has not ended, and
// the caller may cancel it. The outcome is like that of cancelOnce.
func (n *Node) cancelLocally(ctx context.Context, c platform.Caller, id spoolsill.JobID) (platform.Outcome, error) {
	s, o, err := n.State(ctx, id)
	if o != platform.Done {
		return o, err
	}
	if !c.CanAccess(s) {
		return platform.Forbidden, nil
	}
	if s.State.Final() {
		return platform.Done, nil
	}
	if !n.health.reachable(n.clock.Now()) {
		n.probeStore(ctx)
		return platform.Unavailable, errStoreUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, n.health.writeTimeout())
	defer cancel()
	if err := n.cancelSlots.Acquire(ctx, 1); err != nil {
		return platform.Unavailable, err
	}
	defer n.cancelSlots.Release(1)
	if err := jobstore.Cancel(ctx, n.store, n.partition(), id); err != nil {
		return failedOutcome(!errors.Is(err, store.ErrRefused)), err
	}
	// The leader's feed may deliver nothing for seconds, and the tasks would keep running
	// meanwhile.
	n.notifyLeader(ctx, id, jobstore.CancelRow(n.partition(), id))
	return platform.Done, nil
}

// CountWaiting implements [platform.JobService].
func (n *Node) CountWaiting(ctx context.Context, q sched.QueueID) (int, platform.Outcome, error) {
	if l := n.localLeader(); l != nil {
		w, ok := l.PendingJobs(q)
		if !ok {
			return 0, platform.Unavailable, errNoCurrentCount
		}
		return w, platform.Done, nil
	}
	h, ok := n.answeringLeader()
	if !ok {
		return 0, platform.Unavailable, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, leaderQueryTimeout)
	defer cancel()
	r, err := peer.Call[waitingReply](ctx, n.peers, h, methodWaiting, waitingRequest{
		Queue: q,
	})
	if err == nil && !r.Known {
		err = errNoCurrentCount
	}
	if err != nil {
		return 0, platform.Unavailable, err
	}
	return r.Waiting, platform.Done, nil
}
