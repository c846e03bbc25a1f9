package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/internal/pause"
	"github.com/spoolsill/spoolsill/jobstore"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
	"github.com/spoolsill/spoolsill/store"
)

const (
	// submitShare is the part of a client's waiting time for which a host
	// tries to keep a job before it tells the client to come back: long
	// enough for a lost answer or a slow store, and well under half, so that
	// a client whose host is cut off can still be served by another.
	submitShare = 0.4
	// writePause is between tries that the store refused.
	writePause = 60 * time.Millisecond
	// awayBudget is how long a host tries when it reaches neither the store
	// nor a leader that does: a tenth of the time that clients wait.
	awayBudget = 300 * time.Millisecond
	// askTimeout is for a question to the leader.
	askTimeout = 250 * time.Millisecond
	// settleTimeout is how long the leader waits to be sure that there is no
	// such job; less than askTimeout. A feed that tells of jobs answers some
	// fifteen times a second, one that has none to tell of once.
	settleTimeout = 180 * time.Millisecond
	// cancelsMost bounds the marks of cancelled jobs that are written at once: of a
	// store that loses answers each holds a connection for a second, which the
	// leader's own writes need.
	cancelsMost = 8
	// findsMost bounds the jobs that a host looks for in the store at once, while the
	// leader does not say: each takes a read of all hosts' partitions. On links of 2
	// Mbit/s such reads took half of what the next leader needs to begin.
	findsMost = 4
	// tellingMost bounds the calls that tell the leader of jobs.
	tellingMost = 128
	// handOnTimeout is for a job that the leader is to keep.
	handOnTimeout = 600 * time.Millisecond
	// retryAfter is when clients should come back; troubles of the store and
	// changes of the leader mostly last a few seconds.
	retryAfter = time.Second
)

// RetryAfter implements [platform.Jobs].
func (n *Node) RetryAfter() time.Duration {
	return retryAfter
}

// Submit implements [platform.Jobs]: it keeps a job in the store, or has the
// leader keep it when the store turns this host away.
func (n *Node) Submit(ctx context.Context, j sched.Job) (platform.Outcome, error) {
	if err := n.refuse(); err != nil {
		return platform.Unable, err
	}
	ctx, cancel := shareOf(ctx, submitShare)
	defer cancel()
	maybe := false
	var last error
	begun := n.clock.Now()
	tries := 0
	for ctx.Err() == nil {
		o, err := n.submitOnce(ctx, j)
		last = err
		tries++
		switch o {
		case jobstore.Accepted, jobstore.Known:
			n.log.WithFields(logrus.Fields{
				"request": platform.RequestOf(ctx),
				"job":     string(j.ID),
				"queue":   string(j.Queue),
				"outcome": o.String(),
			}).Info("job accepted")
			if o == jobstore.Accepted {
				n.keepSpec(j)
				if !n.busy() {
					n.tellJob(ctx, j)
				}
			}
			return platform.Done, nil
		case jobstore.Conflict:
			return platform.Conflict, err
		case jobstore.TooLarge:
			return platform.TooLarge, nil
		case jobstore.Unknown:
			maybe = true
		case jobstore.Refused:
			now := n.clock.Now()
			if !n.health.reachable(now) && now.Sub(begun) > awayBudget {
				return n.notKept(ctx, j, maybe, tries, begun, err)
			}
		}
		pause.For(ctx, writePause)
	}
	return n.notKept(ctx, j, maybe, tries, begun, last)
}

// tellJob tells the leader of a job that lasts.
func (n *Node) tellJob(ctx context.Context, j sched.Job) {
	if n.leaderLoads() {
		return // its listing has the job, or the feed after it
	}
	row, err := jobstore.Row(n.partition(), j)
	if err != nil {
		n.log.WithError(err).WithField("job", string(j.ID)).Error("job can't be told of")
		return
	}
	n.tell(ctx, j.ID, row)
}

