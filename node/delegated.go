package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/delegate"
	"github.com/spoolsill/spoolsill/leader"
	"github.com/spoolsill/spoolsill/peer"
	"github.com/spoolsill/spoolsill/platform"
	"github.com/spoolsill/spoolsill/sched"
)

const (
	// delegateOverhead is the additional time for a response through a delegate: the
	// round trip between hosts, and scheduling delays on a busy processor.
	delegateOverhead = 60 * time.Millisecond
	// delegatesTTL is how long the list of delegates is reused: hosts start and stop
	// less often than calls are made.
	delegatesTTL = 50 * time.Millisecond
)

// delegatedWorkers calls workers through other hosts, and calls them directly if no other
// host accepts the call. It implements [leader.Workers].
type delegatedWorkers struct {
	node   *Node
	direct *platform.Workers

	mu          sync.Mutex
	directory   delegate.Directory
	refreshedAt time.Time // when directory was last updated
	// unanswered counts the consecutive unanswered calls to each worker.
	unanswered map[spoolsill.WorkerID]int

	specs   specHosts
	numbers targetNumbers
}

// delegateFor returns the host that should make the next call to a worker.
func (d *delegatedWorkers) delegateFor(t leader.Target) (spoolsill.HostID, bool) {
	now := d.node.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.refreshedAt) >= delegatesTTL {
		d.refreshedAt = now
		d.directory.SetHosts(d.node.hosts.delegates(d.node.silenceCutoff(now)))
	}
	return d.directory.DelegateFor(t.Worker, t.Hall, d.unanswered[t.Worker], now)
}

// counts returns the number of delegates and how many of them are avoided after a failed
// call.
func (d *delegatedWorkers) counts() (all, avoided int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.Count(d.node.clock.Now())
}

// markFailed records that a delegate left a call unanswered or did not accept it. The first of
// several failures is logged, with the number of workers that the call was for.
func (d *delegatedWorkers) markFailed(h spoolsill.HostID, workers int, err error) {
	d.mu.Lock()
	first := d.directory.MarkFailed(h, d.node.clock.Now())
	d.mu.Unlock()
	if first {
		d.node.log.WithError(err).WithField("delegate", string(h)).WithField("workers", workers).Info("delegate left a call unanswered")
	}
}

// recordReply records the outcome of a call to a worker. After an unanswered call, the
// next call to that worker is made through another delegate, since this one may be cut
// off.
func (d *delegatedWorkers) recordReply(w spoolsill.WorkerID, k leader.ReplyKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch k {
	case leader.NoAnswer, leader.Unreachable, leader.ConnectionRefused:
		if d.unanswered == nil {
			d.unanswered = map[spoolsill.WorkerID]int{}
		}
		d.unanswered[w]++
	default:
		delete(d.unanswered, w)
	}
}

// callViaDelegate makes a call through a delegate. It reports false if none accepted
// it, in which case the call was certainly not made.
func callViaDelegate[R, Q any](ctx context.Context, d *delegatedWorkers, t leader.Target, method string, q Q) (r R, made bool, err error) {
	h, ok := d.delegateFor(t)
	if !ok {
		return r, false, nil
	}
	return callDelegate[R](ctx, d, h, method, q)
}

// callDelegate makes a call through the given delegate.
func callDelegate[R, Q any](ctx context.Context, d *delegatedWorkers, h spoolsill.HostID, method string, q Q) (r R, made bool, err error) {
	r, err = peer.Call[R](ctx, d.node.peers, h, method, q)
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return r, true, err
	}
	d.markFailed(h, 1, err)
	return r, !callNotMade(err), err
}

// callNotMade reports whether a delegate's error proves that it made no call, because
// it was not reached or rejected the request before it processed it. Any other
// error may have occurred after the worker was called; if a start were wrongly assumed
// not to have been made, it would be made twice.
func callNotMade(err error) bool {
	if errors.Is(err, peer.ErrUnreachable) {
		return true
	}
	var refused *peer.RemoteError
	if !errors.As(err, &refused) {
		return false
	}
	return refused.Code == peer.CodeBusy || refused.Code == peer.CodeNoSuchMethod || refused.Code == peer.CodeBadInput
}

