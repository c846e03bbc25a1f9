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
	// delegateSlack is how much longer than the worker's answer that of a delegate
	// may take: its way there and back, and a turn at a processor that is busy.
	delegateSlack = 60 * time.Millisecond
	// delegatesKept is how long the list of delegates is used: hosts come and go
	// less often than calls are made.
	delegatesKept = 50 * time.Millisecond
)

// delegatedWorkers has the calls to workers carried out by other hosts, and makes
// those itself that no other host takes. It implements [leader.Workers].
type delegatedWorkers struct {
	node   *Node
	direct *platform.Workers

	mu        sync.Mutex
	directory delegate.Directory
	listed    time.Time // when directory took in the hosts last
	// unanswered counts the calls to a worker in a row that had no answer.
	unanswered map[spoolsill.WorkerID]int

	specs specHosts
}

// delegateOf returns the host that carries out the next call to a worker.
func (d *delegatedWorkers) delegateOf(t leader.Target) (spoolsill.HostID, bool) {
	now := d.node.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.listed) >= delegatesKept {
		d.listed = now
		d.directory.SetHosts(d.node.hosts.delegates(d.node.silentSince(now)))
	}
	return d.directory.Of(t.Worker, t.Hall, d.unanswered[t.Worker], now)
}

// hosts returns how many hosts make calls for this one, and how many of them rest.
func (d *delegatedWorkers) hosts() (all, resting int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.directory.Count(d.node.clock.Now())
}

// fail takes in that a host left a call unanswered, or did not take it.
func (d *delegatedWorkers) fail(h spoolsill.HostID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory.Fail(h, d.node.clock.Now())
}

// heard takes in what came of a call to a worker. The next one after a call without an
// answer goes another way: it may be the delegate that is cut off.
func (d *delegatedWorkers) heard(w spoolsill.WorkerID, k leader.ReplyKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch k {
	case leader.NoAnswer, leader.Unreachable, leader.NobodyThere:
		if d.unanswered == nil {
			d.unanswered = map[spoolsill.WorkerID]int{}
		}
		d.unanswered[w]++
	default:
		delete(d.unanswered, w)
	}
}

// passOn has a delegate make a call. It reports false when none takes it: then the
// call was certainly not made.
func passOn[R, Q any](ctx context.Context, d *delegatedWorkers, t leader.Target, method string, q Q) (r R, made bool, err error) {
	h, ok := d.delegateOf(t)
	if !ok {
		return r, false, nil
	}
	return passTo[R](ctx, d, h, t, method, q)
}

// passTo is passOn with a delegate that is known.
func passTo[R, Q any](ctx context.Context, d *delegatedWorkers, h spoolsill.HostID, t leader.Target, method string, q Q) (r R, made bool, err error) {
	r, err = peer.Call[R](ctx, d.node.peers, h, method, q)
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return r, true, err
	}
	d.fail(h)
	d.node.log.WithError(err).WithField("delegate", string(h)).WithField("worker", string(t.Worker)).Info("delegate left a call unanswered")
	return r, !notMade(err), err
}

// notMade reports whether a delegate's failure proves that it made no call: it was not
// reached, or refused before it looked for a worker. A failure within may have come after
// the worker was called; a start that was taken for not made would be made twice.
func notMade(err error) bool {
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
	// Twice what the beginning of the worker's answer may take, for the rest of it.
	limited, cancel := context.WithTimeout(ctx, l.Wait+2*l.Within+delegateSlack)
	defer cancel()
	r, made, err := d.passRenewal(limited, l)
	if !made {
		return d.direct.Renew(ctx, l)
	}
	if err != nil {
		r.Renew.Reply = noReply(err)
	}
	d.heard(l.Worker, r.Renew.Reply.Kind)
	answered := spoolsill.Life{
		Worker: l.Worker,
		Born:   r.Born,
	}
	return r.Renew.heartbeat(answered, sent), r.Renew.Reply.reply()
}