// tell tells the leader of a row of a job that lasts, without waiting for an
// answer. What gets lost, the leader learns from the store.
func (n *Node) tell(ctx context.Context, id spoolsill.JobID, row store.Row) {
	if l := n.leaderHere(); l != nil {
		l.Tell(row)
		return
	}
	h, ok := n.leaderToTell()
	if !ok || !n.telling.TryAcquire(1) {
		return
	}
	go func() {
		defer n.telling.Release(1)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer cancel()
		_, err := peer.Call[tellReply](ctx, n.peers, h, methodTell, tellRequest{
			Row: row,
		})
		if err != nil {
			n.log.WithError(err).WithField("job", string(id)).WithField("leader", string(h)).Warn("leader was not told of a job")
		}
	}()
}

// notKept tells why a job was not kept, or is not known to be.
func (n *Node) notKept(ctx context.Context, j sched.Job, maybe bool, tries int, begun time.Time, err error) (platform.Outcome, error) {
	now := n.clock.Now()
	leader, answers := n.leaderHost()
	n.log.WithError(err).WithFields(logrus.Fields{
		"request":          platform.RequestOf(ctx),
		"job":              string(j.ID),
		"may_be_kept":      maybe,
		"tries":            tries,
		"waited_ms":        now.Sub(begun).Milliseconds(),
		"store_failing_ms": n.health.failingFor(now).Milliseconds(),
		"leader":           string(leader),
		"leader_answers":   answers,
	}).Warn("job not kept")
	return outcomeOf(maybe), err
}

func outcomeOf(maybe bool) platform.Outcome {
	if maybe {
		return platform.Unknown
	}
	return platform.Unable
}

func (n *Node) submitOnce(ctx context.Context, j sched.Job) (jobstore.Outcome, error) {
	o := jobstore.Refused
	var err error
	now := n.clock.Now()
	if n.health.tryable(now) {
		o, err = n.jobs.Accept(ctx, j)
		settled := o != jobstore.Refused && o != jobstore.Unknown
		if settled || o == jobstore.Unknown && n.health.reachable(now) {
			return o, err
		}
	}
	if h, ok := n.handOn(ctx, j); ok {
		return h, nil
	}
	return o, err
}

// shareOf returns a context that ends after a share of the time that is left.
func shareOf(ctx context.Context, share float64) (context.Context, context.CancelFunc) {
	end, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(share*float64(time.Until(end)))) //nolint:forbidigo // a context's end, which stands still too
}

// handOn has the leader keep a job. It reports false when the leader did not
// say what became of it.
func (n *Node) handOn(ctx context.Context, j sched.Job) (jobstore.Outcome, bool) {
	h, ok := n.leaderHost()
	if !ok {
		return 0, false
	}
	b, err := jobstore.EncodeJob(j)
	if err != nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, handOnTimeout)
	defer cancel()
	r, err := peer.Call[submitReply](ctx, n.peers, h, methodSubmit, submitRequest{
		Job: b,
	})
	if err != nil {
		n.log.WithError(err).WithField("job", string(j.ID)).WithField("leader", string(h)).Warn("job could not be handed on")
		return jobstore.Unknown, errors.Is(err, peer.ErrReplyLost)
	}
	if r.Outcome == jobstore.Accepted {
		// Kept by the leader's host, which knows of it.
		return jobstore.Known, true
	}
	return r.Outcome, true
}

// errStoreAway is returned for what only the store knows while it is away.
var errStoreAway = errors.New("node: the store can't be reached")

// errManyFinds is returned for what would take too many reads just now.
var errManyFinds = errors.New("node: too many jobs are being looked for in the store")

// State implements [platform.Jobs]: the leader knows, and the store does when
// the leader does not or is not there.
func (n *Node) State(ctx context.Context, id spoolsill.JobID) (sched.JobStatus, platform.Outcome, error) {
	if r, err := n.askState(ctx, id); err == nil && (r.Known || r.Sure) {
		return sched.JobStatus{
			ID:    id,
			Team:  r.Team,
			State: r.State,
		}, stateOutcome(r.Known), nil
	}
	if !n.health.tryable(n.clock.Now()) {
		return sched.JobStatus{}, platform.Unable, errStoreAway
	}
	if !n.finding.TryAcquire(1) {
		return sched.JobStatus{}, platform.Unable, errManyFinds
	}
	defer n.finding.Release(1)
	s, known, err := jobstore.State(ctx, n.store, id)
	switch {
	case err != nil:
		return s, platform.Unable, err
	case !known:
		return s, platform.NoSuch, nil
	default:
		return s, platform.Done, nil
	}
}