// Renew implements [leader.Workers].
func (d *delegatedWorkers) Renew(ctx context.Context, l leader.Renewal) (sched.Heartbeat, leader.Reply) {
	sent := d.node.clock.Now()
	// l.Timeout limits the time until the worker's response begins; twice that time also
	// allows for the rest of it.
	callCtx, cancel := context.WithTimeout(ctx, l.Wait+2*l.Timeout+delegateOverhead)
	defer cancel()
	r, made, err := d.renewViaDelegate(callCtx, l)
	if !made {
		return d.direct.Renew(ctx, l)
	}
	if err != nil {
		r.Renew.Reply = noAnswerReply(err)
	}
	d.recordReply(l.Worker, r.Renew.Reply.Kind)
	answered := spoolsill.WorkerIncarnation{
		Worker:    l.Worker,
		StartTime: r.Born,
	}
	return r.Renew.heartbeat(answered, sent), r.Renew.Reply.reply()
}

// renewViaDelegate renews a lease through a delegate. A delegate that does not report which
// incarnation answered can only be used for workers that do not report their start times:
// the answer might come from the worker's next incarnation and be attributed to this one.
func (d *delegatedWorkers) renewViaDelegate(ctx context.Context, l leader.Renewal) (r renewIncarnationReply, made bool, err error) {
	h, ok := d.delegateFor(l.Target)
	switch {
	case !ok:
		return r, false, nil
	case d.node.hosts.reportsIncarnations(h):
		return callDelegate[renewIncarnationReply](ctx, d, h, methodRenewIncarnation, renewRequestOf(l))
	case l.StartTime != 0:
		return r, false, nil
	default:
		r.Renew, made, err = callDelegate[renewReply](ctx, d, h, methodRenew, renewRequestOf(l))
		return r, made, err
	}
}

// Start implements [leader.Workers].
func (d *delegatedWorkers) Start(ctx context.Context, o leader.Start) leader.Reply {
	h, ok := d.delegateFor(o.Target)
	if !ok {
		return d.direct.Start(ctx, o)
	}
	if q, ok := d.startByRef(h, o); ok {
		callCtx, cancel := context.WithTimeout(ctx, o.Timeout+delegateOverhead+specTimeout)
		defer cancel()
		r, made, err := callDelegate[startByRefReply](callCtx, d, h, methodStartByRef, q)
		switch {
		case !made:
			return d.direct.Start(ctx, o)
		case err != nil || !r.NoSpec:
			return d.processReply(o.Target, r.Reply, err)
		}
		d.specs.markFailed(q.Host, d.node.clock.Now())
	}
	callCtx, cancel := context.WithTimeout(ctx, o.Timeout+delegateOverhead)
	defer cancel()
	r, made, err := callDelegate[orderReply](callCtx, d, h, methodStart, startRequestOf(o))
	if !made {
		return d.direct.Start(ctx, o)
	}
	return d.processReply(o.Target, r, err)
}

// Stop implements [leader.Workers].
func (d *delegatedWorkers) Stop(ctx context.Context, o leader.Stop) leader.Reply {
	callCtx, cancel := context.WithTimeout(ctx, o.Timeout+delegateOverhead)
	defer cancel()
	r, made, err := callViaDelegate[orderReply](callCtx, d, o.Target, methodStop, stopRequestOf(o))
	if !made {
		return d.direct.Stop(ctx, o)
	}
	return d.processReply(o.Target, r, err)
}

// processReply records the outcome of an order that was sent through a delegate, and
// returns the worker's reply.
func (d *delegatedWorkers) processReply(t leader.Target, r orderReply, err error) leader.Reply {
	if err != nil {
		r = noAnswerReply(err)
	}
	d.recordReply(t.Worker, r.Kind)
	return r.reply()
}

func noAnswerReply(err error) orderReply {
	return orderReplyOf(leader.Reply{
		Kind: leader.NoAnswer,
		Err:  err,
	})
}

func (n *Node) handleRenew(ctx context.Context, _ peer.Caller, q renewRequest) (renewReply, error) {
	h, r := n.workers.Renew(ctx, q.renewal())
	return renewReplyOf(h, r), nil
}

func (n *Node) handleRenewIncarnation(ctx context.Context, _ peer.Caller, q renewRequest) (renewIncarnationReply, error) {
	h, r := n.workers.Renew(ctx, q.renewal())
	return renewIncarnationReply{
		Born:  h.StartTime,
		Renew: renewReplyOf(h, r),
	}, nil
}

func (n *Node) handleStart(ctx context.Context, _ peer.Caller, q startRequest) (orderReply, error) {
	if len(q.Spec) > maxInlineSpec {
		n.specs.add(specIDOf(q.Run.Job, q.Spec), q.Spec)
	}
	return orderReplyOf(n.workers.Start(ctx, q.start())), nil
}

func (n *Node) handleStop(ctx context.Context, _ peer.Caller, q stopRequest) (orderReply, error) {
	return orderReplyOf(n.workers.Stop(ctx, q.stop())), nil
}