// passRenewal has a delegate renew a lease. One that does not tell which life has answered
// is of use only where workers don't tell their births: its answer may be of the next life,
// and would be taken for that of this one.
func (d *delegatedWorkers) passRenewal(ctx context.Context, l leader.Renewal) (r renewLifeReply, made bool, err error) {
	h, ok := d.delegateOf(l.Target)
	switch {
	case !ok:
		return r, false, nil
	case d.node.hosts.tellsLives(h):
		return passTo[renewLifeReply](ctx, d, h, l.Target, methodRenewLife, renewalRequest(l))
	case l.Born != 0:
		return r, false, nil
	default:
		r.Renew, made, err = passTo[renewReply](ctx, d, h, l.Target, methodRenew, renewalRequest(l))
		return r, made, err
	}
}

// Start implements [leader.Workers].
func (d *delegatedWorkers) Start(ctx context.Context, o leader.Start) leader.Reply {
	h, ok := d.delegateOf(o.Target)
	if !ok {
		return d.direct.Start(ctx, o)
	}
	if q, ok := d.startOf(h, o); ok {
		limited, cancel := context.WithTimeout(ctx, o.Within+delegateSlack+specTimeout)
		defer cancel()
		r, made, err := passTo[startOfReply](limited, d, h, o.Target, methodStartOf, q)
		switch {
		case !made:
			return d.direct.Start(ctx, o)
		case err != nil || !r.NoSpec:
			return d.replyTo(o.Target, r.Reply, err)
		}
		d.specs.fail(q.Host, d.node.clock.Now())
	}
	limited, cancel := context.WithTimeout(ctx, o.Within+delegateSlack)
	defer cancel()
	r, made, err := passTo[orderReply](limited, d, h, o.Target, methodStart, startRequestOf(o))
	if !made {
		return d.direct.Start(ctx, o)
	}
	return d.replyTo(o.Target, r, err)
}

// Stop implements [leader.Workers].
func (d *delegatedWorkers) Stop(ctx context.Context, o leader.Stop) leader.Reply {
	limited, cancel := context.WithTimeout(ctx, o.Within+delegateSlack)
	defer cancel()
	r, made, err := passOn[orderReply](limited, d, o.Target, methodStop, stopRequestOf(o))
	if !made {
		return d.direct.Stop(ctx, o)
	}
	return d.replyTo(o.Target, r, err)
}

func (d *delegatedWorkers) replyTo(t leader.Target, r orderReply, err error) leader.Reply {
	if err != nil {
		r = noReply(err)
	}
	d.heard(t.Worker, r.Kind)
	return r.reply()
}

func noReply(err error) orderReply {
	return orderReplyOf(leader.Reply{
		Kind: leader.NoAnswer,
		Err:  err,
	})
}

func (n *Node) renewAsked(ctx context.Context, _ peer.Caller, q renewRequest) (renewReply, error) {
	h, r := n.workers.Renew(ctx, q.renewal())
	return renewReplyOf(h, r), nil
}

func (n *Node) renewLifeAsked(ctx context.Context, _ peer.Caller, q renewRequest) (renewLifeReply, error) {
	h, r := n.workers.Renew(ctx, q.renewal())
	return renewLifeReply{
		Born:  h.Born,
		Renew: renewReplyOf(h, r),
	}, nil
}

func (n *Node) startAsked(ctx context.Context, _ peer.Caller, q startRequest) (orderReply, error) {
	if len(q.Spec) > specShort {
		n.specs.add(specIDOf(q.Run.Job, q.Spec), q.Spec)
	}
	return orderReplyOf(n.workers.Start(ctx, q.start())), nil
}

func (n *Node) stopAsked(ctx context.Context, _ peer.Caller, q stopRequest) (orderReply, error) {
	return orderReplyOf(n.workers.Stop(ctx, q.stop())), nil
}