func stateOutcome(known bool) platform.Outcome {
	if known {
		return platform.Done
	}
	return platform.NoSuch
}

// askState asks the leader for a job's state.
func (n *Node) askState(ctx context.Context, id spoolsill.JobID) (stateReply, error) {
	q := stateRequest{
		Job: id,
	}
	if n.leaderHere() != nil {
		return n.stateAsked(ctx, peer.Caller{}, q)
	}
	h, ok := n.leaderHost()
	if !ok || n.leaderLoads() {
		return stateReply{}, errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := peer.Call[stateReply](ctx, n.peers, h, methodState, q)
	if err != nil {
		n.log.WithError(err).WithField("job", string(id)).WithField("leader", string(h)).Warn("leader could not be asked")
	}
	return r, err
}

// Cancel implements [platform.Jobs].
func (n *Node) Cancel(ctx context.Context, c platform.Caller, id spoolsill.JobID) (platform.Outcome, error) {
	var last error
	for ctx.Err() == nil {
		o, err := n.cancelOnce(ctx, c, id)
		if err == nil && o == platform.Done {
			n.log.WithField("request", platform.RequestOf(ctx)).WithField("job", string(id)).Info("job cancelled")
		}
		if err == nil {
			return o, nil
		}
		last = err
		if !n.health.reachable(n.clock.Now()) {
			break
		}
		pause.For(ctx, writePause)
	}
	return platform.Unknown, last
}

// cancelOnce returns Done, NoSuch, Foreign or an error.
func (n *Node) cancelOnce(ctx context.Context, c platform.Caller, id spoolsill.JobID) (platform.Outcome, error) {
	if n.health.tryable(n.clock.Now()) {
		o, err := n.cancelHere(ctx, c, id)
		if err == nil {
			return o, nil
		}
	}
	h, ok := n.leaderHost()
	if !ok {
		return platform.Unknown, errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, handOnTimeout)
	defer cancel()
	r, err := peer.Call[cancelReply](ctx, n.peers, h, methodCancel, cancelRequest{
		Job:    id,
		Caller: c,
	})
	switch {
	case err != nil:
		return platform.Unknown, err
	case r.Foreign:
		return platform.Foreign, nil
	default:
		return stateOutcome(r.Known), nil
	}
}

// cancelHere marks a job as cancelled in the store, if there is such a job and a
// caller may cancel it. The outcome is Done, NoSuch or Foreign if there is no error.
func (n *Node) cancelHere(ctx context.Context, c platform.Caller, id spoolsill.JobID) (platform.Outcome, error) {
	s, o, err := n.State(ctx, id)
	if o != platform.Done {
		return o, err
	}
	if !c.Owns(s) {
		return platform.Foreign, nil
	}
	ctx, cancel := context.WithTimeout(ctx, n.health.writeTimeout())
	defer cancel()
	if err := n.cancelling.Acquire(ctx, 1); err != nil {
		return platform.Unknown, err
	}
	defer n.cancelling.Release(1)
	if err := jobstore.Cancel(ctx, n.store, n.partition(), id); err != nil {
		return platform.Unknown, err
	}
	// A feed may hear nothing for seconds, and the tasks would run on meanwhile.
	n.tell(ctx, id, jobstore.CancelRow(n.partition(), id))
	return platform.Done, nil
}

// Waiting implements [platform.Jobs].
func (n *Node) Waiting(ctx context.Context, q sched.QueueID) (int, platform.Outcome, error) {
	if l := n.leaderHere(); l != nil {
		w, ok := l.Waiting(q)
		return w, knownOutcome(ok), nil
	}
	h, ok := n.leaderHost()
	if !ok {
		return 0, platform.Unable, errNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := peer.Call[waitingReply](ctx, n.peers, h, methodWaiting, waitingRequest{
		Queue: q,
	})
	return r.Waiting, knownOutcome(err == nil && r.Known), err
}

func knownOutcome(ok bool) platform.Outcome {
	if ok {
		return platform.Done
	}
	return platform.Unable
}
